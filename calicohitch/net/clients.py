"""The HTTP server that clients hand messages in to."""

from __future__ import annotations

import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio
import h11
from loguru import logger

from ..core.seam import Refusal, Submission
from .http import Ambiguous, BodyTooLarge, Headers, Link, Request, ServerConnection
from .relay import Relay

_IDLE_S = 5.0  # a connection between requests
_REQUEST_S = 2.0  # from the connect, or a later request's first byte, to the request's last
_PATIENCE_S = 0.3  # a client that has just connected has this long before it has to make room
_ROOM_S = 0.01
_REPLY_S = 5.0
_LINGER_S = 0.5
_BUSY_RETRY_S = b"1"
_ELSEWHERE_RETRY_S = b"0.1"  # another relay can take it at once
_SINGLE = {b"req-id", b"idempotency-key", b"req-deadline-ms", b"envelope"}
_TOKEN = re.compile(rb"[!-~]{1,256}")


class BadRequest(Exception):
    """A request that cannot be taken on; `status` is what its client is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_submission(request: Request, classes: tuple[str, ...]) -> Submission:
    """The message that a client's request hands in."""
    headers = request.headers
    class_name = request.path.split("/")[1] if request.path.startswith("/") else ""
    if class_name not in classes:
        raise BadRequest(404, f"there is no class {class_name!r}")
    if request.method != "POST":
        raise BadRequest(405, "messages are handed in by POST")
    if twice := request.repeated & _SINGLE:
        raise BadRequest(400, f"{min(twice).decode()} comes twice")
    wire_id = _token(headers, b"req-id")
    key = _token(headers, b"idempotency-key") if b"idempotency-key" in headers else None
    again = headers.get(b"req-retry", b"").strip().lower()
    return Submission(
        id=wire_id,
        class_index=classes.index(class_name),
        dest=_dest(headers.get(b"envelope", b"")),
        time_left=_whole(headers.get(b"req-deadline-ms", b""), "Req-Deadline-Ms"),
        key=key,
        body=request.body,
        handed_in_again=again in (b"1", b"again"),
        from_dead_relay=again == b"again",
        headers=request.raw,
    )


def _token(headers: Mapping[bytes, bytes], name: bytes) -> str:
    """A value that is passed on as it is: every endpoint has to be able to read it."""
    value = headers.get(name, b"")
    if not _TOKEN.fullmatch(value):
        raise BadRequest(400, f"{name.decode()} must be 1 to 256 visible characters")
    return value.decode()


def _whole(text: bytes, name: str) -> int:
    text = text.strip()
    if not (text.isdigit() and len(text) <= 12):
        raise BadRequest(400, f"{name} must be a whole number, not {text.decode('latin-1')!r}")
    return int(text)


def _dest(envelope: bytes) -> int:
    fields = dict(part.strip().partition(b"=")[::2] for part in envelope.replace(b";", b",").split(b","))
    return _whole(fields.get(b"dest", b""), "dest in Envelope")


@dataclass(eq=False, slots=True)
class _Seat:
    """One client's connection, and what bounds its present wait."""

    connection: ServerConnection
    since: float  # when it was accepted, or last answered
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    begun: bool = False  # the first bytes of a request are here
    evicted: bool = False

    def is_silent(self) -> bool:
        return not self.begun and self.connection.is_quiet()


