"""One relay in the fleet: registers, renews its lease, follows what the store tells, and says when its tenure is
passed.

All decisions are in `ownership.py`, `roster.py` and `lease_validity.py`; here is what waits for the store. Each
question to it has a time limit, and one whose answer is lost is settled by reading what stands there.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import TypeVar

import anyio
from loguru import logger

from ..core.change_notifier import ChangeNotifier
from ..recovery.problems import NameTaken
from .lease_validity import LeaseValidity
from .roster import Roster
from .settings import FleetSettings
from .store import Changed, Compacted, Seen, Store, StoreError
from .ownership import StoredEpoch, Step, ReclaimedWork, Ownership, encode_stored_epoch, decode_stored_epoch

T = TypeVar("T")
_FILE = "fleet"
_AGAIN_S = 0.25
_SILENT_S = 15.0  # a watch that gives no sign for so long is opened anew
_NAME_WAIT_TTLS = 3.0  # a start waits so many leases for another life of its name to go


class Membership:
    """`now`: the relay's clock in milliseconds, which runs on while others step. `on_passed`: told once, why."""

    def __init__(
        self,
        store: Store,
        ownership: Ownership,
        validity: LeaseValidity,
        folder: Path,
        settings: FleetSettings,
        now: Callable[[], float],
    ) -> None:
        self.store, self.ownership, self.validity, self.roster = store, ownership, validity, Roster(ownership.keys)
        self._path, self._set, self._now = folder / _FILE, settings, now
        self.lease = 0
        self.kept = self._read_kept()
        self.changes = ChangeNotifier()
        self.on_passed: Callable[[str], None] = lambda _why: None
        self.registered = False
        self.store_rollbacks = 0  # times that the store was found empty or gone back
        self.failures = 0  # questions in a row without an answer
        self._leaving = False
        self._watching = anyio.CancelScope()

    # The folder.

    def _read_kept(self) -> StoredEpoch:
        try:
            return decode_stored_epoch(self._path.read_bytes())
        except FileNotFoundError:
            return StoredEpoch()

    def keep(self, kept: StoredEpoch) -> None:
        """Note what the folder's messages belong to. Written beside, then renamed: a kill leaves the old or the new."""
        if kept == self.kept:
            return
        beside = self._path.with_suffix(".new")
        beside.write_bytes(encode_stored_epoch(kept))
        os.replace(beside, self._path)
        self.kept = kept

    # Questions to the store.

    async def _asked(self, ask: Callable[[], Awaitable[T]]) -> T:
        try:
            with anyio.fail_after(2 * self._set.store_timeout_ms / 1e3):  # the store's own limit comes first
                answer = await ask()
        except (StoreError, TimeoutError, OSError) as err:
            if not self.failures:
                logger.bind(event="fleet.store").warning("the coordination store: {}: {}", type(err).__name__, err)
            self.failures += 1
            raise StoreError(str(err)) from err
        if self.failures:
            logger.bind(event="fleet.store_back").info(
                "the coordination store answers again, after {} failures", self.failures
            )
        self.failures = 0
        return answer

    async def commit(self, step: Step) -> bool | None:
        """Whether a transaction was done; None where no answer came: it may have been, or may yet be."""
        try:
            revision = await self._asked(lambda: self.store.commit(step.conditions, step.ops))
        except StoreError:
            return None
        if revision:
            logger.bind(event="fleet.step", revision=revision).info("fleet: {}", step.why)
        return bool(revision)

    async def read(self) -> bool:
        """Read all anew; False where no answer came."""
        asked_at = self.roster.revision
        try:
            seen = await self._asked(lambda: self.store.read(self.roster.keys.prefix))
        except StoreError:
            return False
        if self.roster.store_rollbacks(seen, asked_at):
            await self._gone_back(seen)
        elif seen.revision >= self.roster.revision:  # else the watch has told of more since
            self._replace(seen)
        return True

    def _replace(self, seen: Seen) -> None:
        self.roster.replace(seen, self._now())
        self._changed()

    async def _gone_back(self, seen: Seen) -> None:
        """The store lost what it told. Nothing of before is claimed any more: a new generation begins, unless another
        relay has begun one."""
        self.store_rollbacks += 1
        self._watching.cancel()  # it waits for a revision that comes long after what changes now
        before = self.roster.generation
        logger.bind(event="fleet.went_back", before=self.roster.revision, now=seen.revision).error(
            "the coordination store went back from revision {} to {}: what relays that die now had in hand waits for "
            "their own folders",
            self.roster.revision,
            seen.revision,
        )
        self.roster.replace(seen, self._now())
        if self.roster.generation in ("", before):
            await self._generate()
            with suppress(StoreError):
                again = await self._asked(lambda: self.store.read(self.roster.keys.prefix))
                self.roster.replace(again, self._now())
        self._changed()

    async def _generate(self) -> None:
        await self.commit(self.ownership.generate(self.roster, secrets.token_hex(8)))

    def _changed(self) -> None:
        if (
            self.registered
            and not self._leaving
            and not self.validity.passed
            and (why := self.ownership.look(self.roster))
        ):
            self.validity.passed = why
            logger.bind(event="fleet.passed").error("{}", why)
            self.on_passed(why)
        self.changes.notify()

    # A tenure.

    async def begin(self) -> ReclaimedWork:
        """Register, and settle whose the folder's messages are. Tries until the store answers; NameTaken where another
        process keeps the name alive."""
        wait_until = self._now() + _NAME_WAIT_TTLS * self._set.ttl_ms
        while True:
            if not await self.read():
                await anyio.sleep(_AGAIN_S)
                wait_until = self._now() + _NAME_WAIT_TTLS * self._set.ttl_ms
                continue
            if not self.roster.generation:
                await self._generate()
                continue
            if not self.ownership.epoch and (why := self.ownership.taken_by(self.roster, self.kept)):
                if self._now() > wait_until:
                    raise NameTaken(f"{why}: stop that process, or give this relay a name of its own (NODE_NAME)")
                await anyio.sleep(_AGAIN_S)
                continue
            if not await self._registered():
                await anyio.sleep(_AGAIN_S)
                continue
            taken, step = self.ownership.resume(self.roster, self.kept)
            if step is None or await self.commit(step):
                break
            await self.read()
        self.keep(StoredEpoch(self.ownership.epoch, False, self.roster.generation))
        await self.read()
        self.registered = True
        self._changed()
        return taken

    async def _registered(self) -> bool:
        """Whether the store has this life's record."""
        if self.ownership.epoch and self.ownership.is_mine(self.roster, self.lease):
            return True
        sent = self._now()
        try:
            lease = await self._asked(lambda: self.store.grant(self._set.ttl_ms))
        except StoreError:
            return False
        self.lease = lease
        epoch, step = self.ownership.register(self.roster, self.kept, lease)
        done = await self.commit(step)
        if done is None:  # its answer was lost: what stands there tells
            self.ownership.begun(epoch)
            if not (await self.read() and self.ownership.is_mine(self.roster, lease)):
                return False
        elif not done:
            return False
        self.ownership.begun(epoch)
        self.validity.renewed(sent)
        return await self.read()

    async def run(self) -> None:
        """Renew and follow, until the tenure is passed or ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            tasks.start_soon(self._renew)

    async def _renew(self) -> None:
        while not self.validity.passed and not self._leaving:
            began = self._now()
            await self.renew()
            await anyio.sleep(max(0.05, (self._set.renew_ms - (self._now() - began)) / 1e3))

    async def renew(self) -> None:
        """Once: read this relay's record and renew its lease; where that is gone, see what became of it."""
        sent, asked_at = self._now(), self.roster.revision
        try:
            seen = await self._asked(lambda: self.store.read(self.ownership.keys.member(self.ownership.relay)))
            mine = [item for item in seen.items if item.lease == self.lease]
            work = self.roster.works.get((self.ownership.relay, self.ownership.epoch))
            stale = work is not None and work.generation != self.roster.generation
            if (
                seen.revision < asked_at
                or stale
                or not mine
                or not await self._asked(lambda: self.store.keep(self.lease))
            ):
                self.validity.expired()
                await self._again()
                return
        except StoreError:
            return  # what was proved before holds for its time
        self.validity.renewed(sent)

    async def _again(self) -> None:
        """The lease is gone, or the store went back. If nobody claimed anything meanwhile the same epoch goes on."""
        if not await self.read() or self.validity.passed:
            return
        if not self.roster.generation:
            await self._generate()
            if not await self.read():
                return
        sent = self._now()
        try:
            lease = await self._asked(lambda: self.store.grant(self._set.ttl_ms))
        except StoreError:
            return
        if await self.commit(self.ownership.reassert(self.roster, lease)):
            self.lease = lease
            self.validity.renewed(sent)
            self.keep(StoredEpoch(self.ownership.epoch, self.kept.published, self.roster.generation))
        await self.read()

    async def _follow(self) -> None:
        """Hear of changes; where the watch ends, read all and go on from there."""
        while not self.validity.passed and not self._leaving:
            watch = self.store.watch(self.roster.keys.prefix, self.roster.revision)
            try:
                with anyio.CancelScope() as self._watching:
                    while True:
                        with anyio.fail_after(_SILENT_S):
                            changes: list[Changed] = await anext(watch)
                        if any(change.key == self.roster.keys.generation for change in changes):
                            break  # another relay found that the store went back
                        if changes:
                            self.roster.apply(changes, self._now())
                            self._changed()
            except Compacted:
                logger.bind(event="fleet.compacted").info("the store's watch was compacted: all is read anew")
            except (StoreError, TimeoutError, OSError, StopAsyncIteration):
                await anyio.sleep(_AGAIN_S)
            finally:
                await _closed(watch)
            await self.read()

    async def publish(self, step: Step) -> bool | None:
        """Name holders of copies; noted in the folder first, since from then on others may claim."""
        if not self.kept.published:
            self.keep(StoredEpoch(self.ownership.epoch, True, self.roster.generation))
        return await self.commit(step)

    async def leave(self) -> None:
        """Let go of all of this tenure's work."""
        self._leaving = True
        for _ in range(3):
            done = await self.commit(self.ownership.hand_over(self.roster))
            if done:
                with suppress(StoreError):
                    await self._asked(lambda: self.store.revoke(self.lease))
                return
            if done is None or not await self.read():
                return  # the lease runs out by itself
            if not self.ownership.is_mine(self.roster, self.lease):
                return


async def _closed(watch: AsyncIterator[list[Changed]]) -> None:
    if (close := getattr(watch, "aclose", None)) is not None:
        with anyio.CancelScope(shield=True), suppress(Exception):
            await close()
