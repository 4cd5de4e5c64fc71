"""Calls to endpoints, over pools of warm connections."""

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

_IDLE_SHARE = 0.9  # of the time after which endpoints close an idle connection: ours go before
_MAX_WAIT_MS = 3_600_000.0
_ROOM_S = 0.02  # between two looks for a descriptor


def headers_of(call: Call, address: Address, left: float) -> Headers:
    """`left`: so many milliseconds its answer is still waited for."""
    named = [
        (b"Host", str(address)),
        (b"Req-Id", call.id),
        (b"Req-Deadline-Ms", str(max(1, math.ceil(left)))),
    ]
    if call.key is not None:
        named.append((b"Idempotency-Key", call.key))
    return [*((name, value.encode("latin-1")) for name, value in named), *call.more]


def follow(marks: AttemptFacts, connection: ClientConnection, warm: bool, clock: Clock) -> None:
    """Note that a connection is there, and have it note what follows."""
    marks.warm, marks.connected_at = warm, clock.now()
    connection.progress = lambda answered: marks.note(answered, clock.now())


def result_of(response: Response, fields: tuple[str, ...]) -> Result:
    """What an endpoint's answer means."""
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
    """Milliseconds; nothing that can be used counts as no wait told."""
    wait = _number(text)
    return min(wait, _MAX_WAIT_MS) if wait is not None and wait > 0 else 0.0


