"""Cost of a gRPC call through the relay, against HTTP/1.1 and against a plain grpcio proxy, in one run.

    .venv/bin/python benchmarks/grpc_calls.py cpu       CPU a call at a constant rate, and calls a second unpaced
    .venv/bin/python benchmarks/grpc_calls.py added     latency added to a call
    .venv/bin/python benchmarks/grpc_calls.py memory    500 open streams whose client does not read

Needs the `dev` extra (grpcio). Every load is bounded in count and time; all traffic is on the loopback interface.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
from harness import Platform, RelayProcess, cpu_of, free_port, spread
from tracing import load

# An endpoint on grpcio's asyncio server, which prints its port: it echoes, and "flood:N" streams N messages of 64 KiB.
ENDPOINT = """
import asyncio, grpc, grpc.aio
class All(grpc.GenericRpcHandler):
    def service(self, details):
        async def act(messages, context):
            async for message in messages:
                if message.startswith(b"flood:"):
                    for _ in range(int(message[6:])):
                        yield b"z" * 65536
                else:
                    yield message
        return grpc.stream_stream_rpc_method_handler(act)
async def main():
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((All(),))
    print(server.add_insecure_port("127.0.0.1:0"), flush=True)
    await server.start()
    await server.wait_for_termination()
asyncio.run(main())
"""

# A plain grpcio proxy without the relay's rules, as the baseline. argv: the endpoint's port.
PLAIN_PROXY = """
import asyncio, sys, grpc, grpc.aio
async def main():
    channel = grpc.aio.insecure_channel("127.0.0.1:" + sys.argv[1])
    class All(grpc.GenericRpcHandler):
        def service(self, details):
            onward = channel.unary_unary(details.method)
            async def act(message, context):
                return await onward(message, timeout=context.time_remaining())
            return grpc.unary_unary_rpc_method_handler(act)
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((All(),))
    print(server.add_insecure_port("127.0.0.1:0"), flush=True)
    await server.start()
    await server.wait_for_termination()
asyncio.run(main())
"""


class Script:
    """A child process that runs the code and prints its port."""

    def __init__(self, code: str, *arguments: str) -> None:
        self.process = subprocess.Popen([sys.executable, "-c", code, *arguments], stdout=subprocess.PIPE, text=True)
        assert self.process.stdout
        self.port = int(self.process.stdout.readline())

    def cpu_s(self) -> float:
        return cpu_of(self.process.pid)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


class GrpcRelay:
    """A relay with a gRPC listener in front of the endpoint at this port."""

    def __init__(self, endpoint: int, folder: Path) -> None:
        self.grpc_port = free_port()
        operator = (
            f'grpc listen="127.0.0.1:{self.grpc_port}" {{\nroute "b.S" "Post" class="score-updates" dest=9\n'
            'route "b.S" "Watch" class="entry-orders" dest=9 requests="many"\nendpoints id="g"\n}\n'
        )
        self.platform = Platform(grpc_port=endpoint)
        self.relay = RelayProcess(self.platform, folder, operator)

    def close(self) -> None:
        self.relay.close()
        self.platform.close()


async def calls(port: int, count: int, per_s: float, concurrency: int = 16) -> tuple[float, list[float]]:
    """Unary calls at a constant rate (0: unpaced); total seconds, and each call's milliseconds."""
    durations_ms: list[float] = []
    numbers, started_at = iter(range(count)), time.monotonic()
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        method = channel.unary_unary("/b.S/Post")

        async def client() -> None:
            for n in numbers:
                if per_s:
                    await asyncio.sleep(max(0.0, started_at + n / per_s - time.monotonic()))
                call_started = time.perf_counter()
                await method(b"body", timeout=4)
                durations_ms.append((time.perf_counter() - call_started) * 1e3)

        await asyncio.wait_for(asyncio.gather(*(client() for _ in range(concurrency))), 120)
    return time.monotonic() - started_at, durations_ms


