"""A membership on the store in memory, with its waits: what a single turn of the decisions cannot show."""

from __future__ import annotations

import asyncio
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio

from calicohitch.config.platform import Address
from calicohitch.fleet.membership import Membership
from calicohitch.fleet.memory_store import MemoryStore
from calicohitch.fleet.lease_validity import LeaseValidity, LeaseTerm
from calicohitch.fleet.records import Keys, Member
from calicohitch.fleet.settings import FleetSettings
from calicohitch.fleet.store import Seen
from calicohitch.fleet.ownership import Ownership
from calicohitch.recovery.problems import NameTaken

KEYS = Keys("test")
HERE = Address("127.0.0.1", 1)
SETTINGS = FleetSettings("test", HERE, HERE, ttl_ms=600.0, renew_ms=100.0, pause_ms=50.0, store_timeout_ms=100.0)


def now() -> float:
    return time.monotonic() * 1e3


class Slow(MemoryStore):
    """Its answers to reads of all arrive late."""

    late_s = 0.0

    async def read(self, prefix: str) -> Seen:
        seen = await super().read(prefix)
        if prefix == KEYS.prefix:
            await anyio.sleep(self.late_s)
        return seen


def in_loop(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    def run(self: Any) -> None:
        async def bounded() -> None:
            with anyio.fail_after(20):
                await test(self)

        asyncio.run(bounded())

    return run


class Memberships(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)
        self.store = Slow(now)

    def member(self, name: str, folder: str = "") -> Membership:
        place = self.folder / (folder or name)
        place.mkdir(exist_ok=True)
        return Membership(
            self.store,
            Ownership(KEYS, name, 2, Member(0, 1, f"{name}:1")),
            LeaseValidity(LeaseTerm(600.0, 50.0)),
            place,
            SETTINGS,
            now,
        )

    @in_loop
    async def test_a_read_that_arrives_behind_the_watch_is_no_store_that_went_back(self) -> None:
        """Two relays began a new generation by this, and what a third had in hand when it was lost was never
        claimed."""
        one, other = self.member("r0"), self.member("r1")
        await one.begin()
        await other.begin()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            self.store.late_s = 0.08  # below the time that is waited for an answer
            for _ in range(12):
                tasks.start_soon(one.read)
                await other.commit(other.ownership.publish(other.roster, [(), ()]))
                self.store.late_s, late = 0.0, self.store.late_s
                await other.read()
                self.store.late_s = late
                await anyio.sleep(0.03)
            tasks.cancel_scope.cancel()
        self.assertEqual((one.store_rollbacks, other.store_rollbacks), (0, 0))

    @in_loop
    async def test_a_lease_that_ended_early_is_taken_anew_in_the_same_epoch(self) -> None:
        one = self.member("r0")
        await one.begin()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            await anyio.sleep(0.15)
            self.store.end_lease(one.lease)
            await anyio.sleep(0.4)
            self.assertTrue(one.validity.holds(now(), ["x"]))
            self.assertEqual((one.ownership.epoch, one.validity.passed), (1, ""))
            tasks.cancel_scope.cancel()

    @in_loop
    async def test_an_answer_that_was_lost_is_settled_by_what_stands_there(self) -> None:
        one = self.member("r0")
        self.store.deaf = 2  # the generation, and the registration
        await one.begin()
        self.assertTrue(one.ownership.is_mine(one.roster, one.lease))
        self.assertEqual(len([item for item in self.store.read_now(KEYS.prefix).items if "/member/" in item.key]), 1)

    @in_loop
    async def test_proof_ends_with_the_store_and_comes_back_with_it(self) -> None:
        one = self.member("r0")
        await one.begin()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            self.store.down = True
            await anyio.sleep(0.75)
            self.assertFalse(one.validity.holds(now(), ["x"]))
            self.store.down = False
            await anyio.sleep(0.5)
            self.assertTrue(one.validity.holds(now(), ["x"]))
            tasks.cancel_scope.cancel()

    @in_loop
    async def test_a_second_of_its_name_waits_and_ends_unless_it_has_the_folder(self) -> None:
        one = self.member("r0")
        await one.begin()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            with self.assertRaisesRegex(NameTaken, "give this relay a name of its own"):
                await self.member("r0", "elsewhere").begin()
            again = self.member("r0")  # a later life on the same folder
            await again.begin()
            self.assertEqual(again.ownership.epoch, 2)
            await anyio.sleep(0.3)
            self.assertIn("a later one has begun", one.validity.passed)
            tasks.cancel_scope.cancel()

    @in_loop
    async def test_a_watch_begins_anew_on_a_store_that_went_back(self) -> None:
        """It waited for a revision above all that it had seen, and a lost relay's work was never claimed."""
        one, other = self.member("r0"), self.member("r1")
        await one.begin()
        await other.begin()
        for _ in range(30):
            await other.commit(other.ownership.publish(other.roster, [(), ()]))
            await other.read()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            await anyio.sleep(0.3)
            self.store.put_back()
            await anyio.sleep(0.5)  # it registered again
            await other.read()
            await other.commit(other.ownership.reassert(other.roster, 0))
            await anyio.sleep(0.2)  # below the time of the next renewal's reading of all
            self.assertIn("r1", one.roster.members)
            tasks.cancel_scope.cancel()

    @in_loop
    async def test_a_store_that_lost_everything_is_told_all_anew(self) -> None:
        one, other = self.member("r0"), self.member("r1")
        await one.begin()
        await other.begin()
        before = one.roster.generation
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(one.run)
            tasks.start_soon(other.run)
            await anyio.sleep(0.2)
            self.store.put_back()
            await anyio.sleep(0.8)
            self.assertEqual(one.roster.generation, other.roster.generation)
            self.assertNotEqual(one.roster.generation, before)
            self.assertEqual((one.validity.passed, other.validity.passed), ("", ""))
            self.assertTrue(one.validity.holds(now(), ["x"]) and other.validity.holds(now(), ["x"]))
            self.assertEqual((one.ownership.epoch, other.ownership.epoch), (1, 1))
            tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
