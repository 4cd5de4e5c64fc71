"""The coordination store as the fleet uses it: keys with revisions, leases, transactions, and a watch.

A small part of what etcd v3 offers (`etcd_store.py`); `memory_store.py` has it in memory, on a clock that tests set.
Keys are text, values bytes. A revision is a number that grows with each change of the store.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """The store did not answer. What was asked may have been done, and may yet be."""


class Compacted(StoreError):
    """A watch cannot go on from its revision: all is to be read anew."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key as it is: `revision` of its last change; `lease` that it goes with, 0 for none."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Seen:
    """All keys below a prefix, at a revision of the store."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changed:
    """One change that a watch tells: the key as it is now, or None where it is gone."""

    key: str
    item: Item | None
    revision: int


@dataclass(frozen=True, slots=True)
class Unless:
    """A condition of a transaction: the key's last change is of this revision; 0: there is no such key."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    key: str


Op = Put | Delete


class Store(Protocol):
    """Each call raises StoreError where no answer came in time."""

    async def read(self, prefix: str) -> Seen:
        """All that stands below a prefix."""

    async def commit(self, conditions: Sequence[Unless], ops: Sequence[Op]) -> int:
        """Do all of `ops` at once if every condition holds: the store's revision then; 0 where one does not hold."""

    async def grant(self, ttl_ms: float) -> int:
        """A new lease."""

    async def keep(self, lease: int) -> bool:
        """Renew a lease; False where there is none any more."""

    async def revoke(self, lease: int) -> None:
        """End a lease, and with it its keys."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[list[Changed]]:
        """What changes below a prefix after a revision, together what changed together. An empty list now and then, as
        a sign of life. Compacted where that is not known any more."""

    async def close(self) -> None: ...
