"""Finds records again behind a damaged stretch, and mends those of which one byte is wrong. Without I/O.

A record is its length, the CRC-32 of its payload, and the payload; see `journal.py`. Three things can be wrong:

- its payload or checksum: its length still leads to the next whole record. CRC-32 is linear, so the difference of the
  told and the true checksum says which single byte would explain it (Peterson and Brown 1961); if exactly one does, the
  record is mended, else it is lost, and its bytes are handed on for what can be read of them.
- its length: the next whole record is searched for. If all between gives the told checksum the record is mended.
- more than that: the stretch up to the next whole record is lost.

The end of a file may hold the beginning of a record, of an act that was never made: that is torn and not lost.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

FRAME = struct.Struct(">II")  # length and checksum of what follows
SHORTEST, LARGEST = 9, 1 << 20  # bytes of a payload; a longer one can only be damage
KINDS = 32  # no kind of record has a number as high
_MOST_CHECKED = 64 << 20  # bytes checked in one search: a file made to be slow is not read for ever
_BEGINS = re.compile(rb"(?=\x00[\x00-\x10].{6}[\x01-\x1f])", re.DOTALL)  # length, checksum, kind


@dataclass(frozen=True, slots=True)
class Record:
    """A whole record; `mended` says of what, or is empty."""

    offset: int
    payload: bytes
    repaired: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """A stretch that no record could be read from. `torn`: the end of the file, of an act that was not made.
    `payload`: of one damaged record whose bounds are known."""

    offset: int
    length: int
    torn: bool = False
    payload: bytes = b""


def _made_table() -> list[int]:
    table = []
    for value in range(256):
        for _ in range(8):
            value = value >> 1 ^ (0xEDB88320 if value & 1 else 0)
        table.append(value)
    return table


_TABLE = _made_table()  # what a byte does to the checksum, as its difference
_BYTE_OF = {crc: byte for byte, crc in enumerate(_TABLE) if byte}
_BY_TOP = {crc >> 24: byte for byte, crc in enumerate(_TABLE)}


def repair_record(payload: bytes, checksum: int) -> bytes | None:
    """The payload that this checksum was made of, if a change of exactly one byte, of it or of the checksum, explains
    the difference, and no second one does."""
    difference = zlib.crc32(payload) ^ checksum
    if not difference:
        return payload
    found = []
    if sum(1 for shift in (0, 8, 16, 24) if difference >> shift & 0xFF) == 1:
        found.append(payload)  # the checksum's own byte
    for at in range(len(payload) - 1, -1, -1):
        if change := _BYTE_OF.get(difference):
            found.append(payload[:at] + bytes([payload[at] ^ change]) + payload[at + 1 :])
            if len(found) > 1:
                return None
        byte = _BY_TOP[difference >> 24]  # what the difference was one byte before
        difference = ((difference ^ _TABLE[byte]) << 8 | byte) & 0xFFFFFFFF
    return found[0] if found else None


def _whole(data: bytes, at: int) -> bytes | None:
    """The payload of the record that begins there, if it is whole."""
    if at + FRAME.size > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, at)
    if not SHORTEST <= length <= LARGEST or at + FRAME.size + length > len(data):
        return None
    payload = data[at + FRAME.size : at + FRAME.size + length]
    return payload if zlib.crc32(payload) == checksum and 0 < payload[0] < KINDS else None


def _torn(data: bytes, at: int) -> bool:
    """Whether the data ends there, or in the middle of a record that begins there. Guards a damaged record before a
    torn one: its length is right, and records in its body are no records."""
    if at + FRAME.size > len(data):
        return at == len(data)
    length = int(FRAME.unpack_from(data, at)[0])
    return SHORTEST <= length <= LARGEST and at + FRAME.size + length > len(data)


def _next_whole(data: bytes, start: int) -> int:
    """Where the next whole record begins; the end of the data where there is none."""
    checked = 0
    for found in _BEGINS.finditer(data, start):
        at = found.start()
        checked += min(FRAME.unpack_from(data, at)[0], len(data) - at)
        if _whole(data, at) is not None:
            return at
        if checked > _MOST_CHECKED:
            break
    return len(data)


def records(data: bytes) -> Iterator[Record | Lost]:
    """All that can be read of a file, in its order."""
    at = 0
    while at < len(data):
        payload = _whole(data, at)
        if payload is None:
            found, at = _damaged(data, at)
            yield found
        else:
            yield Record(at, payload)
            at += FRAME.size + len(payload)


def _damaged(data: bytes, at: int) -> tuple[Record | Lost, int]:
    """What stands in place of a whole record, and where it ends."""
    if at + FRAME.size > len(data):
        return Lost(at, len(data) - at, torn=True), len(data)
    length, checksum = FRAME.unpack_from(data, at)
    start, end = at + FRAME.size, at + FRAME.size + length
    plausible = SHORTEST <= length <= LARGEST
    if plausible and end <= len(data) and (_whole(data, end) is not None or _torn(data, end)):
        payload = data[start:end]
        mended = repair_record(payload, checksum)
        if mended is not None and 0 < mended[0] < KINDS:
            return Record(at, mended, "a byte"), end
        return Lost(at, end - at, payload=payload), end
    following = _next_whole(data, at + 1)
    between = data[start:following]
    if len(between) >= SHORTEST and zlib.crc32(between) == checksum and 0 < between[0] < KINDS:
        return Record(at, between, "its length"), following
    torn = following == len(data) and plausible and end > len(data)
    return Lost(at, following - at, torn=torn), following
