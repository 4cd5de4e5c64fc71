"""The decision engine under random legal events from hypothesis, with its invariants checked at every action."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from conftest import CLASSES, KEYED, MS, ORDERED, RULES, SAFE, UNSAFE, Courier, answers, sends
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from calicohitch import interface as i
from calicohitch.decisions import SECOND

FAILURES = [o for o in i.Outcome if o is not i.Outcome.OK]
STEP = st.tuples(
    st.sampled_from(["arrive", "arrive", "settle", "settle", "settle", "wait", "drain", "back", "withdraw"]),
    st.integers(0, 7),
    st.sampled_from([i.Outcome.OK, i.Outcome.OK, *FAILURES]),
    st.sampled_from([0, 300 * MS, 1_200 * MS]),
)


STEP_TIME_US = 50 * MS


class CheckedRelay(Courier):
    """A relay that checks the invariants at every action."""

    def __init__(self, **changes: Any) -> None:
        super().__init__(**changes)
        self.arrivals: dict[int, tuple[i.Arrived, int]] = {}  # message -> event, time
        self.finished: set[int] = set()
        self.may_have_run: dict[int, list[int]] = {}  # message -> times sent
        self.wait_until: dict[int, int] = {}
        self.drained: set[int] = set()
        self.last_at: dict[int, int] = {}

    def tell(self, *events: i.Event) -> list[i.Action]:
        for event in events:
            if isinstance(event, i.Arrived):
                self.arrivals[event.message] = (event, self.now)
            elif isinstance(event, i.Settled):
                if event.outcome.never_ran:
                    self.may_have_run[event.message].pop()
                if event.wait:
                    dest = event.endpoint // 10
                    self.wait_until[dest] = max(self.wait_until.get(dest, 0), self.now + event.wait)
                if event.ended:
                    self.finished.add(event.message)
        actions = super().tell(*events)
        for action in actions:
            if isinstance(action, i.Send):
                self.check_send(action)
            elif isinstance(action, i.Refuse | i.Fail):
                self.check_answer(action)
        calls = {(endpoint, self.sent_at[at]) for at, endpoint in self.out.items()}
        assert len(calls) <= self.engine._settings.slots
        return actions

    def check_send(self, action: i.Send) -> None:
        arrival, arrived_at = self.arrivals[action.message]
        cls = CLASSES[arrival.class_index]
        may_have_run = self.may_have_run.setdefault(action.message, [])
        assert action.message not in self.finished
        assert action.endpoint // 10 == arrival.dest
        assert action.endpoint not in self.drained
        assert self.now >= self.wait_until.get(arrival.dest, 0)
        assert self.attempts[action.message] <= 6
        assert sum(message == action.message for message, _ in self.out) == 1
        assert not (cls.effect is i.Effect.UNSAFE and may_have_run)
        assert not (cls.effect is i.Effect.KEYED and may_have_run and self.now > may_have_run[0] + cls.window)
        assert 0 < action.timeout <= arrived_at + arrival.time_left - self.now
        if cls.in_order and arrival.key:
            for number, (other, _) in self.arrivals.items():
                if number < arrival.message and other.key == arrival.key and CLASSES[other.class_index].in_order:
                    assert number in self.finished
                    assert all(message != number for message, _ in self.out)
        may_have_run.append(self.now)

    def check_answer(self, action: i.Action) -> None:
        assert isinstance(action, i.Refuse | i.Fail)
        arrival, arrived_at = self.arrivals[action.message]
        assert action.message not in self.finished
        assert self.now <= arrived_at + arrival.time_left + STEP_TIME_US
        self.finished.add(action.message)
        if isinstance(action, i.Refuse) and CLASSES[arrival.class_index].effect is i.Effect.UNSAFE:
            assert not self.may_have_run.get(action.message)

    def pass_time(self, time: int) -> None:
        end = self.now + time
        while self.now < end:
            self.now = min(end, self.now + STEP_TIME_US)
            self.tell(*self.overdue())

    def overdue(self) -> list[i.Event]:
        """Timeouts of the messages whose time is over."""
        due = [
            message
            for message, attempt in self.out
            if self.now >= self.arrivals[message][1] + self.arrivals[message][0].time_left
        ]
        return [self.outcome(message, i.Outcome.TIMEOUT) for message in due if message not in self.finished]


@settings(max_examples=40, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(STEP, min_size=20, max_size=120), st.sampled_from([1, 4]))
def test_invariants_hold_under_random_events(steps: list[tuple[str, int, i.Outcome, int]], batch: int) -> None:
    relay = CheckedRelay(kinds=(i.Kind(batch),), slots=4, open_cap=25)
    up = [11, 12, 21, 31]
    relay.list(*(i.Listed(e, e // 10) for e in up))
    for step, pick, outcome, wait in steps:
        relay.pass_time(7 * MS)
        if step == "arrive" and len(relay.arrivals) - len(relay.finished) < 25:
            relay.tell(relay.arrival(pick % 4, 1 + pick % 3, key=pick % 2 + 1))
        elif step == "settle" and relay.out:
            message = sorted(relay.out)[pick % len(relay.out)][0]
            relay.settle(message, outcome, wait if outcome is i.Outcome.FULL else 0)
        elif step == "wait":
            relay.pass_time((pick + 1) * 300 * MS)
        elif step == "drain":
            relay.drained.add(up[pick % 4])
            phase = [i.Phase.DRAINING, i.Phase.GONE][pick // 4]
            relay.list(i.Listed(up[pick % 4], up[pick % 4] // 10, phase), kind=i.ListKind.DELTA)
        elif step == "back":
            relay.drained.discard(up[pick % 4])
            relay.list(i.Listed(up[pick % 4], up[pick % 4] // 10), kind=i.ListKind.DELTA)
        elif step == "withdraw" and relay.arrivals:
            number = sorted(relay.arrivals)[pick % len(relay.arrivals)]
            relay.finished.add(number)
            relay.tell(i.Withdrawn(number))
    relay.pass_time(21 * SECOND)
    assert set(relay.arrivals) == relay.finished


def test_same_events_same_actions() -> None:
    def run() -> list[i.Action]:
        courier = Courier()
        actions = courier.list(i.Listed(11, 1), i.Listed(12, 1))
        for n in range(30):
            actions += courier.arrive(n % 3)
            for message, _ in sorted(courier.out)[:1]:
                actions += courier.settle(message, FAILURES[n % 7] if n % 4 else i.Outcome.OK)
            actions += courier.wait(40 * MS)
        return actions

    assert run() == run()


def test_each_message_of_a_batch_has_its_own_retry_after() -> None:
    courier = Courier(kinds=(i.Kind(batch=4),))
    courier.list(i.Listed(11, 1))
    courier.tell(courier.arrival(), courier.arrival())
    courier.now += 20 * MS
    courier.tell(courier.outcome(1, i.Outcome.FULL), courier.outcome(2, i.Outcome.FULL, wait=1_500 * MS))
    assert not sends(courier.wait(1_490 * MS))
    assert sends(courier.wait(2 * SECOND))


def test_key_is_held_after_an_attempt_that_may_still_run(courier: Courier) -> None:
    courier.tell(courier.arrival(ORDERED, key=5, left=2 * SECOND), courier.arrival(ORDERED, key=5))
    assert list(courier.out) == [(1, 0)]
    courier.now += 1_950 * MS
    actions = courier.settle(1, i.Outcome.RESET)
    assert answers(actions)
    assert not sends(actions)
    assert not sends(courier.wait(RULES.key_quiet - MS))
    assert sends(courier.wait(MS)) == [(2, 11)]


@pytest.mark.parametrize("kind", [i.ListKind.FULL, i.ListKind.CACHED])
def test_endpoint_missing_from_a_full_list_is_removed(courier: Courier, kind: i.ListKind) -> None:
    courier.list(i.Listed(21, 2), kind=kind)
    assert not sends(courier.arrive())


def test_discovery_is_subscribed_to_at_start_and_after_a_failure() -> None:
    courier = Courier(asks_for_list=True)
    assert i.Watch(True) in courier.list(i.Listed(11, 1), kind=i.ListKind.CACHED)
    assert i.Watch(True) not in courier.list(kind=i.ListKind.FAILED)
    assert i.Watch(True) in courier.wait(2 * SECOND)
    assert sends(courier.arrive()) == [(1, 11)]


def fail_all(courier: Courier, outcome: i.Outcome, count: int = 5) -> None:
    """Lets calls fail until the route counts as failing."""
    courier.serve(10)
    courier.arrive()
    for _ in range(count):
        for message, _ in list(courier.out):
            courier.wait(10 * MS, courier.outcome(message, outcome))


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.ERROR, i.Outcome.RESET])
def test_a_failing_route_gets_spaced_trials_and_slow_start(courier: Courier, outcome: i.Outcome) -> None:
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
    assert 1 <= served <= 24  # at the usual rate it would be 40; slow start holds most of them back


def test_unsafe_message_fails_at_once(courier: Courier) -> None:
    courier.arrive(UNSAFE)
    courier.arrive(KEYED)
    courier.arrive(SAFE)
    courier.now += 100 * MS
    assert answers(courier.settle(1, i.Outcome.ERROR)) == [i.Fail(1)]


def test_least_valuable_messages_are_given_up_below_the_cap() -> None:
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


def test_unsafe_messages_are_held_while_a_route_fails(courier: Courier) -> None:
    fail_all(courier, i.Outcome.ERROR, 3)
    assert not courier.out
    courier.tell(i.Withdrawn(courier.next_id - 1))
    courier.arrive(UNSAFE)
    unsafe = courier.next_id - 1
    assert not sends(courier.wait(3 * SECOND))
    assert (unsafe, 11) in sends(courier.wait(10 * SECOND))


def test_a_lost_call_does_not_block_a_route_that_answers(courier: Courier) -> None:
    courier.serve(10)
    courier.arrive(UNSAFE)  # lost: no answer comes
    courier.serve(3)
    courier.now += 2 * SECOND
    assert sends(courier.arrive())


def test_a_silent_route_gets_spaced_calls_and_leaves_slots_free(courier: Courier) -> None:
    courier.serve(10)
    courier.arrive(UNSAFE)
    courier.now += 500 * MS
    sent = [sends(courier.wait(20 * MS, courier.arrival(UNSAFE))) for _ in range(20)]
    assert sum(map(len, sent)) <= 2
    assert sends(courier.arrive(dest=2))


def test_timeouts_do_not_lengthen_later_timeouts(courier: Courier) -> None:
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
    assert served[0] < 60  # paced below the 10 a second that were accepted before
    assert served[1] > served[0]


def run_timers_until_answered(courier: Courier, message: int, actions: list[i.Action], end: int) -> None:
    """Wakes the engine by its own timers only; the message must be answered by `end`."""
    while message not in [a.message for a in answers(actions) if isinstance(a, i.Refuse | i.Fail)]:
        delay = min((a.delay for a in actions if isinstance(a, i.SetTimer)), default=SECOND)
        actions = courier.wait(delay, i.Rang(courier.now + delay))
        assert courier.now <= end


def test_late_drop_is_in_time_by_timers_alone() -> None:
    courier = Courier()
    actions = courier.arrive(SAFE, left=CLASSES[SAFE].aim // 2 + 200 * MS)
    end = courier.now + CLASSES[SAFE].aim // 2 + 200 * MS
    run_timers_until_answered(courier, courier.next_id - 1, actions, end)


def test_late_drop_is_in_time_with_a_mean_of_whole_microseconds(courier: Courier) -> None:
    courier.serve(5, took=100 * MS)
    courier.tell(i.ListTold(i.ListKind.DELTA, 2, (i.Listed(11, 1, i.Phase.READY),)))
    route = courier.engine._endpoints[11].route
    route.mean, route.backoff_until = 100_000.0, courier.now + 60 * SECOND
    actions = courier.arrive(SAFE, left=300 * MS)
    end = courier.now + 300 * MS
    run_timers_until_answered(courier, courier.next_id - 1, actions, end)


def test_late_drop_is_in_time_when_the_mean_expires_while_sending(courier: Courier) -> None:
    courier.serve(5, took=100 * MS)
    courier.now += 29 * SECOND
    arrivals = [courier.arrival(ORDERED, key=1), courier.arrival(ORDERED, key=1, left=2_400 * MS)]
    courier.tell(*arrivals)
    held = arrivals[1].message
    end = courier.now + 2_400 * MS
    courier.now += 2_000 * MS  # no call for over 30 s: the next call drops the mean
    actions = courier.arrive()
    run_timers_until_answered(courier, held, actions, end)


def test_the_pace_after_a_refusal_allows_for_the_other_relays() -> None:
    courier = Courier(couriers=12, weights="rough")
    courier.list(i.Listed(11, 1, weight=3.0))
    courier.arrive()
    refused = courier.next_id - 1
    courier.wait(20 * MS, courier.outcome(refused, i.Outcome.FULL))
    for _ in range(100):  # ten seconds of messages; each call is accepted
        courier.wait(100 * MS, *([courier.arrival()] if len(courier.engine._open) < 20 else []))
        for message, _ in list(courier.out):
            courier.settle(message)
        if courier.now > 1_000 * SECOND + 4 * SECOND:
            break
    assert courier.engine._endpoints[11].route.pace < 1.0  # of 3 a second for twelve relays


def test_broken_idle_connections_do_not_block_a_sound_destination(courier: Courier) -> None:
    courier.serve()
    for _ in range(5):
        courier.arrive()
    for stale in (True, False):
        for message, _ in list(courier.out):
            settled = courier.outcome(message, i.Outcome.RESET)
            courier.tell(replace(settled, stale=stale))
        assert (len(courier.out) == 5) is stale  # all are retried, or the destination backs off
