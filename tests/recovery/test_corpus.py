"""Journal segments stored as files: what is read of each, and of each after seeded damage.

`corpus/told.json` has for each file the open messages with their attempts, and which of them are ended, doubtful or
without a body. The messages of `usual.log`, of which most other files are damaged copies, are 1 to 12; every third is
delivered, 5 has its end recorded, 4 and 8 have a second attempt.
"""

from __future__ import annotations

import json
import random
import tempfile
import unittest
from pathlib import Path

from calicohitch.journal import Entry, Journal
from calicohitch.recovery.cached_state import MAX_STATE_BYTES, InvalidCachedState, decode
from calicohitch.recovery.state_files import StateFiles

CORPUS = Path(__file__).parent / "corpus"
FILES = sorted(CORPUS.glob("*.log"))
EXPECTED = json.loads((CORPUS / "told.json").read_text())


class Corpus(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def open_journal(self, data: bytes, incarnation: int = 0) -> Journal:
        for path in self.folder.iterdir():
            path.unlink()
        (self.folder / "journal-00000001.log").write_bytes(data)
        return Journal(self.folder, 3e6, incarnation)

    def test_each_file_is_read_as_expected(self) -> None:
        self.assertEqual({path.name for path in FILES}, EXPECTED.keys())
        for path in FILES:
            with self.subTest(path.name):
                journal, expected = self.open_journal(path.read_bytes()), EXPECTED[path.name]
                entries = journal.entries
                self.assertEqual(sorted(entries), expected["open"])
                self.assertEqual({str(n): len(item.attempts) for n, item in entries.items()}, expected["attempts"])
                for name, selected in (
                    ("ends", lambda item: item.end),
                    ("doubtful", lambda item: item.doubtful),
                    ("bodiless", lambda item: item.bodiless),
                ):
                    self.assertEqual(sorted(n for n, item in entries.items() if selected(item)), expected[name], name)
                self.assertEqual(
                    (len(journal.damage), sum(item.repaired for item in journal.damage), journal.orphans),
                    (expected["stretches"], expected["mended"], expected["orphans"]),
                )
                journal.close()

    def test_after_any_damage_a_journal_opens_accepts_messages_and_reuses_no_number(self) -> None:
        draw = random.Random(17)
        for path in FILES:
            whole = path.read_bytes()
            for n in range(40):
                data = bytearray(whole)
                for _ in range(draw.randrange(1, 4)):
                    start, length = draw.randrange(len(data) + 1), draw.choice((1, 4, 30, 200))
                    damage = draw.choice(("bits", "zeros", "cut", "insert", "swap"))
                    if damage == "bits":
                        for offset in range(start, min(len(data), start + length)):
                            data[offset] ^= draw.randrange(1, 256)
                    elif damage == "zeros":
                        data[start : start + length] = bytes(len(data[start : start + length]))
                    elif damage == "cut":
                        del data[start : start + length]
                    elif damage == "insert":
                        data[start:start] = draw.randbytes(length)
                    else:
                        data[start : start + 2 * length] = (
                            data[start + length : start + 2 * length] + data[start : start + length]
                        )
                with self.subTest(path.name, n=n):
                    journal = self.open_journal(bytes(data), incarnation=3)
                    number = journal.next_number
                    self.assertGreaterEqual(number, 3 << 32)
                    self.assertTrue(all(entry.deadline == entry.deadline for entry in journal.entries.values()))
                    found = set(journal.entries)
                    journal.record_accepted(Entry(number, "new", "orders", 7, 5e12, None, b"body"))
                    journal.close()
                    reopened = Journal(self.folder, 3e6, 4)  # reads the same messages again
                    self.assertEqual(set(reopened.entries), found | {number})
                    reopened.close()

    def test_record_bytes_in_a_body_are_not_read_as_records_before_a_torn_end(self) -> None:
        data = bytearray((CORPUS / "records-in-a-body.log").read_bytes())
        second = data.rindex(b"\x02\x00\x00\x00\x00\x00\x00\x00\x01") - 8  # where the attempt at message 1 begins
        data[second - 3] ^= 1
        data[second - 2] ^= 1
        for end in range(second + 8, len(data)):
            with self.subTest(end=end):
                journal = self.open_journal(bytes(data[:end]))
                self.assertEqual({n: entry.bodiless for n, entry in journal.entries.items()}, {1: True})
                journal.close()

    def test_damage_to_the_cached_state_is_detected(self) -> None:
        draw = random.Random(18)
        state_files = StateFiles(self.folder)
        state_files.write(b"not beliefs")
        with self.assertRaises(InvalidCachedState):
            StateFiles(self.folder).read()
        for _ in range(300):
            with self.assertRaises(InvalidCachedState):
                decode(draw.randbytes(draw.randrange(200)))
        (self.folder / "beliefs-0").write_bytes(b"%016x %08x " % (9, 3 * MAX_STATE_BYTES) + b"x")
        with self.assertRaises(InvalidCachedState):
            StateFiles(self.folder).read()


if __name__ == "__main__":
    unittest.main()
