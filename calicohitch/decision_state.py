"""What a DecisionEngine remembers of messages, calls, endpoints, routes and destinations.

Records and sums only; what follows from them is decided in `decisions.py`. Times are microseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from .core.limit_share import LimitShare
from .interface import Arrived, Hold, Listed, MessageClass, Outcome, RestoredRoute, Tenant

MEAN_GAIN = 0.15  # share: weight of a new latency in the mean; about the last dozen calls count
SECOND = 1_000_000  # microseconds
PACE_SPAN = 2 * SECOND  # span over which accepted calls are counted: the longest usual span of a limit
STALL = 4  # mean latencies without any answer until a route counts as silent
GROW = 0.1  # share by which the pace grows each second without a refusal
PACE_END = 5  # seconds: without a refusal for so long, pacing ends
ROOM = 0.9  # share of the holding room above which the least worth is given up
SHARED = -1  # name of the one route of a destination whose endpoints are not routes apart


def conformance(recent: Sequence[bool]) -> float:  # c: the share of recent endings served before their aim
    return sum(recent) / len(recent) if recent else 1.0


def smoothed(mean: float | None, took: float) -> float:  # a mean with one more call in it
    return float(took) if mean is None else mean + MEAN_GAIN * (took - mean)


def before(line: Sequence[Message], aim: float, or_at: bool = False) -> int:
    """How many of a line, which lies in the order of its aims, have theirs before `aim`."""
    return (bisect_right if or_at else bisect_left)(line, aim, key=lambda message: message.aim_at)


def room_of(open_cap: int) -> float:
    """How many messages may be open before the least worth is given up; one, where the cap is tiny."""
    return max(1.0, min(open_cap - 2, ROOM * open_cap))


class Allowances:
    """This courier's own parts of the tenants' shares: what comes past them is worth little."""

    def __init__(self, tenants: Sequence[Tenant], couriers: int) -> None:
        self._quotas = [tenant.quota_per_s / couriers for tenant in tenants]
        self._left: dict[int, tuple[float, int]] = {}

    def take(self, tenant: int, now: int) -> bool:
        """Whether one more message of the tenant lies inside its share; true of who has none."""
        if tenant >= len(self._quotas):
            return True
        quota = self._quotas[tenant]
        tokens, at = self._left.get(tenant, (0.0, 0))
        tokens = min(2 * quota, tokens + quota * (now - at) / SECOND)
        self._left[tenant] = (max(0.0, tokens - 1), now)
        return tokens >= 1


@dataclass(eq=False)
class Call:
    """One call out: the messages that travel in it share its slot and its fate."""

    endpoint: Endpoint
    sent_at: int
    left: int = 0  # messages in it without an outcome
    told: bool = False  # its outcome was learned from
    again: bool = False  # a message in it was refused before


class Message:
    """An open message: taken and not yet finally answered, or with an attempt still out."""

    def __init__(self, told: Arrived, cls: MessageClass, now: int, worth: float) -> None:
        self.id, self.dest, self.cls, self.worth, self.told = told.message, told.dest, cls, worth, told
        self.deadline_at = now + told.time_left
        self.aim_at = self.deadline_at - cls.deadline + cls.aim
        self.attempts = len(told.earlier)
        self.over = False
        self.refused = False  # by its last attempt
        self.rank: tuple[bool, bool, float, bool] = (False, False, 0.0, False)
        self.room = math.inf  # its lowest rank for room since it is held
        self.calls: dict[int, Call] = {}
        self.may_have_run = {  # attempt -> time sent, zone
            n: (was.sent_at, was.zone) for n, was in enumerate(told.earlier) if was.may_have_run
        }
        self.last: Endpoint | None = None
        self.owed = told.restored and not self.may_have_run  # a call: an earlier life took it on, and made none

    def alike(self) -> tuple[int, float, bool, bool]:
        """What a held message shares with those that differ from it in their times alone."""
        return self.told.class_index, self.worth, self.attempts > 0, self.owed

    def attempt_ended(self, outcome: Outcome) -> None:
        """An attempt ended so: whether it was a call at all, and whether it was refused."""
        self.refused = outcome is Outcome.FULL
        self.owed = self.owed and outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.CANCELLED)

    def by_aim(self) -> tuple[int, int]:
        return self.aim_at, self.id

    def key_until(self) -> int:
        """So long does the destination surely remember the key."""
        return min((sent for sent, _ in self.may_have_run.values()), default=0) + self.cls.window


class Route:
    """What shares one limit, wait and fate: a destination, or one endpoint where routes are apart."""

    def __init__(self, now: int, share: LimitShare) -> None:
        self.born = now
        self.share = share  # of the limit that the route tells
        self.mean: float | None = None  # latency of served calls
        self.mean_at = now
        self.heard = now  # when the last answered call was sent
        self.calls: list[Call] = []
        self.accepted: deque[int] = deque()  # times
        self.rest_until = 0  # by told waits, pace and trials
        self.rest_why = Hold.PACE  # which of them ends last
        self.pace = 0.0  # calls a second at `cut_at`, the last cut; 0: none
        self.cut_at = 0
        self.fail_share = 0.0
        self.failed_at = 0
        self.bad_run = 0  # failed or refused calls in a row, the first at `bad_since`
        self.bad_since = 0
        self.failing = False
        self.cold_at = -1  # when it came back from being sick
        self.cold_due = 0  # when the ramp allows the next call

    def rest(self, until: int, why: Hold) -> None:
        if until > self.rest_until:
            self.rest_until, self.rest_why = until, why

    def paced(self, now: int) -> float:
        """Calls a second, 0 without a pace; it grows evenly."""
        since = (now - self.cut_at) / SECOND
        return self.pace * (1 + GROW * since) if since <= PACE_END else 0.0

    def silent(self, now: int) -> bool:
        """Nothing sent for long was answered; a call lost while later ones are answered says nothing."""
        since = next((call.sent_at for call in self.calls if call.sent_at > self.heard), now)
        return self.mean is not None and now - since > STALL * self.mean

    def was_accepted(self, now: int) -> None:
        """A call was taken."""
        self.accepted.append(now)
        while self.accepted[0] <= now - PACE_SPAN:
            self.accepted.popleft()

    def accepted_rate(self, now: int) -> float:
        """Calls a second that were accepted lately."""
        lately = sum(at > now - PACE_SPAN for at in self.accepted)
        return lately * SECOND / max(min(PACE_SPAN, now - self.born), SECOND)

    def recall(self, was: RestoredRoute) -> None:
        """What an earlier life knew; the first answer replaces it."""
        if not was.wait_only:
            self.share.recall(*was.share)
            self.failing, self.cold_at = was.failing, was.cold_at
        self.rest(was.wait_until, Hold.RETRY_AFTER)

    def due(self) -> int:
        """When rests, and this courier's part of the limit, let the next call go."""
        return max(self.rest_until, self.share.due())


