"""The rules on random legal events: hypothesis plays a hostile world, the books check every action."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import CLASSES, KEYED, MS, ORDERED, RULES, SAFE, UNSAFE, Courier, answers, sends
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from calicohitch import interface as i
from calicohitch.decisions import SECOND

BAD = [o for o in i.Outcome if o is not i.Outcome.OK]
STEP = st.tuples(
    st.sampled_from(["arrive", "arrive", "settle", "settle", "settle", "wait", "drain", "back", "withdraw"]),
    st.integers(0, 7),
    st.sampled_from([i.Outcome.OK, i.Outcome.OK, *BAD]),
    st.sampled_from([0, 300 * MS, 1_200 * MS]),
)


STEP_TIME = 50 * MS


class Books(Courier):
    """A courier that checks the rules at every action."""

    def __init__(self, **changes: Any) -> None:
        super().__init__(**changes)
        self.told: dict[int, tuple[i.Arrived, int]] = {}
        self.over: set[int] = set()
        self.risky: dict[int, list[int]] = {}
        self.wait_until: dict[int, int] = {}
        self.drained: set[int] = set()
        self.last_at: dict[int, int] = {}

    def tell(self, *events: i.Event) -> list[i.Action]:
        for event in events:
            if isinstance(event, i.Arrived):
                self.told[event.message] = (event, self.now)
            elif isinstance(event, i.Settled):
                if event.outcome.never_ran:
                    self.risky[event.message].pop()
                if event.wait:
                    dest = event.endpoint // 10
                    self.wait_until[dest] = max(self.wait_until.get(dest, 0), self.now + event.wait)
                if event.ended:
                    self.over.add(event.message)
        actions = super().tell(*events)
        for action in actions:
            if isinstance(action, i.Send):
                self.check_send(action)
            elif isinstance(action, i.Refuse | i.Fail):
                self.check_answer(action)
        calls = {(endpoint, self.sent_at[at]) for at, endpoint in self.out.items()}
        assert len(calls) <= self.engine._set.slots
        return actions

    def check_send(self, action: i.Send) -> None:
        told, taken = self.told[action.message]
        cls = CLASSES[told.class_index]
        risky = self.risky.setdefault(action.message, [])
        assert action.message not in self.over
        assert action.endpoint // 10 == told.dest
        assert action.endpoint not in self.drained
        assert self.now >= self.wait_until.get(told.dest, 0)
        assert self.attempts[action.message] <= 6
        assert sum(message == action.message for message, _ in self.out) == 1
        assert not (cls.effect is i.Effect.UNSAFE and risky)
        assert not (cls.effect is i.Effect.KEYED and risky and self.now > risky[0] + cls.window)
        assert 0 < action.timeout <= taken + told.time_left - self.now
        if cls.in_order and told.key:
            for number, (other, _) in self.told.items():
                if number < told.message and other.key == told.key and CLASSES[other.class_index].in_order:
                    assert number in self.over
                    assert all(message != number for message, _ in self.out)
        risky.append(self.now)

    def check_answer(self, action: i.Action) -> None:
        assert isinstance(action, i.Refuse | i.Fail)
        told, taken = self.told[action.message]
        assert action.message not in self.over
        assert self.now <= taken + told.time_left + STEP_TIME
        self.over.add(action.message)
        if isinstance(action, i.Refuse) and CLASSES[told.class_index].effect is i.Effect.UNSAFE:
            assert not self.risky.get(action.message)

    def pass_time(self, time: int) -> None:
        end = self.now + time
        while self.now < end:
            self.now = min(end, self.now + STEP_TIME)
            self.tell(*self.overdue())

    def overdue(self) -> list[i.Event]:
        """Time-outs that the courier's clock makes due."""
        due = [
            message
            for message, attempt in self.out
            if self.now >= self.told[message][1] + self.told[message][0].time_left
        ]
        return [self.outcome(message, i.Outcome.TIMEOUT) for message in due if message not in self.over]


