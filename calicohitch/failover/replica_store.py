"""Copies of other relays' work that this relay holds, each set in a folder of its own below the relay's folder.

A set is one owner's in one epoch: a journal of its records as they came, and a file `held` that names it. It outlasts
the process; what can no longer be claimed is removed. All sets together keep within a bound.
"""

from __future__ import annotations

import json
import secrets
import shutil
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from urllib.parse import quote, unquote

from loguru import logger

from ..core.files import replace_text
from ..core.system_errors import RETRY_PAUSE_S, Retry, Step, trouble
from ..fleet.records import part_of
from ..journal import Entry, Journal, JournalFull
from .offsets import Offset

_MOST_OWNERS = 256
_NAME = "held"  # the file that names a set
_READS = 10  # of a set that cannot be read, before it is left as it is


class NoRoom(Exception):
    """The copy cannot be held: the bound is met, or the disk does not take it."""


class ReplicaSet:
    """The copies of one owner's work in one epoch. `name` tells this set from another of the same that was lost."""

    def __init__(
        self, folder: Path, owner: str, epoch: int, parts: int, name: str, budget: int, gave_up: Iterable[int] = ()
    ) -> None:
        """`gave_up`: parts that there was no room for, which are not claimed from here."""
        self.folder, self.owner, self.epoch, self.parts, self.name = folder, owner, epoch, parts, name
        self.gave_up = set(gave_up)
        self._budget = budget
        self.journal = Journal(folder, budget, own_times=False)
        self.waits: dict[int, float] = {}  # route -> until when, by the owner's clock
        self.offset = Offset()
        self.whole_at = 0.0  # by the owner's clock: all that it did before then has come
        self.linked = 0  # links that bring it
        self.idle_since = 0.0
        self._part: dict[int, int] = {n: part_of(entry.id, parts) for n, entry in self.journal.entries.items()}
        self._fresh: dict[int, set[int]] = {}  # part -> messages told since its Begin
        self.doubtful = {n for n, entry in self.journal.entries.items() if entry.doubtful}
        self.journal.entries.clear()

    def __len__(self) -> int:
        return len(self._part)

    def note(self) -> None:
        """Write what names this set."""
        told = {"name": self.name, "parts": self.parts, "gave_up": sorted(self.gave_up)}
        replace_text(self.folder / _NAME, json.dumps(told))

    def begin(self, part: int) -> None:
        self._fresh[part] = set()

    def give_up(self, part: int) -> None:
        """There is no room for it: what is held of it is not all, and is not claimed until all is told anew."""
        self.drop(part)
        if part not in self.gave_up:
            self.gave_up.add(part)
            with suppress(OSError):  # a disk that takes nothing: this life knows it, and the owner is told
                self.note()

    def record(self, part: int, payload: bytes) -> None:
        """NoRoom where it cannot be written, ValueError where it is no record."""
        try:
            number = self.journal.append_replica(payload)
        except JournalFull as err:
            raise NoRoom(str(err)) from err
        if self.journal.is_open(number):
            self._part[number] = part
            if part in self._fresh:
                self._fresh[part].add(number)
        else:
            self._part.pop(number, None)

    def whole(self, part: int) -> None:
        """What the owner did not tell of since `begin` is over."""
        told = self._fresh.pop(part, None)
        if told is not None:
            for number in [n for n, at in self._part.items() if at == part and n not in told]:
                self._over(number)
            if part in self.gave_up:
                self.gave_up.discard(part)
                with suppress(OSError):
                    self.note()

    def drop(self, part: int) -> None:
        self._fresh.pop(part, None)
        for number in [n for n, at in self._part.items() if at == part]:
            self._over(number)

    def _over(self, number: int) -> None:
        self._part.pop(number, None)
        try:
            self.journal.record_closed(number)
        except JournalFull:
            pass  # a claim of it later is harmless: the part is not this relay's any more, or is told anew

    def claimed(self, parts: Iterable[int], now: float, clock_error: float) -> list[Entry]:
        """The messages of these parts, their times moved to this relay's clock, each as early as it can have been: the
        safe side of a key that is remembered and of a deadline; the end of an attempt that may be out as late.
        `clock_error`: by so much two relays' clocks may differ, where nothing was heard of the owner in this life."""
        self.journal.close()
        self.journal = Journal(self.folder, self._budget, own_times=False)
        wanted = set(parts)
        shift = self._earliest(now, clock_error)
        latest = self.offset.highest(now)
        if latest == float("inf"):
            latest = clock_error
        found = []
        for entry in self.journal.entries.values():
            if part_of(entry.id, self.parts) in wanted:
                moved = replace(
                    entry,
                    deadline=entry.deadline + shift,
                    complete_until=entry.complete_until + shift,
                    attempts=[
                        replace(
                            attempt,
                            sent_at=attempt.sent_at + shift,
                            until=attempt.until + latest if attempt.until else 0.0,
                        )
                        for attempt in entry.attempts
                    ],
                )
                moved.doubtful = moved.doubtful or entry.number in self.doubtful
                found.append(moved)
        self.journal.entries.clear()
        return found

    def complete_until(self, now: float, clock_error: float) -> float:
        """Up to this time, by this relay's clock and as early as it can have been, all that the owner did is here."""
        return self.whole_at + self._earliest(now, clock_error)

    def _earliest(self, now: float, clock_error: float) -> float:
        """What makes a time of the owner's the earliest that it can be here."""
        shift = self.offset.lowest(now)
        return shift if shift > float("-inf") else -clock_error

    def told_waits(self, now: float) -> dict[int, float]:
        """Routes with a told wait, and until when by this relay's clock, as late as that can be."""
        high = self.offset.highest(now)
        return {route: until + high for route, until in self.waits.items() if now < until + high < float("inf")}


