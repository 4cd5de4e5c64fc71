"""Notes on limits: one relay learns that a limit has changed, and all follow; small changes cause no note."""

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


class Notes(unittest.TestCase):
    def note(self, limit: float, before: float = 100.0, dest: int | None = 7) -> bytes:
        limit_updates = LimitUpdates(1)
        limit_updates.observe(SECOND, dest, known(before), (0.5, limit), False)
        return limit_updates.due(2 * SECOND)

    def test_a_large_change_causes_a_note_and_noise_does_not(self) -> None:
        self.assertEqual(self.note(50.0), b"\x01" + struct.pack(">If", 7, 50.0))
        self.assertTrue(self.note(170.0))
        for limit, dest in ((80.0, 7), (130.0, 7), (50.0, None), (0.0, 7), (float("nan"), 7)):
            with self.subTest(limit=limit, dest=dest):
                self.assertEqual(self.note(limit, dest=dest), b"")

    def test_a_first_answer_causes_no_note_whatever_limit_the_list_has(self) -> None:
        limit_updates, share = LimitUpdates(1), SharedLimit(200, ("x0", "x1"))
        share.assume_limit(0, 300.0)
        limit_updates.observe(SECOND, 7, share, (0.5, 80.0), False)
        self.assertEqual(limit_updates.due(2 * SECOND), b"")

    def test_few_relays_send_no_notes(self) -> None:
        limit_updates, share = LimitUpdates(1), LimitShare(3, ("x0", "x1"))
        share.observe(0, (0.5, 100.0), False)
        limit_updates.observe(SECOND, 7, share, (0.5, 50.0), False)
        self.assertEqual(limit_updates.due(2 * SECOND), b"")

    def test_one_relay_of_all_sends_a_note_and_only_once_in_some_seconds(self) -> None:
        notes, relays = [], [LimitUpdates(seed) for seed in range(200)]
        for limit_updates in relays:
            limit_updates.observe(SECOND, 7, known(), (0.5, 50.0), False)
        for now in range(SECOND, 4 * SECOND, 5 * MS):
            for limit_updates in relays:
                if note := limit_updates.due(now):
                    notes.append(note)
                    for other in relays:
                        if other is not limit_updates:
                            other.receive(now, note)
        self.assertEqual(len(notes), 1)
        relays[0].observe(3 * SECOND, 7, known(), (0.5, 50.0), False)
        self.assertEqual(relays[0].due(5 * SECOND), b"")
        relays[0].observe(9 * SECOND, 7, known(), (0.5, 50.0), False)
        self.assertTrue(relays[0].due(10 * SECOND))

    def test_a_note_on_many_destinations_has_256_bytes_at_most(self) -> None:
        limit_updates = LimitUpdates(1)
        for dest in range(60):
            limit_updates.observe(SECOND, dest, known(), (0.5, 50.0), False)
        note = limit_updates.due(2 * SECOND)
        self.assertLessEqual(len(note), 256)
        self.assertEqual(len(LimitUpdates(2).receive(0, note)), 31)

    @given(st.binary(max_size=300))
    def test_any_bytes_are_accepted_as_a_note(self, note: bytes) -> None:
        limit_updates = LimitUpdates(1)
        for _, limit in limit_updates.receive(0, note):
            self.assertTrue(0 < limit < 1e9)

    def test_invalid_notes_are_ignored(self) -> None:
        limit_updates = LimitUpdates(1)
        good = b"\x01" + struct.pack(">If", 7, 50.0)
        for note in (b"", b"\x02" + good[1:], good[:-1], good + b"x", good + good[1:] * 31):
            self.assertEqual(limit_updates.receive(0, note), [])
        self.assertEqual(limit_updates.unread, 5)
        for limit in (-1.0, 0.0, float("nan"), float("inf"), 1e12):
            self.assertEqual(limit_updates.receive(0, b"\x01" + struct.pack(">If", 7, limit)), [])
        self.assertEqual(limit_updates.receive(0, good), [(7, 50.0)])


class Relays(unittest.TestCase):
    def relay(self, seed: int) -> Courier:
        relay = Courier(seed=seed, couriers=200, reports=REPORTS, may_tell=True)
        relay.list(i.Listed(11, 1))
        relay.wait(SECOND, relay.arrival(SAFE))
        message = relay.next_id - 1
        relay.wait(100 * MS, replace(relay.outcome(message), report=(0.5, 100.0)))
        return relay

    def limit(self, relay: Courier) -> float:
        return next(route.share.limit for route in relay.engine._dests[1].routes.values())

    def test_a_limit_reported_to_one_relay_applies_at_the_others(self) -> None:
        first, second = self.relay(1), self.relay(2)
        first.wait(SECOND, first.arrival(SAFE))
        actions = first.wait(100 * MS, replace(first.outcome(first.next_id - 1), report=(0.5, 40.0)))
        actions += first.wait(300 * MS)
        (note,) = [action for action in actions if isinstance(action, i.Tell)]
        self.assertIsNone(note.peer)
        self.assertEqual(self.limit(second), 100.0)
        second.wait(20 * MS, i.PeerSaid(0, note.data))
        self.assertEqual(self.limit(second), 40.0)
        second.wait(20 * MS, i.PeerSaid(0, b"\x01" + struct.pack(">If", 999, 1.0)))  # an unknown destination
        self.assertNotIn(999, second.engine._dests)
        second.wait(SECOND, second.arrival(SAFE))  # a wrong note is replaced by the next answer
        second.wait(100 * MS, replace(second.outcome(second.next_id - 1), report=(0.5, 100.0)))
        self.assertEqual(self.limit(second), 100.0)


if __name__ == "__main__":
    unittest.main()
