"""Shared by the benchmarks: a platform with endpoints in its own process, a relay process, and readings from /proc."""

from __future__ import annotations

import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

SETTINGS: dict[str, Any] = {
    "services": [
        {
            "name": "entry-orders",
            "effect": "keyed",
            "group": "all",
            "window": 6_000_000,
            "on_time": 2_500_000,
            "hard_limit": 24_000_000,
            "importance": 1.0,
            "late_worth": 0.3,
        },
        {
            "name": "score-updates",
            "effect": "safe",
            "on_time": 1_000_000,
            "hard_limit": 5_000_000,
            "importance": 2.0,
            "late_worth": 0.1,
        },
    ],
    "caps": {
        "open_cap": 3_000,
        "send_cap": 8,
        "conn_idle": 10_000_000,
        "connect_timeout": 1_500_000,
        "retry_after": True,
        "max_retry_after": 3_000_000,
    },
    "family_info": {"call_slots": 100, "batch_by_kind": [1]},
    "obligations": {"stop_sending_within": 250_000, "ramp_time": 10_000_000, "cold_from": 0.27},
    "zones": ["a"],
    "flavors": ["x"],
}

# The platform runs in its own process, so that its CPU is not counted as the relay's, and prints its ports. argv: the
# share of calls that fail at destination 8; 1 if destination 7 hangs for 1.6 of every 10 s; the port of a gRPC endpoint
# that becomes destination 9, or 0.
PLATFORM_PROGRAM = """
import asyncio, json, sys, time
FAIL, HANGS, GRPC = float(sys.argv[1]), sys.argv[2] == "1", int(sys.argv[3])
calls = {7: 0, 8: 0}
late = 0
async def read(reader):
    head = await reader.readuntil(b"\\r\\n\\r\\n")
    low = head.lower()
    size = 0
    if b"content-length:" in low:
        size = int(low.split(b"content-length:")[1].split(b"\\r\\n")[0])
    return head, await reader.readexactly(size) if size else b""
def respond(writer, status, body=b""):
    writer.write(b"HTTP/1.1 %d X\\r\\nContent-Length: %d\\r\\n\\r\\n" % (status, len(body)) + body)
def endpoint(dest):
    async def serve(reader, writer):
        try:
            while True:
                await read(reader)
                calls[dest] += 1
                if dest == 8 and (calls[8] * FAIL) % 1 + FAIL >= 1:
                    respond(writer, 500)
                    continue
                into = time.monotonic() % 10
                await asyncio.sleep(1.6 - into if HANGS and dest == 7 and into < 1.6 else 0.005)
                respond(writer, 200)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
    return serve
async def discovery(reader, writer):
    try:
        while True:
            head, _ = await read(reader)
            if head.startswith(b"POST"):
                respond(writer, 204)
                continue
            if b"index=" in head:
                await asyncio.sleep(2)
            respond(writer, 200, json.dumps(LIST).encode())
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()
async def main():
    global LIST
    fronts = (discovery, endpoint(7), endpoint(8))
    servers = [await asyncio.start_server(f, "127.0.0.1", 0, backlog=1024) for f in fronts]
    ports = [s.sockets[0].getsockname()[1] for s in servers]
    LIST = {"revision": 1, "complete": True, "members": [
        {"id": "s-%d" % d, "host_port": "127.0.0.1:%d" % ports[d - 6], "locality": "a", "flavor": "x", "cell": d,
         "phase": "Ready", "size": 900.0, "up_since_ms": 0} for d in (7, 8)]}
    if GRPC:
        LIST["members"].append(LIST["members"][0] | {"id": "g", "cell": 9, "host_port": "127.0.0.1:%d" % GRPC})
    print(*ports, flush=True)
    await asyncio.Event().wait()
asyncio.run(main())
"""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Platform:
    """Discovery, and the endpoints of destinations 7 and 8."""

    def __init__(self, fail: float = 0.0, hangs: bool = False, grpc_port: int = 0) -> None:
        command = [sys.executable, "-c", PLATFORM_PROGRAM, str(fail), str(int(hangs)), str(grpc_port)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout
        self.discovery, *_ = map(int, self.process.stdout.readline().split())

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


def cpu_of(pid: int) -> float:
    """CPU seconds, user and system, that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class RelayProcess:
    """A relay in its own process, ready when the constructor returns; CPU and memory are read from /proc."""

    def __init__(
        self, platform: Platform, folder: Path, operator: str = "", root: Path = ROOT, **settings: Any
    ) -> None:
        self.port = free_port()
        folder.mkdir(parents=True, exist_ok=True)
        config = {
            "name": "b0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.discovery}",
            "state": str(folder / "state"),
            "limits": {"sockets": 1024, "disk_mb": 60},
            "settings": SETTINGS | settings,
        }
        (folder / "config.json").write_text(json.dumps(config))
        command = [sys.executable, "-m", "calicohitch", "serve"]
        if operator:
            (folder / "operator.kdl").write_text(operator)
            command += ["--operator", str(folder / "operator.kdl")]
        env = os.environ | {
            "PYTHONPATH": str(root),
            "NODE_CONFIG": str(folder / "config.json"),
            "NODE_LOG_LEVEL": "WARNING",
        }
        for name in ("NODE_LISTEN", "NODE_STATE", "NODE_DISCOVERY", "NODE_NAME"):
            env.pop(name, None)
        self.process = subprocess.Popen(command, env=env, cwd=root)
        give_up_at = time.monotonic() + 20
        while not self.is_ready():
            if time.monotonic() > give_up_at:
                raise TimeoutError("the relay was not ready within 20 s")
            time.sleep(0.05)

    def is_ready(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), 1) as connection:
                connection.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def cpu_s(self) -> float:
        return cpu_of(self.process.pid)

    def rss_mb(self, peak: bool = False) -> float:
        name = "VmHWM" if peak else "VmRSS"
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        return 0.0

    def close(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.3f} ({min(values):.3f} to {max(values):.3f}, {len(values)} pairs)"
