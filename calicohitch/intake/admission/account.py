"""Counts of the connections and messages that were accepted, shed or refused, by cause, for the log. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

_MAX_TRACKED_SOURCES = 64  # with a counter of their own, for each cause
_MAX_REPORTED_SOURCES = 5


class HeaviestSources:
    """The sources with the highest counts, in bounded memory. A new source replaces the one with the lowest count and
    inherits that count (the Space-Saving algorithm), so that a frequent source is never missing."""

    def __init__(self, max_sources: int = _MAX_TRACKED_SOURCES) -> None:
        self._max_sources = max_sources
        self._counts: dict[str, int] = {}

    def count(self, source: str) -> None:
        if source not in self._counts and len(self._counts) >= self._max_sources:
            least = min(self._counts, key=lambda name: self._counts[name])
            self._counts[source] = self._counts.pop(least)
        self._counts[source] = self._counts.get(source, 0) + 1

    def top(self, limit: int = _MAX_REPORTED_SOURCES) -> dict[str, int]:
        return dict(sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))[:limit])


@dataclass(slots=True)
class Account:
    """Counts since the last summary."""

    accepted: int = 0
    causes: Counter[str] = field(default_factory=Counter)
    sources: dict[str, HeaviestSources] = field(default_factory=dict)

    def shed(self, cause: str, source: str) -> None:
        self.causes[cause] += 1
        self.sources.setdefault(cause, HeaviestSources()).count(source)

    def summary(self) -> dict[str, object] | None:
        """The fields of the log line, or None if nothing was shed. Resets the counts."""
        causes, sources, accepted = self.causes, self.sources, self.accepted
        self.accepted, self.causes, self.sources = 0, Counter(), {}
        if not causes:
            return None
        return {
            "accepted": accepted,
            "causes": dict(causes),
            "sources": {cause: heaviest.top() for cause, heaviest in sources.items()},
        }
