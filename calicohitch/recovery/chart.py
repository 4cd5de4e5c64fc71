"""Plots the recovery of a fleet: counts by second. Requires matplotlib, the extra `charts`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .reading import KINDS


class ChartError(Exception):
    """The chart cannot be drawn; the text says what to do."""


def draw(summary: dict[str, Any], path: Path) -> None:
    """Write the chart of `summary`, the result of `reading.fleet`; the file name's suffix selects the image format."""
    try:
        from matplotlib.figure import Figure
    except ImportError as err:
        raise ChartError("a chart needs matplotlib: install the extra, calicohitch[charts]") from err
    seconds = [int(second) for second in summary["seconds"]]
    figure = Figure(figsize=(9, 4.5), layout="constrained")
    axes = figure.add_subplot()
    for kind in KINDS:
        axes.step(seconds, [counts.get(kind, 0) for counts in summary["seconds"].values()], where="mid", label=kind)
    axes.set_xlabel("seconds since the start of each relay's process")
    axes.set_ylabel("messages, all relays")
    if full := summary["phases"].get("full"):
        axes.axvline(full["median_ms"] / 1e3, linestyle="--", color="0.4", label="full service, median")
    axes.set_title(f"{summary['returns']} recoveries")
    axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as err:
        raise ChartError(f"{path}: {err}") from err
