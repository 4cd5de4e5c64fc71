"""The relay: owns the decision engine and the open messages, feeds events to the engine and carries out its actions.

It does not depend on how messages are submitted: an intake of any protocol calls `Relay.submit`.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .. import interface as i
from ..clock import Clock, to_micros, to_ms
from ..config import Config
from ..core.accepted_ids import AcceptedIds
from ..core.backoff import Backoff
from ..core.invariants import Invariant, Invariants
from ..core.descriptor_budget import DescriptorUse, divide_descriptors
from ..core.call_history import CallHistory
from ..core.change_notifier import ChangeNotifier
from ..core.health_changes import HealthChanges
from ..core.health_log import log_health_changes
from ..core.discovery_timeouts import DiscoveryTimeouts
from ..core.stall_detector import StallDetector
from ..core.memory_budget import ENDED_MESSAGE_BYTES, OPEN_MESSAGE_BYTES, MemoryUse, divide_memory
from ..core.process_memory import BYTES_PER_MB, resident_bytes
from ..core.resource_monitor import ResourceMonitor
from ..core.protocols import Call, Replicator, Delivery, MessageEnd, EndKind, Refusal, Reply, Result, Submission
from ..core.tasks import restart_on_failure
from ..journal import Attempt, End, Entry, Journal, JournalFull
from ..recovery import indeterminate
from ..recovery.damage_log import log_damage
from ..recovery.endpoint_list import NO_REVISION
from ..recovery.state_cache import StateCache
from ..recovery.recovery_phases import RecoveryCounter, Recovery
from ..decisions import DecisionEngine
from .discovery import MAX_RESPONSE_BYTES, Directory, Discovery, ListError, Member
from .endpoints import Endpoints
from .notices import Notice, Notices
from .peers import Peers
from .pending_ends import PendingEnds
from .provisional_deliveries import ProvisionalDeliveries

if TYPE_CHECKING:
    from ..tracing.facts import AttemptFacts
    from ..tracing.tracer import Tracer

_FIRST_DISCOVERY_TIMEOUT_S = 0.3
# How long after its deadline `_end_overdue` ends a message, and the interval of that check. The notice still has to
# arrive within 300 ms after the deadline: see `Notices`.
_OVERDUE_GRACE_MS = 50.0
_DISK_RETRY_INTERVAL_S = 0.02
_STATE_CHECK_INTERVAL_S = 0.25
_CONFIRMATION_POLL_S = 0.02
_UNREAD_LOG_FACTOR = 10  # unreadable peer messages are logged again once their count has grown by this factor
# After this wait for the coordination store, a starting relay serves the messages that need no replication.
_REPLICATION_START_TIMEOUT_S = 5.0
_REPLICATION_TIMEOUT_S = 0.35  # a client waits 0.4 s for the response to its submission
_LIST_SHARE = 1 / 32  # of the memory limit, for a response of discovery, which takes some sixteen times its size
_MAX_ACCEPTED_IDS = 16_384  # of messages that are over


@dataclass(slots=True, eq=False)
class _OpenMessage:
    """A message whose outcome is still open."""

    entry: Entry
    submission: Submission | None = None  # None: accepted by an earlier incarnation or by another relay
    accepted: bool = False  # the decision engine has it
    calls: dict[int, anyio.CancelScope] = field(default_factory=dict)  # by attempt number
    recorded: set[int] = field(default_factory=set)  # attempts with a record: bytes of these may be sent
    body_bytes: int = 0  # that are counted for it
    withdrawn: bool = False  # its client has disconnected; an attempt in progress is left to finish

    @property
    def reply(self) -> Reply | None:
        return self.submission.reply if self.submission and not self.withdrawn else None


def _earlier_attempts(entry: Entry) -> tuple[i.EarlierAttempt, ...]:
    return tuple(
        i.EarlierAttempt(to_micros(attempt.sent_at), attempt.zone, attempt.may_have_run) for attempt in entry.attempts
    )


class Relay:
    """Runs the decision engine on real sockets. `run` serves until it is cancelled; `submit` submits a message. The
    optional `tracer` only observes."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        journal: Journal,
        tracer: Tracer | None = None,
        protocol_of: Callable[[str, str, int], int] = lambda *_: 1,
        reserved: int = 0,
        state_cache: StateCache | None = None,
        started_at: float | None = None,
        replicator: Replicator | None = None,
    ) -> None:
        """`protocol_of`: the protocol number that an endpoint speaks, passed on to `Directory`. `reserved`: file
        descriptors set aside for other users. `state_cache`: platform state stored between incarnations; without it
        the relay starts with none. `started_at`: start of the process, in milliseconds of `clock`. `replicator`:
        replicates messages to other relays, which take them over on failover."""
        self._state_cache = state_cache
        self.recovery = Recovery(clock.now() if started_at is None else started_at)
        self._config, self._clock, self._journal = config, clock, journal
        settings = config.settings
        self._engine = DecisionEngine(settings, config.seed)
        self._tracer = tracer
        self.descriptors = divide_descriptors(config.limits.sockets, reserved)
        if tracer:
            tracer.why = self._engine.why_held
            # for the collector connection, reserved even if no collector is configured
            self.descriptors.acquire(DescriptorUse.TRACING)
        self.resources = ResourceMonitor(config.limits.memory_mb * BYTES_PER_MB)
        self.memory = divide_memory(
            config.limits.memory_mb * BYTES_PER_MB, resident_bytes(), config.limits.disk_mb * BYTES_PER_MB
        )
        self.memory.register(MemoryUse.MESSAGES, self._held_by_messages)
        self._open: dict[int, _OpenMessage] = {}
        self._open_body_bytes = 0
        self._by_id: dict[str, int] = {}
        self._events: deque[i.Event] = deque()
        self._feeding = False
        self._stall_detector = StallDetector(clock.now())
        self._health_changes = HealthChanges()
        self._awaiting_ownership: dict[int, Entry] = {}  # replicated, owner not known yet
        self._adopting: dict[int, Entry] = {}  # journaled, ownership not confirmed yet
        self._replication_started = anyio.Event()
        self._timers: list[tuple[float, int]] = []
        self._timer_set = anyio.Event()
        self._tasks: TaskGroup | None = None
        self.ready = self.stopping = False
        self.changed_since_saved = False
        self.max_clients = config.limits.sockets // 2
        self._directory = Directory(config.names, protocol_of)
        backoff = Backoff(settings.couriers, config.seed)
        timeouts = DiscoveryTimeouts(settings.asks_for_list, backoff)
        self._discovery = Discovery(
            config.discovery,
            self._directory,
            self._endpoint_list_updated,
            timeouts,
            self.descriptors,
            min(MAX_RESPONSE_BYTES, int(config.limits.memory_mb * BYTES_PER_MB * _LIST_SHARE)),
        )
        self._waits: dict[int, float] = {}  # by `_route`: when the retry-after ends, in ms
        self._disk_refused = ChangeNotifier()
        journal.on_refused = self._disk_refused.notify
        self._pending_ends = PendingEnds(journal, clock.now, self._send_notice)
        self._provisional = ProvisionalDeliveries(self._record_end, self._record_closed, self._report_refuted)
        self._notices = Notices(config.discovery, self._record_closed, self.descriptors, self._may_end)
        self._endpoints = Endpoints(
            clock,
            tuple(report.name for report in settings.reports),
            to_ms(settings.idle_time),
            to_ms(settings.connect_timeout),
            self.descriptors,
        )
        self._endpoints.on_wait = self._endpoint_told_wait
        self._deliveries: dict[int, Delivery] = {0: self._endpoints}
        self.invariants = Invariants()
        self._call_history = CallHistory(settings.open_cap * 4)
        self._accepted_ids = AcceptedIds(_MAX_ACCEPTED_IDS)
        self._replicator, self.letting_go = replicator, False
        if replicator:
            replicator.attach(self)
            journal.copier = replicator.record
        self._peers: Peers | None = None
        self._register_counters()
        if settings.may_tell and config.peer_listen:
            self._peers = Peers(config.peer_listen, config.peers, config.peers_all, self._peer_message_received)

    def _register_counters(self) -> None:
        self.resources.register("open_messages", lambda: len(self._open))
        self.resources.register("pending_ends", lambda: len(self._pending_ends))
        self.resources.register("pending_notices", lambda: len(self._notices))
        self.resources.register("provisional_deliveries", lambda: len(self._provisional))
        self.resources.register("remembered_ids", lambda: len(self._accepted_ids))
        self.resources.register("remembered_calls", lambda: len(self._call_history))
        self.resources.register("descriptors", lambda: self.descriptors.held.total())
        self.resources.register("tasks", lambda: len(asyncio.all_tasks()))

    def _held_by_messages(self) -> int:
        """The memory that accepted messages take until nothing is owed for them, in bytes."""
        ended = len(self._pending_ends) + len(self._notices) + len(self._provisional)
        return self._open_body_bytes + len(self._open) * OPEN_MESSAGE_BYTES + ended * ENDED_MESSAGE_BYTES

    async def run(self) -> None:
        """Recover the messages that an earlier incarnation left open, then serve."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(restart_on_failure, self._run_timers)
            tasks.start_soon(restart_on_failure, self.resources.run)
            tasks.start_soon(restart_on_failure, self._save_state_periodically)
            tasks.start_soon(restart_on_failure, self._end_overdue)
            tasks.start_soon(restart_on_failure, self._write_pending)
            tasks.start_soon(restart_on_failure, self._notices.run)
            for delivery in self._deliveries.values():
                tasks.start_soon(restart_on_failure, delivery.run)
            if self._peers:
                tasks.start_soon(restart_on_failure, self._peers.run)
            if self._tracer:
                tasks.start_soon(restart_on_failure, self._tracer.run)
            self._load_endpoint_list()
            tasks.start_soon(restart_on_failure, self._discovery.run)
            if self._replicator:
                tasks.start_soon(self._replicator.run)
            # The endpoint list in the configuration may be outdated and name endpoints that are draining, so nothing
            # is sent before the first discovery response. If discovery does not answer, the relay serves anyway.
            with anyio.move_on_after(_FIRST_DISCOVERY_TIMEOUT_S):
                await self._discovery.heard.wait()
            self._recover()
            if self._replicator:
                tasks.start_soon(self._begin_replication)
                with anyio.move_on_after(_REPLICATION_START_TIMEOUT_S):
                    await self._replication_started.wait()
            self.ready = True
            if self.changed_since_saved:
                self.save_state()

    def follow(self, config: Config) -> None:
        """Apply the discovery address of a new configuration; all other changes in it need a restart."""
        if config.discovery == self._config.discovery:
            return  # the current watch continues
        logger.info("discovery address changed to {}", config.discovery)
        self._config = replace(self._config, discovery=config.discovery)
        self._discovery.move(config.discovery)
        self._notices.move(config.discovery)
        if len(self._directory):
            self._save_list(moved=True)  # what this life acts on, until the new address answers

    @property
    def idle(self) -> bool:
        """No message is open, no end or notice is pending, and no delivery is provisional."""
        return self.all_ended and not len(self._provisional)

    @property
    def all_ended(self) -> bool:
        """No message is open and no end or notice is pending; deliveries may still be provisional."""
        pending = len(self._pending_ends) or len(self._notices) or self._replicator and self._replicator.ends_waiting
        return not self._open and not pending

    async def confirm_deliveries(self, timeout_s: float) -> None:
        """Wait until no delivery is provisional any more; after the time limit those that are count as failed, and
        their notices are sent."""
        with anyio.move_on_after(timeout_s):
            while len(self._provisional):
                await anyio.sleep(_CONFIRMATION_POLL_S)
        self._provisional.end_overdue(math.inf)

    def submit(self, submission: Submission) -> int | Refusal:
        """Write a message to the journal; returns its number. `accept` must follow once the client has the response, or
        `withdraw` if it did not get one."""
        result = self._submit(submission)
        if isinstance(result, Refusal) and result not in (Refusal.ALREADY_ACCEPTED, Refusal.BEING_SUBMITTED):
            self.turned_away(submission, result)
        return result

    def turned_away(self, submission: Submission, refusal: Refusal) -> None:
        """Trace the refusal of a message by an intake or by `submit`."""
        if self._tracer:
            self._tracer.submission_refused(
                submission.id,
                submission.class_index,
                submission.dest,
                submission.headers,
                submission.key,
                refusal.value,
                submission.handed_in_again,
            )

    def _submit(self, submission: Submission) -> int | Refusal:
        if (number := self._by_id.get(submission.id)) is not None:
            # A repeated request, or another client used the same id: only the first may accept or withdraw.
            return Refusal.ALREADY_ACCEPTED if self._open[number].accepted else Refusal.BEING_SUBMITTED
        if not submission.reply and submission.id in self._accepted_ids:
            return Refusal.ALREADY_ACCEPTED
        if self.stopping or not self.ready:
            return Refusal.STOPPING if self.stopping else Refusal.STARTING
        if submission.key is None and self._config.settings.classes[submission.class_index].effect is i.Effect.KEYED:
            return Refusal.NO_KEY  # without a key its attempts could not be retried as its class allows
        if not self._directory.knows(submission.dest):
            return Refusal.UNKNOWN
        has_capacity = len(self._open) < self._config.settings.open_cap and self._engine.has_room()
        has_memory = self.memory.has_room(len(submission.body) + OPEN_MESSAGE_BYTES)
        if not (has_capacity and has_memory and self._journal.has_room(len(submission.body))):
            return Refusal.FULL
        if submission.reply and (earlier_entry := self._call_history.recall(submission.id)):
            return self._submit_again(earlier_entry, submission)
        if (
            self._replicator
            and not submission.reply
            and (refusal := self._replicator.refuses(submission.class_index, submission.id))
        ):
            return refusal
        number = self._journal.next_number
        max_deadline_ms = to_ms(self._config.settings.classes[submission.class_index].deadline)
        now = self._clock.now()
        deadline = now + min(max(submission.time_left, 0.0), max_deadline_ms)
        class_name = self._config.names.classes[submission.class_index]
        entry = Entry(
            number,
            submission.id,
            class_name,
            submission.dest,
            deadline,
            submission.key,
            submission.body,
            call=submission.reply is not None,
        )
        if self._tracer:
            entry.trace = self._tracer.submission_received(entry, submission.headers, now, submission.handed_in_again)
        if self._replicator:
            self._replicator.opening(entry)
        try:
            self._journal.record_accepted(entry)
        except JournalFull as err:
            logger.error("journal: {}", err)
            if self._replicator:
                self._replicator.abandoned(number)
            if self._tracer:
                self._tracer.withdrawn(number)
            return Refusal.FULL
        if self._tracer:
            self._tracer.submission_recorded(number)
        self._add_open(_OpenMessage(entry, submission))
        if not self.recovery.over:
            self.recovery.count(now, RecoveryCounter.FRESH)
        return number

    def _submit_again(self, entry: Entry, submission: Submission) -> int | Refusal:
        """A client repeats a call that broke off, here or in an earlier incarnation: its earlier attempts count."""
        if (entry.class_name, entry.dest, entry.key) != (
            self._config.names.classes[submission.class_index],
            submission.dest,
            submission.key,
        ):
            return Refusal.ALREADY_ACCEPTED  # a different message with the same id
        self._call_history.forget(submission.id)
        max_deadline_ms = to_ms(self._config.settings.classes[submission.class_index].deadline)
        entry.deadline = self._clock.now() + min(max(submission.time_left, 0.0), max_deadline_ms)
        entry.body = submission.body
        if self._tracer:
            self._tracer.submission_received(entry, submission.headers, self._clock.now(), True)
            self._tracer.submission_recorded(entry.number)
        self._add_open(_OpenMessage(entry, submission))
        return entry.number

    def accept(self, number: int, submission: Submission) -> None:
        """The client knows that its message is accepted: pass it to the decision engine."""
        message = self._open.get(number)
        if message and not message.accepted:
            message.accepted = True
            if self._tracer:
                self._tracer.accepted(number)
            time_left_us = to_micros(message.entry.deadline - self._clock.now())
            self.feed(
                i.Arrived(
                    number,
                    submission.class_index,
                    submission.dest,
                    max(0, time_left_us),
                    handed_in_again=submission.handed_in_again,
                    from_dead_courier=submission.from_dead_relay,
                    earlier=_earlier_attempts(message.entry),
                    protocol=submission.protocol,
                )
            )

    def cancel(self, number: int) -> None:
        """The client of an open call has cancelled it: no reply is sent. Its attempts are remembered while they may
        matter to a repeated call, and an attempt in progress stays tracked until it settles."""
        message = self._open.get(number)
        if message is None or message.withdrawn:
            return
        message.withdrawn = True
        self.feed(i.Withdrawn(number))
        if not message.calls:
            self._forget(number)
            self._remember(message.entry)

    def _remember(self, entry: Entry) -> None:
        """Store a call that ended without a delivery. While its effects may matter, a repeat of it by the client is
        judged by these attempts; a call that certainly never ran is forgotten at once."""
        window_ms = 0.0
        if entry.class_name in self._config.names.classes:
            window_ms = to_ms(max(self._class_of(entry).window, 0))
        if self._tracer:
            self._tracer.closed(entry.number)
        for number in self._call_history.remember(entry, window_ms, self._clock.now()):
            self._record_closed(number)

    def deliver_by(self, protocol: int, delivery: Delivery) -> None:
        """Register the delivery for calls of a protocol. Must be called before `run`."""
        self._deliveries[protocol] = delivery

    def withdraw(self, number: int) -> None:
        """The client disconnected before the response: the message is dropped; the client may submit it elsewhere."""
        message = self._open.get(number)
        if message and not message.accepted:
            self._forget(number)
            if self._tracer:
                self._tracer.withdrawn(number)
            self._record_closed(number)

    def feed(self, *events: i.Event) -> None:
        """Pass events to the decision engine and carry out the actions that it returns."""
        if self._stall_detector.observe(self._clock.now()):
            self._events.append(i.Resumed())
        self._events.extend(events)
        if self._feeding:
            return
        self._feeding, started, processed = True, self.resources.start(), 0
        try:
            while self._events:
                batch = list(self._events)
                processed += len(batch)
                self._events.clear()
                for action in self._decide(batch):
                    try:
                        self._carry_out(action)
                    except Exception:  # the actions after it still have to be carried out
                        logger.exception("action failed: {}", action)
            if self._tracer:
                self._tracer.look()
        finally:
            self._feeding = False
            self.resources.ended("decisions and their actions", started, processed)

    def _decide(self, events: list[i.Event]) -> list[i.Action]:
        previous, remaining = self._engine.decided(), iter(events)
        try:
            return self._engine.handle(to_micros(self._clock.now()), remaining)
        except Exception:  # a relay that exits here could do nothing more for its open messages
            logger.exception("the decision engine failed on {}", events)
            unhandled = list(remaining)  # not the one that failed; a lost outcome would hold its slot
            self._events.extendleft(reversed(unhandled if len(unhandled) < len(events) else unhandled[1:]))
            # The engine counts on the actions decided so far: a call that is never made would hold its slot for ever.
            decided = self._engine.decided()
            return [] if decided is previous else decided

    async def _save_state_periodically(self) -> None:
        """Log the progress of the recovery, and store the state for the next incarnation when it is due."""
        logged_unread = 0
        while True:
            await anyio.sleep(_STATE_CHECK_INTERVAL_S)
            if not self.recovery.reported:
                self._log_recovery()
            if self._engine.limit_updates.unread > _UNREAD_LOG_FACTOR * logged_unread:
                logged_unread = self._engine.limit_updates.unread
                logger.bind(event="notes.unread", count=logged_unread).warning(
                    "{} messages from other relays could not be parsed and were ignored", logged_unread
                )
            state_cache, changed = self._state_cache, self._open or self.changed_since_saved
            if state_cache and self.ready and changed and state_cache.due(self._clock.now()):
                self.save_state()
            if state_cache and len(self._directory) and state_cache.list_due(self._clock.now()):
                self._save_list()

    def save_state(self) -> None:
        """Store the current platform state for the next incarnation."""
        if self._state_cache and self._journal.may_act():
            started, known = self.resources.start(), self._engine.known()
            log_health_changes(self._health_changes.since_last(known), self._clock.now())
            self.changed_since_saved = not self._state_cache.save(
                self._clock.now(),
                known,
                self._name_of,
            )
            self.resources.ended("storing the state", started, len(known.routes))

    def _save_list(self, moved: bool = False) -> None:
        """Store the endpoint list for the next incarnation. `moved`: discovery has another address."""
        if self._state_cache is None:
            self._directory.take_changes()
        elif self._journal.may_act():
            started, changes = self.resources.start(), self._directory.take_changes()
            self._state_cache.save_list(
                self._clock.now(),
                str(self._config.discovery),
                self._discovery.version,
                changes,
                self._directory.storable_members,
                moved,
            )
            self.resources.ended("storing the list", started, len(changes))

    def _name_of(self, endpoint: int) -> str:
        member = self._directory.get(endpoint)
        return member.id if member else ""

    def _log_recovery(self) -> None:
        for entered in self.recovery.new_phases(self._clock.now()):
            facts = ", ".join(f"{count} {name}" for name, count in entered.facts.items())
            logger.bind(
                event="recovery.phase", phase=entered.phase.value, after_ms=entered.after, **entered.facts
            ).info("return: {} after {:.0f} ms{}", entered.phase.value, entered.after, f" ({facts})" if facts else "")
        for second, counts in self.recovery.seconds:
            logger.bind(event="recovery.second", second=second, **counts).info(
                "return: second {}: {}", second, ", ".join(f"{count} {name}" for name, count in counts.items())
            )
        self.recovery.seconds.clear()

    def _peer_message_received(self, peer: int, data: bytes) -> None:
        self.feed(i.PeerSaid(peer, data))

    def _endpoint_list_updated(self, update: i.ListTold) -> None:
        self.recovery.listed(self._clock.now())
        self.changed_since_saved = True
        if self._tracer:
            self._tracer.listed()
        self.feed(update)
        for entry in update.entries:
            if entry.phase is not i.Phase.READY:
                for delivery in self._deliveries.values():
                    delivery.close_idle(entry.endpoint)
        # Before another byte is sent: after a kill the next incarnation may find discovery down, and must not call an
        # endpoint that this one was told is gone.
        self._save_list()

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self._send(action)
            case i.Refuse(message, retry_after):
                self._end(message, End(True, to_ms(retry_after)))
            case i.Fail(message):
                self._end(message, End(False))
            case i.Cancel(message, attempt):
                if (open_message := self._open.get(message)) and attempt in open_message.calls:
                    open_message.calls[attempt].cancel()
            case i.SetTimer(delay, token):
                heapq.heappush(self._timers, (self._clock.now() + to_ms(delay), token))
                self._timer_set.set()
            case i.CloseIdle(endpoint):
                for delivery in self._deliveries.values():
                    delivery.close_idle(endpoint)
            case i.Tell(peer, data) if self._peers:
                self._peers.send(peer, data)
            case i.Log(text):
                logger.info("decisions: {}", text)
            case _:  # discovery pushes changes of the endpoint list by itself, and no platform allows probes
                pass

    def _send(self, action: i.Send) -> None:
        """Start an attempt. It settles exactly once, whatever happens: the engine counts its slot until then."""
        message, now = self._open.get(action.message), self._clock.now()
        assert self._tasks is not None
        if message is None:
            self._tasks.start_soon(self._discard_send, action)
            return
        entry, number = message.entry, len(message.entry.attempts)
        member = self._directory.get(action.endpoint)
        attempt = Attempt(now, member.listed.zone if member else 0)
        entry.attempts.append(attempt)
        trace_headers, facts = (
            self._tracer.sending(entry.number, number, member, attempt.zone, now) if self._tracer else ((), None)
        )
        no_other_out = self._config.settings.second_copies or not message.calls
        may_start = self.invariants.holds(Invariant.ONE_ATTEMPT_OUT, no_other_out, entry.id)
        if may_start and self._replicator and self._replicator.is_copied(entry.number):
            may_start = self._record_attempt(message, number, action)
        if not may_start:
            self._settled(message, number, action.endpoint, Result(i.Outcome.MOOT))
            return
        message.calls[number] = anyio.CancelScope()
        self._tasks.start_soon(self._call, message, number, action, member, trace_headers, facts)

    async def _discard_send(self, action: i.Send) -> None:
        """Withdraw a message that is not open, which frees its slot. This runs in a task of its own: if the engine
        repeats the action, it does not block other events."""
        logger.error("message {} is not open: the attempt is not sent", action.message)
        self.feed(
            i.Withdrawn(action.message), i.Settled(action.message, action.attempt, action.endpoint, i.Outcome.MOOT, 0)
        )

    def _record_attempt(self, message: _OpenMessage, number: int, action: i.Send) -> bool:
        """Write the record of an attempt before its first byte is sent; False if the attempt must not be made.

        The record is written once the connection is up: no byte can be sent before, and if the process ends there,
        the attempt must not count as one that may have run. For replicated messages it is written before the
        connect, because other relays have to hold it by the first byte."""
        if number in message.recorded:
            return True
        entry, attempt = message.entry, message.entry.attempts[number]
        cls = self._class_of(entry)
        if not self.invariants.may_send(entry.id, cls, entry.attempts[: number + 1], self._clock.now()):
            return False
        try:
            self._journal.record_attempt(entry.number, number, attempt.sent_at, attempt.zone)
            if self._replicator and self._replicator.is_copied(entry.number):
                attempt.until = min(attempt.sent_at + (to_ms(action.timeout) or math.inf), entry.deadline)
                self._journal.record_attempt_deadline(entry.number, number, attempt.until)
        except JournalFull as err:
            logger.error("journal: {}", err)
            return False
        message.recorded.add(number)
        if not self.recovery.over:
            self.recovery.attempt_started(entry.number)
        return True

    async def _call(
        self,
        message: _OpenMessage,
        attempt: int,
        action: i.Send,
        member: Member | None,
        trace_headers: Sequence[tuple[bytes, bytes]],
        facts: AttemptFacts | None,
    ) -> None:
        entry, result = message.entry, Result(i.Outcome.MOOT)
        if self._replicator and not await self._replicator.until_safe(
            entry.number, (to_ms(action.timeout) or 1e4) / 1e3
        ):
            # Other relays may lack its record, so the attempt was not made.
            self._settled(message, attempt, action.endpoint, result)
            return
        await self._wait_for_disk(message, attempt, action)
        time_left_ms = max(1.0, entry.deadline - self._clock.now())  # with no time left `_wanted` is False
        submission = message.submission
        call = Call(
            entry.id,
            entry.key,
            entry.body,
            min(to_ms(action.timeout) or time_left_ms, time_left_ms),
            trace_headers,
            facts,
            submission.content if submission else None,
            self._class_of(entry).effect is i.Effect.UNSAFE,
        )
        delivery = self._deliveries.get(submission.protocol if submission else 0, self._endpoints)
        try:
            if member and member.address:
                result = await delivery.call(
                    action.endpoint,
                    member.address,
                    call,
                    message.calls[attempt],
                    lambda: self._wanted(action, member) and self._record_attempt(message, attempt, action),
                )
        except Exception:  # a fault in one call must not affect other messages
            logger.exception("a call failed with an unexpected error")
            result = Result(i.Outcome.RESET if attempt in message.recorded else i.Outcome.MOOT)
        if result.wait and member:
            self._record_wait(self._route(member.listed), result.wait)
        self._settled(message, attempt, action.endpoint, result)

    def _record_wait(self, route: int, wait_ms: float) -> float:
        """Keep a retry-after; returns when it ends, in milliseconds."""
        now = self._clock.now()
        self._waits = {route: until for route, until in self._waits.items() if until > now}
        until = self._waits[route] = max(self._waits.get(route, 0.0), now + wait_ms)
        if self._replicator:
            self._replicator.record_wait(route, until)
        return until

    def _endpoint_told_wait(self, endpoint: int, wait_ms: float) -> None:
        """A retry-after that came with no call to belong to: it is kept all the same."""
        if member := self._directory.get(endpoint):
            route = self._route(member.listed)
            until = self._record_wait(route, wait_ms)
            self._apply_waits({route: until})

    def _apply_waits(self, waits: Mapping[int, float]) -> None:
        """Tell the engine of retry-after times by route, in milliseconds."""
        routes = []
        for route, until in waits.items():
            dest, endpoint = (route, None) if route >= 0 else (self._dest_of(~route), ~route)
            routes.append(i.RestoredRoute(dest, endpoint, wait_until=to_micros(until), wait_only=True))
        if routes:
            self.feed(i.RestoredState(tuple(routes)))

    async def _wait_for_disk(self, message: _OpenMessage, attempt: int, action: i.Send) -> None:
        """Wait while the disk refuses records, up to the time limit of the attempt, so that a short disk failure does
        not use up the attempts of a message. The attempt's start time is set after the wait, so that the wait does
        not count as latency of the endpoint."""
        if not self._journal.refusing or attempt in message.recorded:
            return
        deadline = min(self._clock.now() + (to_ms(action.timeout) or math.inf), message.entry.deadline)
        while self._journal.refusing and self._clock.now() < deadline and not message.calls[attempt].cancel_called:
            await anyio.sleep(_DISK_RETRY_INTERVAL_S)
        message.entry.attempts[attempt].sent_at = self._clock.now()

    def _route(self, entry: i.Listed) -> int:
        """The key under which a retry-after of this endpoint is kept: its destination, or the complement of the
        endpoint's number, below zero, for kinds whose endpoints are separate routes."""
        return ~entry.endpoint if self._config.settings.kind(entry).routes_apart else entry.dest

    def _wanted(self, action: i.Send, member: Member) -> bool:
        """Whether a call may still be sent, now that its connection is up. During a slow connect or a pause of the
        process its message may have ended or passed its deadline, the endpoint may have started to drain, the
        destination may have sent a retry-after, the key may have been forgotten, or this relay may have been
        replaced."""
        now, current = self._clock.now(), self._directory.get(action.endpoint)
        message = self._open.get(action.message)
        if message is None or message.withdrawn or message.entry.deadline <= now:
            return False
        if not self._journal.may_act():  # a later incarnation took the folder while this process was paused
            return False
        if self._replicator and not self._replicator.may_act(action.message):  # another relay may have taken it over
            return False
        ready = current is not None and current.listed.phase is i.Phase.READY and current.address == member.address
        key_is_remembered = not action.not_after or to_micros(now) < action.not_after
        return ready and key_is_remembered and self._waits.get(self._route(member.listed), 0.0) <= now

    def _settled(self, message: _OpenMessage, attempt: int, endpoint: int, result: Result) -> None:
        number, now = message.entry.number, self._clock.now()
        if not self.recovery.over:
            self.recovery.answered(now, message.entry.dest)
            if result.ended:
                self.recovery.count(now, RecoveryCounter.SERVED, number)
        message.calls.pop(attempt, None)
        if self._tracer:
            self._tracer.settled(number, attempt, result.outcome, result.wait, result.ended)
        if result.ended:
            self._forget(number)
            if message.submission and message.submission.reply:
                self._send_reply(message, result)
            elif result.confirmation:
                self._provisional.add(message.entry, result.confirmation)
            else:
                self._record_closed(number)
        else:
            try:
                self._journal.record_outcome(number, attempt, result.may_have_run)
            except Exception as err:  # after a restart the attempt counts as one that may have run
                logger.error("journal: {}", err)
            settled_attempt = message.entry.attempts[attempt]
            settled_attempt.may_have_run, settled_attempt.settled = result.may_have_run, True
            if message.withdrawn and not message.calls:
                self._forget(number)
                self._remember(message.entry)
        duration_us = to_micros(now - message.entry.attempts[attempt].sent_at)
        settled = i.Settled(
            number,
            attempt,
            endpoint,
            result.outcome,
            duration_us,
            result.ended,
            to_micros(math.ceil(result.wait)),
            result.slots_taken,
            result.report,
            result.stale,
            result.indeterminate,
        )
        if self._release_if_handing_over(message):
            self.feed(i.Withdrawn(number), settled)
        else:
            self.feed(settled)

    def _send_reply(self, message: _OpenMessage, result: Result) -> None:
        """Reply with the result of the delivery: the endpoint's answer, or a failure after part of it was passed on."""
        delivered = result.outcome is i.Outcome.OK
        if message.reply:
            kind = EndKind.DELIVERED if delivered else EndKind.FAILED
            message.reply.ended(MessageEnd(kind, may_have_run=True, answer=result.answer))
        if delivered:
            self._record_closed(message.entry.number)
        else:
            self._remember(message.entry)

    def _end(self, number: int, end: End) -> None:
        if (message := self._forget(number)) is None:
            return
        if not self.recovery.over:
            self.recovery.count(self._clock.now(), RecoveryCounter.REFUSED, number)
        if self._tracer:
            self._tracer.ended(number, end.handed_back, end.retry_in)
        if message.submission and message.submission.reply:
            if reply := message.reply:
                may_have_run = any(attempt.may_have_run for attempt in message.entry.attempts)
                kind = EndKind.REFUSED if end.handed_back else EndKind.FAILED
                reply.ended(MessageEnd(kind, end.retry_in, may_have_run))
            self._remember(message.entry)
            return
        self._record_end(message.entry, end)
        self._pending_ends.add(message.entry, end)

    def _record_end(self, entry: Entry, end: End) -> None:
        try:
            self._journal.record_end(entry.number, end)
        except Exception as err:  # after a restart the decision engine decides an end again
            logger.error("journal: {}", err)

    def _report_refuted(self, entry: Entry, end: End) -> None:
        if self._tracer:
            self._tracer.ended(entry.number, end.handed_back, end.retry_in)
        self._pending_ends.add(entry, end)

    def _send_notice(self, notice: Notice) -> None:
        if self._replicator:  # a successor without the record of the end could decide a different one
            self._replicator.when_safe(notice.number, lambda: self._notices.add(notice))
        else:
            self._notices.add(notice)

    async def _write_pending(self) -> None:
        """Retry the records that the disk refused, and release the ends that wait for them. Sleeps while none is
        refused."""
        while True:
            if not (self._journal.refusing or len(self._pending_ends)):
                await self._disk_refused.wait()
            await anyio.sleep(_DISK_RETRY_INTERVAL_S)
            self._journal.write_pending()
            self._pending_ends.release()

    def _record_closed(self, number: int) -> None:
        try:
            self._journal.record_closed(number)
        except Exception as err:  # after a restart the message is recovered again, which does no harm
            logger.error("journal: {}", err)
        if self._tracer:
            self._tracer.closed(number)

    def _add_open(self, message: _OpenMessage) -> None:
        message.body_bytes = len(message.entry.body)
        self._open_body_bytes += message.body_bytes
        self._open[message.entry.number] = message
        self._by_id[message.entry.id] = message.entry.number

    def _forget(self, number: int) -> _OpenMessage | None:
        message = self._open.pop(number, None)
        if message:
            self._open_body_bytes -= message.body_bytes
            self._by_id.pop(message.entry.id, None)
            if message.accepted and not (message.submission and message.submission.reply):
                self._accepted_ids.add(message.entry.id, message.entry.deadline)
        return message

    def _load_endpoint_list(self) -> None:
        """Load the endpoint list of the configuration, or a newer one that an earlier incarnation stored."""
        lists = [(self._config.known, "the configuration")]
        if state_cache := self._state_cache:
            revision = self._config.known.get("revision", -1) if self._config.known else -1
            state_cache.read(self._clock.now(), str(self._config.discovery), revision if type(revision) is int else -1)
            if stored := state_cache.endpoint_list:
                found = {"revision": stored.revision, "complete": True, "members": list(stored.members.values())}
                lists.insert(0, (found, "an earlier run"))
        for stored_list, source in lists:
            if not stored_list:
                continue
            try:
                update = self._directory.read(stored_list)
                self.feed(update.event(cached=True))
                if update.complete and update.version != NO_REVISION:
                    self._discovery.has(update.version)
                return
            except ListError as err:
                logger.warning("the endpoint list of {} is ignored: {}", source, err)

    def _recover(self) -> None:
        """Pass the messages that an earlier incarnation left open to the engine, and send its pending notices."""
        now, entries = self._clock.now(), list(self._journal.entries.values())
        if state_cache := self._state_cache:
            state_cache.correct_entries(entries, now, self._journal.since_written_ms)
            if restored_state := state_cache.restored_state(self._directory.number, now):
                log_health_changes(self._health_changes.since_last(restored_state), self._clock.now())
                self.feed(restored_state)
        log_damage(self._journal)
        if self._replicator:  # the coordination store decides who owns these
            self._awaiting_ownership = {entry.number: entry for entry in entries if self._replicator.covers(entry)}
            entries = [entry for entry in entries if entry.number not in self._awaiting_ownership]
        self._journal.entries.clear()
        for wire_id, deadline in self._journal.closed_ids.items():
            self._accepted_ids.add(wire_id, deadline)
        self._journal.closed_ids.clear()
        arrived = self._adopted_events(entries)
        if entries:
            logger.info("from the journal: {} messages, {} notices", len(arrived), len(self._notices))
        self.recovery.folder(
            now,
            {event.message: event.dest for event in arrived},
            len(self._journal.damage),
            [event.message for event in arrived if not any(attempt.may_have_run for attempt in event.earlier)],
        )
        self.feed(*arrived)

    def _adopted_events(self, entries: Sequence[Entry]) -> list[i.Arrived]:
        """Take responsibility for these messages; returns the events for the decision engine."""
        now, arrived = self._clock.now(), []
        for entry in entries:
            self._resolve_indeterminate(entry)
            if entry.call:
                self._remember(entry)
                continue
            if self._tracer:
                self._tracer.recovered(entry)
            if entry.end:
                self._accepted_ids.add(entry.id, entry.deadline)
                self._pending_ends.add(entry, entry.end)
            else:
                self._add_open(_OpenMessage(entry, accepted=True))
                arrived.append(
                    i.Arrived(
                        entry.number,
                        self._config.names.classes.index(entry.class_name),
                        entry.dest,
                        max(0, to_micros(entry.deadline - now)),
                        earlier=_earlier_attempts(entry),
                        restored=True,
                    )
                )
        return arrived

    # Replicas of this relay's messages, and messages of other relays.

    def _may_end(self) -> bool:
        return self._journal.may_act() and (self._replicator is None or self._replicator.may_end())

    async def _begin_replication(self) -> None:
        """Ask the store who owns the replicated messages of the folder; resume those that are still this relay's."""
        assert self._replicator
        lost = await self._replicator.begin(self._awaiting_ownership)
        for number in lost:
            self._awaiting_ownership.pop(number)
            self._record_closed(number)
        for entry in self._awaiting_ownership.values():
            if entry.origin and not entry.origin.confirmed:
                self._record_confirmed(entry)
            self._replicator.opening(entry)
        arrived = self._adopted_events(list(self._awaiting_ownership.values()))
        if self._awaiting_ownership:
            logger.info("from the journal, after the ownership check: {} messages", len(arrived))
        self._awaiting_ownership.clear()
        self._replication_started.set()
        self.feed(*arrived)

    def _record_confirmed(self, entry: Entry) -> None:
        assert entry.origin
        entry.origin = replace(entry.origin, confirmed=True)
        try:
            self._journal.record_origin(entry.number, entry.origin)
        except JournalFull as err:  # a later incarnation asks the store again
            logger.error("journal: {}", err)

    def adopt(self, entries: Sequence[Entry]) -> list[int]:
        """Journal messages of another relay under numbers of this one, without processing them yet; returns the
        numbers."""
        assert self._replicator
        numbers = []
        for foreign in entries:
            if foreign.id in self._by_id or foreign.class_name not in self._config.names.classes:
                logger.warning("message {} of another relay is ignored: a duplicate or of an unknown class", foreign.id)
                continue
            entry = replace(foreign, number=self._journal.next_number)
            self._replicator.opening(entry)
            try:
                self._journal.record_complete(entry)
            except JournalFull as err:  # this process still delivers it, from memory
                logger.error("journal: {}", err)
            self._adopting[entry.number] = entry
            self._by_id[entry.id] = entry.number
            numbers.append(entry.number)
        return numbers

    def confirm(self, numbers: Sequence[int], waits: Mapping[int, float]) -> None:
        """Ownership is confirmed: process the messages as restored ones. `waits`: the retry-after times that their
        earlier owner received, by route, in milliseconds of this relay's clock; they are applied first."""
        entries = [self._adopting.pop(number) for number in numbers]
        for entry in entries:
            self._record_confirmed(entry)
        for route, until in waits.items():
            self._waits[route] = max(self._waits.get(route, 0.0), until)
        self._apply_waits(waits)
        for entry in entries:
            self._start_adopted(entry, self._out_until(entry) - self._clock.now())

    def _out_until(self, entry: Entry) -> float:
        """When the last attempt of the earlier owner is over, in milliseconds. This prevents two attempts at once: the
        owner may be paused with an attempt on the wire. A message that is not retried does not wait, and a keyed
        one waits no longer than its key is remembered: then it is given up."""
        cls = self._class_of(entry)
        until = max((attempt.until for attempt in entry.attempts if not attempt.settled), default=0.0)
        if entry.end or cls.effect is i.Effect.UNSAFE:
            return 0.0
        possible_runs = [attempt.sent_at for attempt in entry.attempts if attempt.may_have_run]
        if cls.effect is i.Effect.KEYED and possible_runs:
            until = min(until, min(possible_runs) + to_ms(cls.window))
        return min(until, entry.deadline)

    def _start_adopted(self, entry: Entry, after_ms: float) -> None:
        """Pass a message that was taken over to the decision engine, at once or after a delay."""
        if after_ms <= 0:
            self.feed(*self._adopted_events([entry]))
            return

        async def start_later() -> None:
            await anyio.sleep(after_ms / 1e3)
            self.feed(*self._adopted_events([entry]))

        assert self._tasks
        self._tasks.start_soon(start_later)

    def _class_of(self, entry: Entry) -> i.MessageClass:
        return self._config.settings.classes[self._config.names.classes.index(entry.class_name)]

    def _dest_of(self, endpoint: int) -> int:
        member = self._directory.get(endpoint)
        return member.listed.dest if member else -1

    def drop(self, numbers: Sequence[int]) -> None:
        """Another relay owns these messages after all."""
        for number in numbers:
            if entry := self._adopting.pop(number, None):
                self._by_id.pop(entry.id, None)
                self._record_closed(number)

    def release_copied(self) -> int:
        """Start no more attempts for replicated messages; returns how many still have one in progress."""
        self.letting_go = True
        attempts_out = (
            sum(self._replicator.is_copied(number) for number in self._provisional) if self._replicator else 0
        )
        for number, message in list(self._open.items()):
            if not (self._replicator and self._replicator.is_copied(number)):
                continue
            if message.calls:
                attempts_out += 1
            else:
                self._forget(number)
                self.feed(i.Withdrawn(number))
        return attempts_out

    def _release_if_handing_over(self, message: _OpenMessage) -> bool:
        """Stop processing a message whose attempt settled, if another relay takes it over; True if so."""
        number = message.entry.number
        if self.letting_go and self._replicator and self._replicator.is_copied(number) and not message.calls:
            self._forget(number)
            return True
        return False

    async def replicated(self, number: int) -> bool:
        """Wait until a message is replicated as its class requires, before its client learns that it is accepted; False
        if that takes too long."""
        return self._replicator is None or await self._replicator.until_accepted(number, _REPLICATION_TIMEOUT_S)

    def awaits_replication(self, number: int) -> bool:
        return self._replicator is not None and not self._replicator.may_be_accepted(number)

    def _resolve_indeterminate(self, entry: Entry) -> None:
        """Add the attempt that may be missing from the records of an earlier incarnation, and end a message that cannot
        be delivered."""
        if entry.class_name not in self._config.names.classes:
            entry.end = entry.end or End(False)
            return
        cls = self._class_of(entry)
        try:
            if (end := indeterminate.end_of(entry, cls)) is not None:
                entry.end = end
                self._record_end(entry, end)
            elif (missing := indeterminate.missing_attempt(entry, cls)) is not None:
                entry.attempts.append(missing)
                self._journal.record_attempt(entry.number, len(entry.attempts) - 1, missing.sent_at, missing.zone)
        except JournalFull as err:  # the next incarnation comes to the same result
            logger.error("journal: {}", err)

    async def _run_timers(self) -> None:
        """Pass each timer of the decision engine to it when due."""
        while True:
            self._timer_set = anyio.Event()
            wait = (self._timers[0][0] - self._clock.now()) / 1e3 if self._timers else math.inf
            if wait > 0:
                with anyio.move_on_after(wait):
                    await self._timer_set.wait()
            else:
                self.feed(i.Rang(heapq.heappop(self._timers)[1]))
                await anyio.sleep(0)

    async def _end_overdue(self) -> None:
        """End messages that a fault in the decision engine has lost, so that each still gets its end. The engine ends a
        message before its deadline, so this finds none unless the engine failed."""
        while True:
            await anyio.sleep(_OVERDUE_GRACE_MS / 1e3)
            if self._stall_detector.observe(self._clock.now()):
                self.feed(i.Resumed())
            for number in self._call_history.expired(self._clock.now()):
                self._record_closed(number)
            self._accepted_ids.drop_expired(self._clock.now())
            self._journal.delete_expired()
            overdue = self._clock.now() - _OVERDUE_GRACE_MS
            if self._provisional.has_overdue(overdue):
                self._endpoints.confirm_silent()  # what silence has confirmed by now is not reported as failed
                self._provisional.end_overdue(overdue)
            for number in [
                open_number for open_number, candidate in self._open.items() if candidate.entry.deadline < overdue
            ]:
                if message := self._open.get(number):  # ending one may let the engine end others
                    logger.error("message {} is past its deadline and is given up", message.entry.id)
                    self.feed(i.Withdrawn(number))
                    self._end(number, End(False))

    def close(self) -> None:
        if self._peers:
            self._peers.close()
        self._journal.close()
