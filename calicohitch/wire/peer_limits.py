"""Rate limits on frames by which a peer of an HTTP/2 connection causes work. No I/O; the time is an argument.

Protects against floods that the protocol allows: pings, settings, streams that are reset as soon as they are opened
(CVE-2023-44487), and nearly empty data frames. What h2 itself rejects (endless CONTINUATION frames, header lists that
are too long) is not counted here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PeerAction(Enum):
    """Kinds of frames that cost work and need not carry anything useful. The values are part of the GOAWAY text."""

    PING = "pings"
    SETTINGS = "settings frames"
    RESET = "resets of its own streams"
    EMPTY = "frames that carry next to nothing"
    STRAY = "frames for streams that are over"


@dataclass(frozen=True, slots=True)
class ActionLimit:
    """A leaky bucket: the most actions in a burst, and how many leak out in a second."""

    burst: float
    per_s: float


DEFAULT_LIMITS: dict[PeerAction, ActionLimit] = {
    PeerAction.PING: ActionLimit(20, 2),
    PeerAction.SETTINGS: ActionLimit(20, 1),
    PeerAction.RESET: ActionLimit(100, 20),
    PeerAction.EMPTY: ActionLimit(5_000, 500),
    PeerAction.STRAY: ActionLimit(500, 50),
}
TINY_DATA_BYTES = 16  # a data frame with a smaller payload counts as PeerAction.EMPTY


class PeerLimiter:
    """Leaky buckets of one connection, one for each kind of action."""

    __slots__ = ("_levels", "_limits")

    def __init__(self, limits: dict[PeerAction, ActionLimit] | None = None) -> None:
        self._limits = DEFAULT_LIMITS | (limits or {})
        self._levels: dict[PeerAction, tuple[float, float]] = {}

    def exceeds_limit(self, action: PeerAction, now: float) -> bool:
        """Counts an action at `now` (milliseconds). True if it exceeds the limit and the connection must be closed."""
        limit = self._limits[action]
        level, counted_at = self._levels.get(action, (0.0, now))
        level = max(0.0, level - max(0.0, now - counted_at) / 1e3 * limit.per_s) + 1.0
        self._levels[action] = (level, now)
        return level > limit.burst
