"""What a damaged journal still tells: nothing is lost beside the damage, and nothing that ran is taken for new."""

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

    def hundred(self) -> tuple[bytes, set[int]]:
        """100 messages with an attempt each, and every third of another hundred delivered; the segment, who is open."""
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
    def test_a_flipped_byte_costs_no_message_and_brings_none_back(self) -> None:
        data, still_open = self.hundred()
        draw = random.Random(23)
        for _ in range(60):
            at, change = draw.randrange(len(data)), draw.randrange(1, 256)
            with self.subTest(at=at, change=change):
                (path,) = self.segments()
                path.write_bytes(data[:at] + bytes([data[at] ^ change]) + data[at + 1 :])
                known = self.journal()
                self.assertEqual(set(known.entries), still_open)
                self.assertTrue(all(len(one.attempts) == 1 for one in known.entries.values()))
                self.assertEqual(len(known.damage), 1)

    @given(st.binary(min_size=9, max_size=300), st.data())
    def test_a_changed_byte_is_found_by_the_checksum_alone(self, payload: bytes, data: st.DataObject) -> None:
        checksum = zlib.crc32(payload)
        at, change = data.draw(st.integers(0, len(payload) - 1)), data.draw(st.integers(1, 255))
        changed = payload[:at] + bytes([payload[at] ^ change]) + payload[at + 1 :]
        self.assertEqual(repair_record(changed, checksum), payload)
        self.assertEqual(repair_record(payload, checksum ^ change << 8 * (at % 4)), payload)


