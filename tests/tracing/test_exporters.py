"""Collectors that are slow, rude or dead, and disks that are full: bounded, counted, and told once."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
from fake_servers.collector import OK, Collector, partial
from world import until

from calicohitch.clock import Clock, ManualClock
from calicohitch.tracing.context import TraceContext
from calicohitch.tracing.export.collector import CollectorExporter
from calicohitch.tracing.export.file import FileExporter
from calicohitch.tracing.export.queue import Batch, ExportQueue, LineRate, Retry, Verdict, read_retry_after
from calicohitch.tracing.facts import End, Facts
from calicohitch.tracing.reading import read_files
from calicohitch.tracing.sampling import Cause
from calicohitch.tracing.settings import CollectorSettings, FileSettings
from calicohitch.tracing.spans import Span, spans_of


def trace(n: int) -> list[Span]:
    context = TraceContext(n.to_bytes(16, "big"), n.to_bytes(8, "big"))
    facts = Facts(f"m{n}", "scores", 7, 1_000.0, context, end=End.FAILED, ended_at=1_500.0, decided_at=1_400.0)
    return spans_of(facts, None, Cause.FAILED, 1.0)


def with_collector(collector: Collector, test: Callable[[CollectorExporter], Awaitable[None]], **told: Any) -> None:
    async def run() -> None:
        settings = CollectorSettings(collector.address, timeout_ms=300.0, **told)
        counts = {"calicohitch.seen.failed": 9}
        exporter = CollectorExporter(settings, Clock(), {"service.name": "x"}, lambda: counts)
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collector.run)
                tasks.start_soon(exporter.run)
                await test(exporter)
                tasks.cancel_scope.cancel()
        collector.listener.close()

    anyio.run(run)


class ToCollector(unittest.TestCase):
    def test_every_compression_arrives_with_the_counts(self) -> None:
        for compression in ("gzip", "zstd", "none"):
            collector = Collector()

            async def test(exporter: CollectorExporter, collector: Collector = collector) -> None:
                for n in range(1, 40):
                    exporter.offer(trace(n))
                await until(lambda: len(collector.spans) == 39 and not len(exporter.queue))

            with self.subTest(compression=compression):
                with_collector(collector, test, compression=compression, batch_bytes=4_096)
                self.assertGreater(len(collector.requests), 1)
                self.assertTrue(all(len(r.body) <= 5_000 for r in collector.requests))
                self.assertEqual(collector.scopes[0], {"calicohitch.seen.failed": 9})

    def test_what_a_collector_may_do_and_what_becomes_of_the_batch(self) -> None:
        cases: list[tuple[list[Any], int, str]] = [
            ([(429, {"Retry-After": "0.05"}, b""), (503, {"Retry-After": "0"}, b"")], 1, "sent"),
            ([(502, {"Retry-After": "0"}, b""), (504, {"Retry-After": "0"}, b"")], 1, "sent"),
            ([None], 1, "sent"),  # closed without an answer
            (["silent"], 1, "sent"),
            ([(200, {}, b"\xff\xff not protobuf")], 1, "sent"),  # a 200 is believed
            ([(400, {}, b"")], 0, "dropped_refused"),
            ([(413, {}, b"")], 0, "dropped_refused"),
            ([(200, {}, partial(1, "too old"))], 1, "spans_rejected"),
        ]
        for script, spans, count in cases:
            collector = Collector(*script)

            async def test(exporter: CollectorExporter, count: str = count) -> None:
                exporter.offer(trace(1))
                await until(lambda: getattr(exporter.queue.counts, count) == 1)
                await until(lambda: not len(exporter.queue) and not exporter.queue.bytes)

            with self.subTest(script=script):
                with_collector(collector, test)
                self.assertEqual(len(collector.spans), spans)

    def test_a_told_wait_is_heeded(self) -> None:
        collector = Collector((429, {"Retry-After": "0.4"}, b""))

        async def test(exporter: CollectorExporter) -> None:
            exporter.offer(trace(1))
            await until(lambda: collector.spans)

        with_collector(collector, test)
        self.assertGreaterEqual(collector.arrived[1] - collector.arrived[0], 0.4)

    def test_a_dead_collector_costs_bounded_memory_and_a_stop_does_not_wait_for_it(self) -> None:
        collector = Collector()
        collector.dead = lambda: True

        async def test(exporter: CollectorExporter) -> None:
            for n in range(1, 400):
                exporter.offer(trace(n))
                self.assertLessEqual(exporter.queue.bytes, 16_384)
                if n % 100 == 0:
                    await anyio.sleep(0.01)
            self.assertGreater(exporter.queue.counts.dropped_full, 300)
            exporter.stopping = True
            await until(lambda: not len(exporter.queue))
            self.assertEqual(exporter.queue.bytes, 0)
            counts = exporter.queue.counts
            self.assertEqual(counts.sent + counts.dropped_full + counts.dropped_old, 399)

        with_collector(collector, test, queue_bytes=16_384, batch_bytes=8_192)


class Waiting(unittest.TestCase):
    def test_pauses_double_up_to_a_bound_and_old_batches_are_dropped(self) -> None:
        retry, batch, pauses = Retry(1, 60_000.0), Batch((b"x",), 0.0), []
        for _ in range(9):
            self.assertIs(retry.after(1_000.0, batch, None), Verdict.AGAIN)
            pauses.append(retry.not_before - 1_000.0)
        for n, pause in enumerate(pauses):
            full = min(500.0 * 2**n, 30_000.0)
            self.assertTrue(full / 2 <= pause <= full, (n, pause))
        self.assertIs(retry.after(61_000.0, batch, 503), Verdict.OLD)
        self.assertIs(retry.after(61_000.0, batch, 200), Verdict.SENT)
        self.assertEqual(retry.not_before, 0.0)

    def test_retry_after_in_every_form(self) -> None:
        cases = [
            (b"", None),
            (b"2", 2_000.0),
            (b"0.5", 500.0),
            (b"-4", 0.0),
            (b"1e99", 300_000.0),
            (b"nan", None),
            (b"soon", None),
            (b"Thu, 01 Jan 1970 00:01:00 GMT", 50_000.0),
            (b"\xff\xfe", None),
        ]
        for text, wait in cases:
            with self.subTest(text=text):
                self.assertEqual(read_retry_after(text, 10_000.0), wait)

    def test_a_queue_counts_what_is_in_hand_until_it_is_settled(self) -> None:
        queue = ExportQueue(10)
        self.assertEqual([queue.put(b"abcd") for _ in range(3)], [True, True, False])
        batch = queue.batch(0.0, 4)
        assert batch
        self.assertEqual((len(queue), queue.bytes, queue.put(b"abcd")), (2, 8, False))
        self.assertEqual((queue.settle(batch), len(queue), queue.bytes), (1, 1, 4))
        self.assertEqual((queue.put(b"x" * 99), queue.counts.dropped_full), (False, 3))

    def test_log_lines_have_a_rate(self) -> None:
        rate, clock = LineRate(2.0), ManualClock()
        allowed = []
        for _ in range(40):
            allowed.append(rate.allows(clock.now()))
            clock.advance(100.0)
        self.assertEqual(sum(allowed), 2 + 7)  # a second's burst, then two a second for 3.9 s
        self.assertEqual(rate.left_out, 31)


class ToFile(unittest.TestCase):
    def run_file(self, path: Path, test: Callable[[FileExporter], Awaitable[None]], **told: Any) -> None:
        async def run() -> None:
            exporter = FileExporter(FileSettings(path, **told), Clock(), {"service.name": "x"}, dict)
            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(exporter.run)
                    await test(exporter)
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_files_rotate_by_size_and_lose_only_the_oldest(self) -> None:
        async def test(exporter: FileExporter) -> None:
            for n in range(1, 60):
                exporter.offer(trace(n))
                await until(lambda: not len(exporter.queue))

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "new" / "t.jsonl"
            self.run_file(path, test, most_bytes=20_000, keep=1)
            files = sorted(path.parent.iterdir())
            self.assertEqual([f.name for f in files], ["t.jsonl", "t.jsonl.1"])
            self.assertTrue(all(f.stat().st_size <= 20_000 for f in files))
            found = read_files(files)
            numbers = [int(str(m.root.attribute("messaging.message.id"))[1:]) for m in found.messages]
            self.assertEqual((found.problems, sorted(numbers)), ([], list(range(min(numbers), 60))))

    def test_a_full_disk_drops_what_it_does_not_take_and_spoils_no_line(self) -> None:
        async def test(exporter: FileExporter) -> None:
            exporter.offer(trace(1))
            await until(lambda: exporter.queue.counts.dropped_refused == 1)
            self.assertEqual((len(exporter.queue), exporter.queue.bytes), (0, 0))

        self.run_file(Path("/dev/full"), test)

    def test_a_write_that_stops_half_way_is_taken_back(self) -> None:
        import os
        from unittest import mock

        real, calls = os.write, 0

        def half(fd: int, data: bytes) -> int:
            nonlocal calls
            calls += 1
            if calls == 2:
                return real(fd, data[: len(data) // 2])
            if calls == 3:
                raise OSError(28, "No space left on device")
            return real(fd, data)

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            exporter = FileExporter(FileSettings(path), Clock(), {}, dict)
            with mock.patch("calicohitch.tracing.export.file.os.write", half):
                exporter._write(b'{"a":1}\n')
                with self.assertRaises(OSError):
                    exporter._write(b'{"b":2}\n')
                exporter._write(b'{"c":3}\n')
            self.assertEqual(path.read_bytes(), b'{"a":1}\n{"c":3}\n')


assert OK == b""

if __name__ == "__main__":
    unittest.main()
