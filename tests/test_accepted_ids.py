"""The ids of accepted messages that are over: in memory, and in the segments of the journal."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path

from calicohitch.clock import Clock
from calicohitch.core.accepted_ids import AcceptedIds
from calicohitch.journal import End, Entry, Journal

DISK_BYTES = 100_000


class InMemory(unittest.TestCase):
    def test_an_id_is_remembered_until_its_time_ends(self) -> None:
        ids = AcceptedIds(10)
        ids.add("a", 100.0)
        ids.add("b", 50.0)
        ids.add("b", 200.0)
        ids.drop_expired(100.0)
        self.assertEqual(("a" in ids, "b" in ids), (False, True))
        ids.drop_expired(200.0)
        self.assertEqual((len(ids), ids._by_expiry), (0, []))

    def test_the_table_is_bounded_and_drops_what_ends_first(self) -> None:
        ids = AcceptedIds(100)
        for n in range(10_000):
            ids.add(f"m{n}", 1_000.0 + n)
            ids.add(f"m{n}", 1_000.0 + n)
        self.assertEqual((len(ids), len(ids._by_expiry)), (100, 100))
        self.assertEqual(("m9999" in ids, "m9899" in ids), (True, False))


class InTheJournal(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.time_ms = Path(folder.name), Clock().now()

    def open(self) -> Journal:
        journal = Journal(self.folder, DISK_BYTES, now=lambda: self.time_ms)
        self.addCleanup(journal.close)
        return journal

    def play(self, journal: Journal, count: int, body: bytes = b"", lasts_ms: float = 20_000.0) -> None:
        """Messages that are accepted, attempted and closed."""
        for _ in range(count):
            number = journal.next_number
            journal.record_accepted(Entry(number, f"m{number}", "a", 7, self.time_ms + lasts_ms, None, body))
            journal.record_attempt(number, 0, self.time_ms, 0)
            journal.record_closed(number)

    def test_a_later_incarnation_knows_those_whose_time_still_runs(self) -> None:
        journal = self.open()
        self.play(journal, 1, lasts_ms=10.0)
        self.play(journal, 200)
        journal.record_accepted(Entry(900, "withdrawn", "a", 7, self.time_ms + 20_000.0, None, b""))
        journal.record_closed(900)
        journal.record_accepted(Entry(901, "ended", "a", 7, self.time_ms + 20_000.0, None, b""))
        journal.record_end(901, End(True))
        journal.record_closed(901)
        self.assertGreater(len(journal._segments), 1)
        self.time_ms += 100.0
        time.sleep(0.001)
        ids = self.open().closed_ids
        self.assertEqual(set(ids), {f"m{n}" for n in range(2, 202)} | {"ended"})

    def test_a_segment_is_deleted_once_the_time_of_its_messages_is_over(self) -> None:
        journal = self.open()
        self.play(journal, 300)
        self.assertGreater(len(journal._segments), 2)
        self.time_ms += 20_001.0
        journal.delete_expired()
        self.assertEqual(len(journal._segments), 1)
        self.assertEqual(self.open().closed_ids, {})

    def test_what_is_kept_takes_no_room_from_new_messages(self) -> None:
        journal = self.open()
        for _ in range(100):
            self.assertTrue(journal.has_room(4_000))
            self.play(journal, 1, bytes(4_000))
            self.assertLess(journal.used(), DISK_BYTES)
        self.assertLessEqual(journal.used(), DISK_BYTES * 0.7)


if __name__ == "__main__":
    unittest.main()
