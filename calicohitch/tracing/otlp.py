"""OTLP: spans as JSON lines and as protobuf. Bytes only, no I/O.

Source: the OpenTelemetry protocol 1.x. JSON: ids in hexadecimal, 64-bit numbers as strings. Protobuf: a repeated
field may be written piece by piece, so each trace is encoded once, queued as bytes whose size is known, and a
batch is put together from such pieces without touching them again.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from .. import __version__
from .spans import Span, Value

SCOPE = "calicohitch.tracing"


def _json_value(value: Value) -> dict[str, Any]:
    if isinstance(value, bool):
        return {"boolValue": value}
    if isinstance(value, int):
        return {"intValue": str(value)}
    return {"doubleValue": value} if isinstance(value, float) else {"stringValue": value}


def _json_attributes(attributes: Mapping[str, Value]) -> list[dict[str, Any]]:
    return [{"key": key, "value": _json_value(value)} for key, value in attributes.items()]


def json_span(span: Span) -> dict[str, Any]:
    told: dict[str, Any] = {
        "traceId": span.trace_id.hex(),
        "spanId": span.span_id.hex(),
        "name": span.name,
        "kind": span.kind,
        "startTimeUnixNano": str(span.start_ns),
        "endTimeUnixNano": str(span.end_ns),
        "attributes": _json_attributes(span.attributes),
        "flags": span.flags,
    }
    if span.parent_id:
        told["parentSpanId"] = span.parent_id.hex()
    if span.state:
        told["traceState"] = span.state
    if span.status:
        told["status"] = {"code": span.status} | ({"message": span.message} if span.message else {})
    if span.links:
        told["links"] = [
            {"traceId": trace.hex(), "spanId": at.hex(), "attributes": _json_attributes({"calicohitch.link": why})}
            for trace, at, why in span.links
        ]
    if span.events:
        told["events"] = [{"timeUnixNano": str(at), "name": name} for at, name in span.events]
    return told


def json_line(spans: Sequence[Span], resource: Mapping[str, Value], scope: Mapping[str, Value]) -> bytes:
    """One export request in OTLP's JSON form, on a line of its own."""
    told = {
        "resourceSpans": [
            {
                "resource": {"attributes": _json_attributes(resource)},
                "scopeSpans": [
                    {
                        "scope": {"name": SCOPE, "version": __version__, "attributes": _json_attributes(scope)},
                        "spans": [json_span(span) for span in spans],
                    }
                ],
            }
        ]
    }
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"


# Protobuf. The generated classes cost some 3 MB, so they are imported when the first span is encoded.


def _fill(target: Any, attributes: Mapping[str, Value]) -> None:
    for key, value in attributes.items():
        item = target.add()
        item.key = key
        if isinstance(value, bool):
            item.value.bool_value = value
        elif isinstance(value, int):
            item.value.int_value = value
        elif isinstance(value, float):
            item.value.double_value = value
        else:
            item.value.string_value = value


def proto_spans(spans: Iterable[Span]) -> bytes:
    """Spans as a piece of a `ScopeSpans` message."""
    from opentelemetry.proto.trace.v1 import trace_pb2

    scope = trace_pb2.ScopeSpans()
    for span in spans:
        told = scope.spans.add(
            trace_id=span.trace_id,
            span_id=span.span_id,
            parent_span_id=span.parent_id,
            name=span.name,
            kind=span.kind,
            start_time_unix_nano=span.start_ns,
            end_time_unix_nano=span.end_ns,
            trace_state=span.state,
            flags=span.flags,
        )
        _fill(told.attributes, span.attributes)
        if span.status:
            told.status.code, told.status.message = span.status, span.message
        for trace, at, why in span.links:
            _fill(told.links.add(trace_id=trace, span_id=at).attributes, {"calicohitch.link": why})
        for moment, name in span.events:
            told.events.add(time_unix_nano=moment, name=name)
    return bytes(scope.SerializeToString())


def _varint(number: int) -> bytes:
    made = bytearray()
    while number > 0x7F:
        made.append(number & 0x7F | 0x80)
        number >>= 7
    made.append(number)
    return bytes(made)


def _field(number: int, data: bytes) -> bytes:
    return _varint(number << 3 | 2) + _varint(len(data)) + data


def proto_request(pieces: Iterable[bytes], resource: Mapping[str, Value], scope: Mapping[str, Value]) -> bytes:
    """An `ExportTraceServiceRequest` of pieces that `proto_spans` made."""
    from opentelemetry.proto.common.v1 import common_pb2
    from opentelemetry.proto.resource.v1 import resource_pb2

    of_resource, of_scope = resource_pb2.Resource(), common_pb2.InstrumentationScope()
    _fill(of_resource.attributes, resource)
    of_scope.name, of_scope.version = SCOPE, __version__
    _fill(of_scope.attributes, scope)
    scope_spans = _field(1, of_scope.SerializeToString()) + b"".join(pieces)
    resource_spans = _field(1, of_resource.SerializeToString()) + _field(2, scope_spans)
    return _field(1, resource_spans)


def rejected_spans(body: bytes) -> tuple[int, str]:
    """What an `ExportTraceServiceResponse` says was rejected, and why; ValueError where it cannot be read."""
    from google.protobuf.message import DecodeError
    from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

    answer = trace_service_pb2.ExportTraceServiceResponse()
    try:
        answer.ParseFromString(body)
    except DecodeError as err:
        raise ValueError(str(err)) from err
    return answer.partial_success.rejected_spans, answer.partial_success.error_message
