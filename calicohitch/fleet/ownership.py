"""A relay's own tenure: how it begins, goes on after the store forgot it, and is handed over. No I/O: from a roster it
makes transactions, and from their results it learns where it stands.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .records import FailoverClaim, ReplicaHolder, Keys, Member, State, Work, write_record
from .roster import Roster
from .store import Delete, Op, Put, Unless


@dataclass(frozen=True, slots=True)
class Step:
    """A transaction, and what it is for, in words for people."""

    why: str
    conditions: Sequence[Unless]
    ops: Sequence[Op]


@dataclass(frozen=True, slots=True)
class StoredEpoch:
    """What the folder knows of the fleet: the epoch that its messages belong to, whether copies of them were ever
    published, and the store's generation then."""

    epoch: int = 0
    published: bool = False
    generation: str = ""


@dataclass(frozen=True, slots=True)
class ReclaimedWork:
    """What of the folder's messages are this relay's again. `parts`: those that are; None for all. `doubted`: the store
    lost what it knew, so that others may have them as well."""

    parts: frozenset[int] | None = None
    doubted: bool = False


class Ownership:
    """One relay's. `epoch` is 0 before it is registered."""

    def __init__(self, keys: Keys, relay: str, parts: int, member: Member) -> None:
        self.keys, self.relay, self.parts = keys, relay, parts
        self.member = member
        self.epoch = 0
        self.published: tuple[tuple[ReplicaHolder, ...], ...] = ((),) * parts
        self.passed = ""

    def generate(self, roster: Roster, drawn: str) -> Step:
        """A store that was found empty, or gone back, has a new generation: nothing of before is claimed any more."""
        return Step(
            "a new generation", roster.as_it_is(self.keys.generation), [Put(self.keys.generation, drawn.encode())]
        )

    def taken_by(self, roster: Roster, kept: StoredEpoch) -> str:
        """Why this relay cannot register now: another process is alive under its name; "" where it can."""
        there = roster.members.get(self.relay)
        if there is None or there.epoch == kept.epoch or there.epoch == self.epoch:
            return ""
        return f"a relay of the name {self.relay} is alive, in epoch {there.epoch}"

    def register(self, roster: Roster, kept: StoredEpoch, lease: int) -> tuple[int, Step]:
        """The next epoch, and what begins it."""
        epoch = max(roster.epochs.get(self.relay, 0), kept.epoch, self.epoch) + 1
        mine = self.keys.epoch(self.relay), self.keys.member(self.relay)
        member = msgspec.structs.replace(self.member, epoch=epoch)
        return epoch, Step(
            f"epoch {epoch} begins",
            roster.as_it_is(*mine),
            [Put(mine[0], str(epoch).encode()), Put(mine[1], write_record(member), lease)],
        )

    def begun(self, epoch: int) -> None:
        self.epoch = epoch
        self.member = msgspec.structs.replace(self.member, epoch=epoch)

    def is_mine(self, roster: Roster, lease: int) -> bool:
        """Whether the member's record is this life's, with this lease."""
        return roster.members.get(self.relay) == self.member and roster.lease_of(self.keys.member(self.relay)) == lease

    # What became of the work of earlier epochs.

    def resume(self, roster: Roster, kept: StoredEpoch) -> tuple[ReclaimedWork, Step | None]:
        """Take up what the folder holds, as far as nobody has claimed it; and leave what it does not hold."""
        mine = roster.as_it_is(self.keys.member(self.relay), self.keys.epoch(self.relay))
        ops: list[Op] = []
        conditions = list(mine)
        for epoch in roster.works_of(self.relay):
            work, key = roster.works[self.relay, epoch], self.keys.work(self.relay, epoch)
            if epoch != kept.epoch and epoch != self.epoch and work.state is State.OWNED:
                conditions += roster.as_it_is(key)  # a folder that was lost, or replaced
                ops.append(Put(key, write_record(msgspec.structs.replace(work, state=State.LEFT))))
        taken = self._of_folder(roster, kept, conditions, ops)
        return taken, Step("earlier work is taken up or left", conditions, ops) if ops else None

    def _of_folder(self, roster: Roster, kept: StoredEpoch, conditions: list[Unless], ops: list[Op]) -> ReclaimedWork:
        if not kept.epoch or not kept.published:
            return ReclaimedWork()
        if kept.generation != roster.generation:
            return ReclaimedWork(doubted=True)
        work, key = roster.works.get((self.relay, kept.epoch)), self.keys.work(self.relay, kept.epoch)
        if work is None:  # all of it was adopted, and that is long ago
            return ReclaimedWork(frozenset())
        conditions += roster.as_it_is(key)
        if work.state is State.OWNED:
            ops.append(Delete(key))
            return ReclaimedWork()
        free = [part for part in range(len(work.parts)) if (self.relay, kept.epoch, part) not in roster.claims]
        for part in free:
            at = self.keys.claim(self.relay, kept.epoch, part)
            conditions += roster.as_it_is(at)
            ops.append(Put(at, write_record(FailoverClaim(self.relay, self.epoch, adopted=True))))
        return ReclaimedWork(frozenset(free))

    # While it goes on.

    def publish(self, roster: Roster, parts: Sequence[Sequence[ReplicaHolder]]) -> Step:
        """Name the holders of each part: from its commit on none but those may claim."""
        key = self.keys.work(self.relay, self.epoch)
        work = Work(State.OWNED, roster.generation, tuple(tuple(holders) for holders in parts))
        return Step(
            "holders are published", [*roster.as_it_is(key, self.keys.generation)], [Put(key, write_record(work))]
        )

    def shown(self, roster: Roster) -> tuple[tuple[ReplicaHolder, ...], ...] | None:
        """What the store has published; None where it has nothing of this epoch."""
        work = roster.works.get((self.relay, self.epoch))
        return work.parts if work else None

    def look(self, roster: Roster) -> str:
        """Why this tenure is passed, for good; "" while it is not."""
        if not self.epoch or self.passed:
            return self.passed
        there = roster.members.get(self.relay)
        work = roster.works.get((self.relay, self.epoch))
        claimed = sorted(
            {
                claim.relay
                for (relay, epoch, _), claim in roster.claims.items()
                if (relay, epoch) == (self.relay, self.epoch)
            }
        )
        if (there and there.epoch > self.epoch) or roster.epochs.get(self.relay, 0) > self.epoch:
            self.passed = f"epoch {self.epoch} of {self.relay} is passed: a later one has begun"
        elif claimed or (work and work.state is not State.OWNED):
            by = ", ".join(claimed) or "others"
            self.passed = f"the work of {self.relay} in epoch {self.epoch} was claimed by {by}"
        return self.passed

    def reassert(self, roster: Roster, lease: int) -> Step:
        """The store has no lease of this tenure any more, or lost what it knew, and nobody has claimed anything: the
        same epoch goes on."""
        keys = (self.keys.epoch(self.relay), self.keys.member(self.relay), self.keys.work(self.relay, self.epoch))
        ops: list[Op] = [Put(keys[0], str(self.epoch).encode()), Put(keys[1], write_record(self.member), lease)]
        if any(self.published):
            ops.append(Put(keys[2], write_record(Work(State.OWNED, roster.generation, self.published))))
        return Step(f"epoch {self.epoch} goes on", roster.as_it_is(*keys, self.keys.generation), ops)

    def hand_over(self, roster: Roster) -> Step:
        """Nothing of this epoch is acted on any more: its holders may claim at once."""
        key, member = self.keys.work(self.relay, self.epoch), self.keys.member(self.relay)
        ops: list[Op] = [Delete(member)]
        if any(self.published):
            ops.append(Put(key, write_record(Work(State.HANDED, roster.generation, self.published))))
        elif roster.there(key):
            ops.append(Delete(key))
        return Step("work is handed over", roster.as_it_is(key, member), ops)


def decode_stored_epoch(data: bytes) -> StoredEpoch:
    """What the folder's file says; nothing where it cannot be read."""
    try:
        return msgspec.json.decode(data, type=StoredEpoch)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return StoredEpoch()


def encode_stored_epoch(kept: StoredEpoch) -> bytes:
    return msgspec.json.encode(kept)
