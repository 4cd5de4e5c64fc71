"""How much of what costs this side work a peer may do on one HTTP/2 connection. No I/O and no clock.

Guards against floods that the protocol allows: pings, settings, resets as fast as streams are opened (CVE-2023-44487),
and frames that carry next to nothing. What h2 refuses itself (CONTINUATION without end, header lists that are too
long) is not counted here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Act(Enum):
    """What a peer did that costs work and may be nothing but that."""

    PING = "pings"
    SETTINGS = "settings frames"
    RESET = "resets of its own streams"
    EMPTY = "frames that carry next to nothing"
    STRAY = "frames for streams that are over"


@dataclass(frozen=True, slots=True)
class ConductLimits:
    """Acts in a burst at most, and how many a second are forgiven."""

    burst: float
    per_s: float


USUAL: dict[Act, ConductLimits] = {
    Act.PING: ConductLimits(20, 2),
    Act.SETTINGS: ConductLimits(20, 1),
    Act.RESET: ConductLimits(100, 20),
    Act.EMPTY: ConductLimits(5_000, 500),
    Act.STRAY: ConductLimits(500, 50),
}
TINY = 16  # bytes: a data frame that carries less is counted as one that carries next to nothing


class Conduct:
    """Leaky buckets, one an act. `did` says whether the connection is to be ended for it."""

    __slots__ = ("_levels", "_limits")

    def __init__(self, limits: dict[Act, ConductLimits] | None = None) -> None:
        self._limits = USUAL | (limits or {})
        self._levels: dict[Act, tuple[float, float]] = {}

    def did(self, act: Act, now: float) -> bool:
        """Count an act at `now` (milliseconds); True where it is one too many."""
        limit = self._limits[act]
        level, at = self._levels.get(act, (0.0, now))
        level = max(0.0, level - max(0.0, now - at) / 1e3 * limit.per_s) + 1.0
        self._levels[act] = (level, now)
        return level > limit.burst
