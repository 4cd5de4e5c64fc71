"""Load shedding when the relay's CPU is the limit. No I/O; measurements are passed as arguments.

The measure is delay: how late the event loop runs its timers, and how long a request waited until it was read. While
the delay stays above its target, a share of new messages is refused at once, with a Retry-After; the share follows the
delay and its trend (the PIE controller of RFC 8033, with delay in milliseconds). Messages of unknown sources are
refused first; those of known sources only once all of the unknown ones are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """`target_ms`: the target delay. `too_late_ms`: a request that waited longer is refused whatever the share,
    since its client may have timed out (clients wait 400 ms)."""

    target_ms: float = 40.0
    too_late_ms: float = 250.0


_UPDATE_INTERVAL_MS = 25.0
_DELAY_GAIN_PER_MS, _TREND_GAIN_PER_MS = 0.125 / 1e3, 1.25 / 1e3  # RFC 8033: 0.125 and 1.25 per second
_DECAY_PER_STEP = 0.98  # factor on the share, at each step with the delay below its target


class Load:
    """`share` is from 0 to 2: up to 1 it is the share that is refused of unknown sources' messages; above 1, what
    exceeds 1 is the share that is refused of known sources' messages."""

    def __init__(self, limits: LoadLimits, seed: int = 0) -> None:
        self._limits, self._random = limits, random.Random(seed)
        self.share = 0.0
        self.delay = 0.0  # milliseconds, the highest since the last step
        self._previous_delay = 0.0
        self._next_update = 0.0

    def measured(self, now: float, delay_ms: float) -> None:
        """Record a measured delay; `now` in milliseconds."""
        self.delay = max(self.delay, delay_ms)
        if now < self._next_update:
            return
        self._next_update = now + _UPDATE_INTERVAL_MS
        excess = self.delay - self._limits.target_ms
        step = _DELAY_GAIN_PER_MS * excess + _TREND_GAIN_PER_MS * (self.delay - self._previous_delay)
        if self.share < 0.1:
            step /= 8.0  # as in the RFC: a small share changes in small steps
        self.share = min(2.0, max(0.0, self.share + step))
        if excess < 0 and self._previous_delay < self._limits.target_ms:
            self.share *= _DECAY_PER_STEP
        if self.share < 0.001:
            self.share = 0.0
        self._previous_delay, self.delay = self.delay, 0.0

    def admits(self, known: bool, waited_ms: float = 0.0) -> bool:
        """Whether a message that waited for `waited_ms` may be accepted."""
        if waited_ms > self._limits.too_late_ms:
            return False
        probability = self.share - 1.0 if known else self.share
        return probability <= 0.0 or self._random.random() >= probability
