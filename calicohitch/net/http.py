"""HTTP/1.1 connections on non-blocking sockets, with h11 as the parser; every wait can be cancelled.

The sockets are used directly: the outcome of a call depends on whether the kernel has taken its last byte.
"""

from __future__ import annotations

import errno
import math
import os
import re
import select
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

import anyio
import h11

from ..config import Address
from ..core.system_errors import RETRY_PAUSE_S, MachineError, Step, of_this_machine
from . import answer
from .head import Look

MAX_BODY = 64 << 10
_READ_BYTES = 64 << 10
_MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
_RESPONSE_END_TIMEOUT_S = 0.5  # from the head of a response, or a status line of 200, to its last byte
_HEAD_SLICE_BYTES = 4 << 10  # given to h11 at once
_FREE_CHUNKS = 128  # that a body may have, however small
_MIN_MEAN_CHUNK_BYTES = 16  # of the chunks beyond these
_STATUS_LINE_BYTES = 256  # bytes of a response that are kept to read its status line
_FORBIDDEN_IN_HEADER = re.compile(rb"[\0\r\n]")
_STARTS_WITH_200 = re.compile(rb"HTTP/1\.\d 200[ \r\n]")
# An incomplete status line is no delivery: the server may never write the rest.
_STATUS_LINE_200 = re.compile(rb"HTTP/1\.\d 200(?: [^\r\n]*)?\r?\n")
_LINGER_BYTES = 1 << 20
# Codes of connect(2) after which its result is known once the socket is writable.
_CONNECT_IN_PROGRESS = (errno.EINPROGRESS, errno.EINTR, errno.EALREADY)
_LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_MAX_DISCARD_READS = 16  # reads that discard unread data before a close

Headers = list[tuple[bytes, bytes]]


class BodyTooLarge(Exception):
    """A body of more than 64 KiB."""


class UnsolicitedBytes(ConnectionResetError):
    """The server sent data, or ended the connection, before the last byte of a request: that answers no request."""


class Ambiguous(Exception):
    """A request that another HTTP parser may read differently, or as two requests (request smuggling)."""


def has_too_many_chunks(chunks: int, size: int) -> bool:
    """Whether a chunked body of `size` bytes has far more framing than content: each chunk costs work."""
    return chunks > _FREE_CHUNKS + size // _MIN_MEAN_CHUNK_BYTES


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def listen(address: Address, backlog: int = 1024) -> socket.socket:
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def close_quietly(sock: socket.socket) -> None:
    """Close a socket and ignore an error: Linux releases the descriptor whatever close(2) returns."""
    with suppress(OSError):
        sock.close()


