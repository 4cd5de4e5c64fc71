"""A whole fleet of decision engines on simulated time, before one destination that goes out and comes back cold.

Each relay has an engine, the messages that its journal holds, and the state that it stored, which outlast its kill.
What is sent, answered and stored follows `net/relay.py`; nothing is shared between the relays but the clock, the
destinations and the clients. The same scenario gives the same run. Times are seconds here and microseconds inside.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from slow_start.call_budget import CallBudget

from calicohitch import interface as i
from calicohitch.clock import to_micros
from calicohitch.decisions import SECOND, DecisionEngine
from calicohitch.recovery import cached_state, state_conversion
from calicohitch.recovery.clocks import Moment

TARGET, STEADY = 4, 1  # the destination that goes out, and one that serves all the time
ENDPOINTS = {TARGET: (41, 42), STEADY: (11, 12)}
NEW_ENDPOINT = 43
EPOCH_S = 1_000_000.0  # of the simulated wall clock
STARTED_AT = -1.3
WAY_S = (0.02, 0.05)  # to an endpoint or back
WORK_S = 0.15
SAVE_INTERVAL_S = 1.0
CLASSES = ("orders", "scores", "entries")
REPORTS = (i.Report("x0"), i.Report("x1"))

CONNECT_FAILED, ERROR, RESET, HANG, FULL = (
    i.Outcome.CONNECT_FAILED,
    i.Outcome.ERROR,
    i.Outcome.RESET,
    i.Outcome.TIMEOUT,
    i.Outcome.FULL,
)


@dataclass(frozen=True)
class Scenario:
    """What happens to a fleet of `relays`.

    `outcome`: how calls end in the outage. `served_share`: the share of them that is served all the same.
    `tells_wait`: refusals say when the destination is back. `per_s`: messages a second for it, from all relays.
    `steady_per_s`: messages a second for the other destination at each relay. `kills`: when relays are killed.
    `killed_share`: of the relays. `away_s`: from the kill to the next start. `reports`: answers tell the limit.
    `weights`: the list tells a rough capacity. `uneven`: a few relays get several times the mean.
    `headroom`: the limit beside the traffic. `spare`: the capacity beside the limit.
    `list_changes`: an endpoint joins and one drains around the kill. `folders_lost`: nothing outlasts the kill.
    `paused_s`: the processes are not killed but stand still for so long."""

    relays: int
    seed: int = 1
    outcome: i.Outcome = ERROR
    served_share: float = 0.0
    tells_wait: bool = False
    per_s: float = 4.0
    steady_per_s: float = 1.5
    outage: tuple[float, float] = (2.0, 10.0)
    kills: tuple[float, ...] = (6.483,)
    killed_share: float = 1.0
    away_s: float = 0.63
    reports: bool = True
    weights: str = "rough"
    uneven: bool = False
    list_changes: bool = False
    folders_lost: bool = False
    paused_s: float = 0.0
    headroom: float = 1.5
    spare: float = 1.3
    ends_at: float = 21.0
    rules: i.Rules = i.Rules(50_000, 250_000, 10 * SECOND, 0.3, 9 * SECOND, 1.5, 2 * SECOND)


def settings(scenario: Scenario, number: int) -> i.Settings:
    return i.Settings(
        classes=(
            i.MessageClass(i.Effect.KEYED, 2_500_000, 24 * SECOND, 1.0, 0.3, window=6 * SECOND),
            i.MessageClass(i.Effect.SAFE, SECOND, 5 * SECOND, 2.0, 0.1, window=5 * SECOND),
            i.MessageClass(i.Effect.UNSAFE, 2_500_000, 24 * SECOND, 1.0, 0.3),
        ),
        slots=4,
        open_cap=48,
        max_attempts=8,
        couriers=scenario.relays,
        number=number,
        tick=5_000,
        weights=scenario.weights,
        reports=REPORTS if scenario.reports else (),
        reports_in_answers=scenario.reports,
        idle_time=10 * SECOND,
        max_retry_after=3 * SECOND,
        connect_timeout=1_500_000,
        rules=scenario.rules,
    )


@dataclass
class Stored:
    """A message in a relay's journal."""

    class_index: int
    dest: int
    deadline: int
    earlier: list[i.EarlierAttempt] = field(default_factory=list)


