"""The gRPC server for clients. Each call stays open until the end of its message is decided."""

from __future__ import annotations

import socket
import uuid
from dataclasses import dataclass

import anyio
from loguru import logger

from ..clock import Clock
from ..core.system_errors import Retry, Step, trouble
from ..core.protocols import MessageEnd, EndKind, Refusal, Submission
from ..interface import MessageClass
from ..net.http import Link
from ..net.relay import Relay
from ..wire.http2 import Codes, Headers, Http2Connection, Http2Limits, Http2Stream, StreamReset
from .codec import CodecError, frame, parse_request, trailers, trailers_only
from .health import answer as health_answer
from .health import is_health
from .pipe import Answer, Pipe, first_error
from .routes import RoutedCall, Routes
from .settings import GrpcSettings
from .status import Status

PROTOCOL = 1
_ACCEPT_RETRY_S = 0.02
_HEALTH_WATCH_INTERVAL_S = 0.1
_LIVENESS_CHECK_INTERVAL_S = 1.0


def pushback(ms: float) -> Headers:
    return [(b"grpc-retry-pushback-ms", str(max(0, round(ms))).encode())] if ms > 0 else []


@dataclass(eq=False, slots=True)
class _PendingReply:
    """The reply of one call. Its end notifies the waiters of the stream, so that one task can wait for both."""

    stream: Http2Stream
    end: MessageEnd | None = None

    def ended(self, end: MessageEnd) -> None:
        self.end = end
        self.stream.changes.notify()

    async def wait_ended(self) -> None:
        """Waits until the message has ended, or the client has reset the call."""
        while self.end is None and not self.stream.reset:
            await self.stream.changes.wait()


