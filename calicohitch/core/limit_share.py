"""One courier's part of a limit that all couriers share, by what the limited route tells of itself. No I/O, no clock.

Each answer of such a route tells its limit and the share of the allowance that is left. No courier sees what the others
send, but all see the same allowance: while much of it is left each may send more than its part, so that one with a
clump of messages uses what the others leave; once it runs out each keeps to its part, and what they send together is
the limit, however many they are. Times are microseconds, rates calls a second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

_SECOND = 1_000_000
_SCARCE = 0.5  # share of the allowance left, in the mean over answers, at and below which each keeps to its part. A
# count in a fixed span of time that is just used up leaves half in the mean, and a rate leaves nothing.
_DOUBLES = 0.15  # so much more is left when a courier may send twice as much
_KEEP = 0.9  # of its part: the rest is for answers that are old, and couriers that are late
_CUT, _EASE, _LEAST = 0.7, 0.03, 0.4  # by each refusal, times; by each good answer, more; of its part, the least
_GAIN = 0.3  # weight of one answer, at least
_BURST_S = 0.3  # seconds of its part that a courier may send at once, beside one call


class LimitShare:
    """What a courier may send to one route, of `couriers` that send there."""

    notes = False  # whether couriers tell each other of its limits
    supposed_left = _SCARCE  # share of the allowance where a limit is known and nothing of what is left of it
    fade = 1.5 * _SECOND  # what was told counts for less by a factor of e after so long

    def __init__(self, couriers: int, fields: Sequence[str] = ()) -> None:
        """`fields`: the names of a report's values; `x0` is what is left, and `x1` the limit."""
        self._couriers = couriers
        self._places = [fields.index(name) for name in ("x0", "x1") if name in fields]
        self.limit = 0.0  # calls a second of all couriers, as last told; 0: none is known
        self._left = 1.0  # share of the allowance, in the mean over answers
        self._keep = _KEEP
        self._told_at = -math.inf
        self.reported = False  # an answer told the limit
        self._tokens, self._at = 1.0, 0  # at most, and fewer after calls; counted up to then

    @property
    def part(self) -> float:
        """This courier's equal part of the limit."""
        return self.limit / self._couriers

    def assume_limit(self, now: int, limit: float) -> None:
        """What the list says of the limit, until an answer tells it: all that start at once keep to their parts."""
        if not self.reported and len(self._places) == 2 and 0 < limit < math.inf:
            self._refill(now)
            self.limit, self._left = limit, self.supposed_left

    def peer_reported(self, now: int, limit: float) -> None:
        """Another courier was told this limit."""

    def state(self) -> tuple[float, float, float]:
        """What `recall` takes in a later life."""
        return self.limit if self.reported else 0.0, 1.0, 0.0

    def recall(self, limit: float, times: float, came: float) -> None:
        """Go on from what an earlier life knew, before anything is told: of the allowance nothing is known."""
        if limit > 0:
            self.limit, self.reported, self._left = limit, True, self.supposed_left

    def message_arrived(self, now: int, share: float = 1.0) -> None:
        """A message came, of which so much is for this route; an equal part does not go by that."""

    def observe(self, now: int, report: Sequence[float], full: bool) -> None:
        """What one answer tells; a refused call found nothing left, whether it says so or not. What cannot be true is
        not believed."""
        if len(self._places) != 2:
            return
        if len(report) > max(self._places):
            left, limit = (report[at] for at in self._places)
        elif full and self.limit:  # guards a return from a shut destination's answers, which may carry no report
            left, limit = 0.0, self.limit
        else:
            return
        if left == limit == 0 and not full:  # it has no limit, whatever was supposed
            self.limit, self.reported = 0.0, True
        if not (0 < limit < math.inf and 0 <= left <= 1):
            return
        since = max(0, now - self._told_at)
        gain = max(_GAIN, 1 - math.exp(-since / self.fade))
        self._refill(now)
        self._limited(now, limit)
        self.reported = True
        self._left += gain * ((0.0 if full else left) - self._left)
        self._told_at = now
        self._adjust(now, since, left, full)

    def _limited(self, now: int, limit: float) -> None:
        """A limit is told that is believed."""
        self.limit = limit

    def _adjust(self, now: int, since: float, left: float, full: bool) -> None:
        """Send more or less by one more answer that is believed, `since` after the one before."""
        self._keep = max(_LEAST, self._keep * _CUT) if full else min(_KEEP, self._keep + _EASE)

    def rate(self) -> float:
        """Calls a second that this courier may send now; 0 where no limit is known."""
        more = 2 ** max(0.0, (self._left - _SCARCE) / _DOUBLES)
        return self._keep * self.part * more

    def sent(self, now: int) -> None:
        """One call goes out."""
        self._refill(now)
        if self.limit:
            self._tokens -= 1

    def due(self) -> int:
        """The time from which on the next call may go out; one that is past where it may at once."""
        rate = self.rate()
        if not rate:
            return 0
        return self._at + math.ceil(max(0.0, 1 - self._tokens) / rate * _SECOND)

    def apart(self, drawn: float) -> int:
        """How long after a wait that others were told as well this courier comes back, by a number drawn from 0 to 1:
        within half of its own gap between calls, and half a second at most."""
        return int(drawn * _SECOND / max(self.part, 1.0) / 2)

    def _refill(self, now: int) -> None:
        rate = self.rate()
        self._tokens = min(1 + _BURST_S * rate, self._tokens + rate * (now - self._at) / _SECOND)
        self._at = now
