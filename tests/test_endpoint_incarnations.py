"""An endpoint's process that is replaced by another, under its id or at its address."""

from __future__ import annotations

import signal
import unittest

import anyio
from test_departed_clients import hand_in
from test_process import Program, ending
from world import Answer, Request, World, member, play, until

from calicohitch.config.settings import Names
from calicohitch.interface import Phase
from calicohitch.net.discovery import Directory


class Replaced(unittest.TestCase):
    def test_an_id_that_now_serves_another_destination_gets_no_work_of_the_first(self) -> None:
        async def test(world: World) -> None:
            address = str(world.endpoint.address)
            with ending(await Program(world).start()):
                self.assertEqual(await hand_in(world, "before"), 202)
                await until(lambda: len(world.endpoint.requests) == 1)
                world.change(member(address, cell=9), member("127.0.0.1:9", "other"))
                await anyio.sleep(0.3)
                for n in range(10):
                    self.assertEqual(await hand_in(world, f"after-{n}"), 202)
                await anyio.sleep(1.0)
                called = [sent.headers[b"req-id"] for sent in world.endpoint.requests]
                self.assertEqual(called, [b"before"])

        play(test)

    def test_a_message_whose_call_broke_off_is_not_sent_to_the_process_that_took_its_place(self) -> None:
        async def test(world: World) -> None:
            address, replaced = str(world.endpoint.address), anyio.Event()

            async def breaks_off(_request: Request) -> Answer:
                await replaced.wait()
                return None

            world.endpoint.handle = breaks_off
            with ending(await Program(world).start()):
                self.assertEqual(await hand_in(world, "out"), 202)
                await until(lambda: len(world.endpoint.requests) == 1)
                world.change(member(address, cell=9) | {"up_since_ms": 1_000}, member("127.0.0.1:9", "other"))
                await anyio.sleep(0.3)
                replaced.set()
                await anyio.sleep(1.5)
                self.assertEqual(len(world.endpoint.requests), 1)

        play(test)

    def test_a_connection_to_the_first_process_is_not_used_for_the_next(self) -> None:
        async def test(world: World) -> None:
            address = str(world.endpoint.address)
            with ending(await Program(world).start()) as process:
                world.change(member(address) | {"up_since_ms": 1_000})
                await anyio.sleep(0.3)
                first = world.endpoint.accepted
                self.assertEqual(await hand_in(world, "first"), 202)
                await until(lambda: len(world.endpoint.requests) == 1)
                connections = len(first)
                world.change(member(address) | {"up_since_ms": 2_000})
                await anyio.sleep(0.3)
                self.assertEqual(await hand_in(world, "second"), 202)
                await until(lambda: len(world.endpoint.requests) == 2)
                self.assertEqual(len(world.endpoint.accepted), connections + 1)  # none made to the first process
                process.send_signal(signal.SIGTERM)

        play(test)


class InTheDirectory(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory(Names((), ("west",), ("pubs",)))
        self.tell(1, member("127.0.0.1:9") | {"up_since_ms": 2_000})
        (self.first,) = self.directory._members

    def tell(self, revision: int, *members: dict[str, object], complete: bool = False) -> list[tuple[int, int, Phase]]:
        update = self.directory.read({"revision": revision, "complete": complete, "members": list(members)})
        return [(entry.endpoint, entry.dest, entry.phase) for entry in update.entries]

    def test_another_start_time_or_destination_is_another_endpoint_and_the_first_is_gone(self) -> None:
        for changes in ({"up_since_ms": 3_000}, {"up_since_ms": 2_000, "cell": 9}):
            for complete in (False, True):
                self.setUp()
                told = self.tell(2, member("127.0.0.1:9") | changes, complete=complete)
                dest = int(str(changes.get("cell", 7)))
                self.assertEqual(told, [(self.first, 7, Phase.GONE), (self.first + 1, dest, Phase.READY)])
                self.assertIsNone(self.directory.get(self.first))
                self.assertEqual(self.directory.number("s-1"), self.first + 1)
                if complete:
                    self.assertEqual((self.directory.knows(7), self.directory.knows(dest)), (dest == 7, True))

    def test_another_address_alone_is_the_same_endpoint(self) -> None:
        told = self.tell(2, member("127.0.0.1:10") | {"up_since_ms": 2_000})
        self.assertEqual(told, [(self.first, 7, Phase.READY)])

    def test_a_stale_list_does_not_bring_an_earlier_process_back(self) -> None:
        self.tell(5, member("127.0.0.1:10") | {"up_since_ms": 3_000})
        told = self.tell(4, member("127.0.0.1:9") | {"up_since_ms": 2_000})
        self.assertEqual(told, [(self.first + 1, 7, Phase.READY)])
        found = self.directory.get(self.first + 1)
        self.assertEqual(str(found and found.address), "127.0.0.1:10")


if __name__ == "__main__":
    unittest.main()
