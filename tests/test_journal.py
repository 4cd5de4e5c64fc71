"""What the journal restores after a process ended at any byte of a write, and after failed writes."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from calicohitch.journal import Attempt, End, Entry, Journal, JournalFull


def entry(number: int, body: bytes = b"body") -> Entry:
    return Entry(number, f"m{number}", "orders", 7, 5e12 + number, None, body)


class Restored(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def reopen(self) -> Journal:
        journal = Journal(self.folder, 3e6)
        self.addCleanup(journal.close)
        return journal

    def test_the_state_of_open_messages_is_restored(self) -> None:
        journal = self.reopen()
        for number in (1, 2, 3):
            journal.record_accepted(entry(number, bytes(range(256))))
        journal.record_attempt(1, 0, 123.25, 1)
        journal.record_attempt(1, 1, 456.5, 0)
        journal.record_outcome(1, 0, may_have_run=False)
        journal.record_end(2, End(True, 250.0))
        journal.record_closed(3)
        restored = self.reopen()
        first = entry(1, bytes(range(256)))
        first.attempts = [Attempt(123.25, 1, False, settled=True), Attempt(456.5, 0, True)]
        second = entry(2, bytes(range(256)))
        second.end = End(True, 250.0)
        self.assertEqual(restored.entries, {1: first, 2: second})
        self.assertEqual(restored.next_number, 4)

    def test_a_segment_whose_write_failed_is_replaced_by_a_new_one(self) -> None:
        """Guards against retrying for ever on a segment that met a full disk or kept half a record."""
        real = os.write
        for truncate_works in (True, False):
            with self.subTest(truncate_works=truncate_works):
                journal = self.reopen()
                journal.record_accepted(entry(journal.next_number))
                refused, (fd, first) = journal.next_number, (journal._fd, journal._segments[-1].path)

                attempts: list[int] = []

                def half(to: int, data: bytes, fd: int = fd, attempts: list[int] = attempts) -> int:
                    if to != fd:
                        return real(to, data)
                    attempts.append(to)
                    if len(attempts) > 1:
                        raise OSError(errno.ENOSPC, "No space left on device")
                    return real(to, data[: len(data) // 2])

                truncate = os.ftruncate if truncate_works else mock.Mock(side_effect=OSError(errno.EIO, "gone"))
                with mock.patch.object(os, "write", half), mock.patch.object(os, "ftruncate", truncate):
                    with self.assertRaises(JournalFull):
                        journal.record_accepted(entry(refused))
                    journal.record_accepted(entry(refused + 1))  # in the next segment
                journal.record_attempt(refused + 1, 0, 12.0, 0)
                self.assertNotEqual(journal._segments[-1].path, first)
                restored = self.reopen()
                self.assertIn(refused + 1, restored.entries)
                self.assertEqual(restored.entries[refused + 1].attempts, [Attempt(12.0, 0)])
                self.assertNotIn(refused, restored.entries)

    def test_a_torn_record_at_the_end_is_ignored_at_every_length(self) -> None:
        journal = self.reopen()
        journal.record_accepted(entry(1))
        (path,) = self.folder.iterdir()
        whole = path.stat().st_size
        journal.record_accepted(entry(2))
        data = path.read_bytes()
        for end in range(whole, len(data) + 1):
            with self.subTest(end=end):
                path.write_bytes(data[:end])
                restored = self.reopen()
                self.assertEqual(set(restored.entries), {1, 2} if end == len(data) else {1})
                self.assertEqual(path.stat().st_size, end)
        path.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))  # one flipped bit at full length: repaired
        repaired = self.reopen()
        self.assertEqual(
            {number: restored.body for number, restored in repaired.entries.items()}, {1: b"body", 2: b"body"}
        )
        self.assertEqual([damage.repaired for damage in repaired.damage], [True])

    def test_segments_without_open_messages_are_deleted(self) -> None:
        journal = self.reopen()
        for number in range(1, 2_000):
            journal.record_accepted(entry(number, bytes(1_000)))
            journal.record_attempt(number, 0, 1.0, 0)
            if number > 20:
                journal.record_closed(number - 20)
        self.assertLess(journal.used(), 500_000)
        self.assertLess(sum(path.stat().st_size for path in self.folder.iterdir()), 500_000)
        restored = self.reopen()
        self.assertEqual(set(restored.entries), set(range(1_980, 2_000)))
        for number in list(restored.entries):
            restored.record_closed(number)
        self.assertEqual(self.reopen().entries, {})

    def test_space_for_later_records_is_reserved(self) -> None:
        journal = Journal(self.folder, 1e6)
        self.addCleanup(journal.close)
        accepted = 0
        while journal.has_room(65_536):
            accepted += 1
            journal.record_accepted(entry(accepted, bytes(65_536)))
        for number in range(1, accepted + 1):
            for attempt in range(8):
                journal.record_attempt(number, attempt, 1.0, 0)
                journal.record_outcome(number, attempt, may_have_run=True)
            journal.record_end(number, End(True, 1.0))
        self.assertGreater(accepted, 5)
        self.assertLess(journal.used(), 800_000)

    def test_a_partial_record_is_removed(self) -> None:
        journal = self.reopen()
        journal.record_accepted(entry(1))
        real, calls = os.write, iter((9, 0))

        def half(fd: int, data: bytes) -> int:
            """The first write takes nine bytes, and the next one fails on a full disk."""
            if length := next(calls):
                return real(fd, data[:length])
            raise OSError(errno.ENOSPC, "No space left on device")

        with mock.patch("os.write", half), self.assertRaises(JournalFull):
            journal.record_accepted(entry(2))
        with mock.patch("os.write", side_effect=OSError("full")), self.assertRaises(JournalFull):
            journal.record_accepted(entry(2))
        journal.record_accepted(entry(3))
        self.assertEqual(set(self.reopen().entries), {1, 3})

    def test_an_attempt_that_could_not_be_written_was_not_made(self) -> None:
        journal = self.reopen()
        journal.record_accepted(entry(1))
        journal.record_attempt(1, 1, 5.0, 0)
        journal.record_outcome(1, 4, may_have_run=False)  # an attempt that has no record either
        expected = [Attempt(5.0, 0, False, settled=True), Attempt(5.0, 0, True)]
        self.assertEqual(self.reopen().entries[1].attempts, expected)


if __name__ == "__main__":
    unittest.main()
