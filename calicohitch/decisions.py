"""The decision engine of a relay. Its settings, events and actions are defined in `interface.py`.

The mechanism is that of Krompass et al. (ICSoC 2006): held messages are ranked by an adaptive penalty that
follows from the conformance c of their class. Everything else protects against overload, outages and long
queues; each comment says what it protects against and what it costs. Times are microseconds.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from heapq import heapify, heappop, heappush, merge
from itertools import chain, islice
from typing import Any

from .core.shared_limit import share_of
from .core.limit_updates import LimitUpdates
from .interface import (
    Action,
    Arrived,
    Cancel,
    CloseIdle,
    Effect,
    Event,
    Fail,
    Held,
    Hold,
    ListKind,
    ListTold,
    MessageClass,
    Outcome,
    PeerSaid,
    Phase,
    RestoredState,
    Refuse,
    Resumed,
    Send,
    Settings,
    Settled,
    SetTimer,
    Tell,
    Watch,
    Withdrawn,
)
from .decision_state import (
    SHARED_ROUTE,
    TenantQuotas,
    Call,
    Destination,
    Destinations,
    Endpoint,
    Message,
    Route,
    count_before,
    conformance,
    open_limit,
    smoothed,
)
from .pacing import (
    MAX_OVERLOAD_DOUBLINGS,
    MAX_TRIAL_INTERVAL_US,
    OUTAGE_US,
    SECOND,
    TRIAL_INTERVAL_US,
    Pacing,
)
from .restored_pacing import export_destinations, export_routes, joined, restore_listed

SERVICE_LEVELS = (1.0, 0.9, 0.8, 0.0)  # conformance at the bounds of the paper's service levels
CONFORMANCE_WINDOW = 100  # messages that c is computed from: one moves it by a tenth of a level only
LATEST_START_LATENCIES = 2  # mean latencies before the deadline at which a message becomes urgent
DEFAULT_LATENCY_FACTOR = 2  # times the mean over all: a destination without recent calls may be a slow one
LATENCY_EXPIRY_US = 30 * SECOND  # without a call for this long the load of a destination has changed
CLOSE_IDLE_US = 2 * SECOND  # after each failed connect, idle connections of its kind are closed for so long
TIMEOUT_LATENCIES = 8  # mean latencies until a repeatable attempt times out: 1 sound call in 3000 is longer
UNHEALTHY_FAIL_SHARE = 0.6  # share of recent calls that fail: most of them, so this is an outage
FAIL_SHARE_GAIN = 0.3  # weight of one call in that share: three failures in a row pass UNHEALTHY_FAIL_SHARE
MAX_UNSAFE_RISK = 0.25  # share of failing calls above which an unsafe message, ended by a failure, is held
RISK_HALF_LIFE_US = 3 * SECOND  # half-life of that share without a further failure
DISCOVERY_RETRY_US, MAX_DISCOVERY_RETRY_US = SECOND, 8 * SECOND  # first, longest pause after failures


def penalty(c: float, worth: float, levels: Sequence[float] = SERVICE_LEVELS) -> float:
    """The larger of opportunity cost and marginal gain at conformance `c`, for a step worth `worth`."""
    cost = gain = 0.0
    for i in range(len(levels) - 2):
        upper, lower, next_lower = levels[i], levels[i + 1], levels[i + 2]
        if lower <= c < upper:
            cost = ((upper - c) / (upper - lower)) ** 2 * worth
        if next_lower <= c < lower:
            gain = ((c - next_lower) / (lower - next_lower)) ** 2 * worth
    return max(cost, gain)


def refusable(message: Message) -> bool:
    """Whether it is harmless that the client submits the message again."""
    return message.cls.harmless_again or not message.may_have_run


def repeatable(message: Message, now: int) -> bool:
    """Whether another attempt is harmless, by the outcomes of the earlier ones."""
    key_remembered = message.cls.effect is Effect.KEYED and now < message.key_until()
    return message.cls.effect is Effect.SAFE or not message.may_have_run or key_remembered


class DecisionEngine:
    """The decisions of one relay. The caller passes in every event and carries out the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings, self._now = settings, 0
        self._random = random.Random(seed)
        self._pacing = Pacing(settings, self._random)
        self._recent: list[deque[bool]] = [deque(maxlen=CONFORMANCE_WINDOW) for _ in settings.classes]
        self._open: dict[int, Message] = {}
        self._endpoints: dict[int, Endpoint] = {}
        self._dests = Destinations(lambda: self._now)
        self._changed: dict[int, None] = {}  # destinations with changes: only these are examined
        self._backlogs: dict[int, None] = {}  # destinations whose held messages other relays may have as well
        self._unlisted = RestoredState()  # what an earlier run knew of destinations that are not listed yet
        self._ready: dict[int, None] = {}  # destinations that wait for nothing but a slot
        self._wakes: list[tuple[int, int]] = []  # heap: time, destination
        self._evictable: list[tuple[float, int, int]] = []  # heap: eviction rank, aim, message
        self._ordered_queues: dict[int, list[Message]] = {}  # key -> messages of ordered classes
        self._quiet_keys: dict[int, int] = {}
        self._closing_until: dict[int, int] = {}  # kind -> time, set by failed connects
        self._overload_doublings: dict[int, int] = {}  # kind -> doublings of its backoff
        self._quotas = TenantQuotas(settings.tenants, settings.couriers)
        self._actions: list[Action] = []
        self._mean: float | None = None  # latency of served calls, over all destinations
        self._timer_at = self._slots_taken = 0
        self.limit_updates = LimitUpdates(seed)
        self._watch_at, self._watch_pause = -1, DISCOVERY_RETRY_US
        names = [report.name for report in settings.reports]
        self._new_route: Callable[[], Route] = lambda: Route(self._now, share_of(settings.couriers, names))

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Processes the events observed at `now` and returns the actions that follow from them."""
        self._now, self._actions = now, []
        handlers: dict[type, Callable[[Any], None]] = {
            Arrived: self._arrived,
            Settled: self._settled,
            Withdrawn: self._withdrawn,
            ListTold: self._update_endpoints,
            RestoredState: self._restore,
            PeerSaid: self._peer_said,
            Resumed: self._resumed,
        }
        for event in events:
            handlers.get(type(event), lambda _: None)(event)
        self._dests.forget_unused(self._open.values())
        self._spread_backlogs()
        while self._wakes and self._wakes[0][0] <= now:
            self._changed[heappop(self._wakes)[1]] = None
        self._drop_late()
        self._release()
        self._evict()
        self._schedule()
        if self._settings.may_tell and (note := self.limit_updates.due(now)):
            self._actions.append(Tell(None, note))
        return self._actions

    def _resumed(self, _event: Resumed) -> None:
        self._backlogs.update((name, None) for name, dest in self._dests.items() if dest.held)

    def _spread_backlogs(self) -> None:
        """Begins each backlog at a random time of its own, once its destination is listed."""
        for name in [name for name in self._backlogs if self._dests[name].endpoints]:
            dest = self._dests[name]
            self._pacing.spread_backlog(dest, self._now)
            self._changed[name] = None
            del self._backlogs[name]

    def decided(self) -> list[Action]:
        """The actions of the last turn; after an exception, those decided before it."""
        return self._actions

    def _arrived(self, event: Arrived) -> None:
        cls = self._settings.classes[event.class_index]
        within_quota = self._quotas.take(event.tenant, self._now)
        worth = cls.worth * (1.0 if within_quota else self._settings.over_share_worth)
        message = self._open[event.message] = Message(event, cls, self._now, worth)
        self._hold(message)
        self._dests[message.dest].record_arrival(self._now, event.restored)
        if event.restored:
            self._backlogs[message.dest] = None
        self._owe_call(message)
        if cls.in_order and event.key:
            self._ordered_queues.setdefault(event.key, []).append(message)
        if message.attempts >= self._settings.max_attempts:  # all made before a restart
            self._give_up(message)

    def _owe_call(self, message: Message) -> None:
        """A message that no run has tried is called while its time lasts, whatever backoff there is."""
        if message.owes_call() and not message.finished:
            call_at = self._pacing.within_time_left(self._now, message.deadline_at)
            self._dests[message.dest].due_calls[message.id] = call_at

    def _hold(self, message: Message) -> None:
        """Holds the message for its destination, with a new eviction rank where that is lower."""
        dest = self._dests[message.dest]
        dest.hold(message)
        self._changed[message.dest] = None
        bad_calls = dest.overload + dest.fails  # overloaded and failing destinations are evicted from first
        if (
            rank := message.worth / len(dest.held) / (1 + bad_calls)
        ) < message.eviction_rank and not message.call_pending:
            message.eviction_rank = rank
            heappush(self._evictable, (rank, message.aim_at, message.id))

    # Learning from outcomes

    def _settled(self, event: Settled) -> None:
        message = self._open.get(event.message)
        if message is None or (call := message.calls.pop(event.attempt, None)) is None:
            return
        route, self._changed[message.dest] = call.endpoint.route, None
        route.back_off(self._now + event.wait, Hold.RETRY_AFTER)  # each message of a batch may bring its own
        call.pending -= 1
        if call.pending == 0:
            self._slots_taken -= 1
            call.endpoint.calls -= 1
            route.calls.remove(call)
            if not call.endpoint.calls and self._closing_until.get(call.endpoint.entry.kind, 0) > self._now:
                self._actions.append(CloseIdle(call.endpoint.entry.endpoint))
        if not call.learned:
            call.learned = True
            self._learn(call, event)
        message.attempt_ended(event.outcome)
        self._owe_call(message)
        if event.outcome.never_ran and not event.indeterminate:
            del message.may_have_run[event.attempt]
        elif message.arrival.key and (
            event.indeterminate or event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
        ):
            self._quiet_keys = {key: until for key, until in self._quiet_keys.items() if until > self._now}
            self._quiet_keys[message.arrival.key] = self._now + self._settings.rules.key_quiet
        if event.ended and not message.finished:
            self._finish(message, event.outcome is Outcome.OK and self._now <= message.aim_at)
        elif not message.finished and not message.calls:  # the attempt failed: hold or give up
            self._hold(message)
            if message.attempts >= self._settings.max_attempts or not repeatable(message, self._now):
                self._give_up(message)
        self._forget(message)

    def _learn(self, call: Call, event: Settled) -> None:
        """Updates the state of the endpoint and its route by the outcome of one call."""
        endpoint, route, now = call.endpoint, call.endpoint.route, self._now
        dest = self._dests[endpoint.entry.dest]
        if event.outcome in (Outcome.CANCELLED, Outcome.MOOT) or event.stale:
            return
        shared = endpoint.entry.dest if route is dest.routes.get(SHARED_ROUTE) else None
        self.limit_updates.observe(now, shared, route.share, event.report, event.outcome is Outcome.FULL)
        if call.is_retry and event.outcome in (Outcome.OK, Outcome.FULL):
            # Refused calls may use up a limit too, and then retries keep everyone out. Where most retries of
            # a kind are refused, its backoff doubles. The cost: one full destination slows its whole kind.
            kind, step = endpoint.entry.kind, 1 if event.outcome is Outcome.FULL else -1
            self._overload_doublings[kind] = min(
                max(self._overload_doublings.get(kind, 0) + step, 0), MAX_OVERLOAD_DOUBLINGS
            )
        route.answered_at = max(route.answered_at, 0 if event.outcome is Outcome.TIMEOUT else call.sent_at)
        if event.outcome is Outcome.OK:
            route.mean, route.mean_at = smoothed(route.mean, event.took), now
            self._mean = smoothed(self._mean, event.took)
            endpoint.mean, endpoint.fails = smoothed(endpoint.mean, event.took), 0
            dest.overload, dest.fails, dest.served_at = max(0, dest.overload - 1), 0, now
            route.record_accepted(now)
            route.fail_share, route.bad_run = route.fail_share * (1 - FAIL_SHARE_GAIN), 0
            if route.failing:
                route.failing, route.slow_start_at, route.slow_start_due = False, now, now
            return
        if event.outcome is not Outcome.FULL:
            endpoint.failed_at, endpoint.fails = now, endpoint.fails + 1
            if event.outcome is Outcome.TIMEOUT and call.sent_at < route.answered_at:
                # Calls sent later were answered, so an endpoint hangs and the route is not out, however many
                # calls hung. This protects the sound endpoints; the cost: a hang is seen a little later.
                return
        route.bad_since, route.bad_run = route.bad_since if route.bad_run else now, route.bad_run + 1
        if event.outcome is Outcome.FULL:
            self._learn_overload(call, event.wait)
        else:
            self._learn_failure(call, event.outcome)
        outage = now - route.bad_since > OUTAGE_US
        if (
            route.failing
            or route.bad_run >= 3
            and (route.fail_share > UNHEALTHY_FAIL_SHARE or outage)
            or event.wait > OUTAGE_US
        ):
            # An outage: only spaced trials go to an unhealthy route, and slow start follows its recovery.
            route.failing, pause = True, self._pacing.trial_pause(route.bad_run)
            if event.wait:
                pause = event.wait + max(pause, self._pacing.slow_start_spread(dest, now))
            route.back_off(now + pause, Hold.RETRY_AFTER if event.wait else Hold.TRIAL)
        for message in dest.held.values():
            self._hold(message)  # its eviction rank has changed

    def _learn_failure(self, call: Call, outcome: Outcome) -> None:
        """Where calls are rare, one failed call is enough for the destination to back off."""
        endpoint, route, now = call.endpoint, call.endpoint.route, self._now
        dest = self._dests[endpoint.entry.dest]
        route.fail_share += FAIL_SHARE_GAIN * (1 - route.fail_share)
        route.failed_at = now
        dest.fails += 1
        if not self._pacing.calls_are_rare(dest, now):
            return
        dest.back_off(now + self._pacing.backoff(dest, now, dest.overload + dest.fails))
        if dest.fails > 1:
            dest.back_off(now + self._pacing.gap_after_failures(dest, now))
        if outcome is Outcome.CONNECT_FAILED:
            self._close_idle(endpoint.entry.kind)

    def _close_idle(self, kind: int) -> None:
        """Closes the idle connections to endpoints of a kind after a failed connect, because their connection
        tables may be full. The cost is new handshakes, which are needless if the endpoint had crashed."""
        if self._closing_until.get(kind, 0) <= self._now:
            endpoints = self._endpoints.items()
            self._actions += [
                CloseIdle(name)
                for name, endpoint in endpoints
                if endpoint.entry.kind == kind and endpoint.mean and not endpoint.calls
            ]
        self._closing_until[kind] = self._now + CLOSE_IDLE_US

    def _default_latency(self, cls: MessageClass) -> float:
        """The latency assumed for a destination without a mean: half the aim, or twice this relay's mean over
        all destinations if that is less. Otherwise a call to an unknown destination that does not answer
        would hold its slot for most of the message's lifetime."""
        return min(cls.aim / 2, DEFAULT_LATENCY_FACTOR * (self._mean or cls.aim))

    def _latency(self, dest: Destination, cls: MessageClass, use_default: bool = True) -> float:
        """The mean latency of served calls on the fastest route."""
        default = self._default_latency(cls) if use_default else 0.0
        return min((e.route.mean or default for e in dest.endpoints.values()), default=default)

    def _min_call_time(self, dest: Destination, message: Message) -> float:
        """The time that a call needs: no call is made with less time to go. A message that an earlier run
        accepted must get its call, so it is not given up on a default latency alone. The cost is calls that
        end after their deadline."""
        return max(1.0, self._latency(dest, message.cls, not message.call_pending))

    def has_room(self) -> bool:
        """Whether one more message may be accepted. While messages that an earlier run accepted wait for a
        call, new ones are refused when the relay is full; otherwise the restored ones would be given up."""
        full = len(self._open) >= open_limit(self._settings.open_cap)
        return not (full and any(message.call_pending for message in self._open.values()))

    # Backoff and slow start

    def _learn_overload(self, call: Call, wait: int) -> None:
        """Protects a shared limit that is not known: rare calls back off, others are paced below the accepted
        rate. Relays that got the same retry-after in an outage are spread over the time of slow start."""
        route, dest, now = call.endpoint.route, self._dests[call.endpoint.entry.dest], self._now
        if wait > OUTAGE_US:
            dest.back_off(now + wait + self._pacing.slow_start_spread(dest, now), Hold.RETRY_AFTER)
        elif route.share.limit:  # the share limits this relay; jitter spreads relays with one wait
            route.back_off(now + wait + route.share.apart(self._random.random()), Hold.PACE)
        elif self._pacing.calls_are_rare(dest, now):
            dest.overload += 1
            first = self._settings.first_backoff(TRIAL_INTERVAL_US) * 2 ** self._overload_doublings.get(
                call.endpoint.entry.kind, 0
            )
            dest.back_off(now + wait + self._pacing.backoff(dest, now, dest.overload, first))
        else:
            self._pacing.cut_pace(route, call.sent_at, self._weighted_share(call.endpoint), wait, now)

    def _weighted_share(self, endpoint: Endpoint) -> float:
        return endpoint.entry.weight / self._settings.couriers if self._settings.weights != "none" else 0.0

    # Updates from discovery, peers and clients

    def _update_endpoints(self, event: ListTold) -> None:
        if event.kind is ListKind.FAILED:
            self._watch_at = self._now + self._watch_pause + self._random.randrange(self._watch_pause)
            self._watch_pause = min(MAX_DISCOVERY_RETRY_US, self._watch_pause * 2)
            return
        self._watch_pause = DISCOVERY_RETRY_US
        self._watch_at = self._now if event.kind is ListKind.CACHED and self._settings.asks_for_list else -1
        if event.kind is not ListKind.DELTA:  # an endpoint that a full list does not name is gone
            for name in sorted(self._endpoints.keys() - {entry.endpoint for entry in event.entries}):
                self._remove(name)
        for entry in event.entries:
            self._changed[entry.dest] = None
            if entry.phase is Phase.READY:
                dest, apart = self._dests[entry.dest], self._settings.kind(entry).routes_apart
                route = dest.routes.setdefault(entry.endpoint if apart else SHARED_ROUTE, self._new_route())
                route.share.assume_limit(self._now, entry.weight if self._settings.weights != "none" else 0.0)
                new, name = Endpoint(entry, route, self._random.random()), entry.endpoint
                dest.endpoints[name] = self._endpoints.setdefault(name, new)
                dest.endpoints[name].entry = entry
            else:
                self._remove(entry.endpoint)
        for dest in {entry.dest: self._dests[entry.dest] for entry in event.entries}.values():
            weights = {id(endpoint.route): endpoint.entry.weight for endpoint in dest.endpoints.values()}
            dest.assumed_gap = self._pacing.assumed_gap(weights.values()) if weights else dest.assumed_gap
        self._unlisted = restore_listed(self._dests, self._unlisted, self._now)

    def _remove(self, name: int) -> None:
        """Removes a draining or gone endpoint: it gets no new calls, and its calls in flight go on."""
        if endpoint := self._endpoints.pop(name, None):
            del self._dests[endpoint.entry.dest].endpoints[name]
            self._changed[endpoint.entry.dest] = None

    def _peer_said(self, event: PeerSaid) -> None:
        for name, limit in self.limit_updates.receive(self._now, event.data):
            if (dest := self._dests.get(name)) and SHARED_ROUTE in dest.routes:
                dest.routes[SHARED_ROUTE].share.peer_reported(self._now, limit)
                self._changed[name] = None

    def _restore(self, event: RestoredState) -> None:
        unlisted = restore_listed(self._dests, event, self._now)
        self._unlisted = joined(self._unlisted, unlisted)
        self._overload_doublings.update(event.overload_doublings)
        for recent, (good, total) in zip(self._recent, event.on_time, strict=False):
            recent.extend(n * good // total < (n + 1) * good // total for n in range(total))

    def known(self) -> RestoredState:
        """The state that a later run of this relay restores."""
        return RestoredState(
            export_routes(self._dests, self._pacing, self._now),
            tuple((sum(results), len(results)) for results in self._recent),
            export_destinations(self._dests, self._now),
            tuple((kind, count) for kind, count in self._overload_doublings.items() if count),
        )

    def _withdrawn(self, event: Withdrawn) -> None:
        message = self._open.get(event.message)
        if message and not message.finished:
            self._actions += [Cancel(message.id, n) for n in message.calls if self._settings.may_cancel]
            self._finish(message, False)
            self._forget(message)

    def _finish(self, message: Message, before_aim: bool) -> None:
        message.finished = True
        self._dests[message.dest].remove(message)
        self._recent[message.arrival.class_index].append(before_aim)

    def _forget(self, message: Message) -> None:
        if message.finished and not message.calls:
            self._open.pop(message.id, None)
            if message in (queue := self._ordered_queues.get(message.arrival.key, [])):
                queue.remove(message)
                if not queue:
                    del self._ordered_queues[message.arrival.key]

    # Giving up

    def _give_up(self, message: Message, retry_after: int = 0) -> None:
        """Answers an undelivered message at once; a refusal says when the client may submit it again."""
        retry_after = retry_after or self._retry_after(self._dests[message.dest])
        self._actions.append(Refuse(message.id, retry_after) if refusable(message) else Fail(message.id))
        self._finish(message, False)
        self._forget(message)

    def _retry_after(self, dest: Destination) -> int:
        """The retry-after of a refusal: until the destination's backoff ends, at least the pause of a trial.
        Up to half as much again is added at random, or messages given up together would return together."""
        backoff_until = max(
            dest.backoff_until, min((e.route.backoff_until for e in dest.endpoints.values()), default=0)
        )
        wait = max(backoff_until - self._now, TRIAL_INTERVAL_US) * (1 + self._random.random() / 2)
        wait = min(int(wait), self._settings.max_retry_after)
        return wait if self._settings.retry_after else 0

    def _drop_late(self) -> None:
        """Gives up messages that are too late for a call, and messages that were tried and must not be
        retried, such as keyed ones whose key may be forgotten by now."""
        for dest in [self._dests[name] for name in self._changed]:
            for queue in list(dest.queues.values()):
                cls = queue[0].cls
                late_count = count_before(
                    queue, self._now + self._min_call_time(dest, queue[0]) - (cls.deadline - cls.aim)
                )
                unrepeatable = (
                    [tried for tried in queue[late_count:] if not repeatable(tried, self._now)]
                    if queue[0].attempts
                    else []
                )
                for message in queue[:late_count] + unrepeatable:
                    self._give_up(message)

    def _evict(self) -> None:
        """Gives up the least valuable messages near `open_cap`; past it even valuable ones are refused."""
        while self._evictable and len(self._open) > open_limit(self._settings.open_cap):
            message = self._open.get(heappop(self._evictable)[2])
            if message and message.id in self._dests[message.dest].held:
                self._changed[message.dest] = None
                self._give_up(message, self._settings.max_retry_after if self._settings.retry_after else 0)
        if len(self._evictable) > 2 * self._settings.open_cap:  # most are finished or were ranked anew
            self._evictable = [
                candidate
                for candidate in self._evictable
                if (m := self._open.get(candidate[2])) and candidate[0] == m.eviction_rank
            ]
            heapify(self._evictable)

    # Ranking and release

    def _ranked(self, dest: Destination, shares: Sequence[float]) -> Iterator[Message]:
        """The held messages of a destination in the order of release; of equal ranks, those that can still
        meet their aim go first. The messages of one queue differ only in their times, so a few slices put a
        queue in order; ranking every message would cost too much CPU time where queues are long."""

        def rank(m: Message) -> tuple[float, ...]:
            usual, cost = self._latency(dest, m.cls), penalty(shares[m.arrival.class_index], m.worth)
            not_urgent = self._now < m.deadline_at - LATEST_START_LATENCIES * usual
            m.rank = (not_urgent, not (m.attempts or m.call_pending), -cost, m.aim_at < self._now + usual)
            return (*m.rank, -m.worth, m.aim_at, m.id)

        def ordered(queue: list[Message]) -> list[Message]:
            cls, usual = queue[0].cls, self._latency(dest, queue[0].cls)
            urgent = count_before(
                queue, self._now + LATEST_START_LATENCIES * usual - (cls.deadline - cls.aim), inclusive=True
            )
            past = count_before(queue, self._now + usual)  # too late for its aim
            low, high = min(urgent, past), max(urgent, past)
            return queue[low:urgent] + queue[:low] + queue[high:] + queue[urgent:high]

        for message in merge(*map(ordered, dest.queues.values()), key=rank):
            rank(message)  # `merge` does not call the key where it has one queue only
            if self._next_of_key(message):
                yield message

    def _release(self) -> None:
        """Fills the free slots by rank; of equal ranks, the destination with the fewest calls goes first."""
        self._ready.update(self._changed)
        if self._slots_taken >= self._settings.slots:
            return
        shares = [conformance(recent) for recent in self._recent]
        fronts = {}  # destination -> its first message, iterator over the others
        for name in self._ready:
            if (dest := self._dests.get(name)) and self._may_release(dest) and self._any_usable(dest):
                others = self._ranked(dest, shares)
                if dest.backoff_until > self._now:
                    others = (message for message in others if dest.call_is_due(message, self._now))
                if first := next(others, None):
                    fronts[name] = (first, others)
        while self._slots_taken < self._settings.slots and fronts:
            name = min(fronts, key=lambda n: (*fronts[n][0].rank, self._dests[n].calls()))
            (message, others), dest = fronts[name], self._dests[name]
            if endpoint := self._endpoint_for(message, dest):
                call, unsuitable = self._start_call(endpoint), []
                self._send(message, call)
                for other in islice(others, self._settings.kind(endpoint.entry).batch - 1):
                    if self._suitable(other, endpoint):
                        self._send(other, call)
                    else:
                        unsuitable.append(other)
                others = chain(unsuitable, others) if unsuitable else others
            if self._any_usable(dest) and (first := next(others, None)):
                fronts[name] = (first, others)
            else:
                del fronts[name]
        self._ready = dict.fromkeys(fronts)

    def _may_release(self, dest: Destination) -> bool:
        """Whether backoff is over, or a message is due that no run has tried."""
        return dest.backoff_until <= self._now or any(at <= self._now for at in dest.due_calls.values())

    def _any_usable(self, dest: Destination) -> bool:
        return any(not self._blocked_by(endpoint.route) for endpoint in dest.endpoints.values())

    def _next_of_key(self, message: Message) -> bool:
        """Whether the order of its key lets the message go: it is the first, and no earlier call of the key
        may still run."""
        queue, key = self._ordered_queues.get(message.arrival.key), message.arrival.key
        quiet_over = message.attempts > 0 or self._quiet_keys.get(key, 0) <= self._now
        return not message.cls.in_order or not queue or queue[0] is message and quiet_over

    def _suitable(self, message: Message, endpoint: Endpoint) -> bool:
        """Whether the endpoint may get this message. A keyed message that may have run stays in the zone that
        knows its key; an unsafe message, which a failure would end, is held while many calls fail."""
        if not endpoint.entry.speaks >> message.arrival.protocol & 1:
            return False  # the endpoint does not speak the protocol of the message
        cls, route, ran = message.cls, endpoint.route, message.may_have_run
        if cls.effect is Effect.KEYED and cls.group != "all" and ran:
            return endpoint.entry.zone == min(ran.values())[1]
        risk = route.fail_share * 0.5 ** ((self._now - route.failed_at) / RISK_HALF_LIFE_US)
        return cls.effect is not Effect.UNSAFE or not message.rank[0] or risk <= MAX_UNSAFE_RISK

    def _endpoint_for(self, message: Message, dest: Destination) -> Endpoint | None:
        usable = [
            endpoint
            for endpoint in dest.endpoints.values()
            if not self._blocked_by(endpoint.route) and self._suitable(message, endpoint)
        ]
        return min(
            usable,
            default=None,
            key=lambda e: (
                self._recent_failures(e),
                e is message.last,
                (e.calls + 1) * (e.mean or 0.0),
                e.entry.zone != self._settings.zone,
                e.order,
            ),
        )

    def _recent_failures(self, endpoint: Endpoint) -> int:
        """The failures in a row of an endpoint that failed recently or has a trial in flight; 0 for others.
        Of two failing endpoints the one that fails less is chosen."""
        recent = endpoint.failed_at > self._now - 2 * MAX_TRIAL_INTERVAL_US
        return endpoint.fails if recent or endpoint.calls else 0

    def why_held(self, number: int) -> Held | None:
        """Why a message is held, for operators and traces; None where it is not held. Changes no state."""
        message, now = self._open.get(number), self._now
        dest = self._dests.get(message.dest) if message else None
        if message is None or dest is None or number not in dest.held:
            return None
        if dest.backoff_until > now:
            return Held(dest.backoff_reason, dest.backoff_until)
        blocked = [
            (self._unblocked_at(endpoint.route, why), why)
            for endpoint in dest.endpoints.values()
            if (why := self._blocked_by(endpoint.route))
        ]
        if len(blocked) == len(dest.endpoints):
            until, why = min(blocked, key=lambda pair: pair[0] or math.inf, default=(0, Hold.NO_ENDPOINT))
            return Held(why, until)
        if not self._next_of_key(message):
            return Held(Hold.ORDER, self._quiet_keys.get(message.arrival.key, 0))
        suitable = any(
            self._suitable(message, endpoint) and not self._blocked_by(endpoint.route)
            for endpoint in dest.endpoints.values()
        )
        return Held(Hold.SLOT if suitable else Hold.RISK)

    def _unblocked_at(self, route: Route, reason: Hold) -> int:
        """When the route may get its next call; 0 where only an event can tell."""
        last_sent_at = route.calls[-1].sent_at if route.calls else 0
        due_at = {Hold.RAMP: route.slow_start_due, Hold.SILENT: last_sent_at + TRIAL_INTERVAL_US}.get(
            reason, route.due()
        )
        return due_at if due_at > self._now else 0

    def _blocked_by(self, route: Route) -> Hold | None:
        """Which of backoff, pacing, health and slow start blocks calls to this route now; None: none does."""
        now = self._now
        if route.backoff_until > now:
            return route.backoff_reason
        if route.failing and route.calls:
            return Hold.TRIAL
        if route.share.due() > now:  # the other relays need the remaining allowance
            return Hold.PACE
        # A silent route must not fill the slots: few calls may be in flight, and they are spaced, until an
        # answer comes.
        max_silent_calls = max(2, self._settings.slots // 3)
        if route.silent(now) and (
            len(route.calls) >= max_silent_calls or now < route.calls[-1].sent_at + TRIAL_INTERVAL_US
        ):
            return Hold.SILENT
        return Hold.RAMP if route.slow_start_due > now and self._pacing.in_slow_start(route, now) else None

    def _start_call(self, endpoint: Endpoint) -> Call:
        route, dest, now = endpoint.route, self._dests[endpoint.entry.dest], self._now
        route.mean = None if now - route.mean_at > LATENCY_EXPIRY_US else route.mean
        call = Call(endpoint, now)
        route.calls.append(call)
        endpoint.calls += 1
        self._slots_taken += 1
        route.share.sent(now)
        self._pacing.call_started(dest, route, self._weighted_share(endpoint), now)
        return call

    def _send(self, message: Message, call: Call) -> None:
        endpoint = call.endpoint
        self._dests[message.dest].remove(message)
        self._changed[message.dest] = None
        keyed_retry = message.cls.effect is Effect.KEYED and message.may_have_run
        not_after = message.key_until() if keyed_retry else 0  # a slow connect may outlast the key
        message.calls[message.attempts] = call
        message.may_have_run[message.attempts] = (self._now, endpoint.entry.zone)
        message.attempts += 1
        message.eviction_rank = math.inf
        message.last = endpoint
        call.pending += 1
        call.is_retry |= message.refused
        timeout = self._timeout(message, endpoint.route)
        attempt = message.attempts - 1
        self._actions.append(Send(message.id, endpoint.entry.endpoint, timeout, not_after, attempt))

    def _timeout(self, message: Message, route: Route) -> int:
        """The timeout of a call, so that calls that hang or are lost do not hold slots. Unsafe messages,
        which a timeout ends, get a longer one, and so do all after failures, since the route may be slow. The
        cost: a sudden slowdown loses calls."""
        factor = (3 if message.cls.effect is Effect.UNSAFE else 1) * (1 + self._dests[message.dest].fails)
        timeout = factor * max(
            message.cls.aim / 3, TIMEOUT_LATENCIES * (route.mean or self._default_latency(message.cls))
        )
        return int(min(max(1, message.deadline_at - self._now), timeout))

    # Timers

    def _schedule(self) -> None:
        """Subscribes to discovery when that is due, and sets the timer for the next decision."""
        if 0 <= self._watch_at <= self._now:
            self._watch_at = -1
            self._actions.append(Watch(True))
        for name in self._changed:
            dest = self._dests[name]
            wakes_at = self._next_wake(dest) if dest.held else dest.wake_at
            if dest.held and not self._now < dest.wake_at <= wakes_at:
                dest.wake_at = wakes_at  # an earlier wake does; one for each change would cost CPU time
                heappush(self._wakes, (wakes_at, name))
            if drop_at := dest.drop_unused_routes(self._now, self._settings.rules.ramp_time):
                heappush(self._wakes, (drop_at, name))
            if not dest.held and not dest.routes:
                del self._dests[name]
        self._changed.clear()
        wakes = [self._watch_at, *(wake_at for wake_at, _ in self._wakes[:1])]
        wake_at = min((w for w in wakes if w > self._now), default=0)
        if wake_at and (self._timer_at <= self._now or wake_at < self._timer_at):
            self._timer_at = wake_at
            self._actions.append(SetTimer(wake_at - self._now, wake_at))

    def _next_wake(self, dest: Destination) -> int:
        """The next time at which the state of a destination with held messages may change by itself."""
        wakes = [self._now + SECOND, dest.backoff_until]
        for queue in dest.queues.values():
            late = queue[0].deadline_at - int(self._min_call_time(dest, queue[0]))
            wakes.append(max(self._now, late) + 1)
            if queue[0].attempts or queue[0].cls.in_order:
                wakes += [t for m in queue for t in (self._quiet_keys.get(m.arrival.key, 0), m.key_until())]
        wakes += dest.due_calls.values()
        for r in dest.routes.values():
            wakes += [r.due(), r.slow_start_due, *(call.sent_at + TRIAL_INTERVAL_US for call in r.calls[-1:])]
        return min(w for w in wakes if w > self._now)
