"""Tests that are known to fail for a real fault, as `KNOWN-RED.txt` lists them: a line each, `test | cause | issue`.

The failure of a listed test ends no run, and is printed at its end. A listed test that passes fails the run, so that
nothing stays on the list after its fault is mended.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"


class UnreadableLine(ValueError):
    """A line of the list that is not of three parts."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    test: str  # its node, as pytest prints it
    cause: str
    issue: str


def read(path: Path = LIST) -> dict[str, KnownRed]:
    """The listed tests by their nodes. UnreadableLine names the line that cannot be read."""
    if not path.exists():
        return {}
    found = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise UnreadableLine(f"{path.name}, line {number}: expected `test | cause | issue`")
        found[parts[0]] = KnownRed(*parts)
    return found


class Plugin:
    """Turns failures of listed tests into expected ones, and their passes into failures."""

    def __init__(self, listed: dict[str, KnownRed]) -> None:
        self._listed = listed
        self._red: set[str] = set()

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Generator[None, Any, Any]:
        report = yield
        known = self._listed.get(item.nodeid)
        if known is None:
            return report
        if report.failed:
            self._red.add(item.nodeid)
            report.outcome = "skipped"
            report.wasxfail = f"known: {known.cause}"
        elif report.when == "teardown" and item.nodeid not in self._red:
            report.outcome = "failed"
            report.longrepr = f"{item.nodeid} is listed in {LIST.name} and passes: take it off the list"
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for node in sorted(self._red):
            known = self._listed[node]
            terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
