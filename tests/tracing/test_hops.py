"""Traces on real sockets: from the client's headers to the endpoint's, and through every trouble between."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import anyio
from fake_servers.collector import Collector, attributes
from test_process import ROOT, Program, ending, exit_code
from test_relay_rules import left_open
from tracing.test_spans import late_one
from world import LIMIT, SETTINGS, World, member, play, until

from calicohitch.journal import Entry, Journal
from calicohitch.net.http import ClientConnection
from calicohitch.core.protocols import Submission
from calicohitch.tracing import otlp
from calicohitch.tracing.ledger import Ledger
from calicohitch.tracing.sampling import Cause
from calicohitch.tracing.settings import Budget, CollectorSettings, TracingSettings
from calicohitch.tracing.spans import spans_of

TRACE, SPAN = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
GOOD = f"00-{TRACE}-{SPAN}-01"


def to(collector: Collector, **budget: Any) -> TracingSettings:
    budget = {"ordinary": 1.0} | budget
    return TracingSettings(budget=Budget(**budget), collector=CollectorSettings(collector.address))


def story(collector: Collector) -> list[tuple[str, str]]:
    spans = sorted(collector.spans, key=lambda span: (span.start_time_unix_nano, -span.end_time_unix_nano))
    return [(span.name, attributes(span.attributes).get("calicohitch.outcome", "")) for span in spans]


class Hops(unittest.TestCase):
    def with_collector(self, test: Any) -> None:
        async def run(world: World) -> None:
            collector = Collector()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collector.run)
                await test(world, collector)
                tasks.cancel_scope.cancel()
            collector.listener.close()

        play(run)

    def test_one_trace_from_client_through_relay_to_endpoint(self) -> None:
        async def test(world: World, collector: Collector) -> None:
            world.answers = [(429, {"Wait-Ms": "300"}, b""), (200, {}, b"")]
            async with world.relay(to(collector)) as relay:
                told = {"traceparent": GOOD, "tracestate": "vendor=x"}
                await world.hand_in(Req_Deadline_Ms="24000", **told)
                await until(lambda: len(world.endpoint.requests) == 2 and relay.idle)
            root = collector.named("relay orders")[0]
            self.assertEqual((root.trace_id.hex(), root.parent_span_id.hex()), (TRACE, SPAN))
            self.assertEqual(attributes(root.attributes)["calicohitch.cause"], "repeated")
            attempts = [*collector.named("attempt 1"), *collector.named("attempt 2")]
            for span, call in zip(attempts, world.endpoint.requests, strict=True):
                self.assertEqual(span.parent_span_id, root.span_id)
                parent = call.headers[b"traceparent"].decode()
                self.assertEqual(parent, f"00-{TRACE}-{span.span_id.hex()}-01")
                self.assertEqual(call.headers[b"tracestate"], b"vendor=x")
            (wait,) = collector.named("wait told by 7")
            self.assertGreater((wait.end_time_unix_nano - wait.start_time_unix_nano) / 1e6, 250)
            first = attributes(attempts[0].attributes)
            self.assertEqual((first["calicohitch.told_wait_ms"], first["http.response.status_code"]), (300.0, 429))
            self.assertEqual(first["calicohitch.connection"], "new")

        self.with_collector(test)

    def test_hostile_headers_cost_the_trace_and_never_the_message(self) -> None:
        hostile = [
            [("traceparent", "00-" + "0" * 32 + f"-{SPAN}-01")],
            [("traceparent", GOOD), ("traceparent", GOOD)],
            [("traceparent", "x" * 9_000)],
            [("traceparent", f"ff-{TRACE}-{SPAN}-01"), ("tracestate", "a=1")],
            [("traceparent", GOOD.upper())],
            [("traceparent", f"00-{TRACE}-{SPAN}-01-more")],
            [("traceparent", GOOD), ("tracestate", "a=1," * 200)],
            [("traceparent", GOOD), ("tracestate", "\x7f=,=,,")],
            [("tracestate", "a=1")],
        ]

        async def test(world: World, collector: Collector) -> None:
            async with world.relay(to(collector)) as relay:
                for n, headers in enumerate(hostile):
                    connection = await ClientConnection.open(world.client)
                    told = [
                        ("Host", "relay"),
                        ("Req-Id", f"h{n}"),
                        ("Req-Deadline-Ms", "5000"),
                        ("Envelope", "dest=7"),
                        ("Idempotency-Key", f"k{n}"),
                        *headers,
                    ]
                    response = await connection.request(
                        "POST", "/orders", [(k.encode(), v.encode()) for k, v in told], b"x"
                    )
                    connection.close()
                    self.assertEqual(response.status, 202, headers)
                await until(lambda: len(world.endpoint.requests) == len(hostile) and relay.idle)
                tracer = relay._tracer
                assert tracer
                self.assertEqual(sum(tracer.faults.values()), 8)  # all but a state without a parent
            for call in world.endpoint.requests:
                self.assertRegex(call.headers[b"traceparent"].decode(), r"\A00-[0-9a-f]{32}-[0-9a-f]{16}-0[0-3]\Z")
                self.assertNotIn(b"traceparent", call.repeated)
                self.assertNotIn(b"tracestate", call.headers)

        self.with_collector(test)

    def test_what_is_turned_away_or_given_up_is_kept_with_its_reason(self) -> None:
        async def test(world: World, collector: Collector) -> None:
            async with world.relay(to(collector, ordinary=0.0)):
                self.assertEqual((await world.hand_in("a1", Envelope="dest=99")).status, 503)
                self.assertEqual((await world.hand_in("a2", Req_Deadline_Ms="90")).status, 202)
                await until(lambda: world.notices)
                await until(lambda: not left_open(world.folder))
            told = [attributes(root.attributes) for root in collector.named("relay orders")]
            told.sort(key=lambda t: t["messaging.message.id"])
            self.assertEqual([t["calicohitch.end"] for t in told], ["turned_away", "refused"])
            self.assertTrue(500.0 <= told[1]["calicohitch.retry_in_ms"] <= 750.0)
            self.assertEqual({t["calicohitch.cause"] for t in told}, {"refused"})
            self.assertIn("no endpoint is known for the destination", told[0]["calicohitch.refusal"])
            self.assertIn("calicohitch.seen.refused", collector.scopes[-1])

        self.with_collector(test)

    def test_a_message_handed_in_again_at_another_relay_shares_its_story(self) -> None:
        async def test(world: World, collector: Collector) -> None:
            async with world.relay(to(collector)) as relay:
                await world.hand_in("a1")
                await until(lambda: world.endpoint.requests and relay.idle)
            with tempfile.TemporaryDirectory() as other:
                world.folder = Path(other)  # another relay, which knows nothing of the first
                async with world.relay(to(collector), name="n1") as second:
                    await world.hand_in("a2", Req_Retry="again")
                    other_trace = f"00-{'ab' * 16}-{SPAN}-01"
                    await world.hand_in("a3", Req_Retry="again", traceparent=other_trace)
                    await until(lambda: len(world.endpoint.requests) == 3 and second.idle)
            first, again, fresh = sorted(collector.named("relay orders"), key=lambda s: s.start_time_unix_nano)
            self.assertEqual(first.trace_id, again.trace_id)
            self.assertNotEqual(first.span_id, again.span_id)
            self.assertEqual([link.trace_id for link in fresh.links], [first.trace_id])
            self.assertEqual(len({attributes(s.attributes)["calicohitch.story"] for s in (first, again, fresh)}), 1)

        self.with_collector(test)

    def test_a_clock_that_stepped_back_between_two_lives(self) -> None:
        async def test(world: World, collector: Collector) -> None:
            now = time.time() * 1e3
            journal = Journal(world.folder, 3e6)
            ahead = now + 3_600_000
            record = Entry(1, "a1", "scores", 7, now + 4_000, "k1", b"x")
            async with world.relay(to(collector), state="/nowhere") as relay:
                assert relay._tracer
                record.trace = relay._tracer.submission_received(record, (), ahead, False)
            journal.record_accepted(record)
            journal.record_attempt(1, 0, ahead + 10, 0)
            journal.close()
            async with world.relay(to(collector)) as relay:
                await until(lambda: world.endpoint.requests and relay.idle)
            self.assertTrue(collector.named("recovery"))
            for span in collector.spans:
                self.assertLessEqual(span.start_time_unix_nano, span.end_time_unix_nano)

        self.with_collector(test)

    def test_a_flood_hides_nothing_and_delays_nothing(self) -> None:
        """2,000 messages fail at one destination while another has three late ones."""

        async def test(world: World, collector: Collector) -> None:
            late_at = {"l0", "l1", "l2"}

            async def deliver(request: Any) -> Any:
                wire_id = request.headers[b"req-id"].decode()
                if wire_id in late_at:
                    await anyio.sleep(1.2)
                    return 200, {}, b""
                return 500, {}, b""

            world.endpoint.handle = deliver  # type: ignore[assignment]
            address = str(world.endpoint.address)
            world.members = [member(address), member(address, "s-2", 8)]
            settings = SETTINGS | {
                "caps": SETTINGS["caps"] | {"open_cap": 5_000, "send_cap": 1},
                "family_info": {"call_slots": 64},
            }
            async with world.relay(
                to(collector, ordinary=0.0, spans=100), settings=settings, limits={"disk_mb": 60}
            ) as relay:
                for n in range(2_000):
                    told = Submission(f"f{n}", 1, 7, 4_000.0, None, b"x")
                    number = relay.submit(told)
                    assert isinstance(number, int)
                    relay.accept(number, told)
                    if n in (10, 900, 1_900):
                        late = Submission(f"l{(10, 900, 1_900).index(n)}", 1, 8, 4_900.0, None, b"x")
                        number = relay.submit(late)
                        assert isinstance(number, int)
                        relay.accept(number, late)
                    if n % 50 == 0:
                        await anyio.sleep(0)
                with anyio.fail_after(LIMIT):
                    while not relay.idle:
                        await anyio.sleep(0.02)
                tracer = relay._tracer
                assert tracer
                seen = tracer._sampler.seen
            roots = [attributes(s.attributes) for s in collector.named("relay scores")]
            kept_late = {r["messaging.message.id"] for r in roots if r["calicohitch.late"]}
            self.assertEqual(kept_late, late_at)
            stands_for = sum(r["calicohitch.adjusted_count"] for r in roots)
            self.assertAlmostEqual(stands_for, 2_003, delta=1)
            self.assertEqual(sum(seen.values()), 2_003)
            by_second: dict[int, int] = {}
            for span in collector.spans:
                by_second[span.end_time_unix_nano // 10**9] = by_second.get(span.end_time_unix_nano // 10**9, 0) + 1
            self.assertLessEqual(max(by_second.values()), 2 * 100)  # two windows may end in one second

        self.with_collector(test)


class Lives(unittest.TestCase):
    def test_a_kill_between_an_attempt_and_its_answer(self) -> None:
        async def test(world: World) -> None:
            collector = Collector()

            async def hang_once(_request: Any) -> Any:
                if len(world.endpoint.requests) == 1:
                    await anyio.sleep(LIMIT)
                return 200, {}, b""

            world.endpoint.handle = hang_once  # type: ignore[assignment]
            program = Program(world)
            operator = world.folder / "operator.kdl"
            url = f"http://{collector.address}/v1/traces"
            operator.write_text(f'tracing {{\n sample ordinary=1\n collector "{url}"\n}}')
            program.arguments = ["--operator", str(operator)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collector.run)
                first = await program.start()
                await world.hand_in(Req_Deadline_Ms="20000", traceparent=GOOD)
                await until(lambda: world.endpoint.requests)
                first.kill()
                first.wait(LIMIT)
                self.assertEqual(collector.spans, [])
                with ending(await program.start()) as second:
                    await until(lambda: len(world.endpoint.requests) == 2)
                    second.send_signal(signal.SIGTERM)  # what was not exported by now is flushed
                    self.assertEqual(await exit_code(second), 0)
                tasks.cancel_scope.cancel()
            collector.listener.close()
            ids = [span.span_id for span in collector.spans]
            self.assertEqual(len(ids), len(set(ids)))
            self.assertEqual({span.trace_id.hex() for span in collector.spans}, {TRACE})
            (root,) = collector.named("relay orders")
            self.assertEqual(root.parent_span_id.hex(), SPAN)
            self.assertEqual(attributes(root.attributes)["calicohitch.cause"], "recovered")
            (cut,), (last,) = collector.named("attempt 1"), collector.named("attempt 2")
            self.assertIs(attributes(cut.attributes)["calicohitch.cut"], True)
            self.assertNotIn("calicohitch.cut", attributes(last.attributes))
            for span, call in zip((cut, last), world.endpoint.requests, strict=True):
                self.assertEqual(call.headers[b"traceparent"].decode()[36:52], span.span_id.hex())
            self.assertEqual(len(collector.named("recovery")), 1)

        play(test)

    def test_what_a_kill_costs_is_known_at_the_next_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "ledger"
            code = (
                "import os, sys; from pathlib import Path; from calicohitch.tracing.ledger import Ledger\n"
                "Ledger(Path(sys.argv[1])).owe(17); os.kill(os.getpid(), 9)"
            )
            subprocess.run([sys.executable, "-c", code, str(path)], cwd=ROOT)
            again = Ledger(path)
            self.assertEqual((again.lost, path.stat().st_size), (17, 512))
            again.close()
            again = Ledger(path)
            self.assertEqual(again.lost, 0)
            again.close()
            path.write_bytes(b"chtrace1" + b"\xff" * 20)  # damage is no count
            damaged = Ledger(path)
            self.assertEqual(damaged.lost, 0)
            damaged.close()
        with self.assertRaises(OSError):
            Ledger(Path("/dev/full"))

    def test_off_imports_nothing_of_it(self) -> None:
        code = (
            "import sys, calicohitch.commands.serve\n"
            "print([m for m in sys.modules if 'tracing' in m or 'opentelemetry' in m or 'grpc' in m or m in "
            "('ckdl', 'zstandard', 'google.protobuf', 'h2', 'calicohitch.wire')])"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)


class Command(unittest.TestCase):
    def ask(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "calicohitch", "traces", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_show_slow_and_why(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.jsonl"
            path.write_bytes(otlp.json_line(spans_of(*late_one(), Cause.RECOVERED, 2.0), {}, {}))
            shown = self.ask("show", "a1", str(path))
            self.assertEqual(shown.returncode, 0, shown.stderr)
            for text in ("wait told by 7", "attempt 1", "cut by a death", "in whose hands: relay"):
                self.assertIn(text, shown.stdout)
            why = self.ask("why", str(path), "--class", "scores", "--late")
            self.assertIn("held: told_wait", why.stdout)
            self.assertIn("1 traces that stand for 2 messages", why.stdout)
            told = json.loads(self.ask("slow", str(path), "--json").stdout)
            self.assertEqual(told[0]["id"], "a1")
            cases = [
                (("show", "nobody", str(path)), 1),
                (("why", str(path), "--class", "none"), 1),
                (("slow", "/nowhere"), 2),
                (("slow", "-n", "0", str(path)), 2),
                (("slow", "/bin/true"), 2),
            ]
            for arguments, status in cases:
                with self.subTest(arguments=arguments):
                    self.assertEqual(self.ask(*arguments).returncode, status)


if __name__ == "__main__":
    unittest.main()
