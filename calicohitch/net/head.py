"""The heads of common HTTP/1.1 messages, read at once: what requests and answers share of the checked way past h11.

What is read here h11 reads alike; what is uncommon in any way, or broken, is left to h11, which also says what is wrong
with it. `intake.head` and `net.answer` say what is common in a request and in an answer; both are held against h11 by a
differential fuzz in the tests. No I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

LONGEST_HEAD = 8 << 10
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,7}")
# Visible ASCII only: h11 takes more, and may have it.
_FIELD = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~]*\r\n"


class Look(Enum):
    """What came is no message that can be read here, not yet or not at all."""

    SHORT = "short"  # more has to come
    UNCOMMON = "uncommon"  # h11 reads it


@dataclass(frozen=True, slots=True)
class Head:
    """A whole head: the groups of its first line, its headers (names in lower case, none twice) in order, and where the
    body begins."""

    first: tuple[bytes, ...]
    raw: list[tuple[bytes, bytes]]
    headers: dict[bytes, bytes]
    size: int


def pattern(first_line: bytes) -> re.Pattern[bytes]:
    """A head whose first line is as told, without its end; the last group holds the fields."""
    return re.compile(first_line + rb"\r\n((?:" + _FIELD + rb")*)\r\n")


def read_head(data: bytes, whole: re.Pattern[bytes], may_become: bool) -> Head | Look:
    """`may_become`: the first bytes of `data` are those of a message that is common."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        # h11 has its own bounds, its own word for a beginning that cannot become a message, and ends a head at bare
        # line feeds as well.
        may_become = may_become and len(data) < LONGEST_HEAD and b"\n\n" not in data and b"\n\r\n" not in data
        return Look.SHORT if may_become else Look.UNCOMMON
    match = whole.fullmatch(data, 0, end + 4) if end < LONGEST_HEAD else None
    if match is None:
        return Look.UNCOMMON
    *first, lines = match.groups()
    raw = []
    for line in lines.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        raw.append((name.lower(), value.strip(b" \t")))
    headers = dict(raw)
    return Head(tuple(first), raw, headers, end + 4) if len(headers) == len(raw) else Look.UNCOMMON


def read_body(data: bytes, head: Head, length: bytes, most: int) -> bytes | Look:
    """The body that ends `data`, by the text of its length; more than one message at a time is uncommon."""
    if not _LENGTH.fullmatch(length) or int(length) > most:
        return Look.UNCOMMON
    whole = head.size + int(length)
    if len(data) != whole:
        return Look.SHORT if len(data) < whole else Look.UNCOMMON
    return data[head.size :]
