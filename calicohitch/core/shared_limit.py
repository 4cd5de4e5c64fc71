"""The fraction of its arrivals that one relay sends, if very many relays share a limit. No I/O, no clock.

Each answer of such a route reports its limit and the share of the allowance that is left. No relay sees what the others
send, but all see the same allowance, some hundred milliseconds late. So each sends the same fraction of the messages
that arrive at it: relays with many arrivals send much, and once the fractions have converged all together send the
limit, however many they are and however uneven their arrivals. The fraction grows slowly while some allowance is left,
shrinks with what is missing, and is cut at once by a refusal, as in TCP (additive increase, multiplicative decrease:
Chiu and Jain 1989): refused calls may count against the limit too, and then no call succeeds until all send less.

A relay among very many receives an answer only every few seconds, and while it learns of a lowered limit by refusals no
call succeeds. So a newly reported limit changes the fraction at once, in proportion; growth counts the whole time since
the last answer; and before the first answer the limit from the endpoint list is used. Times are microseconds, rates are
calls per second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .limit_share import LimitShare, bounded_limit

_SECOND = 1_000_000  # microseconds
# For 2 to 4 relays equal parts deliver more (0.75 against 0.59 in the simulator), for 192 relays this module does.
_MIN_RELAYS = 100
_TARGET_LEFT = 0.25  # share of the allowance left, above which a relay sends more, and below which it sends less
_GROWTH_PER_S, _DECLINE_PER_S = 0.05, 0.3  # exponents; reports are up to 0.8 s old, so faster growth overshoots
# Share left above which growth is faster, and the additional exponent per second if all is left.
_FAST_GROWTH_LEFT, _FAST_GROWTH_PER_S = 0.7, 0.2
_MAX_GROWTH_S = 3.0  # of the time since the last answer that growth counts
# Refusals within this time after a cut belong to the same excess and cause no second cut.
_CUT_FACTOR, _CUT_INTERVAL_US = 0.5, 1.0 * _SECOND
_MAX_FRACTION, _MIN_FRACTION = 1.5, 0.1  # of the arrivals: more than 1 sends held messages as well
# Of its equal part, which a relay may always send: most relays have less to send, and arrivals are measured late.
_MIN_PART = 0.5
_SCARCE_LEFT = 0.1  # mean share of the allowance left, below which the rate falls at once
_ARRIVAL_DECAY_US = 8 * _SECOND  # the weight of an arrival falls by a factor of e in this time
# Ratios to the known limit, beyond which a report is a new limit and not noise (up to 0.13).
_LOWERED_RATIO, _RAISED_RATIO = 0.7, 1.5
_LIMIT_GAIN = 0.5  # weight of one report within these ratios


class SharedLimit(LimitShare):
    """What one relay may send to a route, of `relays` that send to it."""

    exchanged = True
    assumed_left = 1.0  # the rate follows from the arrivals and not from the share left
    decay_us = 1.0 * _SECOND

    def __init__(self, relays: int, fields: Sequence[str] = ()) -> None:
        super().__init__(relays, fields)
        self._fraction = 1.0  # of the arrivals that may be sent
        self._cut_at = -math.inf
        self._first_arrival_at: int | None = None
        self._arrival_rate, self._arrival_at = 0.0, 0  # mean messages per second, as of the last arrival
        self._recalled_rate = 0.0  # messages per second in an earlier incarnation

    def state(self) -> tuple[float, float, float]:
        return self.limit if self.reported else 0.0, self._fraction, self._arrival_rate

    def recall(self, limit: float, fraction: float, arrival_rate: float) -> None:
        """Restore the state of an earlier incarnation. A limit that was lowered or raised meanwhile still changes the
        fraction."""
        if limit > 0:
            super().recall(limit, fraction, arrival_rate)
            self._fraction = min(_MAX_FRACTION, max(_MIN_FRACTION, fraction))
            self._recalled_rate = arrival_rate

    def message_arrived(self, now: int, share: float = 1.0) -> None:
        """A message arrived, of which `share` is for this route."""
        self._refill(now)
        if self._first_arrival_at is None:
            self._first_arrival_at = self._arrival_at = now
        self._arrival_rate = self._arrival_rate * self._decay(now) + share * _SECOND / _ARRIVAL_DECAY_US
        self._arrival_at = now

    def peer_reported(self, now: int, limit: float) -> None:
        """Another relay received a report of this limit. One near the known limit is ignored: answers are
        more exact."""
        if self.reported and self.limit and not _LOWERED_RATIO <= limit / self.limit <= _RAISED_RATIO:
            self._refill(now)
            self._update_limit(now, bounded_limit(limit))

    def _update_limit(self, now: int, limit: float) -> None:
        """Process a reported limit. A new limit changes the fraction in proportion, before refusals do; a lowered one
        starts from 1 at most, since a fraction above 1 was not used up."""
        change = limit / self.limit if self.limit and self.reported else 1.0
        if change < _LOWERED_RATIO:
            self._fraction, self._cut_at = max(_MIN_FRACTION, min(self._fraction, 1.0) * change), now
        elif change > _RAISED_RATIO:
            self._fraction, self._left = min(_MAX_FRACTION, self._fraction * change), max(self._left, 0.5)
        elif self.reported:
            limit = self.limit + _LIMIT_GAIN * (limit - self.limit)
        self.limit = limit

    def _adjust(self, now: int, elapsed: float, left: float, full: bool) -> None:
        if now - self._cut_at <= _CUT_INTERVAL_US:
            return
        if full:
            self._fraction, self._cut_at = max(_MIN_FRACTION, min(self._fraction, 1 / _CUT_FACTOR) * _CUT_FACTOR), now
            return
        excess = left - _TARGET_LEFT
        growth = _GROWTH_PER_S + _FAST_GROWTH_PER_S * max(0.0, left - _FAST_GROWTH_LEFT) / (1 - _FAST_GROWTH_LEFT)
        exponent = growth * excess / (1 - _TARGET_LEFT) if excess > 0 else _DECLINE_PER_S * excess / _TARGET_LEFT
        self._fraction *= math.exp(exponent * min(_MAX_GROWTH_S, elapsed / _SECOND))
        self._fraction = min(_MAX_FRACTION, max(_MIN_FRACTION, self._fraction))

    def rate(self) -> float:
        """Calls per second that this relay may send now; 0 if no limit is known."""
        return max(_MIN_PART * self.part, self._fraction * min(1.0, self._left / _SCARCE_LEFT) * self._demand())

    def _decay(self, now: int) -> float:
        return math.exp(-max(0, now - self._arrival_at) / _ARRIVAL_DECAY_US)

    def _demand(self) -> float:
        """Messages per second that arrive at this relay. The rate of an earlier incarnation, or else the equal part,
        stands for the time before the first arrival."""
        if not self.limit or self._first_arrival_at is None:
            return 0.0
        unobserved = math.exp(-max(0, self._updated_at - self._first_arrival_at) / _ARRIVAL_DECAY_US)
        return self._arrival_rate * self._decay(self._updated_at) + unobserved * (self._recalled_rate or self.part)


def share_of(relays: int, fields: Sequence[str]) -> LimitShare:
    """The kind of limit share for this number of relays."""
    return (SharedLimit if relays >= _MIN_RELAYS else LimitShare)(relays, fields)
