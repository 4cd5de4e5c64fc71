"""Stand-ins of the second review: the platform's agent, endpoints, clients, and the relay's process.

Everything listens on 127.0.0.1 on free ports; nothing but the standard library is used. All that is seen goes to a
record, with milliseconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LAST_S = 110.0  # a case ends by itself before its 120 s are over


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, in a file of one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Milliseconds since the start."""
        return (time.monotonic() - self._began) * 1e3

    def add(self, what: str, **facts: Any) -> float:
        now = self.now()
        told = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{now:9.0f} {what} {told}\n")
        self._file.flush()
        return now


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, headers (names in lower case) and body of one HTTP/1.1 message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A listener whose connections are served one request after the other."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", port or self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """As when the process ends: the listener is gone and its connections are reset."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                answer = await self.answer(first, headers, body)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes | None:
        raise NotImplementedError


class Registry:
    """The list of endpoints with its versions, as discovery has it."""

    def __init__(self, revision: int = 41) -> None:
        self.revision = revision
        self._members: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self.news = asyncio.Event()

    def set(self, *members: dict[str, Any]) -> None:
        """One new version with these entries."""
        self.revision += 1
        for member in members:
            self._members[member["id"]] = member
            self._changed[member["id"]] = self.revision
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        there = [member for member in self._members.values() if member["phase"] != "Gone"]
        return {"revision": self.revision, "complete": True, "members": there}

    def since(self, index: int) -> dict[str, Any]:
        changed = [self._members[name] for name, at in self._changed.items() if at > index]
        return {"revision": self.revision, "complete": False, "members": changed}


def member(
    name: str,
    address: str,
    cell: int,
    phase: str = "Ready",
    size: float = 20.0,
    flavor: str = "single-pubs",
    zone: str = "east-wing",
) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": address,
        "locality": zone,
        "flavor": flavor,
        "cell": cell,
        "phase": phase,
        "size": size,
        "up_since_ms": 0,
    }


class Agent(Server):
    """The agent of one relay: discovery and notices. `mode`: "up", "down" (silent until it is up again) or "crowded"
    (503). `delay_s`: how late it answers for the list. Notices are answered at once, always."""

    def __init__(self, registry: Registry, record: Record, name: str) -> None:
        super().__init__()
        self._registry, self._record, self._name = registry, record, name
        self.mode, self.delay_s = "up", 0.0
        self.told_revision = 0  # the newest version that was written to the relay
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self._up = asyncio.Event()

    def turn(self, mode: str) -> None:
        self.mode = mode
        self._record.add("discovery", relay=self._name, mode=mode)
        self._up.set()
        self._up = asyncio.Event()

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes | None:
        if first.startswith("POST /reports"):
            for line in body.decode().splitlines():
                notice = json.loads(line)
                at = self._record.add("notice", relay=self._name, told=line)
                self.notices.append((at, notice))
            return response(204)
        target = first.split(" ")[1]
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        index = int(query["index"]) if "index" in query else None
        waits_until = time.monotonic() + float(query.get("wait", 0)) / 1e3
        if self.mode == "crowded":
            self._record.add("list", relay=self._name, asked=target, answered=503)
            return response(503)
        while index is not None and self._registry.revision <= index and time.monotonic() < waits_until:
            news = self._registry.news
            try:
                await asyncio.wait_for(news.wait(), max(0.0, waits_until - time.monotonic()))
            except TimeoutError:
                break
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.mode == "down":
            await self._up.wait()
        told = self._registry.whole() if index is None else self._registry.since(index)
        if told["members"] or index is None:
            self._record.add(
                "list", relay=self._name, asked=target, revision=told["revision"], members=len(told["members"])
            )
        self.told_revision = told["revision"]
        return response(200, json.dumps(told).encode())


class Endpoint(Server):
    """An endpoint that answers 200 after its work. `on_call` is told of each call: name, id, and the time."""

    def __init__(self, name: str, cell: int, record: Record, on_call: Callable[[Endpoint, str, float], None]) -> None:
        super().__init__()
        self.name, self.cell, self.work_s = name, cell, 0.05
        self._record, self._on_call = record, on_call
        self.load: Callable[[], str] = lambda: ""  # what the next answer says in Srv-Load
        self.calls: list[tuple[float, str]] = []

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes | None:
        wire_id = headers.get("req-id", "")
        at = self._record.add("call", endpoint=self.name, cell=self.cell, id=wire_id)
        self.calls.append((at, wire_id))
        self._on_call(self, wire_id, at)
        await asyncio.sleep(self.work_s)
        load = self.load()
        self._record.add("answer", endpoint=self.name, id=wire_id, status=200, load=load or "-")
        return response(200, **({"Srv_Load": load} if load else {}))


class Relay:
    """The relay's process, started by the `run` command of the deploy file."""

    def __init__(self, name: str, agent: Agent, settings: dict[str, Any], record: Record, folder: Path) -> None:
        self.name, self.agent, self._record, self._folder = name, agent, record, folder
        self.port = free_port()
        self._config = folder / f"{name}.json"
        self._state = folder / f"{name}-state"
        self._state.mkdir()
        self._log = (folder / f"{name}.log").open("ab")
        self._starts = 0
        self.settings = settings
        self.known: dict[str, Any] | None = None
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        self._starts += 1
        told = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.address,
            "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": self.known,
            "settings": self.settings,
        }
        new = self._config.with_suffix(".new")
        new.write_text(json.dumps(told))
        os.replace(new, self._config)

    async def start(self) -> float:
        """Start it; returns the time of the start."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        self.write_config()
        env = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        env |= {
            "NODE_CONFIG": str(self._config),
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self.agent.address,
            "NODE_STATE": str(self._state),
            "TMPDIR": str(self._folder),
        }
        at = self._record.add("start", relay=self.name)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log, start_new_session=True
        )
        return at

    async def ready(self, within_s: float = 30.0) -> float:
        """When it says that it is ready; TimeoutError if it does not."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in first:
                    return self._record.add("ready", relay=self.name)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> float:
        assert self.process
        at = self._record.add("signal", relay=self.name, number=number.name)
        self.process.send_signal(number)
        return at

    async def kill(self) -> float:
        at = self.signal(signal.SIGKILL)
        assert self.process
        await self.process.wait()
        return at

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        self._log.flush()
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Clients:
    """Hands messages in, each on a connection of its own. `taken`: id -> when its 202 came."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0
        self.sent: dict[str, tuple[str, str, int]] = {}  # id -> relay, class, destination
        self.taken: dict[str, float] = {}
        self.body = b"table 4"

    async def hand_in(self, relay: Relay, cls: str, dest: int, deadline_ms: int, key: bool = False) -> str | None:
        """The id of a message that was taken on, None if it was not."""
        self._count += 1
        wire_id = f"m{self._count:05d}"
        self.sent[wire_id] = (relay.name, cls, dest)
        lines = [
            f"POST /{cls} HTTP/1.1",
            "Host: origin.svc",
            f"Req-Id: {wire_id}",
            f"Req-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(self.body)}",
            f"Envelope: dest={dest}",
        ]
        if key:
            lines.append(f"Idempotency-Key: k-{wire_id}")
        answered = "nothing"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + self.body)
            first = await asyncio.wait_for(reader.readline(), 0.4)
            answered = first.split(b" ")[1].decode() if b" " in first else "nothing"
            writer.close()
        except (OSError, TimeoutError):
            pass
        at = self._record.add("handed-in", id=wire_id, relay=relay.name, cls=cls, dest=dest, answered=answered)
        if answered in ("200", "202"):
            self.taken[wire_id] = at
            return wire_id
        return None


def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of the site `quiz-board-main`. `changes` replace whole keys."""
    told: dict[str, Any] = {
        "balancers": 2,
        "caps": {
            "cancel": True,
            "conn_idle": 10_000_000,
            "connect_timeout": 1_500_000,
            "max_retry_after": 3_000_000,
            "may_probe": False,
            "open_cap": 60,
            "peer_messages": False,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 8,
            "streams_per_conn": 1,
        },
        "client_habits": {"marks_retry": True},
        "discovery": "pushed",
        "family": "deliver",
        "family_info": {
            "batch_by_kind": [1, 1, 1],
            "call_slots": 9,
            "late": "even",
            "refused_price": 0.03,
            "report_x0": "share of the allowance that is left",
            "report_x1": "calls a second that the limit allows; 0 where there is none",
            "routes_apart": [False, False, False],
            "toll": [0.0, 0.0],
        },
        "flavors": ["pub-groups", "single-pubs", "booking-firms"],
        "load_report": {"names": ["x0", "x1"], "via": "answers"},
        "locality": 0,
        "obligations": {
            "answer_slack": 20_000,
            "cold_from": 0.27,
            "fall": 2_000_000,
            "must_ask_in": 10_000_000,
            "ramp_time": 10_000_000,
            "stop_sending_within": 250_000,
            "tip_multiple": 1.5,
        },
        "prices": {"cross_zone": 0.028, "handshake": 0.06, "late_fail": 0.03, "peer": 0.01, "waste": 0.066},
        "self_index": 0,
        "services": [
            {
                "effect": "keyed",
                "group": "all",
                "hard_limit": 24_000_000,
                "importance": 1.0,
                "late_worth": 0.3,
                "name": "entry-orders",
                "on_time": 2_500_000,
                "streamed": False,
                "window": 6_000_000,
            },
            {
                "effect": "safe",
                "group": "all",
                "hard_limit": 5_000_000,
                "importance": 2.0,
                "late_worth": 0.1,
                "name": "score-updates",
                "on_time": 1_000_000,
                "streamed": False,
                "window": 5_000_000,
            },
        ],
        "tenants": [],
        "tick": 5000,
        "tiers": ["partner-systems"],
        "weights": "rough",
        "worth_by": "request",
        "zones": ["east-wing", "west-wing"],
    }
    return told | changes


