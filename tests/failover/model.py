"""Relays as the decisions of `fleet/` and `failover/` have them, on one set time with clocks of their own, with links
and a store that fail: what the state machine in `test_model.py` drives. No sockets, no files.
"""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, field, replace

from calicohitch.fleet.memory_store import MemoryStore
from calicohitch.fleet.lease_validity import LeaseValidity, LeaseTerm
from calicohitch.fleet.records import FailoverClaim, Keys, Member, part_of
from calicohitch.fleet.roster import Roster
from calicohitch.fleet.ownership import StoredEpoch, Step, ReclaimedWork, Ownership
from calicohitch.failover import frames
from calicohitch.failover.choice import chosen
from calicohitch.failover.claims import Claims
from calicohitch.failover.replication import Replication, Link

PARTS, TTL = 2, 1_000.0
LATE = 200.0  # what a holder may leave unacknowledged
KEYS = Keys("model")


@dataclass
class Message:
    id: str
    attempts: int = 0
    origin: tuple[str, int, int] | None = None
    confirmed: bool = False

    def payloads(self) -> list[bytes]:
        return [json.dumps([self.id, n, self.origin, self.confirmed]).encode() for n in range(self.attempts + 1)]


@dataclass
class Disk:
    """What outlasts a process."""

    messages: dict[str, Message] = field(default_factory=dict)
    kept: StoredEpoch = StoredEpoch()
    replicas: dict[tuple[str, int], Held] = field(default_factory=dict)


@dataclass
class Held:
    name: str
    # id -> attempts, and where it comes from while it is not sure that it is its owner's
    known: dict[str, tuple[int, tuple[str, int, int] | None]] = field(default_factory=dict)
    fresh: dict[int, set[str]] = field(default_factory=dict)

    def take(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Begin):
            self.fresh[frame.part] = set()
        elif isinstance(frame, frames.Record):
            wire_id, attempts, origin, confirmed = json.loads(frame.payload)
            before = self.known.get(wire_id, (0, None))[0]
            self.known[wire_id] = max(before, attempts), tuple(origin) if origin and not confirmed else None
            if frame.part in self.fresh:
                self.fresh[frame.part].add(wire_id)
        elif isinstance(frame, frames.Whole | frames.Drop):
            told = self.fresh.pop(frame.part, set())
            for wire_id in list(self.known):
                if part_of(wire_id, PARTS) == frame.part and wire_id not in told:
                    del self.known[wire_id]


@dataclass
class Wire:
    """One copy link, from its opening to its end."""

    owner: Process
    epoch: int
    holder: Process
    down: deque[frames.Frame] = field(default_factory=deque)  # to the holder
    up: deque[frames.Ack] = field(default_factory=deque)
    link: Link | None = None
    closed: bool = False


class World:
    """The time, the store, and who is cut off from whom."""

    def __init__(self, names: str, copies: int) -> None:
        self.time = 0.0
        self.store = MemoryStore(lambda: self.time)
        self.copies = copies
        self.disks = {name: Disk() for name in names}
        self.up: dict[str, Process] = {}
        self.still: set[str] = set()  # they do not run, and know nothing of it
        self.rates = {name: 1 + 0.009 * (n - 1) for n, name in enumerate(names)}  # clocks that drift apart
        self.cut: set[tuple[str, str]] = set()  # one-way
        self.away: set[str] = set()  # cut off from the store
        self.deaf: set[str] = set()  # the answer to the next transaction is lost
        self.acted: dict[str, list[tuple[str, int, int]]] = {}  # id -> relay, life, attempts known before
        self.incarnations = 0
        self.replicas = 0
        self.saved = self.store.copied()

    def begin(self, name: str) -> None:
        self.incarnations += 1
        self.up[name] = Process(self, name, self.incarnations)

    def zones(self) -> dict[str, str]:
        return dict.fromkeys(self.disks, "")


