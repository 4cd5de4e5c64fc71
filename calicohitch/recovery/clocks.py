"""What time passed between two lives, and how far the wall clock was set meanwhile. No I/O but `now`.

Stored times are wall-clock times. Between lives the wall clock may have been set; the monotonic clock cannot be, and
runs on while the machine does. So a moment is written as both, with the name of the boot that the monotonic clock
counts from:

- the same boot: the monotonic clock says what passed, and the rest of the difference is how far the wall clock was set;
- another boot: the wall clock is all there is. One that went back went back by at least what it lacks, and no time
  counts as passed, so that no key lives longer by it; one that went forward cannot be told from time that passed, and
  counts as that: what is too old is ended, which is the safe side of a repeat.
"""

from __future__ import annotations

import math
import time
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

_BOOT_READS = 5  # a read may fail for a moment, and a boot that is not known counts as another one
_BOOT = Path("/proc/sys/kernel/random/boot_id")
_NOISE_MS = 1.0  # two clocks that are read one behind the other differ by less


@dataclass(frozen=True, slots=True)
class Moment:
    """`wall` in milliseconds of Unix time, `mono` in milliseconds since the boot that `boot` names; empty: unknown."""

    wall: float
    mono: float = 0.0
    boot: str = ""


@dataclass(frozen=True, slots=True)
class Between:
    """`passed` milliseconds lie between two moments; `set_by` is to be added to a time stored at the first of them, to
    have it on the wall clock as it is now."""

    passed: float
    set_by: float = 0.0


@lru_cache(maxsize=1)
def _boot() -> str:
    return _BOOT.read_text(encoding="ascii").strip()


def now(wall: float) -> Moment:
    """This moment; `wall` as the relay's clock tells it."""
    mono = time.monotonic() * 1e3
    for _ in range(_BOOT_READS):
        with suppress(OSError, ValueError):
            return Moment(wall, mono, _boot())
    return Moment(wall, mono)


def between(first: Moment, second: Moment) -> Between:
    """What passed from one moment to a later one."""
    wall = second.wall - first.wall
    if not all(map(math.isfinite, (first.wall, first.mono))):
        return Between(0.0)
    if first.boot and first.boot == second.boot and second.mono >= first.mono:
        passed = second.mono - first.mono
        return Between(passed, wall - passed if abs(wall - passed) > _NOISE_MS else 0.0)
    if wall < 0:
        return Between(0.0, wall if wall < -_NOISE_MS else 0.0)
    return Between(wall)
