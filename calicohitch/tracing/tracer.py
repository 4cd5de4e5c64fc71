"""Notes what happens to messages, and hands the traces that are kept to the exporters.

The relay calls the methods below as things happen; each is a few assignments. Nothing here decides anything of
a message, and an error here must never reach one: the relay's own work goes on without its trace.
"""

from __future__ import annotations

import heapq
import os
import random
import struct
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from .. import __version__
from ..clock import Clock, to_ms
from ..interface import Held, Hold, MessageClass, Outcome
from ..journal import Entry
from . import context as w3c
from .context import TraceContext
from .export.queue import ExportQueue
from .facts import AttemptFacts, End, Facts, Timeline
from .ledger import Ledger
from .sampling import SampledTrace, Sampler, cause_of, in_share
from .settings import TracingSettings
from .spans import Span, Value, attempt_span_id, cost, spans_of

if TYPE_CHECKING:
    from ..net.discovery import Member

_RECORD = struct.Struct(">d16s8s8sB?")  # taken at; ids of trace, root and parent; flags; handed in again
_OWN = frozenset({Hold.ORDER, Hold.RISK})  # reasons that are the message's, not its destination's
_TICK_S = 1.0
_DRAIN_S = 1.0
_MOST_ASKED = 8  # messages with reasons of their own that are passed over for the destination's
_MOST_MADE = 4  # windows' budgets of kept traces that may wait to be made into spans
_STRAYS_MS = 60_000.0

Headers = Iterable[tuple[bytes, bytes]]


class Exporter(Protocol):
    """Takes traces without ever being waited for; `run` does its work until it is cancelled."""

    queue: ExportQueue
    stopping: bool

    def offer(self, spans: list[Span]) -> None: ...

    async def run(self) -> None: ...


@dataclass(slots=True)
class _Dest:
    """What is noted of one destination while messages for it live."""

    timeline: Timeline = field(default_factory=Timeline)
    held: dict[int, None] = field(default_factory=dict)
    live: int = 0
    reason: Hold | None = None  # what was heard last
    asked_again_at: float = 0.0  # when the reason that was heard last may end


