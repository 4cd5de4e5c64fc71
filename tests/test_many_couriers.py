"""A courier among two hundred: it calls a partner once in many seconds, and one sign has to do."""

from __future__ import annotations

import random
from collections import deque

import pytest
from conftest import KEYED, MS, ORDERED, SAFE, UNSAFE, Courier, answers, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND, DecisionEngine


TOLD = (i.Report("x0"), i.Report("x1"))


def among_many(**changes: object) -> Courier:
    """Its first message for partner 1 comes half a minute after its start."""
    courier = Courier(**({"couriers": 200, "slots": 4, "reports": TOLD} | changes))
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    courier.wait(30 * SECOND)
    return courier


def attempts_at(courier: Courier, outcome: i.Outcome, span: int) -> int:
    """How often one message is tried at a partner that answers nothing else."""
    courier.arrive(KEYED)
    for _ in range(span // (100 * MS)):
        courier.wait(100 * MS, *(courier.outcome(message, outcome) for message, _ in list(courier.out)))
    return courier.attempts[1]


@pytest.mark.parametrize("outcome", [i.Outcome.FULL, i.Outcome.CONNECT_FAILED])
def test_a_message_is_tried_a_few_times_only_where_calls_are_rare(outcome: i.Outcome) -> None:
    assert 2 <= attempts_at(among_many(), outcome, 12 * SECOND) <= 4


def second_try_after(courier: Courier, dest: int) -> int:
    """How long a message rests after its first refusal at a partner that has not refused before."""
    courier.arrive(KEYED, dest=dest)
    message = courier.next_id - 1
    courier.wait(50 * MS, courier.outcome(message, i.Outcome.FULL))
    start = courier.now
    while courier.attempts[message] < 2 and courier.now < start + 18 * SECOND:
        courier.wait(50 * MS)
    rested = courier.now - start
    courier.tell(*(courier.outcome(message, i.Outcome.FULL) for message, _ in list(courier.out)))
    return rested


def test_rests_lengthen_where_most_second_tries_of_a_kind_are_refused() -> None:
    courier = among_many()
    courier.list(*(i.Listed(10 * dest, dest, kind=dest % 2) for dest in range(1, 20)))
    courier.wait(60 * SECOND)
    assert second_try_after(courier, 1) < 1_500 * MS
    for dest in (3, 5, 7):  # all of one kind
        second_try_after(courier, dest)
    assert second_try_after(courier, 9) > 2 * SECOND
    assert second_try_after(courier, 12) < 1_500 * MS  # of the other kind


def test_routes_apart_do_not_multiply_the_attempts() -> None:
    courier = Courier(couriers=200, kinds=(i.Kind(routes_apart=True),))
    courier.list(i.Listed(11, 1), i.Listed(12, 1), i.Listed(13, 1))
    courier.wait(30 * SECOND)
    assert attempts_at(courier, i.Outcome.FULL, 12 * SECOND) <= 4


@pytest.mark.parametrize("seed", range(5))
def test_a_courier_that_saw_an_outage_tries_no_more_often_than_one_that_did_not(seed: int) -> None:
    courier = among_many(seed=seed)  # a message in half a minute, of a ramp of ten seconds
    assert attempts_at(courier, i.Outcome.ERROR, 5 * SECOND) == 2


def test_an_accepted_call_shortens_the_rest_again() -> None:
    courier = among_many()
    attempts_at(courier, i.Outcome.FULL, 12 * SECOND)
    before = courier.engine._dests[1].crowd
    assert before >= 2
    courier.wait(200 * SECOND)
    for _ in range(before):
        courier.serve(1)
        courier.wait(15 * SECOND)  # past a ramp
    assert courier.engine._dests[1].crowd == 0


def back_at(seed: int, wait: int) -> int:
    """When a courier comes back after a told wait."""
    courier = among_many(seed=seed)
    courier.arrive(UNSAFE)
    courier.wait(100 * MS, courier.outcome(1, i.Outcome.FULL, wait=wait))
    start = courier.now
    while not courier.out:
        assert courier.now < start + 20 * SECOND
        courier.wait(20 * MS)
    return courier.now - start


def test_couriers_told_the_same_end_of_an_outage_come_back_spread() -> None:
    times = sorted(back_at(seed, 4 * SECOND) for seed in range(20))
    assert times[0] >= 4 * SECOND
    assert times[15] - times[4] > 1_500 * MS


def returns_at(seed: int, wait: int) -> int:
    """When a courier that calls a shut partner often comes back: its last refusals tell `wait`."""
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


def test_couriers_told_the_end_of_an_outage_by_a_short_wait_spread_too() -> None:
    times = sorted(returns_at(seed, SECOND) for seed in range(20))
    assert times[-1] - times[0] > 500 * MS
    assert sum(at < 400 * MS for at in times) <= 8  # together they would push it over


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


def test_a_call_to_an_unknown_partner_is_given_up_by_what_others_take() -> None:
    courier = among_many()
    courier.serve(20, dest=2, took=100 * MS)
    actions = courier.arrive(dest=1)
    assert [a.timeout for a in actions if isinstance(a, i.Send)] == [1_600 * MS]  # not eight half aims


def test_a_silent_route_leaves_half_of_few_slots() -> None:
    courier = Courier(slots=4)
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    courier.serve(10)
    courier.arrive(UNSAFE)
    courier.now += 500 * MS
    for _ in range(200):
        courier.wait(20 * MS, *([courier.arrival(UNSAFE)] if len(courier.engine._open) < 20 else []))
    assert list(courier.out.values()).count(11) == 2


def test_an_unsafe_message_does_not_ride_to_a_failing_partner() -> None:
    courier = Courier(kinds=(i.Kind(batch=4),))
    courier.list(i.Listed(11, 1))
    courier.serve(5)
    courier.arrive()
    courier.now += 20 * MS
    back, unsafe = courier.outcome(6, i.Outcome.ERROR), courier.arrival(UNSAFE)
    assert sends(courier.tell(back, unsafe)) == [(6, 11)]


def test_lost_answers_neither_stop_a_partner_nor_hold_unsafe_messages_until_late() -> None:
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


def test_room_is_made_from_the_failing_partner_and_its_oldest() -> None:
    courier = Courier(couriers=200, open_cap=12, slots=2)
    courier.list(i.Listed(11, 1), i.Listed(21, 2), i.Listed(31, 3))
    courier.arrive(dest=1)
    courier.wait(100 * MS, courier.outcome(1, i.Outcome.CONNECT_FAILED))
    for _ in range(4):
        courier.wait(MS, courier.arrival(dest=1), courier.arrival(dest=2))
    given_up = [answer for _ in range(4) for answer in answers(courier.wait(MS, courier.arrival(dest=3)))]
    dests = [1, *([1, 2] * 4)]
    assert given_up and all(dests[a.message - 1] == 1 for a in given_up if isinstance(a, i.Refuse))


def test_what_can_meet_its_aim_goes_first_across_destinations() -> None:
    courier = Courier(slots=1)
    courier.list(i.Listed(11, 1), i.Listed(21, 2), i.Listed(31, 3))
    courier.tell(courier.arrival(UNSAFE, dest=3))
    courier.tell(courier.arrival(SAFE, dest=1, left=5 * SECOND))  # its aim has passed
    courier.tell(courier.arrival(SAFE, dest=2))
    assert sends(courier.settle(1))[0] == (3, 21)


def test_an_event_touches_its_own_destination_only(monkeypatch: pytest.MonkeyPatch) -> None:
    courier = Courier(slots=1, open_cap=1000)
    courier.list(*(i.Listed(10 * dest, dest) for dest in range(1, 301)))
    courier.tell(*(courier.arrival(dest=dest) for dest in range(1, 301)))
    looked: list[object] = []
    wake_of = DecisionEngine._wake_of
    monkeypatch.setattr(DecisionEngine, "_wake_of", lambda self, dest: looked.append(dest) or wake_of(self, dest))
    courier.arrive(dest=7)
    courier.list(i.Listed(71, 7), kind=i.ListKind.DELTA)
    assert len(looked) == 2


def test_nothing_is_kept_of_what_is_gone() -> None:
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
    assert len(engine._open) == len(engine._lanes) == 1
    assert not engine._endpoints
    assert len(engine._dests) <= 2
    assert len(engine._key_rest) < 100
    assert len(engine._least) <= 200


def test_accepted_calls_are_counted_for_a_short_while_only(courier: Courier) -> None:
    courier.serve(300)
    assert len(courier.engine._endpoints[11].route.accepted) <= 21  # ten a second


def served_share(couriers: int, reports: tuple[i.Report, ...] = ()) -> float:
    """The share of messages that are delivered by couriers that share a partner's limit, where each refused call uses
    it up like an accepted one, and a burst of twice the limit for 4 s comes after a calm beginning."""
    fleet = [Courier(seed=seed, couriers=couriers, reports=reports) for seed in range(couriers)]
    for courier in fleet:
        courier.list(i.Listed(11, 1))
    drawn, window, came, served = random.Random(1), deque[int](), 0, 0
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
            if drawn.random() < rate / 10:
                came += 1
                outcomes.append(courier.arrival(KEYED))
            courier.wait(100 * MS, *outcomes)
    return served / came


@pytest.mark.parametrize("couriers", [20, 120])
def test_where_no_answer_tells_the_limit_many_couriers_do_not_use_it_up_by_refused_calls(couriers: int) -> None:
    """The second is what they do where answers tell limits, and this partner's do not."""
    assert served_share(couriers) > served_share(couriers, TOLD) + 0.05


def test_a_few_couriers_rest_as_ever_where_no_answer_tells_the_limit() -> None:
    settings = i.Settings(classes=among_many().engine._set.classes, slots=1, open_cap=9, max_attempts=3, couriers=4)
    assert settings.first_rest(500 * MS) == 500 * MS
    assert second_try_after(among_many(reports=(), couriers=4), 1) < 1_500 * MS
    assert second_try_after(among_many(reports=()), 1) > 6_000 * MS
