"""The common request, read at once: a checked way past h11 for the heads that nearly every client sends. No I/O.

What this reads, h11 reads alike; what is uncommon in any way - chunked bodies, repeated or odd headers, `Expect`,
more than one request at a time, anything broken - is left to h11, which also says what is wrong with it. The two are
held against each other by a differential fuzz in the tests.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from ..net.http import MAX_BODY, Request

LONGEST_HEAD = 8 << 10
# Visible ASCII only: h11 takes more, and may have it.
_HEAD = re.compile(
    rb"(GET|POST) (/[!-~]*) HTTP/1\.1\r\n"
    rb"((?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~]*\r\n)+)\r\n")
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,4}")
_LEFT_TO_H11 = frozenset({b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"})


class Look(Enum):
    """What came is no request that can be read here, not yet or not at all."""

    SHORT = "short"  # more has to come
    UNCOMMON = "uncommon"  # h11 reads it


@dataclass(frozen=True, slots=True)
class Common:
    """A whole request; `close`: its client wants the connection closed after the answer."""

    request: Request
    close: bool


def read(data: bytes | bytearray) -> Common | Look:
    """The one request that `data` is, or what stands in the way."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        # h11 has its own bounds, its own word for a beginning that cannot become a request, and ends a head at bare
        # line feeds as well.
        may_become = len(data) < LONGEST_HEAD and data[:1] in (b"G", b"P")
        return Look.SHORT if may_become and b"\n\n" not in data and b"\n\r\n" not in data else Look.UNCOMMON
    match = _HEAD.fullmatch(data, 0, end + 4) if end < LONGEST_HEAD else None
    if match is None:
        return Look.UNCOMMON
    method, target, lines = match.groups()
    raw = []
    for line in lines.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        raw.append((name.lower(), value.strip(b" \t")))
    headers = dict(raw)
    if len(headers) < len(raw) or b"host" not in headers or not _LEFT_TO_H11.isdisjoint(headers):
        return Look.UNCOMMON
    close = False
    if (connection := headers.get(b"connection")) is not None:
        if connection.lower() not in (b"close", b"keep-alive"):
            return Look.UNCOMMON
        close = connection.lower() == b"close"
    length = headers.get(b"content-length", b"0")
    if not _LENGTH.fullmatch(length) or int(length) > MAX_BODY:
        return Look.UNCOMMON
    whole = end + 4 + int(length)
    if len(data) != whole:
        return Look.SHORT if len(data) < whole else Look.UNCOMMON
    path, _, query = target.decode("ascii").partition("?")
    body = bytes(data[end + 4 :])
    return Common(Request(method.decode(), path, headers, body, query, frozenset(), raw), close)


_PHRASES = {200: b"OK", 202: b"Accepted", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
            503: b"Service Unavailable"}


def answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes, close: bool) -> bytes:
    """An answer to a request that was read here, as `ServerConnection.respond` writes it."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES[status])]
    lines += [b"%s: %s\r\n" % item for item in headers]
    lines.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        lines.append(b"Connection: close\r\n")
    return b"%s\r\n%s" % (b"".join(lines), body)
