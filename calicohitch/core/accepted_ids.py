"""Ids of accepted messages that are over, so that none is accepted again while its time runs. No I/O, no clock.

A client may hand in an id again that it got no answer for, although its message was accepted and has ended since.
Bounded: above `capacity` the id whose time ends first is dropped. Times are milliseconds.
"""

from __future__ import annotations

import heapq


class AcceptedIds:
    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._expiries: dict[str, float] = {}
        self._by_expiry: list[tuple[float, str]] = []  # a heap

    def __len__(self) -> int:
        return len(self._expiries)

    def __contains__(self, wire_id: str) -> bool:
        return wire_id in self._expiries

    def add(self, wire_id: str, expires_at: float) -> None:
        """Remember the id until then."""
        if self._expiries.get(wire_id, 0.0) >= expires_at:
            return
        self._expiries[wire_id] = expires_at
        heapq.heappush(self._by_expiry, (expires_at, wire_id))
        while len(self._by_expiry) > self._capacity:
            self._drop_first()

    def drop_expired(self, now: float) -> None:
        while self._by_expiry and self._by_expiry[0][0] <= now:
            self._drop_first()

    def _drop_first(self) -> None:
        expires_at, wire_id = heapq.heappop(self._by_expiry)
        if self._expiries.get(wire_id) == expires_at:
            del self._expiries[wire_id]
