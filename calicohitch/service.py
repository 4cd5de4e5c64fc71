"""Runs one relay with its server until the platform ends it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .clock import Clock, to_ms
from .config import Address, Config
from .config.operator import Operator
from .core.signals import SignalState, handling_signals
from .core.system_errors import Step, of_this_machine
from .journal import DISK_SHARE, Journal
from .intake.admission.settings import AdmissionSettings
from .intake.clients import Clients
from .net.http import listen
from .net.relay import Relay
from .recovery.folder_lease import RENEW_S, FolderLease, acquire_folder
from .recovery import clocks
from .recovery.state_cache import StateCache
from .recovery.problems import FolderFailing, FolderLost, FolderProblem, unusable

if TYPE_CHECKING:
    from .grpc.intake import GrpcIntake
    from .grpc.settings import GrpcSettings
    from .failover.manager import FailoverManager
    from .tracing.tracer import Tracer

_MB = 1_000_000  # the platform counts disk in these
_HAND_OVER_S = 2.0  # for the attempts that are out, and again for what is to be copied
_AGAIN_S = 0.05  # between two tries of what may work a little later
_RELOAD_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5)  # a new configuration counts 4 s after its signal
_SETTLE_S = 0.5  # clients keep coming for a moment after SIGTERM, and are told to go elsewhere


async def serve(
    config: Config,
    reload: Callable[[], Config] | None = None,
    clock: Clock | None = None,
    operator: Operator | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then go on with what is open until that is over too. On SIGHUP `reload`
    is asked for the configuration as it is then. What `operator` does not name stays off. FolderProblem where the
    folder cannot be used, is another process's, or became a later life's."""
    clock, operator = clock or Clock(), operator or Operator()
    up_at = clock.now()
    async with handling_signals() as told:
        with anyio.CancelScope() as starting:  # nothing is owed before the folder is this life's
            told.on_stop = starting.cancel
            lease = await acquire_folder(config.state, operator.recovery.folder_wait_ms / 1e3)
        told.on_stop = lambda: None
        if starting.cancelled_caught:
            return
        try:
            await _serve(config, reload, clock, operator, lease, up_at, told)
        finally:
            lease.close()
    if lease.lost:
        raise FolderLost(lease.lost)


async def _serve(
    config: Config,
    reload: Callable[[], Config] | None,
    clock: Clock,
    operator: Operator,
    lease: FolderLease,
    up_at: float,
    told: SignalState,
) -> None:
    """One life, on the folder that it has claimed."""
    logger.bind(event="claim.taken", life=lease.incarnation).info(
        "life {} has the folder {}", lease.incarnation, config.state
    )
    journal = await _journal(config, clock, lease, operator.recovery.folder_wait_ms / 1e3)
    tracer = _tracer(config, clock, operator)
    grpc = operator.grpc
    failover = _failover_manager(config, clock, operator, lease, journal)
    state_cache = StateCache(config.state, lease.incarnation, config.names.classes, operator.recovery.waits_outlast)
    if grpc:  # its connections, on both sides, take part in the one limit of descriptors
        relay = Relay(
            config,
            clock,
            journal,
            tracer,
            grpc.speaks,
            2 * (config.limits.sockets // 8),
            state_cache=state_cache,
            up_at=up_at,
            replicator=failover,
        )
    else:
        relay = Relay(config, clock, journal, tracer, state_cache=state_cache, up_at=up_at, replicator=failover)
    admission = operator.clients or AdmissionSettings()
    wait_s = operator.recovery.folder_wait_ms / 1e3
    with await _listening(config.listen, admission.backlog, wait_s) as listener, ExitStack() as stack:
        logger.bind(event="relay.listening").info("{} listens at {}", config.name, config.listen)
        clients = Clients(relay, config.names.classes, listener, admission, config.seed)
        calls = _grpc(relay, grpc, config, clock, stack) if grpc else None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_hold, lease, tasks.cancel_scope)
                if failover:
                    failover.on_ended = tasks.cancel_scope.cancel
                tasks.start_soon(relay.run)
                tasks.start_soon(clients.run)
                if calls:
                    tasks.start_soon(calls.run)
                told.set_reload_handler(_Reloads(relay, reload, tasks).signalled)
                await told.stop.wait()
                logger.bind(event="relay.stopping").info("stopping: new messages are refused, open ones go on")
                relay.stopping = True
                if calls:
                    await calls.drain()
                await anyio.sleep(_SETTLE_S)
                clients.close_kept()
                if failover and operator.fleet and operator.fleet.hand_over:
                    await _handed_over(relay, failover)
                while clients.answering or not relay.idle or calls and calls.open_calls:
                    await anyio.sleep(0.05)
                await clients.finish()
                if tracer:
                    await tracer.drain()
                relay.save_state()
                tasks.cancel_scope.cancel()
        finally:
            relay.close()
            if tracer:
                tracer.close()
            if failover:
                with anyio.CancelScope(shield=True):
                    await failover.close()
    if failover and failover.ended:
        raise failover.ended


