"""Notes on limits: one courier hears that a limit has changed, and all follow; what is no news stays untold."""

from __future__ import annotations

import struct
import unittest
from dataclasses import replace

from conftest import MS, SAFE, Courier
from hypothesis import given
from hypothesis import strategies as st

from calicohitch import interface as i
from calicohitch.core.shared_limit import SharedLimit
from calicohitch.core.limit_updates import LimitUpdates
from calicohitch.core.limit_share import LimitShare
from calicohitch.decisions import SECOND

REPORTS = (i.Report("x0"), i.Report("x1"))


def known(limit: float = 100.0) -> SharedLimit:
    share = SharedLimit(200, ("x0", "x1"))
    share.message_arrived(0)
    share.observe(0, (0.5, limit), False)
    return share


class ChangeNotifier(unittest.TestCase):
    def told(self, limit: float, before: float = 100.0, dest: int | None = 7) -> bytes:
        limit_updates = LimitUpdates(1)
        limit_updates.observe(SECOND, dest, known(before), (0.5, limit), False)
        return limit_updates.due(2 * SECOND)

    def test_a_large_change_is_told_and_noise_is_not(self) -> None:
        self.assertEqual(self.told(50.0), b"\x01" + struct.pack(">If", 7, 50.0))
        self.assertTrue(self.told(170.0))
        for limit, dest in ((80.0, 7), (130.0, 7), (50.0, None), (0.0, 7), (float("nan"), 7)):
            with self.subTest(limit=limit, dest=dest):
                self.assertEqual(self.told(limit, dest=dest), b"")

    def test_a_first_answer_is_no_news_whatever_the_list_supposed(self) -> None:
        limit_updates, share = LimitUpdates(1), SharedLimit(200, ("x0", "x1"))
        share.assume_limit(0, 300.0)
        limit_updates.observe(SECOND, 7, share, (0.5, 80.0), False)
        self.assertEqual(limit_updates.due(2 * SECOND), b"")

    def test_a_few_couriers_tell_nothing(self) -> None:
        limit_updates, share = LimitUpdates(1), LimitShare(3, ("x0", "x1"))
        share.observe(0, (0.5, 100.0), False)
        limit_updates.observe(SECOND, 7, share, (0.5, 50.0), False)
        self.assertEqual(limit_updates.due(2 * SECOND), b"")

    def test_one_of_all_that_hear_it_tells_it_and_once_in_some_seconds(self) -> None:
        notes, couriers = [], [LimitUpdates(seed) for seed in range(200)]
        for limit_updates in couriers:
            limit_updates.observe(SECOND, 7, known(), (0.5, 50.0), False)
        for now in range(SECOND, 4 * SECOND, 5 * MS):
            for limit_updates in couriers:
                if note := limit_updates.due(now):
                    notes.append(note)
                    for other in couriers:
                        if other is not limit_updates:
                            other.receive(now, note)
        self.assertEqual(len(notes), 1)
        couriers[0].observe(3 * SECOND, 7, known(), (0.5, 50.0), False)
        self.assertEqual(couriers[0].due(5 * SECOND), b"")
        couriers[0].observe(9 * SECOND, 7, known(), (0.5, 50.0), False)
        self.assertTrue(couriers[0].due(10 * SECOND))

    def test_many_destinations_share_notes_of_256_bytes(self) -> None:
        limit_updates = LimitUpdates(1)
        for dest in range(60):
            limit_updates.observe(SECOND, dest, known(), (0.5, 50.0), False)
        note = limit_updates.due(2 * SECOND)
        self.assertLessEqual(len(note), 256)
        self.assertEqual(len(LimitUpdates(2).receive(0, note)), 31)

    @given(st.binary(max_size=300))
    def test_any_bytes_are_read(self, note: bytes) -> None:
        limit_updates = LimitUpdates(1)
        for _, limit in limit_updates.receive(0, note):
            self.assertTrue(0 < limit < 1e9)

    def test_bad_notes_are_left_out(self) -> None:
        limit_updates = LimitUpdates(1)
        good = b"\x01" + struct.pack(">If", 7, 50.0)
        for note in (b"", b"\x02" + good[1:], good[:-1], good + b"x", good + good[1:] * 31):
            self.assertEqual(limit_updates.receive(0, note), [])
        self.assertEqual(limit_updates.unread, 5)
        for limit in (-1.0, 0.0, float("nan"), float("inf"), 1e12):
            self.assertEqual(limit_updates.receive(0, b"\x01" + struct.pack(">If", 7, limit)), [])
        self.assertEqual(limit_updates.receive(0, good), [(7, 50.0)])


class Couriers(unittest.TestCase):
    def courier(self, seed: int) -> Courier:
        courier = Courier(seed=seed, couriers=200, reports=REPORTS, may_tell=True)
        courier.list(i.Listed(11, 1))
        courier.wait(SECOND, courier.arrival(SAFE))
        message = courier.next_id - 1
        courier.wait(100 * MS, replace(courier.outcome(message), report=(0.5, 100.0)))
        return courier

    def limit(self, courier: Courier) -> float:
        return next(route.share.limit for route in courier.engine._dests[1].routes.values())

    def test_what_one_is_told_all_others_keep_to(self) -> None:
        first, second = self.courier(1), self.courier(2)
        first.wait(SECOND, first.arrival(SAFE))
        told = first.wait(100 * MS, replace(first.outcome(first.next_id - 1), report=(0.5, 40.0)))
        told += first.wait(300 * MS)
        (note,) = [action for action in told if isinstance(action, i.Tell)]
        self.assertIsNone(note.peer)
        self.assertEqual(self.limit(second), 100.0)
        second.wait(20 * MS, i.PeerSaid(0, note.data))
        self.assertEqual(self.limit(second), 40.0)
        second.wait(20 * MS, i.PeerSaid(0, b"\x01" + struct.pack(">If", 999, 1.0)))  # a destination that nobody listed
        self.assertNotIn(999, second.engine._dests)
        second.wait(SECOND, second.arrival(SAFE))  # a wrong note is replaced by the next answer
        second.wait(100 * MS, replace(second.outcome(second.next_id - 1), report=(0.5, 100.0)))
        self.assertEqual(self.limit(second), 100.0)


if __name__ == "__main__":
    unittest.main()
