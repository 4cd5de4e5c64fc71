"""The phases of a relay's return, and what it does in each second of it. No I/O, no clock: milliseconds come in.

A return begins with the process and passes, in any order but for the first two and the last: `up` (the program runs),
`folder` (the journal is read), `list` (discovery was heard), `limits` (every destination that restored work waits for
has told its limit, or answered without one), `backlog` (no restored message is open: of those that were owed a first
call so many were `tried`, and so many ended `unseen`), and `full`, when all of these have passed. Each is told once,
with its time since `up`. A return that takes longer than `LONGEST_MS` is told as it stands, and not followed any
further.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

LONGEST_MS = 120_000.0
SECOND_MS = 1_000.0


class RecoveryPhase(Enum):
    UP = "up"
    FOLDER = "folder"
    LIST = "list"
    LIMITS = "limits"
    BACKLOG = "backlog"
    FULL = "full"
    UNENDED = "unended"


class RecoveryCounter(Enum):
    """What is counted by second: who came, and how messages ended."""

    RESTORED = "restored"  # messages of an earlier life that were delivered or ended
    FRESH = "fresh"
    REFUSED = "refused"
    SERVED = "served"


@dataclass(frozen=True, slots=True)
class PhaseReached:
    """One phase: `after` in milliseconds since the process was up; what it tells beside that."""

    phase: RecoveryPhase
    after: float
    facts: dict[str, int] = field(default_factory=dict)


class Recovery:
    """One relay's return. Feed it what happens; `new_phases` gives what is to be told since it was last asked."""

    def __init__(self, up: float) -> None:
        self._up = up
        self._passed: dict[RecoveryPhase, PhaseReached] = {}
        self._new_phases: list[PhaseReached] = []
        self._restored: set[int] = set()
        self._untried: set[int] = set()  # restored messages that were owed a call, and had none yet
        self._tried = self._unseen = 0  # how many of those had one, and were given up without
        self._limits_pending: set[int] = set()  # destinations of restored work without a limit or an answer
        self._second = 0
        self._counts: Counter[RecoveryCounter] = Counter()
        self.seconds: list[tuple[int, dict[str, int]]] = []  # those that are over and not told yet
        self.over = False  # asked for each message
        self.reported = False  # all of it, to the last second
        self._pass(RecoveryPhase.UP, up)

    def folder(self, now: float, restored: dict[int, int], damaged: int, untried: Collection[int] = ()) -> None:
        """The journal is read: restored messages with their destinations, those of them that may not have been called
        yet, and damaged stretches."""
        self._restored, self._limits_pending, self._untried = set(restored), set(restored.values()), set(untried)
        self._pass(RecoveryPhase.FOLDER, now, restored=len(restored), damaged=damaged, untried=len(untried))
        self._look(now)

    def attempt_started(self, number: int) -> None:
        """A call of a message is made."""
        if number in self._untried:
            self._untried.discard(number)
            self._tried += 1

    def listed(self, now: float) -> None:
        """Discovery was heard."""
        self._pass(RecoveryPhase.LIST, now)
        self._look(now)

    def answered(self, now: float, dest: int) -> None:
        """A destination answered a call, with its limit where it has one."""
        if self._limits_pending:
            self._limits_pending.discard(dest)
            self._look(now)

    def count(self, now: float, what: RecoveryCounter, number: int = 0) -> None:
        """Something to count; the end of a restored message goes by its number."""
        if self.over:
            return
        self._roll(now)
        if number in self._untried and what is RecoveryCounter.REFUSED:
            self._untried.discard(number)
            self._unseen += 1
        if number in self._restored:
            self._restored.discard(number)
            self._counts[RecoveryCounter.RESTORED] += 1
        self._counts[what] += 1
        self._look(now)

    def new_phases(self, now: float) -> list[PhaseReached]:
        """What passed since the last call."""
        if not self.over:
            self._roll(now)
            self._look(now)
            if now - self._up > LONGEST_MS:
                self._pass(RecoveryPhase.UNENDED, now, restored=len(self._restored), untold=len(self._limits_pending))
        elif self._counts:
            self._close_second()
        reached, self._new_phases = self._new_phases, []
        self.reported = self.over
        return reached

    def _look(self, now: float) -> None:
        if RecoveryPhase.FOLDER not in self._passed:
            return
        if not self._restored:
            self._pass(RecoveryPhase.BACKLOG, now, tried=self._tried, unseen=self._unseen)
            self._limits_pending.clear()  # nothing waits for them any more
        if not self._limits_pending:
            self._pass(RecoveryPhase.LIMITS, now)
        if self._passed.keys() >= {RecoveryPhase.LIST, RecoveryPhase.LIMITS, RecoveryPhase.BACKLOG}:
            self._pass(RecoveryPhase.FULL, now)

    def _pass(self, phase: RecoveryPhase, now: float, **facts: int) -> None:
        if phase not in self._passed:
            self._passed[phase] = passed = PhaseReached(phase, max(0.0, now - self._up), facts)
            self._new_phases.append(passed)
            self.over = self.over or phase in (RecoveryPhase.FULL, RecoveryPhase.UNENDED)

    def _roll(self, now: float) -> None:
        second = int((now - self._up) // SECOND_MS)
        if second > self._second:
            if self._counts:
                self._close_second()
            self._second = second

    def _close_second(self) -> None:
        self.seconds.append((self._second, {what.value: count for what, count in self._counts.items()}))
        self._counts.clear()
