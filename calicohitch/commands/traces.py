"""`calicohitch traces`: why was this one late?"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from ..tracing import asking
from ..tracing.reading import Message, Reading, read_files
from .options import Unusable

_BAR = 48  # columns of a waterfall

_FILES = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
_AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON document in place of text.")


def _filters(function: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option("--class", "class_name", default="", help="Only messages of this class."),
        click.option("--dest", default="", help="Only messages for this destination."),
        click.option("--cause", default="", help="Only traces that were kept for this: failed, refused, ..."),
        click.option("--end", default="", help="Only messages that ended so: delivered, refused, failed, ..."),
        click.option("--late", is_flag=True, help="Only messages that were delivered after their wanted time."),
    ):
        function = option(function)
    return function


@click.group(
    "traces",
    help="Look into exported traces: files of OTLP JSON lines, or captured OTLP requests.\n\n"
    "Exit status: 0 where something was found, 1 where nothing matches, 2 where the files cannot be used.",
)
def command() -> None:
    pass


def _read(files: Sequence[Path]) -> Reading:
    try:
        found = read_files(files)
    except (OSError, ValueError, EOFError) as err:
        raise Unusable(f"the traces cannot be read: {err}") from err
    for problem in found.problems:
        click.echo(f"left out: {problem}", err=True)
    if found.repeated:
        click.echo(f"{found.repeated} spans came more than once", err=True)
    if found.problems and not found.messages:
        raise Unusable("no trace could be read")
    return found


@command.command("show", help="The whole story of one message, by its id or a trace id: who waited for what.")
@click.argument("wanted", metavar="ID")
@_FILES
@_AS_JSON
def show(wanted: str, files: Sequence[Path], as_json: bool) -> int:
    parts = asking.find(_read(files).messages, wanted)
    if not parts:
        click.echo(f"no trace of {wanted}; it may not have been kept, or lies in another file", err=True)
        return 1
    click.echo(json.dumps([_told(part) for part in parts], indent=1) if as_json else waterfall(parts))
    return 0


@command.command("slow", help="The messages that took longest.")
@_FILES
@click.option("-n", "count", default=10, type=click.IntRange(1, 10_000), help="So many of them.")
@_filters
@_AS_JSON
def slow(files: Sequence[Path], count: int, as_json: bool, **wanted: Any) -> int:
    messages = [m for m in _read(files).messages if asking.Filter(**wanted).matches(m)]
    messages = sorted(messages, key=lambda message: -message.root.ms)[:count]
    if as_json:
        click.echo(json.dumps([_told(message) for message in messages], indent=1))
    elif messages:
        rows = [
            [
                f"{m.root.ms:.0f}",
                _id(m),
                str(m.root.attribute("calicohitch.class")),
                str(m.root.attribute("messaging.destination.name")),
                str(m.root.attribute("calicohitch.end")),
                str(m.root.attribute("calicohitch.attempts")),
                " ".join(f"{hands} {ms:.0f}" for hands, ms in asking.by_hands(m).items() if ms >= 1),
            ]
            for m in messages
        ]
        click.echo(_table(["ms", "id", "class", "dest", "end", "attempts", "in whose hands, ms"], rows))
    return _status(messages)


@command.command(
    "why",
    help="Where the time of these messages went, and in whose hands, weighted by what each kept trace stands for.",
)
@_FILES
@_filters
@_AS_JSON
def why(files: Sequence[Path], as_json: bool, **wanted: Any) -> int:
    found = _read(files)
    messages = [m for m in found.messages if asking.Filter(**wanted).matches(m)]
    rows, weight = asking.lost_time(messages), sum(message.weight for message in messages)
    total = sum(row.ms for row in rows) or 1.0
    if as_json:
        told = [
            {
                "what": r.what,
                "hands": r.hands,
                "share": r.ms / total,
                "ms": r.ms,
                "messages": r.messages,
                "worst_ms": r.worst_ms,
                "worst_id": r.worst_id,
            }
            for r in rows
        ]
        click.echo(
            json.dumps(
                {"traces": len(messages), "stands_for": weight, "causes": told, "counts": found.counts}, indent=1
            )
        )
    elif messages:
        click.echo(f"{len(messages)} traces that stand for {weight:.0f} messages")
        click.echo(
            _table(
                ["share", "what", "in whose hands", "messages", "mean ms", "worst ms", "worst"],
                [
                    [
                        f"{r.ms / total:.1%}",
                        r.what,
                        r.hands,
                        f"{r.messages:.0f}",
                        f"{r.ms / r.messages:.0f}",
                        f"{r.worst_ms:.0f}",
                        r.worst_id,
                    ]
                    for r in rows
                ],
            )
        )
        for relay, counts in found.counts.items():
            told_counts = ", ".join(f"{name.removeprefix('calicohitch.')} {n}" for name, n in counts.items())
            click.echo(f"{relay or 'a relay'} counted: {told_counts or 'nothing'}")
    return _status(messages)


def _status(messages: Sequence[Message]) -> int:
    if not messages:
        click.echo("no trace matches", err=True)
    return 0 if messages else 1


def _id(message: Message) -> str:
    return str(message.root.attribute("messaging.message.id"))


def _told(message: Message) -> dict[str, Any]:
    root = message.root
    return {
        "trace_id": root.trace_id,
        "span_id": root.span_id,
        "relay": root.relay,
        "id": _id(message),
        "ms": root.ms,
        "start_ns": root.start,
        "attributes": root.attributes,
        "hands_ms": asking.by_hands(message),
        "spans": [
            {
                "name": s.name,
                "span_id": s.span_id,
                "start_ns": s.start,
                "ms": s.ms,
                "status": s.message,
                "attributes": s.attributes,
            }
            for s in message.children
        ],
    }


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    widths = [max(len(row[n]) for row in [head, *rows]) for n in range(len(head))]
    lines = []
    for row in [head, *rows]:
        cells = [
            cell.rjust(width) if n == 0 else cell.ljust(width)
            for n, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def waterfall(parts: Sequence[Message]) -> str:
    """All parts of a story on one scale of time."""
    low, high = min(p.root.start for p in parts), max(p.root.end for p in parts)
    scale = _BAR / max(1, high - low)

    def bar(start: int, end: int, mark: str) -> str:
        at = min(int((start - low) * scale), _BAR - 1)
        width = max(1, min(_BAR - at, round((end - start) * scale)))
        return (" " * at + mark * width).ljust(_BAR)

    lines = []
    for part in parts:
        root = part.root
        told = root.attribute
        late = " late" if told("calicohitch.late", False) else ""
        lines.append(
            f"message {_id(part)}  {told('calicohitch.class')} for {told('messaging.destination.name')}"
            f"  at {root.relay or 'a relay'}  {told('calicohitch.end')}{late} after {root.ms:.0f} ms"
            f"  (wanted within {float(told('calicohitch.aim_ms', 0.0)):.0f})"
        )
        lines.append(f"trace {root.trace_id}" + (f", linked to {', '.join(root.links)}" if root.links else ""))
        rows = [(root.name, root.start, root.end, "=", "")]
        for span in part.children:
            mark = "#" if span.is_attempt else "."
            rows.append((span.name, span.start, span.end, mark, _note(span)))
        width = max(len(name) for name, *_ in rows)
        for name, start, end, mark, note in rows:
            began, took = (start - low) / 1e6, (end - start) / 1e6
            text = f"  {name.ljust(width)} |{bar(start, end, mark)}| {began:7.0f} {took:7.0f} ms  {note}"
            lines.append(text.rstrip())
        spent = {hands: ms for hands, ms in asking.by_hands(part).items() if ms >= 0.5}
        total = max(root.ms, 0.001)
        largest_first = sorted(spent.items(), key=lambda at: -at[1])
        lines.append(
            "  in whose hands: " + ", ".join(f"{hands} {ms:.0f} ms ({ms / total:.0%})" for hands, ms in largest_first)
        )
        lines.append("")
    return "\n".join(lines).rstrip()


def _note(span: Any) -> str:
    told = []
    if span.is_attempt:
        told.append(
            "cut by a death" if span.attribute("calicohitch.cut") else str(span.attribute("calicohitch.outcome", ""))
        )
        if status := span.attribute("http.response.status_code"):
            told.append(str(status))
        if wait := span.attribute("calicohitch.told_wait_ms"):
            told.append(f"told to wait {float(wait):.0f} ms")
        if connection := span.attribute("calicohitch.connection"):
            told.append(f"{connection} connection")
        if span.attribute("calicohitch.earlier_life"):
            told.append("of an earlier life")
    return ", ".join(part for part in told if part)
