"""Stand-ins for the parties around the relays, and the control of the relays' processes. Standard library only.

All addresses are on 127.0.0.1. Each relay has an agent of discovery of its own, and reaches each endpoint at a port
that is reserved for it, so that a call tells which relay made it.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
Answer = tuple[int, dict[str, str]] | None


def free_port() -> int:
    """A port for a relay to listen on, below the range that the system takes ports of outgoing connections from."""
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.randrange(12_000, 30_000)))
            return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run: one line an event, with its time in seconds since the start."""

    def __init__(self, path: Path, append: bool = False) -> None:
        self._file = path.open("a" if append else "w", encoding="utf-8")
        self._start = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, kind: str, **facts: Any) -> dict[str, Any]:
        event = {"at": round(self.now(), 4), "kind": kind, **facts}
        self.events.append(event)
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self._file.write(f"{event['at']:9.4f} {kind} {text}\n")
        self._file.flush()
        return event

    def of(self, kind: str) -> list[dict[str, Any]]:
        return [event for event in self.events if event["kind"] == kind]


@dataclass
class Request:
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float
    last_byte_at: float
    writer: asyncio.StreamWriter


class Server:
    """HTTP/1.1 with kept connections. `handle` returns the status and the headers, or None to close unanswered."""

    def __init__(self, handle: Callable[[Request], Awaitable[tuple[int, dict[str, str], bytes] | None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.port = 0

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def drop_connections(self) -> None:
        """The open connections are reset, as when the process of a server dies."""
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def close(self) -> None:
        if self._server:
            self._server.close()
        self.drop_connections()
        for task in list(self._tasks):
            task.cancel()
        self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first = await reader.readexactly(1)
                first_at = time.monotonic()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(head[0].split(" ")[1], headers, body, first_at, time.monotonic(), writer)
                answered = await self._handle(request)
                if answered is None:
                    break
                status, more, payload = answered
                lines = "".join(f"{name}: {value}\r\n" for name, value in more.items())
                writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


class DelayLink:
    """A proxy that brings bytes, and the end of a connection, `one_way_s` later in each direction, in order."""

    def __init__(self, to: Server, one_way_s: float) -> None:
        self._to, self._one_way_s = to, one_way_s
        self.port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        await self._to.open()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await self._to.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self._to.port)
        except OSError:
            writer.transport.abort()
            return
        for source, target in ((reader, other_writer), (other_reader, writer)):
            queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
            self._tasks.add(asyncio.ensure_future(self._read(source, queue)))
            self._tasks.add(asyncio.ensure_future(self._write(queue, target)))

    async def _read(self, source: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(65_536)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + self._one_way_s, data))

    @staticmethod
    async def _write(queue: asyncio.Queue[tuple[float, bytes]], target: asyncio.StreamWriter) -> None:
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                target.close()
                return
            with contextlib.suppress(OSError):
                target.write(data)
                await target.drain()


class Agent:
    """Discovery's agent on the machine of one relay, which also receives the notices. `silent`: discovery is down, and
    calls for lists get no answer until it is back; notices are answered at once all the same."""

    def __init__(self, relay: str, members: Callable[[], list[dict[str, Any]]], record: Record) -> None:
        self.relay, self._members, self._record = relay, members, record
        self.server = Server(self._handle)
        self.revision = 1
        self.silent = False
        self.told: dict[int, float] = {}  # revision -> when it was first written to the relay
        self._changed = asyncio.Event()

    def change(self) -> None:
        self.revision += 1
        self._wake()

    def back(self) -> None:
        self.silent = False
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, dict[str, str], bytes] | None:
        if request.target == "/reports":
            for line in request.body.splitlines():
                told = json.loads(line)
                self._record.add("notice", relay=self.relay, id=told["message"], outcome=told["outcome"])
            return 204, {}, b""
        query = dict(part.partition("=")[::2] for part in request.target.partition("?")[2].split("&"))
        until = time.monotonic() + min(float(query.get("wait", 0)), 60_000.0) / 1e3
        while self.silent or ("index" in query and int(query["index"]) >= self.revision):
            left = until - time.monotonic()
            if not self.silent and left <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), None if self.silent else left)
        unchanged = "index" in query and int(query["index"]) >= self.revision
        answer = {"revision": self.revision, "complete": not unchanged, "members": [] if unchanged else self._members()}
        if self.revision not in self.told:
            self.told[self.revision] = self._record.add("told", relay=self.relay, revision=self.revision)["at"]
        return 200, {}, json.dumps(answer).encode()


