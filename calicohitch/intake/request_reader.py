"""Assembles one request from the bytes of a connection, as they come. No I/O.

Each byte is looked at once, whatever the pieces in which it comes, and nothing is parsed before the head is complete
and within its limits. What a connection makes the relay hold is `held_bytes`, which counts parsed headers at what they
take in memory.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import h11

from ..net.head import Look
from ..net.http import Ambiguous, BodyTooLarge, Request
from ..net.server_exchange import ChunksTooSmall, Progress, ServerExchange
from .head import Common, read, read_common_head
from .submission import BadRequest, SubmissionAnswer

MAX_HEAD_BYTES = 16 << 10
MAX_FIELDS = 100
_HEAD_END = re.compile(rb"\n\r?\n")  # as h11 finds it
_HEAD_END_BYTES = 3
_LOWEST_FIRST_BYTE = 0x21  # no request line starts with a byte below it
_FIELD_BYTES = 250  # a parsed header in memory, beside its bytes
_EXCHANGE_BYTES = 6 << 10  # h11's objects of a request without headers
_UNREADABLE = "the request cannot be read"


class RequestRejected(BadRequest):
    """A request that is not read to its end."""


@dataclass(frozen=True, slots=True)
class Uncommon:
    """A complete request that h11 has parsed."""

    request: Request
    exchange: ServerExchange

    @property
    def close(self) -> bool:
        return self.exchange.client_closes

    def render(self, response: SubmissionAnswer, close: bool) -> bytes:
        return self.exchange.response(response.status, response.headers, response.body, close)


Complete = Common | Uncommon


class RequestReader:
    """Reads one request. `receive` takes bytes, `poll` gives the request once it is complete."""

    __slots__ = (
        "_data",
        "_exchange",
        "_fields",
        "_head_size",
        "_is_uncommon",
        "_message_size",
        "_searched",
        "has_work",
    )

    def __init__(self) -> None:
        self._data: bytes | bytearray = b""
        self._searched = 0  # bytes that the end of the head was searched in
        self._fields = 0
        self._head_size = 0  # 0 while it is incomplete
        self._message_size = 0  # of a common request whose body is incomplete
        self._is_uncommon = False  # h11 parses it
        self._exchange: ServerExchange | None = None
        self.has_work = False  # `poll` can go on without more data

    @property
    def held_bytes(self) -> int:
        """The memory that the unfinished request takes."""
        if self._exchange is None:
            return len(self._data)
        return self._exchange.held_bytes + _EXCHANGE_BYTES + self._fields * _FIELD_BYTES

    @property
    def awaits_continue(self) -> bool:
        return self._exchange is not None and self._exchange.awaits_continue

    def interim_response(self) -> bytes:
        """The bytes of a 100 (Continue), where `awaits_continue`."""
        assert self._exchange is not None
        return self._exchange.interim_response()

    def receive(self, data: bytes) -> None:
        """Take more bytes. Raises RequestRejected if they are empty: the client has ended its sending too early."""
        if not data:
            raise RequestRejected(400, _UNREADABLE)
        if self._exchange is not None:
            self._exchange.receive(data)
        elif not self._data:
            self._data = data
        elif isinstance(self._data, bytes):
            self._data = bytearray(self._data)
            self._data += data
        else:
            self._data += data

    def poll(self) -> Complete | None:
        """The request, or None if it is incomplete or `has_work`. Raises RequestRejected."""
        if self._is_uncommon:
            return self._poll_exchange(self._exchange or self._hand_to_h11())
        if self._message_size:
            if len(self._data) < self._message_size:
                return None
            return self._common_or_left(read(bytes(self._data)))
        self._head_size = self._find_head_end()
        return self._parse_head() if self._head_size else None

    def _find_head_end(self) -> int:
        """The size of the head, 0 if it is incomplete. Raises RequestRejected if it is over a limit."""
        data = self._data
        if data[0] < _LOWEST_FIRST_BYTE:
            raise RequestRejected(400, _UNREADABLE)
        end = _HEAD_END.search(data, max(0, self._searched - _HEAD_END_BYTES + 1))
        size = end.end() if end else 0
        self._fields += data.count(b"\n", self._searched, size or len(data))
        self._searched = len(data)
        if (size or len(data)) > MAX_HEAD_BYTES or self._fields > MAX_FIELDS + 2:  # with the first and the empty line
            raise RequestRejected(431, "the head is too long or has too many fields")
        return size

    def _parse_head(self) -> Complete | None:
        data = bytes(self._data)
        head = read_common_head(data)
        if isinstance(head, Look):
            self._leave_to_h11()
            return None
        if len(data) < head.message_size:
            self._message_size = head.message_size
            return None
        return self._common_or_left(head.with_body(data))

    def _common_or_left(self, parsed: Common | Look) -> Common | None:
        if isinstance(parsed, Common):
            return parsed
        self._leave_to_h11()
        return None

    def _leave_to_h11(self) -> None:
        """The next `poll` parses the request by h11, which takes much longer than what was done so far."""
        self._is_uncommon = self.has_work = True

    def _hand_to_h11(self) -> ServerExchange:
        self._exchange, data = ServerExchange(), self._data
        self._data = b""
        self._exchange.receive_head(bytes(data[: self._head_size]))
        if len(data) > self._head_size:
            self._exchange.receive(data[self._head_size :])
        return self._exchange

    def _poll_exchange(self, exchange: ServerExchange) -> Complete | None:
        self.has_work = False
        try:
            request = exchange.poll()
        except h11.RemoteProtocolError as err:
            raise RequestRejected(err.error_status_hint, _UNREADABLE) from err
        except Ambiguous as err:
            raise RequestRejected(400, str(err)) from err
        except ChunksTooSmall as err:
            raise RequestRejected(400, "the chunks of the body are too small") from err
        except BodyTooLarge as err:
            raise RequestRejected(413, "a body holds 64 KiB at most") from err
        if isinstance(request, Request):
            return Uncommon(request, exchange)
        self.has_work = request is Progress.HAS_WORK
        return None
