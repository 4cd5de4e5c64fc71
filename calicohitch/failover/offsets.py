"""How another relay's clock stands to this one's, with bounds that hold. No I/O, no clock.

A holder stamps each acknowledgement with its own time and gives back when the owner sent what it heard. So the owner's
stamp lies before the holder's reading of it, and a round trip later lies after it:

- `highest`: here minus there is at most what it was when something had just come (it travelled for a while);
- `lowest`: at least what it was when something went that an answer came to.

Times are milliseconds. Old bounds widen by the drift of the two clocks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

DRIFT = 0.01


@dataclass(slots=True)
class Offset:
    """Here minus there, between bounds."""

    _high: float = math.inf
    _high_at: float = 0.0
    _low: float = -math.inf
    _low_at: float = 0.0

    def came(self, here: float, there: float) -> None:
        """Something that was sent at `there`, by the other's clock, came at `here`."""
        if here - there <= self.highest(here):
            self._high, self._high_at = here - there, here

    def answered(self, sent: float, there: float, here: float) -> None:
        """At `there`, by its clock, the other had what was sent at `sent`; word of that came at `here`."""
        if sent - there >= self.lowest(here):
            self._low, self._low_at = sent - there, here

    def highest(self, now: float) -> float:
        return self._high + DRIFT * max(0.0, now - self._high_at)

    def lowest(self, now: float) -> float:
        return self._low - DRIFT * max(0.0, now - self._low_at)

    def earliest(self, there: float, now: float) -> float:
        """The earliest time here that a time there can be. Without a lower bound nothing is known of it, and the time
        that passed is taken for as long as it can be: the safe side of a repeat and of a deadline."""
        return there + self.lowest(now)
