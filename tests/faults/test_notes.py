"""The socket for notes between relays, at a start right behind the end of an earlier process."""

from __future__ import annotations

import socket
import unittest
from contextlib import closing

import anyio
from ports import free_udp_port
from world import World, in_world, until

from calicohitch.config import Address
from calicohitch.net.peers import Peers


class Notes(unittest.TestCase):
    @in_world
    async def test_a_start_waits_for_an_address_that_is_not_free_yet(self, world: World) -> None:
        here, heard = Address("127.0.0.1", free_udp_port()), []
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as other:
            other.bind((here.host, here.port))
            peers = Peers(here, (here,), here, lambda peer, data: heard.append((peer, data)))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peers.run)
                peers.send(None, b"lost")  # nobody can be told yet, and nothing breaks
                await anyio.sleep(0.1)
                other.close()

                async def tell() -> None:
                    while not heard:
                        peers.send(0, b"word")
                        await anyio.sleep(0.02)

                tasks.start_soon(tell)
                await until(lambda: heard)
                tasks.cancel_scope.cancel()
            peers.close()
        self.assertEqual(heard[0], (0, b"word"))


if __name__ == "__main__":
    unittest.main()
