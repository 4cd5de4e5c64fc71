"""A fast parser for the heads of common HTTP/1.1 messages: the part that requests and responses share.

What is parsed here h11 parses with the same result; every uncommon or invalid message is left to h11, which also
reports what is wrong with it. `intake.head` and `net.answer` define which requests and responses are common; fuzz
tests compare both with h11. No I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

LONGEST_HEAD = 8 << 10
_CONTENT_LENGTH = re.compile(rb"0|[1-9][0-9]{0,7}")
# Visible ASCII, blank and tab only: other bytes that h11 accepts are left to it.
_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~]*\r\n"


class Look(Enum):
    """Why the data was not parsed here."""

    SHORT = "short"  # the message is incomplete
    UNCOMMON = "uncommon"  # h11 has to parse it


@dataclass(frozen=True, slots=True)
class Head:
    """A complete head. `first`: the groups of its first line; `raw`: its headers in order, with names in lower case and
    none repeated; `size`: its bytes, which is the offset of the body."""

    first: tuple[bytes, ...]
    raw: list[tuple[bytes, bytes]]
    headers: dict[bytes, bytes]
    size: int


def pattern(first_line: bytes) -> re.Pattern[bytes]:
    """Matches a head with this first line, given without its line end; the last group holds the header lines."""
    return re.compile(first_line + rb"\r\n((?:" + _FIELD + rb")*)\r\n")


def read_head(data: bytes, head_pattern: re.Pattern[bytes], may_be_common: bool) -> Head | Look:
    """Parse the head at the start of `data`. `may_be_common`: whether its first bytes are those of a common message."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        # h11 has its own limits and its own errors for a start that cannot become a message, and it also ends a head at
        # bare line feeds.
        may_be_common = may_be_common and len(data) < LONGEST_HEAD and b"\n\n" not in data and b"\n\r\n" not in data
        return Look.SHORT if may_be_common else Look.UNCOMMON
    match = head_pattern.fullmatch(data, 0, end + 4) if end < LONGEST_HEAD else None
    if match is None:
        return Look.UNCOMMON
    *first, fields = match.groups()
    raw = []
    for field in fields.split(b"\r\n")[:-1]:
        name, _, value = field.partition(b":")
        raw.append((name.lower(), value.strip(b" \t")))
    headers = dict(raw)
    return Head(tuple(first), raw, headers, end + 4) if len(headers) == len(raw) else Look.UNCOMMON


def content_length(value: bytes, max_body: int) -> int | None:
    """The value of a Content-Length; None if it is uncommon or over `max_body`."""
    return int(value) if _CONTENT_LENGTH.fullmatch(value) and int(value) <= max_body else None


def read_body(data: bytes, head: Head, length: int) -> bytes | Look:
    """The rest of `data` as the body, if it has the given `length`; more than one message at a time is uncommon."""
    message_size = head.size + length
    if len(data) != message_size:
        return Look.SHORT if len(data) < message_size else Look.UNCOMMON
    return data[head.size :]
