"""How a message whose records may be incomplete is treated, by its class. No I/O, no clock.

An attempt that is missing from the records may have run. The decision engine is therefore given a doubtful message with
one more attempt that may have run, sent at the earliest time at which it can have been sent. Messages of a safe class
are retried, those of a keyed class within what is left of the key window from that time, and the others end as failed,
all by the rules that apply to known attempts.
"""

from __future__ import annotations

from ..interface import MessageClass
from ..journal import Attempt, End, Entry


def earliest(entry: Entry, cls: MessageClass) -> float:
    """The earliest time, in milliseconds, of an attempt that is missing from the records: not before the message was
    accepted, and not before the time up to which the journal is complete."""
    return max(entry.deadline - cls.deadline / 1e3, entry.complete_until)


def missing_attempt(entry: Entry, cls: MessageClass) -> Attempt | None:
    """The attempt to add to the known ones; None if a known attempt limits the message at least as much."""
    if not entry.doubtful:
        return None
    since = earliest(entry, cls)
    if any(attempt.may_have_run and attempt.sent_at <= since for attempt in entry.attempts):
        return None
    return Attempt(since, 0)


def end_of(entry: Entry, cls: MessageClass) -> End | None:
    """The end of a message that cannot be delivered because its body is lost; None if it can be delivered."""
    if not entry.bodiless or entry.end:
        return None
    return End(handed_back=cls.harmless_again)
