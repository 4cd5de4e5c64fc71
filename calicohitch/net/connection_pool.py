"""Open connections to endpoints, and what their bytes prove.

On HTTP/1.1 a response belongs to a call by its order on the connection alone, so it may be left over from an earlier
call, or have been sent unasked. No outcome is taken from such bytes for good (`docs/design/surplus.md`):

- A response that ends a message is provisional. It is confirmed once the call's time is over, if the connection was
  silent since and the endpoint has responded to its other calls (`core/response_evidence.py`): otherwise the call's own
  response would have come. Other bytes, or an early end of the connection, refute it.
- After any other response the connection is closed, since the call may still be running on it.
- Bytes on an idle connection are noticed at once. They close it, and the endpoint's connections are used once each for
  a while (`core/reuse_policy.py`).
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import anyio
from loguru import logger

from ..clock import Clock
from ..config import Address
from ..core.descriptor_budget import DescriptorBudget, DescriptorUse
from ..core.protocols import Confirmation
from ..core.response_evidence import ResponseEvidence, Verdict
from ..core.reuse_policy import ReusePolicy
from .http import ClientConnection

_IDLE_TIMEOUT_SHARE = 0.9  # of the endpoints' idle timeout: the relay closes an idle connection before they do
# If a response was left over, each later call on the connection got the response before its own. So where as many later
# responses as were left over end their messages too, a message has ended whichever of them was its own. At least so
# many, also if all came as late as their own may.
_MIN_LATER_RESPONSES = 2
# Behind a response on a connection that was in sync, or one that came no sooner than its own may: a copy would have
# come before it. Behind others the silence lasts until the call's time is over.
_MAX_SILENCE_S = 2.0
_CHECK_INTERVAL_S = 0.1
_MAX_UNCONFIRMED_CONNECTIONS = 16  # idle ones of an endpoint, before any of its responses is confirmed

PoolKey = tuple[int, Address]


class CloseReason(Enum):
    """Why a connection was closed; the values appear in the log."""

    NOT_REUSABLE = "its response was incomplete or announced the close"
    CALL_FAILED = "its call failed, was refused, or was given up"
    SURPLUS = "bytes that answer no call"
    ENDED = "ended by the endpoint"
    RETIRED = "idle for too long, or no longer to be used"
    DESCRIPTORS = "its descriptor is needed"


@dataclass(slots=True)
class _Provisional:
    """A response that ended a message and is not confirmed yet. Times in the loop's seconds."""

    confirmation: Confirmation
    sent_at: float
    answered_at: float
    in_sync: bool  # the connection was, when the call was sent
    suspect: bool  # the endpoint was, when it answered

    @property
    def response_time_s(self) -> float:
        return self.answered_at - self.sent_at


@dataclass(eq=False, slots=True)
class PooledConnection:
    """A connection with the state of its earlier calls. `idle_since` in milliseconds of the relay's clock; the other
    times in the loop's seconds. `silent_from`: when the time of its last call is over."""

    http: ClientConnection
    key: PoolKey
    used: bool = False  # it has carried a call before the current one
    idle_since: float = 0.0
    silent_from: float = 0.0
    implausible: int = 0  # responses that may have been left over, since silence last proved that none was
    unproven: bool = False  # a response on it was reported as failed, and its own may still come: no further call
    provisional: deque[_Provisional] = field(default_factory=deque)

    def drop_known(self) -> None:
        """Forget the responses whose messages have been reported meanwhile."""
        if any(response.confirmation.known for response in self.provisional):
            self.unproven = True
            self.provisional = deque(found for found in self.provisional if not found.confirmation.known)

    def take_provisional(self) -> deque[_Provisional]:
        taken, self.provisional = self.provisional, deque()
        return taken


@dataclass(frozen=True, slots=True)
class _Silent:
    """Responses that nothing followed until the time of the last call on their connection was over: `silent_from`, in
    the loop's seconds. The connection proves nothing more of them."""

    connection: PooledConnection
    responses: deque[_Provisional]
    silent_from: float
    implausible: int  # of its connection by then

    def refute(self) -> None:
        for response in self.responses:
            response.confirmation.resolve(False)


