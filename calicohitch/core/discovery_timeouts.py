"""How long discovery is waited for, and when it is asked again. No I/O, no clock.

What a silent watch holds back counts as told 6 s after the silence began. Where lists are pushed the one who is
asked is an agent on the relay's own machine: it answers at once, and asking costs nothing. A watch that waits for
`WATCH_MS` is then found silent after 2.7 s at the latest, and each further question that is met by silence takes 0.9 s,
pause included: however many relays there are, and though four connections in a row are silent, the next question comes
5.61 s after the silence began at the latest; in a silence that lasts, 0.2 s after the last one was given up.

Where the list is asked for, each question is discovery's own work and all relays may have failed together: a watch is
found silent after 4.5 s, since an agent may ask for two seconds itself, and the next question follows within a further
1.25 s, in 5.75 s together. A second silence is beyond the 6 s: asking sooner would keep an overbooked discovery so.
"""

from __future__ import annotations

from .backoff import Backoff

WATCH_MS = 2_000
_AT_ONCE_MS = 1  # the wait of the question whether a list that is at hand is still true
_PUSHED_S, _ASKED_S = 0.7, 2.5  # beyond what a call may wait, until its answer does not come any more
_AGAIN_S = 0.2  # the longest pause after an agent's silence


class DiscoveryTimeouts:
    """The waits of one relay. `backoff`: its pauses, where they are many who turn to one."""

    def __init__(self, asks_for_list: bool, backoff: Backoff) -> None:
        self._pushed, self._backoff = not asks_for_list, backoff
        self._silences = 0

    def wait_ms(self, at_once: bool) -> int:
        """For how long a watch is to wait for news: not at all where the list at hand may be old, or the last question
        was not answered."""
        return _AT_ONCE_MS if at_once or self._pushed and self._silences else WATCH_MS

    def timeout_s(self, wait_ms: float) -> float:
        """After how long a question, which may wait for so long itself, was met by silence."""
        return wait_ms / 1e3 + (_PUSHED_S if self._pushed else _ASKED_S)

    def answered(self) -> None:
        self._silences = 0
        self._backoff.reset()

    def pause_s(self, silent: bool) -> float:
        """How long to ask nothing after a failure; `silent`: nobody said no."""
        self._silences += 1
        pause = self._backoff.next()
        return min(pause, _AGAIN_S) if silent and self._pushed else pause
