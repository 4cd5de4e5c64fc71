"""The store by etcd's interface, against the stand-in; and the one in memory, by the same expectations."""

from __future__ import annotations

import asyncio
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from calicohitch.config.platform import Address
from calicohitch.fleet.etcd_store import EtcdStore
from calicohitch.fleet.memory_store import MemoryStore
from calicohitch.fleet.store import Changed, Compacted, Delete, Put, Store, StoreError, Unless
from fake_servers.etcd import Etcd

Test = Callable[[Store, Any], Awaitable[None]]


def on_both(test: Callable[[Any, Store, Any], Awaitable[None]]) -> Callable[[Any], None]:
    """Run a test on each store; `trouble` is the stand-in or the memory."""

    def run(self: Any) -> None:
        async def on_etcd() -> None:
            etcd = Etcd()
            await etcd.start()
            store = EtcdStore(Address("127.0.0.1", etcd.port), 500)
            try:
                with anyio.fail_after(20):
                    await test(self, store, etcd)
            finally:
                await store.close()
                await etcd.stop()

        async def in_memory() -> None:
            store = MemoryStore(lambda: time.monotonic() * 1e3)
            with anyio.fail_after(20):
                await test(self, store, store)

        for each in (in_memory, on_etcd):
            with self.subTest(each.__name__):
                asyncio.run(each())

    return run


class Stores(unittest.TestCase):
    @on_both
    async def test_transactions_hold_or_do_nothing(self, store: Store, _: Any) -> None:
        first = await store.commit([Unless("/f/a", 0)], [Put("/f/a", b"1"), Put("/f/b", b"2")])
        self.assertGreater(first, 0)
        self.assertEqual(await store.commit([Unless("/f/a", 0)], [Put("/f/b", b"3")]), 0)
        seen = await store.read("/f/")
        self.assertEqual([(item.key, item.value) for item in seen.items], [("/f/a", b"1"), ("/f/b", b"2")])
        self.assertGreater(await store.commit([Unless("/f/a", seen.items[0].revision)], [Delete("/f/a")]), first)
        self.assertEqual([item.key for item in (await store.read("/f/")).items], ["/f/b"])
        self.assertEqual((await store.read("/other/")).items, ())

    @on_both
    async def test_keys_go_with_their_lease(self, store: Store, _: Any) -> None:
        lease = await store.grant(1_000)
        await store.commit([], [Put("/f/a", b"1", lease), Put("/f/b", b"2")])
        for _ in range(3):
            await anyio.sleep(0.5)
            self.assertTrue(await store.keep(lease))
        self.assertEqual(len((await store.read("/f/")).items), 2)
        await anyio.sleep(1.3)
        self.assertEqual([item.key for item in (await store.read("/f/")).items], ["/f/b"])
        self.assertFalse(await store.keep(lease))
        other = await store.grant(60_000)
        await store.commit([], [Put("/f/c", b"1", other)])
        await store.revoke(other)
        self.assertEqual([item.key for item in (await store.read("/f/")).items], ["/f/b"])

    @on_both
    async def test_a_watch_tells_what_changed_since_a_revision(self, store: Store, _: Any) -> None:
        await store.commit([], [Put("/f/a", b"0")])
        start = (await store.read("/f/")).revision
        await store.commit([], [Put("/f/a", b"1"), Put("/g/z", b"1")])
        await store.commit([], [Delete("/f/a")])
        found: list[Changed] = []
        watch = store.watch("/f/", start)
        while len(found) < 2:
            found += await anext(watch)
        self.assertEqual(
            [(change.key, change.item.value if change.item else None) for change in found],
            [("/f/a", b"1"), ("/f/a", None)],
        )
        self.assertLess(found[0].revision, found[1].revision)
        await watch.aclose()  # type: ignore[attr-defined]

    @on_both
    async def test_a_lost_answer_may_have_been_done(self, store: Store, trouble: Any) -> None:
        trouble.deaf = 1
        with self.assertRaises(StoreError):
            await store.commit([], [Put("/f/a", b"1")])
        self.assertEqual([item.value for item in (await store.read("/f/")).items], [b"1"])

    @on_both
    async def test_a_store_that_is_away_comes_back(self, store: Store, trouble: Any) -> None:
        await store.commit([], [Put("/f/a", b"1")])
        trouble.down = True
        with self.assertRaises(StoreError):
            await store.read("/f/")
        trouble.down = False
        self.assertEqual(len((await store.read("/f/")).items), 1)

    @on_both
    async def test_a_compacted_watch_says_so(self, store: Store, trouble: Any) -> None:
        for n in range(3):
            await store.commit([], [Put("/f/a", str(n).encode())])
        if isinstance(trouble, Etcd):
            trouble.compact()
        else:
            trouble.compacted = 3
        with self.assertRaises(Compacted):
            watch = store.watch("/f/", 1)
            while True:
                await anext(watch)

    @on_both
    async def test_a_store_that_went_back_tells_a_lower_revision(self, store: Store, trouble: Any) -> None:
        await store.commit([], [Put("/f/a", b"1")])
        older = trouble.saved() if isinstance(trouble, Etcd) else trouble.copied()
        await store.commit([], [Put("/f/a", b"2")])
        high = (await store.read("/f/")).revision
        trouble.put_back(older)
        seen = await store.read("/f/")
        self.assertLess(seen.revision, high)
        self.assertEqual(seen.items[0].value, b"1")


if __name__ == "__main__":
    unittest.main()