def send_at_once(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """The number of bytes that the kernel takes without blocking; 0 if its buffer is full or memory is short. OSError
    if the connection is no longer usable."""
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError as error:
        if of_this_machine(error, Step.TRANSFER):
            return 0
        raise


def receive_at_once(sock: socket.socket) -> bytes | None:
    """The bytes that can be read without blocking: empty if the peer has ended its sending, None if there are none yet.
    OSError if the connection is no longer usable."""
    try:
        return sock.recv(_READ_BYTES)
    except BlockingIOError:
        return None
    except OSError as error:
        if of_this_machine(error, Step.TRANSFER):
            return None
        raise


def is_quiet(sock: socket.socket) -> bool:
    """Whether the connection is open, as far as this side knows, and nothing is unread."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection or ended its sending."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as error:
        return not of_this_machine(error, Step.TRANSFER)


class Presence(Enum):
    """What is known of the peer of a connection whose data was read."""

    WAITING = "waiting"
    SENT_MORE = "sent more"
    LEFT = "left"  # it has closed the connection or ended its sending, whatever is unread


def presence(sock: socket.socket) -> Presence:
    """Whether the peer is still there, and whether it has sent more. The kernel tells of its end in front of unread
    bytes too; a peek shows those alone."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    try:
        events = poll.poll(0)
    except OSError:
        return Presence.LEFT if has_ended(sock) else Presence.WAITING
    if not events:
        return Presence.WAITING
    if events[0][1] & _LEFT_EVENTS or has_ended(sock):
        return Presence.LEFT
    return Presence.SENT_MORE if events[0][1] & select.POLLIN else Presence.WAITING


def hang_up(sock: socket.socket) -> None:
    """Close after a response: unread data would turn the close into a reset, and the response would be lost."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        for _ in range(_MAX_DISCARD_READS):
            if not sock.recv(_READ_BYTES):
                break
    close_quietly(sock)


class Link:
    """One TCP connection, closed only by the task that uses it. `handed`: bytes that the kernel has taken so far."""

    handed = 0
    _out_of_memory = False  # the last send failed for lack of memory: a poll would report the socket as writable

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setblocking(False)
        with suppress(OSError):  # optional
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    async def connect(cls, address: Address) -> Link:
        """Connect; MachineError if this machine could not try, another OSError if the connect failed."""
        try:
            sock = socket.socket(_family(address), socket.SOCK_STREAM)
        except OSError as error:
            raise MachineError(error.errno, error.strerror) from error
        link = cls(sock)
        try:
            await link._finish_connect(address)
        except BaseException:
            link.close()
            raise
        return link

    async def _finish_connect(self, address: Address) -> None:
        code = self._sock.connect_ex((address.host, address.port))
        if code in _CONNECT_IN_PROGRESS:
            await self.wait_writable()
            if code := self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, os.strerror(code))
        elif code:
            error = OSError(code, os.strerror(code))
            raise MachineError(code, os.strerror(code)) if of_this_machine(error, Step.CONNECT) else error

    async def receive(self) -> bytes:
        while (data := receive_at_once(self._sock)) is None:
            await self.wait_readable()
        return data

    def fileno(self) -> int:
        return self._sock.fileno()

    def receive_some(self) -> bytes:
        """The bytes that can be read without blocking; empty if there are none, also after an error."""
        try:
            return receive_at_once(self._sock) or b""
        except OSError:
            return b""

    async def send(self, data: bytes) -> None:
        """Send all of it; returns once the kernel has taken the last byte."""
        remaining = memoryview(data)
        while remaining:
            if sent := self.send_some(remaining):
                remaining = remaining[sent:]
            else:
                await self.wait_writable()

    def send_some(self, data: bytes | bytearray | memoryview) -> int:
        """The number of bytes that the kernel takes without blocking; may be 0."""
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if not of_this_machine(error, Step.TRANSFER):
                raise
            self._out_of_memory = True
            return 0
        self.handed += sent
        return sent

    async def wait_writable(self) -> None:
        if self._out_of_memory:
            self._out_of_memory = False
            await anyio.sleep(RETRY_PAUSE_S)
        else:
            await self._wait_until_ready(anyio.wait_writable)

    async def wait_readable(self) -> None:
        await self._wait_until_ready(anyio.wait_readable)

    async def _wait_until_ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Wait until the poll reports the socket ready; retried if the poll cannot take more sockets for the moment."""
        while True:
            try:
                return await wait(self._sock)
            except OSError as error:
                if not of_this_machine(error, Step.POLL):
                    raise
                await anyio.sleep(RETRY_PAUSE_S)

    def is_quiet(self) -> bool:
        return is_quiet(self._sock)

    def has_ended(self) -> bool:
        return has_ended(self._sock)

    def receive_at_once(self) -> bytes | None:
        """See `receive_at_once`."""
        return receive_at_once(self._sock)

    def shut_down(self) -> None:
        """End every wait on the connection, in any task; `close` still has to be called."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def end_sending(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        close_quietly(self._sock)


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""


class ResponseReader:
    """Parses one response incrementally. No I/O. `first_bytes`: of the response, after any 1xx response; `head`: once
    it is complete; `status_line_at`: when the status line was complete, in the loop's seconds, or infinity."""

    def __init__(self, max_body: int) -> None:
        """`max_body`: the most bytes of its body."""
        self.first_bytes, self._max_body = b"", max_body
        self.status_line_at, self._received_at = math.inf, 0.0
        self.head: h11.Response | None = None
        self._http: h11.Connection | None = None  # created only for a response that `net.answer` does not parse
        self._body, self._interim, self._chunks = bytearray(), 0, 0
        self._unparsed = b""  # received, and not given to h11 yet

    def receive(self, data: bytes, now: float) -> None:
        self._received_at = now
        self._set_first_bytes(self.first_bytes + data[: _STATUS_LINE_BYTES - len(self.first_bytes)])

    def _set_first_bytes(self, first_bytes: bytes) -> None:
        self.first_bytes = first_bytes
        self.status_line_at = min(self.status_line_at, self._received_at) if b"\n" in first_bytes else math.inf

    def parse(self, data: bytes) -> Response | None:
        """Parse more data by h11; the response once it is complete. Raises if the response is invalid or too long. h11
        gets a head in slices, since it limits it only as long as it is incomplete."""
        http = self._http = self._http or self._client_after_request()
        self._unparsed = data
        while True:
            size = _HEAD_SLICE_BYTES if self.head is None else len(self._unparsed)
            piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            http.receive_data(piece)
            response = self._parse_received(http)
            if response and self._unparsed:
                http.receive_data(self._unparsed)  # it counts as trailing data
            if response or not self._unparsed:
                return response

    def _parse_received(self, http: h11.Connection) -> Response | None:
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._interim += 1
                self.status_line_at = math.inf
                self._set_first_bytes((http.trailing_data[0] + self._unparsed)[:_STATUS_LINE_BYTES])
            elif isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._chunks += event.chunk_start
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without a response")
            if len(self._body) > self._max_body or self._interim > _MAX_INTERIM_RESPONSES:
                raise ConnectionResetError("the response is too long")
            if has_too_many_chunks(self._chunks, len(self._body)):
                raise ConnectionResetError("the chunks of the response are too small")
        assert self.head is not None
        return Response(self.head.status_code, dict(self.head.headers), bytes(self._body))

    @property
    def clean(self) -> bool:
        """The response is complete, no data follows it, and the connection can be used again."""
        http = self._http
        return (
            http is not None
            and not http.trailing_data[0]
            and (http.our_state is h11.DONE and http.their_state is h11.DONE)
        )

    @property
    def announced_close(self) -> bool:
        http = self._http
        return http is not None and http.their_state in (h11.MUST_CLOSE, h11.CLOSED) and not http.trailing_data[0]

    @property
    def trailing(self) -> bytes:
        """Data that was read with the complete response and follows it."""
        http = self._http
        return bytes(http.trailing_data[0]) if http is not None and http.their_state is not h11.SEND_BODY else b""

    @staticmethod
    def _client_after_request() -> h11.Connection:
        """An h11 connection after a request; which request it was does not change how the response is parsed."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[(b"Host", b"-")]))
        http.send(h11.EndOfMessage())
        return http


class ClientConnection:
    """A connection to a server, for one request at a time."""

    def __init__(self, link: Link, max_body: int = MAX_BODY, needs_body: bool = False) -> None:
        self._link, self._max_body, self._needs_body = link, max_body, needs_body
        self._clean = True  # between requests, with no unread data of the last response
        self._complete = True  # between requests
        # Data of the current response was there as soon as the request was sent, so it may answer nothing.
        self.answered_early = False
        self._reader = ResponseReader(max_body)  # of the current response
        self.sent = False  # whether the kernel has taken the last byte of the current request
        self.progress: Callable[[bool], None] | None = None  # called with False once all is sent, with True on data

    @classmethod
    async def open(cls, address: Address, max_body: int = MAX_BODY, needs_body: bool = False) -> ClientConnection:
        return cls(await Link.connect(address), max_body, needs_body)

    @property
    def reusable(self) -> bool:
        """No data follows the last response: a second copy of it would be taken for the next response."""
        return self._clean and self._link.is_quiet()

    def read_idle(self) -> bytes | None:
        """What has come between requests: None if nothing, empty if the server has ended its sending. OSError if the
        connection is broken."""
        return self._link.receive_at_once()

    @property
    def announced_close(self) -> bool:
        """The last response was complete, nothing follows it so far, and it said that the server will close."""
        return self._complete and self._reader.announced_close

    def fileno(self) -> int:
        return self._link.fileno()

    async def wait_for_more(self) -> None:
        """Wait until more data, or the end of the connection, can be read."""
        await self._link.wait_readable()

    def surplus(self) -> bytes:
        """Data that belongs to no request: what follows the last response, read with it or unread."""
        return self._reader.trailing + self._link.receive_some() if self._complete else b""

    @property
    def says_200(self) -> bool:
        """The status line of the current response is complete and 200, whether or not the remainder arrives."""
        return not self._needs_body and _STATUS_LINE_200.match(self._reader.first_bytes) is not None

    @property
    def answered(self) -> bool:
        """Some part of the current response has arrived."""
        return bool(self._reader.first_bytes)

    @property
    def answered_at(self) -> float:
        """When the status line of the current response was complete, in the loop's seconds, or infinity."""
        return self._reader.status_line_at

    def poll_response(self) -> Response | None:
        """The response to a request that timed out, if what has arrived is complete or has a status line of 200."""
        if data := self._link.receive_some():
            self._reader.receive(data, anyio.current_time())
            with suppress(h11.RemoteProtocolError, ConnectionResetError):
                if response := self._reader.parse(data):
                    return response
        return Response(200, {}) if self.says_200 else None

    def close(self) -> None:
        self._link.close()

    async def request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Response:
        """Send a request and return the response; OSError if there is none or it is invalid. A status line of 200 is
        enough, unless the connection was made with `needs_body`."""
        self.sent = self._clean = self.answered_early = False
        self._reader = ResponseReader(self._max_body)
        if body or method == "POST":
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        lines = [b"%s: %s\r\n" % header for header in headers]
        if any(_FORBIDDEN_IN_HEADER.search(line, 0, len(line) - 2) for line in lines):
            raise ValueError("a header contains NUL, CR or LF")
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (method.encode(), target.encode(), b"".join(lines))
        await self._send(head + body)
        self.sent, self._complete = True, False
        if self.progress:
            self.progress(False)
        try:
            return await self._response()
        except (h11.RemoteProtocolError, OSError) as error:
            if self.says_200:
                return Response(200, {})
            raise ConnectionResetError(str(error)) from error

    async def _send(self, data: bytes) -> None:
        """Send a request. Each write may contain its last byte, so unread data is looked for before each."""
        remaining = memoryview(data)
        while remaining:
            if not self._link.is_quiet():
                raise UnsolicitedBytes("the server sent data or closed before the request was complete")
            if sent := self._link.send_some(remaining):
                remaining = remaining[sent:]
            else:
                await self._link.wait_writable()

    async def _response(self) -> Response:
        """The response: parsed at once if it arrives complete and in the common form, else by h11."""
        data = await self._receive_first()
        parsed = answer.read(data, self._max_body) if data else Look.UNCOMMON
        if not isinstance(parsed, Look):
            self._clean = self._complete = True
            return Response(*parsed)
        with anyio.CancelScope() as remainder_scope:  # limits the time of the remainder once the response starts
            while (response := self._reader.parse(data)) is None:
                started = self._reader.head or _STARTS_WITH_200.match(self._reader.first_bytes)
                if remainder_scope.deadline == math.inf and started and not self._needs_body:
                    remainder_scope.deadline = anyio.current_time() + _RESPONSE_END_TIMEOUT_S
                data = await self._receive()
            self._clean, self._complete = self._reader.clean, True
            return response
        raise ConnectionResetError("the response was not completed in time")

    async def _receive_first(self) -> bytes:
        if not (data := self._link.receive_some()):
            return await self._receive()
        self.answered_early = True
        return self._received(data)

    async def _receive(self) -> bytes:
        return self._received(await self._link.receive())

    def _received(self, data: bytes) -> bytes:
        if self.progress:
            self.progress(True)
        self._reader.receive(data, anyio.current_time())
        return data


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    query: str = ""
    repeated: frozenset[bytes] = frozenset()  # names of repeated headers; `headers` has the last
    raw: Iterable[tuple[bytes, bytes]] = ()  # all headers, in order
