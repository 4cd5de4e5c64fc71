"""Clients are served on hosts where a nested poll does not wake the outer one."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from typing import Any
from unittest import mock

import anyio
from intake.test_clients import connect, submit
from world import World, in_world, until

from calicohitch.intake.readiness import Readiness


class WithoutNestedPolls(unittest.TestCase):
    @in_world
    async def test_a_message_is_accepted_where_a_nested_poll_never_wakes(self, world: World) -> None:
        loop = asyncio.get_running_loop()
        real_add_reader, nested_polls = loop.add_reader, 0

        def add_reader(fd: Any, *args: Any) -> None:
            nonlocal nested_polls
            number = fd if isinstance(fd, int) else fd.fileno()
            if "eventpoll" in os.readlink(f"/proc/self/fd/{number}"):
                nested_polls += 1
                return
            real_add_reader(fd, *args)

        with mock.patch.object(loop, "add_reader", add_reader):
            async with world.relay() as relay:
                sock = connect(world, "127.0.0.2")
                self.assertEqual((await submit(sock, "a"))[:12], b"HTTP/1.1 202")
                self.assertEqual((await submit(sock, "b"))[:12], b"HTTP/1.1 202")  # on the kept connection
                await until(lambda: relay.idle)
                sock.close()
        self.assertEqual(nested_polls, 0)


class Registering(unittest.TestCase):
    def test_unregistering_a_socket_discards_its_events(self) -> None:
        """The descriptor number may belong to another socket by the time that the event is taken."""

        async def run_events() -> None:
            readiness = Readiness()
            local, remote = socket.socketpair()
            with local, remote:
                readiness.register(local)
                remote.send(b"x")
                with anyio.fail_after(5):
                    await readiness.wait()
                self.assertEqual(readiness.take(9), [local.fileno()])
                with anyio.fail_after(5):
                    await readiness.wait()  # not read yet, so it is reported again
                readiness.unregister(local)
                self.assertEqual(readiness.take(9), [])
                await anyio.sleep(0)
                self.assertEqual(readiness.take(9), [])

        anyio.run(run_events)
