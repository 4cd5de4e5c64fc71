"""Invariants that hold whatever the decision engine decides, checked at run time. No I/O, no clock.

Each check stands in front of the one act that could violate its invariant. A violation is a bug in this program: the
act does not take place, and the violation is counted and logged by its name with the message's id. The tests' auditors
look for that log line.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from enum import Enum

from loguru import logger

from ..clock import to_ms
from ..interface import Effect, MessageClass
from ..journal import Attempt


class Invariant(Enum):
    """Names and values appear in the log."""

    ONE_ATTEMPT_OUT = "one attempt of a message is out at a time"
    UNSAFE_RUNS_ONCE = "an unsafe message that may have run is not sent again"
    KEY_IS_REMEMBERED = "a keyed message is sent again only while its key is remembered"


class Invariants:
    """Checks invariants and counts their violations."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()

    def holds(self, invariant: Invariant, held: bool, message: str) -> bool:
        """Returns `held`; counts and logs a violation if it is false."""
        if not held:
            self.violations[invariant] += 1
            logger.bind(event="invariant.violated", invariant=invariant.name, message=message).error(
                "invariant violated: {} (message {}); the act is not made", invariant.value, message
            )
        return held

    def may_send(self, message: str, message_class: MessageClass, attempts: Sequence[Attempt], now_ms: float) -> bool:
        """Whether the last of `attempts` may be made, given the outcomes of the earlier ones."""
        ran = [attempt.sent_at for attempt in attempts[:-1] if attempt.may_have_run]
        if not ran:
            return True
        if message_class.effect is Effect.UNSAFE:
            return self.holds(Invariant.UNSAFE_RUNS_ONCE, False, message)
        remembered = message_class.effect is not Effect.KEYED or now_ms < min(ran) + to_ms(message_class.window)
        return self.holds(Invariant.KEY_IS_REMEMBERED, remembered, message)
