"""A stand-in collector that speaks OTLP over HTTP, kind or rude as a test says."""

from __future__ import annotations

import gzip
from collections.abc import Callable
from typing import Any

import anyio
import zstandard
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2 as service
from world import LIMIT, Answer, Party, Request

OK = service.ExportTraceServiceResponse().SerializeToString()


def partial(rejected: int, why: str) -> bytes:
    answer = service.ExportTraceServiceResponse()
    answer.partial_success.rejected_spans, answer.partial_success.error_message = rejected, why
    return answer.SerializeToString()


class Collector(Party):
    """Keeps the spans of every request that it answered with 200. `script` holds what to do with the next
    requests: an answer, None for a connection that ends, or "silent"; then all is taken."""

    def __init__(self, *script: Answer | str) -> None:
        super().__init__(self._answer)
        self.script = list(script)
        self.spans: list[Any] = []
        self.scopes: list[dict[str, Any]] = []
        self.arrived: list[float] = []
        self.dead: Callable[[], bool] = lambda: False

    async def _answer(self, request: Request) -> Answer:
        self.arrived.append(anyio.current_time())
        if self.dead():
            await anyio.sleep(LIMIT)
        step = self.script.pop(0) if self.script else (200, {}, OK)
        if step == "silent":
            await anyio.sleep(LIMIT)
            return None
        if isinstance(step, tuple) and step[0] == 200:
            self._take(request)
        return step  # type: ignore[return-value]

    def _take(self, request: Request) -> None:
        body, encoding = request.body, request.headers.get(b"content-encoding", b"")
        if encoding == b"gzip":
            body = gzip.decompress(body)
        elif encoding == b"zstd":
            body = zstandard.ZstdDecompressor().decompressobj().decompress(body)
        told = service.ExportTraceServiceRequest()
        told.ParseFromString(body)
        for resource in told.resource_spans:
            for scope in resource.scope_spans:
                self.scopes.append(attributes(scope.scope.attributes))
                self.spans.extend(scope.spans)

    def named(self, name: str) -> list[Any]:
        return [span for span in self.spans if span.name == name]


def attributes(told: Any) -> dict[str, Any]:
    return {item.key: getattr(item.value, item.value.WhichOneof("value")) for item in told}
