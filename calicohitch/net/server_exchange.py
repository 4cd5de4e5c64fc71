"""One HTTP/1.1 request parsed by h11 as its bytes come, and the response to it. No I/O.

The work and the memory that a request may cost are bounded whatever its bytes are: h11 is given them in slices, a call
of `poll` handles a limited number of its events, and a body in very small chunks is refused.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from http import HTTPStatus

import h11

from .http import MAX_BODY, Ambiguous, BodyTooLarge, Headers, Request, has_too_many_chunks

MORE_THAN_ONE = "more than one request at a time"
MAX_EVENTS_PER_POLL = 64
_SLICE_BYTES = 4 << 10  # of a body, given to h11 at once
_MAX_FRAMING_BYTES = 4 << 10  # of an incomplete chunk header or of incomplete trailers


class ChunksTooSmall(Exception):
    """A chunked body with far more framing than content."""


class Progress(Enum):
    """Why there is no request yet."""

    NEEDS_DATA = "more has to be received"
    HAS_WORK = "poll has to be called again"
    CLOSED = "the client has ended its sending between requests"


class ServerExchange:
    """The server's side of one request at a time."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_FRAMING_BYTES)
        self._pending = bytearray()  # received and not given to h11 yet
        self._ended = False  # the client has ended its sending
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._chunks = 0

    @property
    def held_bytes(self) -> int:
        """What has been received of the request."""
        return len(self._pending) + len(self._body) + len(self._http.trailing_data[0])

    @property
    def awaits_continue(self) -> bool:
        """The client waits for `interim_response` before it sends its body."""
        return bool(self._http.they_are_waiting_for_100_continue)

    @property
    def client_closes(self) -> bool:
        """After the response the connection cannot be used for another request."""
        return self._http.their_state is not h11.DONE

    @property
    def has_data(self) -> bool:
        """Bytes were received that no event has covered yet."""
        return bool(self._pending or self._http.trailing_data[0])

    def receive_head(self, data: bytes) -> None:
        """Take a complete head at once. Its size has to be bounded by the caller."""
        self._http.receive_data(data)

    def receive(self, data: bytes | bytearray) -> None:
        """Take more bytes; empty if the client has ended its sending."""
        self._pending += data
        self._ended = self._ended or not data

    def poll(self) -> Request | Progress:
        """The request, once complete. Raises h11.RemoteProtocolError, Ambiguous, BodyTooLarge or ChunksTooSmall."""
        for _ in range(MAX_EVENTS_PER_POLL):
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not self._pending and not self._ended:
                    return Progress.NEEDS_DATA
                self._feed_slice()
            elif isinstance(event, h11.Request):
                self._check_head(event)
            elif isinstance(event, h11.Data):
                self._add(event)
            elif isinstance(event, h11.ConnectionClosed):
                return Progress.CLOSED
            elif isinstance(event, h11.EndOfMessage):
                return self._request()
        return Progress.HAS_WORK

    def _feed_slice(self) -> None:
        self._http.receive_data(bytes(self._pending[:_SLICE_BYTES]))  # empty: the client has ended its sending
        del self._pending[:_SLICE_BYTES]

    def _check_head(self, head: h11.Request) -> None:
        self._head = head
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise Ambiguous("both Content-Length and Transfer-Encoding")
        if int(dict(head.headers).get(b"content-length", b"0")) > MAX_BODY:
            raise BodyTooLarge

    def _add(self, event: h11.Data) -> None:
        self._body += event.data
        if len(self._body) > MAX_BODY:
            raise BodyTooLarge
        self._chunks += event.chunk_start
        if has_too_many_chunks(self._chunks, len(self._body)):
            raise ChunksTooSmall

    def _request(self) -> Request:
        head = self._head
        assert head is not None
        if self.has_data:
            raise Ambiguous(MORE_THAN_ONE)
        counts = Counter(name for name, _ in head.headers)
        path, _, query = head.target.decode("ascii", "replace").partition("?")
        return Request(
            head.method.decode("ascii", "replace"),
            path,
            dict(head.headers),
            bytes(self._body),
            query,
            frozenset(name for name, count in counts.items() if count > 1),
            head.headers,
        )

    def interim_response(self) -> bytes:
        """The bytes of a 100 (Continue)."""
        return self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def response(self, status: int, headers: Headers | None = None, body: bytes = b"", close: bool = False) -> bytes:
        """The bytes of the response. `close`: the connection is closed after it."""
        headers = [*(headers or []), (b"Content-Length", str(len(body)).encode())]
        if close:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase)
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    def next(self) -> bool:
        """Prepare for one more request; False if the connection has to be closed."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._head, self._chunks = None, 0
        self._body.clear()
        return True
