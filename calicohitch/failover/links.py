"""Both ends of copy links: the owner's, one for each relay that should hold copies, and the holder's server."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import anyio
from anyio.abc import ByteStream, SocketStream, TaskGroup
from loguru import logger

from ..config.platform import Address
from ..core.change_notifier import ChangeNotifier
from ..fleet.roster import Roster
from ..fleet.settings import FleetSettings
from . import frames
from .claims import Claims
from .replication import Replication, Link
from .replica_store import ReplicaSet, ReplicaStore, NoRoom
from .wire import Outbox, incoming

_AGAIN_S = 0.15
_AVOID_MS = 2_000.0
_HELLO_S = 1.0
BROKEN = (
    OSError,
    frames.BadFrame,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    StopAsyncIteration,
)


class OutboundReplication:
    """The owner's ends. `wanted` names the relays to be linked to; `late` tells which of them answer too late."""

    def __init__(
        self,
        me: str,
        replication: Replication,
        roster: Roster,
        settings: FleetSettings,
        now: Callable[[], float],
        heard: Callable[[str, float], None],
        changes: ChangeNotifier,
    ) -> None:
        """`heard`: told for each acknowledgement who gave it, and when what it had heard was sent."""
        self._me, self._replication, self._roster, self._set, self._now = me, replication, roster, settings, now
        self._heard, self._changes = heard, changes
        self.epoch = 0
        self.wanted: set[str] = set()
        self._running: dict[str, anyio.CancelScope] = {}
        self._down_since: dict[str, float] = {}
        self._avoided: dict[str, float] = {}  # relay that was late -> until when it is not tried again
        self._answered: dict[str, float] = {}  # relay -> `at` of its last acknowledgement
        self._told: set[str] = set()  # relays whose link is logged as ended

    def late(self, relay: str) -> bool:
        """It has no link, or has left something unacknowledged, for longer than is waited for."""
        now, link = self._now(), self._replication.links.get(relay)
        if link is None:  # one that was never tried is not late
            down = now - self._down_since.get(relay, now) > self._set.copy_timeout_ms
            return down or now < self._avoided.get(relay, 0.0)
        return link.oldest is not None and now - link.oldest > self._set.copy_timeout_ms

    def arrange(self, tasks: TaskGroup) -> None:
        """Open the links that are wanted and missing, end those that are not."""
        for relay in [relay for relay in self._running if relay not in self.wanted]:
            if self.late(relay):  # others are tried first, for a while
                self._avoided[relay] = self._now() + _AVOID_MS
            self._running.pop(relay).cancel()
            self._down_since.pop(relay, None)
        for relay in self.wanted - self._running.keys():
            scope = self._running[relay] = anyio.CancelScope()
            self._down_since.setdefault(relay, self._now())
            tasks.start_soon(self._keep, relay, scope)

    async def _keep(self, relay: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._once(relay)
                except* BROKEN as errors:
                    if relay not in self._told:  # once, until it is up again
                        self._told.add(relay)
                        logger.bind(event="takeover.link", relay=relay).info(
                            "the copy link to {} ended: {}",
                            relay,
                            "; ".join(f"{type(err).__name__} {err}" for err in _leaves(errors)),
                        )
                await anyio.sleep(_AGAIN_S)

    async def _once(self, relay: str) -> None:
        member = self._roster.members.get(relay)
        if member is None:
            return
        address = Address.parse(member.copies, "copies")
        with anyio.fail_after(_HELLO_S):
            stream = await anyio.connect_tcp(address.host, address.port)
        async with stream:
            outbox = Outbox(self._set.queue_bytes)
            outbox.put(
                frames.Hello(
                    frames.VERSION, self._set.name, self._me, self.epoch, self._replication.parts, relay, self._now()
                )
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, outbox, stream, tasks)
                try:
                    await self._read(relay, outbox, stream, tasks)
                finally:
                    outbox.close()
                    tasks.cancel_scope.cancel()

    async def _write(self, outbox: Outbox, stream: ByteStream, tasks: TaskGroup) -> None:
        """A link whose buffer is full is closed at both ends by the end of this."""
        await outbox.drain(stream)
        tasks.cancel_scope.cancel()

    async def _read(self, relay: str, outbox: Outbox, stream: ByteStream, tasks: TaskGroup) -> None:
        came = incoming(stream)
        link: Link | None = None
        try:
            with anyio.fail_after(_HELLO_S):
                first = await anext(came)
            welcome = first.pop(0)
            if isinstance(welcome, frames.Denied):
                raise frames.BadFrame(f"{relay} denied it: {welcome.why}")
            if not isinstance(welcome, frames.Welcome) or welcome.relay != relay:
                raise frames.BadFrame(f"it was answered by {welcome!r}")
            link = Link(relay, welcome.holding, outbox.put, self._now())
            self._replication.came_up(link)
            self._told.discard(relay)
            self._avoided.pop(relay, None)
            self._down_since.pop(relay, None)
            self._changes.notify()
            tasks.start_soon(self._beat, relay, outbox)
            self._take(link, first)
            async for told in came:
                self._take(link, told)
        finally:
            if link:
                self._replication.went_down(relay, link)
            self._down_since.setdefault(relay, self._now())
            self._changes.notify()

    async def _beat(self, relay: str, outbox: Outbox) -> None:
        while outbox.put(frames.Beat(self._now(), self._answered.get(relay, 0.0))):
            await anyio.sleep(self._set.beat_ms / 1e3)

    def _take(self, link: Link, told: list[frames.Frame]) -> None:
        for frame in told:
            if isinstance(frame, frames.Ack):
                self._answered[link.relay] = frame.at
                self._replication.acked(link, frame.seq, self._now())
                self._heard(link.relay, frame.heard)
            elif isinstance(frame, frames.Denied):
                raise frames.BadFrame(f"{link.relay} denies it: {frame.why}")
            elif isinstance(frame, frames.Full):
                logger.bind(event="takeover.full", relay=link.relay, part=frame.part).warning(
                    "{} has no room for part {}: {}", link.relay, frame.part, frame.why
                )
                self._replication.full(link, frame.part)
            else:
                raise frames.BadFrame(f"a holder does not send {type(frame).__name__}")
        self._changes.notify()


class InboundReplication:
    """The holder's server."""

    def __init__(
        self,
        me: str,
        replicas: ReplicaStore,
        claims: Claims,
        roster: Roster,
        settings: FleetSettings,
        now: Callable[[], float],
        epoch: Callable[[], int],
    ) -> None:
        self._me, self._replicas, self._claims, self._roster = me, replicas, claims, roster
        self._set, self._now, self._epoch = settings, now, epoch
        self._links: dict[str, anyio.CancelScope] = {}
        self.denied = 0
        self.bad = 0  # links that ended by a frame that is none

    async def serve(self, stream: SocketStream) -> None:
        scope = anyio.CancelScope()
        with scope, suppress(Exception):
            async with stream:
                try:
                    await self._serve(stream, scope)
                except frames.BadFrame as err:
                    self.bad += 1
                    logger.bind(event="takeover.bad_frame").warning("a copy link was ended: {}", err)
                except BROKEN:
                    pass

    def _why_not(self, hello: frames.Frame) -> str:
        if not isinstance(hello, frames.Hello):
            raise frames.BadFrame(f"a link begins with Hello, not with {type(hello).__name__}")
        if hello.version > frames.VERSION:
            return f"version {hello.version} is newer than {frames.VERSION}"
        if hello.fleet != self._set.name or hello.to != self._me:
            return f"it is for {hello.to} of {hello.fleet}, and this is {self._me} of {self._set.name}"
        if not 0 < hello.parts <= 64:
            return f"{hello.parts} parts"
        if not self._epoch():
            return "this relay is not registered yet"
        known = self._roster.epochs.get(hello.relay, 0)
        if hello.epoch < known:
            return f"epoch {hello.epoch} of {hello.relay} is passed by {known}"
        if self._claims.denies(self._roster, hello.relay, hello.epoch):
            return f"work of {hello.relay} in epoch {hello.epoch} was claimed here"
        if hello.relay == self._me:
            return "a relay holds no copies of its own"
        return ""

    async def _serve(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        came = incoming(stream)
        with anyio.fail_after(_HELLO_S):
            first = await anext(came)
        hello = first.pop(0)
        if why := self._why_not(hello):
            self.denied += 1
            await stream.send(frames.encode(frames.Denied(why)))
            return
        assert isinstance(hello, frames.Hello)
        try:
            held = self._replicas.open(hello.relay, hello.epoch, hello.parts)
        except NoRoom as err:
            await stream.send(frames.encode(frames.Denied(str(err))))
            return
        if earlier := self._links.get(hello.relay):
            earlier.cancel()  # the owner has opened another
        self._links[hello.relay] = scope
        held.linked += 1
        try:
            held.offset.came(self._now(), hello.sent)
            heard, seq = hello.sent, 0
            await stream.send(frames.encode(frames.Welcome(frames.VERSION, self._me, self._epoch(), held.name)))
            while True:
                if self._claims.denies(self._roster, held.owner, held.epoch):
                    await stream.send(frames.encode(frames.Denied("its work was claimed here")))
                    return
                heard, seq, refused = self._apply(held, first, heard, seq)
                now = self._now()
                self._claims.heard(held.owner, held.epoch, now)
                answer = b"".join(frames.encode(frames.Full(part, why)) for part, why in refused.items())
                await stream.send(answer + frames.encode(frames.Ack(seq, heard, now)))
                first = await anext(came)
        finally:
            held.linked -= 1
            held.idle_since = self._now()
            if self._links.get(hello.relay) is scope:
                del self._links[hello.relay]

    def _apply(
        self, held: ReplicaSet, told: list[frames.Frame], heard: float, seq: int
    ) -> tuple[float, int, dict[int, str]]:
        """Write what came. A part that there is no room for is dropped whole, and its owner told."""
        refused: dict[int, str] = {}
        for frame in told:
            part = getattr(frame, "part", 0)
            if not 0 <= part < held.parts:
                raise frames.BadFrame(f"part {part} of {held.parts}")
            try:
                match frame:
                    case frames.Record(payload=payload):
                        if part not in refused:
                            self._replicas.record(held, part, payload)
                    case frames.Begin():
                        refused.pop(part, None)
                        held.begin(part)
                    case frames.Whole():
                        if part not in refused:
                            held.whole(part)
                    case frames.Drop():
                        held.drop(part)
                    case frames.Wait(route=route, until=until):
                        held.waits[route] = until
                    case frames.Beat(sent=sent, answered=answered):
                        now = self._now()
                        heard, held.whole_at = max(heard, sent), max(held.whole_at, sent)
                        held.offset.came(now, sent)
                        if answered:
                            held.offset.answered(answered, sent, now)
                    case _:
                        raise frames.BadFrame(f"an owner does not send {type(frame).__name__}")
            except NoRoom as err:
                refused[part] = str(err)
                held.give_up(part)
            except (ValueError, TypeError) as err:
                if isinstance(err, frames.BadFrame):
                    raise
                raise frames.BadFrame(f"a record cannot be read: {err}") from err
            seq = max(seq, getattr(frame, "seq", 0))
        return heard, seq, refused


def _leaves(errors: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    found: list[BaseException] = []
    for err in errors.exceptions:
        found += _leaves(err) if isinstance(err, BaseExceptionGroup) else [err]
    return found
