"""What holds a relay back outlasts its process: one engine, its stored state, and a new engine that begins with it."""

from __future__ import annotations

import copy
import unittest
from typing import Any

from conftest import KEYED, MS, SAFE, Courier
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from calicohitch import interface as i
from calicohitch.decisions import SECOND
from calicohitch.recovery import cached_state, state_conversion
from calicohitch.recovery.clocks import Moment

CLASSES = ("safe", "keyed", "unsafe", "ordered")
DESTS = (1, 2)
RELAYS = 38
AWAY_US = 500 * MS
STEP_US = 50 * MS
WATCHED_US = 15 * SECOND
ROUNDING_US = 1 * MS  # stored times are in milliseconds
OUTCOMES = (i.Outcome.OK, i.Outcome.ERROR, i.Outcome.CONNECT_FAILED, i.Outcome.TIMEOUT, i.Outcome.FULL)
LISTED = (i.Listed(11, 1, weight=9.0), i.Listed(12, 1, weight=9.0), i.Listed(21, 2, weight=60.0))
REPORTS = (i.Report("x0"), i.Report("x1"))


def relay(reports: tuple[i.Report, ...] = (), seed: int = 7) -> Courier:
    courier = Courier(seed=seed, couriers=RELAYS, reports=reports, weights="rough")
    courier.list(*LISTED)
    return courier


def stored(courier: Courier) -> bytes:
    known, wall_ms = courier.engine.known(), courier.now / 1e3
    return cached_state.encode(
        cached_state.CachedState(
            Moment(wall_ms, wall_ms, "boot"),
            routes=state_conversion.known_routes(known, str),
            on_time=dict(zip(CLASSES, known.on_time, strict=True)),
            pacing=state_conversion.known_pacing(known, str),
            destinations=state_conversion.known_destinations(known),
            overload_doublings=known.overload_doublings,
        )
    )


def restored(data: bytes, now: int) -> i.RestoredState:
    moment = Moment(now / 1e3, now / 1e3, "boot")
    return state_conversion.restored_state(
        cached_state.validate(cached_state.decode(data), moment, CLASSES), int, CLASSES
    )


def still_open(courier: Courier) -> list[i.Arrived]:
    """The open messages as a journal would have them."""
    return [
        i.Arrived(
            message.id,
            message.arrival.class_index,
            message.dest,
            message.deadline_at - courier.now - AWAY_US,
            earlier=tuple(
                i.EarlierAttempt(courier.sent_at[message.id, n], 0, n in message.may_have_run)
                for n in range(message.attempts)
            ),
            restored=True,
        )
        for message in courier.engine._open.values()
    ]


def next_life(courier: Courier, listed_first: bool = True, **changes: Any) -> Courier:
    """A new engine after a kill of this one, with what it stored."""
    data, messages = stored(courier), still_open(courier)
    new = Courier(**({"seed": 8, "couriers": RELAYS, "weights": "rough"} | changes))
    new.now, new.next_id = courier.now + AWAY_US, courier.next_id
    new.attempts = {message.message: len(message.earlier) for message in messages}
    if listed_first:
        new.list(*LISTED)
    new.tell(restored(data, new.now))
    if not listed_first:
        new.list(*LISTED)
    new.tell(*messages)
    return new


