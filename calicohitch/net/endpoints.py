"""HTTP/1.1 calls to endpoints over pools of idle connections."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from ..clock import Clock
from ..config import Address
from ..core.descriptor_budget import DescriptorUse, DescriptorBudget
from ..core.protocols import Call, Confirmation, Result
from ..core.response_evidence import OpenCall
from ..core.system_errors import OUT_OF_DESCRIPTORS, RETRY_PAUSE_S, Step, of_this_machine
from ..interface import Outcome
from . import answer
from .connection_pool import CloseReason, ConnectionPool, PooledConnection, PoolKey
from .head import Look
from .http import MAX_BODY, ClientConnection, Headers, Response

if TYPE_CHECKING:
    from ..tracing.facts import AttemptFacts

_MAX_RETRY_AFTER_MS = 3_600_000.0
# After the first response on a connection, if it refuses a message that may not be repeated: other bytes within this
# time show that the endpoint sends some that answer no call.
_REFUSAL_SILENCE_S = 0.5
_DESCRIPTOR_POLL_S = 0.02  # interval between checks for a free descriptor


def request_headers(call: Call, address: Address, remaining_ms: float) -> Headers:
    """The headers of a call. `remaining_ms`: the time until the call is given up, sent as `Req-Deadline-Ms`."""
    headers = [
        (b"Host", str(address)),
        (b"Req-Id", call.id),
        (b"Req-Deadline-Ms", str(max(1, math.ceil(remaining_ms)))),
    ]
    if call.key is not None:
        headers.append((b"Idempotency-Key", call.key))
    return [*((name, value.encode("latin-1")) for name, value in headers), *call.more]


def track_progress(marks: AttemptFacts, connection: ClientConnection, reused: bool, clock: Clock) -> None:
    """Record for tracing that a connection is established, and have it record when the request is sent and answered."""
    marks.warm, marks.connected_at = reused, clock.now()
    connection.progress = lambda answered: marks.note(answered, clock.now())


def call_result(response: Response, fields: tuple[str, ...]) -> Result:
    """The result of a call that was answered, from the status and headers of the response."""
    headers, report = response.headers, read_report(response.headers.get(b"srv-load", b""), fields)
    match response.status:
        case 200:
            return Result(Outcome.OK, ended=True, report=report)
        case 410:
            return Result(Outcome.MOOT, ended=True, report=report)
        case 504:
            return Result(Outcome.MOOT, report=report)
        case 503 if headers.get(b"slots-taken") == b"1":
            return Result(Outcome.MOOT, slots_taken=True, report=report)
        case 429 | 503:
            return Result(Outcome.FULL, wait=read_wait(headers.get(b"wait-ms", b"")), report=report)
    return Result(Outcome.ERROR, report=report)


def read_wait(text: bytes) -> float:
    """The retry-after of a `wait-ms` header in milliseconds, at most one hour; 0 if it is missing or invalid."""
    wait = _number(text)
    return min(wait, _MAX_RETRY_AFTER_MS) if wait is not None and wait > 0 else 0.0


def read_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report like `x0=0.4,x1=25` in the order of `fields`; empty if any is missing or invalid."""
    entries = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    values = [_number(entries.get(name.encode(), b"")) for name in fields]
    return tuple(value for value in values if value is not None) if None not in values else ()


