"""The one clock of a relay: float milliseconds of Unix time that never run backwards."""

from __future__ import annotations

import time

_READINGS = 5


class Clock:
    """Unix time at the start plus monotonic time since, so that deadlines outlast a restart."""

    def __init__(self) -> None:
        self._offset = _offset_ms()

    def now(self) -> float:
        return self._offset + time.monotonic() * 1e3


def _offset_ms() -> float:
    """Unix time less monotonic time. Of several pairs of readings the one that lay closest together counts, since a
    process may be held up between two of them."""
    pairs = []
    for _ in range(_READINGS):
        before = time.monotonic()
        wall = time.time()
        after = time.monotonic()
        pairs.append((after - before, wall - (before + after) / 2))
    return min(pairs)[1] * 1e3


class ManualClock(Clock):
    """A clock that stands still until it is told to move."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self._now = now

    def now(self) -> float:
        return self._now

    def advance(self, ms: float) -> None:
        self._now += ms


def to_micros(ms: float) -> int:
    """The decisions count in whole microseconds: this and `to_ms` are the only places that convert."""
    return int(ms * 1e3)


def to_ms(micros: int) -> float:
    return micros / 1e3