BEND: dict[str, Any] = {
    "answer_slack": 20_000,
    "cold_from": 0.18,
    "fall": 3_000_000,
    "must_ask_in": 10_000_000,
    "ramp_time": 10_000_000,
    "stop_sending_within": 2_000_000,
    "tip_multiple": 2.0,
}


def bend(relays: int, number: int, slots: int, batch: list[int]) -> dict[str, Any]:
    """Settings like those of the site `bend-campus`. `batch`: messages in one call, for each kind of destination."""
    base = settings()
    classes = (
        ("game-update", "safe", 4_000_000, 24_000_000, 1.0),
        ("entry-payment", "unsafe", 2_000_000, 28_000_000, 2.0),
    )
    return base | {
        "balancers": relays,
        "self_index": number,
        "caps": base["caps"]
        | {
            "conn_idle": 5_000_000,
            "connect_timeout": 1_000_000,
            "max_retry_after": 3_000_000,
            "open_cap": 100,
            "second_copies": True,
            "send_cap": 12,
        },
        "family_info": base["family_info"]
        | {"batch_by_kind": batch, "call_slots": slots, "refused_price": 0.05, "routes_apart": [True] * len(batch)},
        "flavors": ["major-partners", "member-clubs"],
        "load_report": {"names": [], "via": "none"},
        "obligations": BEND,
        "services": [
            {
                "effect": effect,
                "group": "all",
                "hard_limit": deadline,
                "importance": worth,
                "late_worth": 0.4,
                "name": name,
                "on_time": aim,
                "streamed": False,
                "window": deadline if effect == "safe" else 0,
            }
            for name, effect, aim, deadline, worth in classes
        ],
        "zones": ["building-a", "building-b", "building-c"],
    }


