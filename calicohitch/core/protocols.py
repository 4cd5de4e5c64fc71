"""The two small interfaces that every protocol stands behind.

An **intake** makes a `Submission` of what it reads and calls `Relay.submit`. Where its client is to be told at once
that the message is taken on (HTTP/1.1: 202), it calls `accept` after that, and the end goes to the platform as a
notice. Where the client's call stays open until the end (gRPC), it gives a `Reply`, and that is told the one end
instead.

A **delivery** makes one attempt and says how it ended: never a second one of its own, whatever its library would do.
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
    """Why a message was not taken on, or not once more."""

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
        """After how long its client may hand it in again: here once there is room, else at once at another relay."""
        return 1_000.0 if self in (Refusal.FULL, Refusal.UNKNOWN, Refusal.BUSY, Refusal.NOT_REPLICATED) else 100.0


class EndKind(Enum):
    """The one end of a message whose client waits for it."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # harmless to hand in again
    FAILED = "failed"  # given up, and it may have run


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """`retry_in` in milliseconds, 0 for no advice; `answer` is the delivery's, for the intake of its protocol."""

    kind: EndKind
    retry_in: float = 0.0
    may_have_run: bool = False
    answer: Any = None


class Reply(Protocol):
    """A client's call that is open until its message's end."""

    def ended(self, end: MessageEnd) -> None:
        """Told exactly once, unless the message was withdrawn before; must not wait."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as it is handed in, in whatever protocol. `time_left` in milliseconds. With a `reply` the message is
    its client's open call: it outlasts this process as a memory of what was tried, not as work to be done."""

    id: str
    class_index: int
    dest: int
    time_left: float
    key: str | None
    body: bytes
    handed_in_again: bool = False
    from_dead_relay: bool = False
    headers: Iterable[tuple[bytes, bytes]] = ()  # as they came, for those who follow a message's path
    protocol: int = 0  # by the numbers of `interface.PROTOCOLS`
    reply: Reply | None = None
    content: Any = None  # what a delivery of the same protocol needs beside the body


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt as it goes to an endpoint; `timeout` in milliseconds."""

    id: str
    key: str | None
    body: bytes
    timeout: float
    more: Sequence[tuple[bytes, bytes]] = ()  # headers that go with it
    marks: AttemptFacts | None = None  # where its progress is noted, for those who follow it
    content: Any = None


@dataclass(frozen=True, slots=True)
class Result:
    """How a call ended; `ended`: nothing more is owed for its message. `wait` in milliseconds. `stale`: its
    connection was kept from an earlier call, and broke before any answer. `answer` goes to the message's `Reply`."""

    outcome: Outcome
    ended: bool = False
    wait: float = 0.0
    slots_taken: bool = False
    report: tuple[float, ...] = ()
    stale: bool = False
    answer: Any = None


class Replicator(Protocol):
    """What a relay knows of copies of its work, where other relays hold them (`failover/`). Messages go by their
    numbers; of those that are not copied all is safe, and all may be done."""

    def attach(self, relay: Adopter) -> None: ...

    async def run(self) -> None: ...

    async def begin(self, entries: dict[int, Entry]) -> set[int]:
        """Settle whose the folder's messages are: the numbers of those that are others' by now."""

    def covers(self, entry: Entry) -> bool:
        """Whether a message is copied, or was."""

    def refuses(self, class_index: int, wire_id: str) -> Refusal | None:
        """Why no message of this class can be taken on now; None where one can."""

    def opening(self, entry: Entry) -> None:
        """A message is about to be journaled; `abandoned` follows where that cannot be done."""

    def abandoned(self, number: int) -> None: ...

    def record(self, number: int, payload: bytes, over: bool) -> None:
        """A record of the journal was written; the last of its message where `over`."""

    def record_wait(self, route: int, until: float) -> None:
        """A destination, or an endpoint's route below zero, told to wait until then."""

    def is_copied(self, number: int) -> bool: ...

    def may_be_accepted(self, number: int) -> bool:
        """Whether its client may be told that it is taken on."""

    async def until_accepted(self, number: int, within_s: float) -> bool: ...

    async def until_safe(self, number: int, within_s: float) -> bool:
        """Until all that was recorded of it is copied as its class asks; False where that takes longer."""

    def when_safe(self, number: int, then: Callable[[], None]) -> None: ...

    def may_act(self, number: int) -> bool:
        """Whether it is proved right now that nobody else has it."""

    def may_end(self) -> bool:
        """Whether ends may be told now."""

    @property
    def ends_waiting(self) -> int:
        """Ends that wait until they are copied."""


class Adopter(Protocol):
    """What takes over others' messages: a relay."""

    def adopt(self, entries: Sequence[Entry]) -> list[int]:
        """Journal them under numbers of its own, and do nothing with them yet."""

    def confirm(self, numbers: Sequence[int], waits: Mapping[int, float]) -> None:
        """They are its own now. `waits`: routes that told to wait, until when by its clock."""

    def drop(self, numbers: Sequence[int]) -> None:
        """They are not."""


class Delivery(Protocol):
    """Attempts in one protocol, over connections of its own."""

    async def call(
        self, endpoint: int, address: Address, call: Call, scope: anyio.CancelScope, wanted: Callable[[], bool]
    ) -> Result:
        """One attempt. `wanted` is asked once a new connection is up; False ends the attempt as moot before its
        first byte. Cancelling `scope` gives it up."""

    def close_idle(self, endpoint: int) -> None:
        """Shut the connections to an endpoint that have no call on them."""

    async def run(self) -> None:
        """What the connections need as long as the relay lives."""
