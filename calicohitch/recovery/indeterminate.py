"""What becomes of a message whose records may be incomplete, by its class. No I/O, no clock.

What is missing is unknown, and unknown may have run. So a doubtful message is told to the decisions with one more
attempt that may have run, sent at the earliest time that it can have been: a safe class goes again, a keyed one inside
the window that is left from then, and the rest end as failed, all by the rules that hold for known attempts.
"""

from __future__ import annotations

from ..interface import MessageClass
from ..journal import Attempt, End, Entry


def earliest(entry: Entry, cls: MessageClass) -> float:
    """The first time, in milliseconds, that an attempt nobody knows of can have been made: not before the message was
    taken on, and not before the journal was last whole."""
    return max(entry.deadline - cls.deadline / 1e3, entry.complete_until)


def missing_attempt(entry: Entry, cls: MessageClass) -> Attempt | None:
    """The attempt to be told beside the known ones; None where a known one is as bad."""
    if not entry.doubtful:
        return None
    since = earliest(entry, cls)
    if any(attempt.may_have_run and attempt.sent_at <= since for attempt in entry.attempts):
        return None
    return Attempt(since, 0)


def end_of(entry: Entry, cls: MessageClass) -> End | None:
    """The end of a message that cannot be delivered any more, since its body is lost; None where it can be."""
    if not entry.bodiless or entry.end:
        return None
    return End(handed_back=cls.harmless_again)
