"""The coordination store in memory, for tests and models: leases by a clock that is handed in, and troubles on
demand."""

from __future__ import annotations

import copy
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field

import anyio

from .store import Changed, Compacted, Delete, Item, Op, Put, Seen, StoreError, Unless


@dataclass
class _State:
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # when it ends, its length
    revision: int = 1
    last_lease: int = 0


class MemoryStore:
    """`now` in milliseconds. `down`: nothing is answered. `deaf`: the next so many answers are lost after their
    commit. All methods but the async ones of `Store` act at once."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now, self._state = now, _State()
        self._log: list[Changed] = []
        self.compacted = 0  # revisions up to here are told no more
        self.down = False
        self.deaf = 0
        self.calls = 0

    # Acts, without waiting.

    def tick(self) -> None:
        """End the leases whose time is over."""
        now = self._now()
        for lease in [n for n, (ends, _) in self._state.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Also before its time."""
        if self._state.leases.pop(lease, None):
            gone = [key for key, item in self._state.items.items() if item.lease == lease]
            if gone:
                self._apply([Delete(key) for key in gone])

    def _apply(self, ops: Sequence[Op]) -> int:
        self._state.revision += 1
        for op in ops:
            if isinstance(op, Put):
                item = self._state.items[op.key] = Item(op.key, op.value, self._state.revision, op.lease)
                self._log.append(Changed(op.key, item, self._state.revision))
            elif self._state.items.pop(op.key, None):
                self._log.append(Changed(op.key, None, self._state.revision))
        return self._state.revision

    def commit_now(self, conditions: Sequence[Unless], ops: Sequence[Op]) -> int:
        self.tick()
        items = self._state.items
        if any((items[one.key].revision if one.key in items else 0) != one.revision for one in conditions):
            return 0
        if any(isinstance(op, Put) and op.lease and op.lease not in self._state.leases for op in ops):
            return 0
        return self._apply(ops)

    def read_now(self, prefix: str) -> Seen:
        self.tick()
        found = sorted(
            (item for key, item in self._state.items.items() if key.startswith(prefix)), key=lambda item: item.key
        )
        return Seen(tuple(found), self._state.revision)

    def grant_now(self, ttl_ms: float) -> int:
        self._state.last_lease += 1
        self._state.leases[self._state.last_lease] = (self._now() + ttl_ms, ttl_ms)
        return self._state.last_lease

    def keep_now(self, lease: int) -> bool:
        self.tick()
        if lease not in self._state.leases:
            return False
        length = self._state.leases[lease][1]
        self._state.leases[lease] = (self._now() + length, length)
        return True

    # Troubles.

    def copied(self) -> _State:
        return copy.deepcopy(self._state)

    def put_back(self, state: _State | None = None) -> None:
        """Go back to a copy, or to nothing."""
        self._state = copy.deepcopy(state) if state else _State()
        self._log = [change for change in self._log if change.revision <= self._state.revision]

    # As a store.

    async def _answer(self, done: bool = False) -> None:
        self.calls += 1
        await anyio.sleep(0)
        if self.down or (done and self.deaf > 0):
            self.deaf -= done and not self.down
            raise StoreError("the store does not answer")

    async def read(self, prefix: str) -> Seen:
        await self._answer()
        return self.read_now(prefix)

    async def commit(self, conditions: Sequence[Unless], ops: Sequence[Op]) -> int:
        await self._answer()
        done = self.commit_now(conditions, ops)
        if self.deaf > 0:
            await self._answer(done=True)
        return done

    async def grant(self, ttl_ms: float) -> int:
        await self._answer()
        return self.grant_now(ttl_ms)

    async def keep(self, lease: int) -> bool:
        await self._answer()
        return self.keep_now(lease)

    async def revoke(self, lease: int) -> None:
        await self._answer()
        self.end_lease(lease)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[list[Changed]]:
        while True:
            if self.down:
                raise StoreError("the store does not answer")
            if after < self.compacted:
                raise Compacted("the watch's revision is compacted")
            self.tick()
            changes = [change for change in self._log if change.revision > after and change.key.startswith(prefix)]
            after = max([after, *(change.revision for change in changes)])
            yield changes
            await anyio.sleep(0.02)

    async def close(self) -> None:
        pass
