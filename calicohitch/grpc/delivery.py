"""Delivery attempts over gRPC, one stream each, on shared HTTP/2 connections to the endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup

from ..clock import Clock
from ..config import Address
from ..core.system_errors import RETRY_PAUSE_S, MachineError, Step, of_this_machine
from ..core.protocols import Call, Result
from ..interface import Outcome
from ..net.endpoints import read_report
from ..net.http import Link
from ..wire.http2 import Codes, Headers, Http2Connection, Http2Limits, Http2Stream, StreamReset
from .codec import CodecError, Deframer, decode_binary, encode_timeout, forwarded_metadata
from .codec import trailers as plain_trailers
from .pipe import Answer, Pipe, first_error
from .settings import GrpcSettings
from .status import Status, interpret_status, parse_pushback, parse_retry_info, parse_status, status_of_http

_IDLE_TIMEOUT_MS = 60_000.0
_SWEEP_INTERVAL_S = 0.25


class GrpcDelivery:
    """Pools of HTTP/2 connections to the endpoints that accept gRPC."""

    def __init__(
        self,
        clock: Clock,
        connect_ms: float,
        max_connections: int,
        settings: GrpcSettings,
        fields: tuple[str, ...] = (),
    ) -> None:
        """`fields` are the names of the values in load reports, in the order of the settings."""
        self._clock, self._connect_s, self._max_connections, self._message = (
            clock,
            connect_ms / 1e3,
            max_connections,
            settings.message,
        )
        self._limits = Http2Limits(quiet_ms=settings.quiet_ms, answer_ms=settings.answer_ms)
        self._fields = fields
        self._pools: dict[tuple[int, Address], list[Http2Connection]] = {}
        self._connecting: dict[tuple[int, Address], anyio.Lock] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            while True:
                await anyio.sleep(_SWEEP_INTERVAL_S)
                self._sweep()

    def _sweep(self) -> None:
        idle_before = self._clock.now() - _IDLE_TIMEOUT_MS
        for pool, connections in list(self._pools.items()):
            for connection in list(connections):
                if not connection.streams and (connection.draining or connection.idle_since < idle_before):
                    connection.close()
                connection.check_liveness()
                if connection.closed:
                    connections.remove(connection)
            if not connections:
                del self._pools[pool]
                if pool in self._connecting and not self._connecting[pool].locked():
                    del self._connecting[pool]

    def close_idle(self, endpoint: int) -> None:
        for (name, _), connections in self._pools.items():
            if name == endpoint:
                for connection in connections:
                    if not connection.streams:
                        connection.close()

    async def _connection(self, pool: tuple[int, Address]) -> tuple[Http2Connection, bool]:
        """Returns a connection that can open a stream, and whether it existed already."""
        for connection in self._pools.get(pool, ()):
            if connection.can_open:
                return connection, True
        async with self._connecting.setdefault(pool, anyio.Lock()):  # a burst of calls shares one new connection
            for connection in self._pools.setdefault(pool, []):
                if connection.can_open:
                    return connection, True
            return await self._connect(pool), False

    async def _connect(self, pool: tuple[int, Address]) -> Http2Connection:
        if sum(map(len, self._pools.values())) >= self._max_connections:
            raise _ConnectionLimit
        await self._started.wait()
        assert self._tasks
        with anyio.fail_after(self._connect_s):
            connection = Http2Connection(await self._link(pool[1]), self._clock, self._limits, client=True)
            await connection.start()
        self._pools.setdefault(pool, []).append(connection)
        self._tasks.start_soon(connection.run)
        return connection

    async def _link(self, address: Address) -> Link:
        """Connects, with retries while this machine cannot open a socket, since that is not the endpoint's failure."""
        retry_until = anyio.current_time() + self._connect_s / 2
        while True:
            try:
                return await Link.connect(address)
            except MachineError:
                if anyio.current_time() >= retry_until:
                    raise
                await anyio.sleep(RETRY_PAUSE_S)

    async def call(
        self, endpoint: int, address: Address, call: Call, scope: anyio.CancelScope, wanted: Callable[[], bool]
    ) -> Result:
        """Makes one attempt, which forwards the client's messages and the endpoint's response as they arrive."""
        pipe = call.content
        assert isinstance(pipe, Pipe)
        attempt = _Attempt(pipe, call, self._message, self._clock, self._fields)
        timer = anyio.CancelScope(deadline=anyio.current_time() + call.timeout / 1e3)
        pipe.on_cancel = scope.cancel
        if pipe.cancelled:
            scope.cancel()
        try:
            with scope, timer:
                connection, warm = await self._connection((endpoint, address))
                if not wanted():
                    return Result(Outcome.MOOT)
                if call.marks:
                    call.marks.warm, call.marks.connected_at = warm, self._clock.now()
                return await attempt.run(connection, address, timer)
        except _ConnectionLimit:
            return Result(Outcome.MOOT)
        except OSError as err:
            if of_this_machine(err, Step.CONNECTED):
                return Result(Outcome.MOOT)
            return attempt.ended(Result(Outcome.CONNECT_FAILED), Status.UNAVAILABLE, "no connection")
        finally:
            pipe.release()
            if attempt.stream and attempt.stream.finished:
                attempt.stream.discard()
            elif attempt.stream:
                with anyio.CancelScope(shield=True):
                    await attempt.stream.cancel()
        if pipe.cancelled or scope.cancelled_caught:
            return attempt.ended(Result(Outcome.CANCELLED), Status.CANCELLED, "given up")
        outcome = Outcome.TIMEOUT if attempt.may_have_run else Outcome.CONNECT_FAILED
        return attempt.ended(Result(outcome), Status.DEADLINE_EXCEEDED, "the endpoint did not answer in time")


