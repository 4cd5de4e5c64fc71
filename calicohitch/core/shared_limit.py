"""One courier's share of what comes to it, where very many couriers share a limit. No I/O, no clock.

Each answer of such a route tells its limit and the share of the allowance that is left. No courier sees what the others
send, but all see the same allowance, some hundred milliseconds late. So each sends the same share of what comes to it:
those to whom much comes send much, and where the shares have settled all send the limit, however many they are and
however uneven their messages. The share grows slowly while some allowance is left, shrinks with what is missing, and is
cut at once by a refusal, as in TCP (additive increase, multiplicative decrease: Chiu and Jain 1989): refused calls may
use the limit up as well, and then nothing gets through before all send less.

A courier among very many hears an answer every few seconds only, and while a lowered limit is learned by refusals
nothing gets through. So a limit that is told anew changes the share at once, in proportion; growth counts all of the
time since the last answer; and before the first answer the list's word for the limit stands in for it. Times are
microseconds, rates calls a second.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .limit_share import LimitShare

_SECOND = 1_000_000
_VERY_MANY = 100  # couriers: to 2 to 4 equal parts serve more (0.75 for 0.59 in the simulator), to 192 common shares
_ENOUGH = 0.25  # share of the allowance left above which a courier sends more, and below which it sends less
_MORE, _LESS = 0.05, 0.3  # a second, by a factor of e: news are up to 0.8 s old, so faster growth overshoots
_MUCH, _FAST = 0.7, 0.2  # share left from which growth is faster, and how much faster where all is left
_LOOKS_AHEAD = 3.0  # seconds without an answer that growth makes up for at most
_CUT, _CUT_APART = 0.5, 1.0 * _SECOND  # by a refusal, times; those that follow within so long are of the same excess
_MOST, _LEAST = 1.5, 0.1  # times what comes: more than 1 serves what was held
_FLOOR = 0.5  # of its equal part that a courier may always send: most have less to send, and what comes is seen late
_SCARCE = 0.1  # share of the allowance left, in the mean over answers, below which the rate falls at once
_LOOKS_BACK = 8 * _SECOND  # what came counts for less by a factor of e after so long
_LOWERED, _RAISED = 0.7, 1.5  # times the limit as known: past these a report is no noise (up to 0.13) but a new limit
_SMOOTH = 0.5  # weight of one report in the limit, otherwise


class SharedLimit(LimitShare):
    """What a courier may send to one route, of `couriers` that send there."""

    notes = True
    supposed_left = 1.0  # what may be sent follows from what comes, not from what is left
    fade = 1.0 * _SECOND

    def __init__(self, couriers: int, fields: Sequence[str] = ()) -> None:
        super().__init__(couriers, fields)
        self._times = 1.0  # what comes: so much of it may be sent
        self._cut_at = -math.inf
        self._born: int | None = None  # when the first message came
        self._came, self._came_at = 0.0, 0  # messages a second, in the mean up to then
        self._recalled = 0.0  # messages a second in an earlier life

    def state(self) -> tuple[float, float, float]:
        return self.limit if self.reported else 0.0, self._times, self._came

    def recall(self, limit: float, times: float, came: float) -> None:
        """Go on from what an earlier life knew: a limit that was lowered or raised meanwhile still changes the
        share."""
        if limit > 0:
            super().recall(limit, times, came)
            self._times = min(_MOST, max(_LEAST, times))
            self._recalled = came

    def message_arrived(self, now: int, share: float = 1.0) -> None:
        """A message came, of which so much is for this route."""
        self._refill(now)
        if self._born is None:
            self._born = self._came_at = now
        self._came = self._came * self._faded(now) + share * _SECOND / _LOOKS_BACK
        self._came_at = now

    def peer_reported(self, now: int, limit: float) -> None:
        """Another courier was told this limit; one near what is known is no news, and answers know better."""
        if self.reported and self.limit and not _LOWERED <= limit / self.limit <= _RAISED:
            self._refill(now)
            self._limited(now, limit)

    def _limited(self, now: int, limit: float) -> None:
        """A limit is told: a new one changes what all send in proportion, before refusals teach it; from what comes,
        since a share above it was not used up."""
        change = limit / self.limit if self.limit and self.reported else 1.0
        if change < _LOWERED:
            self._times, self._cut_at = max(_LEAST, min(self._times, 1.0) * change), now
        elif change > _RAISED:
            self._times, self._left = min(_MOST, self._times * change), max(self._left, 0.5)
        elif self.reported:
            limit = self.limit + _SMOOTH * (limit - self.limit)
        self.limit = limit

    def _adjust(self, now: int, since: float, left: float, full: bool) -> None:
        if now - self._cut_at <= _CUT_APART:
            return
        if full:
            self._times, self._cut_at = max(_LEAST, min(self._times, 1 / _CUT) * _CUT), now
            return
        above = left - _ENOUGH
        more = _MORE + _FAST * max(0.0, left - _MUCH) / (1 - _MUCH)
        pull = more * above / (1 - _ENOUGH) if above > 0 else _LESS * above / _ENOUGH
        self._times *= math.exp(pull * min(_LOOKS_AHEAD, since / _SECOND))
        self._times = min(_MOST, max(_LEAST, self._times))

    def rate(self) -> float:
        """Calls a second that this courier may send now; 0 where no limit is known."""
        return max(_FLOOR * self.part, self._times * min(1.0, self._left / _SCARCE) * self._demand())

    def _faded(self, now: int) -> float:
        return math.exp(-max(0, now - self._came_at) / _LOOKS_BACK)

    def _demand(self) -> float:
        """Messages a second that come to this courier; for the time before it saw any stands what came in an earlier
        life, or its equal part."""
        if not self.limit or self._born is None:
            return 0.0
        unseen = math.exp(-max(0, self._at - self._born) / _LOOKS_BACK)
        return self._came * self._faded(self._at) + unseen * (self._recalled or self.part)


def share_of(couriers: int, fields: Sequence[str]) -> LimitShare:
    """The part of a limit that suits so many couriers."""
    return (SharedLimit if couriers >= _VERY_MANY else LimitShare)(couriers, fields)
