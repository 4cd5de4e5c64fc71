"""What the process holds, and the longest piece of work that held up the event loop, for the log.

A process that is killed for its memory cannot log why. So a line is written whenever the memory has grown by another
step, whenever a piece of work took long, and at intervals while the relay has anything to do.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from .process_memory import BYTES_PER_MB, resident_bytes

_CHECK_INTERVAL_S = 0.25
_REPORT_INTERVAL_S = 10.0
_MIN_INTERVAL_S = 1.0  # between two lines, whatever happens
_GROWTH_STEPS = 16  # into which the memory limit is divided
LONG_TURN_MS = 100.0  # a quarter of the time that a client waits for its answer


@dataclass(frozen=True, slots=True)
class Turn:
    """One piece of work of the event loop; `units`: how many requests, events or members it processed."""

    work: str
    duration_ms: float
    units: int = 0

    def __str__(self) -> str:
        return f"{self.duration_ms:.0f} ms, {self.work} ({self.units})"


_NO_TURN = Turn("nothing", 0.0)


class ResourceMonitor:
    """`limit_bytes`: what the process may have resident. Counters are registered by their owners."""

    def __init__(self, limit_bytes: float, resident: Callable[[], int] = resident_bytes) -> None:
        self._limit_bytes, self._resident = limit_bytes, resident
        self._counters: dict[str, Callable[[], int]] = {}
        self._longest = _NO_TURN
        self._delay_ms = 0.0  # the longest by which the loop ran a timer late, since the last line
        self._peak_bytes = 0
        self._logged_bytes = 0.0  # the resident memory of the last line
        self._logged_at = -math.inf

    def register(self, name: str, count: Callable[[], int]) -> None:
        """Report `count()` under this name, which is a field of the log line."""
        self._counters[name] = count

    @staticmethod
    def start() -> float:
        """To be passed to `ended` when the piece of work is done."""
        return time.perf_counter()

    def ended(self, work: str, started: float, units: int = 0) -> None:
        """A piece of work that held the event loop is done."""
        duration_ms = (time.perf_counter() - started) * 1e3
        if duration_ms > self._longest.duration_ms:
            self._longest = Turn(work, duration_ms, units)

    def delayed(self, delay_ms: float) -> None:
        """The event loop ran a timer so much late."""
        self._delay_ms = max(self._delay_ms, delay_ms)

    def _was_long(self) -> bool:
        return max(self._delay_ms, self._longest.duration_ms) >= LONG_TURN_MS

    def is_due(self, now_s: float, resident: int) -> bool:
        """Whether a line is due, by the time since the last one, the growth of the memory, or a long turn."""
        since_s = now_s - self._logged_at
        grown = resident - self._logged_bytes >= self._limit_bytes / _GROWTH_STEPS
        early = grown or self._was_long()
        return since_s >= _REPORT_INTERVAL_S or early and since_s >= _MIN_INTERVAL_S

    async def run(self) -> None:
        """Log until cancelled. Quiet while nothing has changed since the last line."""
        last_line: tuple[int, ...] = ()
        while True:
            await anyio.sleep(_CHECK_INTERVAL_S)
            resident = self._resident()
            self._peak_bytes = max(self._peak_bytes, resident)
            if not self.is_due(anyio.current_time(), resident):
                continue
            counts = {name: count() for name, count in self._counters.items()}
            line = (round(resident / BYTES_PER_MB), *counts.values())
            if line != last_line or self._was_long():
                self._log(resident, counts)
                last_line = line
            self._logged_at, self._logged_bytes = anyio.current_time(), resident
            self._longest, self._delay_ms = _NO_TURN, 0.0

    def _log(self, resident: int, counts: dict[str, int]) -> None:
        logger.bind(
            event="process.resources",
            resident_bytes=resident,
            peak_bytes=self._peak_bytes,
            limit_bytes=round(self._limit_bytes),
            longest_turn_ms=round(self._longest.duration_ms, 1),
            longest_turn=self._longest.work,
            loop_delay_ms=round(self._delay_ms, 1),
            **counts,
        ).info(
            "resources: {:.0f} MB of {:.0f} (peak {:.0f}); {}; longest turn {}; loop late by up to {:.0f} ms",
            resident / BYTES_PER_MB,
            self._limit_bytes / BYTES_PER_MB,
            self._peak_bytes / BYTES_PER_MB,
            ", ".join(f"{count} {name.replace('_', ' ')}" for name, count in counts.items()),
            self._longest,
            self._delay_ms,
        )
