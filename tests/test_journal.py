"""What the journal keeps, at every byte that a process may end at."""

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


class Kept(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def again(self) -> Journal:
        journal = Journal(self.folder, 3e6)
        self.addCleanup(journal.close)
        return journal

    def test_all_that_is_known_of_an_open_message_comes_back(self) -> None:
        journal = self.again()
        for number in (1, 2, 3):
            journal.record_accepted(entry(number, bytes(range(256))))
        journal.record_attempt(1, 0, 123.25, 1)
        journal.record_attempt(1, 1, 456.5, 0)
        journal.record_outcome(1, 0, may_have_run=False)
        journal.record_end(2, End(True, 250.0))
        journal.record_closed(3)
        known = self.again()
        first = entry(1, bytes(range(256)))
        first.attempts = [Attempt(123.25, 1, False, settled=True), Attempt(456.5, 0, True)]
        second = entry(2, bytes(range(256)))
        second.end = End(True, 250.0)
        self.assertEqual(known.entries, {1: first, 2: second})
        self.assertEqual(known.next_number, 4)

    def test_a_segment_that_could_not_be_written_is_left_for_another(self) -> None:
        """A segment that met a full disk, or whose half record could not be cut off, was tried for ever."""
        real = os.write
        for cut_works in (True, False):
            with self.subTest(cut_works=cut_works):
                journal = self.again()
                journal.record_accepted(entry(journal.next_number))
                before, (fd, first) = journal.next_number, (journal._fd, journal._segments[-1].path)

                tried: list[int] = []

                def half(to: int, data: bytes, fd: int = fd, tried: list[int] = tried) -> int:
                    if to != fd:
                        return real(to, data)
                    tried.append(to)
                    if len(tried) > 1:
                        raise OSError(errno.ENOSPC, "No space left on device")
                    return real(to, data[: len(data) // 2])

                cut = os.ftruncate if cut_works else mock.Mock(side_effect=OSError(errno.EIO, "gone"))
                with mock.patch.object(os, "write", half), mock.patch.object(os, "ftruncate", cut):
                    with self.assertRaises(JournalFull):
                        journal.record_accepted(entry(before))
                    journal.record_accepted(entry(before + 1))  # the next segment takes it
                journal.record_attempt(before + 1, 0, 12.0, 0)
                self.assertNotEqual(journal._segments[-1].path, first)
                known = self.again()
                self.assertIn(before + 1, known.entries)
                self.assertEqual(known.entries[before + 1].attempts, [Attempt(12.0, 0)])
                self.assertNotIn(before, known.entries)

    def test_a_torn_tail_is_left_out_wherever_it_tears(self) -> None:
        journal = self.again()
        journal.record_accepted(entry(1))
        (path,) = self.folder.iterdir()
        whole = path.stat().st_size
        journal.record_accepted(entry(2))
        data = path.read_bytes()
        for end in range(whole, len(data) + 1):
            with self.subTest(end=end):
                path.write_bytes(data[:end])
                known = self.again()
                self.assertEqual(set(known.entries), {1, 2} if end == len(data) else {1})
                self.assertEqual(path.stat().st_size, end)
        path.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))  # as long as it was, but not what was written: mended
        mended = self.again()
        self.assertEqual({number: known.body for number, known in mended.entries.items()}, {1: b"body", 2: b"body"})
        self.assertEqual([one.repaired for one in mended.damage], [True])

    def test_segments_go_once_nothing_in_them_is_open(self) -> None:
        journal = self.again()
        for number in range(1, 2_000):
            journal.record_accepted(entry(number, bytes(1_000)))
            journal.record_attempt(number, 0, 1.0, 0)
            if number > 20:
                journal.record_closed(number - 20)
        self.assertLess(journal.used(), 500_000)
        self.assertLess(sum(path.stat().st_size for path in self.folder.iterdir()), 500_000)
        known = self.again()
        self.assertEqual(set(known.entries), set(range(1_980, 2_000)))
        for number in list(known.entries):
            known.record_closed(number)
        self.assertEqual(self.again().entries, {})

    def test_room_for_ends_is_kept(self) -> None:
        journal = Journal(self.folder, 1e6)
        self.addCleanup(journal.close)
        taken = 0
        while journal.has_room(65_536):
            taken += 1
            journal.record_accepted(entry(taken, bytes(65_536)))
        for number in range(1, taken + 1):
            for attempt in range(8):
                journal.record_attempt(number, attempt, 1.0, 0)
                journal.record_outcome(number, attempt, may_have_run=True)
            journal.record_end(number, End(True, 1.0))
        self.assertGreater(taken, 5)
        self.assertLess(journal.used(), 800_000)

    def test_half_a_record_is_taken_back(self) -> None:
        journal = self.again()
        journal.record_accepted(entry(1))
        real, calls = os.write, iter((9, 0))

        def half(fd: int, data: bytes) -> int:
            """The first write takes nine bytes, and the disk is full at the next."""
            if most := next(calls):
                return real(fd, data[:most])
            raise OSError(errno.ENOSPC, "No space left on device")

        with mock.patch("os.write", half), self.assertRaises(JournalFull):
            journal.record_accepted(entry(2))
        with mock.patch("os.write", side_effect=OSError("full")), self.assertRaises(JournalFull):
            journal.record_accepted(entry(2))
        journal.record_accepted(entry(3))
        self.assertEqual(set(self.again().entries), {1, 3})

    def test_an_attempt_that_could_not_be_written_was_not_made(self) -> None:
        journal = self.again()
        journal.record_accepted(entry(1))
        journal.record_attempt(1, 1, 5.0, 0)
        journal.record_outcome(1, 4, may_have_run=False)  # of an attempt that is not there either
        made = [Attempt(5.0, 0, False, settled=True), Attempt(5.0, 0, True)]
        self.assertEqual(self.again().entries[1].attempts, made)


if __name__ == "__main__":
    unittest.main()
