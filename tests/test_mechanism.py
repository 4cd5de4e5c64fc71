"""The ranking mechanism: penalty curves, conformance, release order, late drop, effect classes."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import CLASSES, KEYED, MS, SAFE, UNSAFE, Courier, answers, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND, conformance, penalty


@pytest.mark.parametrize(
    ("c", "expected"),
    [
        (1.0, 0.0),  # at the upper bound of the top level: no cost, no gain
        (0.99, 0.02),  # ((1 - .99) / .1)^2 * 2
        (0.95, 0.5),  # ((1 - .95) / .1)^2 * 2
        (0.9, 2.0),  # the lower bound of the first level: the full step
        (0.89, 1.62),  # gain ((.89 - .8) / .1)^2 * 2 over cost ((.9 - .89) / .1)^2 * 2
        (0.85, 0.5),  # half way: both curves give a quarter of the step
        (0.81, 1.62),  # cost ((.9 - .81) / .1)^2 * 2
        (0.8, 2.0),
        (0.79, 2 * (0.79 / 0.8) ** 2),  # gain only
        (0.4, 0.5),  # (.4 / .8)^2 * 2
        (0.0, 0.0),
    ],
)
def test_penalty_is_the_larger_of_both_curves(c: float, expected: float) -> None:
    assert penalty(c, 2.0, (1.0, 0.9, 0.8, 0.0)) == pytest.approx(expected, abs=1e-9)


def test_conformance_starts_at_one_and_counts_results() -> None:
    assert conformance(()) == 1.0
    assert conformance((True, True, False, True)) == 0.75


def test_free_slot_sends_at_once(courier: Courier) -> None:
    assert sends(courier.arrive(UNSAFE)) == [(1, 11)]


def fill(courier: Courier) -> None:
    """Takes all slots by calls to destination 2."""
    for _ in range(courier.engine._settings.slots):
        courier.arrive(dest=2)


def test_slots_are_never_exceeded(courier: Courier) -> None:
    fill(courier)
    assert not sends(courier.arrive())


def test_freed_slot_goes_to_the_highest_penalty(courier: Courier) -> None:
    for before_aim in (True,) * 17 + (False,) * 3:
        courier.engine._recent[UNSAFE].append(before_aim)  # c = .85
    fill(courier)
    courier.arrive(SAFE)
    courier.arrive(UNSAFE)
    assert sends(courier.settle(1)) == [(10, 11)]


def test_tie_goes_to_the_destination_with_the_fewest_calls_in_flight(courier: Courier) -> None:
    fill(courier)
    courier.arrive(dest=2)
    courier.arrive(dest=1)
    assert sends(courier.settle(1))[0] == (10, 11)


def test_tried_message_goes_before_a_new_one(courier: Courier) -> None:
    courier.serve(3)
    fill(courier)
    first = courier.next_id - 1
    courier.arrive(UNSAFE, dest=1)
    courier.now += 20 * MS
    settled = courier.outcome(first, i.Outcome.RESET)
    assert sends(courier.tell(settled))[0][0] == first


def test_message_past_its_latest_start_goes_first(courier: Courier) -> None:
    courier.serve(3)
    courier.serve(3, dest=2)
    fill(courier)
    first = courier.next_id - 1
    courier.arrive(dest=1)
    late = courier.arrival(UNSAFE, dest=1, left=150 * MS)
    courier.tell(late)
    courier.now += 10 * MS
    assert sends(courier.settle(first))[0][0] == late.message


@pytest.mark.parametrize(("left", "is_sent"), [(101, True), (99, False)])
def test_late_drop_on_either_side_of_the_mean(courier: Courier, left: int, is_sent: bool) -> None:
    courier.serve(5, took=100 * MS)
    actions = courier.arrive(left=left * MS)
    assert bool(sends(actions)) is is_sent
    assert bool(answers(actions)) is not is_sent


@pytest.mark.parametrize("outcome", [o for o in i.Outcome if o is not i.Outcome.OK])
@pytest.mark.parametrize("cls", [SAFE, KEYED, UNSAFE])
def test_retry_depends_on_effect_class_and_outcome(courier: Courier, cls: int, outcome: i.Outcome) -> None:
    courier.arrive(cls)
    courier.now += 50 * MS
    actions = courier.settle(1, outcome)
    for _ in range(20):
        if sends(actions) or answers(actions):
            break
        actions = courier.wait(500 * MS)
    if cls == UNSAFE and not outcome.never_ran:
        assert answers(actions) == [i.Fail(1)]
    else:
        assert sends(actions) == [(1, 11)]


def test_keyed_message_is_not_sent_past_its_window(courier: Courier) -> None:
    courier.arrive(KEYED)
    courier.now += CLASSES[KEYED].window
    actions = courier.settle(1, i.Outcome.TIMEOUT)
    assert not sends(actions)
    assert isinstance(answers(actions)[0], i.Refuse)


def test_attempts_are_limited(courier: Courier) -> None:
    actions = courier.arrive()
    for _ in range(60):
        if answers(actions):
            break
        if (1, courier.attempts[1] - 1) in courier.out:
            courier.now += 10 * MS
            actions = courier.settle(1, i.Outcome.CONNECT_FAILED)
        else:
            actions = courier.wait(100 * MS)
    assert courier.attempts[1] == 6
    assert [a.message for a in answers(actions)] == [1]


def test_message_without_any_endpoint_gets_one_final_answer_in_time() -> None:
    courier = Courier()
    assert not answers(courier.arrive(SAFE, dest=9))
    courier.now += CLASSES[SAFE].deadline - SECOND + 1
    assert len(answers(courier.tell())) == 1
    assert not answers(courier.wait(SECOND))


@pytest.mark.parametrize(("cls", "again"), [(SAFE, True), (KEYED, True), (UNSAFE, False)])
def test_a_refusal_that_may_be_another_calls_is_repeated_only_as_the_class_allows(cls: int, again: bool) -> None:
    courier = Courier()
    courier.list(i.Listed(11, 1), i.Listed(12, 1))
    courier.arrive(cls)
    courier.now += 10 * MS
    actions = courier.tell(replace(courier.outcome(1, i.Outcome.MOOT), indeterminate=True))
    actions += courier.wait(CLASSES[KEYED].window)
    assert bool(sends(actions)) == again
    assert any(isinstance(action, i.Fail) for action in actions) != again


def test_a_keyed_message_is_not_repeated_after_such_a_refusal_once_its_key_is_forgotten(courier: Courier) -> None:
    courier.arrive(KEYED)
    courier.now += CLASSES[KEYED].window + MS
    actions = courier.tell(replace(courier.outcome(1, i.Outcome.FULL), indeterminate=True))
    assert not sends(actions + courier.wait(2 * SECOND))
    assert len(answers(actions)) == 1
