"""Reads recoveries from relays' logs: one row a relay, and a summary of the fleet. Takes lines; no I/O of its own.

Both log formats are read: JSON lines by their `text`, and plain text lines. Either way the recovery messages that the
relay writes are matched.
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
_INCARNATION = re.compile(r"life (\d+) has the folder")
_PHASE = re.compile(r"return: ([a-z]+) after ([\d.]+) ms(?: \(([^)]*)\))?")
_SECOND = re.compile(r"return: second (\d+): (.*)")
_COUNT_AND_NAME = re.compile(r"(\d+) ([a-z]+)")


@dataclass
class Incarnation:
    """One recovery of one relay. `phases`: milliseconds by phase; `seconds`: counts by second."""

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
    """The recoveries of one log, in its order; other lines are skipped."""
    incarnations: list[Incarnation] = []
    for line in lines:
        if "has the folder" in line and (found := _INCARNATION.search(line)):
            incarnations.append(Incarnation(relay, int(found[1])))
        elif "return: " in line and incarnations:
            _parse_message(incarnations[-1], _message_text(line))
    return [incarnation for incarnation in incarnations if incarnation.phases]


def _message_text(line: str) -> str:
    """The log message of a line of either format; empty for malformed JSON."""
    if line.startswith("{"):
        try:
            record = json.loads(line)
        except ValueError:
            return ""
        return str(record.get("text", "")) if isinstance(record, dict) else ""
    return line


def _parse_message(incarnation: Incarnation, text: str) -> None:
    if found := _PHASE.search(text):
        if found[1] in PHASES:
            incarnation.phases[found[1]] = float(found[2])
            incarnation.facts |= {name: int(count) for count, name in _COUNT_AND_NAME.findall(found[3] or "")}
    elif found := _SECOND.search(text):
        incarnation.seconds[int(found[1])] = {
            name: int(count) for count, name in _COUNT_AND_NAME.findall(found[2]) if name in KINDS
        }


def fleet(incarnations: list[Incarnation]) -> dict[str, Any]:
    """Summary of all recoveries: median and worst milliseconds to each phase, how many reached it, counts by second."""
    phases = {}
    for phase in PHASES:
        if times_ms := sorted(incarnation.phases[phase] for incarnation in incarnations if phase in incarnation.phases):
            phases[phase] = {
                "reached": len(times_ms),
                "median_ms": statistics.median(times_ms),
                "worst_ms": times_ms[-1],
            }
    seconds: dict[int, Counter[str]] = {}
    for incarnation in incarnations:
        for second, counts in incarnation.seconds.items():
            seconds.setdefault(second, Counter()).update(counts)
    return {
        "returns": len(incarnations),
        "phases": phases,
        "seconds": {str(second): dict(seconds[second]) for second in sorted(seconds)},
    }
