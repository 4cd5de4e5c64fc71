"""State of the client connections, and the choice of the one to shed. No I/O waits in here."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

import anyio

from ..net.http import has_ended, is_quiet
from .request_reader import RequestReader

_MAX_COMPARED = 32  # connections that are compared when one is shed
SHED_GRACE_S = 0.3  # from the connect until the connection may be shed
_UNFINISHED_GRACE_S = 0.1  # the same for one whose request was read in part, where few others can be shed


@dataclass(eq=False, slots=True)
class ClientSession:
    """One client connection. `since` is when it was accepted or last answered, or when its later request began; times
    are in loop seconds."""

    sock: socket.socket
    source: str
    since: float
    first: bool = True  # no request on it was answered yet
    queued: bool = False  # readable, and in a queue to be read
    watched: bool = False  # registered with the event loop
    message_accepted: bool = False  # its last request submitted a message that was accepted
    reader: RequestReader | None = None  # of a request that has begun
    held_bytes: int = 0  # what its unfinished request is counted at
    deadline: float = 0.0  # for the request that has begun, or for the next to begin
    discardable: int = 0  # bytes that are still read and discarded before the connection is closed
    scope: anyio.CancelScope | None = None  # of the task that serves it, if there is one
    closed: bool = False

    def is_unread(self) -> bool:
        """Whether data was received and not read yet: it may complete a request, which has to be answered."""
        return not is_quiet(self.sock) and not has_ended(self.sock)

    def is_silent(self) -> bool:
        """Whether no response is pending: no part of a request was received."""
        return not (self.reader or self.scope) and (is_quiet(self.sock) or has_ended(self.sock))


@dataclass(slots=True)
class SessionTable:
    """Every connection, grouped by the kind of its deadline. The timeouts in a group are of one length, so that the
    first of a group is the first that is due. A connection is in one group, or in none while it is being answered."""

    fresh: dict[ClientSession, None] = field(default_factory=dict)  # no complete request so far
    kept: dict[ClientSession, None] = field(default_factory=dict)  # between requests
    begun: dict[ClientSession, None] = field(default_factory=dict)  # a later request has begun
    lingering: dict[ClientSession, None] = field(default_factory=dict)  # answered, what still comes is discarded
    count: int = 0

    def remove(self, session: ClientSession) -> None:
        for group in self._groups():
            group.pop(session, None)

    def all(self) -> list[ClientSession]:
        """All connections but those that a task is answering."""
        return [session for group in self._groups() for session in group]

    def _groups(self) -> tuple[dict[ClientSession, None], ...]:
        return self.fresh, self.kept, self.begun, self.lingering

    def due(self, now: float) -> list[ClientSession]:
        """The connections whose deadline has passed."""
        overdue = []
        for group in self._groups():
            for session in group:
                if session.deadline > now:
                    break
                overdue.append(session)
        return overdue

    def next_due(self) -> float | None:
        return min((next(iter(group)).deadline for group in self._groups() if group), default=None)

    def _oldest_incomplete(self) -> list[ClientSession]:
        """Those without a complete request that have waited longest for one, on new and on kept connections."""
        return [session for group in (self.fresh, self.begun) for session in islice(group, _MAX_COMPARED)]

    def to_shed(self, now: float, weight: Callable[[str], float], known: Callable[[str], bool]) -> ClientSession | None:
        """The connection to shed: the first of these. One that is answered and lingers. One without a complete request,
        past its grace period. A silent one between requests, of an unknown source. One of whose request a part was
        read, past a shorter grace period. A silent new one, of an unknown source. A silent one between requests, whose
        client can reconnect without loss. Any silent one. Within each the oldest, or longest between requests, comes
        first."""

        def is_unknown(session: ClientSession) -> bool:
            return not known(session.source)

        kept, fresh = islice(self.kept, _MAX_COMPARED), islice(self.fresh, _MAX_COMPARED)
        choices = chain(
            self.lingering,
            self._late(now, weight),
            filter(ClientSession.is_silent, filter(is_unknown, kept)),
            self._unfinished(now),
            filter(ClientSession.is_silent, filter(is_unknown, fresh)),
            filter(ClientSession.is_silent, chain(self.kept, self.fresh)),
        )
        return next(choices, None)

    def _late(self, now: float, weight: Callable[[str], float]) -> Iterator[ClientSession]:
        """Without a complete request and past the grace period, those of the source with the greatest weight first; not
        one of which nothing was read yet, if it has sent something."""
        late = [session for session in self._oldest_incomplete() if now - session.since >= SHED_GRACE_S]
        for session in sorted(late, key=lambda session: weight(session.source), reverse=True):
            if session.scope or session.reader or not session.is_unread():
                yield session

    def _unfinished(self, now: float) -> Iterator[ClientSession]:
        for session in self._oldest_incomplete():
            if session.reader and now - session.since >= _UNFINISHED_GRACE_S:
                yield session
