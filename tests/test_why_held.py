"""`why_held`: one case for each reason, and a query changes no state."""

from __future__ import annotations

import unittest

from conftest import KEYED, MS, ORDERED, SAFE, UNSAFE, Courier, sends

from calicohitch import interface as i
from calicohitch.interface import Hold, Outcome
from calicohitch.decisions import SECOND


def relay_with(**changes: object) -> Courier:
    courier = Courier(**changes)
    courier.list(i.Listed(11, 1), i.Listed(21, 2))
    return courier


class WhyHeld(unittest.TestCase):
    def why(self, courier: Courier, message: int | None = None) -> tuple[Hold, int] | None:
        held = courier.engine.why_held(courier.next_id - 1 if message is None else message)
        return (held.why, held.until and held.until - courier.now) if held else None

    def test_a_message_that_is_not_held_has_no_reason(self) -> None:
        courier = relay_with()
        courier.arrive()
        self.assertIsNone(self.why(courier))  # in flight
        courier.settle(1)
        self.assertIsNone(self.why(courier))  # delivered
        self.assertIsNone(self.why(courier, 99))

    def test_no_free_slot(self) -> None:
        courier = relay_with(slots=1)
        courier.arrive()
        courier.arrive()
        self.assertEqual(self.why(courier), (Hold.SLOT, 0))

    def test_no_endpoint(self) -> None:
        courier = relay_with()
        courier.arrive(dest=3)
        self.assertEqual(self.why(courier), (Hold.NO_ENDPOINT, 0))

    def test_retry_after_has_its_end(self) -> None:
        courier = relay_with()
        courier.serve(30, took=50 * MS)  # calls are frequent, so one refusal causes no backoff
        courier.arrive()
        courier.settle(courier.next_id - 1, Outcome.FULL, wait=700 * MS)
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 700 * MS))
        courier.wait(100 * MS)
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 600 * MS))
        courier.arrive()  # it holds for the whole destination
        self.assertEqual(self.why(courier), (Hold.RETRY_AFTER, 600 * MS))

    def test_pacing_after_a_refusal_without_retry_after(self) -> None:
        courier = relay_with()
        courier.serve(30, took=50 * MS)
        courier.arrive()
        courier.settle(courier.next_id - 1, Outcome.FULL)
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.PACE)
        self.assertGreater(held[1], 0)

    def test_backoff_where_calls_are_rare(self) -> None:
        courier = relay_with(couriers=20)
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

    def test_trials_of_an_unhealthy_route_and_slow_start_after_them(self) -> None:
        courier = relay_with()
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
        self.assertEqual(self.why(courier), (Hold.TRIAL, 0))  # until the trial is answered
        courier.settle(trial[0][0])
        held = self.why(courier)
        assert held
        self.assertIs(held[0], Hold.RAMP)

    def test_a_silent_route(self) -> None:
        courier = relay_with()
        courier.serve(10, took=50 * MS)
        for _ in range(2):
            courier.arrive()
        courier.wait(300 * MS)
        courier.arrive()
        self.assertEqual(self.why(courier), (Hold.SILENT, 200 * MS))

    def test_order_and_risk_are_reasons_of_the_message(self) -> None:
        courier = relay_with()
        courier.arrive(ORDERED, key=5)
        courier.arrive(ORDERED, key=5)
        self.assertEqual(self.why(courier), (Hold.ORDER, 0))
        courier = relay_with()
        courier.serve(30, took=50 * MS)
        for _ in range(2):
            courier.arrive()
        for message, _attempt in list(courier.out):
            courier.settle(message, Outcome.ERROR)
        courier.arrive(UNSAFE)
        self.assertEqual(self.why(courier), (Hold.RISK, 0))

    def test_a_query_changes_no_state(self) -> None:
        def run(queries: bool) -> list[list[i.Action]]:
            courier, actions = relay_with(slots=3), []
            for n in range(200):
                actions.append(courier.arrive((SAFE, KEYED)[n % 2], dest=1 + n % 2, key=n))
                if queries:
                    for message in range(courier.next_id):
                        courier.engine.why_held(message)
                if len(courier.out) > 1:
                    message = next(iter(courier.out))[0]
                    outcome = (Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.OK)[n % 4]
                    actions.append(courier.settle(message, outcome, wait=50 * MS * (n % 3)))
                actions.append(courier.wait(20 * MS))
            return actions

        self.assertEqual(run(True), run(False))


if __name__ == "__main__":
    unittest.main()
