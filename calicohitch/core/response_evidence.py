"""What the calls to an endpoint prove about a response that may be another call's. No I/O, no clock.

On HTTP/1.1 a response belongs to a call by its order on the connection alone, so a 200 may have been left over from an
earlier call. Its own response would then still come, unless the endpoint hangs. Silence on the connection therefore
proves something only while the endpoint responds to other calls (`docs/design/surplus.md`).
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

_FORGET_AFTER_S = 60.0
_MAX_RECENT = 64  # answered calls that are remembered of an endpoint


@dataclass(frozen=True, slots=True)
class _AnsweredCall:
    sent_at: float
    response_time_s: float
    in_sync: bool


def _recent() -> deque[_AnsweredCall]:
    return deque(maxlen=_MAX_RECENT)


class Verdict(Enum):
    """On a response after which its connection stayed silent until the time of its call was over."""

    CONFIRMED = "the call's own response would have come"
    REFUTED = "the endpoint left later calls without a response"
    OPEN = "not known yet"


@dataclass(slots=True)
class OpenCall:
    """A call whose request was sent and that has neither ended nor been answered."""

    endpoint: int
    sent_at: float


@dataclass(slots=True)
class _Endpoint:
    open: list[OpenCall] = field(default_factory=list)
    unanswered_sent_at: float = -math.inf  # of the last call that ended without a response
    answered: deque[_AnsweredCall] = field(default_factory=_recent)
    shortest_s: float | None = None  # from a request to its confirmed response
    used_at: float = -math.inf

    def is_plausible(self, response_time_s: float) -> bool:
        return self.shortest_s is not None and response_time_s >= self.shortest_s


class ResponseEvidence:
    """Times are seconds of any monotonic clock. Each `call_sent` is followed by one `call_answered` or
    `call_unanswered`."""

    def __init__(self) -> None:
        self._endpoints: dict[int, _Endpoint] = {}

    def call_sent(self, endpoint: int, now: float) -> OpenCall:
        known = self._endpoints.setdefault(endpoint, _Endpoint())
        call = OpenCall(endpoint, now)
        known.open.append(call)
        known.used_at = now
        return call

    def call_answered(self, call: OpenCall, response_time_s: float, in_sync: bool) -> None:
        """`in_sync`: no response of an earlier call could be left over on the connection."""
        self._close(call).answered.append(_AnsweredCall(call.sent_at, response_time_s, in_sync))

    def is_plausible(self, endpoint: int, response_time_s: float) -> bool:
        """Whether a response came no sooner than the soonest confirmed one of its endpoint. Bytes that the endpoint
        wrote before it had the request come within one round trip, so they are not plausible. Before any response of
        the endpoint is confirmed, none is: a later confirmation may make it so."""
        known = self._endpoints.get(endpoint)
        return known is not None and known.is_plausible(response_time_s)

    def has_confirmed(self, endpoint: int) -> bool:
        """Whether any response of the endpoint is confirmed, so that others can be compared with it."""
        known = self._endpoints.get(endpoint)
        return known is not None and known.shortest_s is not None

    def call_unanswered(self, call: OpenCall) -> None:
        """The call timed out, was given up, or its connection broke."""
        known = self._close(call)
        known.unanswered_sent_at = max(known.unanswered_sent_at, call.sent_at)

    def _close(self, call: OpenCall) -> _Endpoint:
        known = self._endpoints[call.endpoint]
        known.open = [other for other in known.open if other is not call]
        return known

    def confirmed(self, endpoint: int, response_time_s: float) -> None:
        """A response has proved to be the one to its call."""
        known = self._endpoints.setdefault(endpoint, _Endpoint())
        known.shortest_s = response_time_s if known.shortest_s is None else min(known.shortest_s, response_time_s)

    def judge(
        self, endpoint: int, sent_at: float, answered_at: float, silent_from: float, may_be_left_over: bool
    ) -> Verdict:
        """On a response to a call that was sent at `sent_at`. An endpoint that hangs leaves the calls that were sent
        while this one should have been answered without a response too. A response that may be left over needs proof
        that the endpoint answered a call of that time."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return Verdict.OPEN if may_be_left_over else Verdict.CONFIRMED
        if known.unanswered_sent_at >= sent_at:
            return Verdict.REFUTED
        if any(sent_at <= call.sent_at <= silent_from for call in known.open):
            return Verdict.OPEN
        if not may_be_left_over or self._answered_between(known, answered_at, silent_from):
            return Verdict.CONFIRMED
        return Verdict.OPEN

    @staticmethod
    def _answered_between(known: _Endpoint, after: float, until: float) -> bool:
        """Whether a call that was sent in this time got a response that is its own."""
        return any(
            after < call.sent_at <= until and (call.in_sync or known.is_plausible(call.response_time_s))
            for call in known.answered
        )

    def forget_old(self, now: float) -> None:
        """Drop endpoints that have not been called for a while."""
        self._endpoints = {
            endpoint: known
            for endpoint, known in self._endpoints.items()
            if known.open or now < known.used_at + _FORGET_AFTER_S
        }