class ConnectionPool:
    """The connections that carry no call now. Each holds a descriptor from its opening to its close."""

    def __init__(self, clock: Clock, idle_ms: float, descriptors: DescriptorBudget) -> None:
        self._clock, self._descriptors = clock, descriptors
        self._idle_ms = idle_ms * _IDLE_TIMEOUT_SHARE or math.inf
        # The key holds the address too: after a move an endpoint is not called at its old address, and another endpoint
        # that takes over the address does not receive its calls.
        self.idle: dict[PoolKey, deque[PooledConnection]] = {}
        self._retired: dict[PooledConnection, None] = {}
        self._silent: list[_Silent] = []
        self._policy = ReusePolicy()
        self.evidence = ResponseEvidence()
        self.on_surplus: Callable[[int, bytes], None] = lambda _endpoint, _data: None
        self.closed: Counter[CloseReason] = Counter()

    def is_suspect(self, endpoint: int) -> bool:
        """Whether the endpoint has sent bytes that answer no call, lately."""
        return self._policy.is_suspect(endpoint, anyio.current_time())

    def take(self, key: PoolKey) -> PooledConnection | None:
        """The most recently used connection: the others may then reach their idle time."""
        now = anyio.current_time()
        if not self._policy.may_reuse(key[0], now):
            self.retire(key[0])
            return None
        self._close_old(self.idle.get(key, ()))
        connection = self._choose(key)
        return connection if connection and self._remove(connection) else None

    def _choose(self, key: PoolKey) -> PooledConnection | None:
        """An idle connection for the next call; None for a new one. Before any response of the endpoint is confirmed,
        silence can confirm only the first one on a connection in sync, so that connections are opened for that while
        descriptors are plentiful."""
        idle = self.idle.get(key)
        if not idle:
            return None
        if self.evidence.has_confirmed(key[0]):
            return idle[-1]
        for connection in reversed(idle):
            if self.is_in_sync(connection):
                return connection
        may_open = len(idle) < _MAX_UNCONFIRMED_CONNECTIONS and self._has_plenty_of_descriptors()
        return None if may_open else idle[-1]

    def _has_plenty_of_descriptors(self) -> bool:
        """Whether calls hold less than half of those that they may have."""
        return self._descriptors.held[DescriptorUse.CALLS] < self._descriptors.free_for(DescriptorUse.CALLS)

    def is_in_sync(self, connection: PooledConnection) -> bool:
        """Whether it has carried no call, or silence has proved since that no response of its calls is left over."""
        unproven = connection.provisional or connection.implausible
        return not (unproven or any(silent.connection is connection for silent in self._silent))

    def add_provisional(
        self,
        connection: PooledConnection,
        confirmation: Confirmation,
        sent_at: float,
        answered_at: float,
        in_sync: bool,
    ) -> None:
        """The last response ends its message, which confirms the one that is enough responses older. `in_sync`: the
        connection was so when the call was sent."""
        endpoint = connection.key[0]
        response = _Provisional(confirmation, sent_at, answered_at, in_sync, self.is_suspect(endpoint))
        connection.drop_known()
        connection.provisional.append(response)
        connection.implausible += self._may_be_left_over(endpoint, response) and self.evidence.has_confirmed(endpoint)
        if self._is_trusted(endpoint, response) and not connection.implausible:
            connection.silent_from = min(connection.silent_from, answered_at + _MAX_SILENCE_S)
        while len(connection.provisional) > max(_MIN_LATER_RESPONSES, connection.implausible):
            self._confirm(connection, connection.provisional.popleft())

    def _may_be_left_over(self, endpoint: int, response: _Provisional) -> bool:
        """Whether the response may be an earlier call's, by what is confirmed of its endpoint by now."""
        return not (response.in_sync or self.evidence.is_plausible(endpoint, response.response_time_s))

    def _is_trusted(self, endpoint: int, response: _Provisional) -> bool:
        return not (self._may_be_left_over(endpoint, response) or response.suspect)

    def _confirm(self, connection: PooledConnection, response: _Provisional) -> None:
        self.evidence.confirmed(connection.key[0], response.response_time_s)
        response.confirmation.resolve(True)

    def give_back(self, connection: PooledConnection) -> None:
        """Keep a connection for further calls."""
        now = anyio.current_time()
        if connection.http.announced_close:
            self.retire_returned(connection)
        elif not connection.http.reusable:
            self.close_after_call(connection, CloseReason.NOT_REUSABLE)
        elif connection.unproven or not self._policy.may_reuse(connection.key[0], now):
            self.retire_returned(connection)
        else:
            connection.idle_since = self._clock.now()
            self.idle.setdefault(connection.key, deque()).append(connection)
            self._watch(connection)

    def retire_returned(self, connection: PooledConnection) -> None:
        """Take a connection back, but for no further call: it stays open while responses on it are provisional."""
        if not connection.provisional:
            self.close(connection, CloseReason.RETIRED)
        elif not (connection.http.reusable or connection.http.announced_close):
            self.close_after_call(connection, CloseReason.NOT_REUSABLE)
        else:
            self._retired[connection] = None
            self._watch(connection)

    def close(self, connection: PooledConnection, reason: CloseReason) -> None:
        """Close a connection that is in no pool. This refutes the responses on it that are still provisional."""
        connection.http.close()
        self._descriptors.release(DescriptorUse.CALLS)
        self.closed[reason] += 1
        for response in connection.take_provisional():
            response.confirmation.resolve(False)

    def close_after_call(self, connection: PooledConnection, reason: CloseReason = CloseReason.CALL_FAILED) -> None:
        """Close a connection whose call is not to be waited for, or whose response may be another call's. If surplus
        bytes are found, they are the reason."""
        if surplus := connection.http.surplus():
            self._surplus_received(connection, surplus)
            reason = CloseReason.SURPLUS
        self.close(connection, reason)

    # Idle connections

    def _watch(self, connection: PooledConnection) -> None:
        with suppress(OSError):  # the poll takes no more for the moment: `run` and the next call look as well
            asyncio.get_running_loop().add_reader(connection.http.fileno(), self._check_idle, connection)

    def _check_idle(self, connection: PooledConnection) -> bool:
        """Whether an idle connection is open with nothing to read; otherwise it is closed."""
        try:
            data = connection.http.read_idle()
            broken = False
        except OSError:
            data, broken = b"", True
        if data is None:
            return True
        if not self._remove(connection):
            return False
        if data:
            self._surplus_received(connection, data)
            self.close(connection, CloseReason.SURPLUS)
        else:
            if not broken and connection.http.announced_close:
                self._confirm_all(connection)
            self.close(connection, CloseReason.ENDED)
        return False

    def _surplus_received(self, connection: PooledConnection, data: bytes) -> None:
        endpoint, now = connection.key[0], anyio.current_time()
        if self._policy.may_reuse(endpoint, now):
            logger.bind(event="connection.surplus", endpoint=endpoint, size=len(data)).warning(
                "{} sent {} bytes that answer no call; {} provisional deliveries on the connection are reported as "
                "failed. For a while its connections are used once each. Closed so far: {}",
                connection.key[1],
                len(data),
                len(connection.provisional),
                ", ".join(f"{count} {reason.value}" for reason, count in self.closed.items()) or "none",
            )
        for silent in self._silent:
            if silent.connection is connection:
                silent.refute()
        self._policy.surplus_received(endpoint, now)
        self.on_surplus(endpoint, data)

    def _remove(self, connection: PooledConnection) -> bool:
        """Take a connection out of the pool; False if an earlier step has done so."""
        idle = self.idle.get(connection.key, deque())
        if connection in self._retired:
            del self._retired[connection]
        elif connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.key]
        else:
            return False
        asyncio.get_running_loop().remove_reader(connection.http.fileno())
        return True

    def _remove_and_close(self, connection: PooledConnection, reason: CloseReason) -> None:
        if self._remove(connection):
            self.close(connection, reason)

    def _is_old(self, connection: PooledConnection) -> bool:
        return connection.idle_since <= self._clock.now() - self._idle_ms

    def _all_idle(self) -> Iterator[PooledConnection]:
        return (connection for idle in list(self.idle.values()) for connection in list(idle))

    def retire(self, endpoint: int) -> None:
        """Use the idle connections of an endpoint no more."""
        for connection in [connection for connection in self._all_idle() if connection.key[0] == endpoint]:
            if self._remove(connection):
                self.retire_returned(connection)

    def close_idle_since(self, key: PoolKey, since: float) -> None:
        """Close those that were idle at least as long as one that was found broken: the next call could fail too."""
        for connection in [found for found in self.idle.get(key, ()) if found.idle_since <= since]:
            self._remove_and_close(connection, CloseReason.ENDED)

    def close_longest_idle(self) -> bool:
        """Free a descriptor; False if every connection carries a call."""
        candidates = list(self._retired) or [idle[0] for idle in self.idle.values()]
        if not candidates:
            return False
        connection = min(candidates, key=lambda candidate: candidate.idle_since)
        self._remove_and_close(connection, CloseReason.DESCRIPTORS)
        return True

    def close_old(self) -> None:
        """Close connections before the endpoints' idle timeout: a request sent while the endpoint closes is lost."""
        self._close_old(self._all_idle())

    def _close_old(self, connections: Iterable[PooledConnection]) -> None:
        for connection in [found for found in connections if self._is_old(found)]:
            if self._remove(connection):
                self.retire_returned(connection)

    def confirm_silent(self) -> None:
        """Judge the provisional responses on connections that have been silent since their last call's time."""
        now = anyio.current_time()
        for connection in [*self._all_idle(), *self._retired]:
            connection.drop_known()
            if connection.unproven:
                self._stop_reuse(connection)
            if connection.provisional:
                if now < connection.silent_from or not self._check_idle(connection):
                    continue
                self._silent.append(
                    _Silent(connection, connection.take_provisional(), connection.silent_from, connection.implausible)
                )
            if connection in self._retired:
                self._remove_and_close(connection, CloseReason.RETIRED)
        self._silent = [silent for silent in self._silent if not self._judge(silent)]

    def _judge(self, silent: _Silent) -> bool:
        """Judge the responses of one connection; False if it is not known yet what they are. One that may be another
        call's makes the later ones doubtful as well, and not the earlier ones: these are judged first."""
        endpoint, connection = silent.connection.key[0], silent.connection
        while responses := [response for response in silent.responses if not response.confirmation.known]:
            trusted = self._leading_trusted(silent, responses)
            judged = trusted or responses
            verdict = self.evidence.judge(
                endpoint, judged[0].sent_at, judged[-1].answered_at, silent.silent_from, not trusted
            )
            if verdict is Verdict.OPEN:
                return False
            if verdict is Verdict.REFUTED:
                silent.refute()
                continue
            for response in judged:
                self._confirm(connection, response)
        if all(response.confirmation.confirmed for response in silent.responses):
            connection.implausible -= silent.implausible
        else:
            self._stop_reuse(connection)
        return True

    def _leading_trusted(self, silent: _Silent, responses: list[_Provisional]) -> list[_Provisional]:
        """Those before the first response that may be another call's."""
        if silent.implausible and not responses[0].in_sync:
            return []
        return list(
            itertools.takewhile(lambda response: self._is_trusted(silent.connection.key[0], response), responses)
        )

    def _stop_reuse(self, connection: PooledConnection) -> None:
        """Give the connection no further call; it stays open while later responses on it are provisional."""
        connection.unproven = True
        if connection in self.idle.get(connection.key, ()) and self._remove(connection):
            self.retire_returned(connection)

    def _confirm_all(self, connection: PooledConnection) -> None:
        for response in connection.take_provisional():
            self._confirm(connection, response)

    async def run(self) -> None:
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            self.confirm_silent()
            self.close_old()
            self._policy.forget_old(anyio.current_time())
            self.evidence.forget_old(anyio.current_time())
