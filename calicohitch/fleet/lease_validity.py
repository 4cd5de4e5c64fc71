"""Whether a relay may act: its proof that nobody can have taken its work over yet. No I/O, no clock: milliseconds of
the relay's own monotonic clock come in.

A part of its work can be claimed only once **both** have run out: its lease in the store, and the time for which each
holder of copies keeps still after it last heard of the relay. So either one proves the claim:

- the store confirmed a renewal: nobody claims before `ttl` has passed from the moment that the renewal was sent;
- **every** holder of the part told that it heard what was sent at a moment: none claims before `ttl` from then.

A part without holders can be claimed by nobody. `ttl` is shortened by what two clocks may drift apart meanwhile and by
the longest pause that is allowed for between this check and the first byte of what it lets go.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

DRIFT = 0.01  # clocks that run machines are steered to within 500 ppm; this is for virtual ones that catch up


@dataclass(frozen=True, slots=True)
class LeaseTerm:
    """The lease's length, and the longest pause allowed for, in milliseconds."""

    ttl: float
    pause: float

    @property
    def believed(self) -> float:
        """For so long is a confirmed renewal believed, from when it was sent."""
        return self.ttl * (1 - 2 * DRIFT) - self.pause

    @property
    def still(self) -> float:
        """For so long a holder keeps still after it last heard of the owner."""
        return self.ttl * (1 + DRIFT)


class LeaseValidity:
    """One relay's. `renewed` and `acknowledged` tell of confirmations by when that which they confirm was sent."""

    def __init__(self, term: LeaseTerm) -> None:
        self._term = term
        self._renewed = -math.inf
        self._heard: dict[str, float] = {}  # holder -> when what it heard last was sent
        self.passed = ""  # why nothing is ours any more, for good

    def renewed(self, sent_at: float) -> None:
        self._renewed = max(self._renewed, sent_at)

    def expired(self) -> None:
        """The store says that the lease is gone. Holders may still keep still."""
        self._renewed = -math.inf

    def acknowledged(self, holder: str, sent_at: float) -> None:
        self._heard[holder] = max(self._heard.get(holder, -math.inf), sent_at)

    def forget(self, holder: str) -> None:
        self._heard.pop(holder, None)

    def until(self, holders: Iterable[str]) -> float:
        """Until when a part with these holders may be acted on."""
        if self.passed:
            return -math.inf
        held = min((self._heard.get(holder, -math.inf) for holder in holders), default=math.inf)
        return max(self._renewed, held) + self._term.believed

    def holds(self, now: float, holders: Iterable[str]) -> bool:
        return now < self.until(holders)
