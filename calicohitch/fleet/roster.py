"""The fleet as the store last told it. No I/O, no clock: milliseconds of the reader's own clock come in."""

from __future__ import annotations

from collections.abc import Iterable

from .records import Bad, FailoverClaim, Keys, Member, Work, read_record
from .store import Changed, Item, Seen, Unless


class Roster:
    """All records of one fleet, with the revisions that conditions need. `news` counts what changed."""

    def __init__(self, keys: Keys) -> None:
        self.keys = keys
        self.revision = 0  # of the store, as last seen
        self.generation = ""
        self.epochs: dict[str, int] = {}
        self.members: dict[str, Member] = {}
        self.works: dict[tuple[str, int], Work] = {}
        self.claims: dict[tuple[str, int, int], FailoverClaim] = {}
        self.since: dict[str, float] = {}  # when a key was seen to be there as it is, or a member's to be gone
        self.unread = 0  # records that cannot be read
        self.known = False  # it was read at least once
        self._revisions: dict[str, int] = {}
        self._leases: dict[str, int] = {}

    def store_rollbacks(self, seen: Seen, asked_at: int) -> bool:
        """Whether the store lost what it once told: its revision fell, or its generation is another. `asked_at`: the
        revision that was known when it was asked; a watch may have told of later ones since."""
        told = {item.key: item.value for item in seen.items}
        generation = told.get(self.keys.generation, b"").decode("ascii", "replace")
        later = seen.revision >= self.revision  # than all that is known
        other = bool(self.generation) and generation != self.generation
        return self.known and (seen.revision < asked_at or later and other)

    def replace(self, seen: Seen, now: float) -> None:
        """All is told anew."""
        there = {item.key for item in seen.items}
        for key in [key for key in self._revisions if key not in there]:
            self._apply(key, None, now)
        for item in seen.items:
            if self._revisions.get(item.key) != item.revision:
                self._apply(item.key, item, now)
        self.revision, self.known = seen.revision, True

    def apply(self, changes: Iterable[Changed], now: float) -> None:
        for change in changes:
            if change.item is None or change.item.revision > self._revisions.get(change.key, 0):
                self._apply(change.key, change.item, now)
            self.revision = max(self.revision, change.revision)

    def _apply(self, key: str, item: Item | None, now: float) -> None:
        parts = self.keys.parse(key)
        if not parts:
            return
        kind, named = parts[0], parts[1:]
        if item is None:
            self._revisions.pop(key, None)
            self._leases.pop(key, None)
        else:
            self._revisions[key] = item.revision
            self._leases[key] = item.lease
        self.since[key] = now
        try:
            self._set(kind, named, item)
        except (Bad, ValueError):
            self.unread += 1
            self._set(kind, named, None)
        if item is None and kind != "member":
            self.since.pop(key, None)

    def _set(self, kind: str, named: tuple[str, ...], item: Item | None) -> None:
        if kind == "generation":
            self.generation = item.value.decode("ascii", "replace") if item else ""
        elif kind == "epoch":
            if item is None:
                self.epochs.pop(named[0], None)
            else:
                self.epochs[named[0]] = int(item.value)
        elif kind == "member":
            if item is None:
                self.members.pop(named[0], None)
            else:
                self.members[named[0]] = read_record(item.value, Member)
        elif kind == "work":
            at = named[0], int(named[1])
            if item is None:
                self.works.pop(at, None)
            else:
                self.works[at] = read_record(item.value, Work)
        else:
            where = named[0], int(named[1]), int(named[2])
            if item is None:
                self.claims.pop(where, None)
            else:
                self.claims[where] = read_record(item.value, FailoverClaim)

    def as_it_is(self, *keys: str) -> list[Unless]:
        """Conditions that these keys are as they are known here."""
        return [Unless(key, self._revisions.get(key, 0)) for key in keys]

    def lease_of(self, key: str) -> int:
        return self._leases.get(key, 0)

    def there(self, key: str) -> bool:
        return key in self._revisions

    def parts_left(self, relay: str, epoch: int) -> list[int]:
        """Parts of a work that nobody has adopted yet, with holders or without."""
        work = self.works.get((relay, epoch))
        if work is None:
            return []
        return [
            part
            for part in range(len(work.parts))
            if not ((claim := self.claims.get((relay, epoch, part))) and claim.adopted)
        ]

    def works_of(self, relay: str) -> list[int]:
        """The epochs of a relay that the store has work of."""
        return sorted(epoch for name, epoch in self.works if name == relay)
