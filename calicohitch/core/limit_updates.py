"""Updates of limits between very many relays: the first to learn of a changed limit notifies all. No I/O, no clock.

Each relay receives an answer of a small destination only every few seconds. Until then it sends by the old limit, and
if refused calls count against the limit, no call succeeds meanwhile. One note to all relays ends that within a hop. It
costs each relay a receipt, so notes are rare: the change has to be large, a relay first waits a random time in which
another relay's note may arrive, and a destination has one note in some seconds. Nothing depends on a note: a lost or
wrong one is replaced by the next answer. Times are microseconds.

A note is a version, and for each destination its number and limit (calls per second), big-endian; 256 bytes at most.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Sequence

from .limit_share import MAX_LIMIT, LimitShare

_VERSION = b"\x01"
_ITEM = struct.Struct(">If")
_MAX_DESTINATIONS = 31  # in a note
_SECOND = 1_000_000  # microseconds
_MAX_DELAY_US = 0.2 * _SECOND  # before a note is sent; notes take up to 40 ms
_MIN_INTERVAL_US = 3 * _SECOND  # between two notes on a destination
_MAX_MUTED = 4_096  # destinations on which no note is sent for a while
LOWERED, RAISED = 0.65, 1.6  # ratios to the known limit, beyond which a change is no noise and needs a note


class LimitUpdates:
    """The updates that one relay sends and receives."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._pending: dict[int, float] = {}  # destination -> limit
        self._due_at = 0.0
        self._muted_until: dict[int, float] = {}  # destination -> no note on it before this time
        self.unread = 0  # invalid notes

    def observe(self, now: int, dest: int | None, share: LimitShare, report: Sequence[float], full: bool) -> None:
        """Process an answer's report, also in `share`. A limit that differs from the one known from answers is queued
        for a note. `dest` is None unless all endpoints of the destination share one limit."""
        previous = share.limit if share.reported else 0.0
        share.observe(now, report, full)
        limit = share.limit
        if dest is None or not share.exchanged or not (previous and limit):
            return
        if LOWERED <= limit / previous <= RAISED or self._muted_until.get(dest, 0.0) > now:
            return
        if not self._pending:
            self._due_at = now + self._random.random() * _MAX_DELAY_US
        self._pending[dest] = limit

    def due(self, now: int) -> bytes:
        """The note to send to all relays now; empty for none."""
        if not self._pending or now < self._due_at:
            return b""
        updates = list(self._pending.items())[:_MAX_DESTINATIONS]
        self._pending.clear()
        for dest, _ in updates:
            self._mute(now, dest)
        return _VERSION + b"".join(_ITEM.pack(dest & 0xFFFFFFFF, limit) for dest, limit in updates)

    def receive(self, now: int, note: bytes) -> list[tuple[int, float]]:
        """The destinations and limits of another relay's note, without impossible values."""
        if note[:1] != _VERSION or (len(note) - 1) % _ITEM.size or len(note) > 1 + _MAX_DESTINATIONS * _ITEM.size:
            self.unread += 1
            return []
        updates = []
        for dest, limit in _ITEM.iter_unpack(note[1:]):
            if math.isfinite(limit) and 0 < limit < MAX_LIMIT:
                updates.append((dest, limit))
                self._pending.pop(dest, None)
                self._mute(now, dest)
        return updates

    def _mute(self, now: int, dest: int) -> None:
        """Send no note on the destination for a while. Above the bound the longest muted ones may have one again."""
        self._muted_until.pop(dest, None)
        self._muted_until[dest] = now + _MIN_INTERVAL_US
        while len(self._muted_until) > _MAX_MUTED or next(iter(self._muted_until.values())) <= now:
            del self._muted_until[next(iter(self._muted_until))]