class Stretches(Folder):
    def test_only_what_stood_in_a_stretch_is_lost_and_who_was_open_is_doubtful(self) -> None:
        data, still_open = self.hundred()
        draw = random.Random(5)
        for _ in range(25):
            at, length = draw.randrange(60, len(data) - 700), draw.choice((2, 16, 90, 512))
            with self.subTest(at=at, length=length):
                (path,) = self.segments()
                path.write_bytes(data[:at] + bytes(255 - byte for byte in data[at : at + length]) + data[at + length :])
                known = self.journal()
                stretch = sum(one.length for one in known.damage) // 60 + 2  # records that can have stood in it
                self.assertLessEqual(len(still_open - set(known.entries)), stretch)
                back = set(known.entries) - still_open  # their ends were lost: they may not go as new
                self.assertLessEqual(len(back), stretch)
                for number in back:
                    one = known.entries[number]
                    self.assertTrue(one.doubtful and (one.attempts or missing_attempt(one, KEYED)) or one.bodiless, one)
                self.assertGreaterEqual(known.next_number, 150)

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
        known = self.journal()
        self.assertEqual(
            [(e.number, e.id, e.bodiless, e.doubtful) for e in known.entries.values()],
            [(1, "m1", False, True), (2, "m2", True, True), (3, "m3", False, False)],
        )
        second = known.entries[2]
        self.assertEqual(end_of(second, KEYED), End(True))
        self.assertEqual(end_of(second, UNSAFE), End(False))
        known.record_closed(2)
        self.assertEqual(set(self.journal().entries), {1, 3})  # also when the damage is read again

    def test_a_lost_message_with_later_records_is_counted(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        first = self.segments()[0].stat().st_size
        journal.record_accepted(entry(2))
        journal.record_attempt(2, 0, 5.0, 0)
        journal.close()
        (path,) = self.segments()
        data = bytearray(path.read_bytes())
        data[first : first + 30] = bytes(30)
        path.write_bytes(data)
        known = self.journal(incarnation=3)
        self.assertEqual((set(known.entries), known.orphans), ({1}, 1))
        self.assertGreaterEqual(known.next_number, 3 << 32)  # its number is not used again

    def test_damaged_segments_are_kept_aside_within_a_bound(self) -> None:
        for _ in range(8):
            journal = self.journal()
            journal.record_accepted(entry(journal.next_number))
            journal.record_accepted(entry(journal.next_number))
            journal.close()
            path = self.segments()[-1]
            path.write_bytes(path.read_bytes()[:-9] + b"123456789" + bytes(12))
            known = self.journal()
            for number in list(known.entries):
                known.record_closed(number)
            known.close()
        kept = list(self.folder.glob("damaged-*"))
        self.assertTrue(1 <= len(kept) <= 4, kept)
        self.assertLess(sum(path.stat().st_size for path in kept), 3e6 * 0.05)


class Files(Folder):
    """Whole files that are not what they should be."""

    def test_files_of_every_bad_kind(self) -> None:
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
                known = self.journal()
                self.assertEqual(set(known.entries), {2})
                self.assertEqual(known.entries[2].body, b"body")
                known.record_accepted(entry(known.next_number))
                known.record_closed(known.next_number - 1)
                known.close()
                for path in self.segments():
                    if path != good:
                        path.unlink()

    def test_files_that_are_no_segments_are_left_alone(self) -> None:
        (self.folder / "journal-notes.log").write_text("mine")
        (self.folder / "journal-00000003.log").mkdir()
        known = self.journal()
        known.record_accepted(entry(1))
        self.assertEqual(
            [one.what for one in known.damage], ["it cannot be read (Is a directory) and is left as it is"]
        )
        self.assertEqual((self.folder / "journal-notes.log").read_text(), "mine")
        self.assertEqual(set(self.journal().entries), {1})

    def test_segments_under_each_others_names(self) -> None:
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
        known = Journal(self.folder, 100_000.0)
        self.addCleanup(known.close)
        self.assertEqual({n: len(e.attempts) for n, e in known.entries.items()}, dict.fromkeys(range(1, 60), 1))

    def test_a_newer_format_is_refused_and_left_as_it_is(self) -> None:
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

    def test_files_of_the_first_format(self) -> None:
        journal = self.journal()
        journal.record_accepted(entry(1))
        journal.record_attempt(1, 0, 7.0, 0)
        journal.close()
        (path,) = self.segments()
        found = [one for one in records(path.read_bytes()) if isinstance(one, Record)]
        path.write_bytes(path.read_bytes()[found[1].offset :])  # what was written before there were headers
        known = self.journal()
        self.assertEqual([e.attempts for e in known.entries.values()], [[Attempt(7.0, 0)]])


class Doubts(unittest.TestCase):
    def test_what_is_missing_counts_from_the_earliest_time_it_can_have_been(self) -> None:
        one = Entry(1, "m", "orders", 7, 100_000.0, "k", b"", doubtful=True, complete_until=80_000.0)
        self.assertEqual(missing_attempt(one, KEYED), Attempt(80_000.0, 0))
        one.complete_until = 70_000.0  # it was taken on 24 s before its deadline at the earliest
        self.assertEqual(missing_attempt(one, KEYED), Attempt(76_000.0, 0))
        one.attempts.append(Attempt(75_000.0, 1))  # a known one that is as bad
        self.assertIsNone(missing_attempt(one, KEYED))
        one.attempts[0].may_have_run = False
        self.assertEqual(missing_attempt(one, SAFE), Attempt(95_000.0, 0))
        one.doubtful = False
        self.assertIsNone(missing_attempt(one, KEYED))


class Fuzzed(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=60),
                st.sampled_from([struct.pack(">II", 9, 0) + bytes(9), bytes(40), b"\x00\x0f" * 30, b"\xff" * 20]),
            )
        )
    )
    def test_any_bytes_are_read_to_their_end(self, parts: list[bytes]) -> None:
        data = b"".join(parts)
        at = 0
        for one in records(data):
            self.assertEqual(one.offset, at)
            at += one.length if isinstance(one, Lost) else 8 + len(one.payload)
        self.assertEqual(at, len(data))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 6_000), st.binary(min_size=1, max_size=40)), min_size=1, max_size=6))
    def test_any_damage_leaves_a_journal_that_opens_and_goes_on(self, changes: list[tuple[int, bytes]]) -> None:
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
            for at, new in changes:
                data[at : at + len(new)] = new
            path.write_bytes(data)
            known = Journal(folder, 3e6)
            for one in known.entries.values():
                if one.number % 2 and not one.end:
                    self.assertTrue(one.doubtful or one.attempts or one.bodiless, one)
            known.record_accepted(entry(known.next_number))
            known.close()
            again = Journal(folder, 3e6)
            self.assertEqual(set(again.entries), set(known.entries) | {known.next_number - 1})
            again.close()


if __name__ == "__main__":
    unittest.main()
