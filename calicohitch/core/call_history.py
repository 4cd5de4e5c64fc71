"""Attempts of ended client calls, remembered for as long as the same call may be submitted again. No I/O, no clock.

A call whose client has disconnected, or that failed, may have run. Until its deadline and its key's window are over
the same id may be submitted again, here or after a restart. Its earlier attempts then count, so that it is not repeated
against the rules of its class. Bounded: above `capacity` the entry that expires first is dropped.
"""

from __future__ import annotations

import heapq

from ..journal import Entry


class CallHistory:
    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._entries: dict[str, tuple[float, Entry]] = {}  # id -> expiry in ms, entry
        self._expiries: list[tuple[float, int, str]] = []  # a heap of expiry in ms, number, id

    def __len__(self) -> int:
        return len(self._entries)

    def recall(self, wire_id: str) -> Entry | None:
        found = self._entries.get(wire_id)
        return found[1] if found else None

    def forget(self, wire_id: str) -> None:
        self._entries.pop(wire_id, None)

    def remember(self, entry: Entry, window_ms: float, now: float) -> list[int]:
        """Remember an ended call. Returns the numbers of calls to be closed in the journal. Times are milliseconds."""
        ran = [attempt.sent_at for attempt in entry.attempts if attempt.may_have_run]
        if not ran:
            return [entry.number]  # it never ran: a resubmission starts from scratch
        expires_at = max(entry.deadline, max(ran) + window_ms)
        entry.body = b""
        self._entries[entry.id] = (expires_at, entry)
        heapq.heappush(self._expiries, (expires_at, entry.number, entry.id))
        return self.expired(now)

    def expired(self, now: float) -> list[int]:
        """Drop expired entries and those above the capacity, and return their numbers."""
        dropped = []
        while self._expiries and (self._expiries[0][0] <= now or len(self._entries) > self._capacity):
            _, number, wire_id = heapq.heappop(self._expiries)
            found = self._entries.get(wire_id)
            if found and found[1].number == number:
                del self._entries[wire_id]
                dropped.append(number)
        return dropped