@settings(max_examples=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(STEP, min_size=20, max_size=120), st.sampled_from([1, 4]))
def test_rules_hold_in_a_hostile_world(steps: list[tuple[str, int, i.Outcome, int]], batch: int) -> None:
    books = Books(kinds=(i.Kind(batch),), slots=4, open_cap=25)
    up = [11, 12, 21, 31]
    books.list(*(i.Listed(e, e // 10) for e in up))
    for what, pick, outcome, wait in steps:
        books.pass_time(7 * MS)
        if what == "arrive" and len(books.told) - len(books.over) < 25:
            books.tell(books.arrival(pick % 4, 1 + pick % 3, key=pick % 2 + 1))
        elif what == "settle" and books.out:
            message = sorted(books.out)[pick % len(books.out)][0]
            books.settle(message, outcome, wait if outcome is i.Outcome.FULL else 0)
        elif what == "wait":
            books.pass_time((pick + 1) * 300 * MS)
        elif what == "drain":
            books.drained.add(up[pick % 4])
            phase = [i.Phase.DRAINING, i.Phase.GONE][pick // 4]
            books.list(i.Listed(up[pick % 4], up[pick % 4] // 10, phase), kind=i.ListKind.DELTA)
        elif what == "back":
            books.drained.discard(up[pick % 4])
            books.list(i.Listed(up[pick % 4], up[pick % 4] // 10), kind=i.ListKind.DELTA)
        elif what == "withdraw" and books.told:
            number = sorted(books.told)[pick % len(books.told)]
            books.over.add(number)
            books.tell(i.Withdrawn(number))
    books.pass_time(21 * SECOND)
    assert set(books.told) == books.over


def test_same_events_same_actions() -> None:
    def run() -> list[i.Action]:
        courier = Courier()
        seen = courier.list(i.Listed(11, 1), i.Listed(12, 1))
        for n in range(30):
            seen += courier.arrive(n % 3)
            for message, _ in sorted(courier.out)[:1]:
                seen += courier.settle(message, BAD[n % 7] if n % 4 else i.Outcome.OK)
            seen += courier.wait(40 * MS)
        return seen

    assert run() == run()


def test_each_rider_of_a_call_tells_its_own_wait() -> None:
    courier = Courier(kinds=(i.Kind(batch=4),))
    courier.list(i.Listed(11, 1))
    courier.tell(courier.arrival(), courier.arrival())
    courier.now += 20 * MS
    courier.tell(courier.outcome(1, i.Outcome.FULL), courier.outcome(2, i.Outcome.FULL, wait=1_500 * MS))
    assert not sends(courier.wait(1_490 * MS))
    assert sends(courier.wait(2 * SECOND))


def test_key_rests_after_an_attempt_that_may_still_run(courier: Courier) -> None:
    courier.tell(courier.arrival(ORDERED, key=5, left=2 * SECOND), courier.arrival(ORDERED, key=5))
    assert list(courier.out) == [(1, 0)]
    courier.now += 1_950 * MS
    actions = courier.settle(1, i.Outcome.RESET)
    assert answers(actions)
    assert not sends(actions)
    assert not sends(courier.wait(RULES.key_quiet - MS))
    assert sends(courier.wait(MS)) == [(2, 11)]


@pytest.mark.parametrize("kind", [i.ListKind.FULL, i.ListKind.CACHED])
def test_what_a_whole_list_leaves_out_is_gone(courier: Courier, kind: i.ListKind) -> None:
    courier.list(i.Listed(21, 2), kind=kind)
    assert not sends(courier.arrive())


def test_list_is_asked_for_at_start_and_after_a_failure() -> None:
    courier = Courier(asks_for_list=True)
    assert i.Watch(True) in courier.list(i.Listed(11, 1), kind=i.ListKind.CACHED)
    assert i.Watch(True) not in courier.list(kind=i.ListKind.FAILED)
    assert i.Watch(True) in courier.wait(2 * SECOND)
    assert sends(courier.arrive()) == [(1, 11)]


def fail_all(courier: Courier, outcome: i.Outcome, count: int = 5) -> None:
    """An outage that this courier sees."""
    courier.serve(10)
    courier.arrive()
    for _ in range(count):
        for message, _ in list(courier.out):
            courier.wait(10 * MS, courier.outcome(message, outcome))


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.ERROR, i.Outcome.RESET])
def test_a_failing_route_gets_spaced_trials_and_a_ramp(courier: Courier, outcome: i.Outcome) -> None:
    fail_all(courier, outcome)
    for _ in range(10):
        assert len([e for e in courier.out.values() if e == 11]) <= 1
        courier.arrive()
    served = 0
    start = courier.now
    while courier.now < start + 4 * SECOND:
        courier.wait(20 * MS, courier.arrival()) if len(courier.engine._open) < 30 else courier.wait(20 * MS)
        for message, _ in list(courier.out):
            served += 1
            courier.settle(message)
    assert 1 <= served <= 24  # of 10 a second at the usual pace, most of a cold start is held back


def test_unsafe_outcomes_end_at_once(courier: Courier) -> None:
    courier.arrive(UNSAFE)
    courier.arrive(KEYED)
    courier.arrive(SAFE)
    courier.now += 100 * MS
    assert answers(courier.settle(1, i.Outcome.ERROR)) == [i.Fail(1)]


def test_holding_room_is_kept_free_and_the_least_worth_goes_first() -> None:
    courier = Courier(open_cap=20, slots=2)
    courier.list(i.Listed(11, 1))
    given_up: list[i.Action] = []
    for _ in range(10):
        given_up += answers(courier.arrive(UNSAFE))
    for _ in range(15):
        given_up += answers(courier.arrive(SAFE))
    assert len(courier.engine._open) <= 18
    assert given_up
    assert all(isinstance(a, i.Refuse) and a.retry_after == 2 * SECOND and a.message > 10 for a in given_up)


def test_unsafe_messages_wait_while_a_route_fails(courier: Courier) -> None:
    fail_all(courier, i.Outcome.ERROR, 3)
    assert not courier.out
    courier.tell(i.Withdrawn(courier.next_id - 1))
    courier.arrive(UNSAFE)
    unsafe = courier.next_id - 1
    assert not sends(courier.wait(3 * SECOND))
    assert (unsafe, 11) in sends(courier.wait(10 * SECOND))


def test_a_lost_call_does_not_silence_a_route_that_answers(courier: Courier) -> None:
    courier.serve(10)
    courier.arrive(UNSAFE)  # lost: no answer comes
    courier.serve(3)
    courier.now += 2 * SECOND
    assert sends(courier.arrive())


def test_a_silent_route_gets_spaced_calls_and_leaves_slots(courier: Courier) -> None:
    courier.serve(10)
    courier.arrive(UNSAFE)
    courier.now += 500 * MS
    sent = [sends(courier.wait(20 * MS, courier.arrival(UNSAFE))) for _ in range(20)]
    assert sum(map(len, sent)) <= 2
    assert sends(courier.arrive(dest=2))


def test_time_outs_do_not_lengthen_the_next_ones(courier: Courier) -> None:
    courier.serve(10)
    for _ in range(4):
        courier.arrive()
        lost = courier.next_id - 1
        courier.now += SECOND
        courier.settle(lost, i.Outcome.TIMEOUT)
        courier.now += 100 * MS
        courier.settle(lost)
    actions = courier.arrive()
    assert [a.timeout for a in actions if isinstance(a, i.Send)] == [800 * MS]


def test_a_refused_route_is_paced_and_recovers(courier: Courier) -> None:
    courier.serve(20)
    courier.arrive()
    refused = courier.next_id - 1
    assert not sends(courier.wait(20 * MS, courier.outcome(refused, i.Outcome.FULL)))
    served = [0, 0]
    for half in range(2):
        for _ in range(100):
            courier.wait(40 * MS, *([courier.arrival()] if len(courier.engine._open) < 20 else []))
            for message, _ in list(courier.out):
                served[half] += 1
                courier.settle(message)
    assert served[0] < 60  # below the 10 a second that it took, for a while
    assert served[1] > served[0]


def ring_until_answered(courier: Courier, message: int, actions: list[i.Action], end: int) -> None:
    """Only its own timers wake the courier; the answer must come by `end` all the same."""
    while message not in [a.message for a in answers(actions) if isinstance(a, i.Refuse | i.Fail)]:
        delay = min((a.delay for a in actions if isinstance(a, i.SetTimer)), default=SECOND)
        actions = courier.wait(delay, i.Rang(courier.now + delay))
        assert courier.now <= end


def test_timers_alone_bring_the_late_drop_in_time() -> None:
    courier = Courier()
    actions = courier.arrive(SAFE, left=CLASSES[SAFE].aim // 2 + 200 * MS)
    end = courier.now + CLASSES[SAFE].aim // 2 + 200 * MS
    ring_until_answered(courier, courier.next_id - 1, actions, end)


def test_a_mean_of_whole_microseconds_does_not_skip_the_late_drop(courier: Courier) -> None:
    courier.serve(5, took=100 * MS)
    courier.tell(i.ListTold(i.ListKind.DELTA, 2, (i.Listed(11, 1, i.Phase.READY),)))
    route = courier.engine._endpoints[11].route
    route.mean, route.rest_until = 100_000.0, courier.now + 60 * SECOND
    actions = courier.arrive(SAFE, left=300 * MS)
    end = courier.now + 300 * MS
    ring_until_answered(courier, courier.next_id - 1, actions, end)


def test_a_mean_forgotten_while_sending_still_drops_in_time(courier: Courier) -> None:
    courier.serve(5, took=100 * MS)
    courier.now += 29 * SECOND
    fresh = [courier.arrival(ORDERED, key=1), courier.arrival(ORDERED, key=1, left=2_400 * MS)]
    courier.tell(*fresh)
    held = fresh[1].message
    end = courier.now + 2_400 * MS
    courier.now += 2_000 * MS  # the mean is idle for over 30 s now; a new call forgets it
    actions = courier.arrive()
    ring_until_answered(courier, held, actions, end)


def test_the_pace_after_a_refusal_allows_for_the_other_couriers() -> None:
    courier = Courier(couriers=12, weights="rough")
    courier.list(i.Listed(11, 1, weight=3.0))
    courier.arrive()
    refused = courier.next_id - 1
    courier.wait(20 * MS, courier.outcome(refused, i.Outcome.FULL))
    for _ in range(100):  # ten seconds of demand, each call taken
        courier.wait(100 * MS, *([courier.arrival()] if len(courier.engine._open) < 20 else []))
        for message, _ in list(courier.out):
            courier.settle(message)
        if courier.now > 1_000 * SECOND + 4 * SECOND:
            break
    assert courier.engine._endpoints[11].route.pace < 1.0  # of 3 a second for twelve couriers


def test_broken_kept_connections_do_not_shut_a_sound_destination_out(courier: Courier) -> None:
    courier.serve()
    for _ in range(5):
        courier.arrive()
    for stale in (True, False):
        for message, _ in list(courier.out):
            told = courier.outcome(message, i.Outcome.RESET)
            courier.tell(replace(told, stale=stale))
        assert (len(courier.out) == 5) is stale  # all are out again, or the destination rests
