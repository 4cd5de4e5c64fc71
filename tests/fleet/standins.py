"""The other parties of the rig: destinations with limits, cold ramps and told waits, and discovery. One process, one
clock.

Events: `call` when the last byte of a call has come, `answer` when its answer is written or `unanswered` when its
connection ended before, `told` when a list is written to a relay, `notice` for each notice.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

from fleet.links import Listener
from fleet.story import Story
from fleet.stray import Stray

_LOOK_S = 0.01  # between two looks whether a caller is still there

Handler = Callable[["Request"], Awaitable[tuple[int, dict[str, str], bytes] | None]]


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    relay: str = ""


async def read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    return Request(method, target, headers, await reader.readexactly(int(headers.get("content-length", 0))))


class Server(Listener):
    """HTTP/1.1 with kept connections. `names` tells which relay's link a connection came by."""

    def __init__(self, handle: Handler, connected: Callable[[str], None] = lambda _relay: None) -> None:
        """`connected`: told once for each connection that brings a request, with the relay that it came from."""
        super().__init__()
        self._handle, self._connected = handle, connected
        self.names: dict[int, str] = {}
        self.stray: Stray | None = None

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = writer.get_extra_info("peername")[1]
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            new = True
            if self.stray and (early := self.stray.before()):
                writer.write(early)
            while True:
                request = await self._request(reader, port)
                if new:
                    self._connected(request.relay)
                    new = False
                answer = await self._while_open(reader, writer, request)
                if answer is None:
                    break
                status, headers, body = answer
                lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
                data = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
                writer.write(self._with_stray(data, writer))
                await writer.drain()
        writer.close()

    def _with_stray(self, answer: bytes, writer: asyncio.StreamWriter) -> bytes:
        """The answer, with the bytes that follow it at once; later ones are written when they are due."""
        following = self.stray.after(answer) if self.stray else None
        if following is None:
            return answer
        delay_s, data = following
        if not delay_s:
            return answer + data

        def send() -> None:
            if not writer.is_closing():
                writer.write(data)

        asyncio.get_running_loop().call_later(delay_s, send)
        return answer

    async def _request(self, reader: asyncio.StreamReader, port: int) -> Request:
        """Who calls is known by the time a request is whole: the link names a connection once it is up."""
        return replace(await read_request(reader), relay=self.names.get(port, ""))

    async def _while_open(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: Request) -> Any:
        """What is answered; None once the caller has gone, or said that it wants nothing more."""
        handling = asyncio.ensure_future(self._handle(request))
        try:
            while not handling.done():
                await asyncio.wait({handling}, timeout=_LOOK_S)
                if reader.at_eof() or reader.exception() or writer.is_closing():
                    break
            return handling.result() if handling.done() else None
        finally:
            handling.cancel()
            await asyncio.gather(handling, return_exceptions=True)


@dataclass
class Destination:
    """What its endpoints share. `limit` calls a second from all relays, in spans of one second; above it a call is
    refused, with a wait where it tells one. While cold it takes a part of its capacity, and more than `tip` times
    that for `fall_s` makes it fall over. `hang`, `fail`, `errs` and `refuses` are troubles that last until taken
    back."""

    number: int
    limit: float = 0.0
    capacity: float = 1_000.0
    takes_s: float = 0.02
    tells_wait_ms: float = 0.0
    cold_from: float = 0.3
    ramp_s: float = 10.0
    tip: float = 1.5
    fall_s: float = 2.0
    cold_at: float | None = None  # since when it warms up
    hang: bool = False
    fail: bool = False
    errs: float = 0.0  # share of the calls that are answered 500 after they ran
    refuses: float = 0.0  # share of the calls that are answered 503
    fallen: bool = False
    span: int = -1
    in_span: int = 0
    recent: list[float] = field(default_factory=list)

    def warm(self, now: float) -> float:
        """The share of its capacity that it has."""
        if self.cold_at is None or now >= self.cold_at + self.ramp_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * (now - self.cold_at) / self.ramp_s

    def admits(self, now: float) -> bool:
        """Count one call against the limit."""
        if not self.limit:
            return True
        if int(now) != self.span:
            self.span, self.in_span = int(now), 0
        self.in_span += 1
        return self.in_span <= self.limit

    def falls(self, now: float) -> bool:
        """Whether this call is the one that pushes a cold destination over."""
        if self.cold_at is None:
            return False
        self.recent = [at for at in self.recent if at > now - self.fall_s] + [now]
        return len(self.recent) > self.tip * self.capacity * self.warm(now) * self.fall_s

    def report(self, now: float) -> dict[str, str]:
        if not self.limit:
            return {"Srv-Load": "x0=0,x1=0"}
        used = self.in_span if int(now) == self.span else 0
        return {"Srv-Load": f"x0={max(0.0, 1 - used / self.limit):.3f},x1={self.limit:.3f}"}


