"""Reading a damaged journal: only what is damaged is lost, and no message that may have run is treated as new."""

from __future__ import annotations

import random
import struct
import tempfile
import unittest
import zlib
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from calicohitch.interface import Effect, MessageClass
from calicohitch.journal import Attempt, End, Entry, Journal
from calicohitch.recovery.indeterminate import end_of, missing_attempt
from calicohitch.recovery.problems import FolderNewer
from calicohitch.recovery.repair import Lost, Record, repair_record, records

KEYED = MessageClass(Effect.KEYED, aim=2_500_000, deadline=24_000_000, group="all", window=6_000_000)
UNSAFE = MessageClass(Effect.UNSAFE, aim=2_500_000, deadline=24_000_000)
SAFE = MessageClass(Effect.SAFE, aim=1_000_000, deadline=5_000_000)


def entry(number: int, body: bytes = b"body") -> Entry:
    return Entry(number, f"m{number}", "orders", 7, 5e12 + number, f"k{number}", body)


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def journal(self, incarnation: int = 0) -> Journal:
        journal = Journal(self.folder, 3e6, incarnation)
        self.addCleanup(journal.close)
        return journal

    def segments(self) -> list[Path]:
        return sorted(self.folder.glob("journal-*.log"))

    def hundred_open_messages(self) -> tuple[bytes, set[int]]:
        """150 messages with an attempt each, every third delivered: the segment's bytes and the open numbers."""
        journal = self.journal()
        for number in range(1, 151):
            journal.record_accepted(entry(number, bytes(40)))
            journal.record_attempt(number, 0, 1_000.0 + number, 0)
            if number % 3 == 0:
                journal.record_closed(number)
        journal.close()
        (path,) = self.segments()
        return path.read_bytes(), {n for n in range(1, 151) if n % 3}


class OneByte(Folder):
    def test_one_changed_byte_loses_no_message_and_reopens_none(self) -> None:
        data, still_open = self.hundred_open_messages()
        draw = random.Random(23)
        for _ in range(60):
            offset, change = draw.randrange(len(data)), draw.randrange(1, 256)
            with self.subTest(offset=offset, change=change):
                (path,) = self.segments()
                path.write_bytes(data[:offset] + bytes([data[offset] ^ change]) + data[offset + 1 :])
                reopened = self.journal()
                self.assertEqual(set(reopened.entries), still_open)
                self.assertTrue(all(len(item.attempts) == 1 for item in reopened.entries.values()))
                self.assertEqual(len(reopened.damage), 1)

    @given(st.binary(min_size=9, max_size=300), st.data())
    def test_a_changed_byte_is_repaired_from_the_checksum(self, payload: bytes, data: st.DataObject) -> None:
        checksum = zlib.crc32(payload)
        offset, change = data.draw(st.integers(0, len(payload) - 1)), data.draw(st.integers(1, 255))
        changed = payload[:offset] + bytes([payload[offset] ^ change]) + payload[offset + 1 :]
        self.assertEqual(repair_record(changed, checksum), payload)
        self.assertEqual(repair_record(payload, checksum ^ change << 8 * (offset % 4)), payload)


