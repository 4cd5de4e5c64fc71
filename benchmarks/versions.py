"""Two versions of the relay under the same load at the same time, each pinned to a core if there are more than three.

    .venv/bin/python benchmarks/versions.py REVISION [PAIRS]    this tree against an earlier revision

Prints medians: CPU milliseconds a message on kept-alive and on new connections, and a connection without a request;
resident MB; and the ratios with their minimum and maximum. Beside them, as a lower bound, the cost of a plain asyncio
server that only answers 202. Every load is bounded in count and time; all traffic is on the loopback interface.
"""

from __future__ import annotations

import asyncio
import io
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from pathlib import Path

from harness import ROOT, Platform, RelayProcess, cpu_of, spread
from tracing import load


def checkout(revision: str, folder: Path) -> Path:
    data = subprocess.run(["git", "archive", revision], cwd=ROOT, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(data)) as files:
        files.extractall(folder, filter="data")
    return folder


async def new_connections(port: int, count: int, per_s: float, name: str) -> int:
    """Submits each message on its own connection, at a constant rate; returns how many were accepted."""
    started_at, accepted = time.monotonic(), 0

    async def connect(n: int) -> None:
        nonlocal accepted
        await asyncio.sleep(max(0.0, started_at + n / per_s - time.monotonic()))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"POST /score-updates HTTP/1.1\r\nHost: x\r\nReq-Id: {name}{n}\r\nReq-Deadline-Ms: 5000\r\n"
            f"Envelope: dest=7\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody".encode()
        )
        accepted += (await reader.read()).startswith(b"HTTP/1.1 202")
        writer.close()

    await asyncio.wait_for(asyncio.gather(*(connect(n) for n in range(count))), count / per_s + 60)
    return accepted


async def silent_connections(port: int, count: int, per_s: float) -> None:
    """Opens connections that send nothing and are closed after half a second."""
    started_at = time.monotonic()

    async def connect(n: int) -> None:
        await asyncio.sleep(max(0.0, started_at + n / per_s - time.monotonic()))
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.5)
        writer.close()

    await asyncio.wait_for(asyncio.gather(*(connect(n) for n in range(count))), count / per_s + 60)


LOADS = {"kept": (1_500, 200.0), "new": (900, 120.0), "silent": (900, 120.0)}  # count, and rate a second

# A server that reads a request and answers 202: the lower bound for any HTTP intake on asyncio.
BARE_SERVER = """
import asyncio
async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            await reader.readexactly(int(head.lower().split(b"content-length:")[1].split(b"\\r\\n")[0]))
            writer.write(b"HTTP/1.1 202 Accepted\\r\\nContent-Length: 0\\r\\n\\r\\n")
            if b"Connection: close" in head:
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()
asyncio.run(main())
"""


async def loads(ports: list[int], load_name: str, name: str) -> int:
    """Runs one of the three loads on all ports at the same time; returns its count per port."""
    count, per_s = LOADS[load_name]
    if load_name == "kept":
        await asyncio.gather(*(load(port, count, per_s, 7, name=name) for port in ports))
    elif load_name == "new":
        await asyncio.gather(*(new_connections(port, count, per_s, name) for port in ports))
    else:
        await asyncio.gather(*(silent_connections(port, count, per_s) for port in ports))
    return count


def bare() -> dict[str, float]:
    process = subprocess.Popen([sys.executable, "-c", BARE_SERVER], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout
        port, found = int(process.stdout.readline()), {}
        for load_name in LOADS:
            before = cpu_of(process.pid)
            count = asyncio.run(loads([port], load_name, load_name))
            found[load_name] = (cpu_of(process.pid) - before) * 1e3 / count
        return found
    finally:
        process.kill()
        process.wait()


def pair(roots: tuple[Path, Path]) -> list[dict[str, float]]:
    """Cost of each version: CPU milliseconds by load, and resident MB."""
    platforms, relays, found = [], [], [dict[str, float]() for _ in roots]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for n, root in enumerate(roots):
                platforms.append(Platform())
                relays.append(RelayProcess(platforms[-1], Path(folder) / str(n), root=root))
                if (os.cpu_count() or 1) > 3:
                    os.sched_setaffinity(relays[-1].process.pid, {n})
            ports = [relay.port for relay in relays]

            asyncio.run(loads(ports, "kept", "w"))
            for load_name in LOADS:
                before = [relay.cpu_s() for relay in relays]
                count = asyncio.run(loads(ports, load_name, load_name))
                time.sleep(0.7)
                for relay, cpu_before, result in zip(relays, before, found, strict=True):
                    result[load_name] = (relay.cpu_s() - cpu_before) * 1e3 / count
            for relay, result in zip(relays, found, strict=True):
                result["MB"] = relay.rss_mb()
            return found
        finally:
            for resource in [*relays, *platforms]:
                resource.close()


def main(revision: str, pairs: int = 5) -> None:
    with tempfile.TemporaryDirectory() as folder:
        before = checkout(revision, Path(folder))
        now, then, floor = [], [], []
        for n in range(pairs):  # alternates which version has the first core
            results = pair((ROOT, before) if n % 2 else (before, ROOT))
            a, b = results if n % 2 else results[::-1]
            now.append(a)
            then.append(b)
            floor.append(bare())
    for load_name in now[0]:
        ratios = [a[load_name] / b[load_name] for a, b in zip(now, then, strict=True)]
        now_median, then_median = (
            statistics.median(result[load_name] for result in results) for results in (now, then)
        )
        bare_part = (
            f"; bare {statistics.median(result[load_name] for result in floor):.2f}" if load_name in LOADS else ""
        )
        print(
            f"{load_name}: {now_median:.2f} now, {then_median:.2f} at {revision}; ratio {spread(ratios)}{bare_part}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 5)
