"""Distinguishes one endpoint that hangs or fails from an outage of its destination."""

from __future__ import annotations

import unittest
from dataclasses import replace

from conftest import MS, SAFE, Courier, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND


def relay_with_two_endpoints() -> Courier:
    courier = Courier(reports=(i.Report("x0"), i.Report("x1")))
    courier.list(i.Listed(11, 1), i.Listed(12, 1))
    return courier


class PartialOutages(unittest.TestCase):
    def test_lost_calls_are_no_outage_while_later_calls_are_answered(self) -> None:
        courier = relay_with_two_endpoints()
        courier.serve(6)
        first = courier.next_id
        for _ in range(8):
            courier.arrive(SAFE)
        hung = {m for (m, _), endpoint in courier.out.items() if endpoint == 11}
        self.assertTrue(0 < len(hung) < 8)
        courier.now += 100 * MS
        for message in range(first, courier.next_id):
            if message not in hung:
                courier.settle(message)
        courier.arrive(SAFE)  # goes to the other endpoint, and is answered
        courier.wait(100 * MS, courier.outcome(courier.next_id - 1))
        for message in sorted(hung):
            courier.settle(message, i.Outcome.TIMEOUT)
        route = courier.engine._dests[1].routes[-1]
        self.assertEqual((route.failing, route.bad_run, route.fail_share < 0.6), (False, 0, True))

    def test_of_two_failing_endpoints_the_one_with_fewer_failures_is_called(self) -> None:
        courier = relay_with_two_endpoints()
        courier.serve(8)
        endpoints = courier.engine._dests[1].endpoints
        endpoints[11].mean, endpoints[12].mean = 50.0 * MS, 400.0 * MS  # the first one is much faster
        for name, fails in ((11, 3), (12, 1)):
            endpoints[name].fails, endpoints[name].failed_at = fails, courier.now
        self.assertEqual([endpoint for _, endpoint in sends(courier.arrive(SAFE))], [12])

    def test_slow_start_sends_what_the_reported_limit_allows(self) -> None:
        for limit, least, most in ((0.0, 0, 12), (60.0, 20, 40)):
            with self.subTest(limit=limit):
                courier = Courier(slots=200, open_cap=900, reports=(i.Report("x0"), i.Report("x1")))
                courier.list(i.Listed(11, 1))
                for _ in range(20):  # a message every second
                    courier.arrive(SAFE)
                    actions = courier.wait(
                        SECOND, replace(courier.outcome(courier.next_id - 1), report=(1.0, limit), took=50 * MS)
                    )
                    self.assertEqual(sends(actions), [])
                route = courier.engine._dests[1].routes[-1]
                route.failing, route.slow_start_at, route.slow_start_due = False, courier.now, courier.now  # recovered
                sent = 0
                for _ in range(200):  # more messages than the route can serve
                    sent += len(sends(courier.arrive(SAFE, left=9 * SECOND)))
                    answered = [courier.outcome(message) for message, _ in list(courier.out)]
                    sent += len(sends(courier.wait(10 * MS, *answered)))
                self.assertTrue(least <= sent <= most, sent)


if __name__ == "__main__":
    unittest.main()
