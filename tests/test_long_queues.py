"""The cost of an event while many messages are held, counted in rankings and wakes, so that it does not depend on the
speed of the machine."""

from __future__ import annotations

import unittest
from unittest import mock

from conftest import KEYED, MS, SAFE, Courier, sends

from calicohitch import interface as i
from calicohitch import decisions


class LongQueues(unittest.TestCase):
    def relay_with_long_queues(self) -> Courier:
        courier = Courier(slots=4, open_cap=1_000)
        courier.list(i.Listed(11, 1), i.Listed(21, 2))
        for n in range(600):
            courier.arrive((SAFE, KEYED)[n % 2], dest=1 + n % 2)
        return courier

    def test_a_freed_slot_ranks_only_a_few_messages(self) -> None:
        courier = self.relay_with_long_queues()
        with mock.patch.object(decisions, "penalty", wraps=decisions.penalty) as penalty:
            self.assertEqual(len(sends(courier.wait(50 * MS, courier.outcome(1)))), 1)
        self.assertLess(penalty.call_count, 20)  # of 595 held messages

    def test_the_release_order_is_that_of_all_held_messages(self) -> None:
        cases = [  # time left of three keyed messages, in order of arrival; the index of the one that goes first
            ([19_000, 20_000, 12_000], 0),  # of those that can meet their aim, the one with the earliest aim
            ([12_000, 11_000, 20_000], 2),  # those that can no longer meet their aim go last
            ([20_000, 150, 12_000], 1),  # past its latest start, with a mean latency of 100 ms
            ([12_000, 11_000, 13_000], 1),
        ]
        for left, first in cases:
            with self.subTest(left=left):
                courier = Courier(slots=1)
                courier.list(i.Listed(11, 1))
                courier.serve(5, took=100 * MS)
                courier.arrive(KEYED)  # takes the slot
                taken = courier.next_id - 1
                for ms in left:
                    courier.arrive(KEYED, left=ms * MS)
                actions = courier.wait(10 * MS, courier.outcome(taken))
                self.assertEqual(sends(actions), [(taken + 1 + first, 11)])

    def test_failures_do_not_accumulate_eviction_ranks(self) -> None:
        courier = Courier(slots=4, open_cap=60)
        courier.list(i.Listed(11, 1))
        for _ in range(40):
            courier.arrive(SAFE)
        for _ in range(40):  # each failure ranks all messages held for the destination anew
            message, attempt = next(iter(courier.out), (0, 0))
            if not message:
                courier.wait(500 * MS, i.Rang(0))
            else:
                courier.wait(MS, courier.outcome(message, i.Outcome.RESET))
                self.assertLessEqual(len(courier.engine._evictable), 2 * 60)

    def test_a_destination_has_one_pending_wake(self) -> None:
        courier = self.relay_with_long_queues()
        for _ in range(50):
            courier.wait(MS, i.Rang(0))
            courier.arrive(SAFE)
        self.assertLessEqual(len(courier.engine._wakes), 6)


if __name__ == "__main__":
    unittest.main()
