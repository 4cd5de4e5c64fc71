"""How much work is let in when the relay's CPU is the limit. No I/O; what is measured comes as arguments.

The measure is delay: how late the loop runs what is due, and how long a request waited here until it was read. Where
the delay stays above its target a share of new messages is refused at once, with a time to come back; the share
follows the delay and its trend (the controller PIE of RFC 8033, with delay in milliseconds). Unknown sources are
refused first; known ones only once all unknown ones are.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadLimits:
    """`target_ms` of delay; `too_late_ms`: a request that waited longer is refused whatever the share, since its client
    may have given up (clients wait 400 ms)."""

    target_ms: float = 40.0
    too_late_ms: float = 250.0


_EVERY_MS = 25.0
_BY_DELAY, _BY_TREND = 0.125 / 1e3, 1.25 / 1e3  # share a millisecond, of RFC 8033's 0.125 and 1.25 a second
_FORGET = 0.98  # of the share, at each step without delay


class Load:
    """`share` runs from 0 to 2: up to 1 for unknown sources, past that for known ones."""

    def __init__(self, limits: LoadLimits, seed: int = 0) -> None:
        self._limits, self._random = limits, random.Random(seed)
        self.share = 0.0
        self.delay = 0.0  # milliseconds, the worst since the last step
        self._before = 0.0
        self._next = 0.0

    def measured(self, now: float, delay_ms: float) -> None:
        """A delay that was seen."""
        self.delay = max(self.delay, delay_ms)
        if now < self._next:
            return
        self._next = now + _EVERY_MS
        over = self.delay - self._limits.target_ms
        step = _BY_DELAY * over + _BY_TREND * (self.delay - self._before)
        if self.share < 0.1:
            step /= 8.0  # as the RFC has it: a small share moves in small steps
        self.share = min(2.0, max(0.0, self.share + step))
        if over < 0 and self._before < self._limits.target_ms:
            self.share *= _FORGET
        if self.share < 0.001:
            self.share = 0.0
        self._before, self.delay = self.delay, 0.0

    def admits(self, known: bool, waited_ms: float = 0.0) -> bool:
        """Whether a message that waited so long may be taken on."""
        if waited_ms > self._limits.too_late_ms:
            return False
        chance = self.share - 1.0 if known else self.share
        return chance <= 0.0 or self._random.random() >= chance
