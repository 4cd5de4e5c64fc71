"""Parser for the common request, used ahead of h11 (see `net.head`). Chunked bodies, repeated or unusual headers,
`Expect` and pipelined requests are uncommon, and left to h11. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..net.head import Look, pattern, read_body, read_head
from ..net.http import MAX_BODY, Request

_HEAD = pattern(rb"(GET|POST) (/[!-~]*) HTTP/1\.1")
_LEFT_TO_H11 = frozenset({b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"})


@dataclass(frozen=True, slots=True)
class Common:
    """A complete request; `close`: its client wants the connection closed after the response."""

    request: Request
    close: bool


def read(data: bytes) -> Common | Look:
    """The one request that `data` holds, or why it cannot be read here: incomplete or uncommon."""
    head = read_head(data, _HEAD, data[:1] in (b"G", b"P"))
    if isinstance(head, Look):
        return head
    headers = head.headers
    connection = headers.get(b"connection", b"keep-alive").lower()
    if b"host" not in headers or not _LEFT_TO_H11.isdisjoint(headers) or connection not in (b"close", b"keep-alive"):
        return Look.UNCOMMON
    body = read_body(data, head, headers.get(b"content-length", b"0"), MAX_BODY)
    if isinstance(body, Look):
        return body
    method, target = head.first
    path, _, query = target.decode("ascii").partition("?")
    request = Request(method.decode(), path, headers, body, query, frozenset(), head.raw)
    return Common(request, connection == b"close")


_PHRASES = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    503: b"Service Unavailable",
}


def answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes, close: bool) -> bytes:
    """The bytes of a response, as `ServerConnection.respond` writes them."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES[status])]
    lines += [b"%s: %s\r\n" % item for item in headers]
    lines.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        lines.append(b"Connection: close\r\n")
    return b"%s\r\n%s" % (b"".join(lines), body)
