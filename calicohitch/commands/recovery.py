"""`calicohitch recovery`: how returns went, from relays' logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from ..recovery.reading import KINDS, PHASES, Incarnation, fleet, read


class Unreadable(click.ClickException):
    exit_code = 2


@click.command(
    "recovery",
    help="Tell from relays' logs how each return went, phase by phase, and how the fleet's did. "
    "Ends with 1 where no log tells of a return, or one did not come to its end.",
)
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--chart",
    type=click.Path(path_type=Path, dir_okay=False),
    metavar="FILE",
    help="Draw what was restored, fresh, refused and served by second (PNG, SVG, PDF); the extra charts.",
)
def command(logs: tuple[Path, ...], as_json: bool, chart: Path | None) -> None:
    incarnations: list[Incarnation] = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                incarnations += read(path.stem, lines)
        except OSError as err:
            raise Unreadable(f"{path}: {err.strerror}") from err
    whole = fleet(incarnations)
    if chart:
        from ..recovery.chart import ChartError, draw

        try:
            draw(whole, chart)
        except ChartError as err:
            raise Unreadable(str(err)) from err
    if as_json:
        click.echo(json.dumps({"fleet": whole, "lives": [incarnation.as_dict() for incarnation in incarnations]}))
    else:
        _print(incarnations, whole)
    if not incarnations or any("full" not in incarnation.phases for incarnation in incarnations):
        raise SystemExit(1)


def _print(incarnations: list[Incarnation], whole: dict[str, Any]) -> None:
    if not incarnations:
        click.echo("no log tells of a return")
        return
    click.echo("relay         life" + "".join(f"{phase:>10}" for phase in PHASES) + "  restored")
    for one in incarnations:
        cells = "".join(f"{one.phases[phase]:>10.0f}" if phase in one.phases else f"{'-':>10}" for phase in PHASES)
        click.echo(f"{one.relay[:10]:<10}{one.number % 100_000_000:>8}{cells}{one.facts.get('restored', 0):>10}")
    for word in ("median", "worst"):
        cells = "".join(
            f"{whole['phases'][phase][f'{word}_ms']:>10.0f}" if phase in whole["phases"] else f"{'-':>10}"
            for phase in PHASES
        )
        click.echo(f"{word:<18}{cells}")
    reached = whole["phases"].get("full", {}).get("reached", 0)
    click.echo(f"{reached} of {whole['returns']} returns came to full service; milliseconds since each process was up")
    if whole["seconds"]:
        click.echo("second" + "".join(f"{kind:>10}" for kind in KINDS))
        for second, counts in whole["seconds"].items():
            click.echo(f"{second:>6}" + "".join(f"{counts.get(kind, 0):>10}" for kind in KINDS))
