"""State of the `DecisionEngine`: messages, calls, endpoints, routes and destinations.

The classes keep records and sums; the decisions that follow from them are made in `decisions.py`. Times are in
microseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from .core.limit_share import LimitShare
from .interface import Arrived, Effect, Hold, Listed, MessageClass, Outcome, Tenant

LATENCY_GAIN = 0.15  # weight of a new latency in the mean, so that about the last dozen calls count
SECOND = 1_000_000  # microseconds
ACCEPTED_SPAN_US = 2 * SECOND  # accepted calls are counted over the longest usual span of a rate limit
SILENT_LATENCIES = 4  # mean latencies without any answer after which a route counts as silent
PACE_GROWTH_PER_S = 0.1  # share by which the pace grows each second without a refusal
PACE_DURATION_S = 5  # pacing ends after this time without a refusal
OPEN_CAP_SHARE = 0.9  # share of `open_cap` above which the least valuable messages are given up
MAX_DESTINATIONS = 8_192  # above which those without endpoints and messages are forgotten
SHARED_ROUTE = -1  # key of the only route of a destination whose endpoints share one route


def conformance(recent: Sequence[bool]) -> float:
    """The conformance c of a class: the share of its recent messages that were delivered before their aim."""
    return sum(recent) / len(recent) if recent else 1.0


def smoothed(mean: float | None, took: float) -> float:
    """The exponential moving average `mean` after one more call that took `took`."""
    return float(took) if mean is None else mean + LATENCY_GAIN * (took - mean)


def count_before(queue: Sequence[Message], aim: float, inclusive: bool = False) -> int:
    """How many messages of a queue in order of aim have their aim before `aim`, or at it where `inclusive`."""
    return (bisect_right if inclusive else bisect_left)(queue, aim, key=lambda message: message.aim_at)


def open_limit(open_cap: int) -> float:
    """How many messages may be open before the least valuable are given up; at least one, where the cap is tiny."""
    return max(1.0, min(open_cap - 2, OPEN_CAP_SHARE * open_cap))


class TenantQuotas:
    """This relay's parts of the tenants' quotas, as token buckets. Messages above a quota count for less."""

    def __init__(self, tenants: Sequence[Tenant], relays: int) -> None:
        self._quotas = [tenant.quota_per_s / relays for tenant in tenants]
        self._buckets: dict[int, tuple[float, int]] = {}  # tenant -> tokens, time of the last update

    def take(self, tenant: int, now: int) -> bool:
        """Whether one more message of the tenant is within its quota; always true for a tenant without a quota."""
        if tenant >= len(self._quotas):
            return True
        quota = self._quotas[tenant]
        tokens, updated_at = self._buckets.get(tenant, (0.0, 0))
        tokens = min(2 * quota, tokens + quota * (now - updated_at) / SECOND)
        self._buckets[tenant] = (max(0.0, tokens - 1), now)
        return tokens >= 1


@dataclass(eq=False)
class Call:
    """A call in flight. The messages sent in it share its slot and its fate; each may bring its own retry-after."""

    endpoint: Endpoint
    sent_at: int
    pending: int = 0  # messages without an outcome
    learned: bool = False  # whether its first outcome has been learned from
    is_retry: bool = False  # whether a message in it was refused before


class Message:
    """An open message: accepted and without a final answer, or with an attempt in flight."""

    def __init__(self, arrival: Arrived, cls: MessageClass, now: int, worth: float) -> None:
        self.id, self.dest, self.cls, self.worth, self.arrival = arrival.message, arrival.dest, cls, worth, arrival
        self.deadline_at = now + arrival.time_left
        self.aim_at = self.deadline_at - cls.deadline + cls.aim
        self.attempts = len(arrival.earlier)
        self.finished = False
        self.refused = False  # by its last attempt
        self.rank: tuple[bool, bool, float, bool] = (False, False, 0.0, False)
        self.eviction_rank = math.inf  # the lowest since it is held
        self.calls: dict[int, Call] = {}
        self.may_have_run = {  # attempt -> time sent, zone
            n: (earlier.sent_at, earlier.zone) for n, earlier in enumerate(arrival.earlier) if earlier.may_have_run
        }
        self.last: Endpoint | None = None
        self.call_pending = arrival.restored and not self.may_have_run  # accepted by an earlier run that did not call

    def queue_key(self) -> tuple[int, float, bool, bool]:
        """The properties that the held messages of one queue share; they differ only in their times."""
        return self.arrival.class_index, self.worth, self.attempts > 0, self.call_pending

    def attempt_ended(self, outcome: Outcome) -> None:
        """Records whether the attempt was refused, and whether it made a call at all."""
        self.refused = outcome is Outcome.FULL
        self.call_pending = self.call_pending and outcome in (
            Outcome.CONNECT_FAILED,
            Outcome.MOOT,
            Outcome.CANCELLED,
        )

    def callable_until(self) -> int:
        """The time until which another call may be made: its deadline, or until its key may be forgotten."""
        keyed_retry = self.cls.effect is Effect.KEYED and self.may_have_run
        return min(self.deadline_at, self.key_until()) if keyed_retry else self.deadline_at

    def owes_call(self) -> bool:
        """Whether an earlier run accepted it, and no run has tried it."""
        return self.call_pending and not self.arrival.earlier

    def by_aim(self) -> tuple[int, int]:
        return self.aim_at, self.id

    def key_until(self) -> int:
        """The time until which the destination is certain to remember the idempotency key."""
        return min((sent_at for sent_at, _ in self.may_have_run.values()), default=0) + self.cls.window


class Route:
    """The unit of limits, backoff and health: a destination, or one endpoint where endpoints are separate routes."""

    def __init__(self, now: int, share: LimitShare) -> None:
        self.created_at = now
        self.share = share  # of the limit that the route reports
        self.mean: float | None = None  # latency of served calls
        self.mean_at = now
        self.answered_at = now  # when the latest answered call was sent
        self.calls: list[Call] = []
        self.accepted: deque[int] = deque()  # times
        self.backoff_until = 0  # by retry-after, pacing and trials
        self.backoff_reason = Hold.PACE  # the one that ends last
        self.pace = 0.0  # calls a second at `cut_at`, the last cut; 0: none
        self.cut_at = 0
        self.fail_share = 0.0
        self.failed_at = 0
        self.bad_run = 0  # failed or refused calls in a row, the first at `bad_since`
        self.bad_since = 0
        self.failing = False
        self.slow_start_at = -1  # when it recovered; -1: it was never unhealthy
        self.slow_start_due = 0  # when slow start allows the next call
        self.unused_since = 0  # when its last endpoint was removed; 0: it has one

    def back_off(self, until: int, reason: Hold) -> None:
        if until > self.backoff_until:
            self.backoff_until, self.backoff_reason = until, reason

    def paced(self, now: int) -> float:
        """The pace in calls a second, which grows linearly from the last cut; 0 without a pace."""
        since_cut = (now - self.cut_at) / SECOND
        return self.pace * (1 + PACE_GROWTH_PER_S * since_cut) if since_cut <= PACE_DURATION_S else 0.0

    def silent(self, now: int) -> bool:
        """Whether none of the calls sent for some time was answered. A call that is lost while later ones are answered
        does not count."""
        since = next((call.sent_at for call in self.calls if call.sent_at > self.answered_at), now)
        return self.mean is not None and now - since > SILENT_LATENCIES * self.mean

    def record_accepted(self, now: int) -> None:
        self.accepted.append(now)
        while self.accepted[0] <= now - ACCEPTED_SPAN_US:
            self.accepted.popleft()

    def accepted_rate(self, now: int) -> float:
        """Calls a second that were accepted in the last `ACCEPTED_SPAN_US`."""
        recent = sum(accepted_at > now - ACCEPTED_SPAN_US for accepted_at in self.accepted)
        return recent * SECOND / max(min(ACCEPTED_SPAN_US, now - self.created_at), SECOND)

    def due(self) -> int:
        """When backoff, and this relay's share of the limit, allow the next call."""
        return max(self.backoff_until, self.share.due())


