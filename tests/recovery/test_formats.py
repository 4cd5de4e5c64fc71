"""What the version before reads of a folder that this one wrote: all of it, since it skips the headers."""

from __future__ import annotations

import struct
import tempfile
import unittest
import zlib
from pathlib import Path

from calicohitch.journal import Entry, Journal


def read_by_format_1(data: bytes) -> dict[int, list[int]]:
    """Kinds of records by message, as the first format's reader goes through them: it stops at what is not whole."""
    kinds: dict[int, list[int]] = {}
    at = 0
    while at + 8 <= len(data):
        length, checksum = struct.unpack_from(">II", data, at)
        payload = data[at + 8 : at + 8 + length]
        if not 9 <= length <= 1 << 20 or len(payload) < length or zlib.crc32(payload) != checksum:
            break
        kind, number = struct.unpack_from(">BQ", payload)
        kinds.setdefault(number, []).append(kind)
        at += 8 + length
    assert at == len(data)
    return kinds


class Before(unittest.TestCase):
    def test_the_first_formats_reader_finds_every_record(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            journal = Journal(Path(name), 3e6, incarnation=1_796_000_000)
            for n in range(3):
                number = journal.next_number
                journal.record_accepted(Entry(number, f"m{n}", "orders", 7, 5e12, "k", b"body"))
                journal.record_attempt(number, 0, 1.0, 0)
            journal.record_closed(number)
            journal.close()
            (path,) = Path(name).glob("journal-*.log")
            first = 1_796_000_000 << 32
            self.assertEqual(
                read_by_format_1(path.read_bytes()), {0: [8], first: [1, 2], first + 1: [1, 2], first + 2: [1, 2, 5]}
            )


if __name__ == "__main__":
    unittest.main()
