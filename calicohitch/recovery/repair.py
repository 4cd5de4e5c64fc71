"""Finds the records after a damaged stretch, and repairs records with one wrong byte. No I/O.

A record is its length, the CRC-32 of its payload, and the payload; see `journal.py`. Three kinds of damage:

- payload or checksum: the length still leads to the next valid record. CRC-32 is linear, so the difference between the
  stored and the computed checksum tells which single changed byte would explain it (Peterson and Brown 1961). If
  exactly one does, the record is repaired. Otherwise it is lost, and its bytes are returned for what can be read of
  them.
- length: the next valid record is searched for. If the bytes before it match the stored checksum, the record is
  repaired.
- more than that: the stretch up to the next valid record is lost.

The end of a file may hold the beginning of a record whose write was cut; the relay never acted on it. It is torn, which
is not a loss.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

FRAME = struct.Struct(">II")  # length and checksum of the payload that follows
MIN_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES = 9, 1 << 20  # a length outside of these can only be damage
KIND_LIMIT = 32  # every record kind is below it
_MAX_SEARCH_BYTES = 64 << 20  # checksummed in one search: bounds the time for a file of many false headers
_RECORD_START = re.compile(
    rb"(?=\x00[\x00-\x10].{6}[\x01-\x1f])", re.DOTALL
)  # high bytes of the length, checksum, kind


@dataclass(frozen=True, slots=True)
class Record:
    """A valid record; `repaired`: what of it was repaired, or empty."""

    offset: int
    payload: bytes
    repaired: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """A stretch without a valid record. `torn`: the end of the file, a record whose write was cut. `payload`: that of a
    single damaged record whose bounds are known."""

    offset: int
    length: int
    torn: bool = False
    payload: bytes = b""


def _make_crc_table() -> list[int]:
    table = []
    for value in range(256):
        for _ in range(8):
            value = value >> 1 ^ (0xEDB88320 if value & 1 else 0)
        table.append(value)
    return table


_CRC_TABLE = _make_crc_table()  # the difference that a changed last byte makes to the checksum
_BYTE_BY_CRC = {crc: byte for byte, crc in enumerate(_CRC_TABLE) if byte}
_BYTE_BY_TOP_BYTE = {crc >> 24: byte for byte, crc in enumerate(_CRC_TABLE)}


def repair_record(payload: bytes, checksum: int) -> bytes | None:
    """The payload that has this checksum, if exactly one change of one byte, in the payload or in the checksum,
    explains the difference, or none is needed; None otherwise."""
    difference = zlib.crc32(payload) ^ checksum
    if not difference:
        return payload
    found = []
    if sum(1 for shift in (0, 8, 16, 24) if difference >> shift & 0xFF) == 1:
        found.append(payload)  # the wrong byte is in the checksum
    for offset in range(len(payload) - 1, -1, -1):
        if change := _BYTE_BY_CRC.get(difference):
            found.append(payload[:offset] + bytes([payload[offset] ^ change]) + payload[offset + 1 :])
            if len(found) > 1:
                return None
        byte = _BYTE_BY_TOP_BYTE[difference >> 24]  # steps the difference back by one byte
        difference = ((difference ^ _CRC_TABLE[byte]) << 8 | byte) & 0xFFFFFFFF
    return found[0] if found else None


def _valid_payload(data: bytes, offset: int) -> bytes | None:
    """The payload of the record at `offset`, if it is valid."""
    if offset + FRAME.size > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, offset)
    if not MIN_PAYLOAD_BYTES <= length <= MAX_PAYLOAD_BYTES or offset + FRAME.size + length > len(data):
        return None
    payload = data[offset + FRAME.size : offset + FRAME.size + length]
    return payload if zlib.crc32(payload) == checksum and 0 < payload[0] < KIND_LIMIT else None


def _is_torn(data: bytes, offset: int) -> bool:
    """Whether the data ends at `offset`, or within a record that begins there. Without this check a damaged record
    before a torn one would not be recognised as one whose length is right, and records in its body would be read."""
    if offset + FRAME.size > len(data):
        return offset == len(data)
    length = int(FRAME.unpack_from(data, offset)[0])
    return MIN_PAYLOAD_BYTES <= length <= MAX_PAYLOAD_BYTES and offset + FRAME.size + length > len(data)


def _next_valid(data: bytes, start: int) -> int:
    """The offset of the next valid record; the end of the data if there is none."""
    checked = 0
    for found in _RECORD_START.finditer(data, start):
        offset = found.start()
        checked += min(FRAME.unpack_from(data, offset)[0], len(data) - offset)
        if _valid_payload(data, offset) is not None:
            return offset
        if checked > _MAX_SEARCH_BYTES:
            break
    return len(data)


def records(data: bytes) -> Iterator[Record | Lost]:
    """The records and lost stretches of a file, in its order."""
    offset = 0
    while offset < len(data):
        payload = _valid_payload(data, offset)
        if payload is None:
            found, offset = _read_damaged(data, offset)
            yield found
        else:
            yield Record(offset, payload)
            offset += FRAME.size + len(payload)


def _read_damaged(data: bytes, offset: int) -> tuple[Record | Lost, int]:
    """The repaired record or the lost stretch at `offset`, and the offset where it ends."""
    if offset + FRAME.size > len(data):
        return Lost(offset, len(data) - offset, torn=True), len(data)
    length, checksum = FRAME.unpack_from(data, offset)
    start, end = offset + FRAME.size, offset + FRAME.size + length
    plausible = MIN_PAYLOAD_BYTES <= length <= MAX_PAYLOAD_BYTES
    if plausible and end <= len(data) and (_valid_payload(data, end) is not None or _is_torn(data, end)):
        payload = data[start:end]
        repaired = repair_record(payload, checksum)
        if repaired is not None and 0 < repaired[0] < KIND_LIMIT:
            return Record(offset, repaired, "a byte"), end
        return Lost(offset, end - offset, payload=payload), end
    following = _next_valid(data, offset + 1)
    stretch = data[start:following]
    if len(stretch) >= MIN_PAYLOAD_BYTES and zlib.crc32(stretch) == checksum and 0 < stretch[0] < KIND_LIMIT:
        return Record(offset, stretch, "its length"), following
    torn = following == len(data) and plausible and end > len(data)
    return Lost(offset, following - offset, torn=torn), following
