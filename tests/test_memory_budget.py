"""What clients and messages hold is bounded by the memory limit of the settings."""

from __future__ import annotations

import unittest

import anyio
from world import SETTINGS, World, in_world, member, until

from calicohitch.core.memory_budget import (
    ENDED_MESSAGE_BYTES,
    OPEN_MESSAGE_BYTES,
    MemoryBudget,
    MemoryUse,
    divide_memory,
)
from calicohitch.journal import End
from calicohitch.net.http import Link
from calicohitch.net.notices import Notice

MB = 1_000_000
HEAD = b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: big\r\nContent-Length: 60000\r\n\r\n"


class Division(unittest.TestCase):
    def test_what_is_left_beside_the_process_and_its_files_is_given_out_in_part(self) -> None:
        self.assertEqual(divide_memory(192 * MB, 32 * MB, 4 * MB).total, 78 * MB)
        self.assertEqual(divide_memory(64 * MB, 80 * MB, 3 * MB).total, 8 * MB)

    def test_requests_have_half_of_the_budget_and_give_way_to_messages(self) -> None:
        held = dict.fromkeys(MemoryUse, 0)
        budget = MemoryBudget(1_000)
        for use in MemoryUse:
            budget.register(use, lambda use=use: held[use])  # type: ignore[misc]
        for requests, messages, excess in ((500, 0, 0), (501, 0, 64), (400, 600, 0), (400, 700, 138), (10, 2_000, 10)):
            held.update({MemoryUse.REQUESTS: requests, MemoryUse.MESSAGES: messages})
            self.assertEqual(budget.excess_of_requests(), excess, (requests, messages))
        held.update({MemoryUse.REQUESTS: 400, MemoryUse.MESSAGES: 500})
        self.assertEqual((budget.has_room(100), budget.has_room(101)), (True, False))


class Requests(unittest.TestCase):
    @in_world
    async def test_those_that_hold_the_most_are_refused_and_small_ones_are_served(self, world: World) -> None:
        async with world.relay(limits={"memory_mb": 1}) as relay:
            allowed = relay.memory.total // 2
            links = [await Link.connect(world.client) for _ in range(6)]
            for n, link in enumerate(links):
                await link.send(HEAD + bytes(10_000 + 1_000 * n))
            await until(lambda: any(link.has_ended() or not link.is_quiet() for link in links))
            await anyio.sleep(0.1)
            answers = {n: await link.receive() for n, link in enumerate(links) if not link.is_quiet()}
            self.assertIn(5, answers)
            for n, answer in answers.items():
                self.assertIn(b"HTTP/1.1 503", answer, n)
                self.assertIn(b"Retry-After", answer, n)
            self.assertLess(len(answers), 6)
            self.assertLessEqual(relay.memory.held(MemoryUse.REQUESTS), allowed)
            self.assertEqual((await world.hand_in("small")).status, 202)
            for link in links:
                link.close()
            await until(lambda: relay.memory.held(MemoryUse.REQUESTS) == 0)


class Messages(unittest.TestCase):
    @in_world
    async def test_new_ones_are_refused_while_there_is_no_room_and_accepted_ones_are_kept(self, world: World) -> None:
        release = world.hold()
        settings = SETTINGS | {"caps": SETTINGS["caps"] | {"open_cap": 100}}
        async with world.relay(limits={"memory_mb": 1}, settings=settings) as relay:
            most = relay.memory.total // OPEN_MESSAGE_BYTES
            statuses = [(await world.hand_in(f"m{n}")).status for n in range(40)]
            accepted = statuses.count(202)
            self.assertEqual(statuses, [202] * accepted + [503] * (40 - accepted))
            self.assertTrue(most - 2 <= accepted <= most, (accepted, most))
            release.set()
            await until(lambda: len(world.endpoint.requests) == accepted)
            await until(lambda: relay.all_ended)
            self.assertEqual((await world.hand_in("later")).status, 202)
            await until(lambda: relay.idle)
            self.assertEqual(relay.memory.held(MemoryUse.MESSAGES), 0)


class Lists(unittest.TestCase):
    @in_world
    async def test_one_that_would_take_too_much_memory_is_not_read(self, world: World) -> None:
        few = list(world.members)
        world.members += [member("127.0.0.1:9", f"s-{n}", 9) for n in range(400)]
        async with world.relay(limits={"memory_mb": 1}) as relay:
            await until(lambda: relay._discovery._failures)
            self.assertIsNone(relay._discovery.version)
            world.change(*few)
            await until(lambda: relay._discovery.version)
            self.assertEqual((await world.hand_in("a1")).status, 202)


class Notices(unittest.TestCase):
    @in_world
    async def test_new_messages_are_refused_while_notices_that_nobody_takes_fill_the_budget(self, world: World) -> None:
        async with world.relay(limits={"memory_mb": 1}) as relay:
            relay._notices._may_act = lambda: False
            most = relay.memory.total // ENDED_MESSAGE_BYTES
            for n in range(most - 1):
                relay._notices.add(Notice(1_000_000 + n, f"n{n}", End(False)))
            self.assertEqual((await world.hand_in("refused")).status, 503)
            relay._notices._may_act = lambda: True
            await until(lambda: len(world.notices) == most - 1)
            await until(lambda: not len(relay._notices))
            self.assertEqual((await world.hand_in("accepted")).status, 202)


if __name__ == "__main__":
    unittest.main()
