"""What happened in one run of the rig, in the order in which its parties saw it: the one thing that the auditor
reads."""

from __future__ import annotations

import json
import time
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Event:
    """`at` in seconds since the run began; `kind` and `facts` as the parties name them in `standins.py` and
    `rig.py`."""

    at: float
    kind: str
    facts: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        if name == "facts" or name.startswith("__"):  # not there yet, while a copy is made
            raise AttributeError(name)
        try:
            return self.facts[name]
        except KeyError:
            raise AttributeError(name) from None

    def line(self) -> str:
        return f"{self.at:8.3f} {self.kind:12} " + " ".join(f"{key}={value}" for key, value in self.facts.items())


@dataclass
class Story:
    """All events of a run. One clock sees all of them, since all parties but the relays live in one process."""

    seed: int = 0
    events: list[Event] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)

    def now(self) -> float:
        return time.monotonic() - self.began

    def now_at_end(self) -> float:
        return self.events[-1].at if self.events else 0.0

    def tell(self, kind: str, **facts: Any) -> None:
        self.events.append(Event(self.now(), kind, facts))

    def of(self, *kinds: str) -> Iterator[Event]:
        return (event for event in self.events if event.kind in kinds)

    def by_id(self, *kinds: str) -> dict[str, list[Event]]:
        found: dict[str, list[Event]] = defaultdict(list)
        for event in self.of(*kinds):
            found[event.id].append(event)
        return found

    def about(self, ids: set[str]) -> str:
        """The whole stories of some messages, with the faults between them."""
        return "\n".join(event.line() for event in self.events if event.kind == "fault" or event.facts.get("id") in ids)

    def save(self, path: Path) -> None:
        path.write_text("".join(json.dumps([event.at, event.kind, event.facts]) + "\n" for event in self.events))