@dataclass
class Relay:
    """One relay: its process, and what it is configured with."""

    name: str
    port: int
    folder: Path
    agent: Agent
    config: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None
    lives: int = 0
    ready: bool = False

    def start(self, record: Record) -> None:
        """By the `run` command of the deploy file, from the root."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        env = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")} | {
            "NODE_CONFIG": str(path),
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_STATE": self.config["state"],
        }
        self.lives += 1
        with (self.folder / f"log-{self.lives}").open("wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        record.add("start", relay=self.name, life=self.lives)

    async def until_ready(self, record: Record, within_s: float = 20.0) -> None:
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            assert self.process
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                status = await asyncio.wait_for(ask(self.port, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"), 1.0)
                if status == 200:
                    self.ready = True
                    record.add("ready", relay=self.name, life=self.lives)
                    return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready after {within_s} s")

    def signal(self, number: signal.Signals, record: Record) -> None:
        assert self.process
        record.add("signal", relay=self.name, number=number.name)
        self.process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ready = False


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


async def ask(port: int, data: bytes) -> int:
    """Send one request on a connection of its own; returns the status of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        await writer.drain()
        line = await reader.readuntil(b"\r\n")
        return int(line.split(b" ")[1])
    finally:
        writer.close()


@dataclass
class Endpoint:
    """One endpoint, with a server for each relay. `serve` answers a call; it gets the relay's name and the request."""

    id: str
    dest: int
    kind: str
    zone: str
    size: float
    phase: str = "Ready"
    up_since_ms: float = 0
    servers: dict[str, Any] = field(default_factory=dict)

    def listed(self, relay: str) -> dict[str, Any]:
        return {
            "id": self.id,
            "host_port": f"127.0.0.1:{self.servers[relay].port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.dest,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": self.up_since_ms,
        }


def settings(relays: int, number: int, services: list[dict[str, Any]]) -> dict[str, Any]:
    """The settings of one relay of the first deployment."""
    return {
        "balancers": relays,
        "self_index": number,
        "services": services,
        "caps": {
            "cancel": True,
            "conn_idle": 10_000_000,
            "connect_timeout": 1_500_000,
            "max_retry_after": 3_000_000,
            "may_probe": False,
            "open_cap": 51,
            "peer_messages": False,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 8,
            "streams_per_conn": 1,
        },
        "client_habits": {"marks_retry": True},
        "discovery": "pushed",
        "family": "deliver",
        "family_info": {"batch_by_kind": [1, 1, 1], "call_slots": 9, "late": "even", "routes_apart": [False] * 3},
        "flavors": ["pub-groups", "single-pubs", "booking-firms"],
        "load_report": {"names": ["x0", "x1"], "via": "answers"},
        "locality": number % 2,
        "zones": ["east-wing", "west-wing"],
        "obligations": {
            "answer_slack": 20_000,
            "cold_from": 0.27,
            "fall": 2_000_000,
            "must_ask_in": 10_000_000,
            "ramp_time": 10_000_000,
            "stop_sending_within": 250_000,
            "tip_multiple": 1.5,
        },
        "tenants": [],
        "tick": 5_000,
        "weights": "rough",
    }


ORDERS = {
    "name": "entry-orders",
    "effect": "keyed",
    "group": "all",
    "on_time": 2_500_000,
    "hard_limit": 24_000_000,
    "window": 6_000_000,
    "importance": 1.0,
    "late_worth": 0.3,
}
SCORES = {
    "name": "score-updates",
    "effect": "safe",
    "group": "all",
    "on_time": 1_000_000,
    "hard_limit": 5_000_000,
    "window": 5_000_000,
    "importance": 2.0,
    "late_worth": 0.1,
}


UPDATES = {
    "name": "game-update",
    "effect": "safe",
    "group": "all",
    "on_time": 4_000_000,
    "hard_limit": 24_000_000,
    "window": 24_000_000,
    "importance": 1.0,
    "late_worth": 0.4,
}
PAYMENTS = {
    "name": "entry-payment",
    "effect": "unsafe",
    "group": "all",
    "on_time": 2_000_000,
    "hard_limit": 28_000_000,
    "window": 28_000_000,
    "importance": 2.0,
    "late_worth": 0.4,
}


def second_deployment(told: dict[str, Any]) -> None:
    """Change the settings to those of a relay of the second deployment: no reports, endpoints that are routes apart."""
    told["services"] = [UPDATES, PAYMENTS]
    told["caps"] |= {
        "conn_idle": 5_000_000,
        "connect_timeout": 1_000_000,
        "max_retry_after": 2_000_000,
        "open_cap": 120,
        "second_copies": True,
        "send_cap": 12,
    }
    told["client_habits"] = {"marks_retry": False}
    told["family_info"] |= {"batch_by_kind": [10, 1], "call_slots": 4, "routes_apart": [True, True]}
    told["flavors"] = ["major-partners", "member-clubs"]
    told["load_report"] = {"names": [], "via": "none"}
    told["zones"] = ["building-a", "building-b", "building-c"]
    told["obligations"] |= {
        "cold_from": 0.18,
        "fall": 3_000_000,
        "ramp_time": 10_000_000,
        "stop_sending_within": 2_000_000,
        "tip_multiple": 2.0,
    }