@dataclass(eq=False)
class Endpoint:
    """One endpoint of a destination."""

    entry: Listed
    route: Route
    order: float  # random tie-break, so that relays spread over endpoints that are otherwise equal
    mean: float | None = None
    calls: int = 0
    failed_at: int = 0
    fails: int = 0  # failed calls since one was accepted


@dataclass(eq=False)
class Destination:
    """A destination with its usable endpoints, its routes and the messages held for it."""

    created_at: int
    assumed_gap: float = 0.0  # between this relay's messages, before enough of them have come
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    routes: dict[int, Route] = field(default_factory=dict)
    held: dict[int, Message] = field(default_factory=dict)
    queues: dict[tuple[int, float, bool, bool], list[Message]] = field(default_factory=dict)  # `held`, by aim
    due_calls: dict[int, int] = field(default_factory=dict)  # held message -> when it is called despite any backoff
    arrivals: int = 0  # messages since `created_at`
    overload: int = 0  # refusals, less the calls accepted since
    fails: int = 0  # failed calls since one was accepted
    served_at: int = 0  # when a call was last accepted
    backlog_at: int = 0  # when a restored backlog begins
    backoff_until: int = 0
    backoff_reason: Hold = Hold.REST
    wake_at: int = 0  # when it is looked at next, if nothing happens before

    def hold(self, message: Message) -> None:
        if message.id not in self.held:
            self.held[message.id] = message
            insort(self.queues.setdefault(message.queue_key(), []), message, key=Message.by_aim)

    def remove(self, message: Message) -> None:
        """Removes the message from the held messages, if it is among them."""
        self.due_calls.pop(message.id, None)
        if self.held.pop(message.id, None):
            queue = self.queues[message.queue_key()]
            del queue[bisect_left(queue, message.by_aim(), key=Message.by_aim)]
            if not queue:
                del self.queues[message.queue_key()]

    def call_is_due(self, message: Message, now: int) -> bool:
        """Whether the message is called now, whatever backoff there is."""
        return self.due_calls.get(message.id, now + 1) <= now

    def record_arrival(self, now: int, restored: bool = False) -> None:
        """Counts a new message, in equal parts for each route. A restored one counted when it first arrived."""
        self.arrivals += not restored
        for route in self.routes.values():
            route.share.message_arrived(now, 1 / len(self.routes))

    def arrival_gap(self, now: int) -> float:
        """The mean time between this relay's messages for the destination, never 0. Before messages have come for as
        long as the assumed gap, they count as if they had taken so long."""
        return max(1.0, max(now - self.created_at, self.assumed_gap) / max(1, self.arrivals))

    def known_to_fail(self) -> bool:
        """Whether the last calls failed or were refused."""
        return bool(self.fails or self.overload or any(route.bad_run for route in self.routes.values()))

    def calls(self) -> int:
        """The number of calls in flight."""
        return sum(endpoint.calls for endpoint in self.endpoints.values())

    def back_off(self, until: int, reason: Hold = Hold.REST) -> None:
        if until > self.backoff_until:
            self.backoff_until, self.backoff_reason = until, reason

    def drop_unused_routes(self, now: int, kept_for: int) -> int:
        """Drops the routes that have had no endpoint for `kept_for`, once their backoff is over: an endpoint that is
        listed soon after the last one was removed finds the route as it was. Returns when to look again, 0 for
        never."""
        used = {SHARED_ROUTE} | self.endpoints.keys() if self.endpoints else set()
        look_at = []
        for key, route in list(self.routes.items()):
            if key in used:
                route.unused_since = 0
                continue
            route.unused_since = route.unused_since or now
            kept_until = max(route.unused_since + kept_for, route.backoff_until)
            if kept_until <= now:
                del self.routes[key]
            else:
                look_at.append(kept_until)
        return min(look_at, default=0)


class Destinations(dict[int, Destination]):
    """The destinations by their numbers; one that is asked for is made. `now`: the present."""

    def __init__(self, now: Callable[[], int]) -> None:
        self._now = now
        self._forget_above = MAX_DESTINATIONS

    def __missing__(self, name: int) -> Destination:
        dest = self[name] = Destination(self._now())
        return dest

    def forget_unused(self, messages: Iterable[Message]) -> None:
        """Forgets the destinations that none of the open messages, no endpoint and no backoff needs, where there are
        many."""
        if len(self) <= self._forget_above:
            return
        now, needed = self._now(), {message.dest for message in messages}
        for name, dest in list(self.items()):
            dest.drop_unused_routes(now, 0)
            if not (dest.endpoints or dest.routes or name in needed or dest.backoff_until > now):
                del self[name]
        self._forget_above = max(MAX_DESTINATIONS, 2 * len(self))