def cpu(rounds: int = 3, count: int = 1_500, per_s: float = 150.0) -> None:
    found: dict[str, list[float]] = {"HTTP/1.1": [], "gRPC": [], "bare grpcio": []}
    rates: dict[str, list[float]] = {"gRPC": [], "bare grpcio": []}
    for _ in range(rounds):
        endpoint = Script(ENDPOINT)
        with tempfile.TemporaryDirectory() as folder:
            grpc_relay, proxy = GrpcRelay(endpoint.port, Path(folder) / "g"), Script(PLAIN_PROXY, str(endpoint.port))
            platform = Platform()
            http_relay = RelayProcess(platform, Path(folder) / "h")
            try:
                asyncio.run(load(http_relay.port, 100, 100, 7, name="warm"))
                before = http_relay.cpu_s()
                asyncio.run(load(http_relay.port, count, per_s, 7))
                time.sleep(0.5)
                found["HTTP/1.1"].append((http_relay.cpu_s() - before) * 1e3 / count)
                sides: list[tuple[str, int, Any]] = [
                    ("gRPC", grpc_relay.grpc_port, grpc_relay.relay),
                    ("bare grpcio", proxy.port, proxy),
                ]
                for name, port, process in sides:
                    asyncio.run(calls(port, 100, 100))
                    before = process.cpu_s()
                    asyncio.run(calls(port, count, per_s))
                    found[name].append((process.cpu_s() - before) * 1e3 / count)
                    seconds, _ = asyncio.run(calls(port, 2_000, 0))
                    rates[name].append(2_000 / seconds)
            finally:
                for resource in (http_relay, platform, grpc_relay, proxy, endpoint):
                    resource.close()
    for name, values in found.items():
        rate = f", {statistics.median(rates[name]):.0f} calls a second flat out" if name in rates else ""
        print(
            f"{name}: {statistics.median(values):.2f} ms CPU a message ({min(values):.2f} to {max(values):.2f}){rate}",
            flush=True,
        )
    for other in ("HTTP/1.1", "bare grpcio"):
        ratios = [a / b for a, b in zip(found["gRPC"], found[other], strict=True)]
        print(f"gRPC / {other}: {spread(ratios)}", flush=True)


def added(rounds: int = 3, count: int = 400) -> None:
    medians, tails = [], []
    for _ in range(rounds):
        endpoint = Script(ENDPOINT)
        with tempfile.TemporaryDirectory() as folder:
            grpc_relay = GrpcRelay(endpoint.port, Path(folder))
            try:
                results = []
                for port in (endpoint.port, grpc_relay.grpc_port):
                    asyncio.run(calls(port, 50, 0, 1))
                    durations_ms = sorted(asyncio.run(calls(port, count, 100, 1))[1])
                    results.append((statistics.median(durations_ms), durations_ms[int(len(durations_ms) * 0.99)]))
                medians.append(results[1][0] - results[0][0])
                tails.append(results[1][1] - results[0][1])
            finally:
                grpc_relay.close()
                endpoint.close()
    print(f"added to a call: median {spread(medians)} ms, p99 {spread(tails)} ms")


def memory(streams: int = 500) -> None:
    endpoint = Script(ENDPOINT)

    async def hold(port: int, relay: RelayProcess) -> tuple[float, float]:
        channels = [
            grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=(("grpc.use_local_subchannel_pool", 1),))
            for _ in range(streams // 100)
        ]
        before, open_calls = relay.rss_mb(), []
        for n in range(streams):
            call = channels[n % len(channels)].stream_stream("/b.S/Watch")(
                timeout=20, metadata=(("idempotency-key", f"k{n}"),)
            )
            await call.write(b"flood:64")  # 4 MiB a stream, which the client does not read
            open_calls.append(call)
        await asyncio.sleep(6)
        after = relay.rss_mb()
        for call in open_calls:
            call.cancel()
        for channel in channels:
            await channel.close()
        return before, after

    with tempfile.TemporaryDirectory() as folder:
        grpc_relay = GrpcRelay(endpoint.port, Path(folder))
        try:
            before, after = asyncio.run(hold(grpc_relay.grpc_port, grpc_relay.relay))
        finally:
            grpc_relay.close()
            endpoint.close()
    print(
        f"{streams} open streams that the client does not read: {before:.1f} MB before, {after:.1f} MB with them, "
        f"{(after - before) * 1024 / streams:.0f} KiB a stream"
    )


if __name__ == "__main__":
    {"cpu": cpu, "added": added, "memory": memory}[sys.argv[1] if len(sys.argv) > 1 else "cpu"]()