@dataclass(eq=False)
class Endpoint:
    """One endpoint of a destination."""

    told: Listed
    route: Route
    order: float  # drawn: couriers that cannot tell endpoints apart spread over them
    mean: float | None = None
    calls: int = 0
    failed_at: int = 0
    fails: int = 0  # failed calls since one was accepted


@dataclass(eq=False)
class Destination:
    """The endpoints that may be sent to, and the messages held for them."""

    born: int
    ends: dict[int, Endpoint] = field(default_factory=dict)
    routes: dict[int, Route] = field(default_factory=dict)
    held: dict[int, Message] = field(default_factory=dict)
    lines: dict[tuple[int, float, bool, bool], list[Message]] = field(default_factory=dict)  # the held, by aim
    came: int = 0  # messages since `born`
    crowd: int = 0  # refusals, less the calls accepted since
    fails: int = 0  # failed calls since one was accepted
    rest_until: int = 0
    rest_why: Hold = Hold.REST
    wake_at: int = 0  # when it is looked at next, if nothing happens before

    def hold(self, message: Message) -> None:
        if message.id not in self.held:
            self.held[message.id] = message
            insort(self.lines.setdefault(message.alike(), []), message, key=Message.by_aim)

    def let_go(self, message: Message) -> None:
        if self.held.pop(message.id, None):
            line = self.lines[message.alike()]
            del line[bisect_left(line, message.by_aim(), key=Message.by_aim)]
            if not line:
                del self.lines[message.alike()]

    def arrived(self, now: int) -> None:
        """One more message came, for any of the routes."""
        self.came += 1
        for route in self.routes.values():
            route.share.message_arrived(now, 1 / len(self.routes))

    def gap(self, now: int) -> float:
        """This courier's usual gap between messages there."""
        return (now - self.born) / max(1, self.came)

    def calls(self) -> int:
        return sum(endpoint.calls for endpoint in self.ends.values())

    def rest(self, until: int, why: Hold = Hold.REST) -> None:
        if until > self.rest_until:
            self.rest_until, self.rest_why = until, why

    def forget(self, now: int) -> None:
        """Drop the routes that no endpoint is left of, once what they were told is over."""
        left = {SHARED} | self.ends.keys() if self.ends else set()
        for name in [n for n, route in self.routes.items() if n not in left and route.rest_until <= now]:
            del self.routes[name]


def known(dests: Mapping[int, Destination]) -> tuple[RestoredRoute, ...]:
    """What there is to recall of all routes."""
    return tuple(
        RestoredRoute(
            name,
            None if at == SHARED else at,
            route.share.state(),
            route.failing,
            route.cold_at,
            route.rest_until if route.rest_why is Hold.RETRY_AFTER else 0,
        )
        for name, dest in dests.items()
        for at, route in dest.routes.items()
    )


def recall(dests: Mapping[int, Destination], routes: Sequence[RestoredRoute]) -> None:
    """Tell routes that the list has named what an earlier life knew of them."""
    for was in routes:
        dest = dests.get(was.dest)
        if dest and (route := dest.routes.get(SHARED if was.endpoint is None else was.endpoint)):
            route.recall(was)
