"""One relay's part of a rate limit that all relays share, from the reports of the limited route. No I/O, no clock.

Each answer of such a route reports its limit and the share of the allowance that is left. No relay sees what the others
send, but all see the same allowance. While much of it is left each may send more than its part, so that a relay with a
burst of messages uses what the others leave; once it runs out each keeps to its part, and all together send the limit,
however many they are. Times are microseconds, rates are calls per second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

_SECOND = 1_000_000  # microseconds
# Mean share of the allowance left, at and below which each relay keeps to its part. A counter with a fixed window that
# is just used up leaves half in the mean, and a rate leaves nothing.
_SCARCE_LEFT = 0.5
_DOUBLING_LEFT = 0.15  # a relay may send twice as much for each additional share of this size left
_MAX_UTILIZATION = 0.9  # of its part: the remainder allows for outdated reports and late relays
# The factor for each refusal, the increase for each good answer, and the lower bound of the utilization.
_CUT_FACTOR, _UTILIZATION_STEP, _MIN_UTILIZATION = 0.7, 0.03, 0.4
_MIN_GAIN = 0.3  # weight of one answer
# Calls per second. A limit outside these is taken for the nearer one, so that no rate or interval leaves the range of
# a number: at the lower one a message is over before its call is due.
MIN_LIMIT, MAX_LIMIT = 1e-3, 1e9
_BURST_S = 0.3  # seconds of its part that a relay may send at once, in addition to one call


def bounded_limit(limit: float) -> float:
    """A finite limit above 0, within the range that rates are computed in."""
    return min(max(limit, MIN_LIMIT), MAX_LIMIT)


class LimitShare:
    """What one relay may send to a route, of `relays` that send to it."""

    exchanged = False  # whether relays notify each other of changes of its limit
    assumed_left = _SCARCE_LEFT  # share of the allowance, if a limit is known and the share left is not
    decay_us = 1.5 * _SECOND  # the weight of a report falls by a factor of e in this time

    def __init__(self, relays: int, fields: Sequence[str] = ()) -> None:
        """`fields`: the names of a report's values; `x0` is the share left, and `x1` the limit."""
        self._relays = relays
        self._indices = [fields.index(name) for name in ("x0", "x1") if name in fields]
        self.limit = 0.0  # calls per second of all relays, as last reported; 0 if unknown
        self._left = 1.0  # mean share of the allowance over answers
        self._utilization = _MAX_UTILIZATION
        self._reported_at = -math.inf
        self.reported = False  # an answer has reported the limit
        self._tokens, self._updated_at = 1.0, 0  # a token bucket, as of that time

    @property
    def part(self) -> float:
        """This relay's equal part of the limit, in calls per second."""
        return self.limit / self._relays

    def assume_limit(self, now: int, limit: float) -> None:
        """Use the limit from the endpoint list until an answer reports one, so that relays that start together keep to
        their parts."""
        if not self.reported and len(self._indices) == 2 and 0 < limit < math.inf:
            self._refill(now)
            self.limit, self._left = bounded_limit(limit), self.assumed_left

    def peer_reported(self, now: int, limit: float) -> None:
        """Another relay received a report of this limit."""

    def state(self) -> tuple[float, float, float]:
        """The arguments of `recall` for a later incarnation."""
        return self.limit if self.reported else 0.0, 1.0, 0.0

    def recall(self, limit: float, fraction: float, arrival_rate: float) -> None:
        """Restore the state of an earlier incarnation, before the first report; the share left is unknown."""
        if 0 < limit < math.inf:
            self.limit, self.reported, self._left = bounded_limit(limit), True, self.assumed_left

    def message_arrived(self, now: int, share: float = 1.0) -> None:
        """A message arrived, of which `share` is for this route. Equal parts do not depend on arrivals."""

    def observe(self, now: int, report: Sequence[float], full: bool) -> None:
        """Process the report of one answer. A refused call (`full`) found nothing left, whether it reports so or not.
        Impossible values are ignored."""
        if len(self._indices) != 2:
            return
        if len(report) > max(self._indices):
            left, limit = (report[index] for index in self._indices)
        # The refusals of a closed destination may carry no report: ignored, they would leave the rate too high for its
        # restart.
        elif full and self.limit:
            left, limit = 0.0, self.limit
        else:
            return
        if left == limit == 0 and not full:  # the route has no limit, whatever was assumed
            self.limit, self.reported = 0.0, True
        if not (0 < limit < math.inf and 0 <= left <= 1):
            return
        elapsed = max(0, now - self._reported_at)
        gain = max(_MIN_GAIN, 1 - math.exp(-elapsed / self.decay_us))
        self._refill(now)
        self._update_limit(now, bounded_limit(limit))
        self.reported = True
        self._left += gain * ((0.0 if full else left) - self._left)
        self._reported_at = now
        self._adjust(now, elapsed, left, full)

    def _update_limit(self, now: int, limit: float) -> None:
        """Process a valid report of the limit."""
        self.limit = limit

    def _adjust(self, now: int, elapsed: float, left: float, full: bool) -> None:
        """Change the rate after one more valid report, `elapsed` microseconds after the previous one."""
        self._utilization = (
            max(_MIN_UTILIZATION, self._utilization * _CUT_FACTOR)
            if full
            else min(_MAX_UTILIZATION, self._utilization + _UTILIZATION_STEP)
        )

    def rate(self) -> float:
        """Calls per second that this relay may send now; 0 if no limit is known."""
        boost = 2 ** max(0.0, (self._left - _SCARCE_LEFT) / _DOUBLING_LEFT)
        return self._utilization * self.part * boost

    def sent(self, now: int) -> None:
        """A call is sent."""
        self._refill(now)
        if self.limit:
            self._tokens -= 1

    def due(self) -> int:
        """The earliest time for the next call; a time in the past if it may be sent at once."""
        rate = self.rate()
        if not rate:
            return 0
        return self._updated_at + math.ceil(max(0.0, 1 - self._tokens) / rate * _SECOND)

    def apart(self, drawn: float) -> int:
        """The delay of this relay after a retry-after that other relays received too, for a `drawn` number from 0 to 1:
        within half of its own interval between calls, and half a second at most."""
        return int(drawn * _SECOND / max(self.part, 1.0) / 2)

    def _refill(self, now: int) -> None:
        rate = self.rate()
        self._tokens = min(1 + _BURST_S * rate, self._tokens + rate * (now - self._updated_at) / _SECOND)
        self._updated_at = now
