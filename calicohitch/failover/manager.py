"""The takeover as the relay knows it: its messages are copied, its acts wait for proof, and others' work comes to it.

`Relay` calls what `core/protocols.py` names `Replicator`; this calls back `adopt`, `confirm` and `drop`. What is
decided lies in `replication.py`, `claims.py`, `choice.py` and `fleet/`; here it is put together and run.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..core.change_notifier import ChangeNotifier
from ..core.protocols import Adopter, Refusal
from ..fleet.membership import Membership
from ..fleet.lease_validity import LeaseValidity, LeaseTerm
from ..fleet.records import FailoverClaim, ReplicaHolder, Keys, Member, part_of
from ..fleet.settings import CopyMode, FleetSettings
from ..fleet.store import Store
from ..fleet.ownership import ReclaimedWork, Ownership
from ..journal import Entry, Origin, payloads
from ..recovery.problems import FolderProblem, NameTaken, WorkTaken
from .choice import chosen
from .claims import Claims, is_over
from .replication import Replication
from .replica_store import ReplicaSet, ReplicaStore
from .links import InboundReplication, OutboundReplication

_LOOK_S = 0.05
_FORGET_MS = 10_000.0  # after so long without its link, copies of a work that the store does not have are removed
_CLAIM_KEPT_MS = 300_000.0  # an adopted claim is remembered for so long: no message lives longer
_ADOPT_S = 2.0  # claimed messages wait so long for copies of their own
_CLOCK_ERROR_MS = 1_000.0


class FailoverManager:
    """One relay's. `run` lasts as long as the relay; `begin` settles whose the folder's messages are."""

    def __init__(
        self,
        settings: FleetSettings,
        name: str,
        incarnation: int,
        classes: Sequence[str],
        folder: Path,
        store: Store,
        now: Callable[[], float],
        may_hold: Callable[[], bool] = lambda: True,
    ) -> None:
        """`now`: the relay's clock. `may_hold`: whether the folder is still this life's."""
        self._set, self._name, self._now, self._may_hold = settings, name, now, may_hold
        self._modes = dict(zip(classes, settings.classes, strict=True))
        self._class_names = tuple(classes)
        keys = Keys(settings.name)
        member = Member(0, incarnation, str(settings.advertise or settings.listen), settings.zone)
        term = LeaseTerm(settings.ttl_ms, settings.pause_ms)
        self.validity = LeaseValidity(term)
        self.ownership = Ownership(keys, name, settings.parts, member)
        self.fleet = Membership(store, self.ownership, self.validity, folder, settings, now)
        self.replication = Replication(settings.parts, settings.copies)
        self.replicas = ReplicaStore(folder / "copies", settings.hold_bytes, now)
        self.claims = Claims(name, term, settings.grace_ms, now())
        self.changes = ChangeNotifier()
        self._out = OutboundReplication(
            name, self.replication, self.fleet.roster, settings, now, self._heard, self.changes
        )
        self._in = InboundReplication(
            name, self.replicas, self.claims, self.fleet.roster, settings, now, lambda: self.ownership.epoch
        )
        self._relay: Adopter | None = None
        self._waiting: list[tuple[int, Callable[[], None]]] = []  # what is to be done once a message is safe
        self._publishing = False
        self._leaving = False
        self.ended: FolderProblem | None = None
        self.on_ended: Callable[[], None] = lambda: None
        self.fleet.on_passed = lambda why: self._end(WorkTaken(f"{why}; start it again"))
        self.taken_over = 0
        self.refused = 0

    def stop_accepting(self) -> None:
        """Nothing copied is taken on any more, nor claimed."""
        self._leaving = True

    def _end(self, why: FolderProblem) -> None:
        """This process is of no more use: what it had is others', or its name is."""
        if not self.ended:
            self.ended = why
            self.on_ended()

    def attach(self, relay: Adopter) -> None:
        self._relay = relay

    # What the relay asks.

    def mode(self, class_name: str) -> CopyMode:
        return self._modes.get(class_name, CopyMode("none", "alone"))

    def covers(self, entry: Entry) -> bool:
        """Whether others may have it, or had it."""
        unsure = entry.origin is not None and not entry.origin.confirmed
        return unsure or not entry.call and self.mode(entry.class_name).when != "none"

    def refuses(self, class_index: int, wire_id: str) -> Refusal | None:
        """Why a new message of this class cannot be taken on now, if it cannot."""
        mode = self.mode(self._class_names[class_index])
        if self._leaving:
            return Refusal.STOPPING
        if mode.when == "none":
            return None
        part = part_of(wire_id, self._set.parts)
        if self.ownership.epoch and self.replication.enough(part) and self._proved(part):
            return None
        if mode.without == "alone" and (not self.replication.required(part) or self._proved(part)):
            self.replication.alone += 1
            return None
        self.refused += 1
        return Refusal.NOT_REPLICATED

    def opening(self, entry: Entry) -> None:
        """A message is about to be journaled: from its first record on it is copied, if its class is."""
        mode = self.mode(entry.class_name)
        if mode.when != "none" and not entry.call:
            part = part_of(entry.id, self._set.parts)
            first = mode.when == "first"
            self.replication.open(
                entry.number, part, first, lambda: payloads(entry), first and mode.without == "refuse"
            )

    def abandoned(self, number: int) -> None:
        """It could not be journaled."""
        self.replication.abandon(number)

    def record(self, number: int, payload: bytes, over: bool) -> None:
        self.replication.record(number, payload, self._now(), over)

    def record_wait(self, route: int, until: float) -> None:
        """A destination told to wait."""
        self.replication.wait(route, until, self._now())

    def is_copied(self, number: int) -> bool:
        return self.replication.is_copied(number)

    def may_be_accepted(self, number: int) -> bool:
        return self.replication.may_be_accepted(number)

    async def until_accepted(self, number: int, within_s: float) -> bool:
        return await self._until(lambda: self.replication.may_be_accepted(number), within_s)

    async def until_safe(self, number: int, within_s: float) -> bool:
        """Wait until all that was recorded of a message is copied as its class asks."""
        if self.replication.is_safe(number):
            return True
        part, last = self.replication.mark(number)
        return await self._until(lambda: self.replication.has(part, last), within_s)

    async def _until(self, holds: Callable[[], bool], within_s: float) -> bool:
        """Look again with each word of a link or of the store."""
        with anyio.move_on_after(within_s):
            while not holds():
                await self.changes.wait()
            return True
        return False

    def when_safe(self, number: int, then: Callable[[], None]) -> None:
        if self.replication.is_safe(number):
            then()
        else:
            self._waiting.append((number, then))

    def may_act(self, number: int) -> bool:
        """Whether it is proved right now that nobody else has this message."""
        return not self.replication.is_copied(number) or self._proved(self.replication.mark(number)[0])

    def may_end(self) -> bool:
        """Whether ends may be told: of all parts."""
        return all(self._proved(part) for part in range(self.replication.parts))

    def _proved(self, part: int) -> bool:
        return self.validity.holds(self._now(), (holder.relay for holder in self.replication.required(part)))

    @property
    def ends_waiting(self) -> int:
        return len(self._waiting)

    # Its run.

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            try:
                listener = await anyio.create_tcp_listener(
                    local_host=self._set.listen.host, local_port=self._set.listen.port
                )
            except OSError as err:
                self._end(FolderProblem(f"copies cannot be taken at {self._set.listen}: {err}"))
                return
            tasks.start_soon(listener.serve, self._in.serve)
            tasks.start_soon(self._when_registered, tasks)

    async def _when_registered(self, tasks: TaskGroup) -> None:
        while not self.fleet.registered:
            await anyio.sleep(_LOOK_S)
        self._out.epoch = self.ownership.epoch
        tasks.start_soon(self.fleet.run)
        tasks.start_soon(self._claim)
        await self._arrange(tasks)

    async def begin(self, entries: dict[int, Entry]) -> set[int]:
        """Register, and settle which of the folder's messages are this relay's: the numbers of those that are not, or
        that nothing may be done with. Those that may be another's as well are marked as doubtful."""
        kept = self.fleet.kept
        try:
            taken = await self.fleet.begin()
        except NameTaken as err:
            self._end(err)
            await anyio.sleep_forever()  # nothing is done with the folder's messages
        self._keep_out_of(taken)
        lost: set[int] = set()
        for number, entry in entries.items():
            if not self.covers(entry):
                continue
            if self._is_anothers(entry, self._name, kept.epoch):
                lost.add(number)
            elif taken.parts is not None and part_of(entry.id, self._set.parts) not in taken.parts:
                lost.add(number)
            elif taken.doubted:
                entry.doubtful, entry.complete_until = True, 0.0
        if lost:
            logger.bind(event="takeover.given_away", count=len(lost)).warning(
                "{} messages of the folder are others' by now, and are dropped here", len(lost)
            )
        return lost

    def _keep_out_of(self, taken: ReclaimedWork) -> None:
        if taken.doubted:
            logger.bind(event="takeover.doubted").warning(
                "the coordination store is not the one that this folder knew: what it holds may have been taken over "
                "before, and goes on as its class allows"
            )

    def _is_anothers(self, entry: Entry, relay: str, epoch: int) -> bool:
        """Whether a message that this relay claimed in this epoch never became its own."""
        if (origin := entry.origin) is None or origin.confirmed:
            return False
        claim = self.fleet.roster.claims.get((origin.relay, origin.epoch, origin.part))
        return claim != FailoverClaim(relay, epoch, adopted=True)

    def _heard(self, relay: str, sent_at: float) -> None:
        self.validity.acknowledged(relay, sent_at)

    # Copies of this relay's work.

    async def _arrange(self, tasks: TaskGroup) -> None:
        roster = self.fleet.roster
        while not self.validity.passed:
            zones = {relay: member.zone for relay, member in roster.members.items()} | {self._name: self._set.zone}
            wanted = [self._chosen(part, zones) for part in range(self._set.parts)]
            self._out.wanted = ({relay for relays in wanted for relay in relays} | set(self.replication.holders())) - {
                self._name
            }
            self._out.arrange(tasks)
            target = self.replication.arrange(wanted, self._out.late, self._now())
            if target != self.replication.published and not self._publishing and not self._leaving:
                tasks.start_soon(self._publish, target)
            self._done_waiting()
            with anyio.move_on_after(_LOOK_S):
                await self.changes.wait()

    def _chosen(self, part: int, zones: dict[str, str]) -> list[str]:
        """The holders that a part should have: the first of its order that are in time, and enough of the others that
        one which comes back is tried again."""
        order = chosen(f"{self._name}/{part}", self._name, zones, len(zones))
        good = [relay for relay in order if not self._out.late(relay) and not self._is_full(relay, part)]
        return (good or order)[: self._set.copies]

    def _is_full(self, relay: str, part: int) -> bool:
        link = self.replication.links.get(relay)
        return link is not None and part in link.refused

    async def _publish(self, target: tuple[tuple[ReplicaHolder, ...], ...]) -> None:
        """Name these holders. Until the store's answer is known, acts rest on both the old and the new."""
        self._publishing = True
        try:
            self.replication.publishing(target)
            self.ownership.published = self._both(target)
            done = await self.fleet.publish(self.ownership.publish(self.fleet.roster, target))
            while done is None and not self.validity.passed:
                await anyio.sleep(_LOOK_S)
                if await self.fleet.read():
                    shown = self.ownership.shown(self.fleet.roster)
                    done = shown == target
            if done:
                self.replication.publish(target, self._now())
            else:  # it is as it was, or another relay has claimed it, which the roster tells
                await self.fleet.read()
                self.replication.publishing(((),) * self.replication.parts)
            self.ownership.published = self.replication.published
            if done:
                await self.fleet.read()
                logger.bind(event="takeover.holders", holders=[[one.relay for one in part] for part in target]).info(
                    "copies are held by {}", "; ".join(" ".join(one.relay for one in part) or "-" for part in target)
                )
        finally:
            self._publishing = False
            self.changes.notify()

    def _both(self, target: tuple[tuple[ReplicaHolder, ...], ...]) -> tuple[tuple[ReplicaHolder, ...], ...]:
        return tuple(
            tuple(dict.fromkeys(old + new)) for old, new in zip(self.replication.published, target, strict=True)
        )

    def _done_waiting(self) -> None:
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            for number, then in waiting:
                self.when_safe(number, then)

    # Others' work.

    async def _claim(self) -> None:
        """Claim what is due, as soon as it is."""
        seen: dict[tuple[str, int, int], float] = {}
        while not self.validity.passed:
            now, again = self._now(), float("inf")
            for held in self.replicas:
                due, later = self.claims.parts_due(
                    self.fleet.roster, held.owner, held.epoch, now, self.replicas.names()
                )
                due = [part for part in due if part not in held.gave_up]
                again = min(again, later)
                if due and not self._leaving and self._may_hold() and self.fleet.registered:
                    await self._take_over(held, due)
                elif (
                    not held.linked
                    and now - held.idle_since > _FORGET_MS
                    and is_over(self.fleet.roster, held.owner, held.epoch, self._name)
                ):
                    self.claims.forget(held.owner, held.epoch)
                    self.replicas.remove(held)
            await self._forget_claims(seen)
            with anyio.move_on_after(max(0.0, min(again - now, 500.0)) / 1e3):
                await self.fleet.changes.wait()

    async def _forget_claims(self, seen: dict[tuple[str, int, int], float]) -> None:
        """Adopted claims, and works of which nothing else is left, go from the store once they can matter to nobody."""
        from ..fleet.store import Delete
        from ..fleet.ownership import Step

        roster, now = self.fleet.roster, self._now()
        for at in [at for at in seen if at not in roster.claims]:
            del seen[at]
        for at, claim in list(roster.claims.items()):
            if not claim.adopted or now - seen.setdefault(at, now) < _CLAIM_KEPT_MS:
                continue
            key, work = roster.keys.claim(*at), roster.keys.work(at[0], at[1])
            last = sum(other[:2] == at[:2] for other in roster.claims) == 1
            gone = [Delete(key), Delete(work)] if last and not roster.parts_left(at[0], at[1]) else [Delete(key)]
            await self.fleet.commit(Step(f"claim {at} is forgotten", roster.as_it_is(key, work), gone))
            return

    async def _take_over(self, held: ReplicaSet, parts: list[int]) -> None:
        """Claim parts, make their messages this relay's, and only then act on them."""
        roster, relay = self.fleet.roster, self._relay
        assert relay is not None
        owner, epoch = held.owner, held.epoch
        self.claims.claiming(owner, epoch)
        done = await self.fleet.commit(
            self.claims.claim(roster, owner, epoch, parts, self.ownership.epoch, self.fleet.lease)
        )
        read = await self.fleet.read()
        if done is None:
            mine = FailoverClaim(self._name, self.ownership.epoch)
            done = read and all(roster.claims.get((owner, epoch, part)) == mine for part in parts)
        if not done:
            if read and not self.claims.is_claimer(roster, owner, epoch):
                self.claims.not_claimed(owner, epoch)
            return
        now = self._now()
        entries = held.claimed(parts, now, _CLOCK_ERROR_MS)
        whole = held.complete_until(now, _CLOCK_ERROR_MS)
        for entry in entries:
            if self.mode(entry.class_name).when != "first":  # what went behind may not have come
                entry.complete_until = min(entry.complete_until, whole) if entry.doubtful else whole
                entry.doubtful = True
        entries = [
            replace(entry, origin=Origin(owner, epoch, part_of(entry.id, held.parts)))
            for entry in entries
            if not self._is_anothers(entry, owner, epoch)
        ]
        numbers = relay.adopt(entries)
        with anyio.move_on_after(_ADOPT_S):
            for number in numbers:
                await self.until_safe(number, _ADOPT_S)
        adopted = await self.fleet.commit(self.claims.adopted(roster, owner, epoch, parts, self.ownership.epoch))
        while adopted is None and not self.validity.passed:
            await anyio.sleep(_LOOK_S)
            if await self.fleet.read():
                told = [roster.claims.get((owner, epoch, part)) for part in parts]
                if all(claim == FailoverClaim(self._name, self.ownership.epoch, True) for claim in told):
                    adopted = True
                elif any(claim is None or claim.relay != self._name for claim in told):
                    adopted = False
                else:
                    adopted = await self.fleet.commit(
                        self.claims.adopted(roster, owner, epoch, parts, self.ownership.epoch)
                    )
        if not adopted:
            logger.bind(event="takeover.lost_claim", owner=owner, epoch=epoch).warning(
                "parts {} of {} are another's after all: {} messages are dropped", parts, owner, len(numbers)
            )
            relay.drop(numbers)
            return
        self.taken_over += len(numbers)
        logger.bind(event="takeover.adopted", owner=owner, epoch=epoch, parts=parts, messages=len(numbers)).warning(
            "{} messages of {} are taken over (parts {} of epoch {})", len(numbers), owner, parts, epoch
        )
        relay.confirm(numbers, held.told_waits(self._now()))
        for part in parts:
            held.drop(part)

    # The end.

    async def hand_over(self, within_s: float) -> bool:
        """Let go of all copied work: wait until what was recorded of it is copied, then say so to the store."""
        self._leaving = True
        if not self.fleet.registered or self.validity.passed:
            return False
        with anyio.move_on_after(within_s):
            while self._publishing or self._waiting:
                await anyio.sleep(_LOOK_S)
            for number in self.replication.numbers():
                await self.until_safe(number, within_s)
        await self.fleet.leave()
        return True

    async def close(self) -> None:
        self.replicas.close()
        await self.fleet.store.close()
