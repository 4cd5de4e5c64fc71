"""Decided ends of messages whose notices wait until the disk has accepted the records of the ends.

If the notice of a refused message were sent first, the message could be submitted elsewhere, and a later incarnation,
which has no record of the end, would deliver it again. After the message's deadline no incarnation sends it, so its end
waits no longer (`docs/design/disk.md`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from ..journal import End, Entry, Journal
from .notices import Notice


@dataclass(frozen=True, slots=True)
class _Pending:
    notice: Notice
    deadline: float  # of the message, in milliseconds of the relay's clock


class PendingEnds:
    """Calls `send` once for each end: at once in `add`, or later in `release`. `now` is in milliseconds."""

    def __init__(self, journal: Journal, now: Callable[[], float], send: Callable[[Notice], None]) -> None:
        self._journal, self._now, self._send = journal, now, send
        self._pending: dict[int, _Pending] = {}  # by the message's number

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, entry: Entry, end: End) -> None:
        """Send the notice of this end, after its record if that is still pending."""
        notice = Notice(entry.number, entry.id, end)
        if self._journal.has_pending(entry.number) and self._now() < entry.deadline:
            logger.bind(event="end.waits_for_disk", message=entry.id).warning(
                "the end of message {} waits until the disk accepts its record", entry.id
            )
            self._pending[entry.number] = _Pending(notice, entry.deadline)
        else:
            self._send(notice)

    def release(self) -> None:
        """Send the notices of ends whose records are written by now, or whose messages are past their deadlines."""
        now = self._now()
        for number, pending in list(self._pending.items()):
            if not self._journal.has_pending(number) or now >= pending.deadline:
                del self._pending[number]
                self._send(pending.notice)
