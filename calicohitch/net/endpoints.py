"""HTTP/1.1 calls to endpoints over pools of idle connections."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from ..clock import Clock
from ..config import Address
from ..core.descriptor_budget import DescriptorUse, DescriptorBudget
from ..core.protocols import Call, Result
from ..core.system_errors import OUT_OF_DESCRIPTORS, RETRY_PAUSE_S, Step, of_this_machine
from ..interface import Outcome
from .http import ClientConnection, Headers, Response

if TYPE_CHECKING:
    from ..tracing.facts import AttemptFacts

_IDLE_TIMEOUT_SHARE = 0.9  # of the endpoints' idle timeout: the relay closes an idle connection before they do
_MAX_RETRY_AFTER_MS = 3_600_000.0
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


class _ConnectAttempt:
    """The state of opening a new connection. `failed_locally`: the last try failed because of this machine."""

    failed_locally = False


class Endpoints:
    """The connections to all endpoints. Each holds a descriptor; if none is free, the longest idle one is closed."""

    def __init__(
        self, clock: Clock, fields: tuple[str, ...], idle_ms: float, connect_ms: float, descriptors: DescriptorBudget
    ) -> None:
        self._clock, self._fields, self._connect_s, self._descriptors = clock, fields, connect_ms / 1e3, descriptors
        self._idle_ms = idle_ms * _IDLE_TIMEOUT_SHARE or math.inf
        # The key holds the address too: after a move an endpoint is not called at its old address, and another endpoint
        # that takes over the address does not receive its calls.
        self._idle: dict[tuple[int, Address], deque[ClientConnection]] = {}
        self._close_requests: dict[int, int] = {}  # endpoint with calls in flight -> `close_idle` calls since
        self._calls_in_flight: dict[int, int] = {}  # endpoint -> number

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
        pool = (endpoint, address)
        connection: ClientConnection | None = None
        response: Response | None = None
        connect_attempt = _ConnectAttempt()
        not_wanted = request_started = stale = late = False
        self._calls_in_flight[endpoint] = self._calls_in_flight.get(endpoint, 0) + 1
        close_requests_before = self._close_requests.get(endpoint, 0)
        deadline = anyio.current_time() + call.timeout / 1e3
        timer = anyio.CancelScope(deadline=deadline)
        try:
            with scope, timer:
                connection = self._take_idle(pool)
                stale = connection is not None
                if connection is None:
                    connection = await self._connect(address, connect_attempt)
                if not wanted():
                    not_wanted, stale = True, False
                    return Result(Outcome.MOOT)
                if call.marks:
                    track_progress(call.marks, connection, stale, self._clock)
                request_started = True  # from here on the state of a reused connection is that of this call
                remaining_ms = (deadline - anyio.current_time()) * 1e3  # opening the connection may have taken long
                response = await connection.request(
                    "POST", "/v1/messages", request_headers(call, address, remaining_ms), call.body
                )
        except OSError:
            if connection is not None and not request_started:  # raised by `wanted`: not a failure of the endpoint
                return Result(Outcome.MOOT)
            never_sent = connection is None or not connection.sent
            stale = stale and connection is not None and not connection.answered
            if stale and connection is not None:
                self._close_idle_since(pool, connection.idle_since)
            return Result(Outcome.CONNECT_FAILED if never_sent else Outcome.RESET, stale=stale)
        except LocalConnectError:
            return Result(Outcome.MOOT)
        finally:
            if connection is not None:
                connection.progress = None
                still_wanted = self._close_requests.get(endpoint, 0) == close_requests_before
                ended_well = still_wanted and (not_wanted or response is not None)
                if request_started and response is None and connection.sent:
                    # The response may have arrived in the loop turn in which the time ran out. Its retry-after counts
                    # from when it was written.
                    response = connection.poll_response()
                late = connection.answered_at >= deadline
                self._return_connection(pool, connection, ended_well)
            self._calls_in_flight[endpoint] -= 1
            if not self._calls_in_flight[endpoint]:
                del self._calls_in_flight[endpoint]
                self._close_requests.pop(endpoint, None)
        if response is not None:
            if call.marks:
                call.marks.status = response.status
            result = call_result(response, self._fields)
            # A response that is read in the loop turn in which the time ran out may have been written before or after
            # that. It does not end the message: the call counts as timed out and may have run.
            return Result(Outcome.TIMEOUT, report=result.report) if late and result.ended else result
        if scope.cancelled_caught:
            return Result(Outcome.CANCELLED)
        if connection is None and (connect_attempt.failed_locally or self._is_full()):
            return Result(Outcome.MOOT)
        # Protects against an endpoint that lost its network: its connections stay open without an answer, and once it
        # is back calls on them end as resets, which may have run. If it was only slow, this costs new handshakes.
        self._close_all_idle(endpoint)
        sent = connection is not None and connection.sent
        return Result(Outcome.TIMEOUT if sent else Outcome.CONNECT_FAILED)

    async def _connect(self, address: Address, connect_attempt: _ConnectAttempt) -> ClientConnection:
        """A new connection once a descriptor is free and this machine can open it; LocalConnectError if not in time."""
        deadline = anyio.current_time() + self._connect_s
        while self._is_full() and not self._close_longest_idle():
            if anyio.current_time() > deadline:
                raise LocalConnectError
            await anyio.sleep(_DESCRIPTOR_POLL_S)
        self._descriptors.acquire(DescriptorUse.CALLS)
        try:
            return await self._open(address, connect_attempt)
        except BaseException:
            self._descriptors.release(DescriptorUse.CALLS)
            raise

    async def _open(self, address: Address, connect_attempt: _ConnectAttempt) -> ClientConnection:
        """Retry while this machine is at fault, so that it counts neither against the endpoint nor as an attempt."""
        deadline = anyio.current_time() + self._connect_s
        while True:
            try:
                connect_attempt.failed_locally = False
                with anyio.fail_after(deadline - anyio.current_time()):
                    return await ClientConnection.open(address)
            except OSError as error:
                if not of_this_machine(error, Step.CONNECTED):
                    raise
                connect_attempt.failed_locally = True
                if anyio.current_time() >= deadline:
                    raise LocalConnectError from error
                if error.errno in OUT_OF_DESCRIPTORS:
                    self._close_longest_idle()
                await anyio.sleep(RETRY_PAUSE_S)

    def _is_full(self) -> bool:
        return not self._descriptors.free_for(DescriptorUse.CALLS)

    def _take_idle(self, pool: tuple[int, Address]) -> ClientConnection | None:
        """The most recently used idle connection that is still usable: the others may then reach their idle time."""
        idle = self._idle.get(pool, deque())
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_since > self._clock.now() - self._idle_ms:
                return connection
            self._close(connection)
        return None

    def _return_connection(self, pool: tuple[int, Address], connection: ClientConnection, ended_well: bool) -> None:
        if ended_well and connection.reusable:
            connection.idle_since = self._clock.now()
            self._idle.setdefault(pool, deque()).append(connection)
        else:
            self._close(connection)

    def _close(self, connection: ClientConnection) -> None:
        connection.close()
        self._descriptors.release(DescriptorUse.CALLS)

    def _close_longest_idle(self) -> bool:
        pools = [idle for idle in self._idle.values() if idle]
        if pools:
            self._close(min(pools, key=lambda idle: idle[0].idle_since).popleft())
        return bool(pools)

    def close_idle(self, endpoint: int) -> None:
        """Close the connections that are idle now, and those of calls in flight when the calls end."""
        if endpoint in self._calls_in_flight:
            self._close_requests[endpoint] = self._close_requests.get(endpoint, 0) + 1
        self._close_all_idle(endpoint)

    def _close_all_idle(self, endpoint: int) -> None:
        for pool in [pool for pool in self._idle if pool[0] == endpoint]:
            for connection in self._idle.pop(pool):
                self._close(connection)

    def _close_idle_since(self, pool: tuple[int, Address], since: float) -> None:
        """Close those that were idle at least as long as one that was found broken: the next call could fail too."""
        idle = self._idle.get(pool, deque())
        while idle and idle[0].idle_since <= since:
            self._close(idle.popleft())

    def close_old(self) -> None:
        """Close connections before the endpoints' idle timeout: a request sent while the endpoint closes is lost."""
        before = self._clock.now() - self._idle_ms
        for pool, idle in list(self._idle.items()):
            while idle and (idle[0].idle_since <= before or not idle[0].reusable):
                self._close(idle.popleft())
            if not idle:
                del self._idle[pool]

    async def run(self) -> None:
        while True:
            await anyio.sleep(0.25)
            self.close_old()
