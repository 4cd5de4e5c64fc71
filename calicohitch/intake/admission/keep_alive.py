"""Whether a connection is kept open after its response. No I/O and no clock.

A kept connection saves its client a connect, if the client reuses it. Some clients do not: they open a new connection
for each message and leave the old one idle, and a client with a limited number of connections is then blocked by its
own idle ones. A relay may close a connection between requests without loss, so where connections are scarce and those
that were kept recently were seldom reused, a connection is closed after its response.
"""

from __future__ import annotations

_AVERAGE_WEIGHT = 0.05  # of one connection in the moving average; some 40 connections decide
_MIN_REUSE_SHARE = 0.5  # share of kept connections that are reused, from which keeping them pays
_SCARCE_SHARE = 0.5  # share of the capacity in use, from which connections are scarce


class KeepAlivePolicy:
    """Records for each connection that was kept after a message whether it was used again."""

    def __init__(self) -> None:
        self.used_again = 1.0  # moving average of the share that is reused

    def was_used_again(self) -> None:
        self.used_again += _AVERAGE_WEIGHT * (1.0 - self.used_again)

    def not_used_again(self) -> None:
        self.used_again -= _AVERAGE_WEIGHT * self.used_again

    def allows(self, taken: int, capacity: int) -> bool:
        """Whether to keep a connection, with `taken` connections open of `capacity` allowed."""
        return self.used_again >= _MIN_REUSE_SHARE or taken < _SCARCE_SHARE * capacity
