"""Segments kept as files: what each tells, and what is left of it after seeded damage.

`corpus/told.json` has for each file who is open, with attempts, ends and doubts. The messages of `usual.log`, of which
most others are damaged copies, are 1 to 12; every third is delivered, 5 has its end, 4 and 8 a second attempt.
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
TOLD = json.loads((CORPUS / "told.json").read_text())


class Corpus(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def opened(self, data: bytes, incarnation: int = 0) -> Journal:
        for path in self.folder.iterdir():
            path.unlink()
        (self.folder / "journal-00000001.log").write_bytes(data)
        return Journal(self.folder, 3e6, incarnation)

    def test_each_file_tells_what_it_told(self) -> None:
        self.assertEqual({path.name for path in FILES}, TOLD.keys())
        for path in FILES:
            with self.subTest(path.name):
                known, told = self.opened(path.read_bytes()), TOLD[path.name]
                entries = known.entries
                self.assertEqual(sorted(entries), told["open"])
                self.assertEqual({str(n): len(one.attempts) for n, one in entries.items()}, told["attempts"])
                for name, chosen in (
                    ("ends", lambda one: one.end),
                    ("doubtful", lambda one: one.doubtful),
                    ("bodiless", lambda one: one.bodiless),
                ):
                    self.assertEqual(sorted(n for n, one in entries.items() if chosen(one)), told[name], name)
                self.assertEqual(
                    (len(known.damage), sum(one.repaired for one in known.damage), known.orphans),
                    (told["stretches"], told["mended"], told["orphans"]),
                )
                known.close()

    def test_after_any_damage_a_journal_opens_serves_and_gives_no_number_again(self) -> None:
        draw = random.Random(17)
        for path in FILES:
            whole = path.read_bytes()
            for n in range(40):
                data = bytearray(whole)
                for _ in range(draw.randrange(1, 4)):
                    at, length = draw.randrange(len(data) + 1), draw.choice((1, 4, 30, 200))
                    what = draw.choice(("bits", "zeros", "cut", "insert", "swap"))
                    if what == "bits":
                        for place in range(at, min(len(data), at + length)):
                            data[place] ^= draw.randrange(1, 256)
                    elif what == "zeros":
                        data[at : at + length] = bytes(len(data[at : at + length]))
                    elif what == "cut":
                        del data[at : at + length]
                    elif what == "insert":
                        data[at:at] = draw.randbytes(length)
                    else:
                        data[at : at + 2 * length] = data[at + length : at + 2 * length] + data[at : at + length]
                with self.subTest(path.name, n=n):
                    known = self.opened(bytes(data), incarnation=3)
                    number = known.next_number
                    self.assertGreaterEqual(number, 3 << 32)
                    self.assertTrue(all(one.deadline == one.deadline for one in known.entries.values()))
                    found = set(known.entries)
                    known.record_accepted(Entry(number, "new", "orders", 7, 5e12, None, b"body"))
                    known.close()
                    again = Journal(self.folder, 3e6, 4)  # what it read it reads again
                    self.assertEqual(set(again.entries), found | {number})
                    again.close()

    def test_records_in_a_body_are_no_records_though_the_end_is_torn(self) -> None:
        data = bytearray((CORPUS / "records-in-a-body.log").read_bytes())
        second = data.rindex(b"\x02\x00\x00\x00\x00\x00\x00\x00\x01") - 8  # where the attempt at message 1 begins
        data[second - 3] ^= 1
        data[second - 2] ^= 1
        for end in range(second + 8, len(data)):
            with self.subTest(end=end):
                known = self.opened(bytes(data[:end]))
                self.assertEqual({n: one.bodiless for n, one in known.entries.items()}, {1: True})
                known.close()

    def test_any_damage_to_what_is_believed_is_seen_or_leaves_it_believable(self) -> None:
        draw = random.Random(18)
        keeper = StateFiles(self.folder)
        keeper.write(b"not beliefs")
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
