"""What a gRPC call through the relay costs, beside HTTP/1.1 and beside a bare pass-through on grpcio, in one run.

    .venv/bin/python benchmarks/grpc_calls.py cpu       CPU a call at an even rate, and calls a second flat out
    .venv/bin/python benchmarks/grpc_calls.py added     time added to a call
    .venv/bin/python benchmarks/grpc_calls.py memory    500 open streams whose client does not read

Needs the `dev` extra (grpcio). Every load is bounded in count and time; all traffic is on the loopback.
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

# An endpoint on grpcio's asyncio server: echoes; "flood:N" streams N messages of 64 KiB. Its port is printed.
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

# The bare pass-through: a few lines of grpcio, without any of the relay's rules. argv: the endpoint's port.
BARE = """
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
    """A helper process that prints its port."""

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
    """A relay with a gRPC front before an endpoint."""

    def __init__(self, endpoint: int, folder: Path) -> None:
        self.front = free_port()
        operator = (
            f'grpc listen="127.0.0.1:{self.front}" {{\nroute "b.S" "Post" class="score-updates" dest=9\n'
            'route "b.S" "Watch" class="entry-orders" dest=9 requests="many"\nendpoints id="g"\n}\n'
        )
        self.platform = Platform(grpc_port=endpoint)
        self.relay = RelayProcess(self.platform, folder, operator)

    def close(self) -> None:
        self.relay.close()
        self.platform.close()


async def calls(port: int, count: int, per_s: float, together: int = 16) -> tuple[float, list[float]]:
    """Unary calls at an even rate (0: flat out); seconds in all, and each call's milliseconds."""
    took: list[float] = []
    numbers, began = iter(range(count)), time.monotonic()
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        method = channel.unary_unary("/b.S/Post")

        async def client() -> None:
            for n in numbers:
                if per_s:
                    await asyncio.sleep(max(0.0, began + n / per_s - time.monotonic()))
                at = time.perf_counter()
                await method(b"body", timeout=4)
                took.append((time.perf_counter() - at) * 1e3)

        await asyncio.wait_for(asyncio.gather(*(client() for _ in range(together))), 120)
    return time.monotonic() - began, took


def cpu(rounds: int = 3, count: int = 1_500, per_s: float = 150.0) -> None:
    found: dict[str, list[float]] = {"HTTP/1.1": [], "gRPC": [], "bare grpcio": []}
    rates: dict[str, list[float]] = {"gRPC": [], "bare grpcio": []}
    for _ in range(rounds):
        endpoint = Script(ENDPOINT)
        with tempfile.TemporaryDirectory() as folder:
            through, bare = GrpcRelay(endpoint.port, Path(folder) / "g"), Script(BARE, str(endpoint.port))
            platform = Platform()
            http = RelayProcess(platform, Path(folder) / "h")
            try:
                asyncio.run(load(http.port, 100, 100, 7, name="warm"))
                before = http.cpu_s()
                asyncio.run(load(http.port, count, per_s, 7))
                time.sleep(0.5)
                found["HTTP/1.1"].append((http.cpu_s() - before) * 1e3 / count)
                sides: list[tuple[str, int, Any]] = [
                    ("gRPC", through.front, through.relay),
                    ("bare grpcio", bare.port, bare),
                ]
                for name, port, process in sides:
                    asyncio.run(calls(port, 100, 100))
                    before = process.cpu_s()
                    asyncio.run(calls(port, count, per_s))
                    found[name].append((process.cpu_s() - before) * 1e3 / count)
                    seconds, _ = asyncio.run(calls(port, 2_000, 0))
                    rates[name].append(2_000 / seconds)
            finally:
                for party in (http, platform, through, bare, endpoint):
                    party.close()
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
            through = GrpcRelay(endpoint.port, Path(folder))
            try:
                told = []
                for port in (endpoint.port, through.front):
                    asyncio.run(calls(port, 50, 0, 1))
                    took = sorted(asyncio.run(calls(port, count, 100, 1))[1])
                    told.append((statistics.median(took), took[int(len(took) * 0.99)]))
                medians.append(told[1][0] - told[0][0])
                tails.append(told[1][1] - told[0][1])
            finally:
                through.close()
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
            await call.write(b"flood:64")  # 4 MiB a stream, which nobody reads
            open_calls.append(call)
        await asyncio.sleep(6)
        after = relay.rss_mb()
        for call in open_calls:
            call.cancel()
        for channel in channels:
            await channel.close()
        return before, after

    with tempfile.TemporaryDirectory() as folder:
        through = GrpcRelay(endpoint.port, Path(folder))
        try:
            before, after = asyncio.run(hold(through.front, through.relay))
        finally:
            through.close()
            endpoint.close()
    print(
        f"{streams} open streams that nobody reads: {before:.1f} MB before, {after:.1f} MB with them, "
        f"{(after - before) * 1024 / streams:.0f} KiB a stream"
    )


if __name__ == "__main__":
    {"cpu": cpu, "added": added, "memory": memory}[sys.argv[1] if len(sys.argv) > 1 else "cpu"]()
