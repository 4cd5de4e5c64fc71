"""Every decision of a courier. The types, events and actions it speaks in: `interface.py`.

The mechanism is that of Krompass et al. (ICSoC 2006): held messages are ranked by an adaptive penalty that
follows from their class's conformance c. Everything else here is a guard; each says what it guards against.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque
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
    Send,
    Settings,
    Settled,
    SetTimer,
    Tell,
    Watch,
    Withdrawn,
)
from .decision_state import (
    SHARED,
    Allowances,
    Call,
    Destination,
    Endpoint,
    Message,
    Route,
    before,
    conformance,
    known,
    recall,
    room_of,
    smoothed,
)

SECOND = 1_000_000  # microseconds
TIERS = (1.0, 0.9, 0.8, 0.0)  # shares of conformance: the paper's service levels
WINDOW = 100  # endings that c looks back on, so that one moves it by a tenth of a tier only
LATEST_START = 2  # mean latencies before the deadline: the design's margin
UNKNOWN = 2  # times the mean over all: a destination that was not called lately may be a slow one
IDLE = 30 * SECOND  # a destination's mean is forgotten after so long without a call: loads change by then
REST_GAPS = 3  # usual gaps of a courier's messages: its longest rest, so that a used-up limit can recover
CROWDED = 2 * SECOND  # after a failed connect, idle connections of that kind are not kept; each renews it
PATIENCE = 8  # mean latencies until a repeatable attempt times out: 1 honest call in 3000 is longer
FAILING = 0.6  # share of recent calls that fail: most of them, so this is an outage
FAIL_GAIN = 0.3  # share: weight of one call in that figure; three failures in a row pass FAILING
RISKY = 0.25  # share of failing calls above which an unsafe message, lost by a failure, rather waits
FADE = 3 * SECOND  # half-life of that share without a further failure
SHUT = 5 * SECOND // 2  # refusals, or a told wait, for longer than the span of a limit: the route is shut
REST_GROWS = 4  # times: each further bad call in a row lengthens the rest; few attempts fill a message's time
CHOKED_MAX = 8  # doublings that make two minutes of half a second: longer than any message lives
TRIAL, TRIAL_MAX = SECOND // 2, 2 * SECOND  # first, longest pause between trials of a sick route
CUT = 0.85  # share of the accepted rate at which a refused route is paced
TIP_ROOM = 0.8  # share of what would push a warming route over that is used where its limit is told
ASK_AGAIN, ASK_MAX = SECOND, 8 * SECOND  # first, longest pause after a failed call to the list


def penalty(c: float, worth: float, tiers: Sequence[float] = TIERS) -> float:
    """The larger of opportunity cost and marginal gain at conformance `c`, for a step worth `worth`."""
    cost = gain = 0.0
    for i in range(len(tiers) - 2):
        upper, lower, next_lower = tiers[i], tiers[i + 1], tiers[i + 2]
        if lower <= c < upper:
            cost = ((upper - c) / (upper - lower)) ** 2 * worth
        if next_lower <= c < lower:
            gain = ((c - next_lower) / (lower - next_lower)) ** 2 * worth
    return max(cost, gain)


def refusable(message: Message) -> bool:  # coming again must be harmless
    return message.cls.harmless_again or not message.may_have_run


def repeatable(message: Message, now: int) -> bool:  # by what the earlier attempts prove
    keyed_yet = message.cls.effect is Effect.KEYED and now < message.key_until()
    return message.cls.effect is Effect.SAFE or not message.may_have_run or keyed_yet


class DecisionEngine:
    """The decisions of one courier. Feed it every event; carry out its actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._set, self._now = settings, 0
        self._random = random.Random(seed)
        self._recent: list[deque[bool]] = [deque(maxlen=WINDOW) for _ in settings.classes]
        self._open: dict[int, Message] = {}
        self._endpoints: dict[int, Endpoint] = {}
        self._dests: dict[int, Destination] = defaultdict(lambda: Destination(self._now))
        self._touched: dict[int, None] = {}  # destinations with news: only these are looked at
        self._ready: dict[int, None] = {}  # destinations that wait for nothing but a slot
        self._wakes: list[tuple[int, int]] = []  # heap: time, destination
        self._least: list[tuple[float, int, int]] = []  # heap: worth when held, aim, message
        self._lanes: dict[int, list[Message]] = {}
        self._key_rest: dict[int, int] = {}
        self._crowded_until: dict[int, int] = {}  # kind: from failed connects
        self._choked: dict[int, int] = {}  # kind: doublings of its rests
        self._allowances = Allowances(settings.tenants, settings.couriers)
        self._actions: list[Action] = []
        self._mean: float | None = None  # latency of served calls, over all destinations
        self._timer_at = self._slots_taken = 0
        self.limit_updates = LimitUpdates(seed)
        self._ask_at, self._ask_pause = -1, ASK_AGAIN
        names = [report.name for report in settings.reports]
        self._new_route: Callable[[], Route] = lambda: Route(self._now, share_of(settings.couriers, names))

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Take what was seen at `now`; return what to do about it."""
        self._now, self._actions = now, []
        take: dict[type, Callable[[Any], None]] = {
            Arrived: self._arrived,
            Settled: self._settled,
            Withdrawn: self._withdrawn,
            ListTold: self._list,
            RestoredState: self._recalled,
            PeerSaid: self._peer_said,
        }
        for event in events:
            take.get(type(event), lambda _: None)(event)
        while self._wakes and self._wakes[0][0] <= now:
            self._touched[heappop(self._wakes)[1]] = None
        self._drop_late()
        self._release()
        self._make_room()
        self._arm()
        if self._set.may_tell and (note := self.limit_updates.due(now)):
            self._actions.append(Tell(None, note))
        return self._actions

    def decided(self) -> list[Action]:  # in the last turn, or so far in one that broke
        return self._actions

    def _arrived(self, told: Arrived) -> None:
        cls = self._set.classes[told.class_index]
        inside = self._allowances.take(told.tenant, self._now)
        worth = cls.worth * (1.0 if inside else self._set.over_share_worth)
        message = self._open[told.message] = Message(told, cls, self._now, worth)
        self._hold(message)
        self._dests[message.dest].arrived(self._now)
        if cls.in_order and told.key:
            self._lanes.setdefault(told.key, []).append(message)
        if message.attempts >= self._set.max_attempts:  # all made before a restart
            self._give_up(message)

    def _hold(self, message: Message) -> None:
        dest = self._dests[message.dest]
        dest.hold(message)
        self._touched[message.dest] = None
        bad = dest.crowd + dest.fails  # crowded, failing destinations give way first when room is short
        if (rank := message.worth / len(dest.held) / (1 + bad)) < message.room and not message.owed:
            message.room = rank
            heappush(self._least, (rank, message.aim_at, message.id))

    def _settled(self, event: Settled) -> None:
        message = self._open.get(event.message)
        if message is None or (call := message.calls.pop(event.attempt, None)) is None:
            return
        route, self._touched[message.dest] = call.endpoint.route, None
        route.rest(self._now + event.wait, Hold.RETRY_AFTER)  # each rider may tell its own
        call.left -= 1
        if call.left == 0:
            self._slots_taken -= 1
            call.endpoint.calls -= 1
            route.calls.remove(call)
            if not call.endpoint.calls and self._crowded_until.get(call.endpoint.told.kind, 0) > self._now:
                self._actions.append(CloseIdle(call.endpoint.told.endpoint))
        if not call.told:
            call.told = True
            self._learn(call, event)
        message.attempt_ended(event.outcome)
        if event.outcome.never_ran:
            del message.may_have_run[event.attempt]
        elif message.told.key and event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self._key_rest = {key: until for key, until in self._key_rest.items() if until > self._now}
            self._key_rest[message.told.key] = self._now + self._set.rules.key_quiet
        if event.ended and not message.over:
            self._ended(message, event.outcome is Outcome.OK and self._now <= message.aim_at)
        elif not message.over and not message.calls:  # back after an attempt: hold it, or give it up
            self._hold(message)
            if message.attempts >= self._set.max_attempts or not repeatable(message, self._now):
                self._give_up(message)
        self._forget(message)

    def _learn(self, call: Call, event: Settled) -> None:
        """What one call tells of its route and endpoint."""
        endpoint, route, now = call.endpoint, call.endpoint.route, self._now
        dest = self._dests[endpoint.told.dest]
        if event.outcome in (Outcome.CANCELLED, Outcome.MOOT) or event.stale:
            return
        shared = endpoint.told.dest if route is dest.routes.get(SHARED) else None
        self.limit_updates.observe(now, shared, route.share, event.report, event.outcome is Outcome.FULL)
        if call.again and event.outcome in (Outcome.OK, Outcome.FULL):
            # Guards against limits that refused calls use up: there trying again shuts out all. Where most of
            # a kind's second tries are refused, its rests double. Harm: a full partner slows its kind.
            kind, ease = endpoint.told.kind, 1 if event.outcome is Outcome.FULL else -1
            self._choked[kind] = min(max(self._choked.get(kind, 0) + ease, 0), CHOKED_MAX)
        route.heard = max(route.heard, 0 if event.outcome is Outcome.TIMEOUT else call.sent_at)
        if event.outcome is Outcome.OK:
            route.mean, route.mean_at = smoothed(route.mean, event.took), now
            self._mean = smoothed(self._mean, event.took)
            endpoint.mean, endpoint.fails = smoothed(endpoint.mean, event.took), 0
            dest.crowd, dest.fails = max(0, dest.crowd - 1), 0
            route.was_accepted(now)
            route.fail_share, route.bad_run = route.fail_share * (1 - FAIL_GAIN), 0
            if route.failing:
                route.failing, route.cold_at, route.cold_due = False, now, now
            return
        if event.outcome is not Outcome.FULL:
            endpoint.failed_at, endpoint.fails = now, endpoint.fails + 1
            if event.outcome is Outcome.TIMEOUT and call.sent_at < route.heard:
                # Guards sound endpoints against one that hangs: what was sent later is answered, so this is
                # no outage of the route, however many calls hung. Harm: a hang is seen a little later.
                return
        route.bad_since, route.bad_run = route.bad_since if route.bad_run else now, route.bad_run + 1
        if event.outcome is Outcome.FULL:
            self._full(call, event.wait)
        else:
            self._failed(call, event.outcome)
        shut = now - route.bad_since > SHUT
        if route.failing or route.bad_run >= 3 and (route.fail_share > FAILING or shut) or event.wait > SHUT:
            # Guards against an outage: only spaced trials go to a sick route, and its return is ramped up.
            route.failing, pause = True, min(TRIAL << max(0, min(route.bad_run - 3, 7)), TRIAL_MAX)
            pause = event.wait + max(pause, self._spread(dest)) if event.wait else pause
            route.rest(now + pause, Hold.RETRY_AFTER if event.wait else Hold.TRIAL)
        for message in dest.held.values():
            self._hold(message)  # its rank for room has changed

    def _failed(self, call: Call, outcome: Outcome) -> None:
        """Where calls are rare one failed call has to do: the destination rests."""
        endpoint, route, now = call.endpoint, call.endpoint.route, self._now
        dest = self._dests[endpoint.told.dest]
        route.fail_share += FAIL_GAIN * (1 - route.fail_share)
        route.failed_at = now
        dest.fails += 1
        if not self._rare(dest):
            return
        dest.rest(now + self._rest(dest, dest.crowd + dest.fails))
        if dest.fails > 1:
            # Guards a return: couriers that saw the outage try no more often than those that did not.
            dest.rest(now + self._around(min(dest.gap(now), self._set.rules.ramp_time)))
        if outcome is Outcome.CONNECT_FAILED:
            self._close_all(endpoint.told.kind)

    def _close_all(self, kind: int) -> None:
        """Guards against tables full of idle connections. Harm: handshakes, for nothing after a crash."""
        if self._crowded_until.get(kind, 0) <= self._now:
            ends = self._endpoints.items()
            self._actions += [CloseIdle(n) for n, e in ends if e.told.kind == kind and e.mean and not e.calls]
        self._crowded_until[kind] = self._now + CROWDED

    def _unknown(self, cls: MessageClass) -> float:
        """The mean where a destination has none yet: half the aim, or twice this courier's over all if less.
        Guards the slots against calls that an unknown silent partner would hold most of a message's life."""
        return min(cls.aim / 2, UNKNOWN * (self._mean or cls.aim))

    def _latency(self, dest: Destination, cls: MessageClass, guessed: bool = True) -> float:
        """The mean of served calls, at the best route."""
        unknown = self._unknown(cls) if guessed else 0.0
        return min((e.route.mean or unknown for e in dest.ends.values()), default=unknown)

    def _shortest(self, dest: Destination, message: Message) -> float:
        """The time that a call needs: with less left it is not made. What an earlier life took on is owed
        its call, and a guess is no ground to give it up unseen. Harm: calls that end after their time."""
        return max(1.0, self._latency(dest, message.cls, not message.owed))

    def has_room(self) -> bool:
        """Whether one more may be taken on. Guards what an earlier life owes a call: newcomers are turned
        away before they are what there is to give up."""
        full = len(self._open) >= room_of(self._set.open_cap)
        return not (full and any(message.owed for message in self._open.values()))

    def _rare(self, dest: Destination) -> bool:  # so that the other couriers see most of what happens there
        return self._longest_rest(dest) > TRIAL_MAX

    def _longest_rest(self, dest: Destination) -> float:
        """All couriers together try no more often than a part of what comes, or a few times a second."""
        return max(TRIAL_MAX, min(REST_GAPS * dest.gap(self._now), self._set.couriers * TRIAL))

    def _rest(self, dest: Destination, run: int, first: float = TRIAL) -> int:
        """The pause after so many bad calls in a row, `first` after one."""
        return self._around(min(first * REST_GROWS ** min(max(0, run - 1), 7), self._longest_rest(dest)))

    def _around(self, pause: float) -> int:  # drawn, so that couriers spread
        return int(pause * (0.5 + self._random.random()))

    def _spread(self, dest: Destination) -> int:
        """A pause after a told end of an outage: all couriers' first trials together, each at its usual calls
        times what a cold destination can do, then stay under its capacity; later ones are likelier."""
        rules = self._set.rules
        span = min(rules.ramp_time, dest.gap(self._now) / max(rules.cold_from, 0.01))
        return int(span * max(self._random.random(), self._random.random()))

    def _full(self, call: Call, wait: int) -> None:
        """Guards against an unknown shared limit: rare calls rest, others are paced below what was taken.
        Couriers told the same end of an outage come back spread over the ramp."""
        route, dest, now = call.endpoint.route, self._dests[call.endpoint.told.dest], self._now
        if wait > SHUT:
            dest.rest(now + wait + self._spread(dest), Hold.RETRY_AFTER)
        elif route.share.limit:  # its part holds this courier back; those told the same wait come spread
            route.rest(now + wait + route.share.apart(self._random.random()), Hold.PACE)
        elif self._rare(dest):
            dest.crowd += 1
            first = self._set.first_rest(TRIAL) * 2 ** self._choked.get(call.endpoint.told.kind, 0)
            dest.rest(now + wait + self._rest(dest, dest.crowd, first))
        else:
            if call.sent_at > route.cut_at:
                share = self._told_share(call.endpoint) or 1.0  # untold: a call a second
                took = max(route.accepted_rate(now), share)
                route.pace = max(CUT * min(route.paced(now) or took, took), share / 2)
                route.cut_at = now
            pause = min(int(SECOND / (route.pace or 1.0)) << min(route.bad_run - 1, 3), TRIAL_MAX)
            route.rest(now + (wait or pause), Hold.PACE)

    def _told_share(self, endpoint: Endpoint) -> float:
        return endpoint.told.weight / self._set.couriers if self._set.weights != "none" else 0.0

    def _list(self, event: ListTold) -> None:
        if event.kind is ListKind.FAILED:
            self._ask_at = self._now + self._ask_pause + self._random.randrange(self._ask_pause)
            self._ask_pause = min(ASK_MAX, self._ask_pause * 2)
            return
        self._ask_pause = ASK_AGAIN
        self._ask_at = self._now if event.kind is ListKind.CACHED and self._set.asks_for_list else -1
        if event.kind is not ListKind.DELTA:  # what a whole list does not name is gone
            for name in sorted(self._endpoints.keys() - {entry.endpoint for entry in event.entries}):
                self._remove(name)
        for entry in event.entries:
            self._touched[entry.dest] = None
            if entry.phase is Phase.READY:
                dest, apart = self._dests[entry.dest], self._set.kind(entry).routes_apart
                route = dest.routes.setdefault(entry.endpoint if apart else SHARED, self._new_route())
                route.share.assume_limit(self._now, entry.weight if self._set.weights != "none" else 0.0)
                new, name = Endpoint(entry, route, self._random.random()), entry.endpoint
                dest.ends[name] = self._endpoints.setdefault(name, new)
                dest.ends[name].told = entry
            else:
                self._remove(entry.endpoint)

    def _remove(self, name: int) -> None:
        """Nothing new goes to a drained or gone endpoint; it is forgotten, its calls out are not."""
        if endpoint := self._endpoints.pop(name, None):
            del self._dests[endpoint.told.dest].ends[name]
            self._touched[endpoint.told.dest] = None

    def _peer_said(self, event: PeerSaid) -> None:
        for name, limit in self.limit_updates.receive(self._now, event.data):
            if (dest := self._dests.get(name)) and SHARED in dest.routes:
                dest.routes[SHARED].share.peer_reported(self._now, limit)
                self._touched[name] = None

    def _recalled(self, event: RestoredState) -> None:
        recall(self._dests, event.routes)
        for recent, (good, of) in zip(self._recent, event.on_time, strict=False):
            recent.extend(n * good // of < (n + 1) * good // of for n in range(of))

    def known(self) -> RestoredState:
        """What a later life of this courier had better know."""
        return RestoredState(known(self._dests), tuple((sum(recent), len(recent)) for recent in self._recent))

    def _withdrawn(self, event: Withdrawn) -> None:
        message = self._open.get(event.message)
        if message and not message.over:
            self._actions += [Cancel(message.id, n) for n in message.calls if self._set.may_cancel]
            self._ended(message, False)
            self._forget(message)

    def _ended(self, message: Message, in_aim: bool) -> None:
        message.over = True
        self._dests[message.dest].let_go(message)
        self._recent[message.told.class_index].append(in_aim)

    def _forget(self, message: Message) -> None:
        if message.over and not message.calls:
            self._open.pop(message.id, None)
            if message in (lane := self._lanes.get(message.told.key, [])):
                lane.remove(message)
                if not lane:
                    del self._lanes[message.told.key]

    def _give_up(self, message: Message, advice: int = 0) -> None:
        """The final answer to an undelivered message, at once; where it may come again, say when."""
        advice = advice or self._advice(self._dests[message.dest])
        self._actions.append(Refuse(message.id, advice) if refusable(message) else Fail(message.id))
        self._ended(message, False)
        self._forget(message)

    def _advice(self, dest: Destination) -> int:
        """How long a client had better stay away: until the destination opens, a trial's pause at least;
        up to half as long again is drawn, since those that are given up together would come together."""
        opens = max(dest.rest_until, min((e.route.rest_until for e in dest.ends.values()), default=0))
        wait = max(opens - self._now, TRIAL) * (1 + self._random.random() / 2)
        wait = min(int(wait), self._set.max_retry_after)
        return wait if self._set.retry_after else 0

    def _drop_late(self) -> None:
        """The design's late drop; a keyed message also ends when its key may be forgotten."""
        for dest in [self._dests[name] for name in self._touched]:
            for line in list(dest.lines.values()):
                cls = line[0].cls
                late = before(line, self._now + self._shortest(dest, line[0]) - (cls.deadline - cls.aim))
                lost = [m for m in line[late:] if not repeatable(m, self._now)] if line[0].attempts else []
                for message in line[:late] + lost:
                    self._give_up(message)

    def _make_room(self) -> None:
        """Guards against a full holding room: past open_cap even the worthiest are turned away unseen."""
        while self._least and len(self._open) > room_of(self._set.open_cap):
            message = self._open.get(heappop(self._least)[2])
            if message and message.id in self._dests[message.dest].held:
                self._touched[message.dest] = None
                self._give_up(message, self._set.max_retry_after if self._set.retry_after else 0)
        if len(self._least) > 2 * self._set.open_cap:  # mostly of what is over or ranked anew
            self._least = [at for at in self._least if (m := self._open.get(at[2])) and at[0] == m.room]
            heapify(self._least)

    def _best(self, dest: Destination, shares: Sequence[float]) -> Iterator[Message]:
        """A destination's held messages in the design's release order; ties by what can meet its aim. Guards
        the CPU against long queues: those of one line differ in time alone, so a few cuts put it in order."""

        def rank(m: Message) -> tuple[float, ...]:
            usual, cost = self._latency(dest, m.cls), penalty(shares[m.told.class_index], m.worth)
            early = self._now < m.deadline_at - LATEST_START * usual
            m.rank = (early, not (m.attempts or m.owed), -cost, m.aim_at < self._now + usual)
            return (*m.rank, -m.worth, m.aim_at, m.id)

        def ordered(line: list[Message]) -> list[Message]:
            cls, usual = line[0].cls, self._latency(dest, line[0].cls)
            urgent = before(line, self._now + LATEST_START * usual - (cls.deadline - cls.aim), or_at=True)
            past = before(line, self._now + usual)  # what can no longer meet its aim
            low, high = min(urgent, past), max(urgent, past)
            return line[low:urgent] + line[:low] + line[high:] + line[urgent:high]

        for message in merge(*map(ordered, dest.lines.values()), key=rank):
            rank(message)  # `merge` leaves out what it has nothing to compare with
            if self._in_turn(message):
                yield message

    def _release(self) -> None:
        """Fill the free slots: the highest ranks go first, ties to the destination with fewest calls out."""
        self._ready.update(self._touched)
        if self._slots_taken >= self._set.slots:
            return
        shares = [conformance(recent) for recent in self._recent]
        fronts = {}  # destination -> the first of its line, and the rest
        for name in self._ready:
            if (dest := self._dests.get(name)) and dest.rest_until <= self._now and self._any_open(dest):
                rest = self._best(dest, shares)
                if first := next(rest, None):
                    fronts[name] = (first, rest)
        while self._slots_taken < self._set.slots and fronts:
            name = min(fronts, key=lambda at: (*fronts[at][0].rank, self._dests[at].calls()))
            (message, rest), dest = fronts[name], self._dests[name]
            if endpoint := self._endpoint_for(message, dest):
                call, left = self._start(endpoint), []
                self._send(message, call)
                for rider in islice(rest, self._set.kind(endpoint.told).batch - 1):
                    if self._suits(rider, endpoint):
                        self._send(rider, call)
                    else:
                        left.append(rider)
                rest = chain(left, rest) if left else rest
            if self._any_open(dest) and (first := next(rest, None)):
                fronts[name] = (first, rest)
            else:
                del fronts[name]
        self._ready = dict.fromkeys(fronts)

    def _any_open(self, dest: Destination) -> bool:
        return any(not self._shut(endpoint.route) for endpoint in dest.ends.values())

    def _in_turn(self, message: Message) -> bool:
        lane, key = self._lanes.get(message.told.key), message.told.key
        rested = message.attempts > 0 or self._key_rest.get(key, 0) <= self._now
        return not message.cls.in_order or not lane or lane[0] is message and rested

    def _suits(self, message: Message, endpoint: Endpoint) -> bool:
        """A keyed repeat keeps its zone; an unsafe message, which a failure ends, waits while many fail."""
        if not endpoint.told.speaks >> message.told.protocol & 1:
            return False  # it does not take calls in the message's protocol
        cls, route, ran = message.cls, endpoint.route, message.may_have_run
        if cls.effect is Effect.KEYED and cls.group != "all" and ran:
            return endpoint.told.zone == min(ran.values())[1]
        risk = route.fail_share * 0.5 ** ((self._now - route.failed_at) / FADE)
        return cls.effect is not Effect.UNSAFE or not message.rank[0] or risk <= RISKY

    def _endpoint_for(self, message: Message, dest: Destination) -> Endpoint | None:
        ends = [e for e in dest.ends.values() if not self._shut(e.route) and self._suits(message, e)]
        return min(
            ends,
            default=None,
            key=lambda e: (
                self._distrust(e),
                e is message.last,
                (e.calls + 1) * (e.mean or 0.0),
                e.told.zone != self._set.zone,
                e.order,
            ),
        )

    def _distrust(self, endpoint: Endpoint) -> int:
        """Failures in a row, lately or with a trial still out: of two that fail, the one that fails less."""
        lately = endpoint.failed_at > self._now - 2 * TRIAL_MAX
        return endpoint.fails if lately or endpoint.calls else 0

    def why_held(self, number: int) -> Held | None:
        """Why a message is held, for those who watch; None where it is not held. Asking changes nothing."""
        message, now = self._open.get(number), self._now
        dest = self._dests.get(message.dest) if message else None
        if message is None or dest is None or number not in dest.held:
            return None
        if dest.rest_until > now:
            return Held(dest.rest_why, dest.rest_until)
        shut = [(self._opens(e.route, why), why) for e in dest.ends.values() if (why := self._shut(e.route))]
        if len(shut) == len(dest.ends):
            until, why = min(shut, key=lambda at: at[0] or math.inf, default=(0, Hold.NO_ENDPOINT))
            return Held(why, until)
        if not self._in_turn(message):
            return Held(Hold.ORDER, self._key_rest.get(message.told.key, 0))
        suited = any(self._suits(message, e) and not self._shut(e.route) for e in dest.ends.values())
        return Held(Hold.SLOT if suited else Hold.RISK)

    def _opens(self, route: Route, why: Hold) -> int:
        last = route.calls[-1].sent_at if route.calls else 0
        at = {Hold.RAMP: route.cold_due, Hold.SILENT: last + TRIAL}.get(why, route.due())
        return at if at > self._now else 0

    def _shut(self, route: Route) -> Hold | None:
        """What keeps calls from this route now, of waits, pace, health and ramp; None where they may go."""
        now = self._now
        if route.rest_until > now:
            return route.rest_why
        if route.failing and route.calls:
            return Hold.TRIAL
        if route.share.due() > now:  # others need what is left of the limit
            return Hold.PACE
        # Guards the slots against a silent route: few calls are out there, TRIAL apart; an answer ends that.
        most = max(2, self._set.slots // 3)
        if route.silent(now) and (len(route.calls) >= most or now < route.calls[-1].sent_at + TRIAL):
            return Hold.SILENT
        warm = route.cold_due <= now or now >= route.cold_at + self._set.rules.ramp_time
        return None if warm else Hold.RAMP

    def _start(self, endpoint: Endpoint) -> Call:
        route, dest, now = endpoint.route, self._dests[endpoint.told.dest], self._now
        route.mean = None if now - route.mean_at > IDLE else route.mean
        call = Call(endpoint, now)
        route.calls.append(call)
        endpoint.calls += 1
        self._slots_taken += 1
        route.share.sent(now)
        if paced := route.paced(now):
            gap = int(SECOND / paced)
            route.rest(max(route.rest_until, now - gap) + gap, Hold.PACE)
        rules = self._set.rules
        if 0 <= route.cold_at and now < route.cold_at + rules.ramp_time:
            # Fail-back: this courier's usual calls a second, times what a warming route can do by now.
            warm = rules.cold_from + (1 - rules.cold_from) * (now - route.cold_at) / rules.ramp_time
            usual = SECOND / min(max(dest.gap(now), 1.0), self._longest_rest(dest))
            told = route.share.part * TIP_ROOM  # what it takes when warm is no guess where it tells its limit
            share = (told or self._told_share(endpoint) / 2) * rules.tip_multiple
            route.cold_due = max(route.cold_due, now) + int(SECOND / (warm * max(usual, share)))
        return call

    def _send(self, message: Message, call: Call) -> None:
        endpoint = call.endpoint
        self._dests[message.dest].let_go(message)
        self._touched[message.dest] = None
        keyed_again = message.cls.effect is Effect.KEYED and message.may_have_run
        not_after = message.key_until() if keyed_again else 0  # guards the key's window against slow connects
        message.calls[message.attempts] = call
        message.may_have_run[message.attempts] = (self._now, endpoint.told.zone)
        message.attempts += 1
        message.room = math.inf
        message.last = endpoint
        call.left += 1
        call.again |= message.refused
        timeout = self._timeout(message, endpoint.route)
        attempt = message.attempts - 1
        self._actions.append(Send(message.id, endpoint.told.endpoint, timeout, not_after, attempt))

    def _timeout(self, message: Message, route: Route) -> int:
        """Guards against calls that hang or are lost and hold slots. Unsafe messages end by one, so they get
        longer, as do all after failures: the route may be slow. Harm: a sudden slowdown loses calls."""
        longer = (3 if message.cls.effect is Effect.UNSAFE else 1) * (1 + self._dests[message.dest].fails)
        wait = longer * max(message.cls.aim / 3, PATIENCE * (route.mean or self._unknown(message.cls)))
        return int(min(max(1, message.deadline_at - self._now), wait))

    def _arm(self) -> None:
        """Ask for the list when that is due; ask to be woken when the next decision is."""
        if 0 <= self._ask_at <= self._now:
            self._ask_at = -1
            self._actions.append(Watch(True))
        for name in self._touched:
            dest = self._dests[name]
            wakes_at = self._wake_of(dest) if dest.held else dest.wake_at
            if dest.held and not self._now < dest.wake_at <= wakes_at:
                dest.wake_at = wakes_at  # an earlier one does: guards the CPU against a wake for each touch
                heappush(self._wakes, (wakes_at, name))
            dest.forget(self._now)
            if not dest.held and not dest.routes:
                del self._dests[name]
        self._touched.clear()
        wake = [self._ask_at, *(at for at, _ in self._wakes[:1])]
        at = min((w for w in wake if w > self._now), default=0)
        if at and (self._timer_at <= self._now or at < self._timer_at):
            self._timer_at = at
            self._actions.append(SetTimer(at - self._now, at))

    def _wake_of(self, dest: Destination) -> int:
        wake = [self._now + SECOND, dest.rest_until]
        for line in dest.lines.values():
            late = line[0].deadline_at - int(self._shortest(dest, line[0]))
            wake.append(max(self._now, late) + 1)
            if line[0].attempts or line[0].cls.in_order:
                wake += [at for m in line for at in (self._key_rest.get(m.told.key, 0), m.key_until())]
        for r in dest.routes.values():
            wake += [r.due(), r.cold_due, *(call.sent_at + TRIAL for call in r.calls[-1:])]
        return min(w for w in wake if w > self._now)