class Place:
    """A destination: its limit, its outage, and the calls that reach it."""

    def __init__(self, fleet: Fleet, number: int, per_s: float) -> None:
        scenario = fleet.scenario
        self.fleet, self.number = fleet, number
        self.limit = max(1.0, per_s * scenario.headroom)
        self.capacity = self.limit * scenario.spare
        rules = scenario.rules
        self.outage = scenario.outage if number == TARGET else None
        self.budget = CallBudget(
            self.capacity,
            scenario.outage[1] if number == TARGET else float("inf"),
            rules.cold_from,
            rules.ramp_time / SECOND,
            rules.tip_multiple,
            rules.fall / SECOND,
        )
        self.arrived: list[tuple[float, int]] = []  # when, from which relay
        self.told: set[int] = set()  # relays that were told of the outage
        self.served = 0
        self._tokens, self._tokens_at = self.limit, STARTED_AT

    def weight(self) -> float:
        return self.capacity * self.fleet.random.uniform(0.67, 1.5)

    def call(self, at: float, relay: int) -> tuple[i.Outcome, float, float]:
        """One call arrives: its outcome, after how many seconds, and the wait that it tells."""
        self.arrived.append((at, relay))
        self.budget.record(at, relay in self.told)
        scenario, drawn = self.fleet.scenario, self.fleet.random.random()
        work = WORK_S * self.fleet.random.uniform(0.5, 1.5)
        if self.outage and self.outage[0] <= at < self.outage[1] and drawn >= scenario.served_share:
            if scenario.outcome is HANG:
                return HANG, float("inf"), 0.0
            wait = self.outage[1] - at if scenario.tells_wait else 0.0
            return scenario.outcome, 0.0 if scenario.outcome in (CONNECT_FAILED, FULL) else work, wait
        rate = min(self.limit, self.capacity * self.budget.warm(at)) if at >= self.budget.back_at else self.limit
        self._tokens = min(rate, self._tokens + (at - self._tokens_at) * rate)
        self._tokens_at = at
        if self._tokens < 1:
            return FULL, 0.0, 0.0
        self._tokens -= 1
        self.served += 1
        return i.Outcome.OK, work, 0.0

    def report(self) -> tuple[float, ...]:
        return (self._tokens / self.limit, self.limit) if self.fleet.scenario.reports else ()


