"""Connections that speak HTTP/1.1 by h11, on non-blocking sockets whose every wait can be cancelled.

The sockets are used directly: a call's outcome depends on whether its last byte was handed to the kernel.
"""

from __future__ import annotations

import errno
import math
import os
import re
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

import anyio
import h11

from ..config import Address
from ..core.descriptor_budget import DescriptorUse, DescriptorBudget
from ..core.system_errors import RETRY_PAUSE_S, MachineError, Step, of_this_machine
from . import answer
from .head import Look

MAX_BODY = 64 << 10
_READ = 64 << 10
_MAX_INTERIM = 16  # 1xx responses in front of one that counts
_REST_S = 0.5  # from a response's head, or from a first line that says 200, to its last byte
_FIRST_LINE = 256  # bytes of a response that are kept for the reading of its first line
_UNSENDABLE = re.compile(rb"[\0\r\n]")
_BEGINS_200 = re.compile(rb"HTTP/1\.\d 200[ \r\n]")
# Half a line delivers nothing: the rest of it may never be written.
_SAYS_200 = re.compile(rb"HTTP/1\.\d 200(?: [^\r\n]*)?\r?\n")
_LINGER_BYTES = 1 << 20
_UNDER_WAY = (errno.EINPROGRESS, errno.EINTR, errno.EALREADY)  # connect(2): its end is told when it can be written to
_MOST_UNREAD = 16  # reads of what nobody waits for any more, before a close

Headers = list[tuple[bytes, bytes]]


class BodyTooLarge(Exception):
    """A body of more than 64 KiB."""


class Moved(ConnectionResetError):
    """The server is at another address by now: what was asked at the old one says nothing of it."""


class Ambiguous(Exception):
    """A request that another reader may understand otherwise, and find a second request in."""


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
    """Close a socket whose last error interests nobody: Linux takes the descriptor back whatever close(2) says."""
    with suppress(OSError):
        sock.close()


