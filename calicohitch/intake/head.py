"""Parser for the common request, used ahead of h11 (see `net.head`). Chunked bodies, repeated or unusual headers,
`Expect` and pipelined requests are uncommon, and left to h11. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from ..net.head import Head, Look, content_length, pattern, read_body, read_head
from ..net.http import MAX_BODY, Request
from .submission import SubmissionAnswer

_HEAD = pattern(rb"(GET|POST) (/[!-~]*) HTTP/1\.1")
_LEFT_TO_H11 = frozenset({b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"})


@dataclass(frozen=True, slots=True)
class Common:
    """A complete request; `close`: its client wants the connection closed after the response."""

    request: Request
    close: bool

    def render(self, response: SubmissionAnswer, close: bool) -> bytes:
        """The bytes of the response. `close`: the connection is closed after it."""
        return answer(response.status, response.headers, response.body, close)


@dataclass(frozen=True, slots=True)
class CommonHead:
    """The complete head of a request; `length`: the bytes of its body; `close`: as in `Common`."""

    head: Head
    length: int
    close: bool

    @property
    def message_size(self) -> int:
        return self.head.size + self.length

    def with_body(self, data: bytes) -> Common | Look:
        """The one request that `data` holds, which begins with this head."""
        body = read_body(data, self.head, self.length)
        if isinstance(body, Look):
            return body
        method, target = self.head.first
        path, _, query = target.decode("ascii").partition("?")
        request = Request(method.decode(), path, self.head.headers, body, query, frozenset(), self.head.raw)
        return Common(request, self.close)


def read_common_head(data: bytes) -> CommonHead | Look:
    """The head at the start of `data`, or why it cannot be read here: incomplete or uncommon."""
    head = read_head(data, _HEAD, data[:1] in (b"G", b"P"))
    if isinstance(head, Look):
        return head
    headers = head.headers
    connection = headers.get(b"connection", b"keep-alive").lower()
    if b"host" not in headers or not _LEFT_TO_H11.isdisjoint(headers) or connection not in (b"close", b"keep-alive"):
        return Look.UNCOMMON
    length = content_length(headers.get(b"content-length", b"0"), MAX_BODY)
    return Look.UNCOMMON if length is None else CommonHead(head, length, connection == b"close")


def read(data: bytes) -> Common | Look:
    """The one request that `data` holds, or why it cannot be read here: incomplete or uncommon."""
    head = read_common_head(data)
    return head if isinstance(head, Look) else head.with_body(data)


_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def answer(status: int, headers: list[tuple[bytes, bytes]], body: bytes, close: bool) -> bytes:
    """The bytes of a response, as `ServerExchange.response` gives them."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, _PHRASES[status])]
    lines += [b"%s: %s\r\n" % item for item in headers]
    lines.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        lines.append(b"Connection: close\r\n")
    return b"%s\r\n%s" % (b"".join(lines), body)
