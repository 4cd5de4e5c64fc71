"""Reads exported traces back: OTLP JSON lines, as the file exporter writes them, or a captured OTLP request."""

from __future__ import annotations

import gzip
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .spans import CLIENT, MESSAGE_ID, Value


@dataclass(slots=True)
class Seen:
    """One span as it was exported; times in Unix nanoseconds, ids in hexadecimal."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    kind: int
    start: int
    end: int
    attributes: dict[str, Value] = field(default_factory=dict)
    status: int = 0
    message: str = ""
    events: tuple[tuple[int, str], ...] = ()
    links: tuple[str, ...] = ()  # the trace ids of what is linked
    relay: str = ""

    @property
    def is_message(self) -> bool:
        """The root span of a message's part at one relay."""
        return MESSAGE_ID in self.attributes

    @property
    def is_attempt(self) -> bool:
        return self.kind == CLIENT

    @property
    def ms(self) -> float:
        return (self.end - self.start) / 1e6

    def attribute(self, name: str, default: Value = "") -> Value:
        return self.attributes.get(name, default)


@dataclass(slots=True)
class Message:
    """One message's part at one relay: its root span and what is under it."""

    root: Seen
    children: list[Seen] = field(default_factory=list)

    @property
    def weight(self) -> float:
        """So many messages does it stand for."""
        return float(self.root.attribute("calicohitch.adjusted_count", 1.0))

    @property
    def story(self) -> str:
        return str(self.root.attribute("calicohitch.story"))


@dataclass(slots=True)
class Reading:
    """What files held. `problems` names what could not be read, by file and line."""

    messages: list[Message] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    repeated: int = 0  # spans that were exported more than once
    counts: dict[str, dict[str, int]] = field(default_factory=dict)  # by relay: the last seen/kept/dropped


def read_files(paths: Iterable[Path]) -> Reading:
    """All spans of all files, each span once, put together by message. OSError where a file cannot be opened."""
    found, spans = Reading(), {}
    for path in paths:
        for span in _spans_of(path, found):
            if (span.trace_id, span.span_id) in spans:
                found.repeated += 1
            spans[span.trace_id, span.span_id] = span
    roots = {at: Message(span) for at, span in spans.items() if span.is_message}
    for at, span in spans.items():
        if at not in roots and (root := roots.get((span.trace_id, span.parent_id))):
            root.children.append(span)
    for message in roots.values():
        message.children.sort(key=lambda span: (span.start, span.end))
    found.messages = sorted(roots.values(), key=lambda message: message.root.start)
    return found


def _spans_of(path: Path, found: Reading) -> Iterator[Seen]:
    data = path.read_bytes()
    if data[:2] == b"\x1f\x8b":
        data = gzip.decompress(data)
    elif data[:4] == b"\x28\xb5\x2f\xfd":
        import zstandard

        data = zstandard.ZstdDecompressor().decompressobj().decompress(data)
    if not data.lstrip()[:1] == b"{" and data.strip():
        yield from _from_protobuf(path, data, found)
        return
    for n, line in enumerate(data.splitlines(), 1):
        if line.strip():
            try:
                yield from list(_from_json(json.loads(line), found))
            except (ValueError, KeyError, TypeError, AttributeError) as err:
                found.problems.append(f"{path}:{n}: {type(err).__name__}: {err}"[:200])


def _value(told: dict[str, Any]) -> Value:
    for name, make in (("stringValue", str), ("intValue", int), ("doubleValue", float), ("boolValue", bool)):
        if name in told:
            made: Value = make(told[name])
            return made
    return ""


def _attributes(told: list[dict[str, Any]] | None) -> dict[str, Value]:
    return {str(item["key"]): _value(item["value"]) for item in told or ()}


def _from_json(told: dict[str, Any], found: Reading) -> Iterator[Seen]:
    for resource in told["resourceSpans"]:
        relay = str(_attributes(resource.get("resource", {}).get("attributes")).get("service.instance.id", ""))
        for scope in resource["scopeSpans"]:
            _count(relay, _attributes(scope.get("scope", {}).get("attributes")), found)
            for span in scope["spans"]:
                status = span.get("status", {})
                yield Seen(
                    span["traceId"],
                    span["spanId"],
                    span.get("parentSpanId", ""),
                    str(span["name"]),
                    int(span.get("kind", 0)),
                    int(span["startTimeUnixNano"]),
                    int(span["endTimeUnixNano"]),
                    _attributes(span.get("attributes")),
                    int(status.get("code", 0)),
                    str(status.get("message", "")),
                    tuple((int(e["timeUnixNano"]), str(e["name"])) for e in span.get("events", ())),
                    tuple(str(link["traceId"]) for link in span.get("links", ())),
                    relay,
                )


def _count(relay: str, told: dict[str, Value], found: Reading) -> None:
    """The counts grow, so the largest told are the last."""
    known = found.counts.setdefault(relay, {})
    for name, value in told.items():
        if isinstance(value, int):
            known[name] = max(known.get(name, 0), value)


def _from_protobuf(path: Path, data: bytes, found: Reading) -> Iterator[Seen]:
    from google.protobuf.message import DecodeError
    from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

    request = trace_service_pb2.ExportTraceServiceRequest()
    try:
        request.ParseFromString(data)
    except DecodeError as err:
        found.problems.append(f"{path}: neither OTLP JSON lines nor an OTLP request: {err}")
        return

    def attributes(told: Iterable[Any]) -> dict[str, Value]:
        return {item.key: getattr(item.value, item.value.WhichOneof("value") or "string_value") for item in told}

    for resource in request.resource_spans:
        relay = str(attributes(resource.resource.attributes).get("service.instance.id", ""))
        for scope in resource.scope_spans:
            _count(relay, attributes(scope.scope.attributes), found)
            for span in scope.spans:
                yield Seen(
                    span.trace_id.hex(),
                    span.span_id.hex(),
                    span.parent_span_id.hex(),
                    span.name,
                    span.kind,
                    span.start_time_unix_nano,
                    span.end_time_unix_nano,
                    attributes(span.attributes),
                    span.status.code,
                    span.status.message,
                    tuple((event.time_unix_nano, event.name) for event in span.events),
                    tuple(link.trace_id.hex() for link in span.links),
                    relay,
                )
