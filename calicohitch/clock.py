"""The clock of a relay: Unix time as float milliseconds, which never runs backwards."""

from __future__ import annotations

import time

_READING_COUNT = 5


class Clock:
    """Unix time at the start plus the monotonic time since, so that deadlines remain valid after a restart."""

    def __init__(self) -> None:
        self._offset = _offset_ms()

    def now(self) -> float:
        return self._offset + time.monotonic() * 1e3


def _offset_ms() -> float:
    """Unix time less monotonic time. The process may be suspended during a reading of both, so of several readings the
    shortest one counts."""
    readings = []
    for _ in range(_READING_COUNT):
        before = time.monotonic()
        wall = time.time()
        after = time.monotonic()
        readings.append((after - before, wall - (before + after) / 2))
    return min(readings)[1] * 1e3


class ManualClock(Clock):
    """A clock that moves only by `advance`."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self._now = now

    def now(self) -> float:
        return self._now

    def advance(self, ms: float) -> None:
        self._now += ms


def to_micros(ms: float) -> int:
    """Whole microseconds, the unit of the decision engine. Only this and `to_ms` convert between the two units."""
    return int(ms * 1e3)


def to_ms(micros: int) -> float:
    return micros / 1e3
