"""Export to a collector: OTLP over HTTP with protobuf, in batches, compressed."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping

import anyio
import h11
from loguru import logger
from opentelemetry.proto.trace.v1 import trace_pb2  # noqa: F401  here, not while messages wait

from ...clock import Clock
from ...net.http import Response
from ...net.server_client import ServerClient
from ...core.change_notifier import ChangeNotifier
from ..otlp import proto_request, proto_spans, rejected_spans
from ..settings import CollectorSettings
from ..spans import Span, Value
from .queue import Batch, ExportQueue, Retry, Verdict

_GATHER_S = 0.2  # from the first trace that waits to the batch that takes it
_SLEEP_S = 0.5  # the longest sleep inside a pause, so that a stop is seen
_MAX_ANSWER = 64 << 10


class CollectorExporter:
    """Never waited for: `offer` queues or drops, and `run` sends while the relay goes on with its work. Once
    `stopping` is set pauses are not waited out, and what fails then is dropped and counted."""

    def __init__(
        self,
        settings: CollectorSettings,
        clock: Clock,
        resource: Mapping[str, Value],
        scope: Callable[[], Mapping[str, Value]],
        seed: int = 0,
    ) -> None:
        self._set, self._clock, self._resource, self._scope = settings, clock, resource, scope
        self.queue = ExportQueue(settings.queue_bytes)
        self._retry = Retry(seed, settings.give_up_ms)
        self._server = ServerClient(settings.address, _MAX_ANSWER)
        self._failing = self.stopping = False
        self._changes = ChangeNotifier()

    def offer(self, spans: list[Span]) -> None:
        self.queue.put(proto_spans(spans))
        self._changes.notify()

    async def run(self) -> None:
        while True:
            if (batch := self.queue.batch(self._clock.now(), self._set.batch_bytes)) is None:
                await self._changes.wait()
                await anyio.sleep(0 if self.stopping else _GATHER_S)
                continue
            await self._settle(batch)

    async def _settle(self, batch: Batch) -> None:
        body = self._compressed(proto_request(batch.pieces, self._resource, self._scope()))
        counts, verdict = self.queue.counts, Verdict.AGAIN
        try:
            while verdict is Verdict.AGAIN:
                await self._pause()
                verdict = await self._send(batch, body)
                if verdict is Verdict.AGAIN and self.stopping:
                    verdict = Verdict.OLD
        finally:
            count = self.queue.settle(batch)
            if verdict is Verdict.SENT:
                counts.sent += count
            elif verdict is Verdict.REFUSED:
                counts.dropped_refused += count
            else:
                counts.dropped_old += count

    async def _pause(self) -> None:
        while (left := self._retry.not_before - self._clock.now()) > 0 and not self.stopping:
            await anyio.sleep(min(left / 1e3, _SLEEP_S))

    async def _send(self, batch: Batch, body: bytes) -> Verdict:
        headers = [(b"Content-Type", b"application/x-protobuf"), (b"User-Agent", b"calicohitch")]
        if self._set.compression != "none":
            headers.append((b"Content-Encoding", self._set.compression.encode()))
        response: Response | None = None
        try:
            limit = self._set.timeout_ms / 1e3
            response = await self._server.request("POST", self._set.path, limit, headers, body)
        except (OSError, h11.ProtocolError) as err:  # silence is a TimeoutError: an OSError
            self._tell(f"{type(err).__name__}: {err}")
        now = self._clock.now()
        if response is None:
            return self._retry.after(now, batch, None)
        verdict = self._retry.after(now, batch, response.status, response.headers.get(b"retry-after", b""))
        if verdict is Verdict.SENT:
            self._failing = False
            self._read(response.body)
        else:
            self._tell(f"answered {response.status}")
        return verdict

    def _read(self, body: bytes) -> None:
        try:
            rejected, why = rejected_spans(body)
        except ValueError:
            return  # a 2xx is believed: what it says beside that cannot be read
        if rejected:
            self.queue.counts.spans_rejected += rejected
            self._tell(f"rejected {rejected} spans: {why[:200]}")

    def _tell(self, what: str) -> None:
        if not self._failing:  # guards the log against a line for each of many failures
            logger.bind(event="tracing.collector").warning(
                "traces: the collector {} {}; further failures are only counted", self._set.address, what
            )
        self._failing = True

    def _compressed(self, body: bytes) -> bytes:
        if self._set.compression == "gzip":
            # 16: in gzip's form; a window of 8 KiB, since the usual one takes a quarter of a megabyte for each batch
            packer = zlib.compressobj(1, zlib.DEFLATED, 16 + 13, 6)
            return packer.compress(body) + packer.flush()
        if self._set.compression == "zstd":
            import zstandard

            return zstandard.ZstdCompressor(level=3).compress(body)
        return body
