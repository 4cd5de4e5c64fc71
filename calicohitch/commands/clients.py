"""`calicohitch clients`: who was shed, and why, from a relay's log."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click


class Unreadable(click.ClickException):
    exit_code = 2


def read(lines: Iterable[str]) -> list[dict[str, Any]]:
    """The lines of the log that tell who was shed. Others are passed over; ValueError where there is none in JSON."""
    found, any_json = [], False
    for line in lines:
        try:
            told = json.loads(line)
        except ValueError:
            continue
        if isinstance(told, dict):
            any_json = True
            if told.get("event") == "clients.shed" and isinstance(told.get("causes"), dict):
                found.append(told)
    if not any_json:
        raise ValueError('no line is JSON: the log has to be written with logs format="json"')
    return found


def summed(told: list[dict[str, Any]]) -> tuple[int, Counter[str], dict[str, Counter[str]]]:
    """Connections accepted, counts by cause, and by cause the sources that were counted most."""
    causes: Counter[str] = Counter()
    sources: dict[str, Counter[str]] = {}
    for line in told:
        causes.update({str(cause): int(count) for cause, count in line["causes"].items()})
        for cause, named in line.get("sources", {}).items():
            sources.setdefault(cause, Counter()).update(named)
    return sum(int(line.get("accepted", 0)) for line in told), causes, sources


@click.command(
    "clients",
    help="Tell from a relay's JSON log which clients were shed or refused, and why. Ends with 1 where none was.",
)
@click.argument("log", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(log: Path, as_json: bool) -> None:
    try:
        with log.open(encoding="utf-8", errors="replace") as lines:
            told = read(lines)
    except (OSError, ValueError) as err:
        raise Unreadable(f"{log}: {err}") from err
    accepted, causes, sources = summed(told)
    if as_json:
        click.echo(json.dumps({"accepted": accepted, "causes": causes, "sources": sources}))
    elif not causes:
        click.echo("nobody was shed or refused")
    else:
        click.echo(f"{accepted} connections were accepted meanwhile")
        for cause, count in causes.most_common():
            click.echo(f"{count:>8}  {cause}")
            for source, of_it in sources.get(cause, Counter()).most_common(5):
                click.echo(f"          {of_it:>8}  {source}")
    if not causes:
        raise SystemExit(1)
