"""The phases of a relay's recovery after a start, and counts by second. No I/O, no clock: times are arguments, in ms.

Recovery begins with the process and reaches these phases, in any order except for the first two and the last:

- `up`: the program runs;
- `folder`: the journal is read;
- `list`: an endpoint list came from discovery;
- `limits`: each destination of restored messages has answered, with its limit where it has one;
- `backlog`: no restored message is open. Of those without an earlier attempt, `tried` were attempted and `unseen` ended
  without an attempt;
- `full`: all of the above.

Each phase is reported once, with its time since `up`. Recovery that takes longer than `MAX_RECOVERY_MS` is reported as
`unended` and no longer followed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

MAX_RECOVERY_MS = 120_000.0
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
    """What is counted by second: accepted messages and the ends of messages."""

    RESTORED = "restored"  # messages of an earlier incarnation that were delivered or ended otherwise
    FRESH = "fresh"  # messages accepted since the start
    REFUSED = "refused"
    SERVED = "served"


@dataclass(frozen=True, slots=True)
class PhaseReached:
    """One phase: `after` in milliseconds since the process was up, and counts that belong to the phase."""

    phase: RecoveryPhase
    after: float
    facts: dict[str, int] = field(default_factory=dict)


class Recovery:
    """The recovery of one relay. The relay calls a method for each event; `new_phases` returns what was reached since
    the last call."""

    def __init__(self, up: float) -> None:
        self._up_ms = up
        self._reached: dict[RecoveryPhase, PhaseReached] = {}
        self._new_phases: list[PhaseReached] = []
        self._restored: set[int] = set()
        self._untried: set[int] = set()  # restored messages without an attempt so far
        self._tried = self._unseen = 0  # of these: how many got an attempt, and how many ended without
        self._limits_pending: set[int] = set()  # destinations of restored messages that have not answered
        self._current_second = 0
        self._counts: Counter[RecoveryCounter] = Counter()
        self.seconds: list[tuple[int, dict[str, int]]] = []  # complete and not yet logged
        self.over = False  # a plain attribute because it is read for each message
        self.reported = False  # including the counts of the last second
        self._reach(RecoveryPhase.UP, up)

    def folder(self, now: float, restored: dict[int, int], damaged: int, untried: Collection[int] = ()) -> None:
        """The journal is read. `restored`: destinations by message number; `untried`: numbers of restored messages that
        had no attempt; `damaged`: the number of damaged stretches."""
        self._restored, self._limits_pending, self._untried = set(restored), set(restored.values()), set(untried)
        self._reach(RecoveryPhase.FOLDER, now, restored=len(restored), damaged=damaged, untried=len(untried))
        self._update_phases(now)

    def attempt_started(self, number: int) -> None:
        """An attempt of a message begins."""
        if number in self._untried:
            self._untried.discard(number)
            self._tried += 1

    def listed(self, now: float) -> None:
        """An endpoint list came from discovery."""
        self._reach(RecoveryPhase.LIST, now)
        self._update_phases(now)

    def answered(self, now: float, dest: int) -> None:
        """A destination answered a call, with its limit where it has one."""
        if self._limits_pending:
            self._limits_pending.discard(dest)
            self._update_phases(now)

    def count(self, now: float, counter: RecoveryCounter, number: int = 0) -> None:
        """Count an event; `number` is that of the message, by which a restored one is recognised."""
        if self.over:
            return
        self._advance_second(now)
        if number in self._untried and counter is RecoveryCounter.REFUSED:
            self._untried.discard(number)
            self._unseen += 1
        if number in self._restored:
            self._restored.discard(number)
            self._counts[RecoveryCounter.RESTORED] += 1
        self._counts[counter] += 1
        self._update_phases(now)

    def new_phases(self, now: float) -> list[PhaseReached]:
        """The phases reached since the last call."""
        if not self.over:
            self._advance_second(now)
            self._update_phases(now)
            if now - self._up_ms > MAX_RECOVERY_MS:
                self._reach(RecoveryPhase.UNENDED, now, restored=len(self._restored), untold=len(self._limits_pending))
        elif self._counts:
            self._close_second()
        reached, self._new_phases = self._new_phases, []
        self.reported = self.over
        return reached

    def _update_phases(self, now: float) -> None:
        if RecoveryPhase.FOLDER not in self._reached:
            return
        if not self._restored:
            self._reach(RecoveryPhase.BACKLOG, now, tried=self._tried, unseen=self._unseen)
            self._limits_pending.clear()  # no restored message waits for a limit any more
        if not self._limits_pending:
            self._reach(RecoveryPhase.LIMITS, now)
        if self._reached.keys() >= {RecoveryPhase.LIST, RecoveryPhase.LIMITS, RecoveryPhase.BACKLOG}:
            self._reach(RecoveryPhase.FULL, now)

    def _reach(self, phase: RecoveryPhase, now: float, **facts: int) -> None:
        if phase not in self._reached:
            self._reached[phase] = reached = PhaseReached(phase, max(0.0, now - self._up_ms), facts)
            self._new_phases.append(reached)
            self.over = self.over or phase in (RecoveryPhase.FULL, RecoveryPhase.UNENDED)

    def _advance_second(self, now: float) -> None:
        second = int((now - self._up_ms) // SECOND_MS)
        if second > self._current_second:
            if self._counts:
                self._close_second()
            self._current_second = second

    def _close_second(self) -> None:
        self.seconds.append((self._current_second, {counter.value: count for counter, count in self._counts.items()}))
        self._counts.clear()
