"""News of limits between very many couriers: who hears first that a limit has changed tells all. No I/O, no clock.

Each courier hears an answer of a small destination every few seconds. Until then it sends by the limit as it was, and
where refused calls use the limit up nothing gets through meanwhile. One note to all ends that within a hop. It costs a
receipt by each courier, so it is rare: a change has to be a large one, whoever hears it waits a moment drawn at
random, in which another's note may come, and a destination is told of once in some seconds. Nothing rests on a note:
one that is lost is replaced by the next answer, and so is one that is wrong. Times are microseconds.

A note is a version, and for each destination its number and limit (calls a second), big-endian; 256 bytes at most.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Sequence

from .limit_share import LimitShare

_VERSION = b"\x01"
_ITEM = struct.Struct(">If")
_MOST = 31  # destinations in a note
_SECOND = 1_000_000
_WAIT = 0.2 * _SECOND  # the longest moment before a note: notes take up to 40 ms
_QUIET = 3 * _SECOND  # between two notes on a destination
_LARGEST = 1e9
LOWERED, RAISED = 0.65, 1.6  # times the limit as known: a change that is worth a note, and no noise of reports


class LimitUpdates:
    """One courier's part in it."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._pending: dict[int, float] = {}  # destination -> limit
        self._due = 0.0
        self._quiet: dict[int, float] = {}  # destination -> until when it is not told of
        self.unread = 0  # notes that were none

    def observe(self, now: int, dest: int | None, share: LimitShare, report: Sequence[float], full: bool) -> None:
        """An answer told a share something; `dest`: where all endpoints have one limit, else None. A limit that differs
        from the one known by answers is news."""
        before = share.limit if share.reported else 0.0
        share.observe(now, report, full)
        limit = share.limit
        if dest is None or not share.notes or not (before and limit):
            return
        if LOWERED <= limit / before <= RAISED or self._quiet.get(dest, 0.0) > now:
            return
        if not self._pending:
            self._due = now + self._random.random() * _WAIT
        self._pending[dest] = limit

    def due(self, now: int) -> bytes:
        """The note that is to go to all now; empty for none."""
        if not self._pending or now < self._due:
            return b""
        told = list(self._pending.items())[:_MOST]
        self._pending.clear()
        for dest, _ in told:
            self._quiet[dest] = now + _QUIET
        return _VERSION + b"".join(_ITEM.pack(dest & 0xFFFFFFFF, limit) for dest, limit in told)

    def receive(self, now: int, note: bytes) -> list[tuple[int, float]]:
        """Destinations and limits of another's note; what cannot be true is left out."""
        if note[:1] != _VERSION or (len(note) - 1) % _ITEM.size or len(note) > 1 + _MOST * _ITEM.size:
            self.unread += 1
            return []
        told = []
        for dest, limit in _ITEM.iter_unpack(note[1:]):
            if math.isfinite(limit) and 0 < limit < _LARGEST:
                told.append((dest, limit))
                self._pending.pop(dest, None)
                self._quiet[dest] = now + _QUIET
        return told
