"""The reader of the first journal format reads every record that this version writes, since it skips the headers."""

from __future__ import annotations

import struct
import tempfile
import unittest
import zlib
from pathlib import Path

from calicohitch.journal import Entry, Journal


def read_by_format_1(data: bytes) -> dict[int, list[int]]:
    """Record kinds by message number, as the first format's reader finds them; it stops at the first invalid record."""
    kinds: dict[int, list[int]] = {}
    offset = 0
    while offset + 8 <= len(data):
        length, checksum = struct.unpack_from(">II", data, offset)
        payload = data[offset + 8 : offset + 8 + length]
        if not 9 <= length <= 1 << 20 or len(payload) < length or zlib.crc32(payload) != checksum:
            break
        kind, number = struct.unpack_from(">BQ", payload)
        kinds.setdefault(number, []).append(kind)
        offset += 8 + length
    assert offset == len(data)
    return kinds


class FirstFormat(unittest.TestCase):
    def test_first_format_reader_finds_every_record(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            journal = Journal(Path(name), 3e6, incarnation=1_796_000_000)
            for index in range(3):
                number = journal.next_number
                journal.record_accepted(Entry(number, f"m{index}", "orders", 7, 5e12, "k", b"body"))
                journal.record_attempt(number, 0, 1.0, 0)
            journal.record_closed(number)
            journal.close()
            (path,) = Path(name).glob("journal-*.log")
            first_number = 1_796_000_000 << 32
            self.assertEqual(
                read_by_format_1(path.read_bytes()),
                {0: [8], first_number: [1, 2], first_number + 1: [1, 2], first_number + 2: [1, 2, 5]},
            )


if __name__ == "__main__":
    unittest.main()
