"""Exponential backoff from a server that many callers share. No I/O, no clock.

Full jitter: each pause is drawn uniformly from 0 to a bound that doubles with every failure, so that callers that
failed together do not retry together.
"""

from __future__ import annotations

import random

# The rate of all callers together in the long run. Calls that arrive faster than a server answers wait in its queue
# until their callers have given up, and are then answered in vain, so that the server stays overloaded without any new
# load.
_CALLS_PER_S = 3.0
_MIN_PAUSE_S, _MAX_PAUSE_S = 0.1, 16.0
_MAX_FIRST_PAUSE_S = 1.25  # a change has to be known after 6 s, and a watch times out after 4.5 s: `discovery_timeouts`


class Backoff:
    """Pauses between attempts, in seconds, for one of `callers` that may all have failed at the same time."""

    def __init__(self, callers: int, seed: int) -> None:
        # The mean pause is half of the bound. At the largest bound all callers together stay within the rate above.
        # Very many callers exceed it, since otherwise none would get an answer for longer than the longest pause.
        self.ceiling = min(max(2 * callers / _CALLS_PER_S, 2 * _MIN_PAUSE_S), _MAX_PAUSE_S)
        self._first = min(max(_MIN_PAUSE_S, min(callers / _CALLS_PER_S / 4, _MAX_FIRST_PAUSE_S)), self.ceiling)
        self._random = random.Random(seed)
        self._bound = self._first

    def reset(self) -> None:
        """An attempt succeeded."""
        self._bound = self._first

    def next(self) -> float:
        """The pause in seconds after one more failed attempt."""
        pause = self._random.uniform(0.0, self._bound)
        self._bound = min(self._bound * 2, self.ceiling)
        return pause
