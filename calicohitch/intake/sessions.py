"""The connections of clients: what is kept of each while it waits, and who has to make room. No waiting here."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

import anyio

from ..net.http import has_ended, is_quiet

_MOST_COMPARED = 32  # of those who could make room
PATIENCE_S = 0.3  # a client that has just connected has this long before it has to make room


@dataclass(eq=False, slots=True)
class ClientSession:
    """One client's connection. `since` is when it was accepted, or last answered; times in the loop's seconds."""

    sock: socket.socket
    source: str
    since: float
    first: bool = True  # no request of it was answered yet
    queued: bool = False  # something came, and its turn to be read is yet to come
    handed_in: bool = False  # its last request was a message that was taken on
    data: bytes = b""  # the beginning of a request
    deadline: float = 0.0  # of the request that has begun, or of the wait for one
    scope: anyio.CancelScope | None = None  # of the task that reads an uncommon request
    gone: bool = False

    def is_unread(self) -> bool:
        """Something came that was not read yet: it may be the rest of a request, which is owed an answer."""
        return not is_quiet(self.sock) and not has_ended(self.sock)

    def is_silent(self) -> bool:
        """It is owed nothing: no part of a request has come."""
        return not (self.data or self.scope) and (is_quiet(self.sock) or has_ended(self.sock))


@dataclass(slots=True)
class SessionTable:
    """Every connection, in lines by when its time is up: each line's waits are of one length, so the first of a line
    is the first that is due. A seat stands in one line, or in none while it is being answered."""

    fresh: dict[ClientSession, None] = field(default_factory=dict)  # without a whole request so far
    kept: dict[ClientSession, None] = field(default_factory=dict)  # between requests
    begun: dict[ClientSession, None] = field(default_factory=dict)  # a later request has begun
    count: int = 0

    def leave_line(self, session: ClientSession) -> None:
        for line in (self.fresh, self.kept, self.begun):
            line.pop(session, None)

    def due(self, now: float) -> list[ClientSession]:
        """Those whose time is up."""
        found = []
        for line in (self.fresh, self.kept, self.begun):
            for session in line:
                if session.deadline > now:
                    break
                found.append(session)
        return found

    def next_due(self) -> float | None:
        return min((next(iter(line)).deadline for line in (self.fresh, self.kept, self.begun) if line), default=None)

    def to_shed(self, now: float, weight: Callable[[str], float], known: Callable[[str], bool]) -> ClientSession | None:
        """Who makes room: one without a whole request that had time for it and of whom all is read, of the source with
        the greatest weight, and of those the oldest; else the longest between requests, whose client comes again at no
        harm; else any that is silent. Of the last two strangers go first."""
        late = [session for session in islice(self.fresh, _MOST_COMPARED) if now - session.since >= PATIENCE_S]
        for session in sorted(late, key=lambda session: weight(session.source), reverse=True):
            if session.scope or not session.is_unread():
                return session
        strangers = (
            session
            for line in (self.kept, self.fresh)
            for session in islice(line, _MOST_COMPARED)
            if not known(session.source)
        )
        anyone = (session for line in (self.kept, self.fresh) for session in line)
        return next((session for seats in (strangers, anyone) for session in seats if session.is_silent()), None)
