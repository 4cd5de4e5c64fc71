"""Runs one relay with its intakes until the process is told to stop."""

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

_BYTES_PER_MB = 1_000_000  # the platform sets `disk_mb` in decimal megabytes
_HANDOVER_TIMEOUT_S = 2.0  # for the attempts in progress, and again for the messages to replicate
_RETRY_INTERVAL_S = 0.05  # after a temporary failure to read the journal or to listen
_CONFIRMATION_TIMEOUT_S = 2.2  # a little more than the silence that confirms most deliveries
# The platform expects a new configuration to apply 4 s after SIGHUP.
_RELOAD_RETRY_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5)
_REFUSAL_PERIOD_S = 0.5  # after SIGTERM new submissions still arrive for a moment, and are refused with a reply


async def serve(
    config: Config,
    reload: Callable[[], Config] | None = None,
    clock: Clock | None = None,
    operator: Operator | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then until the open messages have ended. On SIGHUP `reload` is called for the
    current configuration. Features that `operator` does not name stay off. Raises FolderProblem if the folder cannot be
    used, belongs to another process, or was taken over by a later incarnation."""
    clock, operator = clock or Clock(), operator or Operator()
    started_at = clock.now()
    async with handling_signals() as signals:
        with anyio.CancelScope() as startup_scope:  # nothing needs draining before the lease is held
            signals.on_stop = startup_scope.cancel
            lease = await acquire_folder(config.state, operator.recovery.folder_wait_ms / 1e3)
        signals.on_stop = lambda: None
        if startup_scope.cancelled_caught:
            return
        try:
            await _serve(config, reload, clock, operator, lease, started_at, signals)
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
    started_at: float,
    signals: SignalState,
) -> None:
    """One incarnation, on the folder whose lease it holds."""
    logger.bind(event="claim.taken", life=lease.incarnation).info(
        "life {} has the folder {}", lease.incarnation, config.state
    )
    journal = await _open_journal(config, clock, lease, operator.recovery.folder_wait_ms / 1e3)
    tracer = _tracer(config, clock, operator)
    grpc = operator.grpc
    failover = _failover_manager(config, clock, operator, lease, journal)
    state_cache = StateCache(config.state, lease.incarnation, config.names.classes, operator.recovery.waits_outlast)
    if grpc:  # client and endpoint connections of gRPC count against the common limit of descriptors
        relay = Relay(
            config,
            clock,
            journal,
            tracer,
            grpc.speaks,
            2 * (config.limits.sockets // 8),
            state_cache=state_cache,
            started_at=started_at,
            replicator=failover,
        )
    else:
        relay = Relay(
            config, clock, journal, tracer, state_cache=state_cache, started_at=started_at, replicator=failover
        )
    admission = operator.clients or AdmissionSettings()
    wait_s = operator.recovery.folder_wait_ms / 1e3
    with await _open_listener(config.listen, admission.backlog, wait_s) as listener, ExitStack() as stack:
        logger.bind(event="relay.listening").info("{} is listening on {}", config.name, config.listen)
        clients = Clients(relay, config.names.classes, listener, admission, config.seed)
        grpc_intake = _grpc_intake(relay, grpc, config, clock, stack) if grpc else None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_keep_lease, lease, tasks.cancel_scope)
                if failover:
                    failover.on_ended = tasks.cancel_scope.cancel
                tasks.start_soon(relay.run)
                tasks.start_soon(clients.run)
                if grpc_intake:
                    tasks.start_soon(grpc_intake.run)
                signals.set_reload_handler(_ConfigReloader(relay, reload, tasks).on_signal)
                await signals.stop.wait()
                logger.bind(event="relay.stopping").info("stopping: new messages are refused, open ones are completed")
                relay.stopping = True
                if grpc_intake:
                    await grpc_intake.drain()
                await anyio.sleep(_REFUSAL_PERIOD_S)
                clients.close_kept()
                if failover and operator.fleet and operator.fleet.hand_over:
                    await _hand_over(relay, failover)
                while clients.answering or not relay.all_ended or grpc_intake and grpc_intake.open_calls:
                    await anyio.sleep(0.05)
                await relay.confirm_deliveries(_CONFIRMATION_TIMEOUT_S)
                while not relay.idle:
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


async def _open_journal(config: Config, clock: Clock, lease: FolderLease, wait_s: float) -> Journal:
    """Read and open the journal. Files that temporarily cannot be read are retried for up to `wait_s`, then skipped."""
    give_up_at = anyio.current_time() + wait_s
    while True:
        is_last_try = anyio.current_time() >= give_up_at
        try:
            return Journal(
                config.state,
                config.limits.disk_mb * _BYTES_PER_MB,
                lease.incarnation,
                lease.check,
                clocks.now(clock.now()),
                complete=not is_last_try,
                now=clock.now,
            )
        except OSError as err:
            problem = unusable(config.state, err)
            if is_last_try or not isinstance(problem, FolderFailing):
                raise problem from err
            logger.bind(event="journal.waiting").warning("cannot read the journal yet: {}", err)
        await anyio.sleep(_RETRY_INTERVAL_S)


async def _open_listener(address: Address, backlog: int, wait_s: float) -> socket.socket:
    """Open the listener. If a terminating process still holds the address, or this machine temporarily lacks a
    resource, this is retried for up to `wait_s`."""
    give_up_at = anyio.current_time() + wait_s
    while True:
        try:
            return listen(address, backlog)
        except OSError as err:
            is_temporary = err.errno == errno.EADDRINUSE or of_this_machine(err, Step.SOCKET)
            if not is_temporary or anyio.current_time() >= give_up_at:
                raise
            logger.bind(event="relay.waiting").warning("cannot listen on {} yet: {}", address, err)
        await anyio.sleep(_RETRY_INTERVAL_S)


async def _hand_over(relay: Relay, failover: FailoverManager) -> None:
    """Hand replicated messages over to the relays that hold the replicas, before the lease is released. Attempts in
    progress may finish first, up to the time limit."""
    failover.stop_accepting()
    with anyio.move_on_after(_HANDOVER_TIMEOUT_S):
        while relay.release_copied():
            await anyio.sleep(0.02)
    # Their notices wait for the holders of the replicas, which acknowledge nothing more after the hand-over.
    await relay.confirm_deliveries(0.0)
    await failover.hand_over(_HANDOVER_TIMEOUT_S)


async def _keep_lease(lease: FolderLease, service_scope: anyio.CancelScope) -> None:
    """Renew the lease of the folder. Once a later incarnation holds it, stop at once: that one recovers the open
    messages."""

    def on_lost() -> None:
        logger.bind(event="claim.lost", life=lease.incarnation).error("{}", lease.lost)
        service_scope.cancel()

    lease.on_lost = on_lost
    while not lease.lost:
        lease.renew()
        await anyio.sleep(RENEW_S)


def _grpc_intake(relay: Relay, settings: GrpcSettings, config: Config, clock: Clock, stack: ExitStack) -> GrpcIntake:
    """The gRPC server, whose delivery is registered with the relay."""
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
    logger.bind(event="grpc.listening").info("{} is listening for gRPC calls on {}", config.name, settings.listen)
    settings = replace(settings, connections=min(settings.connections, config.limits.sockets // 8))
    return GrpcIntake(relay, settings, config.settings.classes, listener, clock)


def _failover_manager(
    config: Config, clock: Clock, operator: Operator, lease: FolderLease, journal: Journal
) -> FailoverManager | None:
    """Replication and failover, if the operator file configures a fleet."""
    if operator.fleet is None:
        return None
    from .fleet.etcd_store import EtcdStore
    from .failover.manager import FailoverManager

    settings = operator.fleet
    if settings.hold_bytes > config.limits.disk_mb * _BYTES_PER_MB * (1 - DISK_SHARE):
        raise FolderProblem(
            f"copies hold-mb={settings.hold_bytes / _BYTES_PER_MB:g} does not fit beside the journal on a disk "
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


class _ConfigReloader:
    """Applies the current configuration at each SIGHUP, also while the relay is stopping, because its notices still
    have to reach the platform. A file that cannot be read then may be half written, and no second signal follows, so it
    is read again a few times. If it stays invalid, the old configuration stays in force."""

    def __init__(self, relay: Relay, reload: Callable[[], Config] | None, tasks: TaskGroup) -> None:
        self._relay, self._reload, self._tasks = relay, reload, tasks
        self._retrying = False

    def on_signal(self) -> None:
        if self._reload and not self._apply() and not self._retrying:
            self._retrying = True
            self._tasks.start_soon(self._retry)

    def _apply(self) -> bool:
        assert self._reload
        try:
            self._relay.follow(self._reload())
        except Exception as err:  # an invalid new one must not stop the relay
            logger.bind(event="config.kept").error("the new configuration is ignored: {}", err)
            return False
        return True

    async def _retry(self) -> None:
        for pause in _RELOAD_RETRY_PAUSES_S:
            await anyio.sleep(pause)
            if self._apply():
                break
        self._retrying = False
