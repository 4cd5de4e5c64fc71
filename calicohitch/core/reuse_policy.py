"""Whether connections to an endpoint may carry more than one call. No I/O, no clock.

On HTTP/1.1 a response belongs to a call by its order on the connection alone. An endpoint that sends bytes which answer
no call makes that order worthless, so its connections are used once each for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

FIRST_PAUSE_S, MAX_PAUSE_S = 1.0, 60.0
SUSPICION_S = 600.0  # after the last pause


@dataclass(slots=True)
class _Pause:
    until: float
    length: float


class ReusePolicy:
    """Times are seconds of any monotonic clock."""

    def __init__(self) -> None:
        self._pauses: dict[int, _Pause] = {}

    def surplus_received(self, endpoint: int, now: float) -> None:
        """The endpoint sent bytes that answer no call. While it is suspect, each further pause is twice as long."""
        pause = self._pauses.get(endpoint)
        if pause is None or now >= pause.until + SUSPICION_S:
            self._pauses[endpoint] = _Pause(now + FIRST_PAUSE_S, FIRST_PAUSE_S)
        elif now >= pause.until:
            pause.length = min(2 * pause.length, MAX_PAUSE_S)
            pause.until = now + pause.length
        else:
            pause.until = max(pause.until, now + pause.length)

    def may_reuse(self, endpoint: int, now: float) -> bool:
        pause = self._pauses.get(endpoint)
        return pause is None or now >= pause.until

    def is_suspect(self, endpoint: int, now: float) -> bool:
        """Whether the endpoint has sent such bytes lately."""
        pause = self._pauses.get(endpoint)
        return pause is not None and now < pause.until + SUSPICION_S

    def forget_old(self, now: float) -> None:
        """Drop what no later decision depends on."""
        self._pauses = {endpoint: pause for endpoint, pause in self._pauses.items() if now < pause.until + SUSPICION_S}
