"""Requests to a discovery that many relays share: their targets, backoff and address changes."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import anyio

from world import SETTINGS, Answer, Party, World, in_world, member, until

from calicohitch.core.backoff import Backoff
from calicohitch.net.http import Request
from calicohitch.net.relay import Relay


class Polling(unittest.TestCase):
    @in_world
    async def test_a_relay_with_a_restored_list_requests_changes_only(self, world: World) -> None:
        known = {"revision": 5, "complete": True, "members": [member(str(world.endpoint.address))]}
        world.revision = 5
        async with world.relay(known=known):
            await until(lambda: len(world.platform.requests) > 1)
        first, second = world.platform.requests[:2]
        self.assertEqual(first.query, "index=5&wait=1")  # answered at once, since the relay waits for it
        self.assertEqual(second.query, "index=5&wait=2000")
        async with world.relay(known=known | {"complete": False}):  # an incomplete list does not count
            await until(lambda: len(world.platform.requests) > 3)
        self.assertIn("", [request.query for request in world.platform.requests])

    @in_world
    async def test_pauses_grow_while_discovery_refuses_requests(self, world: World) -> None:
        """Guards against retries that keep discovery overloaded: forty relays that each ask every 100 ms do."""
        original, refusing = world.platform.handle, True

        async def refuse(request: Request) -> object:
            return (503, {}, b"") if refusing and request.path != "/reports" else await original(request)

        world.platform.handle = refuse  # type: ignore[assignment]
        pauses: list[float] = []
        real_next = Backoff.next

        def next(backoff: Backoff) -> float:
            pauses.append(backoff._bound)
            return real_next(backoff) / 100

        known = {"revision": 1, "complete": True, "members": [member(str(world.endpoint.address))]}
        with mock.patch.object(Backoff, "next", next):
            async with world.relay(known=known, settings=SETTINGS | {"balancers": 40}) as relay:
                await until(lambda: len(pauses) > 6)
                self.assertGreater(pauses[5], 4 * pauses[0])
                self.assertEqual((await world.hand_in("a1")).status, 202)  # the list that the relay has is used
                await until(lambda: relay.idle)
                refusing = False
                await until(lambda: not relay._discovery._failures)
                pauses_before = len(pauses)
                refusing = True
                world.changed.set()
                await until(lambda: len(pauses) > pauses_before)
                self.assertEqual(pauses[pauses_before], pauses[0])  # an answer resets the backoff
        self.assertEqual(world.notices, [])

    @in_world
    async def test_discovery_is_polled_at_its_new_address_at_once(self, world: World) -> None:
        """Guards against counting the long poll that a move cancels as a failure: a relay among 200 then paused for up
        to 16 s, and endpoints that began to drain meanwhile were still called."""
        known = {"revision": 1, "complete": True, "members": [member(str(world.endpoint.address))]}
        draining = member(str(world.endpoint.address), phase="Terminating")
        update = {"revision": 9, "complete": True, "members": [draining]}

        async def answer(request: Request) -> Answer:
            if "index" in request.query:
                await anyio.sleep_forever()
            return 200, {}, json.dumps(update).encode()

        async with world.relay(known=known, settings=SETTINGS | {"balancers": 200}) as relay:
            await until(lambda: len(world.platform.requests) > 1)  # a long poll is in flight
            await self.assert_polled_after_move(relay, answer)

    @in_world
    async def test_a_move_ends_a_pause_after_failures(self, world: World) -> None:
        async def refuse(request: Request) -> Answer:
            return 503, {}, b""

        async def answer(request: Request) -> Answer:
            return 200, {}, json.dumps({"revision": 9, "complete": True, "members": []}).encode()

        world.platform.handle = refuse
        with mock.patch.object(Backoff, "next", lambda _: 3_600.0):
            async with world.relay(settings=SETTINGS | {"balancers": 200}) as relay:
                await until(lambda: relay._discovery._failures)
                await self.assert_polled_after_move(relay, answer)

    async def assert_polled_after_move(self, relay: Relay, answer: Callable[[Request], Awaitable[Answer]]) -> None:
        new_discovery = Party(answer)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(new_discovery.run)
            moved = anyio.current_time()
            relay.follow(replace(relay._config, discovery=new_discovery.address))
            await until(lambda: len(new_discovery.requests) > 1)
            took_s = anyio.current_time() - moved
            tasks.cancel_scope.cancel()
        new_discovery.listener.close()
        self.assertLess(took_s, 0.2)  # the limit for continuing a long poll at the new address
        self.assertEqual([request.query for request in new_discovery.requests[:2]], ["", "index=9&wait=2000"])

    def test_the_pause_after_one_failure_leaves_time_to_learn_of_a_change(self) -> None:
        for callers in (1, 3, 40, 200, 1000):
            for seed in range(50):
                # 6 s to learn of a change, less 2 s that an agent may take to answer.
                self.assertLessEqual(Backoff(callers, seed).next(), 4.0)


if __name__ == "__main__":
    unittest.main()
