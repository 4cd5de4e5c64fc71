"""Messages that have ended by a response which may be another call's (see `net/connection_pool.py`).

The journal has such a message as failed until its end is confirmed. If that never happens, here or because the process
ends, the platform gets a notice that the message failed and may have run; for one that was delivered it has no effect.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from loguru import logger

from ..core.protocols import Confirmation
from ..journal import End, Entry

_FAILED = End(False)


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    entry: Entry
    confirmation: Confirmation


class ProvisionalDeliveries:
    """`record_end` and `record_closed` write to the journal; `report` sends the notice of a recorded end."""

    def __init__(
        self,
        record_end: Callable[[Entry, End], None],
        record_closed: Callable[[int], None],
        report: Callable[[Entry, End], None],
    ) -> None:
        self._record_end, self._record_closed, self._report = record_end, record_closed, report
        self._unconfirmed: dict[int, _Unconfirmed] = {}
        self.refuted = 0

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def __iter__(self) -> Iterator[int]:
        """The numbers of the messages."""
        return iter(self._unconfirmed)

    def add(self, entry: Entry, confirmation: Confirmation) -> None:
        entry.body = b""
        self._unconfirmed[entry.number] = _Unconfirmed(entry, confirmation)
        self._record_end(entry, _FAILED)
        confirmation.when_known(lambda confirmed: self._known(entry.number, confirmed))

    def has_overdue(self, before: float) -> bool:
        """Whether the deadline of any was before this time, in milliseconds."""
        return any(delivery.entry.deadline < before for delivery in self._unconfirmed.values())

    def end_overdue(self, before: float) -> None:
        """Report those whose deadline was before this time, in milliseconds: their notices have to go out in time."""
        for delivery in list(self._unconfirmed.values()):
            if delivery.entry.deadline < before:
                delivery.confirmation.resolve(False)

    def _known(self, number: int, confirmed: bool) -> None:
        entry = self._unconfirmed.pop(number).entry
        if confirmed:
            self._record_closed(number)
            return
        self.refuted += 1
        logger.bind(event="delivery.refuted", message=entry.id).debug(
            "message {}: the response may have been another call's; it is reported as failed", entry.id
        )
        self._report(entry, _FAILED)
