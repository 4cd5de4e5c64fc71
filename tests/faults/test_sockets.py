"""Calls on sockets that fail for a moment, as Linux documents: whose trouble it is, and what goes on all the same."""

from __future__ import annotations

import errno
import os
import socket
import unittest
from typing import Any
from unittest import mock

import anyio
from faults.system import Failing, Nth
from orders.test_restart import settings
from world import World, in_world, play, until

from calicohitch import interface as i
from calicohitch.intake.readiness import Readiness
from calicohitch.net.http import ClientConnection, Link

OF_THIS_MACHINE = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN, errno.ENOMEM)
MESSAGE = (
    b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: %s\r\nReq-Deadline-Ms: 5000\r\nEnvelope: dest=7\r\n"
    b"Idempotency-Key: k1\r\nContent-Length: 0\r\n\r\n"
)


async def answer_of(link: Link) -> bytes:
    with anyio.fail_after(3):
        return await link.receive()


class Connects(unittest.TestCase):
    @in_world
    async def test_a_connect_that_fails_at_once_is_none(self, world: World) -> None:
        for error in OF_THIS_MACHINE:
            with self.subTest(error=errno.errorcode[error]), Failing(Nth("connect", 1, error)):
                with self.assertRaises(OSError) as failed:
                    await Link.connect(world.endpoint.address)
                self.assertEqual(failed.exception.errno, error)

    @in_world
    async def test_trouble_of_this_machine_costs_a_message_nothing(self, world: World) -> None:
        """Neither a try nor the endpoint's health: the connect is made again, and the only attempt is the one made."""
        for name in ("connect", "socket"):
            for error in (
                (errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
                if name == "connect"
                else (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE)
            ):
                with self.subTest(call=name, error=errno.errorcode[error]):
                    open_, left = ClientConnection.open, [3]

                    async def fails(
                        *args: Any, open_: Any = open_, left: list[int] = left, error: int = error, **more: Any
                    ) -> ClientConnection:
                        if left[0]:
                            left[0] -= 1
                            raise OSError(error, os.strerror(error))
                        return await open_(*args, **more)  # type: ignore[no-any-return]

                    settled: list[i.Settled] = []
                    world.endpoint.requests.clear()
                    with mock.patch("calicohitch.net.endpoints.ClientConnection", mock.Mock(open=fails)):
                        async with world.relay(settings=settings("unsafe")) as relay:
                            feed = relay.feed

                            def seen(*events: i.Event, feed: Any = feed, settled: Any = settled) -> None:
                                settled.extend(event for event in events if isinstance(event, i.Settled))
                                feed(*events)

                            with mock.patch.object(relay, "feed", seen):
                                await world.hand_in(f"{name}{error}")
                                await until(lambda relay=relay: relay.idle)
                    self.assertEqual([one.outcome for one in settled], [i.Outcome.OK])
                    self.assertEqual((len(world.endpoint.requests), world.notices), (1, []))

    @in_world
    async def test_a_connect_that_failed_at_once_is_no_attempt_that_may_have_run(self, world: World) -> None:
        """No byte could leave, so no record may say that one had: a kill behind it would end an unsafe message."""
        failing, blocked, tried, recorded = Failing(), [False], [], []

        def plan(kind: str, number: int) -> int:
            if kind == "connect" and blocked[0]:
                tried.append(number)
                return errno.EADDRNOTAVAIL
            return 0

        failing.plan = plan
        with failing:
            async with world.relay(settings=settings("unsafe")) as relay:
                client = await Link.connect(world.client)
                with mock.patch.object(relay._journal, "record_attempt", lambda *record: recorded.append(record)):
                    blocked[0] = True
                    await client.send(MESSAGE % b"m0")
                    await answer_of(client)
                    await until(lambda: len(tried) > 2 or recorded)
                client.close()
        self.assertEqual(recorded, [])


class Answers(unittest.TestCase):
    @in_world
    async def test_a_202_that_the_kernel_refuses_for_a_moment_is_sent(self, world: World) -> None:
        """A request that was read and closed unanswered is lost."""
        for error in (errno.ENOBUFS, errno.ENOMEM):
            for times in (1, 4):
                with self.subTest(error=errno.errorcode[error], times=times):
                    left = [0]

                    def plan(kind: str, _number: int, left: list[int] = left, error: int = error) -> int:
                        if kind == "send" and left[0]:
                            left[0] -= 1
                            return error
                        return 0

                    with Failing(plan):
                        async with world.relay() as relay:
                            client = await Link.connect(world.client)
                            await client.send(MESSAGE % f"{error}-{times}".encode())
                            left[0] = times
                            self.assertIn(b" 202 ", await answer_of(client))
                            await until(lambda relay=relay: relay.idle)
                            client.close()
        self.assertEqual(len(world.endpoint.requests), 4)

    @in_world
    async def test_a_request_that_cannot_be_read_for_a_moment_is_read(self, world: World) -> None:
        for error in (errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(error=errno.errorcode[error]):
                left = [0]

                def plan(kind: str, _number: int, left: list[int] = left, error: int = error) -> int:
                    if kind == "recv" and left[0]:
                        left[0] -= 1
                        return error
                    return 0

                with Failing(plan):
                    async with world.relay():
                        client = await Link.connect(world.client)
                        left[0] = 2
                        await client.send(MESSAGE % f"r{error}".encode())
                        await until(lambda left=left: not left[0])
                        self.assertIn(b" 202 ", await answer_of(client))
                        client.close()

    @in_world
    async def test_an_option_that_is_refused_ends_nothing(self, world: World) -> None:
        """A request that takes a task: TCP_NODELAY cannot be set, and the relay serves on."""
        for error in (errno.ENOBUFS, errno.EINVAL):
            with self.subTest(error=errno.errorcode[error]):
                refuses = [False]

                def plan(kind: str, _number: int, refuses: list[bool] = refuses, error: int = error) -> int:
                    return error if kind == "setsockopt" and refuses[0] else 0

                with Failing(plan):
                    async with world.relay():
                        client = await Link.connect(world.client)
                        refuses[0] = True
                        await client.send(
                            (MESSAGE % f"o{error}".encode()).replace(
                                b"Content-Length: 0\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                            )
                        )
                        self.assertIn(b" 202 ", await answer_of(client))
                        refuses[0] = False
                        client.close()


class Accepts(unittest.TestCase):
    def test_one_that_left_while_it_waited_costs_nobody_a_place(self) -> None:
        for error in (
            errno.ECONNABORTED,
            errno.EPROTO,
            errno.ENETDOWN,
            errno.EHOSTUNREACH,
            errno.ENOBUFS,
            errno.ENFILE,
        ):
            with self.subTest(error=errno.errorcode[error]):
                play(lambda world, error=error: self._accepts(world, error))  # type: ignore[misc]

    async def _accepts(self, world: World, error: int) -> None:
        left = [0]

        def plan(kind: str, _number: int) -> int:
            if kind == "accept" and left[0] and asking:
                left[0] -= 1
                return error
            return 0

        asking: list[bool] = []
        with Failing(plan):
            async with world.relay():
                idle = await Link.connect(world.client)
                await until(lambda: world.clients.sessions.count == 1)
                left[0] = 1
                asking.append(True)
                client = await Link.connect(world.client)
                await client.send(MESSAGE % b"m0")
                self.assertIn(b" 202 ", await answer_of(client))
                self.assertEqual((left[0], world.clients.sessions.count), (0, 2))
                idle.close()
                client.close()

    @in_world
    async def test_no_descriptor_to_spare_at_the_start(self, world: World) -> None:
        real = os.open

        def refuse(path: Any, *rest: Any, **more: Any) -> int:
            if path == os.devnull:
                raise OSError(errno.ENFILE, "Too many open files in system")
            return real(path, *rest, **more)

        with mock.patch.object(os, "open", refuse):
            async with world.relay():
                self.assertEqual((await world.hand_in("m0")).status, 202)

    @in_world
    async def test_a_poll_that_takes_no_more_for_a_moment_ends_nothing(self, world: World) -> None:
        """epoll_ctl: ENOMEM, or ENOSPC where the user's watches are used up."""
        register = Readiness.register
        for error in (errno.ENOMEM, errno.ENOSPC):
            with self.subTest(error=errno.errorcode[error]):
                left = [0]

                def refuse(poll: Readiness, sock: socket.socket, left: list[int] = left, error: int = error) -> None:
                    if left[0]:
                        left[0] -= 1
                        raise OSError(error, os.strerror(error))
                    register(poll, sock)

                with mock.patch.object(Readiness, "register", refuse):
                    async with world.relay():
                        left[0] = 3
                        client = await Link.connect(world.client)
                        await until(lambda left=left: not left[0])
                        await client.send(MESSAGE % f"p{error}".encode())
                        self.assertIn(b" 202 ", await answer_of(client))
                        left[0] = 2
                        world.clients._listen(False)
                        world.clients._pause_accepting()
                        self.assertEqual((await world.hand_in(f"q{error}")).status, 202)
                        client.close()


if __name__ == "__main__":
    unittest.main()
