"""Signal handling for as long as the service runs.

A signal without a handler, before the handlers are installed or after they are removed, kills the process with its
open work. So the three signals are blocked outside of `handling_signals` (by the program's first line, and again before
the handlers are removed): one that arrives then is pending until it is handled or the process exits.
"""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from loguru import logger

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


class SignalState:
    """`stop` is set by the first SIGTERM or SIGINT; further ones only call `on_stop` again. SIGHUP calls the reload
    handler; one that arrived before the handler was set calls it when it is set."""

    def __init__(self) -> None:
        self.stop = anyio.Event()
        self.on_stop: Callable[[], None] = lambda: None
        self._on_reload: Callable[[], None] | None = None
        self._reload_due = False

    def set_reload_handler(self, on_reload: Callable[[], None]) -> None:
        self._on_reload = on_reload
        if self._reload_due:
            self._reload_due = False
            on_reload()

    def receive(self, number: int) -> None:
        if number != signal.SIGHUP:
            if self.stop.is_set():
                logger.bind(event="relay.stopping_already").info("received another stop signal; already stopping")
            self.stop.set()
            self.on_stop()
        elif self._on_reload:
            self._on_reload()
        else:
            self._reload_due = True


@asynccontextmanager
async def handling_signals() -> AsyncIterator[SignalState]:
    """Handle signals inside of the context. The calling thread's signal mask is restored before the handlers are
    removed: if the program had blocked the signals, none of them kills it during the shutdown."""
    state = SignalState()
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:

        async def listen() -> None:
            async for number in signals:
                state.receive(number)

        failed: BaseException | None = None  # re-raised outside of the task group, which would wrap it
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listen)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
            try:
                yield state
            except Exception as err:
                failed = err
            finally:
                signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
                tasks.cancel_scope.cancel()
        if failed:
            raise failed
