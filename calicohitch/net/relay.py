"""One relay: it owns the decisions and the open messages, feeds events to them and carries out their actions.

How a message is handed in is none of its business: any server may put a protocol before `submit`.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .. import interface as i
from ..clock import Clock, to_micros, to_ms
from ..config import Config
from ..core.backoff import Backoff
from ..core.invariants import Invariant, Invariants
from ..core.descriptor_budget import DescriptorUse, divide_descriptors
from ..core.call_history import CallHistory
from ..core.change_notifier import ChangeNotifier
from ..core.discovery_timeouts import DiscoveryTimeouts
from ..core.protocols import Call, Replicator, Delivery, MessageEnd, EndKind, Refusal, Reply, Result, Submission
from ..core.tasks import restart_on_failure
from ..journal import Attempt, End, Entry, Journal, JournalFull
from ..recovery import indeterminate
from ..recovery.cached_state import MOST_MEMBERS
from ..recovery.state_cache import StateCache
from ..recovery.recovery_phases import RecoveryCounter, Recovery
from ..decisions import DecisionEngine
from .discovery import Directory, Discovery, ListError, Member
from .endpoints import Endpoints
from .notices import Notice, Notices
from .peers import Peers
from .pending_ends import PendingEnds

if TYPE_CHECKING:
    from ..tracing.facts import AttemptFacts
    from ..tracing.tracer import Tracer

_LIST_S = 0.3
_OVERDUE_MS = 50.0  # after its time a message is ended here, and so long between two looks: see `Notices`
_DISK_S = 0.02  # between two tries to write what a disk refused
_KEEP_S = 0.25  # between two looks at what the next life had better know
_UNREAD_GROWS = 10  # times what was logged, before it is logged again
_FLEET_S = 5.0  # a start waits so long for the coordination store before it serves what needs none
_COPIED_S = 0.35  # a client waits 0.4 s for its answer
_TOLD_DAMAGES = 20  # stretches of the journal that are logged one by one


@dataclass(slots=True, eq=False)
class _Open:
    """A message that is owed its end."""

    entry: Entry
    told: Submission | None = None  # None: an earlier life took it on
    accepted: bool = False  # the decisions have it
    calls: dict[int, anyio.CancelScope] = field(default_factory=dict)
    written: set[int] = field(default_factory=set)  # attempts whose records are there: of these a byte may have left
    withdrawn: bool = False  # its client has gone; the attempt that is out ends by itself

    @property
    def reply(self) -> Reply | None:
        return self.told.reply if self.told and not self.withdrawn else None


def _earlier(entry: Entry) -> tuple[i.EarlierAttempt, ...]:
    return tuple(i.EarlierAttempt(to_micros(was.sent_at), was.zone, was.may_have_run) for was in entry.attempts)


class Relay:
    """Decisions on sockets. `run` serves until it is cancelled; `submit` hands a message in. `tracer`, if there
    is one, is told what happens and changes nothing."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        journal: Journal,
        tracer: Tracer | None = None,
        speaks: Callable[[str, str, int], int] = lambda *_: 1,
        reserved: int = 0,
        state_cache: StateCache | None = None,
        up_at: float | None = None,
        replicator: Replicator | None = None,
    ) -> None:
        """`state_cache`: what is kept of the world between lives; without one a life begins knowing nothing. `up_at`:
        when the process began, on the clock. `replicator`: other relays hold copies of this one's work, and take
        it over."""
        self._state_cache = state_cache
        self.recovery = Recovery(clock.now() if up_at is None else up_at)
        self._config, self._clock, self._journal = config, clock, journal
        settings = config.settings
        self._engine = DecisionEngine(settings, config.seed)
        self._tracer = tracer
        self.descriptors = divide_descriptors(config.limits.sockets, reserved)
        if tracer:
            tracer.why = self._engine.why_held
            self.descriptors.acquire(DescriptorUse.TRACING)  # for its collector, whether it has one or not
        self._open: dict[int, _Open] = {}
        self._by_id: dict[str, int] = {}
        self._events: deque[i.Event] = deque()
        self._feeding = False
        self._covered: dict[int, Entry] = {}  # the folder's copied messages, until the store tells whose they are
        self._adopting: dict[int, Entry] = {}  # others' messages that are journaled here, and not this relay's yet
        self._begun = anyio.Event()
        self._timers: list[tuple[float, int]] = []
        self._timer_set = anyio.Event()
        self._tasks: TaskGroup | None = None
        self.ready = self.stopping = False
        self.changed_since_saved = False
        self.max_clients = config.limits.sockets // 2
        self._directory = Directory(config.names, speaks)
        backoff = Backoff(settings.couriers, config.seed)
        timeouts = DiscoveryTimeouts(settings.asks_for_list, backoff)
        self._discovery = Discovery(config.discovery, self._directory, self._listed, timeouts, self.descriptors)
        self._waits: dict[int, float] = {}  # destination, or endpoint where those are routes apart -> its end
        self._disk_refused = ChangeNotifier()
        journal.on_refused = self._disk_refused.notify
        self._pending_ends = PendingEnds(journal, clock.now, self._send_notice)
        self._notices = Notices(config.discovery, self._closed, self.descriptors, self._may_end)
        self._endpoints = Endpoints(
            clock,
            tuple(report.name for report in settings.reports),
            to_ms(settings.idle_time),
            to_ms(settings.connect_timeout),
            self.descriptors,
        )
        self._deliveries: dict[int, Delivery] = {0: self._endpoints}
        self.invariants = Invariants()
        self._call_history = CallHistory(settings.open_cap * 4)
        self._replicator, self.letting_go = replicator, False
        if replicator:
            replicator.attach(self)
            journal.copier = replicator.record
        self._peers: Peers | None = None
        if settings.may_tell and config.peer_listen:
            self._peers = Peers(config.peer_listen, config.peers, config.peers_all, self._heard)

    async def run(self) -> None:
        """Take up what an earlier life left open, then serve."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(restart_on_failure, self._ring)
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
            self._read_known()
            tasks.start_soon(restart_on_failure, self._discovery.run)
            if self._replicator:
                tasks.start_soon(self._replicator.run)
            # The list in the configuration may be old, and an endpoint on it drain by now: nothing is sent
            # before discovery was heard. A silent one does not keep the relay from serving.
            with anyio.move_on_after(_LIST_S):
                await self._discovery.heard.wait()
            self._recover()
            if self._replicator:
                tasks.start_soon(self._begin_replication)
                with anyio.move_on_after(_FLEET_S):
                    await self._begun.wait()
            self.ready = True

    def follow(self, config: Config) -> None:
        """Take what a new configuration says of discovery; all else in it waits for the next start."""
        if config.discovery == self._config.discovery:
            return  # its watch goes on
        logger.info("discovery is now at {}", config.discovery)
        self._config = replace(self._config, discovery=config.discovery)
        self._discovery.move(config.discovery)
        self._notices.move(config.discovery)

    @property
    def idle(self) -> bool:
        """Nothing is owed to anyone."""
        ending = len(self._pending_ends) or len(self._notices) or self._replicator and self._replicator.ends_waiting
        return not self._open and not ending

    def submit(self, told: Submission) -> int | Refusal:
        """Journal a message. `accept` must follow once its client was told, or `withdraw` if it was not."""
        taken = self._submit(told)
        if isinstance(taken, Refusal) and taken not in (Refusal.ALREADY_ACCEPTED, Refusal.BEING_SUBMITTED):
            self.turned_away(told, taken)
        return taken

    def turned_away(self, told: Submission, why: Refusal) -> None:
        """An intake refuses a message by itself, or `submit` did: its story is told all the same."""
        if self._tracer:
            self._tracer.submission_refused(
                told.id, told.class_index, told.dest, told.headers, told.key, why.value, told.handed_in_again
            )

    def _submit(self, told: Submission) -> int | Refusal:
        if (number := self._by_id.get(told.id)) is not None:
            # The client sent its request again, or another has its id: only the first may accept or withdraw.
            return Refusal.ALREADY_ACCEPTED if self._open[number].accepted else Refusal.BEING_SUBMITTED
        if self.stopping or not self.ready:
            return Refusal.STOPPING if self.stopping else Refusal.STARTING
        if told.key is None and self._config.settings.classes[told.class_index].effect is i.Effect.KEYED:
            return Refusal.NO_KEY  # it could not be repeated as its class may
        if not self._directory.knows(told.dest):
            return Refusal.UNKNOWN
        room = len(self._open) < self._config.settings.open_cap and self._engine.has_room()
        if not room or not self._journal.has_room(len(told.body)):
            return Refusal.FULL
        if told.reply and (known := self._call_history.recall(told.id)):
            return self._submit_again(known, told)
        if self._replicator and not told.reply and (why := self._replicator.refuses(told.class_index, told.id)):
            return why
        number = self._journal.next_number
        longest = to_ms(self._config.settings.classes[told.class_index].deadline)
        now = self._clock.now()
        deadline = now + min(max(told.time_left, 0.0), longest)
        class_name = self._config.names.classes[told.class_index]
        entry = Entry(
            number, told.id, class_name, told.dest, deadline, told.key, told.body, call=told.reply is not None
        )
        if self._tracer:
            entry.trace = self._tracer.submission_received(entry, told.headers, now, told.handed_in_again)
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
        self._open[number] = _Open(entry, told)
        self._by_id[told.id] = number
        if not self.recovery.over:
            self.recovery.count(now, RecoveryCounter.FRESH)
        return number

    def _submit_again(self, entry: Entry, told: Submission) -> int | Refusal:
        """A client's call broke, here or in an earlier life, and it comes again: what was tried counts."""
        if (entry.class_name, entry.dest, entry.key) != (
            self._config.names.classes[told.class_index],
            told.dest,
            told.key,
        ):
            return Refusal.ALREADY_ACCEPTED  # another message under its id
        self._call_history.forget(told.id)
        longest = to_ms(self._config.settings.classes[told.class_index].deadline)
        entry.deadline = self._clock.now() + min(max(told.time_left, 0.0), longest)
        entry.body = told.body
        if self._tracer:
            self._tracer.submission_received(entry, told.headers, self._clock.now(), True)
            self._tracer.submission_recorded(entry.number)
        self._open[entry.number] = _Open(entry, told)
        self._by_id[told.id] = entry.number
        return entry.number

    def accept(self, number: int, told: Submission) -> None:
        """The client knows that its message is taken on: the decisions may have it."""
        message = self._open.get(number)
        if message and not message.accepted:
            message.accepted = True
            if self._tracer:
                self._tracer.accepted(number)
            left = to_micros(message.entry.deadline - self._clock.now())
            self.feed(
                i.Arrived(
                    number,
                    told.class_index,
                    told.dest,
                    max(0, left),
                    handed_in_again=told.handed_in_again,
                    from_dead_courier=told.from_dead_relay,
                    earlier=_earlier(message.entry),
                    protocol=told.protocol,
                )
            )

    def cancel(self, number: int) -> None:
        """The client of an open call has given it up: nothing is answered any more. What was tried is remembered as
        long as it matters, and an attempt that is out is known until its own end."""
        message = self._open.get(number)
        if message is None or message.withdrawn:
            return
        message.withdrawn = True
        self.feed(i.Withdrawn(number))
        if not message.calls:
            self._forget(number)
            self._remember(message.entry)

    def _remember(self, entry: Entry) -> None:
        """A call is over without a delivery. As long as its effects may matter its client may come again and is told
        what is true; a call that surely never ran is forgotten at once."""
        window = 0.0
        if entry.class_name in self._config.names.classes:
            cls = self._config.settings.classes[self._config.names.classes.index(entry.class_name)]
            window = to_ms(max(cls.window, 0))
        if self._tracer:
            self._tracer.closed(entry.number)
        for number in self._call_history.remember(entry, window, self._clock.now()):
            self._closed(number)

    def deliver_by(self, protocol: int, delivery: Delivery) -> None:
        """Calls in this protocol go through that delivery; before `run`."""
        self._deliveries[protocol] = delivery

    def withdraw(self, number: int) -> None:
        """The client left before it was told: nothing is owed, and it may hand the message in elsewhere."""
        message = self._open.get(number)
        if message and not message.accepted:
            self._forget(number)
            if self._tracer:
                self._tracer.withdrawn(number)
            self._closed(number)

    def feed(self, *events: i.Event) -> None:
        """Tell the decisions what was seen, and do what they answer."""
        self._events.extend(events)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                batch = list(self._events)
                self._events.clear()
                for action in self._decide(batch):
                    try:
                        self._do(action)
                    except Exception:  # guards the actions behind it
                        logger.exception("{} was not carried out", action)
            if self._tracer:
                self._tracer.look()
        finally:
            self._feeding = False

    def _decide(self, events: list[i.Event]) -> list[i.Action]:
        before, each = self._engine.decided(), iter(events)
        try:
            return self._engine.handle(to_micros(self._clock.now()), each)
        except Exception:  # guards the open messages: a relay that ends can do nothing for them
            logger.exception("the decisions broke at {}", events)
            behind = list(each)  # the one that broke it: an outcome there would hold its slot
            self._events.extendleft(reversed(behind if len(behind) < len(events) else behind[1:]))
            # What they had decided they count on: a call that is not made would hold its slot for ever.
            decided = self._engine.decided()
            return [] if decided is before else decided

    async def _save_state_periodically(self) -> None:
        """Tell how the return goes, and store what the next life had better know."""
        unread = 0  # notes, as last logged
        while True:
            await anyio.sleep(_KEEP_S)
            if not self.recovery.reported:
                self._log_recovery()
            if self._engine.limit_updates.unread > _UNREAD_GROWS * unread:
                unread = self._engine.limit_updates.unread
                logger.bind(event="notes.unread", count=unread).warning(
                    "{} notes from other relays could not be read and were left out", unread
                )
            state_cache, news = self._state_cache, self._open or self.changed_since_saved
            if state_cache and self.ready and news and state_cache.due(self._clock.now()):
                self.save_state()

    def save_state(self) -> None:
        """Store what is known of the world now."""
        if self._state_cache and self._journal.may_act():
            self.changed_since_saved = False
            self._state_cache.save(
                self._clock.now(),
                self._engine.known(),
                self._name_of,
                str(self._config.discovery),
                self._discovery.version,
                self._storable,
            )

    def _storable(self) -> Sequence[dict[str, Any]]:
        """The list in discovery's form; nothing where it is too long to be stored."""
        return self._directory.storable_members() if len(self._directory) <= MOST_MEMBERS else ()

    def _name_of(self, endpoint: int) -> str:
        member = self._directory.get(endpoint)
        return member.id if member else ""

    def _log_recovery(self) -> None:
        for passed in self.recovery.new_phases(self._clock.now()):
            facts = ", ".join(f"{count} {name}" for name, count in passed.facts.items())
            logger.bind(event="recovery.phase", phase=passed.phase.value, after_ms=passed.after, **passed.facts).info(
                "return: {} after {:.0f} ms{}", passed.phase.value, passed.after, f" ({facts})" if facts else ""
            )
        for second, counts in self.recovery.seconds:
            logger.bind(event="recovery.second", second=second, **counts).info(
                "return: second {}: {}", second, ", ".join(f"{count} {name}" for name, count in counts.items())
            )
        self.recovery.seconds.clear()

    def _heard(self, peer: int, data: bytes) -> None:
        self.feed(i.PeerSaid(peer, data))

    def _listed(self, told: i.ListTold) -> None:
        self.recovery.listed(self._clock.now())
        self.changed_since_saved = True
        if self._tracer:
            self._tracer.listed()
        self.feed(told)
        for entry in told.entries:
            if entry.phase is not i.Phase.READY:
                for delivery in self._deliveries.values():
                    delivery.close_idle(entry.endpoint)

    def _do(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self._send(action)
            case i.Refuse(message, retry_after):
                self._end(message, End(True, to_ms(retry_after)))
            case i.Fail(message):
                self._end(message, End(False))
            case i.Cancel(message, attempt):
                if (found := self._open.get(message)) and attempt in found.calls:
                    found.calls[attempt].cancel()
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
            case _:  # changes of the list always come unasked, and no site that runs a relay allows probes
                pass

    def _send(self, action: i.Send) -> None:
        """Begin an attempt. Whatever becomes of it, it settles once: the decisions count its slot until then."""
        message, now = self._open.get(action.message), self._clock.now()
        assert self._tasks is not None
        if message is None:
            self._tasks.start_soon(self._not_sent, action)
            return
        entry, number = message.entry, len(message.entry.attempts)
        member = self._directory.get(action.endpoint)
        attempt = Attempt(now, member.listed.zone if member else 0)
        entry.attempts.append(attempt)
        more, marks = (
            self._tracer.sending(entry.number, number, member, attempt.zone, now) if self._tracer else ((), None)
        )
        alone = self._config.settings.second_copies or not message.calls
        made = self.invariants.holds(Invariant.ONE_ATTEMPT_OUT, alone, entry.id)
        if made and self._replicator and self._replicator.is_copied(entry.number):
            made = self._written(message, number, action)
        if not made:
            self._settled(message, number, action.endpoint, Result(i.Outcome.MOOT))
            return
        message.calls[number] = anyio.CancelScope()
        self._tasks.start_soon(self._call, message, number, action, member, more, marks)

    async def _not_sent(self, action: i.Send) -> None:
        """A message that is not here is nobody's: the decisions forget it, and have its slot back. Not in the turn that
        brought the action, so that decisions which insist stop nothing else."""
        logger.error("message {} is not here: it is not sent", action.message)
        self.feed(
            i.Withdrawn(action.message), i.Settled(action.message, action.attempt, action.endpoint, i.Outcome.MOOT, 0)
        )

    def _written(self, message: _Open, number: int, action: i.Send) -> bool:
        """An attempt's record, before its first byte; without one it is not made. Once its connection is up: before
        that no byte can leave, and a life that ends there must not be taken for one that may have delivered. Only for
        copied messages it comes first, since others have to hold it by then."""
        if number in message.written:
            return True
        entry, attempt = message.entry, message.entry.attempts[number]
        cls = self._config.settings.classes[self._config.names.classes.index(entry.class_name)]
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
        message.written.add(number)
        if not self.recovery.over:
            self.recovery.attempt_started(entry.number)
        return True

    async def _call(
        self,
        message: _Open,
        attempt: int,
        action: i.Send,
        member: Member | None,
        more: Sequence[tuple[bytes, bytes]],
        marks: AttemptFacts | None,
    ) -> None:
        entry, result = message.entry, Result(i.Outcome.MOOT)
        if self._replicator and not await self._replicator.until_safe(
            entry.number, (to_ms(action.timeout) or 1e4) / 1e3
        ):
            self._settled(message, attempt, action.endpoint, result)  # nobody may know of it: it was not made
            return
        await self._until_disk_takes(message, attempt, action)
        left = max(1.0, entry.deadline - self._clock.now())  # without any, `_wanted` says no
        told = message.told
        call = Call(
            entry.id,
            entry.key,
            entry.body,
            min(to_ms(action.timeout) or left, left),
            more,
            marks,
            told.content if told else None,
        )
        delivery = self._deliveries.get(told.protocol if told else 0, self._endpoints)
        try:
            if member and member.address:
                result = await delivery.call(
                    action.endpoint,
                    member.address,
                    call,
                    message.calls[attempt],
                    lambda: self._wanted(action, member) and self._written(message, attempt, action),
                )
        except Exception:  # guards all other messages against a fault in the handling of one
            logger.exception("a call broke off")
            result = Result(i.Outcome.RESET if attempt in message.written else i.Outcome.MOOT)
        if result.wait and member:
            now = self._clock.now()
            self._waits = {route: until for route, until in self._waits.items() if until > now}
            self._waits[self._route(member.listed)] = now + result.wait
            if self._replicator:
                self._replicator.record_wait(self._route(member.listed), now + result.wait)
        self._settled(message, attempt, action.endpoint, result)

    async def _until_disk_takes(self, message: _Open, attempt: int, action: i.Send) -> None:
        """Guards the tries of messages against a disk that takes no record for a moment: the call begins once it does,
        or ends without its record. The endpoint is not to answer for the wait."""
        if not self._journal.refusing or attempt in message.written:
            return
        until = min(self._clock.now() + (to_ms(action.timeout) or math.inf), message.entry.deadline)
        while self._journal.refusing and self._clock.now() < until and not message.calls[attempt].cancel_called:
            await anyio.sleep(_DISK_S)
        message.entry.attempts[attempt].sent_at = self._clock.now()

    def _route(self, entry: i.Listed) -> int:
        """What shares a told wait with this endpoint; endpoints that are routes apart are below zero."""
        return ~entry.endpoint if self._config.settings.kind(entry).routes_apart else entry.dest

    def _wanted(self, action: i.Send, member: Member) -> bool:
        """Whether a call may still go out, now that its connection is up. Guards against slow connects and pauses: its
        message may be over by now, or its time, its endpoint drain, its destination have told to wait, its key be
        forgotten, its relay be replaced."""
        now, told = self._clock.now(), self._directory.get(action.endpoint)
        message = self._open.get(action.message)
        if message is None or message.withdrawn or message.entry.deadline <= now:
            return False
        if not self._journal.may_act():  # this process stood still, and a later life has its work
            return False
        if self._replicator and not self._replicator.may_act(action.message):  # and another relay may have it by now
            return False
        ready = told is not None and told.listed.phase is i.Phase.READY and told.address == member.address
        remembered = not action.not_after or to_micros(now) < action.not_after
        return ready and remembered and self._waits.get(self._route(member.listed), 0.0) <= now

    def _settled(self, message: _Open, attempt: int, endpoint: int, result: Result) -> None:
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
            if message.told and message.told.reply:
                self._answer(message, result)
            else:
                self._closed(number)
        else:
            try:
                self._journal.record_outcome(number, attempt, not result.outcome.never_ran)
            except Exception as err:  # after a restart the attempt counts as one that may have run
                logger.error("journal: {}", err)
            made = message.entry.attempts[attempt]
            made.may_have_run, made.settled = not result.outcome.never_ran, True
            if message.withdrawn and not message.calls:
                self._forget(number)
                self._remember(message.entry)
        took = to_micros(now - message.entry.attempts[attempt].sent_at)
        settled = i.Settled(
            number,
            attempt,
            endpoint,
            result.outcome,
            took,
            result.ended,
            to_micros(math.ceil(result.wait)),
            result.slots_taken,
            result.report,
            result.stale,
        )
        if self._lets_go(message):
            self.feed(i.Withdrawn(number), settled)
        else:
            self.feed(settled)

    def _answer(self, message: _Open, result: Result) -> None:
        """The delivery's end is the call's: what the endpoint answered, or a half of it that cannot be taken back."""
        delivered = result.outcome is i.Outcome.OK
        if message.reply:
            how = EndKind.DELIVERED if delivered else EndKind.FAILED
            message.reply.ended(MessageEnd(how, may_have_run=True, answer=result.answer))
        if delivered:
            self._closed(message.entry.number)
        else:
            self._remember(message.entry)

    def _end(self, number: int, end: End) -> None:
        if (message := self._forget(number)) is None:
            return
        if not self.recovery.over:
            self.recovery.count(self._clock.now(), RecoveryCounter.REFUSED, number)
        if self._tracer:
            self._tracer.ended(number, end.handed_back, end.retry_in)
        if message.told and message.told.reply:
            if reply := message.reply:
                ran = any(attempt.may_have_run for attempt in message.entry.attempts)
                how = EndKind.REFUSED if end.handed_back else EndKind.FAILED
                reply.ended(MessageEnd(how, end.retry_in, ran))
            self._remember(message.entry)
            return
        self._record_end(message.entry, end)
        self._pending_ends.add(message.entry, end)

    def _record_end(self, entry: Entry, end: End) -> None:
        try:
            self._journal.record_end(entry.number, end)
        except Exception as err:  # after a restart the decisions come to an end of their own
            logger.error("journal: {}", err)

    def _send_notice(self, notice: Notice) -> None:
        if self._replicator:  # a successor that does not know of the end would come to another
            self._replicator.when_safe(notice.number, lambda: self._notices.add(notice))
        else:
            self._notices.add(notice)

    async def _write_pending(self) -> None:
        """Try again what the disk refused, and tell the ends that waited for it. Asleep while it refuses nothing."""
        while True:
            if not (self._journal.refusing or len(self._pending_ends)):
                await self._disk_refused.wait()
            await anyio.sleep(_DISK_S)
            self._journal.write_pending()
            self._pending_ends.release()

    def _closed(self, number: int) -> None:
        try:
            self._journal.record_closed(number)
        except Exception as err:  # after a restart the message is taken up again, which does no harm
            logger.error("journal: {}", err)
        if self._tracer:
            self._tracer.closed(number)

    def _forget(self, number: int) -> _Open | None:
        message = self._open.pop(number, None)
        if message:
            self._by_id.pop(message.entry.id, None)
        return message

    def _read_known(self) -> None:
        """The list of the configuration, or a newer one that an earlier life stored."""
        lists = [(self._config.known, "the configuration")]
        if state_cache := self._state_cache:
            revision = self._config.known.get("revision", -1) if self._config.known else -1
            state_cache.read(self._clock.now(), str(self._config.discovery), revision if type(revision) is int else -1)
            if (told := state_cache.validated) and told.members:
                stored = {"revision": told.revision, "complete": True, "members": list(told.members)}
                lists.insert(0, (stored, "an earlier life"))
        for known, whose in lists:
            if not known:
                continue
            try:
                update = self._directory.read(known)
                self.feed(update.event(cached=True))
                if update.complete:
                    self._discovery.has(update.version)
                return
            except ListError as err:
                logger.warning("the list of {} is left out: {}", whose, err)

    def _recover(self) -> None:
        """Tell the decisions what an earlier life left open, and send the notices that it still owes."""
        now, entries = self._clock.now(), list(self._journal.entries.values())
        if state_cache := self._state_cache:
            state_cache.correct_entries(entries)
            if recalled := state_cache.restored_state(self._directory.number, now):
                self.feed(recalled)
        self._log_damage()
        if self._replicator:  # whose those are the store has to say
            self._covered = {entry.number: entry for entry in entries if self._replicator.covers(entry)}
            entries = [entry for entry in entries if entry.number not in self._covered]
        self._journal.entries.clear()
        arrived = self._adopted_events(entries)
        if entries:
            logger.info("from the journal: {} messages, {} notices", len(arrived), len(self._notices))
        self.recovery.folder(
            now,
            {told.message: told.dest for told in arrived},
            len(self._journal.damage),
            [told.message for told in arrived if not any(was.may_have_run for was in told.earlier)],
        )
        self.feed(*arrived)

    def _adopted_events(self, entries: Sequence[Entry]) -> list[i.Arrived]:
        """Owe these messages their ends; what the decisions are to be told of them."""
        now, arrived = self._clock.now(), []
        for entry in entries:
            self._doubt(entry)
            if entry.call:
                self._remember(entry)
                continue
            if self._tracer:
                self._tracer.recovered(entry)
            if entry.end:
                self._pending_ends.add(entry, entry.end)
            else:
                self._open[entry.number] = _Open(entry, accepted=True)
                self._by_id[entry.id] = entry.number
                arrived.append(
                    i.Arrived(
                        entry.number,
                        self._config.names.classes.index(entry.class_name),
                        entry.dest,
                        max(0, to_micros(entry.deadline - now)),
                        earlier=_earlier(entry),
                        restored=True,
                    )
                )
        return arrived

    # Copies of this relay's work, and work of others.

    def _may_end(self) -> bool:
        return self._journal.may_act() and (self._replicator is None or self._replicator.may_end())

    async def _begin_replication(self) -> None:
        """Once the store has told whose the folder's copied messages are, go on with those that are this relay's."""
        assert self._replicator
        lost = await self._replicator.begin(self._covered)
        for number in lost:
            self._covered.pop(number)
            self._closed(number)
        for entry in self._covered.values():
            if entry.origin and not entry.origin.confirmed:
                self._confirmed(entry)
            self._replicator.opening(entry)
        arrived = self._adopted_events(list(self._covered.values()))
        if self._covered:
            logger.info("from the journal, once the fleet was asked: {} messages", len(arrived))
        self._covered.clear()
        self._begun.set()
        self.feed(*arrived)

    def _confirmed(self, entry: Entry) -> None:
        assert entry.origin
        entry.origin = replace(entry.origin, confirmed=True)
        try:
            self._journal.record_origin(entry.number, entry.origin)
        except JournalFull as err:  # a later life asks the store again
            logger.error("journal: {}", err)

    def adopt(self, entries: Sequence[Entry]) -> list[int]:
        """Journal messages of another relay under numbers of this one's; nothing is done with them yet."""
        assert self._replicator
        numbers = []
        for told in entries:
            if told.id in self._by_id or told.class_name not in self._config.names.classes:
                logger.warning("message {} of another relay is left out: it is here already, or of no class", told.id)
                continue
            entry = replace(told, number=self._journal.next_number)
            self._replicator.opening(entry)
            try:
                self._journal.record_complete(entry)
            except JournalFull as err:  # it is owed its end all the same, and this process knows it
                logger.error("journal: {}", err)
            self._adopting[entry.number] = entry
            self._by_id[entry.id] = entry.number
            numbers.append(entry.number)
        return numbers

    def confirm(self, numbers: Sequence[int], waits: Mapping[int, float]) -> None:
        """They are this relay's now: they enter as restored ones do, behind the waits that their owner was told."""
        entries = [self._adopting.pop(number) for number in numbers]
        for entry in entries:
            self._confirmed(entry)
        routes = []
        for route, until in waits.items():
            self._waits[route] = max(self._waits.get(route, 0.0), until)
            dest, endpoint = (route, None) if route >= 0 else (self._dest_of(~route), ~route)
            routes.append(i.RestoredRoute(dest, endpoint, wait_until=to_micros(until), wait_only=True))
        if routes:
            self.feed(i.RestoredState(tuple(routes)))
        for entry in entries:
            self._enter(entry, self._out_until(entry) - self._clock.now())

    def _out_until(self, entry: Entry) -> float:
        """Guards against two attempts at once: the owner may stand still with the last one on the wire. What no class
        lets go again waits for nothing, a keyed message no longer than its key is remembered: then it is given up."""
        cls = self._config.settings.classes[self._config.names.classes.index(entry.class_name)]
        until = max((was.until for was in entry.attempts if not was.settled), default=0.0)
        if entry.end or cls.effect is i.Effect.UNSAFE:
            return 0.0
        ran = [was.sent_at for was in entry.attempts if was.may_have_run]
        if cls.effect is i.Effect.KEYED and ran:
            until = min(until, min(ran) + to_ms(cls.window))
        return min(until, entry.deadline)

    def _enter(self, entry: Entry, after_ms: float) -> None:
        """A message that was taken over is told to the decisions, at once or later."""
        if after_ms <= 0:
            self.feed(*self._adopted_events([entry]))
            return

        async def later() -> None:
            await anyio.sleep(after_ms / 1e3)
            self.feed(*self._adopted_events([entry]))

        assert self._tasks
        self._tasks.start_soon(later)

    def _dest_of(self, endpoint: int) -> int:
        member = self._directory.get(endpoint)
        return member.listed.dest if member else -1

    def drop(self, numbers: Sequence[int]) -> None:
        """Another relay has them after all."""
        for number in numbers:
            if entry := self._adopting.pop(number, None):
                self._by_id.pop(entry.id, None)
                self._closed(number)

    def release_copied(self) -> int:
        """Begin nothing more for copied messages; how many have an attempt out still."""
        self.letting_go = True
        out = 0
        for number, message in list(self._open.items()):
            if not (self._replicator and self._replicator.is_copied(number)):
                continue
            if message.calls:
                out += 1
            else:
                self._forget(number)
                self.feed(i.Withdrawn(number))
        return out

    def _lets_go(self, message: _Open) -> bool:
        """Its attempt is over and it is not: another relay goes on with it."""
        number = message.entry.number
        if self.letting_go and self._replicator and self._replicator.is_copied(number) and not message.calls:
            self._forget(number)
            return True
        return False

    async def replicated(self, number: int) -> bool:
        """Before a client is told that its message is taken on: whether it is copied as its class asks."""
        return self._replicator is None or await self._replicator.until_accepted(number, _COPIED_S)

    def awaits_replication(self, number: int) -> bool:
        return self._replicator is not None and not self._replicator.may_be_accepted(number)

    def _doubt(self, entry: Entry) -> None:
        """What is missing of an earlier life's records may have run; what cannot be delivered is ended."""
        if entry.class_name not in self._config.names.classes:
            entry.end = entry.end or End(False)
            return
        cls = self._config.settings.classes[self._config.names.classes.index(entry.class_name)]
        try:
            if (end := indeterminate.end_of(entry, cls)) is not None:
                entry.end = end
                self._record_end(entry, end)
            elif (missing := indeterminate.missing_attempt(entry, cls)) is not None:
                entry.attempts.append(missing)
                self._journal.record_attempt(entry.number, len(entry.attempts) - 1, missing.sent_at, missing.zone)
        except JournalFull as err:  # the next life comes to the same
            logger.error("journal: {}", err)

    def _log_damage(self) -> None:
        """Each damaged stretch by segment and offset, the first few one by one, and what it means for messages."""
        journal = self._journal
        if not journal.damage and not journal.orphans:
            return
        for one in journal.damage[:_TOLD_DAMAGES]:
            logger.bind(
                event="recovery.damage", segment=one.segment, offset=one.offset, length=one.length, mended=one.repaired
            ).warning("journal: {} at {}: {} bytes are damaged: {}", one.segment, one.offset, one.length, one.what)
        entries = journal.entries.values()
        told = {
            "stretches": len(journal.damage),
            "mended": sum(one.repaired for one in journal.damage),
            "doubtful": sum(entry.doubtful for entry in entries),
            "bodiless": sum(e.bodiless for e in entries),
            "orphans": journal.orphans,
        }
        logger.bind(event="recovery.damaged", **told).error(
            "journal: {stretches} damaged stretches, {mended} of them mended; of {doubtful} open messages an attempt "
            "or an end may be missing: each goes on as its class allows; {bodiless} have lost their bodies and are "
            "ended; {orphans} are known by later records only, and nobody can be told of them",
            **told,
        )

    async def _ring(self) -> None:
        """Wake the decisions when a timer of theirs is due."""
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
        """Guards messages that a fault in the decisions has lost: each is owed its end. The decisions end a
        message before its time is up, so this finds none unless they broke."""
        while True:
            await anyio.sleep(_OVERDUE_MS / 1e3)
            for number in self._call_history.expired(self._clock.now()):
                self._closed(number)
            overdue = self._clock.now() - _OVERDUE_MS
            for number in [n for n, open_ in self._open.items() if open_.entry.deadline < overdue]:
                if late := self._open.get(number):  # after a pause, the end of one lets the decisions end the others
                    logger.error("message {} was overdue and is given up", late.entry.id)
                    self.feed(i.Withdrawn(number))
                    self._end(number, End(False))

    def close(self) -> None:
        if self._peers:
            self._peers.close()
        self._journal.close()