class Relay:
    """One relay: what is in its process, and what outlasts it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.incarnation = 0
        self.up, self.paused = False, False
        self.held_events: list[i.Event] = []  # while the process stands still
        self.journal: dict[int, Stored] = {}
        self.stored: bytes | None = None
        self.saved_at = -1e9
        self.changed = False
        self.engine = DecisionEngine(settings(fleet.scenario, number), seed=number)

    def start(self) -> None:
        fleet = self.fleet
        self.incarnation += 1
        self.up = True
        self.engine = DecisionEngine(settings(fleet.scenario, self.number), seed=self.number)
        self.feed(i.ListTold(i.ListKind.FULL, 1, fleet.listed()))
        if self.stored:
            now = Moment(fleet.wall_ms(), fleet.wall_ms(), "boot")
            validated = cached_state.validate(cached_state.decode(self.stored), now, CLASSES)
            self.feed(state_conversion.restored_state(validated, lambda name: int(name), CLASSES))
        restored = [
            i.Arrived(
                message,
                stored.class_index,
                stored.dest,
                max(0, stored.deadline - fleet.now),
                earlier=tuple(stored.earlier),
                restored=True,
            )
            for message, stored in self.journal.items()
        ]
        self.feed(*restored)
        self.check_save(self.incarnation)

    def kill(self) -> None:
        self.up = False
        if self.fleet.scenario.folders_lost:
            self.journal, self.stored = {}, None

    def pause(self) -> None:
        self.paused = True

    def go_on(self) -> None:
        self.paused = False
        events, self.held_events = self.held_events, []
        self.feed(i.Resumed(), *events)

    def check_save(self, incarnation: int) -> None:
        """Store the state each second while work is open or something changed, as the relay's own loop does."""
        if not self.up or incarnation != self.incarnation:
            return
        if (self.journal or self.changed) and self.fleet.time - self.saved_at >= SAVE_INTERVAL_S and not self.paused:
            self.save()
        self.fleet.at(self.fleet.time + 0.25, lambda: self.check_save(incarnation))

    def save(self) -> None:
        known, wall_ms = self.engine.known(), self.fleet.wall_ms()
        on_time = dict(zip(CLASSES, known.on_time, strict=True))
        moment = Moment(wall_ms, wall_ms, "boot")
        self.stored = cached_state.encode(
            cached_state.CachedState(
                moment,
                self.incarnation,
                "d",
                1,
                routes=state_conversion.known_routes(known, str),
                on_time=on_time,
                pacing=state_conversion.known_pacing(known, str),
                destinations=state_conversion.known_destinations(known),
                overload_doublings=known.overload_doublings,
            )
        )
        self.saved_at, self.changed = self.fleet.time, False

    def take(self, class_index: int, dest: int, time_left: int, tries: int) -> None:
        """A client hands a message in."""
        message = next(self.fleet.numbers)
        self.journal[message] = Stored(class_index, dest, self.fleet.now + time_left)
        self.fleet.tries[message] = tries
        self.feed(i.Arrived(message, class_index, dest, time_left))

    def feed(self, *events: i.Event) -> None:
        if self.paused:
            self.held_events += events
            return
        for action in self.engine.handle(self.fleet.now, events):
            match action:
                case i.Send():
                    self._send(action)
                case i.Refuse(message, retry_after):
                    self._end(message, retry_after)
                case i.Fail(message):
                    self._end(message, None)
                case i.SetTimer(delay, token):
                    self._later(delay / SECOND, i.Rang(token))

    def _later(self, delay_s: float, *events: i.Event) -> None:
        incarnation = self.incarnation

        def happen() -> None:
            if self.up and incarnation == self.incarnation:
                self.feed(*events)

        self.fleet.at(self.fleet.time + delay_s, happen)

    def _end(self, message: int, retry_after: int | None) -> None:
        stored = self.journal.pop(message, None)
        if stored and retry_after is not None:
            self.fleet.client_retries(message, stored, retry_after / SECOND)

    def _send(self, action: i.Send) -> None:
        fleet, stored = self.fleet, self.journal[action.message]
        stored.earlier.append(i.EarlierAttempt(fleet.now, 0, True))
        sent_at, incarnation = fleet.time, self.incarnation
        timeout_s = action.timeout / SECOND
        way = fleet.random.uniform(*WAY_S)

        def settle(outcome: i.Outcome, wait: float, report: tuple[float, ...]) -> None:
            if not self.up or incarnation != self.incarnation or action.message not in self.journal:
                return
            if outcome is not i.Outcome.OK and fleet.in_outage(stored.dest, fleet.time):
                fleet.places[stored.dest].told.add(self.number)
            if outcome.never_ran:
                stored.earlier[action.attempt] = replace(stored.earlier[action.attempt], may_have_run=False)
            if outcome is i.Outcome.OK:
                self.journal.pop(action.message, None)
            self.feed(
                i.Settled(
                    action.message,
                    action.attempt,
                    action.endpoint,
                    outcome,
                    int((fleet.time - sent_at) * SECOND),
                    outcome is i.Outcome.OK,
                    int(wait * SECOND),
                    report=report,
                )
            )

        def arrive() -> None:
            place = fleet.places[stored.dest]
            outcome, after, wait = place.call(fleet.time, self.number)
            ends_at = fleet.time + after + way
            late = sent_at + timeout_s
            if ends_at >= late:
                fleet.at(late, lambda: settle(HANG, 0.0, ()))
            else:
                report = () if outcome in (CONNECT_FAILED, RESET) else place.report()
                fleet.at(ends_at, lambda: settle(outcome, max(0.0, wait - way), report))

        fleet.at(fleet.time + way, arrive)


