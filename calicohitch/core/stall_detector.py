"""Notices that the process stood still, as under SIGSTOP or on a machine that was suspended. No I/O, no clock."""

from __future__ import annotations

from ..clock import to_ms
from ..pacing import OUTAGE_US

STALL_MS = to_ms(OUTAGE_US)  # in a shorter stall no outage can have begun unnoticed


class StallDetector:
    """Compares the times of successive observations, which a running process makes many times a second."""

    def __init__(self, now: float) -> None:
        self._observed_at = now

    def observe(self, now: float) -> bool:
        """Whether the process stood still until `now`, in milliseconds, since the last observation."""
        passed, self._observed_at = now - self._observed_at, now
        return passed > STALL_MS
