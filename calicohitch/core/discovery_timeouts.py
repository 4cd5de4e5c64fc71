"""Time limits and retry pauses of discovery requests. No I/O, no clock.

A change that an unresponsive watch holds back counts as known 6 s after the watch stopped responding, and any change
6 s after discovery has it and can be reached. If lists are pushed, the server is an agent on the relay's own machine,
and requests are cheap. A watch, which waits for `WATCH_MS`, is late after 2.7 s, and each further request 0.7 s after
it was sent; another one then begins beside it within 0.2 s. So for any number of relays, and after four connections in
a row without an answer, the next request is sent at most 5.61 s after the watch stopped responding.

A late request is not lost: up to `most_requests` are out at once, so that each has 2.8 s (4 x 0.7 s) to be answered.
For an agent that answers within 2 s a change is known at the latest after

    2.7 s (a watch that was lost is late) + 0.2 s (pause) + 2 s (answer) = 4.9 s,

or, if the request before was no watch, after 0.7 + 0.2 + 2 = 2.9 s. For an agent that refuses requests, also that late,
at the latest after

    2 s (a refusal) + 1.5 s (pause) + 2 s (answer) = 5.5 s.

If lists are requested, each request is work for discovery itself, and all relays may have failed at the same time. A
watch times out after 4.5 s, since an agent may itself ask for two seconds, and the next request follows within another
1.25 s, after 5.75 s in all. A second time-out exceeds the 6 s: earlier requests would keep an overloaded discovery
service overloaded.
"""

from __future__ import annotations

from .backoff import Backoff

WATCH_MS = 2_000
MAX_LATENESS_S = 5.0  # of a request that is kept; it is given up before where as many as may be are out
_NO_WAIT_MS = 1  # for a request that checks whether the present list is still current
_PUSHED_GRACE_S, _REQUESTED_GRACE_S = 0.7, 2.5  # beyond the wait of a request, before it times out
_MAX_AGENT_PAUSE_S = 0.2  # after a time-out of the agent
_MAX_REFUSED_PAUSE_S = 1.5  # after a refusal of the agent
MAX_AGENT_REQUESTS = 4  # at an agent that is slow


class DiscoveryTimeouts:
    """The time limits of one relay. `backoff`: its pauses between failed requests to a shared server."""

    def __init__(self, asks_for_list: bool, backoff: Backoff) -> None:
        self._pushed, self._backoff = not asks_for_list, backoff
        self._failures = 0
        self.most_requests = 1 if asks_for_list else MAX_AGENT_REQUESTS

    def wait_ms(self, at_once: bool) -> int:
        """How long a watch is to wait for a change: not at all if the present list may be outdated, or, where lists are
        pushed, if the last request failed."""
        return _NO_WAIT_MS if at_once or self._pushed and self._failures else WATCH_MS

    def timeout_s(self, wait_ms: float) -> float:
        """After how many seconds a request that waits for `wait_ms` at the server is late: the next one begins."""
        return wait_ms / 1e3 + (_PUSHED_GRACE_S if self._pushed else _REQUESTED_GRACE_S)

    def answered(self) -> None:
        self._failures = 0
        self._backoff.reset()

    def pause_s(self, silent: bool) -> float:
        """The pause in seconds after a failed request; `silent`: it timed out and was not rejected."""
        self._failures += 1
        pause = self._backoff.next()
        if not self._pushed:
            return pause
        return min(pause, _MAX_AGENT_PAUSE_S if silent else _MAX_REFUSED_PAUSE_S)