class Endpoint:
    """One endpoint of a destination."""

    def __init__(self, name: str, dest: Destination, story: Story, seed: int = 0) -> None:
        self.name, self.dest, self._story = name, dest, story
        self._random = random.Random(f"{seed}{name}")
        self.server = Server(
            self._handle, lambda relay: story.tell("connected", relay=relay, to=name, dest=dest.number)
        )

    async def _handle(self, request: Request) -> tuple[int, dict[str, str], bytes] | None:
        story, dest, wire_id = self._story, self.dest, request.headers.get("req-id", "")
        now = story.now()
        facts = {"id": wire_id, "dest": dest.number, "endpoint": self.name, "relay": request.relay}
        call = len(story.events)
        story.tell("call", call=call, key=request.headers.get("idempotency-key", ""), **facts)
        if not dest.fallen and dest.falls(now):
            dest.fallen = True
            story.tell("fell", dest=dest.number)
        try:
            if dest.hang:
                await asyncio.sleep(60)
            if dest.fail or dest.fallen:
                return self._answered(call, facts, 500, {})
            if not dest.admits(now):
                wait = {"Wait-Ms": f"{dest.tells_wait_ms:.0f}"} if dest.tells_wait_ms else {}
                return self._answered(call, facts, 429 if wait else 503, wait)
            drawn = self._random.random()
            await asyncio.sleep(dest.takes_s * (0.5 + self._random.random()))
            status = 503 if drawn < dest.refuses else 500 if drawn < dest.refuses + dest.errs else 200
            return self._answered(call, facts, status, {})
        except asyncio.CancelledError:
            story.tell("unanswered", call=call, **facts)
            raise

    def _answered(self, call: int, facts: dict[str, Any], status: int, headers: dict[str, str]) -> Any:
        self._story.tell("answer", call=call, status=status, wait_ms=float(headers.get("Wait-Ms", 0)), **facts)
        return status, headers | self.dest.report(self._story.now()), b""


class Discovery:
    """The list, its watches, and the notices. Each relay is given the addresses of its own links."""

    def __init__(self, story: Story, places: Callable[[str], dict[str, str]]) -> None:
        """`places`: for a relay, endpoint's name -> the address at which this relay reaches it."""
        self._story, self._places = story, places
        self.members: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, str] = {}  # id in the list -> the endpoint whose process has it, if it is another one
        self.revision = 1
        self.silent = False
        self.drops_reports = 0.0  # share of the notices' requests whose connections are closed unread and unanswered
        self.reports_take_s = 0.0
        self._random = random.Random("reports")
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    def list(self, name: str, dest: int, phase: str = "Ready", size: float = 50.0) -> None:
        """Add an endpoint, or change it."""
        self.members[name] = {
            "id": name,
            "locality": "a",
            "flavor": "x",
            "cell": dest,
            "phase": phase,
            "size": size,
            "up_since_ms": self.members.get(name, {}).get("up_since_ms", 0),
        }
        self._tell()

    def exchange(self, one: str, other: str) -> None:
        """Two ids pass to each other's processes, with their destinations; the processes stay at their addresses."""
        self.processes[one], self.processes[other] = self.process(other), self.process(one)
        first, second = self.members[one], self.members[other]
        first["cell"], second["cell"] = second["cell"], first["cell"]
        first["phase"], second["phase"] = second["phase"], first["phase"]
        for member in (first, second):
            member["up_since_ms"] += 1_000
        self._tell()

    def process(self, name: str) -> str:
        """The endpoint whose process has this id now."""
        return self.processes.get(name, name)

    def _tell(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, dict[str, str], bytes] | None:
        if request.target == "/reports":
            await asyncio.sleep(self.reports_take_s)
            if self._random.random() < self.drops_reports:
                return None
            for line in request.body.splitlines():
                told = json.loads(line)
                self._story.tell(
                    "notice",
                    id=told["message"],
                    outcome=told["outcome"],
                    relay=request.relay,
                    retry_in_ms=told.get("retry_in_ms", 0),
                )
            return 204, {}, b""
        while self.silent:
            await asyncio.sleep(0.05)
        query = dict(part.partition("=")[::2] for part in request.target.partition("?")[2].split("&"))
        self._story.tell("asked", relay=request.relay, whole="index" not in query)
        if "index" in query and int(query["index"]) >= self.revision:
            changed = self._changed
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), float(query.get("wait", 0)) / 1e3)
        while self.silent:
            await asyncio.sleep(0.05)
        places = self._places(request.relay)
        members = [member | {"host_port": places[self.process(name)]} for name, member in self.members.items()]
        self._story.tell(
            "told",
            relay=request.relay,
            revision=self.revision,
            draining=[self.process(name) for name, member in self.members.items() if member["phase"] != "Ready"],
        )
        return 200, {}, json.dumps({"revision": self.revision, "complete": True, "members": members}).encode()