class Clients:
    """Accepts connections and serves each in a task of its own; an error ends that connection only."""

    def __init__(self, relay: Relay, classes: tuple[str, ...], listener: socket.socket) -> None:
        self._relay, self._classes, self._listener = relay, classes, listener
        # Both the longest wait first: connections without a whole request so far, and those between requests.
        self._fresh: dict[_Seat, None] = {}
        self._kept: dict[_Seat, None] = {}
        self._connections = self.answering = 0

    async def run(self) -> None:
        starved = False
        async with anyio.create_task_group() as tasks:
            while True:
                if self._connections >= self._relay.max_clients:  # the others wait in the backlog
                    await anyio.sleep(0 if self._make_room() else _ROOM_S)
                    continue
                try:
                    sock, _ = self._listener.accept()
                    starved = False
                except BlockingIOError:
                    await anyio.wait_readable(self._listener)
                    continue
                except OSError as err:  # no descriptor is free, or the client left while it waited
                    if not starved:
                        logger.warning("accept: {}", err)
                    starved = True
                    self._make_room()
                    await anyio.sleep(_ROOM_S)
                    continue
                self._connections += 1
                tasks.start_soon(self._serve, sock)

    def _make_room(self) -> bool:
        """Close one connection that is owed no answer: the longest without a whole request, if it had time;
        else the longest between requests, whose client comes again at no harm; else any that is silent."""
        oldest = next(iter(self._fresh), None)
        if oldest and anyio.current_time() - oldest.since < _PATIENCE_S:
            oldest = None
        silent = (seat for waiting in (self._kept, self._fresh) for seat in waiting if seat.is_silent())
        seat = oldest or next(silent, None)
        if seat:
            self._evict(seat)
        return seat is not None

    def _evict(self, seat: _Seat) -> None:
        self._fresh.pop(seat, None)
        self._kept.pop(seat, None)
        seat.evicted = True
        self._connections -= 1
        seat.scope.cancel()

    def close_waiting(self) -> None:
        """Close the connections that have no request under way."""
        for seat in [*self._fresh, *self._kept]:
            if seat.is_silent():
                self._evict(seat)

    async def _serve(self, sock: socket.socket) -> None:
        seat: _Seat | None = None
        try:
            seat = _Seat(ServerConnection(Link(sock)), anyio.current_time())
            first = True
            while await self._one_request(seat, first):
                first = False
        except (OSError, h11.ProtocolError) as err:
            logger.debug("a client's connection ended: {}", err)
        except Exception:  # guards all other connections against a fault in the handling of one
            logger.exception("a client's connection broke off")
        finally:
            if not (seat and seat.evicted):
                self._connections -= 1
            sock.close()

    async def _one_request(self, seat: _Seat, first: bool) -> bool:
        """Answer one request; False when the connection is to be closed."""
        try:
            request = await self._read(seat, first)
        except h11.RemoteProtocolError as err:
            return await self._turn_away(seat, err.error_status_hint, "the request cannot be read")
        except Ambiguous as err:
            return await self._turn_away(seat, 400, str(err))
        except BodyTooLarge:
            return await self._turn_away(seat, 413, "a body holds 64 KiB at most")
        except TimeoutError:
            return await self._turn_away(seat, 408, "the request took too long")
        if request is None:
            return False
        self.answering += 1
        try:
            with anyio.fail_after(_REPLY_S):
                open_still = await self._answer(seat.connection, request)
        finally:
            self.answering -= 1
        return open_still and not seat.evicted and seat.connection.next() and not self._relay.stopping

    async def _read(self, seat: _Seat, first: bool) -> Request | None:
        """The next request; None where the client left or was silent too long, TimeoutError where one began.
        The first has to be whole by a time that trickled bytes do not move."""
        seat.since, seat.begun = anyio.current_time(), False
        waiting = self._fresh if first else self._kept
        waiting[seat] = None
        try:
            with anyio.CancelScope(deadline=seat.since + (_REQUEST_S if first else _IDLE_S)) as seat.scope:
                if not await seat.connection.started():
                    return None
                seat.begun = True
                if not first:
                    seat.scope.deadline = anyio.current_time() + _REQUEST_S
                self.answering += 1
                try:
                    return await seat.connection.request()
                finally:
                    self.answering -= 1
        finally:
            waiting.pop(seat, None)
        if seat.begun and not seat.evicted:
            raise TimeoutError
        return None

    async def _turn_away(self, seat: _Seat, status: int, text: str) -> bool:
        """Answer what was not read to its end, and close."""
        with anyio.move_on_after(_LINGER_S):
            await seat.connection.respond(status, body=text.encode(), close=True)
            await seat.connection.linger()
        return False

    async def _answer(self, connection: ServerConnection, request: Request) -> bool:
        """Answer a request that was read whole; False where the connection is to be closed."""
        if request.method == "GET" and request.path in ("/health/ready", "/health/live"):
            serving = self._relay.ready and not self._relay.stopping
            await connection.respond(200 if serving or request.path == "/health/live" else 503)
            return True
        try:
            told = read_submission(request, self._classes)
        except BadRequest as err:
            await connection.respond(err.status, body=str(err).encode(), close=True)
            return False
        # A client that ended its sending has left, and may hand the message in elsewhere by now; should it
        # listen still, a refusal is harmless.
        number = Refusal.LEFT if connection.client_left() else self._relay.take(told)
        if number is Refusal.TAKEN:
            await connection.respond(202)
        elif isinstance(number, Refusal):
            if number is Refusal.NO_KEY:
                await connection.respond(400, body=number.value.encode(), close=True)
                return False
            busy = number in (Refusal.FULL, Refusal.UNKNOWN)
            headers: Headers = [(b"Retry-After", _BUSY_RETRY_S if busy else _ELSEWHERE_RETRY_S)]
            await connection.respond(503, headers, number.value.encode(), close=number is not Refusal.FULL)
        else:
            try:
                await connection.respond(202)
            except BaseException:
                self._relay.withdraw(number)
                raise
            self._relay.accept(number, told)
        return True