class GrpcIntake:
    """Accepts connections; an error in one ends only that connection."""

    def __init__(
        self,
        relay: Relay,
        settings: GrpcSettings,
        classes: tuple[MessageClass, ...],
        listener: socket.socket,
        clock: Clock,
    ) -> None:
        self._relay, self._settings, self._classes, self._listener, self._clock = (
            relay,
            settings,
            classes,
            listener,
            clock,
        )
        self._routes = Routes(settings.routes)
        self._connections: set[Http2Connection] = set()
        self.open_calls = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._check_connections)
            while True:
                if len(self._connections) >= self._settings.connections:  # further ones wait in the listen backlog
                    await anyio.sleep(_ACCEPT_RETRY_S)
                    continue
                try:
                    sock, _ = self._listener.accept()
                except BlockingIOError:
                    await anyio.wait_readable(self._listener)
                    continue
                except OSError as err:
                    if trouble(err, Step.ACCEPT).retry is not Retry.AT_ONCE:
                        logger.warning("accepting a gRPC connection failed: {}", err)
                        await anyio.sleep(_ACCEPT_RETRY_S)
                    continue
                tasks.start_soon(self._serve, sock)

    async def _check_connections(self) -> None:
        while True:
            await anyio.sleep(_LIVENESS_CHECK_INTERVAL_S)
            for connection in list(self._connections):
                connection.check_liveness()

    async def drain(self) -> None:
        """Refuses new streams; open ones continue."""
        for connection in list(self._connections):
            await connection.goaway()

    async def _serve(self, sock: socket.socket) -> None:
        connection: Http2Connection | None = None
        try:
            async with anyio.create_task_group() as tasks:

                def start(stream: Http2Stream) -> None:
                    tasks.start_soon(self._stream, stream)

                limits = Http2Limits(
                    streams=self._settings.streams, quiet_ms=self._settings.quiet_ms, answer_ms=self._settings.answer_ms
                )
                connection = Http2Connection(Link(sock), self._clock, limits, client=False, on_stream=start)
                self._connections.add(connection)
                await connection.start()
                await connection.run()
                if connection.close_reason:
                    logger.bind(event="grpc.rude").info("closed a gRPC connection: {}", connection.close_reason)
        except Exception:  # must not end the other connections
            logger.exception("unexpected error in a gRPC connection")
        finally:
            if connection:
                self._connections.discard(connection)
            sock.close()

    async def _stream(self, stream: Http2Stream) -> None:
        self.open_calls += 1
        try:
            await self._call(stream)
        except CodecError as err:
            await self._send_end_headers(stream, trailers_only(err.status, str(err)))
        except StreamReset:
            pass
        except Exception:  # must not end the other calls of the connection
            logger.exception("unexpected error in a gRPC call")
            await self._send_end_headers(stream, trailers_only(Status.INTERNAL, "a fault in the relay"))
        finally:
            self.open_calls -= 1
            if stream.finished:
                stream.discard()
            else:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    # The client may still be sending. By the specification NO_ERROR follows a complete response.
                    await stream.cancel(Codes.NO_ERROR if stream.local_ended else Codes.CANCEL)

    async def _send_end_headers(self, stream: Http2Stream, headers: Headers) -> None:
        try:
            await stream.send_headers(headers, end=True)
        except StreamReset:
            pass

    async def _call(self, stream: Http2Stream) -> None:
        request = parse_request(stream.headers or ())
        if is_health(request):
            await self._health(stream, request.method)
            return
        if request.timeout_ms is not None and request.timeout_ms <= 0:
            raise CodecError(Status.DEADLINE_EXCEEDED, "the call's time was over when it came")
        routed = self._routes.find(request)
        cls = self._classes[routed.route.class_index]
        time_remaining = min(
            request.timeout_ms if request.timeout_ms is not None else cls.deadline / 1e3, cls.deadline / 1e3
        )
        pipe = Pipe(
            request,
            stream,
            max(self._settings.keep, 1),
            self._settings.message,
            self._clock.now() + time_remaining,
            routed.route.streams,
        )
        if not routed.route.streams:
            pipe.buffer_limit_bytes = max(pipe.buffer_limit_bytes, self._settings.message)
            await self._read_message(pipe)
        await self._submit(stream, pipe, routed, time_remaining)

    async def _read_message(self, pipe: Pipe) -> None:
        with anyio.move_on_after(self._settings.whole_ms / 1e3):
            await pipe.read()
        if not pipe.ended:
            raise CodecError(Status.DEADLINE_EXCEEDED, "the call's message took too long")

    async def _submit(self, stream: Http2Stream, pipe: Pipe, routed: RoutedCall, time_remaining: float) -> None:
        if stream.reset:  # protects endpoints from a flood of calls that are reset as soon as they are opened
            raise stream.reset
        reply = _PendingReply(stream)
        retry_mark = (pipe.request.first(b"req-retry") or b"").strip()
        submission = Submission(
            routed.id or uuid.uuid4().hex,
            routed.route.class_index,
            routed.dest,
            time_remaining,
            routed.key,
            b"",
            retry_mark in (b"1", b"again"),
            retry_mark == b"again",
            pipe.request.headers,
            PROTOCOL,
            reply,
            pipe,
        )
        number = self._relay.submit(submission)
        if isinstance(number, Refusal):
            await self._send_end_headers(stream, self._refusal_headers(number))
            return
        self._relay.accept(number, submission)
        broken: BaseException | None = None
        try:
            if pipe.ended:
                await reply.wait_ended()
            else:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(pipe.read)
                    await reply.wait_ended()
                    tasks.cancel_scope.cancel()
        except* (StreamReset, CodecError) as group:
            broken = first_error(group)
        finally:
            if reply.end is None:
                pipe.cancel()
                self._relay.cancel(number)
        if reply.end is not None:
            await self._send_end(stream, pipe, reply.end)
        elif broken or stream.reset:
            raise broken or stream.reset or StreamReset(Codes.CANCEL)

    def _refusal_headers(self, refusal: Refusal) -> Headers:
        if refusal is Refusal.NO_KEY:
            return trailers_only(Status.INVALID_ARGUMENT, refusal.value)
        if refusal in (Refusal.ALREADY_ACCEPTED, Refusal.BEING_SUBMITTED):
            return trailers_only(Status.ABORTED, "a call with this id is open")
        return trailers_only(Status.UNAVAILABLE, refusal.value, pushback(refusal.retry_after_ms))

    async def _send_end(self, stream: Http2Stream, pipe: Pipe, end: MessageEnd) -> None:
        """Sends the end of the call. The endpoint's own result is forwarded unchanged."""
        more: Headers = [(b"calicohitch-may-have-run", b"1")] if end.may_have_run and end.kind is EndKind.FAILED else []
        if isinstance(end.answer, Answer):
            if end.answer.initial and not pipe.answer_started:
                await stream.send_headers([(b":status", b"200"), *end.answer.initial])
                pipe.answer_started = True
            headers = [*end.answer.trailers, *more]
        elif end.kind is EndKind.REFUSED:
            headers = trailers(
                Status.UNAVAILABLE, "not delivered; it is harmless to call again", pushback(end.retry_in)
            )
        elif self._clock.now() >= pipe.deadline:
            headers = trailers(Status.DEADLINE_EXCEEDED, "given up; an attempt may have run", more)
        else:
            headers = trailers(Status.UNKNOWN, "given up; an attempt may have run", more)
        if not pipe.answer_started:
            headers = [
                (b":status", b"200"),
                (b"content-type", b"application/grpc"),
                *(item for item in headers if item[0] != b"content-type"),
            ]
        await stream.send_headers(headers, end=True)

    async def _health(self, stream: Http2Stream, method: str) -> None:
        """Serves `grpc.health.v1`: Check answers once, Watch at each change until the client resets the stream."""
        body = bytearray()
        while (data := await stream.receive()) is not None:
            body += data
            if len(body) > 1_024:
                raise CodecError(Status.INVALID_ARGUMENT, "a health request is short")
        services = {route.service for route in self._settings.routes}

        def current_answer() -> bytes | None:
            return health_answer(bytes(body), services, self._relay.ready and not self._relay.stopping)

        if method not in ("Check", "Watch"):
            raise CodecError(Status.UNIMPLEMENTED, f"grpc.health.v1 has no {method}")
        sent = current_answer()
        if method == "Check" and sent is None:
            raise CodecError(Status.NOT_FOUND, "the service is not known")
        await stream.send_headers([(b":status", b"200"), (b"content-type", b"application/grpc")])
        await stream.send(frame(sent if sent is not None else b"\x08\x03"))  # SERVICE_UNKNOWN
        while method == "Watch" and not stream.reset:
            await anyio.sleep(_HEALTH_WATCH_INTERVAL_S)
            if (changed := current_answer()) != sent:
                sent = changed
                await stream.send(frame(sent if sent is not None else b"\x08\x03"))
        await stream.send_headers(trailers(Status.OK), end=True)
