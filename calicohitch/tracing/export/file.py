"""Export to a file of OTLP JSON lines that is rotated by size. Written in a worker thread: a slow disk must not
hold up the loop that delivers messages."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping

import anyio
import anyio.to_thread
from loguru import logger

from ...clock import Clock
from ...core.change_notifier import ChangeNotifier
from ..otlp import json_line
from ..settings import FileSettings
from ..spans import Span, Value
from .queue import ExportQueue

_GATHER_S = 0.2  # from the first trace that waits to the batch that takes it
_BATCH_BYTES = 256 << 10
_TRY_AGAIN_S = 1.0


class FileExporter:
    def __init__(
        self,
        settings: FileSettings,
        clock: Clock,
        resource: Mapping[str, Value],
        scope: Callable[[], Mapping[str, Value]],
    ) -> None:
        self._set, self._clock, self._resource, self._scope = settings, clock, resource, scope
        self.queue = ExportQueue(settings.queue_bytes)
        self._failing = self.stopping = False
        self._changes = ChangeNotifier()

    def offer(self, spans: list[Span]) -> None:
        self.queue.put(json_line(spans, self._resource, self._scope()))
        self._changes.notify()

    async def run(self) -> None:
        while True:
            if await self._one():
                continue
            if self._failing and not self.stopping:
                await anyio.sleep(_TRY_AGAIN_S)
            elif not len(self.queue):
                await self._changes.wait()
                await anyio.sleep(0 if self.stopping else _GATHER_S)

    async def _one(self) -> bool:
        """Write a batch; False where there was none or the disk did not take it (it is dropped then: the next
        ones come, and memory is bounded)."""
        batch = self.queue.batch(self._clock.now(), min(_BATCH_BYTES, self._set.most_bytes))
        if batch is None:
            return False
        written = False
        try:
            await anyio.to_thread.run_sync(self._write, b"".join(batch.pieces))
            written, self._failing = True, False
        except OSError as err:
            if not self._failing:
                logger.bind(event="tracing.file").warning(
                    "traces: {} cannot be written: {}; further failures are only counted", self._set.path, err
                )
            self._failing = True
        finally:
            count = self.queue.settle(batch)
            if written:
                self.queue.counts.sent += count
            else:
                self.queue.counts.dropped_refused += count
        return written

    def _write(self, data: bytes) -> None:
        """Append whole lines or nothing: half a line would spoil the next one."""
        path = self._set.path
        path.parent.mkdir(parents=True, exist_ok=True)
        size = path.stat().st_size if path.exists() else 0
        if size and size + len(data) > self._set.most_bytes:
            self._rotate()
            size = 0
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)
        try:
            written = 0
            try:
                while written < len(data):
                    written += os.write(fd, data[written:])
            except OSError:
                os.ftruncate(fd, size)
                raise
        finally:
            os.close(fd)

    def _rotate(self) -> None:
        path = self._set.path
        if self._set.keep < 1:
            path.unlink()
            return
        for n in range(self._set.keep - 1, 0, -1):
            older = path.with_name(f"{path.name}.{n}")
            if older.exists():
                older.replace(path.with_name(f"{path.name}.{n + 1}"))
        path.replace(path.with_name(f"{path.name}.1"))