def _number(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


class LocalConnectError(Exception):
    """No descriptor is free or this machine cannot connect; this does not count as a failure of the endpoint."""


@dataclass(slots=True)
class _Exchange:
    """One call in progress. `failed_locally`: the last try to connect failed because of this machine."""

    call: Call
    key: PoolKey
    started: float  # in the loop's seconds
    connection: PooledConnection | None = None
    response: Response | None = None
    failed_locally: bool = False
    request: OpenCall | None = None  # once it is being sent
    in_sync: bool = False  # its connection, when the request was sent
    not_wanted: bool = False
    certain: bool = False  # the response is the call's own, and the call is over
    error: OSError | LocalConnectError | None = None

    @property
    def deadline(self) -> float:
        """In the loop's seconds."""
        return self.started + self.call.timeout / 1e3


class Endpoints:
    """The connections to all endpoints. Each holds a descriptor; if none is free, the longest idle one is closed."""

    def __init__(
        self, clock: Clock, fields: tuple[str, ...], idle_ms: float, connect_ms: float, descriptors: DescriptorBudget
    ) -> None:
        self._clock, self._fields, self._connect_s, self._descriptors = clock, fields, connect_ms / 1e3, descriptors
        self._pool = ConnectionPool(clock, idle_ms, descriptors)
        self._close_requests: dict[int, int] = {}  # endpoint with calls in flight -> `close_idle` calls since
        self._calls_in_flight: dict[int, int] = {}  # endpoint -> number
        self._pool.on_surplus = self._surplus_received
        self.on_wait: Callable[[int, float], None] = lambda _endpoint, _wait_ms: None

    async def call(
        self,
        endpoint: int,
        address: Address,
        call: Call,
        scope: anyio.CancelScope,
        wanted: Callable[[], bool],
    ) -> Result:
        """One attempt. The connection is kept only if it was answered in time or unused; nothing is ever resent here.
        Opening a connection takes time and the process may be paused: `wanted` is checked before the request is sent
        and says whether the decision to call still holds."""
        exchange = _Exchange(call, (endpoint, address), anyio.current_time())
        self._calls_in_flight[endpoint] = self._calls_in_flight.get(endpoint, 0) + 1
        close_requests_before = self._close_requests.get(endpoint, 0)
        try:
            with scope, anyio.CancelScope(deadline=exchange.deadline):
                await self._run(exchange, wanted)
            still_wanted = self._close_requests.get(endpoint, 0) == close_requests_before
        except BaseException:
            if exchange.connection is not None:
                self._request_ended(exchange, exchange.connection)
                self._pool.close(exchange.connection, CloseReason.CALL_FAILED)
            raise
        finally:
            self._calls_in_flight[endpoint] -= 1
            if not self._calls_in_flight[endpoint]:
                del self._calls_in_flight[endpoint]
                self._close_requests.pop(endpoint, None)
        if exchange.connection is None:
            return self._not_connected(exchange, scope)
        exchange.connection.http.progress = None
        return self._settle(exchange, exchange.connection, scope, still_wanted)

    async def _run(self, exchange: _Exchange, wanted: Callable[[], bool]) -> None:
        """Send the request and receive the response; an error is stored in `exchange`."""
        call, (_, address) = exchange.call, exchange.key
        try:
            needs_own = call.runs_once and self._pool.is_suspect(exchange.key[0])
            connection = None if needs_own else self._pool.take(exchange.key)
            if connection is None:
                connection = PooledConnection(await self._connect(address, exchange), exchange.key)
            exchange.connection = connection
            if not wanted():
                exchange.not_wanted = True
                return
            if call.marks:
                track_progress(call.marks, connection.http, connection.used, self._clock)
            exchange.in_sync = self._pool.is_in_sync(connection)
            exchange.request = self._pool.evidence.call_sent(exchange.key[0], anyio.current_time())
            connection.silent_from = exchange.deadline
            remaining_ms = (
                exchange.deadline - anyio.current_time()
            ) * 1e3  # opening the connection may have taken long
            headers = request_headers(call, address, remaining_ms)
            exchange.response = await connection.http.request("POST", "/v1/messages", headers, call.body)
            if call.runs_once:
                await self._await_surplus(exchange, connection, exchange.response)
        except (OSError, LocalConnectError) as error:
            exchange.error = error

    async def _await_surplus(self, exchange: _Exchange, connection: PooledConnection, response: Response) -> None:
        """A message that may not be repeated is sent again only if its refusal is certain: the first response on its
        connection, which nothing follows. On a connection with earlier calls it may be the response to one of them,
        however long the silence behind it."""
        result = call_result(response, self._fields)
        if result.ended or not result.outcome.never_ran:
            return
        if result.wait:
            self.on_wait(exchange.key[0], result.wait)
        if connection.used or self._pool.is_suspect(exchange.key[0]):
            return
        if connection.http.answered_early or not connection.http.reusable:
            return
        with anyio.move_on_after(_REFUSAL_SILENCE_S) as silence:
            await connection.http.wait_for_more()
        exchange.certain = silence.cancelled_caught

    def _not_connected(self, exchange: _Exchange, scope: anyio.CancelScope) -> Result:
        """The result of a call that got no connection."""
        if isinstance(exchange.error, LocalConnectError):
            return Result(Outcome.MOOT)
        if exchange.error is not None:
            return Result(Outcome.CONNECT_FAILED)
        if scope.cancelled_caught:
            return Result(Outcome.CANCELLED)
        if exchange.failed_locally or self._is_full():
            return Result(Outcome.MOOT)
        self._pool.retire(exchange.key[0])
        return Result(Outcome.CONNECT_FAILED)

    def _settle(
        self, exchange: _Exchange, connection: PooledConnection, scope: anyio.CancelScope, still_wanted: bool
    ) -> Result:
        """The result of a call that got a connection, and what becomes of the connection."""
        if exchange.not_wanted:
            self._keep(connection, still_wanted)
            return Result(Outcome.MOOT)
        self._request_ended(exchange, connection)
        if exchange.request is None:  # `wanted` failed, or the time was over: not a failure of the endpoint
            self._pool.close(connection, CloseReason.CALL_FAILED)
            if exchange.error is not None:
                return Result(Outcome.MOOT)
        elif exchange.error is not None:
            return self._broken(connection)
        elif exchange.response is not None:
            return self._answered(exchange, connection, exchange.response, still_wanted)
        elif connection.http.sent and (response := connection.http.poll_response()):
            # The response may have arrived in the loop turn in which the time ran out. Its retry-after counts from
            # when it was written.
            return self._answered(exchange, connection, response, False)
        else:
            self._pool.close_after_call(connection)
        if scope.cancelled_caught:
            return Result(Outcome.CANCELLED)
        # Protects against an endpoint that lost its network: its connections stay open without an answer, and once it
        # is back calls on them end as resets, which may have run. If it was only slow, this costs new handshakes.
        self._pool.retire(exchange.key[0])
        return Result(Outcome.TIMEOUT if connection.http.sent else Outcome.CONNECT_FAILED)

    def _request_ended(self, exchange: _Exchange, connection: PooledConnection) -> None:
        """Keep what the end of a call proves of its endpoint."""
        if (request := exchange.request) is None:
            return
        evidence = self._pool.evidence
        if not connection.http.answered:
            evidence.call_unanswered(request)
            return
        response_time_s = min(connection.http.answered_at, anyio.current_time()) - request.sent_at
        evidence.call_answered(request, response_time_s, exchange.in_sync)

    def _broken(self, connection: PooledConnection) -> Result:
        """The connection failed during the call, or its response was invalid."""
        stale = connection.used and not connection.http.answered
        if stale:
            self._pool.close_idle_since(connection.key, connection.idle_since)
        self._pool.close_after_call(connection)
        return Result(Outcome.RESET if connection.http.sent else Outcome.CONNECT_FAILED, stale=stale)

    def _answered(
        self,
        exchange: _Exchange,
        connection: PooledConnection,
        response: Response,
        still_wanted: bool,
    ) -> Result:
        call, complete = exchange.call, response is exchange.response
        if call.marks:
            call.marks.status = response.status
        result = call_result(response, self._fields)
        if connection.http.answered_at >= exchange.deadline and result.ended:
            # A response that is read in the loop turn in which the time ran out may have been written before or after
            # that. It does not end the message: the call counts as timed out and may have run.
            result = Result(Outcome.TIMEOUT, report=result.report)
        connection.used = True
        if exchange.certain:
            self._pool.close_after_call(connection)
            return replace(result, wait=max(0.0, result.wait - _REFUSAL_SILENCE_S * 1e3))
        if not result.ended:
            # The call may still be running on the connection, so the next attempt waits for its close.
            self._pool.close_after_call(connection)
            return replace(result, indeterminate=True)
        assert exchange.request
        confirmation = Confirmation()
        answered_at = connection.http.answered_at
        self._pool.add_provisional(connection, confirmation, exchange.request.sent_at, answered_at, exchange.in_sync)
        if complete:
            self._keep(connection, still_wanted)
        else:
            self._pool.close_after_call(connection)
        return replace(result, confirmation=confirmation)

    def _keep(self, connection: PooledConnection, still_wanted: bool) -> None:
        if still_wanted:
            self._pool.give_back(connection)
        else:
            self._pool.retire_returned(connection)

    def _surplus_received(self, endpoint: int, data: bytes) -> None:
        """Bytes that answer no call may still be a refusal, whose retry-after counts from when it was written."""
        parsed = answer.read(data, MAX_BODY)
        if not isinstance(parsed, Look):
            result = call_result(Response(*parsed), self._fields)
            if result.wait:
                self.on_wait(endpoint, result.wait)

    async def _connect(self, address: Address, exchange: _Exchange) -> ClientConnection:
        """A new connection once a descriptor is free and this machine can open it; LocalConnectError if not in time."""
        deadline = anyio.current_time() + self._connect_s
        while self._is_full() and not self._pool.close_longest_idle():
            if anyio.current_time() > deadline:
                raise LocalConnectError
            await anyio.sleep(_DESCRIPTOR_POLL_S)
        self._descriptors.acquire(DescriptorUse.CALLS)
        try:
            return await self._open(address, exchange)
        except BaseException:
            self._descriptors.release(DescriptorUse.CALLS)
            raise

    async def _open(self, address: Address, exchange: _Exchange) -> ClientConnection:
        """Retry while this machine is at fault, so that it counts neither against the endpoint nor as an attempt."""
        deadline = anyio.current_time() + self._connect_s
        while True:
            try:
                exchange.failed_locally = False
                with anyio.fail_after(deadline - anyio.current_time()):
                    return await ClientConnection.open(address)
            except OSError as error:
                if not of_this_machine(error, Step.CONNECTED):
                    raise
                exchange.failed_locally = True
                if anyio.current_time() >= deadline:
                    raise LocalConnectError from error
                if error.errno in OUT_OF_DESCRIPTORS:
                    self._pool.close_longest_idle()
                await anyio.sleep(RETRY_PAUSE_S)

    def _is_full(self) -> bool:
        return not self._descriptors.free_for(DescriptorUse.CALLS)

    def close_idle(self, endpoint: int) -> None:
        """Close the connections that are idle now, and those of calls in flight when the calls end."""
        if endpoint in self._calls_in_flight:
            self._close_requests[endpoint] = self._close_requests.get(endpoint, 0) + 1
        self._pool.retire(endpoint)

    def close_old(self) -> None:
        self._pool.close_old()

    def confirm_silent(self) -> None:
        """Confirm the deliveries that silence has proved by now."""
        self._pool.confirm_silent()

    async def run(self) -> None:
        await self._pool.run()
