"""The other parties of a relay, on real sockets of the loopback: small, and scripted by each test."""

from __future__ import annotations

import json
import tempfile
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from fake_servers.server_connection import ServerConnection

from calicohitch.clock import Clock
from calicohitch.config import Address, Config, parse
from calicohitch.journal import Journal
from calicohitch.intake.clients import Clients
from calicohitch.net.http import ClientConnection, Link, Request, Response, listen
from calicohitch.net.relay import Relay

HERE = Address("127.0.0.1", 0)
LIMIT = 20  # seconds that no test comes near
Answer = tuple[int, dict[str, str], bytes] | None  # None: the connection ends without an answer

SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "orders", "effect": "keyed", "on_time": 2_500_000, "hard_limit": 24_000_000, "window": 6_000_000},
        {"name": "scores", "effect": "safe", "on_time": 1_000_000, "hard_limit": 5_000_000},
    ],
    "caps": {
        "open_cap": 16,
        "send_cap": 8,
        "conn_idle": 10_000_000,
        "connect_timeout": 1_500_000,
        "peer_messages": True,
        "max_retry_after": 3_000_000,
        "retry_after": True,
    },
    "family_info": {"call_slots": 4, "batch_by_kind": [1]},
    "load_report": {"names": ["x0", "x1"], "via": "answers"},
    "obligations": {"stop_sending_within": 250_000, "ramp_time": 10_000_000},
    "zones": ["east", "west"],
    "flavors": ["pubs"],
}


def member(host_port: str, name: str = "s-1", cell: int = 7, phase: str = "Ready") -> dict[str, Any]:
    return {
        "id": name,
        "host_port": host_port,
        "locality": "west",
        "flavor": "pubs",
        "cell": cell,
        "phase": phase,
        "size": 2.0,
        "up_since_ms": 0,
    }


class Party:
    """A server that answers each request as `handle` says."""

    def __init__(self, handle: Callable[[Request], Awaitable[Answer]]) -> None:
        self.handle = handle
        self.requests: list[Request] = []
        self.accepted: list[ServerConnection] = []
        self.listener = listen(HERE)
        self.address = Address(*self.listener.getsockname())

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.wait_readable(self.listener)
                self.accepted.append(ServerConnection(Link(self.listener.accept()[0])))
                tasks.start_soon(self._serve, self.accepted[-1])

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            while await connection.started() and (request := await connection.request()):
                self.requests.append(request)
                answer = await self.handle(request)
                if answer is None:
                    return
                status, headers, body = answer
                await connection.respond(status, [(k.encode(), v.encode()) for k, v in headers.items()], body)
                connection.next()
        except OSError:
            pass
        finally:
            connection.close()


class World:
    """Discovery, one endpoint for destination 7, and what a relay needs to run between them."""

    def __init__(self, folder: Path) -> None:
        self.endpoint = Party(self._deliver)
        self.platform = Party(self._discovery)
        self.answers: list[Answer] = []  # of the endpoint, in turn; then 200
        self.members = [member(str(self.endpoint.address))]
        self.revision = 1
        self.changed = anyio.Event()
        self.notices: list[dict[str, Any]] = []
        self.folder = folder
        self.clock = Clock()
        self.client = Address("", 0)
        self.admission: Any = None  # the operators' settings of clients' connections

    def config(self, **changes: Any) -> Config:
        return parse(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": str(self.platform.address),
                "state": str(self.folder),
                "settings": SETTINGS,
            }
            | changes
        )

    async def _deliver(self, _request: Request) -> Answer:
        return self.answers.pop(0) if self.answers else (200, {}, b"")

    def hold(self) -> anyio.Event:
        """The endpoint answers 200, and nothing before this is set."""
        release = anyio.Event()

        async def held(_request: Request) -> Answer:
            await release.wait()
            return 200, {}, b""

        self.endpoint.handle = held
        return release

    async def _discovery(self, request: Request) -> Answer:
        if request.path == "/reports":
            self.notices += [json.loads(line) for line in request.body.splitlines()]
            return 204, {}, b""
        if len(self.platform.requests) > 1:
            with anyio.move_on_after(0.5):
                await self.changed.wait()
        told = {"revision": self.revision, "complete": True, "members": self.members}
        return 200, {}, json.dumps(told).encode()

    def change(self, *members: dict[str, Any]) -> None:
        self.members, self.revision = list(members), self.revision + 1
        self.changed.set()
        self.changed = anyio.Event()

    @asynccontextmanager
    async def relay(self, tracing: Any = None, **changes: Any) -> AsyncIterator[Relay]:
        config = self.config(**changes)
        journal = Journal(self.folder, config.limits.disk_mb * 1e6)
        tracer = None
        if tracing:
            from calicohitch.tracing.tracer import Tracer

            tracer = Tracer(
                tracing, self.clock, config.name, config.settings.classes, config.names.classes, self.folder
            )
        relay = Relay(config, self.clock, journal, tracer)
        with listen(HERE) as listener:
            self.client = Address(*listener.getsockname())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(relay.run)
                self.clients = Clients(relay, config.names.classes, listener, self.admission)
                tasks.start_soon(self.clients.run)
                await until(lambda: relay.ready)
                yield relay
                if tracer:
                    await tracer.drain()
                tasks.cancel_scope.cancel()
        relay.close()
        if tracer:
            tracer.close()

    async def hand_in(self, wire_id: str = "a1", path: str = "/orders", **headers: str) -> Response:
        told = {
            "Host": "relay",
            "Req-Id": wire_id,
            "Req-Deadline-Ms": "5000",
            "Envelope": "dest=7",
            "Idempotency-Key": "k1",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        connection = await ClientConnection.open(self.client)
        try:
            sent = [(name.encode(), value.encode()) for name, value in told.items() if value]
            return await connection.request("POST", path, sent, b"\x00body\xff")
        finally:
            connection.close()


async def until(done: Callable[[], object]) -> None:
    with anyio.fail_after(LIMIT):
        while not done():
            await anyio.sleep(0.005)


def play(test: Callable[[World], Awaitable[None]]) -> None:
    """Run one test in a world of its own."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = World(Path(folder))
            with anyio.fail_after(LIMIT * 2):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(world.endpoint.run)
                    tasks.start_soon(world.platform.run)
                    await test(world)
                    tasks.cancel_scope.cancel()
            world.endpoint.listener.close()
            world.platform.listener.close()

    anyio.run(run)


def in_world(test: Callable[..., Awaitable[None]]) -> Callable[[unittest.TestCase], None]:
    """A test case's method that is given a world of its own."""
    return lambda self: play(lambda world: test(self, world))
