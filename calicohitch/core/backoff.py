"""How long to stay away from a server that many share and that turned a caller away. No I/O, no clock.

Full jitter: each pause is drawn from all of the span from 0 to a bound that doubles with every failure, so that callers
who failed together do not come back together.
"""

from __future__ import annotations

import random

_CALLS_PER_S = 3.0  # that all callers together make in the end: what comes faster than a server answers waits in its
# line until their callers have left, and are then answered in vain, so that it stays overbooked without any new load
_SHORTEST_S, _LONGEST_S = 0.1, 16.0
_FIRST_S = 1.25  # a change counts as told after 6 s, and a watch is found silent after 4.5: see `discovery_timeouts`


class Backoff:
    """Pauses between attempts, in seconds, for one of `callers` that may all have failed at once."""

    def __init__(self, callers: int, seed: int) -> None:
        # The mean pause is half of the bound: at its longest all callers together stay within the rate above, or come
        # more often where they are so many that nobody would hear anything for longer than the longest pause.
        self.ceiling = min(max(2 * callers / _CALLS_PER_S, 2 * _SHORTEST_S), _LONGEST_S)
        self._first = min(max(_SHORTEST_S, min(callers / _CALLS_PER_S / 4, _FIRST_S)), self.ceiling)
        self._random = random.Random(seed)
        self._bound = self._first

    def reset(self) -> None:
        """An attempt went well."""
        self._bound = self._first

    def next(self) -> float:
        """The pause after one more attempt that did not."""
        pause = self._random.uniform(0.0, self._bound)
        self._bound = min(self._bound * 2, self.ceiling)
        return pause
