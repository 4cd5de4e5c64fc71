"""Who was let in, shed or refused, and why: counts for the log. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

_MOST_SOURCES = 64  # that are counted apart at the same time
TOP = 5


class Heaviest:
    """The sources that were counted most, in bounded memory: a new one takes the place of the least counted, and
    its count (the algorithm Space-Saving), so that no heavy one is ever missing."""

    def __init__(self, most: int = _MOST_SOURCES) -> None:
        self._most = most
        self._counts: dict[str, int] = {}

    def count(self, source: str) -> None:
        if source not in self._counts and len(self._counts) >= self._most:
            least = min(self._counts, key=lambda name: self._counts[name])
            self._counts[source] = self._counts.pop(least)
        self._counts[source] = self._counts.get(source, 0) + 1

    def top(self, most: int = TOP) -> dict[str, int]:
        return dict(sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))[:most])


@dataclass(slots=True)
class Account:
    """Since it was last told."""

    accepted: int = 0
    causes: Counter[str] = field(default_factory=Counter)
    sources: dict[str, Heaviest] = field(default_factory=dict)

    def shed(self, cause: str, source: str) -> None:
        self.causes[cause] += 1
        self.sources.setdefault(cause, Heaviest()).count(source)

    def summary(self) -> dict[str, object] | None:
        """What is to be logged, None where nothing was shed; it begins anew."""
        causes, sources, accepted = self.causes, self.sources, self.accepted
        self.accepted, self.causes, self.sources = 0, Counter(), {}
        if not causes:
            return None
        return {
            "accepted": accepted,
            "causes": dict(causes),
            "sources": {cause: heaviest.top() for cause, heaviest in sources.items()},
        }
