"""Whether a connection is kept after its answer. No I/O and no clock.

A kept connection saves its client a connect, if the client comes again on it. Some do not: they take a new one for each
message and let the old one stand, and a client that may hold only so many is then kept waiting by its own idle ones.
A relay may close a connection between requests at no harm, so where seats are scarce and those that were kept lately
were seldom used again, a connection ends with its answer.
"""

from __future__ import annotations

_WEIGHT = 0.05  # of one connection in the moving share; some 40 decide
_WORTH = 0.5  # share of kept connections that come again, from which keeping pays
_SCARCE = 0.5  # share of the seats that are taken


class KeepAlivePolicy:
    """Tell it of each connection that was kept after a message whether it came again."""

    def __init__(self) -> None:
        self.used_again = 1.0  # moving share

    def was_used_again(self) -> None:
        self.used_again += _WEIGHT * (1.0 - self.used_again)

    def not_used_again(self) -> None:
        self.used_again -= _WEIGHT * self.used_again

    def allows(self, taken: int, most: int) -> bool:
        """Whether to keep a connection, with so many seats taken of so many."""
        return self.used_again >= _WORTH or taken < _SCARCE * most
