"""When a relay that holds copies may claim a part of another's work. No I/O, no clock.

A part is claimed once its owner's lease is gone from the store **and** this holder has heard nothing of the owner for
longer than the owner may believe that it was heard; at once where the owner has handed its work over. Who stands first
among the living holders claims first; each next one waits a step longer. One transaction claims all parts that are due,
on the condition that nothing in the store has changed that it rests on. Milliseconds of this relay's own monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.lease_validity import LeaseTerm
from ..fleet.records import FailoverClaim, State, Work, write_record
from ..fleet.roster import Roster
from ..fleet.store import Op, Put, Unless
from ..fleet.ownership import Step

STEP_MS = 250.0  # between the living holders of a part: two round trips to the store

Held = Mapping[tuple[str, int], str]  # (relay, epoch) -> name of the set of copies that is held here


class Claims:
    """One relay's. `heard` is told whenever anything comes from an owner on its link."""

    def __init__(self, relay: str, term: LeaseTerm, grace: float, began: float) -> None:
        """`began`: when this process began; what an earlier life heard is not known."""
        self._relay, self._term, self._grace, self._began = relay, term, grace, began
        self._heard: dict[tuple[str, int], float] = {}
        self._claimed: set[tuple[str, int]] = set()  # works of which a part was claimed here, or may have been

    def heard(self, owner: str, epoch: int, now: float) -> None:
        self._heard[owner, epoch] = now

    def forget(self, owner: str, epoch: int) -> None:
        self._heard.pop((owner, epoch), None)

    def claiming(self, owner: str, epoch: int) -> None:
        """From before the claim is sent, nothing of its owner is acknowledged any more: an acknowledgement says that
        nothing is claimed here for a while. An owner that hears of its holders and not of the store would go on."""
        self._claimed.add((owner, epoch))

    def not_claimed(self, owner: str, epoch: int) -> None:
        """For certain, nothing was."""
        self._claimed.discard((owner, epoch))

    def denies(self, roster: Roster, owner: str, epoch: int) -> bool:
        """Whether an owner's link is to be refused, since part of its work is this relay's, or may be."""
        return (owner, epoch) in self._claimed or self.is_claimer(roster, owner, epoch)

    def is_claimer(self, roster: Roster, owner: str, epoch: int) -> bool:
        """Whether the store has a claim of this relay on some part."""
        return any(at[:2] == (owner, epoch) and claim.relay == self._relay for at, claim in roster.claims.items())

    def opens_at(self, roster: Roster, owner: str, epoch: int) -> float | None:
        """From when on parts of a work may be claimed here; None while its owner is there, or its store's generation
        is another than now: what was known then cannot be checked any more."""
        work = roster.works.get((owner, epoch))
        if work is None or work.generation != roster.generation or not roster.known:
            return None
        if work.state is State.HANDED:
            return self._began
        keys = roster.keys
        if work.state is State.OWNED and owner in roster.members:
            return None
        still = max(self._began, self._heard.get((owner, epoch), self._began)) + self._term.still
        gone = roster.since.get(keys.member(owner), roster.since.get(keys.work(owner, epoch), 0.0))
        return max(still, gone + self._grace)

    def parts_due(self, roster: Roster, owner: str, epoch: int, now: float, held: Held) -> tuple[list[int], float]:
        """The parts that may be claimed now, and when to look again: infinity where only news can tell."""
        opens = self.opens_at(roster, owner, epoch)
        if opens is None:
            return [], float("inf")
        due, again = [], float("inf")
        for part, holders in enumerate(roster.works[owner, epoch].parts):
            if (owner, epoch, part) in roster.claims:
                continue
            rank = 0
            for holder in holders:
                if holder.relay == self._relay:
                    if held.get((owner, epoch)) != holder.holding:
                        break  # these copies are lost
                    at = opens + rank * STEP_MS
                    if at <= now:
                        due.append(part)
                    else:
                        again = min(again, at)
                    break
                rank += holder.relay in roster.members
        return due, again

    def claim(self, roster: Roster, owner: str, epoch: int, parts: list[int], my_epoch: int, lease: int) -> Step:
        """Claim these parts; the first claim of a work says that it is left."""
        keys, work = roster.keys, roster.works[owner, epoch]
        conditions: list[Unless] = roster.as_it_is(keys.work(owner, epoch), keys.generation, keys.member(self._relay))
        if work.state is State.OWNED:
            conditions += roster.as_it_is(keys.member(owner))
        ops: list[Op] = []
        if work.state is State.OWNED:
            ops.append(Put(keys.work(owner, epoch), write_record(Work(State.LEFT, work.generation, work.parts))))
        for part in parts:
            at = keys.claim(owner, epoch, part)
            conditions += roster.as_it_is(at)
            ops.append(Put(at, write_record(FailoverClaim(self._relay, my_epoch)), lease))
        return Step(f"parts {parts} of {owner} in epoch {epoch} are claimed", conditions, ops)

    def adopted(self, roster: Roster, owner: str, epoch: int, parts: list[int], my_epoch: int) -> Step:
        """Their messages are journaled and copied here: from its commit on they are this relay's. The claims no longer
        go with its lease: what comes of them after its death is its own holders'."""
        conditions: list[Unless] = []
        ops: list[Op] = []
        for part in parts:
            at = roster.keys.claim(owner, epoch, part)
            conditions += roster.as_it_is(at)
            ops.append(Put(at, write_record(FailoverClaim(self._relay, my_epoch, adopted=True))))
        return Step(f"parts {parts} of {owner} in epoch {epoch} are adopted", conditions, ops)


def is_over(roster: Roster, owner: str, epoch: int, me: str) -> bool:
    """Whether copies of a work can be forgotten here: its parts that this relay holds are adopted, it is no holder of
    any, or the work is gone."""
    if not roster.known:
        return False
    work = roster.works.get((owner, epoch))
    if work is None:
        return True
    mine = [part for part, holders in enumerate(work.parts) if any(holder.relay == me for holder in holders)]
    return not any(part in mine for part in roster.parts_left(owner, epoch))
