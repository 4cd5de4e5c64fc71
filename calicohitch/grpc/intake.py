"""The gRPC server that clients call: each call stays open until its message's one end."""

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
from .codec import CodecError, frame, read_request, trailers, trailers_only
from .health import answer as health_answer
from .health import is_health
from .pipe import Answer, Pipe, first_of
from .routes import Routed, Routes
from .settings import GrpcSettings
from .status import Status

PROTOCOL = 1
_ROOM_S = 0.02
_WATCH_S = 0.1
_LOOK_S = 1.0


def pushback(ms: float) -> Headers:
    return [(b"grpc-retry-pushback-ms", str(max(0, round(ms))).encode())] if ms > 0 else []


@dataclass(eq=False, slots=True)
class _Waiting:
    """The reply of one call. Its end is news of its stream like any other, so that one task can wait for both."""

    stream: Http2Stream
    end: MessageEnd | None = None

    def ended(self, end: MessageEnd) -> None:
        self.end = end
        self.stream.changes.notify()

    async def over(self) -> None:
        """Until the call has its end, or its client gives up."""
        while self.end is None and not self.stream.reset:
            await self.stream.changes.wait()


class GrpcIntake:
    """Accepts connections; a fault in one ends that one only."""

    def __init__(
        self,
        relay: Relay,
        settings: GrpcSettings,
        classes: tuple[MessageClass, ...],
        listener: socket.socket,
        clock: Clock,
    ) -> None:
        self._relay, self._set, self._classes, self._listener, self._clock = relay, settings, classes, listener, clock
        self._routes = Routes(settings.routes)
        self._connections: set[Http2Connection] = set()
        self.open_calls = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._look_alive)
            while True:
                if len(self._connections) >= self._set.connections:  # the others wait in the backlog
                    await anyio.sleep(_ROOM_S)
                    continue
                try:
                    sock, _ = self._listener.accept()
                except BlockingIOError:
                    await anyio.wait_readable(self._listener)
                    continue
                except OSError as err:
                    if trouble(err, Step.ACCEPT).retry is not Retry.AT_ONCE:
                        logger.warning("gRPC accept: {}", err)
                        await anyio.sleep(_ROOM_S)
                    continue
                tasks.start_soon(self._serve, sock)

    async def _look_alive(self) -> None:
        while True:
            await anyio.sleep(_LOOK_S)
            for connection in list(self._connections):
                connection.check_liveness()

    async def drain(self) -> None:
        """No new streams; those that are open go on."""
        for connection in list(self._connections):
            await connection.goaway()

    async def _serve(self, sock: socket.socket) -> None:
        connection: Http2Connection | None = None
        try:
            async with anyio.create_task_group() as tasks:

                def start(stream: Http2Stream) -> None:
                    tasks.start_soon(self._stream, stream)

                limits = Http2Limits(
                    streams=self._set.streams, quiet_ms=self._set.quiet_ms, answer_ms=self._set.answer_ms
                )
                connection = Http2Connection(Link(sock), self._clock, limits, client=False, on_stream=start)
                self._connections.add(connection)
                await connection.start()
                await connection.run()
                if connection.close_reason:
                    logger.bind(event="grpc.rude").info("a gRPC connection was ended: {}", connection.close_reason)
        except Exception:  # guards all other connections
            logger.exception("a gRPC connection broke off")
        finally:
            if connection:
                self._connections.discard(connection)
            sock.close()

    async def _stream(self, stream: Http2Stream) -> None:
        self.open_calls += 1
        try:
            await self._call(stream)
        except CodecError as err:
            await self._say(stream, trailers_only(err.status, str(err)))
        except StreamReset:
            pass
        except Exception:  # guards the other calls of the connection
            logger.exception("a gRPC call broke off")
            await self._say(stream, trailers_only(Status.INTERNAL, "a fault in the relay"))
        finally:
            self.open_calls -= 1
            if stream.finished:
                stream.discard()
            else:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    # What the client still sends is no longer wanted: by the specification, after a whole answer.
                    await stream.cancel(Codes.NO_ERROR if stream.local_ended else Codes.CANCEL)

    async def _say(self, stream: Http2Stream, headers: Headers) -> None:
        try:
            await stream.send_headers(headers, end=True)
        except StreamReset:
            pass

    async def _call(self, stream: Http2Stream) -> None:
        request = read_request(stream.headers or ())
        if is_health(request):
            await self._health(stream, request.method)
            return
        if request.timeout_ms is not None and request.timeout_ms <= 0:
            raise CodecError(Status.DEADLINE_EXCEEDED, "the call's time was over when it came")
        routed = self._routes.find(request)
        cls = self._classes[routed.route.class_index]
        time_left = min(
            request.timeout_ms if request.timeout_ms is not None else cls.deadline / 1e3, cls.deadline / 1e3
        )
        pipe = Pipe(
            request,
            stream,
            max(self._set.keep, 1),
            self._set.message,
            self._clock.now() + time_left,
            routed.route.streams,
        )
        if not routed.route.streams:
            pipe.keep = max(pipe.keep, self._set.message)
            await self._read_whole(pipe)
        await self._hand_in(stream, pipe, routed, time_left)

    async def _read_whole(self, pipe: Pipe) -> None:
        with anyio.move_on_after(self._set.whole_ms / 1e3):
            await pipe.read()
        if not pipe.ended:
            raise CodecError(Status.DEADLINE_EXCEEDED, "the call's message took too long")

    async def _hand_in(self, stream: Http2Stream, pipe: Pipe, routed: Routed, time_left: float) -> None:
        if stream.reset:  # guards endpoints against a flood of calls that are given up as soon as they are made
            raise stream.reset
        waiting = _Waiting(stream)
        again = (pipe.request.first(b"req-retry") or b"").strip()
        told = Submission(
            routed.id or uuid.uuid4().hex,
            routed.route.class_index,
            routed.dest,
            time_left,
            routed.key,
            b"",
            again in (b"1", b"again"),
            again == b"again",
            pipe.request.headers,
            PROTOCOL,
            waiting,
            pipe,
        )
        number = self._relay.submit(told)
        if isinstance(number, Refusal):
            await self._say(stream, self._refused(number))
            return
        self._relay.accept(number, told)
        broken: BaseException | None = None
        try:
            if pipe.ended:
                await waiting.over()
            else:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(pipe.read)
                    await waiting.over()
                    tasks.cancel_scope.cancel()
        except* (StreamReset, CodecError) as group:
            broken = first_of(group)
        finally:
            if waiting.end is None:
                pipe.cancel()
                self._relay.cancel(number)
        if waiting.end is not None:
            await self._end(stream, pipe, waiting.end)
        elif broken or stream.reset:
            raise broken or stream.reset or StreamReset(Codes.CANCEL)

    def _refused(self, why: Refusal) -> Headers:
        if why is Refusal.NO_KEY:
            return trailers_only(Status.INVALID_ARGUMENT, why.value)
        if why in (Refusal.ALREADY_ACCEPTED, Refusal.BEING_SUBMITTED):
            return trailers_only(Status.ABORTED, "a call with this id is open")
        return trailers_only(Status.UNAVAILABLE, why.value, pushback(why.retry_after_ms))

    async def _end(self, stream: Http2Stream, pipe: Pipe, end: MessageEnd) -> None:
        """The one answer. An endpoint's own end is passed on as it is."""
        more: Headers = [(b"calicohitch-may-have-run", b"1")] if end.may_have_run and end.kind is EndKind.FAILED else []
        if isinstance(end.answer, Answer):
            if end.answer.initial and not pipe.begun:
                await stream.send_headers([(b":status", b"200"), *end.answer.initial])
                pipe.begun = True
            told = [*end.answer.trailers, *more]
        elif end.kind is EndKind.REFUSED:
            told = trailers(Status.UNAVAILABLE, "not delivered; it is harmless to call again", pushback(end.retry_in))
        elif self._clock.now() >= pipe.deadline:
            told = trailers(Status.DEADLINE_EXCEEDED, "given up; an attempt may have run", more)
        else:
            told = trailers(Status.UNKNOWN, "given up; an attempt may have run", more)
        if not pipe.begun:
            told = [
                (b":status", b"200"),
                (b"content-type", b"application/grpc"),
                *(item for item in told if item[0] != b"content-type"),
            ]
        await stream.send_headers(told, end=True)

    async def _health(self, stream: Http2Stream, method: str) -> None:
        """`grpc.health.v1`: Check answers once, Watch at every change until the client leaves."""
        body = bytearray()
        while (data := await stream.receive()) is not None:
            body += data
            if len(body) > 1_024:
                raise CodecError(Status.INVALID_ARGUMENT, "a health request is short")
        services = {route.service for route in self._set.routes}

        def now() -> bytes | None:
            return health_answer(bytes(body), services, self._relay.ready and not self._relay.stopping)

        if method not in ("Check", "Watch"):
            raise CodecError(Status.UNIMPLEMENTED, f"grpc.health.v1 has no {method}")
        said = now()
        if method == "Check" and said is None:
            raise CodecError(Status.NOT_FOUND, "the service is not known")
        await stream.send_headers([(b":status", b"200"), (b"content-type", b"application/grpc")])
        await stream.send(frame(said if said is not None else b"\x08\x03"))  # SERVICE_UNKNOWN
        while method == "Watch" and not stream.reset:
            await anyio.sleep(_WATCH_S)
            if (fresh := now()) != said:
                said = fresh
                await stream.send(frame(said if said is not None else b"\x08\x03"))
        await stream.send_headers(trailers(Status.OK), end=True)