class Stage:
    """One case: a record, a temporary folder, and all that was started, which ends with it."""

    def __init__(self, case: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.clients = Clients(self.record)
        self.servers: list[Server] = []
        self.relays: list[Relay] = []
        self.record.add("case", trouble=int(self.trouble))

    async def endpoint(
        self, name: str, cell: int, on_call: Callable[[Endpoint, str, float], None] = lambda *_: None, port: int = 0
    ) -> Endpoint:
        made = Endpoint(name, cell, self.record, on_call)
        await made.open(port)
        self.servers.append(made)
        return made

    async def agent(self, registry: Registry, name: str) -> Agent:
        made = Agent(registry, self.record, name)
        await made.open()
        self.servers.append(made)
        return made

    def relay(self, name: str, agent: Agent, told: dict[str, Any]) -> Relay:
        made = Relay(name, agent, told, self.record, self.folder)
        self.relays.append(made)
        return made

    async def close(self) -> None:
        for relay in self.relays:
            await relay.end()
        for server in self.servers:
            await server.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Path, course: Callable[[Stage], Awaitable[str]]) -> int:
    """Play a case. `course` returns what broke the rule, or nothing; 1 if it was broken, 0 if it held, 2 if the case
    could not run."""

    async def played() -> int:
        stage = Stage(case)
        try:
            broken = await asyncio.wait_for(course(stage), LAST_S)
        except Exception as err:  # noqa: BLE001
            stage.record.add("could-not-run", why=f"{type(err).__name__}: {err}")
            print(f"could not run: {type(err).__name__}: {err}")
            return 2
        finally:
            await stage.close()
        stage.record.add("verdict", broken=broken or "no")
        print(f"broken: {broken}" if broken else "held")
        return 1 if broken else 0

    return asyncio.run(played())