class Stretches(Folder):
    def test_only_records_in_the_stretch_are_lost_and_open_messages_are_doubtful(self) -> None:
        data, still_open = self.hundred_open_messages()
        draw = random.Random(5)
        for _ in range(25):
            offset, length = draw.randrange(60, len(data) - 700), draw.choice((2, 16, 90, 512))
            with self.subTest(offset=offset, length=length):
                (path,) = self.segments()
                path.write_bytes(
                    data[:offset]
                    + bytes(255 - byte for byte in data[offset : offset + length])
                    + data[offset + length :]
                )
                reopened = self.journal()
                lost_records = sum(item.length for item in reopened.damage) // 60 + 2  # upper bound
                self.assertLessEqual(len(still_open - set(reopened.entries)), lost_records)
                reappeared = set(reopened.entries) - still_open  # their ends were lost: they must not be sent as new
                self.assertLessEqual(len(reappeared), lost_records)
                for number in reappeared:
                    item = reopened.entries[number]
                    self.assertTrue(
                        item.doubtful and (item.attempts or missing_attempt(item, KEYED)) or item.bodiless, item
                    )
                self.assertGreaterEqual(reopened.next_number, 150)

    def test_a_message_whose_body_is_lost_is_ended(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        journal.record_accepted(entry(2, bytes(3_000)))
        journal.record_accepted(entry(3))
        journal.close()
        (path,) = self.segments()
        data = bytearray(path.read_bytes())
        middle = len(data) // 2
        data[middle : middle + 512] = b"\xff" * 512
        path.write_bytes(data)
        reopened = self.journal()
        self.assertEqual(
            [(e.number, e.id, e.bodiless, e.doubtful) for e in reopened.entries.values()],
            [(1, "m1", False, True), (2, "m2", True, True), (3, "m3", False, False)],
        )
        second = reopened.entries[2]
        self.assertEqual(end_of(second, KEYED), End(True))
        self.assertEqual(end_of(second, UNSAFE), End(False))
        reopened.record_closed(2)
        self.assertEqual(set(self.journal().entries), {1, 3})  # also after the damaged segment is read again

    def test_a_lost_message_with_later_records_is_counted_as_orphan(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        first_end = self.segments()[0].stat().st_size
        journal.record_accepted(entry(2))
        journal.record_attempt(2, 0, 5.0, 0)
        journal.close()
        (path,) = self.segments()
        data = bytearray(path.read_bytes())
        data[first_end : first_end + 30] = bytes(30)
        path.write_bytes(data)
        reopened = self.journal(incarnation=3)
        self.assertEqual((set(reopened.entries), reopened.orphans), ({1}, 1))
        self.assertGreaterEqual(reopened.next_number, 3 << 32)  # its number is not reused

    def test_quarantined_segments_are_bounded_in_number_and_size(self) -> None:
        for _ in range(8):
            journal = self.journal()
            journal.record_accepted(entry(journal.next_number))
            journal.record_accepted(entry(journal.next_number))
            journal.close()
            path = self.segments()[-1]
            path.write_bytes(path.read_bytes()[:-9] + b"123456789" + bytes(12))
            reopened = self.journal()
            for number in list(reopened.entries):
                reopened.record_closed(number)
            reopened.close()
        quarantined = list(self.folder.glob("damaged-*"))
        self.assertTrue(1 <= len(quarantined) <= 4, quarantined)
        self.assertLess(sum(path.stat().st_size for path in quarantined), 3e6 * 0.05)


class Files(Folder):
    """Files that are no valid segments, or not in their place."""

    def test_files_without_valid_records_and_doubled_ones(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        journal.record_closed(1)
        journal.record_accepted(entry(2))
        journal.close()
        (good,) = self.segments()
        cases = {
            "empty": b"",
            "zeros": bytes(5_000),
            "a length of 4 GB": b"\xff" * 8 + bytes(50),
            "doubled": good.read_bytes(),
            "text": b"not a journal at all\n" * 40,
        }
        for name, data in cases.items():
            with self.subTest(name):
                (self.folder / "journal-00000007.log").write_bytes(data)
                reopened = self.journal()
                self.assertEqual(set(reopened.entries), {2})
                self.assertEqual(reopened.entries[2].body, b"body")
                reopened.record_accepted(entry(reopened.next_number))
                reopened.record_closed(reopened.next_number - 1)
                reopened.close()
                for path in self.segments():
                    if path != good:
                        path.unlink()

    def test_files_that_are_not_segments_are_not_changed(self) -> None:
        (self.folder / "journal-notes.log").write_text("mine")
        (self.folder / "journal-00000003.log").mkdir()
        reopened = self.journal()
        reopened.record_accepted(entry(1))
        self.assertEqual(
            [damage.what for damage in reopened.damage], ["it cannot be read (Is a directory) and is left as it is"]
        )
        self.assertEqual((self.folder / "journal-notes.log").read_text(), "mine")
        self.assertEqual(set(self.journal().entries), {1})

    def test_segments_with_swapped_names(self) -> None:
        journal = Journal(self.folder, 100_000.0)  # small segments
        for number in range(1, 60):
            journal.record_accepted(entry(number, bytes(200)))
        for number in range(1, 60):
            journal.record_attempt(number, 0, 9.0, 0)
        journal.close()
        paths = self.segments()
        self.assertGreater(len(paths), 3)
        swapped = [path.read_bytes() for path in paths][::-1]
        for path, data in zip(paths, swapped, strict=True):
            path.write_bytes(data)
        reopened = Journal(self.folder, 100_000.0)
        self.addCleanup(reopened.close)
        self.assertEqual({n: len(e.attempts) for n, e in reopened.entries.items()}, dict.fromkeys(range(1, 60), 1))

    def test_a_newer_format_is_refused_and_not_changed(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        journal.close()
        (path,) = self.segments()
        payload = struct.pack(">BQHQI", 8, 0, 99, 0, 1)
        data = struct.pack(">II", len(payload), zlib.crc32(payload)) + payload + path.read_bytes()
        path.write_bytes(data)
        with self.assertRaisesRegex(FolderNewer, "format 99"):
            self.journal()
        self.assertEqual(path.read_bytes(), data)

    def test_files_of_the_first_format_are_read(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        journal.record_attempt(1, 0, 7.0, 0)
        journal.close()
        (path,) = self.segments()
        found = [record for record in records(path.read_bytes()) if isinstance(record, Record)]
        path.write_bytes(path.read_bytes()[found[1].offset :])  # the first format has no header
        reopened = self.journal()
        self.assertEqual([e.attempts for e in reopened.entries.values()], [[Attempt(7.0, 0)]])


class MissingAttempts(unittest.TestCase):
    def test_a_missing_attempt_counts_from_the_earliest_possible_time(self) -> None:
        damaged = Entry(1, "m", "orders", 7, 100_000.0, "k", b"", doubtful=True, complete_until=80_000.0)
        self.assertEqual(missing_attempt(damaged, KEYED), Attempt(80_000.0, 0))
        damaged.complete_until = 70_000.0  # it was accepted 24 s before its deadline at the earliest
        self.assertEqual(missing_attempt(damaged, KEYED), Attempt(76_000.0, 0))
        damaged.attempts.append(Attempt(75_000.0, 1))  # a known attempt that limits it at least as much
        self.assertIsNone(missing_attempt(damaged, KEYED))
        damaged.attempts[0].may_have_run = False
        self.assertEqual(missing_attempt(damaged, SAFE), Attempt(95_000.0, 0))
        damaged.doubtful = False
        self.assertIsNone(missing_attempt(damaged, KEYED))


class Fuzz(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=60),
                st.sampled_from([struct.pack(">II", 9, 0) + bytes(9), bytes(40), b"\x00\x0f" * 30, b"\xff" * 20]),
            )
        )
    )
    def test_any_bytes_are_read_to_the_end(self, parts: list[bytes]) -> None:
        data = b"".join(parts)
        offset = 0
        for item in records(data):
            self.assertEqual(item.offset, offset)
            offset += item.length if isinstance(item, Lost) else 8 + len(item.payload)
        self.assertEqual(offset, len(data))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 6_000), st.binary(min_size=1, max_size=40)), min_size=1, max_size=6))
    def test_after_any_damage_a_journal_opens_and_accepts_messages(self, changes: list[tuple[int, bytes]]) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            journal = Journal(folder, 3e6)
            for number in range(1, 30):
                journal.record_accepted(entry(number))
                journal.record_attempt(number, 0, 3.0, 0)
                if number % 2:
                    journal.record_closed(number)
            journal.close()
            (path,) = folder.glob("journal-*.log")
            data = bytearray(path.read_bytes())
            for offset, new in changes:
                data[offset : offset + len(new)] = new
            path.write_bytes(data)
            reopened = Journal(folder, 3e6)
            for item in reopened.entries.values():
                if item.number % 2 and not item.end:
                    self.assertTrue(item.doubtful or item.attempts or item.bodiless, item)
            reopened.record_accepted(entry(reopened.next_number))
            reopened.close()
            opened_again = Journal(folder, 3e6)
            self.assertEqual(set(opened_again.entries), set(reopened.entries) | {reopened.next_number - 1})
            opened_again.close()


if __name__ == "__main__":
    unittest.main()
