"""The HTTP server that clients hand messages in to."""

from __future__ import annotations

import socket
from collections.abc import Mapping

import anyio
import h11
from loguru import logger

from .http import BodyTooLarge, Headers, Link, Request, ServerConnection
from .relay import Refusal, Relay, Submission

_IDLE_S = 60.0  # a connection without a request
_REQUEST_S = 10.0  # from a request's first byte to its last
_REPLY_S = 5.0
_LINGER_S = 1.0
_BUSY_RETRY_S = "1"
_ELSEWHERE_RETRY_S = "0.1"  # another relay can take it at once


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
    wire_id = _text(headers, b"req-id")
    if not wire_id:
        raise BadRequest(400, "Req-Id is missing")
    key = _text(headers, b"idempotency-key") if b"idempotency-key" in headers else None
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
    )


def _text(headers: Mapping[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _whole(text: bytes, name: str) -> int:
    text = text.strip()
    if not (text.isdigit() and len(text) <= 12):
        raise BadRequest(400, f"{name} must be a whole number, not {text.decode('latin-1')!r}")
    return int(text)


def _dest(envelope: bytes) -> int:
    fields = dict(part.strip().partition(b"=")[::2] for part in envelope.replace(b";", b",").split(b","))
    return _whole(fields.get(b"dest", b""), "dest in Envelope")


class Clients:
    """Accepts connections and serves each in a task of its own; an error ends that connection only."""

    def __init__(self, relay: Relay, classes: tuple[str, ...], listener: socket.socket) -> None:
        self._relay, self._classes, self._listener = relay, classes, listener
        self._waiting: dict[anyio.CancelScope, None] = {}  # connections without a request, the longest first
        self._connections = self.answering = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                if self._connections >= self._relay.max_clients:  # the others wait in the backlog
                    self.close_waiting(1)
                    await anyio.sleep(0.01)
                    continue
                try:
                    sock, _ = self._listener.accept()
                except BlockingIOError:
                    await anyio.wait_readable(self._listener)
                    continue
                except OSError as err:  # no descriptor is free, or the client left while it waited
                    logger.warning("accept: {}", err)
                    await anyio.sleep(0.02)
                    continue
                self._connections += 1
                tasks.start_soon(self._serve, sock)

    async def _serve(self, sock: socket.socket) -> None:
        try:
            link = Link(sock)
            connection = ServerConnection(link)
            while await self._one_request(connection):
                pass
        except (OSError, h11.ProtocolError) as err:
            logger.debug("a client's connection ended: {}", err)
        except Exception:  # guards all other connections against a fault in the handling of one
            logger.exception("a client's connection broke off")
        finally:
            self._connections -= 1
            sock.close()

    async def _one_request(self, connection: ServerConnection) -> bool:
        """Answer one request; False when the connection is to be closed."""
        with anyio.move_on_after(_IDLE_S) as waited:
            self._waiting[waited] = None
            try:
                if not await connection.started():
                    return False
            finally:
                del self._waiting[waited]
        if waited.cancelled_caught and connection.is_quiet():
            return False
        self.answering += 1
        try:
            return await self._read_and_answer(connection)
        finally:
            self.answering -= 1

    def close_waiting(self, most: int | None = None) -> None:
        """Close the connections that have no request under way, those that have waited longest first."""
        for scope in list(self._waiting)[:most]:
            scope.cancel()

    async def _read_and_answer(self, connection: ServerConnection) -> bool:
        try:
            with anyio.fail_after(_REQUEST_S):
                request = await connection.request()
        except h11.RemoteProtocolError as err:
            return await self._turn_away(connection, err.error_status_hint, "the request cannot be read")
        except BodyTooLarge:
            return await self._turn_away(connection, 413, "a body holds 64 KiB at most")
        except TimeoutError:
            return await self._turn_away(connection, 408, "the request took too long")
        if request is None:
            return False
        with anyio.fail_after(_REPLY_S):
            await self._answer(connection, request)
        return connection.next() and not self._relay.stopping

    async def _turn_away(self, connection: ServerConnection, status: int, text: str) -> bool:
        with anyio.move_on_after(_LINGER_S):
            await connection.respond(status, body=text.encode(), close=True)
            await connection.linger()
        return False

    async def _answer(self, connection: ServerConnection, request: Request) -> None:
        if request.method == "GET" and request.path in ("/health/ready", "/health/live"):
            serving = self._relay.ready and not self._relay.stopping
            await connection.respond(200 if serving or request.path == "/health/live" else 503)
            return
        try:
            told = read_submission(request, self._classes)
        except BadRequest as err:
            await connection.respond(err.status, body=str(err).encode())
            return
        # A client that ended its sending has left, and may hand the message in elsewhere by now; should it
        # listen still, a refusal is harmless.
        number = Refusal.LEFT if connection.client_left() else self._relay.take(told)
        if isinstance(number, Refusal):
            elsewhere = number is not Refusal.FULL
            retry = _ELSEWHERE_RETRY_S if elsewhere else _BUSY_RETRY_S
            headers: Headers = [(b"Retry-After", retry.encode())]
            await connection.respond(503, headers, number.value.encode(), close=elsewhere)
            return
        try:
            await connection.respond(202)
        except BaseException:
            self._relay.withdraw(number)
            raise
        self._relay.accept(number, told)