class World:
    """The stand-ins, the relays and the clients of one case. Leaving it ends every process and removes the folder."""

    def __init__(
        self,
        here: Path,
        relays: int,
        change: Callable[[dict[str, Any]], None] = lambda settings: None,
        append: bool = False,
    ) -> None:
        """`change`: applied to each relay's settings, where a case needs those of another deployment. `append`: to the
        record of an earlier world of the same case."""
        self.record = Record(here / "record.txt", append)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.endpoints: dict[str, Endpoint] = {}
        self.relays: dict[str, Relay] = {}
        self._count, self._change = relays, change
        self._tasks: set[asyncio.Task[Any]] = set()
        self._numbers = itertools.count(1)

    def endpoint(self, endpoint: Endpoint, serve: Callable[[str, Request], Awaitable[Answer]]) -> None:
        """Add an endpoint; every call, its answer and what ran are recorded by `serve` and here."""
        self.endpoints[endpoint.id] = endpoint
        for n in range(self._count):
            relay = f"n{n}"

            async def handle(request: Request, relay: str = relay) -> tuple[int, dict[str, str], bytes] | None:
                wire_id = request.headers.get("req-id", "")
                call = next(self._numbers)
                facts = {"call": call, "relay": relay, "endpoint": endpoint.id, "id": wire_id}
                offset = self.record.now() - time.monotonic()
                self.record.add("call", **facts, first_byte=round(request.first_byte_at + offset, 4))
                answer = await serve(relay, request)
                if answer is None:
                    self.record.add("unanswered", **facts)
                    return None
                self.record.add("answer", **facts, status=answer[0], headers=answer[1])
                return answer[0], answer[1], b""

            endpoint.servers[relay] = Server(handle)

    def delay_endpoints(self, one_way_s: float) -> None:
        """Put a proxy in front of each endpoint; has to be called before the world is entered."""
        for endpoint in self.endpoints.values():
            endpoint.servers = {relay: DelayLink(server, one_way_s) for relay, server in endpoint.servers.items()}

    def _settings(self, told: dict[str, Any]) -> dict[str, Any]:
        self._change(told)
        return told

    async def __aenter__(self) -> World:
        for n in range(self._count):
            name = f"n{n}"
            folder = self.folder / name
            folder.mkdir()
            agent = Agent(name, lambda name=name: [e.listed(name) for e in self.endpoints.values()], self.record)
            port = free_port()
            await agent.server.open()
            config = {
                "name": name,
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{agent.server.port}",
                "state": str(folder / "state"),
                "seed": f"{n + 1:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
                "settings": self._settings(settings(self._count, n, [ORDERS, SCORES])),
            }
            self.relays[name] = Relay(name, port, folder, agent, config)
            for endpoint in self.endpoints.values():
                await endpoint.servers[name].open()
            config["known"] = {
                "revision": agent.revision,
                "complete": True,
                "members": [e.listed(name) for e in self.endpoints.values()],
            }
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for relay in self.relays.values():
            if relay.process and relay.process.poll() is None:
                relay.process.kill()
                relay.process.wait(10)
        for relay in self.relays.values():
            await relay.agent.server.close()
        for endpoint in self.endpoints.values():
            for server in endpoint.servers.values():
                await server.close()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def start(self, spread_s: float = 0.0) -> None:
        """Start the relays, each `spread_s` after the one before, and wait until all are ready."""
        for relay in self.relays.values():
            relay.start(self.record)
            await asyncio.sleep(spread_s)
        for relay in self.relays.values():
            await relay.until_ready(self.record)

    async def at(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self.record.now()))

    async def hand_in(
        self, relay: Relay, dest: int, deadline_ms: int, body: bytes = b"table 4", service: str = "entry-orders"
    ) -> str:
        """Hand in one message on a connection of its own, as a client that waits 400 ms for the answer."""
        wire_id = f"m{next(self._numbers):06d}"
        key = f"Idempotency-Key: k-{wire_id}\r\n"
        data = (
            f"POST /{service} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {wire_id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
            f"{key}Envelope: dest={dest}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.record.add("sent", id=wire_id, relay=relay.name, dest=dest, service=service, deadline_ms=deadline_ms)
        try:
            status: int | str = await asyncio.wait_for(ask(relay.port, data), 0.4)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status = type(error).__name__
        self.record.add("answered", id=wire_id, relay=relay.name, status=status)
        return wire_id

    async def clients(self, until: float, per_s: float, dest: int, service: dict[str, Any], relays: list[str]) -> None:
        """Hand in messages at an even pace, in turn to each relay that is ready."""
        names, period = itertools.cycle(relays), 1 / per_s
        due = self.record.now()
        while due < until:
            await self.at(due)
            due += period
            ready = [name for name in relays if self.relays[name].ready]
            if not ready:
                continue
            name = next(candidate for candidate in names if candidate in ready)
            work = self.hand_in(self.relays[name], dest, int(service["hard_limit"] / 1e3), service=service["name"])
            self.spawn(work)


def play(case: Callable[[], Awaitable[bool]]) -> int:
    """Run a case for 110 s at most; the exit status of the script. A signal to end it ends its relays as well."""

    async def bounded() -> bool:
        task = asyncio.ensure_future(case())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 110)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case itself, or of this machine
        print(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
