"""Which destinations have changed their state since the last look, for the log. No I/O, no clock; times in
microseconds."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..interface import RestoredDestination, RestoredState


class Health(Enum):
    """Names and values appear in the log."""

    SERVING = "serving"
    TROUBLED = "troubled"  # its last calls failed or were refused
    FAILING = "failing"  # an outage: only trials are sent


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A destination's state before and after. `next_call_at`: when backoff allows the next call, 0 for at once."""

    dest: int
    before: Health
    after: Health
    failures: int
    refusals: int
    next_call_at: int


class HealthChanges:
    """Compares the decision engine's knowledge with that of the last look."""

    def __init__(self) -> None:
        self._health: dict[int, Health] = {}  # of destinations that do not serve

    def since_last(self, known: RestoredState) -> Iterator[HealthChange]:
        """The changes since the last look, by destination."""
        failing = {route.dest for route in known.routes if route.failing}
        for dest in known.destinations:
            before = self._health.pop(dest.dest, Health.SERVING)
            after = _health(dest, dest.dest in failing)
            if after is not Health.SERVING:
                self._health[dest.dest] = after
            if after is not before:
                yield HealthChange(dest.dest, before, after, dest.failures, dest.refusals, dest.next_call_at)


def _health(dest: RestoredDestination, failing: bool) -> Health:
    if failing:
        return Health.FAILING
    return Health.TROUBLED if dest.failures or dest.refusals else Health.SERVING
