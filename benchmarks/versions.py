"""Two versions of the relay under the same load at the same time, each on a core of its own.

    .venv/bin/python benchmarks/versions.py REVISION [PAIRS]    this tree against a revision of it

Prints CPU a message on kept connections and on new ones and a connection that says nothing, resident memory, and the
ratios, as medians with their spread; beside them what a bare asyncio server costs that answers 202 and does nothing.
Every load is bounded in count and time; all traffic is on the loopback.
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


async def fresh(port: int, count: int, per_s: float, name: str) -> int:
    """Each message on a connection of its own, at an even rate; how many were taken on."""
    began, taken = time.monotonic(), 0

    async def one(n: int) -> None:
        nonlocal taken
        await asyncio.sleep(max(0.0, began + n / per_s - time.monotonic()))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"POST /score-updates HTTP/1.1\r\nHost: x\r\nReq-Id: {name}{n}\r\nReq-Deadline-Ms: 5000\r\n"
            f"Envelope: dest=7\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody".encode()
        )
        taken += (await reader.read()).startswith(b"HTTP/1.1 202")
        writer.close()

    await asyncio.wait_for(asyncio.gather(*(one(n) for n in range(count))), count / per_s + 60)
    return taken


async def silent(port: int, count: int, per_s: float) -> None:
    """Connections that say nothing and are closed after half a second."""
    began = time.monotonic()

    async def one(n: int) -> None:
        await asyncio.sleep(max(0.0, began + n / per_s - time.monotonic()))
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.5)
        writer.close()

    await asyncio.wait_for(asyncio.gather(*(one(n) for n in range(count))), count / per_s + 60)


LOADS = {"kept": (1_500, 200.0), "new": (900, 120.0), "silent": (900, 120.0)}  # how many, and how many a second

# A server that reads a request and answers 202: the floor under every way in on asyncio.
BARE = """
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


async def loads(ports: list[int], what: str, name: str) -> int:
    """One of the three loads on several servers at the same time; how many times each."""
    count, per_s = LOADS[what]
    if what == "kept":
        await asyncio.gather(*(load(port, count, per_s, 7, name=name) for port in ports))
    elif what == "new":
        await asyncio.gather(*(fresh(port, count, per_s, name) for port in ports))
    else:
        await asyncio.gather(*(silent(port, count, per_s) for port in ports))
    return count


def bare() -> dict[str, float]:
    process = subprocess.Popen([sys.executable, "-c", BARE], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout
        port, found = int(process.stdout.readline()), {}
        for what in LOADS:
            before = cpu_of(process.pid)
            count = asyncio.run(loads([port], what, what))
            found[what] = (cpu_of(process.pid) - before) * 1e3 / count
        return found
    finally:
        process.kill()
        process.wait()


def pair(roots: tuple[Path, Path]) -> list[dict[str, float]]:
    """What each version costs: CPU milliseconds, resident MB."""
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
            for what in LOADS:
                before = [relay.cpu_s() for relay in relays]
                count = asyncio.run(loads(ports, what, what))
                time.sleep(0.7)
                for relay, was, told in zip(relays, before, found, strict=True):
                    told[what] = (relay.cpu_s() - was) * 1e3 / count
            for relay, told in zip(relays, found, strict=True):
                told["MB"] = relay.rss_mb()
            return found
        finally:
            for party in [*relays, *platforms]:
                party.close()


def main(revision: str, pairs: int = 5) -> None:
    with tempfile.TemporaryDirectory() as folder:
        before = checkout(revision, Path(folder))
        now, then, floor = [], [], []
        for n in range(pairs):  # each in turn on the first core
            told = pair((ROOT, before) if n % 2 else (before, ROOT))
            a, b = told if n % 2 else told[::-1]
            now.append(a)
            then.append(b)
            floor.append(bare())
    for what in now[0]:
        ratios = [a[what] / b[what] for a, b in zip(now, then, strict=True)]
        here, there = (statistics.median(x[what] for x in told) for told in (now, then))
        least = f"; bare {statistics.median(x[what] for x in floor):.2f}" if what in LOADS else ""
        print(f"{what}: {here:.2f} now, {there:.2f} at {revision}; ratio {spread(ratios)}{least}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 5)
