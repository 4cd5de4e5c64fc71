"""What happens to a relay that gets more than it can do, in paired runs against an earlier revision.

    .venv/bin/python benchmarks/admission.py flood REVISION [PAIRS]   6,000 messages on 64 kept connections, flat out

The endpoint and the clients run in this process, the relay in its own, on a core of its own where there are several.
Every load is bounded in count and time; all traffic is on the loopback.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from harness import ROOT, RelayProcess, spread
from versions import checkout

COUNT, LINKS = 6_000, 64
PATIENCE_S = 0.4  # as long as clients wait for an answer
AIM_S, LIMIT_S = 1.0, 5.0


class Here:
    """Discovery and one endpoint in this process; when each message was called out first."""

    def __init__(self) -> None:
        self.called: dict[str, float] = {}
        self.discovery = self.endpoint = 0

    async def run(self) -> None:
        servers = [
            await asyncio.start_server(front, "127.0.0.1", 0, backlog=1024)
            for front in (self._discovery, self._endpoint)
        ]
        self.discovery, self.endpoint = (server.sockets[0].getsockname()[1] for server in servers)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"ontent-" in head:
            size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(size)
        return head

    async def _endpoint(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await self._read(reader)
                name = head.split(b"Req-Id: ")[1].split(b"\r\n")[0].decode()
                self.called.setdefault(name, time.monotonic())
                await asyncio.sleep(0.005)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        told = json.dumps(
            {
                "revision": 1,
                "complete": True,
                "members": [
                    {
                        "id": "s-1",
                        "host_port": f"127.0.0.1:{self.endpoint}",
                        "locality": "a",
                        "flavor": "x",
                        "cell": 7,
                        "phase": "Ready",
                        "size": 900.0,
                        "up_since_ms": 0,
                    }
                ],
            }
        ).encode()
        try:
            while True:
                head = await self._read(reader)
                if b"index=" in head:
                    await asyncio.sleep(2)
                if head.startswith(b"POST"):
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(told) + told)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


async def flood(root: Path, folder: Path, core: int) -> dict[str, float]:
    here = Here()
    await here.run()
    settings: dict[str, Any] = {}
    relay = await asyncio.to_thread(lambda: RelayProcess(here, folder, root=root, **settings))  # type: ignore[arg-type]
    if (os.cpu_count() or 1) > 3:
        os.sched_setaffinity(relay.process.pid, {core})
    taken: dict[str, float] = {}
    waits: list[float] = []
    counts = {"refused": 0, "unheard": 0}
    numbers = iter(range(COUNT))

    async def client() -> None:
        reader = writer = None
        for n in numbers:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            assert reader
            sent = time.monotonic()
            writer.write(
                b"POST /score-updates HTTP/1.1\r\nHost: x\r\nReq-Id: m%d\r\nReq-Deadline-Ms: 5000\r\n"
                b"Envelope: dest=7\r\nContent-Length: 4\r\n\r\nbody" % n
            )
            try:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
                counts["unheard"] += 1
                writer.close()
                writer = None
                continue
            heard = time.monotonic()
            size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(size)
            if head.startswith(b"HTTP/1.1 202"):
                taken[f"m{n}"] = sent
                waits.append((heard - sent) * 1e3)
            else:
                counts["refused"] += 1
            if b"connection: close" in head.lower():
                writer.close()
                writer = None

    try:
        began = time.monotonic()
        await asyncio.wait_for(asyncio.gather(*(client() for _ in range(LINKS))), 120)
        fed = time.monotonic() - began
        await asyncio.sleep(LIMIT_S + 1)
    finally:
        relay.close()
    out = [here.called[name] - sent for name, sent in taken.items() if name in here.called]
    early = sum(after <= AIM_S for after in out)
    waits.sort()
    return {
        "202 a second": len(taken) / fed,
        "202 p50 ms": waits[len(waits) // 2],
        "202 p99 ms": waits[int(len(waits) * 0.99)],
        "called out in time, of the 202": sum(after <= LIMIT_S for after in out) / max(1, len(taken)),
        "called out within the aim, of the 202": early / max(1, len(taken)),
        "worth a second": (2.0 * early + 0.2 * (len(out) - early)) / fed,
        "refused": float(counts["refused"]),
        "not heard in 400 ms": float(counts["unheard"]),
    }


def main(revision: str, pairs: int = 3) -> None:
    found: dict[str, list[dict[str, float]]] = {"now": [], revision: []}
    with tempfile.TemporaryDirectory() as folder:
        before = checkout(revision, Path(folder) / "before")
        for n in range(pairs):
            sides = [("now", ROOT), (revision, before)]
            for k, (name, root) in enumerate(sides if n % 2 else sides[::-1]):
                state = Path(folder) / f"{n}-{k}"
                found[name].append(asyncio.run(flood(root, state, 0)))
    for what in found["now"][0]:
        now, then = ([told[what] for told in found[name]] for name in ("now", revision))
        line = f"{what}: now {spread(now)}; at {revision} {spread(then)}"
        if statistics.median(then) > 0:
            line += f"; ratio {statistics.median(now) / statistics.median(then):.2f}"
        print(line, flush=True)


if __name__ == "__main__":
    main(sys.argv[2], int(sys.argv[3]) if len(sys.argv) > 3 else 3)