class Tracer:
    """The traces of one relay. `why` is the decisions' answer to why a message is held."""

    def __init__(
        self,
        settings: TracingSettings,
        clock: Clock,
        name: str,
        classes: tuple[MessageClass, ...],
        class_names: tuple[str, ...],
        state: Path,
        seed: int = 0,
    ) -> None:
        self._set, self._clock, self._classes, self._names = settings, clock, classes, class_names
        self.why: Callable[[int], Held | None] = lambda _: None
        self._sampler: Sampler[Facts] = Sampler(settings.budget, seed, cost)
        self._ids = random.Random(os.urandom(32))
        self._live: dict[int, Facts] = {}
        self._dests: dict[int, _Dest] = {}
        self._fresh: list[int] = []  # messages whose reason was not asked for yet
        self._touched: dict[int, None] = {}
        self._wakes: list[tuple[float, int]] = []
        self._made: deque[SampledTrace[Facts]] = deque()
        self._unmade_dropped = 0
        self.faults: Counter[str] = Counter()
        self._resource: dict[str, Value] = {
            "service.name": settings.service,
            "service.instance.id": name,
            "service.version": __version__,
        }
        self._exporters: list[Exporter] = []
        self._make_exporters(seed)
        self._ledger: Ledger | None = None
        try:
            self._ledger = Ledger(state / "tracing.ledger")
        except OSError as err:
            logger.bind(event="tracing.ledger").warning("traces: losses cannot be counted: {}", err)
        if self._ledger and self._ledger.lost:
            self.faults["lost at a kill"] = self._ledger.lost
            logger.bind(event="tracing.lost").warning(
                "traces: {} were lost when the last process ended", self._ledger.lost
            )

    def _make_exporters(self, seed: int) -> None:
        """Each way out is imported only where it is switched on."""
        settings = self._set
        if settings.collector:
            from .export.collector import CollectorExporter

            self._exporters.append(
                CollectorExporter(settings.collector, self._clock, self._resource, self.left_out, seed)
            )
        if settings.file:
            from .export.file import FileExporter

            self._exporters.append(FileExporter(settings.file, self._clock, self._resource, self.left_out))
        if settings.log_lines_per_s:
            from .export.log import LogExporter

            self._exporters.append(LogExporter(settings.log_lines_per_s, self._clock))

    # The life of a message, as the relay tells it.

    def submission_received(self, entry: Entry, headers: Headers, now: float, again: bool) -> bytes:
        """A message is about to be taken on at `now`; returns what its journal record is to say."""
        facts = self._begin(entry.id, entry.class_name, entry.dest, headers, entry.key, now, again)
        facts.deadline, facts.body_size = entry.deadline, len(entry.body)
        facts.aim_at = self._aim_of(entry)
        self._live[entry.number] = facts
        self._dest(entry.dest).live += 1
        own = facts.context
        head = _RECORD.pack(now, own.trace_id, own.span_id, facts.parent, own.flags, again)
        return head + own.state.encode()

    def submission_recorded(self, number: int) -> None:
        facts = self._live[number]
        facts.journal_ms = self._clock.now() - facts.taken_at

    def submission_refused(
        self, wire_id: str, class_index: int, dest: int, headers: Headers, key: str | None, why: str, again: bool
    ) -> None:
        """A message was refused before it was taken on: its whole story is here."""
        now = self._clock.now()
        facts = self._begin(wire_id, self._names[class_index], dest, headers, key, now, again)
        facts.end, facts.refusal, facts.decided_at = End.TURNED_AWAY, why, now
        self._finish(facts)

    def accepted(self, number: int) -> None:
        self._hold(number, self._clock.now())

    def withdrawn(self, number: int) -> None:
        """Its client left before it was told: nothing is owed, and no story is here."""
        if facts := self._live.pop(number, None):
            self._leave(number, facts)

    def sending(
        self, number: int, attempt: int, member: Member | None, zone: int, now: float
    ) -> tuple[Sequence[tuple[bytes, bytes]], AttemptFacts | None]:
        """An attempt starts: the headers that its call carries, and where it notes its progress."""
        facts = self._live.get(number)
        if facts is None:
            return (), None
        facts.release(now)
        if dest := self._dests.get(facts.dest):
            dest.held.pop(number, None)
            if dest.held or dest.reason:
                self._touched[facts.dest] = None
        made = AttemptFacts(now, member.id, member.address, zone) if member else AttemptFacts(now, zone=zone)
        facts.attempts.append(made)
        context = facts.context
        parent = w3c.traceparent(context.trace_id, attempt_span_id(context.span_id, attempt), self._flags(context))
        headers = [(b"traceparent", parent.encode())]
        if context.state:
            headers.append((b"tracestate", context.state.encode()))
        return headers, made

    def settled(self, number: int, attempt: int, outcome: Outcome, wait: float, ended: bool) -> None:
        facts, now = self._live.get(number), self._clock.now()
        if facts is None:
            return
        if attempt < len(facts.attempts):
            made = facts.attempts[attempt]
            made.ended_at, made.outcome, made.wait = now, outcome, wait
        if ended:
            facts.end = End.DELIVERED if outcome is Outcome.OK else End.WITHDRAWN
            facts.decided_at = now
        else:
            self._hold(number, now)
        if (dest := self._dests.get(facts.dest)) and (dest.held or dest.reason):
            self._touched[facts.dest] = None

    def ended(self, number: int, handed_back: bool, retry_in: float) -> None:
        if facts := self._live.get(number):
            now = self._clock.now()
            facts.end = End.REFUSED if handed_back else End.FAILED
            facts.decided_at, facts.retry_in = now, retry_in
            facts.release(now)
            if dest := self._dests.get(facts.dest):
                dest.held.pop(number, None)

    def closed(self, number: int) -> None:
        """Nothing more is owed. Only now is a trace told: until then a later life would tell it again."""
        if facts := self._live.pop(number, None):
            self._leave(number, facts)
            self._finish(facts)

    def recovered(self, entry: Entry) -> None:
        """A message of an earlier life is taken up: its trace goes on where the journal knows of it."""
        now = self._clock.now()
        if len(entry.trace) >= _RECORD.size:
            taken_at, trace, root, parent, flags, again = _RECORD.unpack_from(entry.trace)
            state = entry.trace[_RECORD.size :].decode("latin-1")
            facts = Facts(
                entry.id,
                entry.class_name,
                entry.dest,
                taken_at,
                TraceContext(trace, root, flags, state),
                parent if any(parent) else b"",
                w3c.story_of(entry.key) if entry.key else b"",
                again=again,
            )
        else:  # taken on by a life without traces
            since = min([now, *(a.sent_at for a in entry.attempts)])
            facts = self._begin(entry.id, entry.class_name, entry.dest, (), entry.key, since, False)
        facts.recovered_at, facts.deadline, facts.aim_at = now, entry.deadline, self._aim_of(entry)
        facts.body_size = len(entry.body)
        for was in entry.attempts:
            cut = was.may_have_run and not was.settled
            facts.attempts.append(AttemptFacts(was.sent_at, zone=was.zone, cut=cut, earlier_incarnation=True))
        self._live[entry.number] = facts
        self._dest(entry.dest).live += 1
        if entry.end:
            self.ended(entry.number, entry.end.handed_back, entry.end.retry_in)
        else:
            self._hold(entry.number, now)

    def listed(self) -> None:
        """The list of endpoints has changed: so may every reason."""
        self._touched.update(dict.fromkeys(n for n, dest in self._dests.items() if dest.held))

    def look(self) -> None:
        """After the decisions were heard: ask why what is held is held, where that may have changed."""
        now = self._clock.now()
        while self._wakes and self._wakes[0][0] <= now:
            self._touched[heapq.heappop(self._wakes)[1]] = None
        for number in self._fresh:
            facts = self._live.get(number)
            if facts is None or not facts.holding:
                continue
            self._touched[facts.dest] = None
            self._dest(facts.dest).held[number] = None
            if (held := self.why(number)) and held.why in _OWN:
                facts.holding_own = held.why
        self._fresh.clear()
        for name in self._touched:
            if dest := self._dests.get(name):
                self._ask(name, dest, now)
        self._touched.clear()

    # What follows from it.

    def _ask(self, name: int, dest: _Dest, now: float) -> None:
        held = None
        for number in islice(dest.held, _MOST_ASKED):
            if (answer := self.why(number)) and answer.why not in _OWN:
                held = answer
                break
            if answer:
                continue
            break  # the decisions do not hold it: it is out or over, and the relay tells so next
        until = to_ms(held.until) if held else 0.0
        dest.reason = held.why if held else None
        dest.timeline.note(now, dest.reason, until)
        if until > now and dest.asked_again_at != until:
            dest.asked_again_at = until
            heapq.heappush(self._wakes, (until, name))

    def _begin(
        self, wire_id: str, class_name: str, dest: int, headers: Headers, key: str | None, now: float, again: bool
    ) -> Facts:
        came, fault = w3c.read(headers)
        if fault:
            self.faults[f"context {fault.value}"] += 1
        story, root = w3c.story_of(key) if key else b"", self._drawn(8)
        if came:
            own = TraceContext(came.trace_id, root, came.flags, came.state)
            return Facts(wire_id, class_name, dest, now, own, came.span_id, story, again=again)
        own = TraceContext(story or self._drawn(16), root, 0 if story else w3c.RANDOM)
        return Facts(wire_id, class_name, dest, now, own, b"", story, again=again)

    def _drawn(self, size: int) -> bytes:
        """An id by chance, never all-zero; from a generator, since a system call for each id costs more."""
        return (self._ids.getrandbits(8 * size) or 1).to_bytes(size, "big")

    def _flags(self, context: TraceContext) -> int:
        """The sampled flag for the endpoint: the client's, or that of the share of ordinary ones. Which bad
        ones are kept is known at the end only."""
        if in_share(context.trace_id, self._set.budget.ordinary):
            return context.flags | w3c.SAMPLED
        return context.flags

    def _dest(self, name: int) -> _Dest:
        if (dest := self._dests.get(name)) is None:
            dest = self._dests[name] = _Dest()
        return dest

    def _aim_of(self, entry: Entry) -> float:
        cls = self._classes[self._names.index(entry.class_name)] if entry.class_name in self._names else None
        return entry.deadline - to_ms(cls.deadline - cls.aim) if cls else entry.deadline

    def _hold(self, number: int, now: float) -> None:
        if facts := self._live.get(number):
            facts.hold(now)
            self._fresh.append(number)  # most go out before `look`, and are never counted among the held

    def _leave(self, number: int, facts: Facts) -> None:
        if dest := self._dests.get(facts.dest):
            dest.held.pop(number, None)
            dest.live -= 1

    def _finish(self, facts: Facts) -> None:
        now = self._clock.now()
        facts.ended_at = now
        facts.release(now)
        self._take(now)
        if self._sampler.offer(now, cause_of(facts), facts.dest, facts.context.trace_id, facts):
            self._note_owed()

    def _take(self, now: float, all_of_it: bool = False) -> None:
        """Move what a window kept to where spans are made."""
        for kept in self._sampler.take(now, all_of_it):
            if len(self._made) >= _MOST_MADE * max(1, self._set.budget.spans):
                self._unmade_dropped += 1
            else:
                self._made.append(kept)

    def _make_one(self) -> None:
        kept = self._made.popleft()
        if not any(exporter.queue.has_room for exporter in self._exporters):
            for exporter in self._exporters:  # guards the CPU: spans that no queue can take are not made
                exporter.queue.counts.dropped_full += 1
            return
        dest = self._dests.get(kept.item.dest)
        spans = spans_of(kept.item, dest.timeline if dest else None, kept.cause, kept.adjusted)
        for exporter in self._exporters:
            exporter.offer(spans)

    def _note_owed(self) -> None:
        if self._ledger:
            waiting = max((len(e.queue) for e in self._exporters), default=0)
            self._ledger.owe(self._sampler.waiting + len(self._made) + waiting)

    def left_out(self) -> dict[str, Value]:
        """Told in each export: what was seen and kept by cause, and what got lost on the way, since the start."""
        told = self._sampler.left_out()
        lost: dict[str, Value] = {f"calicohitch.seen.{cause}": n for cause, n in told.seen.items()}
        lost |= {f"calicohitch.kept.{cause}": n for cause, n in told.kept.items()}
        full = sum(e.queue.counts.dropped_full for e in self._exporters) + self._unmade_dropped
        other = sum(e.queue.counts.dropped_old + e.queue.counts.dropped_refused for e in self._exporters)
        lost |= {f"calicohitch.fault.{name}": n for name, n in self.faults.items()}
        return lost | {"calicohitch.dropped.queue": full, "calicohitch.dropped.export": other}

    def _forget(self, now: float) -> None:
        """Bounds what is kept of destinations: those without messages go, once no trace of theirs waits."""
        waiting = {kept.item.dest for kept in self._made}
        if self._sampler.due_at is None:
            for name in [n for n, d in self._dests.items() if d.live <= 0 and n not in waiting]:
                del self._dests[name]
        oldest = min((facts.taken_at for facts in self._live.values()), default=now) - _STRAYS_MS
        for dest in self._dests.values():
            dest.timeline.forget_before(oldest)

    async def run(self) -> None:
        """Make spans of what was kept, and export; a trace at a time, so that messages always have their turn."""
        async with anyio.create_task_group() as tasks:
            for exporter in self._exporters:
                self._start(tasks, exporter)
            while True:
                now = self._clock.now()
                self._take(now)
                while self._made:
                    self._guarded_make()
                    await anyio.sleep(0)
                self._forget(now)
                self._note_owed()
                due = self._sampler.due_at
                await anyio.sleep(_TICK_S if due is None else min(max((due - now) / 1e3, 0.01), _TICK_S))

    def _start(self, tasks: TaskGroup, exporter: Exporter) -> None:
        async def kept_up() -> None:
            while True:
                try:
                    await exporter.run()
                except Exception:
                    logger.exception("an exporter of traces broke off and is started again")
                await anyio.sleep(1.0)

        tasks.start_soon(kept_up)

    def _guarded_make(self) -> None:
        try:
            self._make_one()
        except Exception:  # guards the traces behind it; no message depends on this one
            self.faults["spans not made"] += 1
            logger.exception("a trace could not be made")

    async def drain(self, limit_s: float = _DRAIN_S) -> None:
        """At a stop: export what there is, for so long at most."""
        for exporter in self._exporters:
            exporter.stopping = True
        self._take(self._clock.now(), all_of_it=True)
        while self._made:
            self._guarded_make()
        with anyio.move_on_after(limit_s):
            while any(len(exporter.queue) for exporter in self._exporters):
                await anyio.sleep(0.02)
        self._note_owed()
        left = sum(len(exporter.queue) for exporter in self._exporters)
        if left:
            logger.bind(event="tracing.lost").warning("traces: {} could not be exported at the stop", left)
        if self._ledger:
            self._ledger.owe(0)

    def close(self) -> None:
        if self._ledger:
            self._ledger.close()
            self._ledger = None