def send_at_once(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """So many bytes the kernel takes now; 0 where it takes none, be it for want of room or of memory. OSError where
    the connection is of no more use."""
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0
    except OSError as err:
        if of_this_machine(err, Step.TRANSFER):
            return 0
        raise


def receive_at_once(sock: socket.socket) -> bytes | None:
    """What is there; nothing where the other side has ended its sending, None where nothing can be read now. OSError
    where the connection is of no more use."""
    try:
        return sock.recv(_READ)
    except BlockingIOError:
        return None
    except OSError as err:
        if of_this_machine(err, Step.TRANSFER):
            return None
        raise


def is_quiet(sock: socket.socket) -> bool:
    """Open, as far as this side has been told, with nothing unread."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_ended(sock: socket.socket) -> bool:
    """The other side has closed the connection, or its sending on it."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError as err:
        return not of_this_machine(err, Step.TRANSFER)


def hang_up(sock: socket.socket) -> None:
    """Close behind an answer: what is unread would make the close a reset, which takes the answer with it."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        for _ in range(_MOST_UNREAD):
            if not sock.recv(_READ):
                break
    close_quietly(sock)


class Link:
    """One TCP connection; only the task that uses it closes it. `handed`: bytes that the kernel has taken so far."""

    handed = 0
    _starved = False  # the last send failed for want of memory: a poll would call the socket writable

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setblocking(False)
        with suppress(OSError):  # it works without
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    async def connect(cls, address: Address) -> Link:
        """MachineError where this machine could not even try; another OSError where the connect failed."""
        try:
            sock = socket.socket(_family(address), socket.SOCK_STREAM)
        except OSError as err:
            raise MachineError(err.errno, err.strerror) from err
        link = cls(sock)
        try:
            await link._connected(address)
        except BaseException:
            link.close()
            raise
        return link

    async def _connected(self, address: Address) -> None:
        code = self._sock.connect_ex((address.host, address.port))
        if code in _UNDER_WAY:
            await self.wait_writable()
            if code := self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, os.strerror(code))
        elif code:
            failed = OSError(code, os.strerror(code))
            raise MachineError(code, os.strerror(code)) if of_this_machine(failed, Step.CONNECT) else failed

    async def receive(self) -> bytes:
        while (data := receive_at_once(self._sock)) is None:
            await self._wait_readable()
        return data

    def receive_some(self) -> bytes:
        """What is there, nothing where that is nothing."""
        try:
            return receive_at_once(self._sock) or b""
        except OSError:
            return b""

    async def send(self, data: bytes) -> None:
        """Returns once the last byte is handed to the kernel."""
        left = memoryview(data)
        while left:
            if sent := self.send_some(left):
                left = left[sent:]
            else:
                await self.wait_writable()

    def send_some(self, data: bytes | bytearray | memoryview) -> int:
        """So many bytes the kernel takes at once; 0 where it takes none now."""
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as err:
            if not of_this_machine(err, Step.TRANSFER):
                raise
            self._starved = True
            return 0
        self.handed += sent
        return sent

    async def wait_writable(self) -> None:
        if self._starved:
            self._starved = False
            await anyio.sleep(RETRY_PAUSE_S)
        else:
            await self._ready(anyio.wait_writable)

    async def _wait_readable(self) -> None:
        await self._ready(anyio.wait_readable)

    async def _ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Until the poll says so, also where it takes no more sockets for a moment."""
        while True:
            try:
                return await wait(self._sock)
            except OSError as err:
                if not of_this_machine(err, Step.POLL):
                    raise
                await anyio.sleep(RETRY_PAUSE_S)

    def is_quiet(self) -> bool:
        return is_quiet(self._sock)

    def has_ended(self) -> bool:
        return has_ended(self._sock)

    def shut_down(self) -> None:
        """Ends every wait on the connection, of whichever task; `close` is still due."""
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


class Reading:
    """One response, as far as it has come. No I/O. `start`: its first bytes, after any 1xx; `head`: once that came.
    `told_at`: when its first line was read whole."""

    def __init__(self, most: int) -> None:
        """`most`: bytes of its body, at most."""
        self.start, self._most = b"", most
        self.told_at, self._came_at = math.inf, 0.0
        self.head: h11.Response | None = None
        self._http: h11.Connection | None = None  # the usual response needs none
        self._body, self._interim = bytearray(), 0

    def receive(self, data: bytes, now: float) -> None:
        self._came_at = now
        self._begins(self.start + data[: _FIRST_LINE - len(self.start)])

    def _begins(self, start: bytes) -> None:
        self.start = start
        self.told_at = min(self.told_at, self._came_at) if b"\n" in start else math.inf

    def go_on(self, data: bytes) -> Response | None:
        """Read on by h11, with what came since; the response once it is whole. Raises what makes it unreadable."""
        http = self._http = self._http or self._asked()
        http.receive_data(data)
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._interim += 1
                self.told_at = math.inf
                self._begins(http.trailing_data[0][:_FIRST_LINE])
            elif isinstance(event, h11.Response):
                self.head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without a response")
            if len(self._body) > self._most or self._interim > _MAX_INTERIM:
                raise ConnectionResetError("the response is too long")
        assert self.head is not None
        return Response(self.head.status_code, dict(self.head.headers), bytes(self._body))

    @property
    def clean(self) -> bool:
        """It is whole, with nothing behind it, and another may follow on its connection."""
        http = self._http
        return (
            http is not None
            and not http.trailing_data[0]
            and (http.our_state is h11.DONE and http.their_state is h11.DONE)
        )

    @staticmethod
    def _asked() -> h11.Connection:
        """A connection on which a request was sent: what it asked for changes nothing of how its response is read."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[(b"Host", b"-")]))
        http.send(h11.EndOfMessage())
        return http


class ClientConnection:
    """A connection to a server, for one request at a time."""

    def __init__(self, link: Link, max_body: int = MAX_BODY, needs_body: bool = False) -> None:
        self._link, self._max_body, self._needs_body = link, max_body, needs_body
        self._clean = True  # between requests, with nothing left of the last response
        self._reading = Reading(max_body)  # of the present response
        self.sent = False  # whether the last byte of the present request was handed to the kernel
        self.idle_since = 0.0
        self.progress: Callable[[bool], None] | None = None  # told when all is sent, and when an answer begins

    @classmethod
    async def open(cls, address: Address, max_body: int = MAX_BODY, needs_body: bool = False) -> ClientConnection:
        return cls(await Link.connect(address), max_body, needs_body)

    @property
    def reusable(self) -> bool:
        """Nothing is left of the last response: a second copy of it would answer the next request."""
        return self._clean and self._link.is_quiet()

    @property
    def says_200(self) -> bool:
        """The whole first line of the present response reads 200, whatever becomes of the rest."""
        return not self._needs_body and _SAYS_200.match(self._reading.start) is not None

    @property
    def answered(self) -> bool:
        """Some part of the present response is here."""
        return bool(self._reading.start)

    @property
    def answered_at(self) -> float:
        """When the first line of the present response was read whole, in the loop's seconds."""
        return self._reading.told_at

    def poll_response(self) -> Response | None:
        """What is there of an answer that is not waited for any more: the answer, where it is whole or says 200."""
        if data := self._link.receive_some():
            self._reading.receive(data, anyio.current_time())
            with suppress(h11.RemoteProtocolError, ConnectionResetError):
                if response := self._reading.go_on(data):
                    return response
        return Response(200, {}) if self.says_200 else None

    def close(self) -> None:
        self._link.close()

    async def request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> Response:
        """The server's response. OSError where there is none, or none that can be read; a 200 is believed by
        its first line alone, unless the body is what was asked for."""
        self.sent, self._clean, self._reading = False, False, Reading(self._max_body)
        if body or method == "POST":
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        lines = [b"%s: %s\r\n" % header for header in headers]
        if any(_UNSENDABLE.search(line, 0, len(line) - 2) for line in lines):
            raise ValueError("a header holds what cannot be sent in one")
        await self._link.send(b"%s %s HTTP/1.1\r\n%s\r\n%s" % (method.encode(), target.encode(), b"".join(lines), body))
        self.sent = True
        if self.progress:
            self.progress(False)
        try:
            return await self._response()
        except (h11.RemoteProtocolError, OSError) as err:
            if self.says_200:
                return Response(200, {})
            raise ConnectionResetError(str(err)) from err

    async def _response(self) -> Response:
        """The response: at once if it comes whole and in its usual form, else by h11."""
        data = await self._receive()
        found = answer.read(data, self._max_body) if data else Look.UNCOMMON
        if not isinstance(found, Look):
            self._clean = True
            return Response(*found)
        with anyio.CancelScope() as rest:  # once it has begun, this bounds how long it may take
            while (response := self._reading.go_on(data)) is None:
                begun = self._reading.head or _BEGINS_200.match(self._reading.start)
                if rest.deadline == math.inf and begun and not self._needs_body:
                    rest.deadline = anyio.current_time() + _REST_S
                data = await self._receive()
            self._clean = self._reading.clean
            return response
        raise ConnectionResetError("the rest of the response did not come")

    async def _receive(self) -> bytes:
        data = await self._link.receive()
        if self.progress:
            self.progress(True)
        self._reading.receive(data, anyio.current_time())
        return data


class PersistentConnection:
    """A connection to a server that is asked again and again, opened anew where it broke or moved."""

    def __init__(
        self,
        address: Address,
        max_body: int = MAX_BODY,
        needs_body: bool = False,
        descriptor: tuple[DescriptorBudget, DescriptorUse] | None = None,
    ) -> None:
        """`descriptor`: the budget of descriptors, and whose part of it the connection takes."""
        self._address, self._max_body, self._needs_body, self._descriptor = address, max_body, needs_body, descriptor
        self._connection: ClientConnection | None = None
        self._holds_descriptor = False
        self._connected_to = address
        self._asking = anyio.CancelScope()

    def move(self, address: Address) -> None:
        """The server is there from now on; a request under way at the old address is left."""
        if address != self._address:
            self._address = address
            self._asking.cancel()

    async def request(
        self, method: str, target: str, limit_s: float, headers: Headers | None = None, body: bytes = b""
    ) -> Response:
        """The response; OSError where none came in time, or the server moved meanwhile."""
        address = self._address
        headers = [(b"Host", str(address).encode()), *(headers or [])]
        try:
            with anyio.fail_after(limit_s), anyio.CancelScope() as self._asking:
                connection = self._connection
                if connection is None or self._connected_to != address or not connection.reusable:
                    self._close()
                    connection = await ClientConnection.open(address, self._max_body, self._needs_body)
                    self._connection, self._connected_to = connection, address
                    self._holds_descriptor = self._descriptor is not None and self._descriptor[0].acquire(
                        self._descriptor[1]
                    )
                response = await connection.request(method, target, headers, body)
            if self._asking.cancelled_caught or self._address != address:
                raise Moved(f"the address is now {self._address}")
            return response
        except BaseException:
            self._close()
            raise

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
            if self._descriptor and self._holds_descriptor:
                self._descriptor[0].release(self._descriptor[1])


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    query: str = ""
    repeated: frozenset[bytes] = frozenset()  # headers that came twice; `headers` has the last
    raw: Iterable[tuple[bytes, bytes]] = ()  # all headers, as they came


class ServerConnection:
    """A connection from a client, which sends one request at a time."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._http = h11.Connection(h11.SERVER)

    @property
    def handed(self) -> int:
        """Bytes that the kernel has taken for the client so far."""
        return self._link.handed

    def feed(self, data: bytes) -> None:
        """What was read from the connection before this had it."""
        self._http.receive_data(data)

    def client_left(self) -> bool:
        return self._link.has_ended()

    async def started(self) -> bool:
        """Waits for the first bytes of the next request; False if the client ended the connection instead."""
        if not self._http.trailing_data[0]:
            data = await self._link.receive()
            self._http.receive_data(data)
            return bool(data)
        return True

    async def request(self) -> Request | None:
        """The rest of the request that has started; None if the client left. Raises what h11 finds broken."""
        head: h11.Request | None = None
        body = bytearray()
        while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await self._link.send(self._http.send(go_on) or b"")
                self._http.receive_data(await self._link.receive())
            elif isinstance(event, h11.Request):
                head = event
                names = [name for name, _ in event.headers]
                if b"transfer-encoding" in names and b"content-length" in names:
                    raise Ambiguous("both Content-Length and Transfer-Encoding")
                if int(dict(event.headers).get(b"content-length", b"0")) > MAX_BODY:
                    raise BodyTooLarge
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    raise BodyTooLarge
            elif isinstance(event, h11.ConnectionClosed):
                return None
        assert head is not None
        if self._http.trailing_data[0]:
            raise Ambiguous("more than one request at a time")
        counts = Counter(name for name, _ in head.headers)
        path, _, query = head.target.decode("ascii", "replace").partition("?")
        method = head.method.decode("ascii", "replace")
        return Request(
            method,
            path,
            dict(head.headers),
            bytes(body),
            query,
            frozenset(name for name, count in counts.items() if count > 1),
            head.headers,
        )

    async def respond(
        self, status: int, headers: Headers | None = None, body: bytes = b"", close: bool = False
    ) -> None:
        headers = [*(headers or []), (b"Content-Length", str(len(body)).encode())]
        if close:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=headers, reason=HTTPStatus(status).phrase)
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._link.send(data)

    def next(self) -> bool:
        """Ready for one more request; False where the connection is to be closed."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def linger(self) -> None:
        """Guards a reply to a request that was not read whole: closing at once would reset the connection
        and take the reply with it."""
        self._link.end_sending()
        left = _LINGER_BYTES
        while left > 0 and (data := await self._link.receive()):
            left -= len(data)

    def close(self) -> None:
        self._link.close()
