"""What must hold whatever the decisions say, checked as the relay runs. No I/O, no clock.

A check stands in front of the one act that could break its invariant. A violation is a fault of this program: the act
is not made, the violation is counted and logged by its name with the message's id, and the tests' auditors look for
it.
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
    """The name of each is what the log says."""

    ONE_ATTEMPT_OUT = "one attempt of a message is out at a time"
    UNSAFE_RUNS_ONCE = "an unsafe message that may have run is not sent again"
    KEY_IS_REMEMBERED = "a keyed message is sent again only while its key is remembered"


class Invariants:
    """Counts of violations, by invariant."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()

    def holds(self, invariant: Invariant, held: bool, message: str) -> bool:
        """`held`, counted and logged where it is not so."""
        if not held:
            self.violations[invariant] += 1
            logger.bind(event="invariant.violated", invariant=invariant.name, message=message).error(
                "invariant violated: {} (message {}); the act is not made", invariant.value, message
            )
        return held

    def may_send(self, message: str, message_class: MessageClass, attempts: Sequence[Attempt], now_ms: float) -> bool:
        """Whether the last of these attempts may be made, by what is known of the earlier ones."""
        ran = [attempt.sent_at for attempt in attempts[:-1] if attempt.may_have_run]
        if not ran:
            return True
        if message_class.effect is Effect.UNSAFE:
            return self.holds(Invariant.UNSAFE_RUNS_ONCE, False, message)
        remembered = message_class.effect is not Effect.KEYED or now_ms < min(ran) + to_ms(message_class.window)
        return self.holds(Invariant.KEY_IS_REMEMBERED, remembered, message)
