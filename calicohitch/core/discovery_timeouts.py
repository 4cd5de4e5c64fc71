"""Time limits and retry pauses of discovery requests. No I/O, no clock.

A change that an unresponsive watch holds back counts as known 6 s after the watch stopped responding. If lists are
pushed, the server is an agent on the relay's own machine: it answers at once, and requests are cheap. A watch, which
waits for `WATCH_MS`, then times out after 2.7 s at the latest, and each further request without an answer takes 0.9 s
with its pause. So for any number of relays, and after four connections in a row without an answer, the next request is
sent at most 5.61 s after the watch stopped responding; in a longer outage, requests follow a time-out by at most 0.2 s.

If lists are requested, each request is work for discovery itself, and all relays may have failed at the same time. A
watch times out after 4.5 s, since an agent may itself ask for two seconds, and the next request follows within another
1.25 s, after 5.75 s in all. A second time-out exceeds the 6 s: earlier requests would keep an overloaded discovery
service overloaded.
"""

from __future__ import annotations

from .backoff import Backoff

WATCH_MS = 2_000
_NO_WAIT_MS = 1  # for a request that checks whether the present list is still current
_PUSHED_GRACE_S, _REQUESTED_GRACE_S = 0.7, 2.5  # beyond the wait of a request, before it times out
_MAX_AGENT_PAUSE_S = 0.2  # after a time-out of the agent


class DiscoveryTimeouts:
    """The time limits of one relay. `backoff`: its pauses between failed requests to a shared server."""

    def __init__(self, asks_for_list: bool, backoff: Backoff) -> None:
        self._pushed, self._backoff = not asks_for_list, backoff
        self._failures = 0

    def wait_ms(self, at_once: bool) -> int:
        """How long a watch is to wait for a change: not at all if the present list may be outdated, or, where lists are
        pushed, if the last request failed."""
        return _NO_WAIT_MS if at_once or self._pushed and self._failures else WATCH_MS

    def timeout_s(self, wait_ms: float) -> float:
        """After how many seconds a request that waits for `wait_ms` at the server has timed out."""
        return wait_ms / 1e3 + (_PUSHED_GRACE_S if self._pushed else _REQUESTED_GRACE_S)

    def answered(self) -> None:
        self._failures = 0
        self._backoff.reset()

    def pause_s(self, silent: bool) -> float:
        """The pause in seconds after a failed request; `silent`: it timed out and was not rejected."""
        self._failures += 1
        pause = self._backoff.next()
        return min(pause, _MAX_AGENT_PAUSE_S) if silent and self._pushed else pause
