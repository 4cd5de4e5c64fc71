"""The log lines on destinations that began to fail or to serve."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from loguru import logger

from ..clock import to_ms
from .health_changes import HealthChange

_MAX_LOGGED_CHANGES = 10  # each time that the state is stored


def log_health_changes(changes: Iterator[HealthChange], now_ms: float) -> None:
    """Log which destinations changed, and when each may be called next. `now_ms`: by the relay's clock."""
    for change in islice(changes, _MAX_LOGGED_CHANGES):
        wait_ms = max(0.0, to_ms(change.next_call_at) - now_ms)
        logger.bind(
            event="destination.health",
            destination=change.dest,
            before=change.before.value,
            after=change.after.value,
            failures=change.failures,
            refusals=change.refusals,
            next_call_ms=wait_ms,
        ).info(
            "destination {}: {}, {} before ({} failures, {} refusals; next call in {:.1f} s)",
            change.dest,
            change.after.value,
            change.before.value,
            change.failures,
            change.refusals,
            wait_ms / 1e3,
        )
