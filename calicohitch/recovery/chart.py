"""A picture of a fleet's return: counts by second. Needs matplotlib, the extra `charts`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .reading import KINDS


class ChartError(Exception):
    """It cannot be drawn; the text says what would do."""


def draw(whole: dict[str, Any], path: Path) -> None:
    """`whole` as `reading.fleet` gives it; the format goes by the file's ending."""
    try:
        from matplotlib.figure import Figure
    except ImportError as err:
        raise ChartError("a chart needs matplotlib: install the extra, calicohitch[charts]") from err
    seconds = [int(second) for second in whole["seconds"]]
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.add_subplot()
    for kind in KINDS:
        axes.step(seconds, [counts.get(kind, 0) for counts in whole["seconds"].values()], where="mid", label=kind)
    axes.set_xlabel("seconds since each relay's process was up")
    axes.set_ylabel("messages, all relays")
    if full := whole["phases"].get("full"):
        axes.axvline(full["median_ms"] / 1e3, linestyle="--", color="0.4", label="full service, median")
    axes.set_title(f"{whole['returns']} returns")
    axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as err:
        raise ChartError(f"{path}: {err}") from err