class _ConnectionLimit(Exception):
    """The limit of connections is reached, which is no failure of the endpoint."""


class _Attempt:
    def __init__(self, pipe: Pipe, call: Call, message: int, clock: Clock, fields: tuple[str, ...]) -> None:
        self._pipe, self._call, self._max_message_bytes, self._clock, self._fields = pipe, call, message, clock, fields
        self.stream: Http2Stream | None = None
        self.may_have_run = False

    def ended(self, result: Result, status: Status, text: str, trailers: Headers = ()) -> Result:
        """Returns the result for the decision engine. If the call cannot be retried, it also ends the client's call."""
        if self._pipe.can_repeat and not result.ended:
            return result
        end_trailers = forwarded_metadata(trailers) or plain_trailers(status, text)
        return replace(result, ended=True, answer=Answer(end_trailers))

    async def run(self, connection: Http2Connection, address: Address, timer: anyio.CancelScope) -> Result:
        self.stream = stream = connection.open()
        remaining_ms = (timer.deadline - anyio.current_time()) * 1e3  # part of the time may have gone into connecting
        remaining_ms = max(1.0, min(remaining_ms, self._pipe.deadline - self._clock.now()))
        if self._pipe.streams:  # a stream may last until the client's deadline
            remaining_ms = max(1.0, self._pipe.deadline - self._clock.now())
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", self._pipe.request.path),
            (b":authority", str(address).encode()),
            (b"te", b"trailers"),
            (b"grpc-timeout", encode_timeout(remaining_ms)),
            *forwarded_metadata(self._pipe.request.headers),
            *self._call.more,
        ]
        try:
            body = self._pipe.complete_body()
            if body is not None and stream.fits_send_window(len(body)):
                await stream.send_headers(headers, more=True)
                self.may_have_run = True  # set before the last byte is sent, since its arrival is not known
                await stream.send(body, end=True)
                self._mark_sent()
                return await self._answer(stream, timer)
            return await self._stream_both_ways(stream, headers, timer)
        except StreamReset as error:
            return self._reset(error)
        except CodecError as error:
            outcome = Outcome.RESET if self.may_have_run else Outcome.ERROR
            return self.ended(Result(outcome), error.status, str(error))

    async def _stream_both_ways(self, stream: Http2Stream, headers: Headers, timer: anyio.CancelScope) -> Result:
        """Sends and receives concurrently, since the endpoint may respond while the client still sends."""
        try:
            async with anyio.create_task_group() as tasks:
                await stream.send_headers(headers)
                # The endpoint may act on the first message of a stream, and on any other call after its last byte.
                tasks.start_soon(self._send, stream)
                result = await self._answer(stream, timer)
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            raise first_error(group) from None
        return result

    def _mark_sent(self) -> None:
        if self._call.marks:
            self._call.marks.note(False, self._clock.now())

    async def _send(self, stream: Http2Stream) -> None:
        with suppress(StreamReset):  # the receiving side reports it
            last = False
            async for message, last in self._pipe.messages():
                if self._pipe.streams or last:
                    self.may_have_run = True  # set before the last byte is sent, since its arrival is not known
                await stream.send(message, end=last)
            if not last:
                self.may_have_run = True
                await stream.end()
            self._mark_sent()

    async def _answer(self, stream: Http2Stream, timer: anyio.CancelScope) -> Result:
        headers = await stream.wait_headers()
        if self._call.marks:
            self._call.marks.note(True, self._clock.now())
        found = dict(headers)
        code = int(found.get(b":status", b"0")) if found.get(b":status", b"").isdigit() else 0
        if code != 200 or not found.get(b"content-type", b"").startswith(b"application/grpc"):
            status = parse_status(found[b"grpc-status"]) if b"grpc-status" in found else status_of_http(code)
            return self._interpret(
                status, (), answer_started=False, text=f"the endpoint answered HTTP {code} and no gRPC"
            )
        deframer = Deframer(self._max_message_bytes)
        while (data := await stream.receive()) is not None:
            deframer.feed(data)
            if data and not self._pipe.answer_started:
                # From here on the call cannot be retried, and its deadline is the client's.
                timer.deadline = anyio.current_time() + max(0.0, self._pipe.deadline - self._clock.now()) / 1e3
                await self._forward(self._pipe.pass_headers(headers))
            if data:
                await self._forward(self._pipe.pass_data(data, stream.all_received))
        if stream.trailers is None:
            if b"grpc-status" not in found:
                return self._interpret(Status.UNKNOWN, (), True, "the endpoint's answer has no status")
            return self._interpret(parse_status(found[b"grpc-status"]), headers, answer_started=False)
        deframer.end()
        trailers = stream.trailers
        status = parse_status(dict(trailers).get(b"grpc-status"))
        return self._interpret(
            status, trailers, answer_started=True, initial=() if self._pipe.answer_started else headers
        )

    async def _forward(self, sending: object) -> None:
        try:
            await sending  # type: ignore[misc]
        except StreamReset:
            self._pipe.cancel()  # the client reset the call; ending the attempt resets the endpoint's stream
            await anyio.sleep_forever()

    def _interpret(
        self, status: Status, trailers: Headers, answer_started: bool, text: str = "", initial: Headers = ()
    ) -> Result:
        found = dict(trailers)
        retry_info = None
        if details := found.get(b"grpc-status-details-bin"):
            with suppress(CodecError):
                retry_info = parse_retry_info(decode_binary(details)[0])
        interpreted = interpret_status(
            status, answer_started, parse_pushback(found.get(b"grpc-retry-pushback-ms")), retry_info
        )
        if self._call.marks:
            self._call.marks.status = 200
        wait = math.ceil(interpreted.wait)
        report = read_report(found.get(b"srv-load", b""), self._fields)
        if interpreted.answered:
            ended = forwarded_metadata(trailers) or plain_trailers(status, text or status.name.lower())
            return Result(
                interpreted.outcome,
                ended=True,
                wait=wait,
                report=report,
                answer=Answer(ended, forwarded_metadata(initial)),
            )
        return self.ended(
            Result(interpreted.outcome, wait=wait, report=report), status, text or status.name.lower(), trailers
        )

    def _reset(self, error: BaseException) -> Result:
        code = getattr(error, "code", 0)
        if getattr(error, "never_ran", False):
            if code == Codes.REFUSED_STREAM:
                return self.ended(Result(Outcome.FULL), Status.UNAVAILABLE, "the endpoint refused the stream")
            # Above the last id of a GOAWAY: the endpoint drains the connection, which is no failure.
            return self.ended(Result(Outcome.CONNECT_FAILED, stale=True), Status.UNAVAILABLE, "the connection drains")
        outcome = Outcome.RESET if self.may_have_run else Outcome.CONNECT_FAILED
        return self.ended(Result(outcome), Status.UNAVAILABLE, f"the endpoint broke the call off: {error}")
