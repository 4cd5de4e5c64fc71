"""Returns as logs tell them: a table a relay and one for the fleet. Reads lines, gives rows; no I/O but iterating.

Both forms of the log are read: JSON lines by their `event`, and text by the words that the relay writes there.
"""

from __future__ import annotations

import json
import re
import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

PHASES = ("up", "folder", "list", "limits", "backlog", "full", "unended")
KINDS = ("restored", "fresh", "refused", "served")
_LIFE = re.compile(r"life (\d+) has the folder")
_PHASE = re.compile(r"return: ([a-z]+) after ([\d.]+) ms(?: \(([^)]*)\))?")
_SECOND = re.compile(r"return: second (\d+): (.*)")
_PAIR = re.compile(r"(\d+) ([a-z]+)")


@dataclass
class Incarnation:
    """One return of one relay: milliseconds by phase, counts by second."""

    relay: str
    number: int = 0
    phases: dict[str, float] = field(default_factory=dict)
    facts: dict[str, int] = field(default_factory=dict)
    seconds: dict[int, dict[str, int]] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        return {
            "relay": self.relay,
            "life": self.number,
            "phases_ms": self.phases,
            "facts": self.facts,
            "seconds": {str(second): counts for second, counts in sorted(self.seconds.items())},
        }


def read(relay: str, lines: Iterable[str]) -> list[Incarnation]:
    """The returns of one log, in its order; what is none of theirs is skipped."""
    incarnations: list[Incarnation] = []
    for line in lines:
        if "has the folder" in line and (found := _LIFE.search(line)):
            incarnations.append(Incarnation(relay, int(found[1])))
        elif "return: " in line and incarnations:
            _take(incarnations[-1], _text(line))
    return [incarnation for incarnation in incarnations if incarnation.phases]


def _text(line: str) -> str:
    """The words of a line, in whichever form it is."""
    if line.startswith("{"):
        try:
            told = json.loads(line)
        except ValueError:
            return ""
        return str(told.get("text", "")) if isinstance(told, dict) else ""
    return line


def _take(incarnation: Incarnation, text: str) -> None:
    if found := _PHASE.search(text):
        if found[1] in PHASES:
            incarnation.phases[found[1]] = float(found[2])
            incarnation.facts |= {name: int(count) for count, name in _PAIR.findall(found[3] or "")}
    elif found := _SECOND.search(text):
        incarnation.seconds[int(found[1])] = {
            name: int(count) for count, name in _PAIR.findall(found[2]) if name in KINDS
        }


def fleet(incarnations: list[Incarnation]) -> dict[str, Any]:
    """Of all returns: median and worst milliseconds to each phase, how many reached it, counts by second."""
    phases = {}
    for phase in PHASES:
        if at := sorted(incarnation.phases[phase] for incarnation in incarnations if phase in incarnation.phases):
            phases[phase] = {"reached": len(at), "median_ms": statistics.median(at), "worst_ms": at[-1]}
    seconds: dict[int, Counter[str]] = {}
    for incarnation in incarnations:
        for second, counts in incarnation.seconds.items():
            seconds.setdefault(second, Counter()).update(counts)
    return {
        "returns": len(incarnations),
        "phases": phases,
        "seconds": {str(second): dict(seconds[second]) for second in sorted(seconds)},
    }
