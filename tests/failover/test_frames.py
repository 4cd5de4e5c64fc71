"""What goes over copy links, and what does not."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from calicohitch.failover import frames
from calicohitch.failover.frames import LONGEST, Ack, BadFrame, Beat, Begin, Hello, Reader, Record, Whole, encode

ALL: list[frames.Frame] = [
    Hello(1, "f", "r0", 3, 4, "r1", 12.5),
    frames.Welcome(1, "r1", 2, "ab"),
    Begin(1, 0),
    Record(2, 0, b"\x00" * 70_000),
    Whole(3, 0),
    frames.Drop(4, 1),
    frames.Wait(5, -3, 99.0),
    Beat(13.0, 1.0),
    Ack(5, 13.0, 14.0),
    frames.Full(1, "no"),
    frames.Denied("why"),
]


class Frames(unittest.TestCase):
    def test_what_is_written_is_read_however_it_is_cut(self) -> None:
        data = b"".join(map(encode, ALL))
        for size in (1, 3, 1_000, len(data)):
            reader, found = Reader(), []
            for at in range(0, len(data), size):
                found += reader.feed(data[at : at + size])
            self.assertEqual(found, ALL)

    def test_what_is_none_ends_the_link(self) -> None:
        def framed(value: object) -> bytes:
            body = msgspec.msgpack.encode(value)
            return len(body).to_bytes(4, "big") + body

        cases = {
            "of 0 bytes": b"\0\0\0\0",
            "of 4294967295 bytes": b"\xff\xff\xff\xff",
            "at most": (LONGEST + 1).to_bytes(4, "big"),
            "cannot be read": b"\0\0\0\1\xc1",
            "Invalid value 99": framed([99, 1]),
            "Expected `int`": framed([4, "1", 0]),
            "at least length": framed([6, 1]),
            "Expected `array`": framed({"seq": 1}),
        }
        for why, data in cases.items():
            with self.subTest(why), self.assertRaisesRegex(BadFrame, why):
                Reader().feed(data)
        for first, second in ((Begin(5, 0), Begin(5, 0)), (Record(5, 0, b""), Whole(4, 0))):
            reader = Reader()
            reader.feed(encode(first))
            with self.assertRaisesRegex(BadFrame, "doubled, or out of order"):
                reader.feed(encode(second))

    def test_fields_of_a_newer_program_are_skipped(self) -> None:
        body = msgspec.msgpack.encode([9, 13.0, 1.0, "newer", {"more": 1}])
        self.assertEqual(Reader().feed(len(body).to_bytes(4, "big") + body), [Beat(13.0, 1.0)])

    @given(st.binary(max_size=400))
    def test_any_bytes_are_frames_or_bad(self, data: bytes) -> None:
        reader = Reader()
        try:
            for at in range(0, len(data), 7):
                reader.feed(data[at : at + 7])
        except BadFrame:
            return
        self.assertLessEqual(len(reader._data), LONGEST + 4)

    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_any_changed_byte_is_a_frame_or_bad(self, at: int, value: int) -> None:
        data = bytearray(b"".join(map(encode, [*ALL[:3], *ALL[4:]])))
        data[at % len(data)] = value
        try:
            Reader().feed(bytes(data))
        except BadFrame:
            pass


if __name__ == "__main__":
    unittest.main()
