"""The interfaces that every protocol implements, and those between the relay and replication.

An **intake** turns what it reads into a `Submission` and calls `Relay.submit`. If its client is answered as soon as the
message is accepted (HTTP/1.1: 202), it then calls `accept`, and the end is sent to the platform as a notice. If the
client's call stays open until the end (gRPC), it passes a `Reply`, which receives the one end instead.

A **delivery** makes one attempt and returns its result. It never retries by itself, whatever its library would do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

import anyio

from ..config import Address
from ..interface import Outcome

if TYPE_CHECKING:
    from ..journal import Entry
    from ..tracing.facts import AttemptFacts


class Refusal(Enum):
    """Why a message was not accepted, or not accepted again."""

    STARTING = "the relay is starting"
    STOPPING = "the relay is stopping"
    FULL = "no room for another message"
    BUSY = "too much work at once"
    NOT_REPLICATED = "too few relays hold copies"
    CLIENT_LEFT = "the client has left"
    NO_KEY = "a message of this class needs a key"
    UNKNOWN = "no endpoint is known for the destination"
    BEING_SUBMITTED = "it is being handed in on another connection"
    ALREADY_ACCEPTED = "it is taken on already"

    @property
    def retry_after_ms(self) -> float:
        """The advised delay before the client submits it again: here once there is capacity, else at another relay."""
        return 1_000.0 if self in (Refusal.FULL, Refusal.UNKNOWN, Refusal.BUSY, Refusal.NOT_REPLICATED) else 100.0


class EndKind(Enum):
    """How a message ended whose client waits for the end."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # safe to submit again
    FAILED = "failed"  # abandoned, and it may have run


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """The end of a message. `retry_in` is the advised delay in milliseconds, 0 for none; `answer` is the delivery's,
    for the intake of the same protocol."""

    kind: EndKind
    retry_in: float = 0.0
    may_have_run: bool = False
    answer: Any = None


class Reply(Protocol):
    """A client's call that stays open until its message ends."""

    def ended(self, end: MessageEnd) -> None:
        """Called exactly once, unless the message was withdrawn before. Must not block."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as it is submitted, in any protocol. `time_left` in milliseconds. With a `reply` the message is its
    client's open call: after a restart its attempts are remembered, and it is not delivered."""

    id: str
    class_index: int
    dest: int
    time_left: float
    key: str | None
    body: bytes
    handed_in_again: bool = False
    from_dead_relay: bool = False
    headers: Iterable[tuple[bytes, bytes]] = ()  # as received, for tracing
    protocol: int = 0  # index in `interface.PROTOCOLS`
    reply: Reply | None = None
    content: Any = None  # what a delivery of the same protocol needs besides the body


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt as it is sent to an endpoint; `timeout` in milliseconds."""

    id: str
    key: str | None
    body: bytes
    timeout: float
    more: Sequence[tuple[bytes, bytes]] = ()  # additional headers
    marks: AttemptFacts | None = None  # where its progress is recorded for tracing
    content: Any = None
    runs_once: bool = False  # its message may not be repeated, so that a refusal has to be certain


class Confirmation:
    """Whether a response that ended a message was the one to its call, where that is known only later."""

    def __init__(self) -> None:
        self._confirmed: bool | None = None
        self._then: Callable[[bool], None] | None = None

    @property
    def known(self) -> bool:
        return self._confirmed is not None

    @property
    def confirmed(self) -> bool:
        return self._confirmed is True

    def resolve(self, confirmed: bool) -> None:
        """Called by the delivery, and by the relay if it waits no longer; only the first call counts."""
        if self.known:
            return
        self._confirmed = confirmed
        if self._then:
            self._then(confirmed)

    def when_known(self, then: Callable[[bool], None]) -> None:
        """Call `then` with the answer, now or later."""
        self._then = then
        if self._confirmed is not None:
            then(self._confirmed)


@dataclass(frozen=True, slots=True)
class Result:
    """How a call ended. `ended`: its message needs nothing more. `wait`: the retry-after in milliseconds. `stale`: its
    connection was kept alive from an earlier call, and broke before any answer. `answer` is passed to the message's
    `Reply`. `indeterminate`: the response may be another call's, so the attempt may have run, whatever the outcome
    says. `confirmation`: of a message that has ended by a response which may be another call's."""

    outcome: Outcome
    ended: bool = False
    wait: float = 0.0
    slots_taken: bool = False
    report: tuple[float, ...] = ()
    stale: bool = False
    answer: Any = None
    indeterminate: bool = False
    confirmation: Confirmation | None = None

    @property
    def may_have_run(self) -> bool:
        return self.indeterminate or not self.outcome.never_ran


class Replicator(Protocol):
    """What a relay knows of the replicas of its messages at other relays (`failover/`). Messages are identified by
    their numbers. A message that is not replicated counts as safe, and every act on it is allowed."""

    def attach(self, relay: Adopter) -> None: ...

    async def run(self) -> None: ...

    async def begin(self, entries: dict[int, Entry]) -> set[int]:
        """Determine who owns the folder's messages, and return the numbers of those that other relays own by now."""

    def covers(self, entry: Entry) -> bool:
        """Whether a message is or was replicated."""

    def refuses(self, class_index: int, wire_id: str) -> Refusal | None:
        """Why a message of this class cannot be accepted now; None if it can."""

    def opening(self, entry: Entry) -> None:
        """A message is about to be journaled; `abandoned` follows if that fails."""

    def abandoned(self, number: int) -> None: ...

    def record(self, number: int, payload: bytes, over: bool) -> None:
        """A record of the journal was written; `over`: the last one of its message."""

    def record_wait(self, route: int, until: float) -> None:
        """A destination, or, below zero, the route of an endpoint, asked for no calls until then (retry-after)."""

    def is_copied(self, number: int) -> bool: ...

    def may_be_accepted(self, number: int) -> bool:
        """Whether its client may be answered that it is accepted."""

    async def until_accepted(self, number: int, within_s: float) -> bool: ...

    async def until_safe(self, number: int, within_s: float) -> bool:
        """Wait until all its records are replicated as its class requires; False if that takes longer."""

    def when_safe(self, number: int, then: Callable[[], None]) -> None: ...

    def may_act(self, number: int) -> bool:
        """Whether it is certain at present that no other relay owns the message."""

    def may_end(self) -> bool:
        """Whether ends may be reported now."""

    @property
    def ends_waiting(self) -> int:
        """The number of ends that wait for their replication."""


class Adopter(Protocol):
    """Takes over the messages of other relays; implemented by the relay."""

    def adopt(self, entries: Sequence[Entry]) -> list[int]:
        """Journal the messages under new numbers, which are returned, without acting on them yet."""

    def confirm(self, numbers: Sequence[int], waits: Mapping[int, float]) -> None:
        """The messages are its own now. `waits`: the end of the retry-after of routes, by its clock."""

    def drop(self, numbers: Sequence[int]) -> None:
        """The messages are not its own: discard them."""


class Delivery(Protocol):
    """Makes attempts in one protocol, over its own connections."""

    async def call(
        self, endpoint: int, address: Address, call: Call, scope: anyio.CancelScope, wanted: Callable[[], bool]
    ) -> Result:
        """Make one attempt. `wanted` is called once a new connection is established; False ends the attempt as moot
        before its first byte. Cancelling `scope` aborts it."""

    def close_idle(self, endpoint: int) -> None:
        """Close the connections to an endpoint that carry no call."""

    async def run(self) -> None:
        """Maintain the connections for as long as the relay runs."""
