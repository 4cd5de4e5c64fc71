"""What is asked of a discovery that many relays share, and when."""

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


class Asking(unittest.TestCase):
    @in_world
    async def test_a_relay_with_a_list_asks_for_what_is_new_and_not_for_all_of_it(self, world: World) -> None:
        known = {"revision": 5, "complete": True, "members": [member(str(world.endpoint.address))]}
        world.revision = 5
        async with world.relay(known=known):
            await until(lambda: len(world.platform.requests) > 1)
        first, then = world.platform.requests[:2]
        self.assertEqual(first.query, "index=5&wait=1")  # an answer at once: the relay waits for it
        self.assertEqual(then.query, "index=5&wait=2000")
        async with world.relay(known=known | {"complete": False}):  # a part of a list is none
            await until(lambda: len(world.platform.requests) > 3)
        self.assertIn("", [request.query for request in world.platform.requests])

    @in_world
    async def test_a_discovery_that_turns_callers_away_is_asked_after_growing_pauses(self, world: World) -> None:
        """Forty relays that ask each tenth of a second keep a discovery overbooked that they overbooked."""
        kept, refusing = world.platform.handle, True

        async def refuses(request: Request) -> object:
            return (503, {}, b"") if refusing and request.path != "/reports" else await kept(request)

        world.platform.handle = refuses  # type: ignore[assignment]
        pauses: list[float] = []
        real = Backoff.next

        def next(backoff: Backoff) -> float:
            pauses.append(backoff._bound)
            return real(backoff) / 100

        known = {"revision": 1, "complete": True, "members": [member(str(world.endpoint.address))]}
        with mock.patch.object(Backoff, "next", next):
            async with world.relay(known=known, settings=SETTINGS | {"balancers": 40}) as relay:
                await until(lambda: len(pauses) > 6)
                self.assertGreater(pauses[5], 4 * pauses[0])
                self.assertEqual((await world.hand_in("a1")).status, 202)  # the list that it has serves
                await until(lambda: relay.idle)
                refusing = False
                await until(lambda: not relay._discovery._failures)
                told = len(pauses)
                refusing = True
                world.changed.set()
                await until(lambda: len(pauses) > told)
                self.assertEqual(pauses[told], pauses[0])  # an answer ends the back-off
        self.assertEqual(world.notices, [])

    @in_world
    async def test_a_discovery_that_moves_is_asked_at_its_new_address_at_once(self, world: World) -> None:
        """The watch that a move leaves counted as a failure, and a relay among 200 stayed away for up to 16 s: what
        began to drain meanwhile was called on."""
        known = {"revision": 1, "complete": True, "members": [member(str(world.endpoint.address))]}
        gone = member(str(world.endpoint.address), phase="Terminating")
        drains = {"revision": 9, "complete": True, "members": [gone]}

        async def told(request: Request) -> Answer:
            if "index" in request.query:
                await anyio.sleep_forever()
            return 200, {}, json.dumps(drains).encode()

        async with world.relay(known=known, settings=SETTINGS | {"balancers": 200}) as relay:
            await until(lambda: len(world.platform.requests) > 1)  # a watch is under way
            await self.moved_and_followed(relay, told)

    @in_world
    async def test_a_move_ends_a_pause_after_failures(self, world: World) -> None:
        async def refuses(request: Request) -> Answer:
            return 503, {}, b""

        async def told(request: Request) -> Answer:
            return 200, {}, json.dumps({"revision": 9, "complete": True, "members": []}).encode()

        world.platform.handle = refuses
        with mock.patch.object(Backoff, "next", lambda _: 3_600.0):
            async with world.relay(settings=SETTINGS | {"balancers": 200}) as relay:
                await until(lambda: relay._discovery._failures)
                await self.moved_and_followed(relay, told)

    async def moved_and_followed(self, relay: Relay, told: Callable[[Request], Awaitable[Answer]]) -> None:
        elsewhere = Party(told)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(elsewhere.run)
            moved = anyio.current_time()
            relay.follow(replace(relay._config, discovery=elsewhere.address))
            await until(lambda: len(elsewhere.requests) > 1)
            took = anyio.current_time() - moved
            tasks.cancel_scope.cancel()
        elsewhere.listener.close()
        self.assertLess(took, 0.2)  # a watch goes on if it is asked again within 200 ms
        self.assertEqual([request.query for request in elsewhere.requests[:2]], ["", "index=9&wait=2000"])

    def test_one_failure_never_keeps_a_relay_away_longer_than_news_may_be_unheard(self) -> None:
        for callers in (1, 3, 40, 200, 1000):
            for seed in range(50):
                self.assertLessEqual(Backoff(callers, seed).next(), 4.0)  # 6 s, less 2 s in which an agent may ask


if __name__ == "__main__":
    unittest.main()