class Process:
    """One life of a relay."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.world, self.name, self.incarnation = world, name, incarnation
        self.disk = world.disks[name]
        self.roster = Roster(KEYS)
        self.term = LeaseTerm(TTL, 50.0)
        self.validity = LeaseValidity(self.term)
        self.ownership = Ownership(KEYS, name, PARTS, Member(0, incarnation, name))
        self.claims = Claims(name, self.term, 0.0, self.now())
        self.replication = Replication(PARTS, world.copies)
        self.wires: dict[str, Wire] = {}
        self.pending: tuple | None = None
        self.lease = 0
        self.mine: dict[str, Message] = {}  # what this life may act on, by id
        self.numbers: dict[str, int] = {}
        self.adopting: list[tuple[str, int, list[int], list[Message]]] = []
        self.done = False

    def now(self) -> float:
        return self.world.time * self.world.rates[self.name]

    # The store.

    def reach(self) -> bool:
        return self.name not in self.world.away

    def read(self) -> bool:
        if not self.reach():
            return False
        seen = self.world.store.read_now(KEYS.prefix)
        back = self.roster.store_rollbacks(seen, self.roster.revision)
        before = self.roster.generation
        self.roster.replace(seen, self.now())
        if back and self.roster.generation in ("", before) or not self.roster.generation:
            self.commit(
                self.ownership.generate(self.roster, f"g{self.world.incarnations}.{self.world.time}.{self.name}")
            )
            self.roster.replace(self.world.store.read_now(KEYS.prefix), self.now())
        if self.ownership.epoch and (why := self.ownership.look(self.roster)):
            self.validity.passed, self.done = why, True
        return True

    def commit(self, step: Step) -> bool | None:
        if not self.reach():
            return None
        done = bool(self.world.store.commit_now(step.conditions, step.ops))
        if self.name in self.world.deaf:
            self.world.deaf.discard(self.name)
            return None
        return done

    # A turn of everything that a process does by itself.

    def turn(self) -> None:
        if self.done:
            return
        if not self.ownership.epoch:
            self._register()
            return
        self._renew()
        if self.done:
            return
        self._arrange()
        self._claim()

    def _register(self) -> None:
        if not self.read() or self.ownership.taken_by(self.roster, self.disk.kept):
            return
        sent, self.lease = self.now(), self.world.store.grant_now(TTL)
        kept = self.disk.kept
        epoch, step = self.ownership.register(self.roster, kept, self.lease)
        if not self.commit(step):
            return  # in doubt it registers again, with the next epoch
        self.ownership.begun(epoch)
        self.validity.renewed(sent)
        self.read()
        if self.done:
            return
        taken, resume = self.ownership.resume(self.roster, kept)
        if resume and not self.commit(resume):
            self.ownership.epoch = 0
            self.disk.kept = replace(kept)
            return
        self.disk.kept = StoredEpoch(epoch, False, self.roster.generation)
        self.read()
        self._restore(kept, taken)

    def _restore(self, kept: StoredEpoch, taken: ReclaimedWork) -> None:
        for message in list(self.disk.messages.values()):
            lost = taken.parts is not None and part_of(message.id, PARTS) not in taken.parts
            if message.origin and not message.confirmed:
                lost = lost or self.roster.claims.get(message.origin) != FailoverClaim(self.name, kept.epoch, True)
            if lost or taken.doubted:  # one that is doubted is ended or repeated by its class, not told here
                del self.disk.messages[message.id]
            else:
                message.confirmed = True
                self._open(message)
                self.mine[message.id] = message

    def _open(self, message: Message) -> None:
        number = self.numbers[message.id] = len(self.numbers) + 1 + self.incarnation * 1_000
        self.replication.open(number, part_of(message.id, PARTS), True, message.payloads)

    def _renew(self) -> None:
        sent = self.now()
        if not self.reach():
            return
        seen = self.world.store.read_now(KEYS.member(self.name))
        work = self.roster.works.get((self.name, self.ownership.epoch))
        stale = work is not None and work.generation != self.roster.generation
        there = any(item.lease == self.lease for item in seen.items)
        if seen.revision < self.roster.revision or stale or not there or not self.world.store.keep_now(self.lease):
            self.validity.expired()
            if not self.read() or self.done:
                return
            self.lease = self.world.store.grant_now(TTL)
            if self.commit(self.ownership.reassert(self.roster, self.lease)):
                self.validity.renewed(sent)
                self.disk.kept = StoredEpoch(self.ownership.epoch, self.disk.kept.published, self.roster.generation)
            self.read()
            return
        self.validity.renewed(sent)
        self.read()

    # Copies.

    def late(self, relay: str) -> bool:
        link = self.replication.links.get(relay)
        return link is None or link.oldest is not None and self.now() - link.oldest > LATE

    def _arrange(self) -> None:
        alive = dict.fromkeys(self.roster.members, "")
        wanted = [chosen(f"{self.name}/{part}", self.name, alive, self.world.copies) for part in range(PARTS)]
        for relay in {relay for relays in wanted for relay in relays}:
            wire = self.wires.get(relay)
            if (wire is None or wire.closed) and relay in self.world.up:
                self.wires[relay] = Wire(self, self.ownership.epoch, self.world.up[relay])
                self.wires[relay].down.append(
                    frames.Hello(1, "model", self.name, self.ownership.epoch, PARTS, relay, self.now())
                )
        for wire in self.wires.values():
            if not wire.closed and wire.link:
                wire.down.append(frames.Beat(self.now()))
        if self.pending is not None:
            if self.read() and not self.done:
                target, self.pending = self.pending, None
                if self.ownership.shown(self.roster) == target:
                    self._published(target)
                else:
                    self.replication.publishing(((),) * PARTS)
                    self.ownership.published = self.replication.published
            return
        target = self.replication.arrange(wanted, self.late, self.now())
        if target != self.replication.published:
            self.replication.publishing(target)
            self.ownership.published = tuple(
                tuple(dict.fromkeys(old + new)) for old, new in zip(self.replication.published, target, strict=True)
            )
            self.disk.kept = replace(self.disk.kept, published=True)
            done = self.commit(self.ownership.publish(self.roster, target))
            if done:
                self._published(target)
            elif done is None:
                self.pending = target
            else:
                self.replication.publishing(((),) * PARTS)
                self.ownership.published = self.replication.published
            self.read()

    def _published(self, target: tuple) -> None:
        self.replication.publish(target, self.now())
        self.ownership.published = target

    def deliver(self, relay: str) -> None:
        """What is on the way on the link to a holder arrives, as far as the line is whole."""
        wire = self.wires.get(relay)
        if wire is None or wire.closed:
            return
        holder = self.world.up.get(relay)
        if holder is not wire.holder or wire.epoch != self.ownership.epoch:
            self._close(wire)  # the other end died
            return
        if relay in self.world.still or self.name in self.world.still:
            return
        if (self.name, relay) not in self.world.cut:
            holder.come(wire)
        if (relay, self.name) not in self.world.cut:
            while wire.up and not wire.closed:
                ack = wire.up.popleft()
                if wire.link is None:
                    held = holder.disk.replicas.get((self.name, self.ownership.epoch))
                    if held is None:
                        self._close(wire)
                        return
                    wire.link = Link(relay, held.name, lambda frame: wire.down.append(frame) or True, self.now())
                    self.replication.came_up(wire.link)
                self.replication.acked(wire.link, ack.seq, self.now())
                self.validity.acknowledged(relay, ack.heard)

    def _close(self, wire: Wire) -> None:
        wire.closed = True
        if wire.link:
            self.replication.went_down(wire.holder.name, wire.link)

    def come(self, wire: Wire) -> None:
        """At the holder: write what came, and acknowledge it."""
        if not wire.down or not self.ownership.epoch:
            return
        at = wire.owner.name, wire.epoch
        if wire.epoch < self.roster.epochs.get(wire.owner.name, 0) or self.claims.denies(self.roster, *at):
            wire.owner._close(wire)
            return
        heard, seq = -1.0, 0
        while wire.down:
            frame = wire.down.popleft()
            if isinstance(frame, frames.Hello):
                if at not in self.disk.replicas:
                    self.world.replicas += 1
                    self.disk.replicas[at] = Held(f"h{self.world.replicas}")
                heard = frame.sent
            elif isinstance(frame, frames.Beat):
                heard = max(heard, frame.sent)
            else:
                self.disk.replicas[at].take(frame)
                seq = frame.seq
        self.claims.heard(*at, self.now())
        wire.up.append(frames.Ack(seq, heard, self.now()))

    # Acts.

    def take(self, wire_id: str) -> None:
        part = part_of(wire_id, PARTS)
        holders = self.replication.required(part)
        if self.done or not self.ownership.epoch or not self.validity.holds(self.now(), (one.relay for one in holders)):
            return
        message = self.mine[wire_id] = self.disk.messages[wire_id] = Message(wire_id)
        self._open(message)
        self.replication.record(self.numbers[wire_id], message.payloads()[0], self.now())

    def mark(self, wire_id: str) -> None:
        """Record the next attempt; `act` makes it, once that is safe."""
        message = self.mine[wire_id]
        message.attempts += 1
        self.replication.record(self.numbers[wire_id], message.payloads()[-1], self.now())

    def may_act(self, wire_id: str) -> bool:
        holders = (one.relay for one in self.replication.required(part_of(wire_id, PARTS)))
        return (
            not self.done
            and self.replication.is_safe(self.numbers[wire_id])
            and self.validity.holds(self.now(), holders)
        )

    def act(self, wire_id: str) -> None:
        """The attempt's first byte, if it may leave."""
        message = self.mine[wire_id]
        if message.attempts and self.may_act(wire_id):
            self.world.acted.setdefault(wire_id, []).append((self.name, self.incarnation, message.attempts))

    # Others' work.

    def _claim(self) -> None:
        names = {at: held.name for at, held in self.disk.replicas.items()}
        for owner, epoch in list(self.disk.replicas):
            if any(at[:2] == (owner, epoch) for at in self.adopting):
                continue
            due, _ = self.claims.parts_due(self.roster, owner, epoch, self.now(), names)
            done: bool | None = False
            if due:
                self.claims.claiming(owner, epoch)
                done = self.commit(self.claims.claim(self.roster, owner, epoch, due, self.ownership.epoch, self.lease))
                if done is False:
                    self.claims.not_claimed(owner, epoch)
            if done:
                held = self.disk.replicas[owner, epoch]
                taken = [
                    Message(wire_id, attempts, (owner, epoch, part_of(wire_id, PARTS)))
                    for wire_id, (attempts, origin) in sorted(held.known.items())
                    if part_of(wire_id, PARTS) in due
                    and (origin is None or self.roster.claims.get(origin) == FailoverClaim(owner, epoch, True))
                ]
                for message in taken:
                    self.disk.messages[message.id] = message
                    self._open(message)
                    for payload in message.payloads():
                        self.replication.record(self.numbers[message.id], payload, self.now())
                self.adopting.append((owner, epoch, due, taken))
            self.read()
            if self.done:
                return
        for adopting in list(self.adopting):
            self._adopt(*adopting)

    def _adopt(self, owner: str, epoch: int, parts: list[int], taken: list[Message]) -> None:
        mine = FailoverClaim(self.name, self.ownership.epoch)
        if not self.reach():
            return
        told = [self.roster.claims.get((owner, epoch, part)) for part in parts]
        sure = all(claim == replace_adopted(mine) for claim in told)
        if not sure and all(claim == mine for claim in told):
            if not all(self.replication.is_safe(self.numbers[message.id]) for message in taken):
                return
            sure = bool(self.commit(self.claims.adopted(self.roster, owner, epoch, parts, self.ownership.epoch)))
            if not sure:
                return  # in doubt the store is read first
        elif not sure:
            self.adopting.remove((owner, epoch, parts, taken))
            for message in taken:
                self.replication.abandon(self.numbers[message.id])
                self.disk.messages.pop(message.id, None)
            return
        self.adopting.remove((owner, epoch, parts, taken))
        for message in taken:
            message.confirmed = True
            self.mine[message.id] = message
            self.replication.record(self.numbers[message.id], message.payloads()[-1], self.now())
        self.read()


def replace_adopted(claim: FailoverClaim) -> FailoverClaim:
    return FailoverClaim(claim.relay, claim.epoch, True)
