"""Clients are heard on hosts whose polls do not see into other polls."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from typing import Any
from unittest import mock

import anyio
from intake.test_clients import ask, connect
from world import World, in_world, until

from calicohitch.intake.readiness import Readiness


class WithoutNestedPolls(unittest.TestCase):
    @in_world
    async def test_a_message_is_taken_on_where_a_poll_within_a_poll_never_wakes(self, world: World) -> None:
        loop = asyncio.get_running_loop()
        real, deaf = loop.add_reader, 0

        def add_reader(fd: Any, *rest: Any) -> None:
            nonlocal deaf
            number = fd if isinstance(fd, int) else fd.fileno()
            if "eventpoll" in os.readlink(f"/proc/self/fd/{number}"):
                deaf += 1
                return
            real(fd, *rest)

        with mock.patch.object(loop, "add_reader", add_reader):
            async with world.relay() as relay:
                sock = connect(world, "127.0.0.2")
                self.assertEqual((await ask(sock, "a"))[:12], b"HTTP/1.1 202")
                self.assertEqual((await ask(sock, "b"))[:12], b"HTTP/1.1 202")  # on the connection that was kept
                await until(lambda: relay.idle)
                sock.close()
        self.assertEqual(deaf, 0)


class Registering(unittest.TestCase):
    def test_what_came_on_a_socket_is_forgotten_with_it(self) -> None:
        """Its number may be another's by the time that what came is taken."""

        async def play() -> None:
            readiness = Readiness()
            ours, theirs = socket.socketpair()
            with ours, theirs:
                readiness.register(ours)
                theirs.send(b"x")
                with anyio.fail_after(5):
                    await readiness.wait()
                self.assertEqual(readiness.take(9), [ours.fileno()])
                with anyio.fail_after(5):
                    await readiness.wait()  # it was not read: told once more
                readiness.unregister(ours)
                self.assertEqual(readiness.take(9), [])
                await anyio.sleep(0)
                self.assertEqual(readiness.take(9), [])

        anyio.run(play)
