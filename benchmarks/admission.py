"""Admission under overload: a relay that is offered more than it can process, paired with an earlier revision.

    .venv/bin/python benchmarks/admission.py flood REVISION [PAIRS] 6,000 unpaced messages on 64 kept-alive connections

The endpoint and the clients run in this process, the relay in its own, pinned to a core if there are more than three.
Every load is bounded in count and time; all traffic is on the loopback interface.
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

MESSAGES, CONNECTIONS = 6_000, 64
CLIENT_TIMEOUT_S = 0.4
ON_TIME_S, DEADLINE_S = 1.0, 5.0


class LocalPlatform:
    """Discovery and one endpoint in this process; `first_call_at` has the monotonic time of a message's first call."""

    def __init__(self) -> None:
        self.first_call_at: dict[str, float] = {}
        self.discovery = self.endpoint = 0

    async def run(self) -> None:
        servers = [
            await asyncio.start_server(handler, "127.0.0.1", 0, backlog=1024)
            for handler in (self._discovery, self._endpoint)
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
                self.first_call_at.setdefault(name, time.monotonic())
                await asyncio.sleep(0.005)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint_list = json.dumps(
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
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(endpoint_list) + endpoint_list)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


async def flood(root: Path, folder: Path, core: int) -> dict[str, float]:
    platform = LocalPlatform()
    await platform.run()
    settings: dict[str, Any] = {}
    relay = await asyncio.to_thread(lambda: RelayProcess(platform, folder, root=root, **settings))  # type: ignore[arg-type]
    if (os.cpu_count() or 1) > 3:
        os.sched_setaffinity(relay.process.pid, {core})
    accepted: dict[str, float] = {}
    response_ms: list[float] = []
    counts = {"refused": 0, "unanswered": 0}
    numbers = iter(range(MESSAGES))

    async def client() -> None:
        reader = writer = None
        for n in numbers:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            assert reader
            sent_at = time.monotonic()
            writer.write(
                b"POST /score-updates HTTP/1.1\r\nHost: x\r\nReq-Id: m%d\r\nReq-Deadline-Ms: 5000\r\n"
                b"Envelope: dest=7\r\nContent-Length: 4\r\n\r\nbody" % n
            )
            try:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), CLIENT_TIMEOUT_S)
            except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
                counts["unanswered"] += 1
                writer.close()
                writer = None
                continue
            answered_at = time.monotonic()
            size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            await reader.readexactly(size)
            if head.startswith(b"HTTP/1.1 202"):
                accepted[f"m{n}"] = sent_at
                response_ms.append((answered_at - sent_at) * 1e3)
            else:
                counts["refused"] += 1
            if b"connection: close" in head.lower():
                writer.close()
                writer = None

    try:
        started_at = time.monotonic()
        await asyncio.wait_for(asyncio.gather(*(client() for _ in range(CONNECTIONS))), 120)
        load_s = time.monotonic() - started_at
        await asyncio.sleep(DEADLINE_S + 1)
    finally:
        relay.close()
    delays_s = [
        platform.first_call_at[name] - sent_at for name, sent_at in accepted.items() if name in platform.first_call_at
    ]
    on_time = sum(delay_s <= ON_TIME_S for delay_s in delays_s)
    response_ms.sort()
    return {
        "202 a second": len(accepted) / load_s,
        "202 p50 ms": response_ms[len(response_ms) // 2],
        "202 p99 ms": response_ms[int(len(response_ms) * 0.99)],
        "first call before the deadline, of the 202": sum(delay_s <= DEADLINE_S for delay_s in delays_s)
        / max(1, len(accepted)),
        "first call on time, of the 202": on_time / max(1, len(accepted)),
        "value a second": (2.0 * on_time + 0.2 * (len(delays_s) - on_time)) / load_s,
        "refused": float(counts["refused"]),
        "unanswered in 400 ms": float(counts["unanswered"]),
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
    for label in found["now"][0]:
        now, then = ([result[label] for result in found[name]] for name in ("now", revision))
        line = f"{label}: now {spread(now)}; at {revision} {spread(then)}"
        if statistics.median(then) > 0:
            line += f"; ratio {statistics.median(now) / statistics.median(then):.2f}"
        print(line, flush=True)


if __name__ == "__main__":
    main(sys.argv[2], int(sys.argv[3]) if len(sys.argv) > 3 else 3)