class ReplicaStore:
    """All sets."""

    def __init__(self, folder: Path, budget: int, now: Callable[[], float]) -> None:
        self._folder, self._budget, self._now = folder, budget, now
        self._sets: dict[tuple[str, int], ReplicaSet] = {}
        self.refused = 0  # sets or records that there was no room for
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(folder.iterdir()):
            self._load(path)

    def _load(self, path: Path) -> None:
        """A set that an earlier life held. What cannot be one is removed, since nobody can claim it; what cannot be
        read for a moment is tried again, and then left as it is for a later life."""
        for last in (*[False] * _READS, True):
            try:
                held = self._read(path)
            except OSError as err:
                if trouble(err, Step.FILE).retry is Retry.NEVER:
                    self._discard(path, err)
                    return
                if last:
                    logger.bind(event="takeover.unread").warning("copies in {} cannot be read now: {}", path, err)
                    return
                time.sleep(RETRY_PAUSE_S)
            except (ValueError, KeyError, TypeError) as err:
                self._discard(path, err)
                return
            else:
                held.idle_since = self._now()
                self._sets[held.owner, held.epoch] = held
                return

    def _read(self, path: Path) -> ReplicaSet:
        told = json.loads((path / _NAME).read_text(encoding="utf-8"))
        owner, epoch = unquote(path.name.rpartition(".")[0]), int(path.name.rpartition(".")[2])
        return ReplicaSet(
            path,
            owner,
            epoch,
            int(told["parts"]),
            str(told["name"]),
            self._budget,
            [int(part) for part in told.get("gave_up", ())],
        )

    @staticmethod
    def _discard(path: Path, err: Exception) -> None:
        logger.bind(event="takeover.unread").warning("copies in {} cannot be read and are removed: {}", path, err)
        shutil.rmtree(path, ignore_errors=True)

    def __iter__(self) -> Iterator[ReplicaSet]:
        return iter(list(self._sets.values()))

    def __len__(self) -> int:
        return len(self._sets)

    def names(self) -> dict[tuple[str, int], str]:
        return {at: held.name for at, held in self._sets.items()}

    def get(self, owner: str, epoch: int) -> ReplicaSet | None:
        return self._sets.get((owner, epoch))

    def used(self) -> int:
        return sum(held.journal.used() for held in self._sets.values())

    def open(self, owner: str, epoch: int, parts: int) -> ReplicaSet:
        """The set of an owner's work, a new one where there is none. NoRoom where it cannot be made."""
        found = self._sets.get((owner, epoch))
        if found is not None and found.parts == parts:
            return found
        if found is not None:
            self.remove(found)
        if len(self._sets) >= _MOST_OWNERS or self.used() >= self._budget:
            self.refused += 1
            raise NoRoom("all room for copies is taken")
        path = self._folder / f"{quote(owner, safe='')}.{epoch}"
        name = secrets.token_hex(6)
        try:
            shutil.rmtree(path, ignore_errors=True)
            path.mkdir()
            held = ReplicaSet(path, owner, epoch, parts, name, self._budget)
            held.note()
        except OSError as err:
            raise NoRoom(str(err)) from err
        self._sets[owner, epoch] = held
        return held

    def record(self, held: ReplicaSet, part: int, payload: bytes) -> None:
        """NoRoom past the bound of all sets."""
        if len(payload) + self.used() > self._budget:
            self.refused += 1
            raise NoRoom("all room for copies is taken")
        held.record(part, payload)

    def remove(self, held: ReplicaSet) -> None:
        """Nobody can claim it here any more."""
        held.journal.close()
        self._sets.pop((held.owner, held.epoch), None)
        shutil.rmtree(held.folder, ignore_errors=True)

    def close(self) -> None:
        for held in self._sets.values():
            held.journal.close()
