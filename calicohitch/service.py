"""Runs one relay with its server until the platform ends it."""

from __future__ import annotations

import signal

import anyio
from loguru import logger

from .clock import Clock
from .config import Config
from .journal import Journal
from .net.clients import Clients
from .net.http import listen
from .net.relay import Relay

_MB = 1_000_000  # the platform counts disk in these
_SETTLE_S = 0.5  # clients keep coming for a moment after SIGTERM, and are told to go elsewhere


async def serve(config: Config, clock: Clock | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then go on with what is open until that is over too."""
    relay = Relay(config, clock or Clock(), Journal(config.state, config.limits.disk_mb * _MB))
    with listen(config.listen) as listener:
        logger.info("{} listens at {}", config.name, config.listen)
        clients = Clients(relay, config.names.classes, listener)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(relay.run)
                tasks.start_soon(clients.run)
                await _stopped()
                logger.info("stopping: new messages are refused, open ones go on")
                relay.stopping = True
                await anyio.sleep(_SETTLE_S)
                clients.close_waiting()
                while clients.answering or not relay.idle:
                    await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()
        finally:
            relay.close()


async def _stopped() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