def read_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of `x0=0.4,x1=25` in the order of the settings; one that cannot be read voids the report."""
    told = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    values = [_number(told.get(name.encode(), b"")) for name in fields]
    return tuple(value for value in values if value is not None) if None not in values else ()


def _number(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


class NoConnection(Exception):
    """This machine has no room or no way for one more connection; no endpoint is to blame."""


class _Opening:
    """One attempt to have a new connection. `failed_here`: the last try ended by trouble of this machine."""

    failed_here = False


class Endpoints:
    """The connections to all endpoints. Each has a lease; where there is none the longest idle one makes room."""

    def __init__(
        self, clock: Clock, fields: tuple[str, ...], idle_ms: float, connect_ms: float, descriptors: DescriptorBudget
    ) -> None:
        self._clock, self._fields, self._connect_s, self._descriptors = clock, fields, connect_ms / 1e3, descriptors
        self._idle_ms = idle_ms * _IDLE_SHARE or math.inf
        # An endpoint that moves is not called where it was, nor one that comes to its address by its calls.
        self._idle: dict[tuple[int, Address], deque[ClientConnection]] = {}
        self._closed: dict[int, int] = {}  # endpoint with calls out -> how often its connections were to be closed
        self._out: dict[int, int] = {}  # endpoint -> calls out

    async def call(
        self,
        endpoint: int,
        address: Address,
        call: Call,
        scope: anyio.CancelScope,
        wanted: Callable[[], bool],
    ) -> Result:
        """One attempt. Where it did not end well the connection is closed; there is no hidden resend.
        A new connection takes its time, and a process may stand still: `wanted` says whether what was decided holds."""
        pool = (endpoint, address)
        connection: ClientConnection | None = None
        response: Response | None = None
        opening = _Opening()
        unsent = made = stale = late = False
        self._out[endpoint] = self._out.get(endpoint, 0) + 1
        closed_before = self._closed.get(endpoint, 0)
        deadline = anyio.current_time() + call.timeout / 1e3
        timer = anyio.CancelScope(deadline=deadline)
        try:
            with scope, timer:
                connection = self._warm(pool)
                stale = connection is not None
                if connection is None:
                    connection = await self._connect(address, opening)
                if not wanted():
                    unsent, stale = True, False
                    return Result(Outcome.MOOT)
                if call.marks:
                    follow(call.marks, connection, stale, self._clock)
                made = True  # what a kept connection remembers is of this call from here on
                left = (deadline - anyio.current_time()) * 1e3  # its connection may have come up late
                response = await connection.request("POST", "/v1/messages", headers_of(call, address, left), call.body)
        except OSError:
            if connection is not None and not made:  # `wanted` broke: no fault of the endpoint's
                return Result(Outcome.MOOT)
            never = connection is None or not connection.sent
            stale = stale and connection is not None and not connection.answered
            if stale and connection is not None:
                self._close_idle_since(pool, connection.idle_since)
            return Result(Outcome.CONNECT_FAILED if never else Outcome.RESET, stale=stale)
        except NoConnection:
            return Result(Outcome.MOOT)
        finally:
            if connection is not None:
                connection.progress = None
                wanted_still = self._closed.get(endpoint, 0) == closed_before
                ended_well = wanted_still and (unsent or response is not None)
                if made and response is None and connection.sent:
                    # It may have come in the turn in which the time was up. A wait that it tells runs from its writing.
                    response = connection.poll_response()
                late = connection.answered_at >= deadline
                self._give_back(pool, connection, ended_well)
            self._out[endpoint] -= 1
            if not self._out[endpoint]:
                del self._out[endpoint]
                self._closed.pop(endpoint, None)
        if response is not None:
            if call.marks:
                call.marks.status = response.status
            result = result_of(response, self._fields)
            # Guards against an answer that comes when nobody counts on it any more: read in the turn in which the time
            # is up, it may have been written before or behind that. It ends nothing; the call may have run.
            return Result(Outcome.TIMEOUT, report=result.report) if late and result.ended else result
        if scope.cancelled_caught:
            return Result(Outcome.CANCELLED)
        if connection is None and (opening.failed_here or self._is_full()):
            return Result(Outcome.MOOT)
        # Guards against a machine cut off: its connections stay open and silent, and calls on them end
        # as resets, which may have run, once it is back. Where it was merely slow this costs handshakes.
        self._drop_idle(endpoint)
        sent = connection is not None and connection.sent
        return Result(Outcome.TIMEOUT if sent else Outcome.CONNECT_FAILED)

    async def _connect(self, address: Address, opening: _Opening) -> ClientConnection:
        """A new connection, once there is a descriptor for it and this machine can open one."""
        until = anyio.current_time() + self._connect_s
        while self._is_full() and not self._close_longest_idle():
            if anyio.current_time() > until:
                raise NoConnection
            await anyio.sleep(_ROOM_S)
        self._descriptors.acquire(DescriptorUse.CALLS)
        try:
            return await self._open(address, opening)
        except BaseException:
            self._descriptors.release(DescriptorUse.CALLS)
            raise

    async def _open(self, address: Address, opening: _Opening) -> ClientConnection:
        """Guards endpoints, and the tries of messages, against trouble of this machine: it is tried again meanwhile."""
        until = anyio.current_time() + self._connect_s
        while True:
            try:
                opening.failed_here = False
                with anyio.fail_after(until - anyio.current_time()):
                    return await ClientConnection.open(address)
            except OSError as err:
                if not of_this_machine(err, Step.CONNECTED):
                    raise
                opening.failed_here = True
                if anyio.current_time() >= until:
                    raise NoConnection from err
                if err.errno in OUT_OF_DESCRIPTORS:
                    self._close_longest_idle()
                await anyio.sleep(RETRY_PAUSE_S)

    def _is_full(self) -> bool:
        return not self._descriptors.free_for(DescriptorUse.CALLS)

    def _warm(self, pool: tuple[int, Address]) -> ClientConnection | None:
        """The idle connection that was used last, if it can still be used: the others may then grow old."""
        idle = self._idle.get(pool, deque())
        while idle:
            connection = idle.pop()
            if connection.reusable and connection.idle_since > self._clock.now() - self._idle_ms:
                return connection
            self._close(connection)
        return None

    def _give_back(self, pool: tuple[int, Address], connection: ClientConnection, ended_well: bool) -> None:
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
        """Those that are idle now, and those of calls that are out once these are over."""
        if endpoint in self._out:
            self._closed[endpoint] = self._closed.get(endpoint, 0) + 1
        self._drop_idle(endpoint)

    def _drop_idle(self, endpoint: int) -> None:
        for pool in [pool for pool in self._idle if pool[0] == endpoint]:
            for connection in self._idle.pop(pool):
                self._close(connection)

    def _close_idle_since(self, pool: tuple[int, Address], since: float) -> None:
        """Guards the next call against connections that stood idle as long as one that has broken."""
        idle = self._idle.get(pool, deque())
        while idle and idle[0].idle_since <= since:
            self._close(idle.popleft())

    def close_old(self) -> None:
        """Close what has long stood idle, before the endpoints do: a request that crosses that is lost."""
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