def first_calls(courier: Courier, since: int) -> dict[int, tuple[int, int]]:
    """For each destination, when the first call from `since` on went out, and its message; each has one to send."""
    for dest in DESTS:
        courier.arrive(SAFE, dest, left=10 * SECOND)
    end = since + WATCHED_US
    while courier.now < end:
        courier.wait(STEP_US)
    calls: dict[int, tuple[int, int]] = {}
    for (message, attempt), endpoint in courier.out.items():
        at = courier.sent_at[message, attempt]
        if at >= since and at < calls.get(endpoint // 10, (end, 0))[0]:
            calls[endpoint // 10] = at, message
    return calls


STEP = st.tuples(
    st.sampled_from(DESTS), st.sampled_from(OUTCOMES), st.sampled_from((20, 150, 700, 2_500)), st.booleans()
)


class ARestart(unittest.TestCase):
    @settings(max_examples=300, deadline=None, suppress_health_check=list(HealthCheck), derandomize=True)
    @given(st.lists(STEP, min_size=1, max_size=25), st.booleans(), st.booleans())
    def test_allows_no_call_that_the_run_before_it_would_not_have_allowed(
        self, steps: list[tuple[int, i.Outcome, int, bool]], reports: bool, listed_first: bool
    ) -> None:
        told = REPORTS if reports else ()
        courier = relay(told)
        for dest, outcome, pause_ms, arrives in steps:
            if arrives:
                courier.arrive(KEYED if pause_ms < 500 else SAFE, dest)
            for _ in range(max(1, pause_ms * MS // (100 * MS))):
                courier.wait(min(pause_ms * MS, 100 * MS))
            out = [message for (message, _), endpoint in courier.out.items() if endpoint // 10 == dest]
            courier.tell(*(courier.outcome(message, outcome) for message in out))
        courier.tell(*(courier.outcome(message) for message, _ in list(courier.out)))
        while courier.out:  # sent in the turn of the last outcomes
            courier.wait(STEP_US, *(courier.outcome(message) for message, _ in list(courier.out)))
        killed_at = courier.now
        new = next_life(courier, listed_first, reports=told)
        goes_on = copy.deepcopy(courier)
        while goes_on.now < new.now:
            goes_on.wait(STEP_US)
        before, after = first_calls(goes_on, killed_at), first_calls(new, killed_at)
        untried = {message.message for message in still_open(courier) if not message.earlier}
        for dest, (at, message) in after.items():
            if message not in untried:  # those get their call while their time lasts
                self.assertGreaterEqual(at, before.get(dest, (killed_at + WATCHED_US, 0))[0] - STEP_US - ROUNDING_US)

    def test_does_not_end_the_backoff_of_a_destination_that_is_called_rarely(self) -> None:
        for outcome in OUTCOMES[1:]:
            with self.subTest(outcome=outcome):
                courier = relay()
                courier.wait(12 * SECOND)
                dest = courier.engine._dests[1]
                courier.arrive(KEYED)
                while dest.backoff_until < courier.now + 2 * AWAY_US:
                    self.assertLess(courier.now, 1_040 * SECOND)
                    courier.wait(100 * MS, *(courier.outcome(message, outcome) for message, _ in list(courier.out)))
                backoff_until = dest.backoff_until
                new = next_life(courier)
                while new.now < backoff_until:
                    self.assertEqual(new.out, {})
                    new.wait(STEP_US)

    def test_keeps_what_it_knows_of_a_destination_that_is_listed_later(self) -> None:
        courier = relay()
        courier.wait(12 * SECOND)
        courier.arrive(KEYED)
        courier.wait(50 * MS, courier.outcome(courier.next_id - 1, i.Outcome.ERROR))
        backoff_until = courier.engine._dests[1].backoff_until
        new = Courier(seed=8, couriers=RELAYS, weights="rough")
        new.now = courier.now + 100 * MS
        new.tell(restored(stored(courier), new.now))
        new.tell(i.RestoredState((i.RestoredRoute(2, wait_until=new.now + SECOND, wait_only=True),)))
        new.list(*LISTED)
        self.assertGreaterEqual(new.engine._dests[1].backoff_until, backoff_until - ROUNDING_US)

    def test_knows_that_calls_are_rare_so_that_one_failure_leads_to_a_backoff(self) -> None:
        courier = relay()
        for _ in range(3):
            courier.wait(8 * SECOND)
            courier.serve(1)
        new = next_life(courier)
        new.arrive(KEYED)
        self.assertEqual(len(new.out), 1)
        new.wait(50 * MS, new.outcome(new.next_id - 1, i.Outcome.ERROR))
        self.assertGreaterEqual(new.engine._dests[1].backoff_until, new.now + 250 * MS)

    def test_without_anything_stored_is_one_of_many_that_know_as_little(self) -> None:
        courier = relay()
        courier.arrive(KEYED)
        courier.wait(50 * MS, courier.outcome(courier.next_id - 1, i.Outcome.ERROR))
        self.assertGreaterEqual(courier.engine._dests[1].backoff_until, courier.now + 250 * MS)

    def test_spreads_what_it_restores(self) -> None:
        begun = []
        for seed in range(40):
            courier = relay()
            courier.wait(9 * SECOND)
            courier.arrive(KEYED)  # its call is out as the process is killed
            courier.wait(100 * MS)
            new = next_life(courier, seed=seed)
            start = new.now
            while not new.out and new.now < start + 10 * SECOND:
                new.wait(STEP_US)
            begun.append((new.now - start) / SECOND)
        self.assertLess(sum(at < 1.5 for at in begun), 20)
        self.assertLess(max(begun), 6.0)  # its key is forgotten then

    def test_does_not_delay_what_it_restores_for_a_destination_that_served_just_before(self) -> None:
        courier = relay()
        courier.wait(9 * SECOND)
        courier.serve(1)
        courier.arrive(KEYED)
        new = next_life(courier)
        self.assertEqual(len(new.out), 1)

    def test_calls_what_was_never_tried_while_its_time_lasts(self) -> None:
        for seed in range(10):
            courier = relay()
            courier.wait(12 * SECOND)
            for _ in range(3):
                courier.arrive(SAFE)
                courier.wait(100 * MS, *(courier.outcome(m, i.Outcome.FULL) for m, _ in list(courier.out)))
            untried = {message.message for message in still_open(courier) if not message.earlier}
            self.assertTrue(untried)
            new = next_life(courier, seed=seed)
            deadline = new.now + 10 * SECOND
            called: set[int] = set()
            while new.now < deadline:
                called |= {message for message, _ in new.out}
                new.wait(STEP_US, *(new.outcome(m, i.Outcome.FULL) for m, _ in list(new.out)))
            self.assertLessEqual(untried, called)

    def test_keeps_what_calls_for_messages_of_another_relay_taught(self) -> None:
        courier = relay()
        courier.tell(i.Arrived(1, KEYED, 1, 20 * SECOND, restored=True))
        courier.attempts[1] = 0
        while not courier.out:
            courier.wait(STEP_US)
        courier.wait(STEP_US, courier.outcome(1, i.Outcome.ERROR))
        backoff_until = courier.engine._dests[1].backoff_until
        self.assertGreater(backoff_until, courier.now)
        new = relay()
        new.now = courier.now
        new.tell(restored(stored(courier), new.now))
        self.assertGreaterEqual(new.engine._dests[1].backoff_until, backoff_until - ROUNDING_US)

    def test_owes_no_call_to_a_message_that_was_withdrawn(self) -> None:
        new = relay()
        new.tell(i.Arrived(1, KEYED, 1, 20 * SECOND, restored=True))
        while not new.out:
            new.wait(STEP_US)
        new.tell(i.Withdrawn(1))
        new.tell(new.outcome(1, i.Outcome.CONNECT_FAILED))
        self.assertEqual(new.engine._dests[1].due_calls, {})


if __name__ == "__main__":
    unittest.main()
