"""What waits for one exporter, and when a batch is tried again. No I/O, no clock."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

FIRST_PAUSE_MS, LONGEST_PAUSE_MS = 500.0, 30_000.0
_USUAL_BYTES = 2_048
LONGEST_TOLD_MS = 300_000.0  # a collector that tells more is asked again after this


@dataclass(slots=True)
class Counts:
    """What became of traces that an exporter was given; `spans_rejected` by the collector's own word."""

    sent: int = 0
    dropped_full: int = 0  # the queue was full
    dropped_refused: int = 0  # the collector, or the disk, will never take them
    dropped_old: int = 0  # tried for too long
    spans_rejected: int = 0


@dataclass(frozen=True, slots=True)
class Batch:
    pieces: tuple[bytes, ...]
    since: float  # when it was first taken from the queue, in milliseconds


class ExportQueue:
    """Encoded traces, first in first out, at most so many bytes; what comes past that is dropped and counted."""

    def __init__(self, most_bytes: int) -> None:
        self._most, self.bytes = most_bytes, 0
        self._waiting: deque[bytes] = deque()
        self.in_hand = 0  # traces of a batch that is not settled yet
        self.counts = Counts()

    def __len__(self) -> int:
        return len(self._waiting) + self.in_hand

    @property
    def has_room(self) -> bool:
        """Whether a trace of the usual size would be taken."""
        return not self._most or self.bytes + _USUAL_BYTES <= self._most  # 0: nothing waits there

    def put(self, piece: bytes) -> bool:
        if self.bytes + len(piece) > self._most:
            self.counts.dropped_full += 1
            return False
        self._waiting.append(piece)
        self.bytes += len(piece)
        return True

    def batch(self, now: float, most_bytes: int) -> Batch | None:
        """The next traces, at least one. Their bytes stay counted until `settle`: the bound holds for both."""
        pieces: list[bytes] = []
        size = 0
        while self._waiting and (not pieces or size + len(self._waiting[0]) <= most_bytes):
            pieces.append(self._waiting.popleft())
            size += len(pieces[-1])
        self.in_hand = len(pieces)
        return Batch(tuple(pieces), now) if pieces else None

    def settle(self, batch: Batch) -> int:
        """The batch is over, whatever became of it."""
        self.bytes -= sum(map(len, batch.pieces))
        self.in_hand = 0
        return len(batch.pieces)


class Verdict(Enum):
    SENT = "sent"
    AGAIN = "again"
    REFUSED = "refused"
    OLD = "old"


class Retry:
    """When a batch goes out again. By OTLP, 429, 502, 503 and 504 may be repeated and other refusals may not;
    a connection that broke is like a 503. Pauses double, are drawn, and give way to a told `Retry-After`."""

    _REPEATABLE = frozenset({429, 502, 503, 504})

    def __init__(self, seed: int, give_up_ms: float) -> None:
        self._random, self._give_up = random.Random(seed), give_up_ms
        self._failures = 0
        self.not_before = 0.0

    def after(self, now: float, batch: Batch, status: int | None, retry_after: bytes = b"") -> Verdict:
        """What an answer means for its batch; None where there was none. Sets `not_before`, milliseconds."""
        if status is not None and 200 <= status < 300:
            self._failures, self.not_before = 0, 0.0
            return Verdict.SENT
        if status is not None and status not in self._REPEATABLE:
            return Verdict.REFUSED
        self._failures += 1
        pause = min(FIRST_PAUSE_MS * 2 ** min(self._failures - 1, 16), LONGEST_PAUSE_MS)
        told = read_retry_after(retry_after, now)
        self.not_before = now + (told if told is not None else pause * (0.5 + self._random.random() / 2))
        return Verdict.OLD if now - batch.since > self._give_up else Verdict.AGAIN


def read_retry_after(text: bytes, now: float) -> float | None:
    """Milliseconds from now that a `Retry-After` tells, as seconds or as a date; None where it tells nothing."""
    try:
        told = float(text) * 1e3 if text else None
    except ValueError:
        from email.utils import parsedate_to_datetime  # most of a megabyte, for a form that is hardly met

        try:
            told = parsedate_to_datetime(text.decode("latin-1")).timestamp() * 1e3 - now
        except (ValueError, TypeError, OverflowError):
            return None
    if told is None or told != told:
        return None
    return min(max(told, 0.0), LONGEST_TOLD_MS)


class LineRate:
    """So many lines a second, and no burst of more than a second's; what is past that is counted."""

    def __init__(self, per_s: float) -> None:
        self._per_s, self._tokens, self._at = per_s, max(1.0, per_s), 0.0
        self.left_out = 0

    def allows(self, now: float) -> bool:
        most = max(1.0, self._per_s)
        self._tokens = min(most, self._tokens + max(0.0, now - self._at) * self._per_s / 1e3)
        self._at = now
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True
