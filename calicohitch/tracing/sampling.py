"""Which traces are kept, decided at a message's end. No I/O and no clock: time and chance come as arguments.

All that went badly is wanted, and of the ordinary a share. Traces are gathered for a window (a second). When
they cost more than the window's budget, each stratum - a cause at a destination - gets an equal part of it, and
what a small one leaves goes to the others (max-min fairness). So one broken partner system cannot hide the single
bad case of another. Inside a stratum every trace has the same chance (a reservoir, whose room only shrinks), so
seen / kept is the exact weight of each kept one: its adjusted count.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from .facts import End, Facts
from .settings import Budget


class Cause(Enum):
    """Why a trace is wanted; the first that fits counts, from the gravest on."""

    FAILED = "failed"
    REFUSED = "refused"
    RECOVERED = "recovered"
    LATE = "late"
    REPEATED = "repeated"
    ASKED = "asked"  # the client set the sampled flag
    ORDINARY = "ordinary"


def cause_of(facts: Facts) -> Cause:
    if facts.end is End.FAILED:
        return Cause.FAILED
    if facts.end in (End.REFUSED, End.TURNED_AWAY):
        return Cause.REFUSED
    if facts.recovered_at:
        return Cause.RECOVERED
    if facts.late:
        return Cause.LATE
    if len(facts.attempts) > 1 or facts.again:
        return Cause.REPEATED
    return Cause.ASKED if facts.context.sampled else Cause.ORDINARY


def in_share(trace_id: bytes, share: float) -> bool:
    """Whether a trace belongs to a share of all. It follows from the id's random part alone, so that every
    relay and every life keeps the same ones (OpenTelemetry's consistent sampling, 56 bits)."""
    return int.from_bytes(trace_id[-7:], "big") < share * (1 << 56)


WINDOW_MS = 1_000.0
OTHERS = -1  # destination of the stratum that takes what is past `Budget.strata`

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class SampledTrace(Generic[Item]):
    item: Item
    cause: Cause
    adjusted: float  # so many messages does this one stand for


@dataclass(slots=True)
class _Stratum(Generic[Item]):
    seen: int = 0
    room: int | None = None  # items at most, once the budget was met
    items: list[tuple[Item, int, int]] = field(default_factory=list)  # with spans and bytes
    spans: int = 0


@dataclass(frozen=True, slots=True)
class LeftOut:
    """What was seen and not kept, over all time: by cause."""

    seen: dict[str, int]
    kept: dict[str, int]


class Sampler(Generic[Item]):
    """Offer every ended message; `take` gives what a window kept, once it is over."""

    def __init__(self, budget: Budget, seed: int, cost: Callable[[Item], tuple[int, int]]) -> None:
        self._budget, self._random, self._cost = budget, random.Random(seed), cost
        self._strata: dict[tuple[Cause, int], _Stratum[Item]] = {}
        self._spans = self._bytes = 0
        self._window_ends: float | None = None
        self.seen: Counter[Cause] = Counter()
        self.kept: Counter[Cause] = Counter()

    def offer(self, now: float, cause: Cause, dest: int, trace_id: bytes, item: Item) -> bool:
        """Whether the trace is kept for now."""
        self.seen[cause] += 1
        if cause is Cause.ORDINARY and not in_share(trace_id, self._budget.ordinary):
            return False
        if self._window_ends is None:
            self._window_ends = now + WINDOW_MS
        name = (cause, dest)
        if name not in self._strata and len(self._strata) >= self._budget.strata:
            name = (cause, OTHERS)
        stratum = self._strata.setdefault(name, _Stratum())
        stratum.seen += 1
        if cause is Cause.ASKED and stratum.room is None:
            stratum.room = self._budget.asked
        if stratum.room is not None and len(stratum.items) >= stratum.room:
            # A full reservoir: the n-th comes in with chance room / n, in the place of any other.
            if not stratum.items or self._random.randrange(stratum.seen) >= len(stratum.items):
                return False
            self._evict(stratum)
        spans, size = self._cost(item)
        stratum.items.append((item, spans, size))
        stratum.spans += spans
        self._spans += spans
        self._bytes += size
        while self._over():
            largest = max(self._strata.values(), key=lambda s: (len(s.items) > 1, s.spans))
            if len(largest.items) <= 1 and sum(len(s.items) for s in self._strata.values()) <= 1:
                break  # one trace is kept whatever it costs: facts are bounded
            self._evict(largest)
            largest.room = len(largest.items)
        return True

    def _over(self) -> bool:
        return self._spans > self._budget.spans or self._bytes > self._budget.bytes

    def _evict(self, stratum: _Stratum[Item]) -> None:
        at = self._random.randrange(len(stratum.items))
        stratum.items[at], stratum.items[-1] = stratum.items[-1], stratum.items[at]
        _, spans, size = stratum.items.pop()
        stratum.spans -= spans
        self._spans -= spans
        self._bytes -= size

    @property
    def waiting(self) -> int:
        """Traces of the present window that are kept so far."""
        return sum(len(stratum.items) for stratum in self._strata.values())

    @property
    def due_at(self) -> float | None:
        """When the present window is over; None where nothing waits."""
        return self._window_ends

    def take(self, now: float, all_of_it: bool = False) -> list[SampledTrace[Item]]:
        """What is kept of a window that is over (or of this one, at a stop), each with what it stands for."""
        if self._window_ends is None or not all_of_it and now < self._window_ends:
            return []
        kept = []
        for (cause, _), stratum in self._strata.items():
            share = self._budget.ordinary if cause is Cause.ORDINARY else 1.0
            weight = stratum.seen / share / len(stratum.items) if stratum.items else 0.0
            kept += [SampledTrace(item, cause, weight) for item, _, _ in stratum.items]
            self.kept[cause] += len(stratum.items)
        self._strata, self._spans, self._bytes, self._window_ends = {}, 0, 0, None
        return kept

    def left_out(self) -> LeftOut:
        return LeftOut(
            {c.value: self.seen[c] for c in Cause if self.seen[c]},
            {c.value: self.kept[c] for c in Cause if self.seen[c]},
        )
