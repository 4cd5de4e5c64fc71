"""Facts of a message's life, noted as cheaply as can be. No I/O, no clock; spans are made of them later."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING

from ..interface import Hold, Outcome
from .context import TraceContext

if TYPE_CHECKING:
    from ..config import Address

MOST_HOLDS = 24  # holds that are kept of a message; eight attempts make nine, and changes of reason the rest
_NO_HOLD_MS = 0.2  # a message that goes out at once is not held, though some lines lie between
MOST_CHANGES = 256  # changes of reason that are remembered of a destination


class End(IntEnum):
    """How a message's part at this relay was over."""

    DELIVERED = 0
    REFUSED = 1  # handed back, harmless to hand in again
    FAILED = 2  # given up, and may have run
    WITHDRAWN = 3  # nobody wants it any more
    TURNED_AWAY = 4  # never taken on


@dataclass(slots=True, eq=False)
class AttemptFacts:
    """One attempt: from when it was journaled until its outcome; `cut`: a death came between. The call notes its
    progress here while it runs; times are in milliseconds, 0 where it did not come to that."""

    started_at: float
    endpoint: str = ""
    address: Address | None = None
    zone: int = 0
    connected_at: float = 0.0
    warm: bool = False
    sent_at: float = 0.0  # its last byte was handed to the kernel
    answered_at: float = 0.0  # the first byte of the answer
    status: int = 0
    ended_at: float = 0.0
    outcome: Outcome | None = None
    wait: float = 0.0  # milliseconds told
    cut: bool = False
    earlier_incarnation: bool = False

    def note(self, answered: bool, now: float) -> None:
        if answered:
            self.answered_at = self.answered_at or now
        else:
            self.sent_at = now


@dataclass(slots=True, eq=False)
class HoldFacts:
    """A stretch without an attempt out; `own` is a reason that is the message's and not its destination's."""

    since: float
    until: float
    own: Hold | None = None


@dataclass(slots=True, eq=False)
class Facts:
    """The life of one message at this relay."""

    id: str
    class_name: str
    dest: int
    taken_at: float
    context: TraceContext  # of the message's own root span
    parent: bytes = b""  # the client's span
    story: bytes = b""  # the id that every handing in of a message with this key shares
    deadline: float = 0.0
    aim_at: float = 0.0
    body_size: int = 0
    again: bool = False  # the client said that it hands it in again
    journal_ms: float = 0.0  # what writing it down took
    recovered_at: float = 0.0  # when a later life took it up
    attempts: list[AttemptFacts] = field(default_factory=list)
    holds: list[HoldFacts] = field(default_factory=list)
    holds_left_out: int = 0
    holding: float = 0.0  # since when it is held; 0 while it is not
    holding_own: Hold | None = None
    end: End | None = None
    decided_at: float = 0.0  # the end was decided
    ended_at: float = 0.0  # nothing more was owed: delivered, or the notice acknowledged
    retry_in: float = 0.0
    refusal: str = ""

    def hold(self, now: float) -> None:
        if not self.holding:
            self.holding, self.holding_own = now, None

    def release(self, now: float) -> None:
        if not self.holding:
            return
        if now - self.holding >= _NO_HOLD_MS:
            if len(self.holds) >= MOST_HOLDS:
                self.holds_left_out += 1
            else:
                self.holds.append(HoldFacts(self.holding, now, self.holding_own))
        self.holding = 0.0

    @property
    def late(self) -> bool:
        return self.end is End.DELIVERED and self.decided_at > self.aim_at


@dataclass(frozen=True, slots=True)
class Change:
    """From `at` on, messages of a destination were held for this reason, until `until` at least (0: unknown)."""

    at: float
    why: Hold | None
    until: float = 0.0


class Timeline:
    """Why a destination's messages were held, change by change; bounded, the oldest goes first."""

    __slots__ = ("changes",)

    def __init__(self) -> None:
        self.changes: list[Change] = []

    def note(self, now: float, why: Hold | None, until: float) -> None:
        last = self.changes[-1] if self.changes else None
        if last and last.why is why and last.until == until or not last and why is None:
            return
        self.changes.append(Change(now, why, until))
        if len(self.changes) > MOST_CHANGES:
            del self.changes[: MOST_CHANGES // 4]

    def between(self, since: float, until: float) -> list[tuple[float, float, Hold]]:
        """The stretches of a hold with their reasons; neighbours with one reason are one stretch."""
        found: list[tuple[float, float, Hold]] = []
        for n, change in enumerate(self.changes):
            end = self.changes[n + 1].at if n + 1 < len(self.changes) else until
            low, high = max(change.at, since), min(end, until)
            if high <= low or change.why is None:
                continue
            if found and found[-1][2] is change.why and found[-1][1] >= low:
                found[-1] = (found[-1][0], high, change.why)
            else:
                found.append((low, high, change.why))
        return found

    def forget_before(self, time: float) -> None:
        """Drop what no message that still lives can have been held by, but for the change in force then."""
        keep = 0
        while keep + 1 < len(self.changes) and self.changes[keep + 1].at <= time:
            keep += 1
        del self.changes[:keep]
