"""What is remembered of open calls that are over, for as long as what they did may matter. No I/O and no clock.

A call whose client has gone, or that ended as failed, may have run. Until its time and its key's window are over the
same id may come again, here or after a restart; the attempts that were made then count against it, so that nothing is
repeated outside its class. Bounded: past `most` the entry whose time ends first goes.
"""

from __future__ import annotations

import heapq

from ..journal import Entry


class CallHistory:
    def __init__(self, most: int) -> None:
        self._most = most
        self._known: dict[str, tuple[float, Entry]] = {}
        self._ends: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        return len(self._known)

    def recall(self, wire_id: str) -> Entry | None:
        found = self._known.get(wire_id)
        return found[1] if found else None

    def forget(self, wire_id: str) -> None:
        self._known.pop(wire_id, None)

    def remember(self, entry: Entry, window_ms: float, now: float) -> list[int]:
        """Remember a call that is over; the numbers of what is over for good, to be closed in the journal."""
        ran = [attempt.sent_at for attempt in entry.attempts if attempt.may_have_run]
        if not ran:
            return [entry.number]  # it never ran: whoever comes again begins anew
        until = max(entry.deadline, max(ran) + window_ms)
        entry.body = b""
        self._known[entry.id] = (until, entry)
        heapq.heappush(self._ends, (until, entry.number, entry.id))
        return self.expired(now)

    def expired(self, now: float) -> list[int]:
        """The numbers of entries whose time is over, or that there is no room for."""
        over = []
        while self._ends and (self._ends[0][0] <= now or len(self._known) > self._most):
            _, number, wire_id = heapq.heappop(self._ends)
            known = self._known.get(wire_id)
            if known and known[1].number == number:
                del self._known[wire_id]
                over.append(number)
        return over
