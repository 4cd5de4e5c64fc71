"""Ends of messages that are decided and not told yet, because the disk has not taken their records.

Guards a message that was handed back, and may be elsewhere by now, against a later life that does not know of its end
and sends it. Past the message's time none does, so its end waits no longer (`docs/design/disk.md`).
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
    deadline: float  # of its message, in milliseconds


class PendingEnds:
    """`tell` is called once for each end that is owed: at once, or by `release`."""

    def __init__(self, journal: Journal, now: Callable[[], float], tell: Callable[[Notice], None]) -> None:
        self._journal, self._now, self._tell = journal, now, tell
        self._pending: dict[int, _Pending] = {}  # by the message's number

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, entry: Entry, end: End) -> None:
        """Tell this end, behind its record where the disk still owes that."""
        notice = Notice(entry.number, entry.id, end)
        if self._journal.has_pending(entry.number) and self._now() < entry.deadline:
            logger.bind(event="end.waits_for_disk", message=entry.id).warning(
                "the end of message {} waits for the disk", entry.id
            )
            self._pending[entry.number] = _Pending(notice, entry.deadline)
        else:
            self._tell(notice)

    def release(self) -> None:
        """Tell those whose records are written by now, or whose messages' time is up."""
        now = self._now()
        for number, pending in list(self._pending.items()):
            if not self._journal.has_pending(number) or now >= pending.deadline:
                del self._pending[number]
                self._tell(pending.notice)