class Fleet:
    """Plays one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(f"fleet{scenario.seed}")
        self.time = STARTED_AT
        self.numbers = itertools.count(1)
        self.tries: dict[int, int] = {}  # by message, how often its client handed it in before
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.places = {
            TARGET: Place(self, TARGET, scenario.per_s),
            STEADY: Place(self, STEADY, scenario.steady_per_s * scenario.relays * 2),
        }
        self._weights = {number: place.weight() for number, place in self.places.items()}
        self._endpoints = {number: list(names) for number, names in ENDPOINTS.items()}
        self.relays = [Relay(self, number) for number in range(scenario.relays)]
        self._traffic = [self.random.expovariate(1.0) if scenario.uneven else 1.0 for _ in self.relays]

    @property
    def now(self) -> int:
        return to_micros(self.wall_ms())

    def wall_ms(self) -> float:
        return (EPOCH_S + self.time) * 1e3

    def at(self, time: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._due, (max(time, self.time), next(self._order), happen))

    def in_outage(self, dest: int, at: float) -> bool:
        outage = self.places[dest].outage
        return outage is not None and outage[0] <= at < outage[1]

    def listed(self) -> tuple[i.Listed, ...]:
        return tuple(
            i.Listed(endpoint, dest, weight=self._weights[dest])
            for dest, endpoints in self._endpoints.items()
            for endpoint in endpoints
        )

    def run(self) -> CallBudget:
        """Play to the end; the budget of the destination that went out."""
        scenario = self.scenario
        for relay in self.relays:
            self.at(STARTED_AT, relay.start)
        self._next_message(TARGET, scenario.per_s)
        self._next_message(STEADY, scenario.steady_per_s * scenario.relays)
        for kill_at in scenario.kills:
            self.at(kill_at, self._interrupt)
        if scenario.list_changes:
            first = scenario.kills[0] if scenario.kills else sum(scenario.outage) / 2
            self.at(first - 0.5, lambda: self._change_list([*ENDPOINTS[TARGET], NEW_ENDPOINT]))
            self.at(first + 0.4, lambda: self._change_list([ENDPOINTS[TARGET][1], NEW_ENDPOINT]))
            self.at(first + 1.4, lambda: self._change_list([]))
            self.at(first + 2.4, lambda: self._change_list([NEW_ENDPOINT + 1]))
        while self._due and self._due[0][0] <= scenario.ends_at:
            self.time, _, happen = heapq.heappop(self._due)
            happen()
        return self.places[TARGET].budget

    def _interrupt(self) -> None:
        scenario = self.scenario
        struck = self.random.sample(self.relays, round(scenario.killed_share * len(self.relays)))
        for relay in struck:
            if scenario.paused_s:
                relay.pause()
                self.at(self.time + scenario.paused_s, relay.go_on)
            else:
                relay.kill()
                self.at(self.time + scenario.away_s * self.random.uniform(0.95, 1.05), relay.start)

    def _change_list(self, endpoints: list[int]) -> None:
        self._endpoints[TARGET] = endpoints
        for relay in self.relays:
            if relay.up:
                relay.feed(i.ListTold(i.ListKind.FULL, 2, self.listed()))

    def _next_message(self, dest: int, per_s: float) -> None:
        if per_s:
            self.at(self.time + self.random.expovariate(per_s), lambda: self._message(dest, per_s))

    def _message(self, dest: int, per_s: float) -> None:
        class_index = self.random.choices((0, 1, 2), (0.7, 0.2, 0.1))[0]
        self._hand_in(class_index, dest, None, 0)
        self._next_message(dest, per_s)

    def _hand_in(self, class_index: int, dest: int, deadline: int | None, tries: int) -> None:
        """To a relay drawn by its traffic; who finds none that is up comes again soon."""
        deadline_at = deadline or self.now + (5 if class_index == 1 else 24) * SECOND
        (relay,) = self.random.choices(self.relays, self._traffic)
        if deadline_at <= self.now:
            return
        if relay.up and not relay.paused:
            relay.take(class_index, dest, deadline_at - self.now, tries)
        else:
            again = self.time + self.random.uniform(0.3, 1.0)
            self.at(again, lambda: self._hand_in(class_index, dest, deadline_at, tries))

    def client_retries(self, message: int, stored: Stored, after_s: float) -> None:
        """A client comes again after a refusal, twice at most, with the same deadline."""
        tries = self.tries.get(message, 0)
        if tries < 2 and stored.deadline > self.now and self.random.random() < 0.7:
            again = self.time + max(after_s, self.random.uniform(0.4, 1.5))
            self.at(again, lambda: self._hand_in(stored.class_index, stored.dest, stored.deadline, tries + 1))


def play(scenario: Scenario) -> CallBudget:
    return Fleet(scenario).run()
