"""One of two hundred relays: it calls a destination once in many seconds, so it must act on a single outcome."""

from __future__ import annotations

import random
from collections import deque

import pytest
from conftest import KEYED, MS, ORDERED, SAFE, UNSAFE, Courier, answers, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND, DecisionEngine


LIMIT_REPORTS = (i.Report("x0"), i.Report("x1"))


def among_many(**changes: object) -> Courier:
    """A relay whose first message for destination 1 comes half a minute after its start."""
    courier = Courier(**({"couriers": 200, "slots": 4, "reports": LIMIT_REPORTS} | changes))
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    courier.wait(30 * SECOND)
    return courier


def attempts_at(courier: Courier, outcome: i.Outcome, span: int) -> int:
    """The number of attempts at one message within `span`, where every call has this outcome."""
    courier.arrive(KEYED)
    for _ in range(span // (100 * MS)):
        courier.wait(100 * MS, *(courier.outcome(message, outcome) for message, _ in list(courier.out)))
    return courier.attempts[1]


@pytest.mark.parametrize("outcome", [i.Outcome.FULL, i.Outcome.CONNECT_FAILED])
def test_a_message_is_tried_only_a_few_times_where_calls_are_rare(outcome: i.Outcome) -> None:
    assert 2 <= attempts_at(among_many(), outcome, 12 * SECOND) <= 4


def backoff_after_refusal(courier: Courier, dest: int) -> int:
    """The time until the second attempt at a message that a destination refused, its first refusal."""
    courier.arrive(KEYED, dest=dest)
    message = courier.next_id - 1
    courier.wait(50 * MS, courier.outcome(message, i.Outcome.FULL))
    start = courier.now
    while courier.attempts[message] < 2 and courier.now < start + 18 * SECOND:
        courier.wait(50 * MS)
    backoff = courier.now - start
    courier.tell(*(courier.outcome(message, i.Outcome.FULL) for message, _ in list(courier.out)))
    return backoff


def test_backoff_grows_where_most_retries_of_a_kind_are_refused() -> None:
    courier = among_many()
    courier.list(*(i.Listed(10 * dest, dest, kind=dest % 2) for dest in range(1, 20)))
    courier.wait(60 * SECOND)
    assert backoff_after_refusal(courier, 1) < 1_500 * MS
    for dest in (3, 5, 7):  # all of one kind
        backoff_after_refusal(courier, dest)
    assert backoff_after_refusal(courier, 9) > 2 * SECOND
    assert backoff_after_refusal(courier, 12) < 1_500 * MS  # of the other kind


def test_separate_routes_do_not_multiply_the_attempts() -> None:
    courier = Courier(couriers=200, kinds=(i.Kind(routes_apart=True),))
    courier.list(i.Listed(11, 1), i.Listed(12, 1), i.Listed(13, 1))
    courier.wait(30 * SECOND)
    assert attempts_at(courier, i.Outcome.FULL, 12 * SECOND) <= 4


@pytest.mark.parametrize("seed", range(5))
def test_a_relay_that_saw_an_outage_tries_no_more_often_than_one_that_did_not(seed: int) -> None:
    courier = among_many(seed=seed)  # a message in half a minute; slow start takes ten seconds
    assert attempts_at(courier, i.Outcome.ERROR, 5 * SECOND) == 2


def test_accepted_calls_shorten_the_backoff() -> None:
    courier = among_many()
    attempts_at(courier, i.Outcome.FULL, 12 * SECOND)
    overload = courier.engine._dests[1].overload
    assert overload >= 2
    courier.wait(200 * SECOND)
    for _ in range(overload):
        courier.serve(1)
        courier.wait(15 * SECOND)  # longer than slow start
    assert courier.engine._dests[1].overload == 0


def recovery_after_long_wait(seed: int, wait: int) -> int:
    """The time from a refusal with retry-after `wait` to the next call."""
    courier = among_many(seed=seed)
    courier.arrive(UNSAFE)
    courier.wait(100 * MS, courier.outcome(1, i.Outcome.FULL, wait=wait))
    start = courier.now
    while not courier.out:
        assert courier.now < start + 20 * SECOND
        courier.wait(20 * MS)
    return courier.now - start


def test_relays_with_the_same_retry_after_recover_spread() -> None:
    times = sorted(recovery_after_long_wait(seed, 4 * SECOND) for seed in range(20))
    assert times[0] >= 4 * SECOND
    assert times[15] - times[4] > 1_500 * MS


def recovery_after_short_wait(seed: int, wait: int) -> int:
    """The time from the end of an outage to the next call of a relay that calls often. Only its last refusals carry a
    retry-after, up to that end, which is `wait` after the last one."""
    courier = Courier(seed=seed, couriers=50)
    courier.list(i.Listed(11, 1))
    courier.serve(20, took=400 * MS)
    end = courier.now + 4 * SECOND
    while courier.now < end:
        courier.wait(20 * MS, *([courier.arrival()] if len(courier.engine._open) < 6 else []))
        left = end + wait - courier.now
        courier.tell(
            *(
                courier.outcome(message, i.Outcome.FULL, left if left < 2 * SECOND else 0)
                for message, _ in list(courier.out)
            )
        )
    start = end + wait
    while not courier.out:
        courier.wait(20 * MS)
        assert courier.now < start + 20 * SECOND
    return courier.now - start


def test_relays_with_a_short_retry_after_at_the_end_of_an_outage_recover_spread() -> None:
    times = sorted(recovery_after_short_wait(seed, SECOND) for seed in range(20))
    assert times[-1] - times[0] > 500 * MS
    assert sum(at < 400 * MS for at in times) <= 8  # together they would overload it


def test_a_failed_connect_closes_idle_connections_of_its_kind() -> None:
    courier = among_many()
    courier.arrive(dest=2)
    courier.now += 50 * MS
    assert not [a for a in courier.settle(1) if isinstance(a, i.CloseIdle)]
    courier.arrive()
    assert i.CloseIdle(21) in courier.settle(2, i.Outcome.CONNECT_FAILED)
    courier.arrive(dest=2)
    assert i.CloseIdle(21) in courier.settle(3)


def test_frequent_calls_keep_their_connections(courier: Courier) -> None:
    courier.serve(20)
    courier.arrive()
    courier.settle(21, i.Outcome.CONNECT_FAILED)
    courier.wait(3 * SECOND)
    assert not [a for a in courier.settle(21) if isinstance(a, i.CloseIdle)]


def test_timeout_at_an_unknown_destination_follows_the_latency_of_others() -> None:
    courier = among_many()
    courier.serve(20, dest=2, took=100 * MS)
    actions = courier.arrive(dest=1)
    assert [a.timeout for a in actions if isinstance(a, i.Send)] == [1_600 * MS]  # not eight times half the aim


def test_a_silent_route_takes_at_most_half_of_four_slots() -> None:
    courier = Courier(slots=4)
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    courier.serve(10)
    courier.arrive(UNSAFE)
    courier.now += 500 * MS
    for _ in range(200):
        courier.wait(20 * MS, *([courier.arrival(UNSAFE)] if len(courier.engine._open) < 20 else []))
    assert list(courier.out.values()).count(11) == 2


def test_an_unsafe_message_does_not_join_a_batch_to_a_failing_destination() -> None:
    courier = Courier(kinds=(i.Kind(batch=4),))
    courier.list(i.Listed(11, 1))
    courier.serve(5)
    courier.arrive()
    courier.now += 20 * MS
    settled, unsafe = courier.outcome(6, i.Outcome.ERROR), courier.arrival(UNSAFE)
    assert sends(courier.tell(settled, unsafe)) == [(6, 11)]


def test_lost_answers_neither_block_a_destination_nor_hold_unsafe_messages_too_long() -> None:
    courier = Courier(slots=8)
    courier.list(i.Listed(11, 1))
    courier.serve(20)
    ended: dict[int, int] = {}
    for n in range(60):
        outcome = i.Outcome.RESET if n % 5 == 0 else i.Outcome.OK
        arrival = courier.arrival(UNSAFE)
        courier.tell(arrival)
        start = courier.now
        while (arrival.message, 0) not in courier.out:
            courier.wait(50 * MS)
            assert courier.now < start + 2_500 * MS  # of an aim of 3 s
        courier.now += 100 * MS
        failed = answers(courier.settle(arrival.message, outcome))
        assert failed == ([i.Fail(arrival.message)] if outcome is i.Outcome.RESET else [])
        ended[arrival.message] = courier.attempts[arrival.message]
        assert not courier.engine._endpoints[11].route.failing
    assert set(ended.values()) == {1}


def test_messages_of_the_failing_destination_are_given_up_first() -> None:
    courier = Courier(couriers=200, open_cap=12, slots=2)
    courier.list(i.Listed(11, 1), i.Listed(21, 2), i.Listed(31, 3))
    courier.arrive(dest=1)
    courier.wait(100 * MS, courier.outcome(1, i.Outcome.CONNECT_FAILED))
    for _ in range(4):
        courier.wait(MS, courier.arrival(dest=1), courier.arrival(dest=2))
    given_up = [answer for _ in range(4) for answer in answers(courier.wait(MS, courier.arrival(dest=3)))]
    dests = [1, *([1, 2] * 4)]
    assert given_up and all(dests[a.message - 1] == 1 for a in given_up if isinstance(a, i.Refuse))


def test_messages_that_can_meet_their_aim_go_first_across_destinations() -> None:
    courier = Courier(slots=1)
    courier.list(i.Listed(11, 1), i.Listed(21, 2), i.Listed(31, 3))
    courier.tell(courier.arrival(UNSAFE, dest=3))
    courier.tell(courier.arrival(SAFE, dest=1, left=5 * SECOND))  # its aim has passed
    courier.tell(courier.arrival(SAFE, dest=2))
    assert sends(courier.settle(1))[0] == (3, 21)


def test_an_event_examines_only_its_own_destination(monkeypatch: pytest.MonkeyPatch) -> None:
    courier = Courier(slots=1, open_cap=1000)
    courier.list(*(i.Listed(10 * dest, dest) for dest in range(1, 301)))
    courier.tell(*(courier.arrival(dest=dest) for dest in range(1, 301)))
    examined: list[object] = []
    next_wake = DecisionEngine._next_wake
    monkeypatch.setattr(DecisionEngine, "_next_wake", lambda self, dest: examined.append(dest) or next_wake(self, dest))
    courier.arrive(dest=7)
    courier.list(i.Listed(71, 7), kind=i.ListKind.DELTA)
    assert len(examined) == 2


def test_no_state_is_kept_of_removed_endpoints_and_finished_messages() -> None:
    courier = Courier()
    for n in range(200):
        name = 100 + n
        courier.list(i.Listed(name, name), kind=i.ListKind.DELTA)
        courier.arrive(ORDERED, dest=name, key=name)
        courier.wait(50 * MS, courier.outcome(n + 1, i.Outcome.RESET if n % 2 else i.Outcome.OK))
        if n % 2:
            courier.tell(i.Withdrawn(n + 1))
            courier.tell(*(courier.outcome(message, i.Outcome.CANCELLED) for message, _ in list(courier.out)))
        courier.list(i.Listed(name, name, i.Phase.GONE), kind=i.ListKind.DELTA)
    courier.wait(10 * SECOND)
    courier.arrive(ORDERED, dest=1, key=1)
    engine = courier.engine
    assert len(engine._open) == len(engine._ordered_queues) == 1
    assert not engine._endpoints
    assert len(engine._dests) <= 2
    assert len(engine._quiet_keys) < 100
    assert len(engine._evictable) <= 200


def test_accepted_calls_are_counted_over_a_short_span_only(courier: Courier) -> None:
    courier.serve(300)
    assert len(courier.engine._endpoints[11].route.accepted) <= 21  # ten a second


def served_share(couriers: int, reports: tuple[i.Report, ...] = ()) -> float:
    """The share of messages delivered by relays that share a destination's limit, where refused calls use up the limit
    like accepted ones, and a burst of twice the limit for 4 s follows a calm beginning."""
    fleet = [Courier(seed=seed, couriers=couriers, reports=reports) for seed in range(couriers)]
    for courier in fleet:
        courier.list(i.Listed(11, 1))
    rng, window, arrived, served = random.Random(1), deque[int](), 0, 0
    limit = couriers // 2  # calls in 2 s
    for step in range(300):
        rate = limit / 2 * (2.0 if 100 <= step < 140 else 0.7) / couriers  # messages a second to each
        for courier in fleet:
            outcomes: list[i.Event] = []
            for message, _ in list(courier.out):
                while window and window[0] < step - 20:
                    window.popleft()
                window.append(step)
                good = len(window) <= limit
                served += good
                outcomes.append(courier.outcome(message, i.Outcome.OK if good else i.Outcome.FULL))
            if rng.random() < rate / 10:
                arrived += 1
                outcomes.append(courier.arrival(KEYED))
            courier.wait(100 * MS, *outcomes)
    return served / arrived


@pytest.mark.parametrize("couriers", [20, 120])
def test_many_relays_do_not_use_up_an_unreported_limit_by_refused_calls(couriers: int) -> None:
    """Compares with relays that expect reported limits, at a destination that reports none."""
    assert served_share(couriers) > served_share(couriers, LIMIT_REPORTS) + 0.05


def test_a_few_relays_have_the_usual_backoff_at_an_unreported_limit() -> None:
    settings = i.Settings(
        classes=among_many().engine._settings.classes, slots=1, open_cap=9, max_attempts=3, couriers=4
    )
    assert settings.first_backoff(500 * MS) == 500 * MS
    assert backoff_after_refusal(among_many(reports=(), couriers=4), 1) < 1_500 * MS
    assert backoff_after_refusal(among_many(reports=()), 1) > 6_000 * MS