async def _journal(config: Config, clock: Clock, lease: FolderLease, wait_s: float) -> Journal:
    """The journal, read whole. What cannot be read for a moment is tried again, so long at most, and then left out."""
    until = anyio.current_time() + wait_s
    while True:
        last = anyio.current_time() >= until
        try:
            return Journal(
                config.state,
                config.limits.disk_mb * _MB,
                lease.incarnation,
                lease.check,
                clocks.now(clock.now()),
                complete=not last,
            )
        except OSError as err:
            problem = unusable(config.state, err)
            if last or not isinstance(problem, FolderFailing):
                raise problem from err
            logger.bind(event="journal.waiting").warning("the journal cannot be read yet: {}", err)
        await anyio.sleep(_AGAIN_S)


async def _listening(address: Address, backlog: int, wait_s: float) -> socket.socket:
    """The listener. Where a process that is ending still has the address, or this machine lacks something for a moment,
    it is tried again, so long at most."""
    until = anyio.current_time() + wait_s
    while True:
        try:
            return listen(address, backlog)
        except OSError as err:
            passing = err.errno == errno.EADDRINUSE or of_this_machine(err, Step.SOCKET)
            if not passing or anyio.current_time() >= until:
                raise
            logger.bind(event="relay.waiting").warning("cannot listen at {} yet: {}", address, err)
        await anyio.sleep(_AGAIN_S)


async def _handed_over(relay: Relay, failover: FailoverManager) -> None:
    """Give copied work to those who hold copies, before the lease goes: what is out ends first, for a while."""
    failover.stop_accepting()
    with anyio.move_on_after(_HAND_OVER_S):
        while relay.release_copied():
            await anyio.sleep(0.02)
    await failover.hand_over(_HAND_OVER_S)


async def _hold(lease: FolderLease, everything: anyio.CancelScope) -> None:
    """Keep the claim on the folder; once a later life has it, end at once and leave all that is open to that one."""

    def end() -> None:
        logger.bind(event="claim.lost", life=lease.incarnation).error("{}", lease.lost)
        everything.cancel()

    lease.on_lost = end
    while not lease.lost:
        lease.renew()
        await anyio.sleep(RENEW_S)


def _grpc(relay: Relay, settings: GrpcSettings, config: Config, clock: Clock, stack: ExitStack) -> GrpcIntake:
    """The gRPC server before the relay, and the calls behind it."""
    from .grpc.delivery import GrpcDelivery
    from .grpc.intake import PROTOCOL, GrpcIntake

    connect_ms = to_ms(config.settings.connect_timeout)
    relay.deliver_by(
        PROTOCOL,
        GrpcDelivery(
            clock,
            connect_ms,
            config.limits.sockets // 8,
            settings,
            tuple(report.name for report in config.settings.reports),
        ),
    )
    listener = stack.enter_context(listen(settings.listen))
    logger.bind(event="grpc.listening").info("{} takes gRPC calls at {}", config.name, settings.listen)
    settings = replace(settings, connections=min(settings.connections, config.limits.sockets // 8))
    return GrpcIntake(relay, settings, config.settings.classes, listener, clock)


def _failover_manager(
    config: Config, clock: Clock, operator: Operator, lease: FolderLease, journal: Journal
) -> FailoverManager | None:
    """Copies and the fleet, where the operators' file has it."""
    if operator.fleet is None:
        return None
    from .fleet.etcd_store import EtcdStore
    from .failover.manager import FailoverManager

    settings = operator.fleet
    if settings.hold_bytes > config.limits.disk_mb * _MB * (1 - DISK_SHARE):
        raise FolderProblem(
            f"copies hold-mb={settings.hold_bytes / _MB:g} does not fit beside the journal on a disk "
            f"of {config.limits.disk_mb:g} MB: lower it, or raise limits.disk_mb"
        )
    store = EtcdStore(settings.store, settings.store_timeout_ms)
    return FailoverManager(
        settings, config.name, lease.incarnation, config.names.classes, config.state, store, clock.now, journal.may_act
    )


def _tracer(config: Config, clock: Clock, operator: Operator) -> Tracer | None:
    if operator.tracing is None:
        return None
    from .tracing.tracer import Tracer

    return Tracer(
        operator.tracing, clock, config.name, config.settings.classes, config.names.classes, config.state, config.seed
    )


class _Reloads:
    """Follows the configuration as it is at each SIGHUP, also while the relay is stopping, since its notices have to
    arrive. Guards a relay against a file that cannot be read in that moment, as whoever writes it may be in the middle
    and sends no second signal: it is read again for a while. What stays wrong leaves the old one in force."""

    def __init__(self, relay: Relay, reload: Callable[[], Config] | None, tasks: TaskGroup) -> None:
        self._relay, self._reload, self._tasks = relay, reload, tasks
        self._trying = False

    def signalled(self) -> None:
        if self._reload and not self._followed() and not self._trying:
            self._trying = True
            self._tasks.start_soon(self._try_again)

    def _followed(self) -> bool:
        assert self._reload
        try:
            self._relay.follow(self._reload())
        except Exception as err:  # whatever is wrong with the new one, the old one still serves
            logger.bind(event="config.kept").error("the configuration stays as it was: {}", err)
            return False
        return True

    async def _try_again(self) -> None:
        for pause in _RELOAD_PAUSES_S:
            await anyio.sleep(pause)
            if self._followed():
                break
        self._trying = False
