"""The time that passed between two incarnations, and how far the wall clock was set meanwhile. No I/O except in `now`.

Stored times are wall-clock times. Between two incarnations the wall clock may have been set. The monotonic clock cannot
be set, and runs for as long as the machine is up. A moment is therefore stored as both, with the id of the boot that
the monotonic clock counts from:

- same boot: the monotonic clock gives the time that passed, and the rest of the wall-clock difference is how far the
  wall clock was set;
- different boot: only the wall clock is known. If it went back, it was set back by at least the difference, and no
  time counts as passed, so that an idempotency key is not used for longer than its window. If it went forward,
  that cannot be distinguished from time that passed and counts as such: expired messages are ended, which cannot
  cause a repeat.
"""

from __future__ import annotations

import math
import time
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

_BOOT_ID_READS = 5  # a read may fail for a moment, and an unknown boot id counts as a different boot
_BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
_CLOCK_NOISE_MS = 1.0  # two clocks that are read one after the other differ by less


@dataclass(frozen=True, slots=True)
class Moment:
    """`wall`: milliseconds of Unix time. `mono`: milliseconds since the boot with the id `boot`; empty: unknown."""

    wall: float
    mono: float = 0.0
    boot: str = ""


@dataclass(frozen=True, slots=True)
class Between:
    """`passed`: milliseconds between two moments. `set_by`: milliseconds to add to a time stored at the first moment to
    convert it to the present wall clock."""

    passed: float
    set_by: float = 0.0


@lru_cache(maxsize=1)
def _boot_id() -> str:
    return _BOOT_ID_PATH.read_text(encoding="ascii").strip()


def now(wall: float) -> Moment:
    """The present moment; `wall` is the time of the relay's clock."""
    mono = time.monotonic() * 1e3
    for _ in range(_BOOT_ID_READS):
        with suppress(OSError, ValueError):
            return Moment(wall, mono, _boot_id())
    return Moment(wall, mono)


def between(first: Moment, second: Moment) -> Between:
    """The time from one moment to a later one, and by how much the wall clock was set in it."""
    wall = second.wall - first.wall
    if not all(map(math.isfinite, (first.wall, first.mono))):
        return Between(0.0)
    if first.boot and first.boot == second.boot and second.mono >= first.mono:
        passed = second.mono - first.mono
        return Between(passed, wall - passed if abs(wall - passed) > _CLOCK_NOISE_MS else 0.0)
    if wall < 0:
        return Between(0.0, wall if wall < -_CLOCK_NOISE_MS else 0.0)
    return Between(wall)
