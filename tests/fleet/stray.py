"""Bytes that a server sends and that answer no call: copies, halves, other responses, at any time."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

_FOREIGN = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
)
_UNASKED = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


class Kind(Enum):
    COPY = "a copy of the answer"
    HALF = "the first half of a copy"
    FOREIGN = "another response"
    UNASKED = "a 408"
    INTERIM = "a 1xx"
    GARBAGE = "bytes that are no response"


@dataclass(slots=True)
class Stray:
    """`share` of the answers are followed by such bytes, after `delays_s`; 0: in the same write as the answer.
    `early`: share of new connections on which they come before a request."""

    random: random.Random
    share: float = 0.3
    kinds: Sequence[Kind] = tuple(Kind)
    delays_s: tuple[float, float] = (0.01, 0.01)
    early: float = 0.0
    sent: int = 0

    def after(self, answer: bytes) -> tuple[float, bytes] | None:
        """What follows this answer, and after how long."""
        if self.random.random() >= self.share:
            return None
        return self.random.uniform(*self.delays_s), self._bytes(answer)

    def before(self) -> bytes:
        """What a new connection begins with."""
        if self.random.random() >= self.early:
            return b""
        return self._bytes(_UNASKED)

    def _bytes(self, answer: bytes) -> bytes:
        self.sent += 1
        match self.random.choice(self.kinds):
            case Kind.COPY:
                return answer
            case Kind.HALF:
                return answer[: self.random.randrange(1, len(answer))]
            case Kind.FOREIGN:
                return self.random.choice(_FOREIGN)
            case Kind.UNASKED:
                return _UNASKED
            case Kind.INTERIM:
                return _INTERIM
            case Kind.GARBAGE:
                return bytes(self.random.randrange(256) for _ in range(self.random.randrange(1, 80)))


_DELAYS_S = ((0.0, 0.0), (0.0005, 0.003), (0.009, 0.012), (0.01, 0.2), (0.2, 3.0))


def drawn(draw: random.Random) -> Stray:
    """One kind of this trouble, by a seed."""
    kinds = draw.choice(([Kind.COPY], [Kind.HALF], [Kind.FOREIGN], [Kind.UNASKED, Kind.INTERIM], list(Kind)))
    return Stray(
        random.Random(draw.random()),
        draw.choice((0.005, 0.02, 0.3, 1.0)),
        kinds,
        draw.choice(_DELAYS_S),
        draw.choice((0.0, 0.0, 0.1)),
    )
