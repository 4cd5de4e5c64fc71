"""The common answer, read at once: a checked way past h11 for what nearly every endpoint sends. No I/O.

As with requests (`intake.head`): what this reads, h11 reads alike, and the rest is left to h11.
"""

from __future__ import annotations

import re
from enum import Enum

LONGEST_HEAD = 8 << 10
_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\t -~]*)?\r\n"
    rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~]*\r\n)*)\r\n")
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,7}")
_WITHOUT_BODY = frozenset({b"204", b"304"})


class Look(Enum):
    """What came is no answer that can be read here, not yet or not at all."""

    SHORT = "short"
    UNCOMMON = "uncommon"


def read(data: bytes, most: int) -> tuple[int, dict[bytes, bytes], bytes] | Look:
    """Status, headers (names in lower case) and body of the one answer that `data` is. `most` bounds the body."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        may_become = len(data) < LONGEST_HEAD and data[:9] == b"HTTP/1.1 "[: len(data)]
        return Look.SHORT if may_become and b"\n\n" not in data and b"\n\r\n" not in data else Look.UNCOMMON
    match = _HEAD.fullmatch(data, 0, end + 4) if end < LONGEST_HEAD else None
    if match is None or match[1] in _WITHOUT_BODY:
        return Look.UNCOMMON
    headers: dict[bytes, bytes] = {}
    lines = match[2].split(b"\r\n")[:-1]
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip(b" \t")
    length = headers.get(b"content-length", b"")
    common = len(headers) == len(lines) and _LENGTH.fullmatch(length) and int(length) <= most
    if not common or b"transfer-encoding" in headers or headers.get(b"connection", b"keep-alive") != b"keep-alive":
        return Look.UNCOMMON
    whole = end + 4 + int(length)
    if len(data) != whole:
        return Look.SHORT if len(data) < whole else Look.UNCOMMON
    return int(match[1]), headers, data[end + 4 :]
