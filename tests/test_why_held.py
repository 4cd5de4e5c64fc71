"""The question why a message is held: one case for each reason, and asking changes nothing."""

from __future__ import annotations

import unittest

from conftest import KEYED, MS, ORDERED, SAFE, UNSAFE, Courier, sends

from calicohitch import interface as i
from calicohitch.interface import Hold, Outcome
from calicohitch.decisions import SECOND


def made(**changes: object) -> Courier:
    courier = Courier(**changes)
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    return courier


class WhyHeld(unittest.TestCase):
    def why(self, courier: Courier, message: int | None = None) -> tuple[Hold, int] | None:
        held = courier.engine.why_held(courier.next_id - 1 if message is None else message)
        return (held.why, held.until and held.until - courier.now) if held else None

    def test_what_is_not_held_has_no_reason(self) -> None:
        courier = made()
        courier.arrive()
        self.assertIsNone(self.why(courier))  # out
        courier.settle(1)
        self.assertIsNone(self.why(courier))  # over
        self.assertIsNone(self.why(courier, 99))

    def test_a_slot(self) -> None:
        courier = made(slots=1)
        courier.arrive()
        courier.arrive()
        self.assertEqual(self.why(courier), (Hold.SLOT, 0))

    def test_no_endpoint(self) -> None:
        courier = made()
        courier.arrive(dest=3)
        self.assertEqual(self.why(courier), (Hold.NO_ENDPOINT, 0))

    def test_a_told_wait_names_its_end(self) -> None:
        courier = made()
        courier.serve(30, took=50 * MS)  # so frequent that one refusal is no reason to rest
        courier.arrive()
        courier.settle(courier.next_id - 1, Outcome.FULL, wait=700 * MS)
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 700 * MS))
        courier.wait(100 * MS)
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 600 * MS))
        courier.arrive()  # for the whole destination
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 600 * MS))

    def test_a_pace_after_a_refusal_without_a_wait(self) -> None:
        courier = made()
        courier.serve(30, took=50 * MS)
        courier.arrive()
        courier.settle(courier.next_id - 1, Outcome.FULL)
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.PACE)
        self.assertGreater(held[1], 0)

    def test_a_rest_where_calls_are_rare(self) -> None:
        courier = made(couriers=20)
        for _ in range(3):
            courier.arrive()
            courier.wait(100 * MS)
            courier.settle(courier.next_id - 1)
            courier.wait(40 * SECOND)
        courier.arrive()
        courier.settle(courier.next_id - 1, Outcome.CONNECT_FAILED)
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.REST)

    def test_trials_of_a_sick_route_and_the_ramp_after_it(self) -> None:
        courier = made()
        courier.serve(30, took=50 * MS)
        for _ in range(8):
            courier.arrive()
        for _ in range(2):
            for message, _attempt in list(courier.out):
                courier.settle(message, Outcome.CONNECT_FAILED)
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.TRIAL)
        self.assertGreater(held[1], 0)
        trial = next(sent for _ in range(60) if (sent := sends(courier.wait(100 * MS))))
        self.assertEqual(self.why(courier), (Hold.TRIAL, 0))  # until that one is answered
        courier.settle(trial[0][0])
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.RAMP)

    def test_a_silent_route(self) -> None:
        courier = made()
        courier.serve(10, took=50 * MS)
        for _ in range(2):
            courier.arrive()
        courier.wait(300 * MS)
        courier.arrive()
        self.assertEqual(self.why(courier), (Hold.SILENT, 200 * MS))

    def test_an_order_and_a_risk_are_the_messages_own(self) -> None:
        courier = made()
        courier.arrive(ORDERED, key=5)
        courier.arrive(ORDERED, key=5)
        self.assertEqual(self.why(courier), (Hold.ORDER, 0))
        courier = made()
        courier.serve(30, took=50 * MS)
        for _ in range(2):
            courier.arrive()
        for message, _attempt in list(courier.out):
            courier.settle(message, Outcome.ERROR)
        courier.arrive(UNSAFE)
        self.assertEqual(self.why(courier), (Hold.RISK, 0))

    def test_asking_changes_nothing(self) -> None:
        def play(asks: bool) -> list[list[i.Action]]:
            courier, told = made(slots=3), []
            for n in range(200):
                told.append(courier.arrive((SAFE, KEYED)[n % 2], dest=1 + n % 2, key=n))
                if asks:
                    for message in range(courier.next_id):
                        courier.engine.why_held(message)
                if len(courier.out) > 1:
                    message = next(iter(courier.out))[0]
                    outcome = (Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.OK)[n % 4]
                    told.append(courier.settle(message, outcome, wait=50 * MS * (n % 3)))
                told.append(courier.wait(20 * MS))
            return told

        self.assertEqual(play(True), play(False))


if __name__ == "__main__":
    unittest.main()
