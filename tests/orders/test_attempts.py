"""One attempt's endings, each caused: what the answer's bytes, the close and the clock may do to each other."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from unittest import mock

import anyio
from world import HERE, LIMIT, SETTINGS, World, in_world, member, play, until

from calicohitch.clock import Clock
from calicohitch.config import Address
from calicohitch.core.descriptor_budget import DescriptorUse, DescriptorBudget
from calicohitch.core.protocols import Call, Result
from calicohitch.interface import Outcome
from calicohitch.net.endpoints import Endpoints
from calicohitch.net.http import ClientConnection, Link, listen

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
WAIT = b"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 400\r\nContent-Length: 0\r\n\r\n"


class Scripted:
    """An endpoint of which each step is the test's: it accepts, reads, writes and closes when it is told to."""

    def __init__(self) -> None:
        self.listener = listen(HERE)
        self.address = Address(*self.listener.getsockname())
        self.endpoints = Endpoints(Clock(), (), 10_000, 1_500, DescriptorBudget(8, {}))
        self.result: Result | None = None

    async def call(
        self,
        timeout: float = LIMIT * 1e3,
        scope: anyio.CancelScope | None = None,
        wanted: Callable[[], bool] = lambda: True,
    ) -> Result:
        told = Call("a1", None, b"x", timeout)
        self.result = await self.endpoints.call(1, self.address, told, scope or anyio.CancelScope(), wanted)
        return self.result

    async def accepted(self) -> Link:
        await anyio.wait_readable(self.listener)
        return Link(self.listener.accept()[0])

    @property
    def kept(self) -> int:
        return self.endpoints._descriptors.held[DescriptorUse.CALLS]


async def served_once(world: Scripted) -> Link:
    """A connection on which one call was answered, and which is kept. A response of the endpoint is confirmed, so that
    the next call goes out on it."""
    world.endpoints._pool.evidence.confirmed(1, 0.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.call)
        link = await world.accepted()
        await link.receive()
        await link.send(OK)
    return link


async def answered_in_part(world: Scripted, sent: bytes, breaks: bool = False) -> Outcome:
    """What becomes of a call of whose answer this much comes; then the connection breaks, or nothing more is said."""
    with mock.patch("calicohitch.net.http._RESPONSE_END_TIMEOUT_S", 0.05):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.call)
            link = await world.accepted()
            await link.receive()
            await link.send(sent)
            if breaks:
                link.close()
    link.close()
    assert world.result
    return world.result.outcome


class Endings(unittest.TestCase):
    def play(self, test: Callable[[Scripted], Awaitable[None]]) -> None:
        async def run() -> None:
            with anyio.fail_after(LIMIT * 2):
                world = Scripted()
                await test(world)
                world.listener.close()

        anyio.run(run)

    def test_a_close_that_crosses_the_write(self) -> None:
        """The endpoint closes a kept connection after it was looked at and before the call is written: a reset that may
        have run, and that says nothing of the endpoint."""

        async def test(world: Scripted) -> None:
            link = await served_once(world)
            request = ClientConnection.request

            async def crossed(connection: ClientConnection, *rest: Any) -> Any:
                link.close()
                return await request(connection, *rest)

            with mock.patch.object(ClientConnection, "request", crossed):
                result = await world.call()
            self.assertIn(result.outcome, (Outcome.RESET, Outcome.CONNECT_FAILED))
            self.assertEqual((result.stale, world.kept), (True, 0))

        self.play(test)

    def test_a_call_on_a_connection_that_came_up_late_states_what_is_left_of_its_time(self) -> None:
        """What an endpoint does behind that is for nobody."""

        async def test(world: Scripted) -> None:
            opened = ClientConnection.open

            async def slow(*arguments: Any) -> ClientConnection:
                began = anyio.current_time()
                connection = await opened(*arguments)
                while anyio.current_time() < began + 1:
                    await anyio.sleep(0.05)
                return connection

            with mock.patch.object(ClientConnection, "open", slow):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(world.call, 5_000)
                    link = await world.accepted()
                    head = (await link.receive()).lower()
                    await link.send(OK)
            (stated,) = [int(line[17:]) for line in head.split(b"\r\n") if line.startswith(b"req-deadline-ms: ")]
            self.assertTrue(1 <= stated <= 4_000, stated)
            link.close()

        self.play(test)

    def test_an_answer_in_the_turn_in_which_the_time_is_up(self) -> None:
        """Its bytes are in the kernel when the attempt is timed out or cancelled: what is whole is believed, a wait
        that it tells above all, since that runs from its writing; of the rest a first line of 200. What would end the
        message does so only while the attempt has time: behind it nobody knows whether it was written in time."""
        line = OK.index(b"\n") + 1  # a message is delivered once the whole line is written: half of it may stay alone
        gone = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
        cases = (
            (OK, Outcome.OK, 0),
            (OK[:line], Outcome.OK, 0),
            (OK[:14], None, 0),
            (OK[: line - 1], None, 0),
            (b"HTTP/1.1 500 E\r\n\r\n", None, 0),
            (WAIT, Outcome.FULL, 400),
            (WAIT[:-1], None, 0),
            (WAIT + b"x", Outcome.FULL, 400),
            (WAIT.replace(b"Content", b"Connection: close\r\nContent"), Outcome.FULL, 400),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + WAIT, Outcome.FULL, 400),
            (b"HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", Outcome.FULL, 0),
            (b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR, 0),
            (b"spoilt\r\n\r\n", None, 0),
            (gone, Outcome.MOOT, 0),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, Outcome.OK, 0),
        )
        for ends in ("time", "cancel"):
            for sent, outcome, wait in cases:
                with self.subTest(ends=ends, sent=sent):

                    async def test(
                        world: Scripted,
                        ends: str = ends,
                        sent: bytes = sent,
                        outcome: Outcome | None = outcome,
                        wait: float = wait,
                    ) -> None:
                        scope, reached = anyio.CancelScope(), anyio.Event()
                        receive = Link.receive

                        async def held(link: Link) -> bytes:  # the loop does not come to reading it any more
                            if link is server:
                                return await receive(link)
                            reached.set()
                            await anyio.sleep(LIMIT)
                            return b""

                        server: Link | None = None
                        with mock.patch.object(Link, "receive", held):
                            async with anyio.create_task_group() as tasks:
                                tasks.start_soon(world.call, 200 if ends == "time" else LIMIT * 1e3, scope)
                                server = await world.accepted()
                                await reached.wait()
                                await server.send(sent)
                                if ends == "cancel":
                                    scope.cancel()
                        assert world.result
                        late = Outcome.TIMEOUT if ends == "time" else Outcome.CANCELLED
                        if ends == "time" and outcome in (Outcome.OK, Outcome.MOOT):
                            outcome = None
                        self.assertEqual((world.result.outcome, world.result.wait), (outcome or late, wait))
                        self.assertEqual(world.result.ended, outcome in (Outcome.OK, Outcome.MOOT))
                        self.assertEqual(world.kept, 0)
                        server.close()

                    self.play(test)

    def test_an_answer_that_is_read_behind_the_time_before_the_time_is_noticed(self) -> None:
        """The loop comes late to both, and to the answer first: it says nothing of when it was written. One whose first
        line was read in time delivers, however late its rest is."""
        line = OK.index(b"\n") + 1
        for early, outcome in (
            (b"", Outcome.TIMEOUT),
            (OK[: line - 1], Outcome.TIMEOUT),
            (OK[:line], Outcome.OK),
            (b"HTTP/1.1 100 Continue\r\n\r\n", Outcome.TIMEOUT),
        ):
            with self.subTest(early=early):

                async def test(world: Scripted, early: bytes = early, outcome: Outcome = outcome) -> None:
                    until_s, reading = 0.0, anyio.Event()
                    receive, server = Link.receive, None

                    async def behind(link: Link) -> bytes:
                        if link is server:
                            return await receive(link)
                        reading.set()
                        data = await receive(link)
                        while data != early and anyio.current_time() < until_s:
                            pass  # no other step of the loop, and no timer of its
                        return data

                    with mock.patch.object(Link, "receive", behind):
                        async with anyio.create_task_group() as tasks:
                            tasks.start_soon(world.call, 200)
                            server = await world.accepted()
                            await reading.wait()
                            until_s = anyio.current_time() + 0.2  # its time is up by then
                            if early:
                                reading = anyio.Event()
                                await server.send(early)
                                await reading.wait()
                            await server.send(OK if early[:9] != b"HTTP/1.1 " or b"100" in early else OK[len(early) :])
                    assert world.result
                    self.assertEqual((world.result.outcome, world.result.ended), (outcome, outcome is Outcome.OK))
                    server.close()

                self.play(test)

    def test_the_rest_of_an_answer_in_the_turn_in_which_the_time_is_up(self) -> None:
        """Its beginning was read before, by h11."""

        async def test(world: Scripted) -> None:
            half, reached, receive = anyio.Event(), anyio.Event(), Link.receive

            async def held(link: Link) -> bytes:
                if link is server:
                    return await receive(link)
                if half.is_set():
                    reached.set()
                    await anyio.sleep(LIMIT)
                half.set()
                return await receive(link)

            server: Link | None = None
            with mock.patch.object(Link, "receive", held):
                async with anyio.create_task_group() as tasks:
                    scope = anyio.CancelScope()
                    tasks.start_soon(world.call, LIMIT * 1e3, scope)
                    server = await world.accepted()
                    await server.receive()
                    await server.send(WAIT[:40])
                    await reached.wait()
                    await server.send(WAIT[40:])
                    scope.cancel()
            assert world.result
            self.assertEqual((world.result.outcome, world.result.wait), (Outcome.FULL, 400))
            server.close()

        self.play(test)

    def test_bytes_that_come_while_a_call_is_not_made_after_all(self) -> None:
        """Half an answer that nobody asked for comes on a kept connection just when its call turns out not to be
        wanted. The connection is not kept: the rest of it would answer the next call."""

        async def test(world: Scripted) -> None:
            link = await served_once(world)
            (kept,) = [idle[-1] for idle in world.endpoints._pool.idle.values()]

            def unwanted() -> bool:
                link._sock.send(OK[:20])
                while kept.http.reusable:
                    pass
                return False

            result = await world.call(wanted=unwanted)
            self.assertEqual((result.outcome, world.kept), (Outcome.MOOT, 0))
            link.close()

        self.play(test)

    def test_a_200_whose_rest_never_comes(self) -> None:
        async def test(world: Scripted) -> None:
            outcome = await answered_in_part(world, OK[:20])
            self.assertEqual((outcome, world.kept), (Outcome.OK, 0))

        self.play(test)

    def test_half_a_first_line_of_200_delivers_nothing(self) -> None:
        """The connection breaks behind it, or the rest does not come: it may have run."""
        for breaks in (True, False):
            with self.subTest(breaks=breaks):

                async def test(world: Scripted, breaks: bool = breaks) -> None:
                    outcome = await answered_in_part(world, OK[:14], breaks)
                    self.assertEqual((outcome, world.kept), (Outcome.RESET, 0))

                self.play(test)

    def test_a_late_200_after_the_next_attempt_has_begun_answers_nothing(self) -> None:
        async def test(world: Scripted) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.call, 100)
                first = await world.accepted()
                await first.receive()
            assert world.result
            self.assertEqual(world.result.outcome, Outcome.TIMEOUT)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.call)
                second = await world.accepted()
                await second.receive()
                self.assertEqual(await first.receive(), b"")  # the relay has ended its side: nobody hears it
                await first.send(OK)
                await second.send(b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(world.result.outcome, Outcome.ERROR)
            first.close()
            second.close()

        self.play(test)

    def test_a_pool_that_is_closed_during_a_call_does_not_get_its_connection_back(self) -> None:
        """By a drain, or by the decisions' word that idle connections are too many there."""

        async def test(world: Scripted) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.call, 100)
                link = await world.accepted()
                await link.receive()
                world.endpoints.close_idle(1)
                await link.send(OK)
            assert world.result
            self.assertEqual((world.result.outcome, world.endpoints._pool.idle), (Outcome.OK, {}))
            await anyio.sleep(0.1)  # until its response is confirmed
            world.endpoints._pool.confirm_silent()
            self.assertEqual((await link.receive(), world.kept), (b"", 0))
            link.close()
            again = await served_once(world)  # a later call keeps its connection
            self.assertEqual(
                (world.kept, world.endpoints._close_requests, world.endpoints._calls_in_flight), (1, {}, {})
            )
            again.close()

        self.play(test)


class Late(unittest.TestCase):
    """A 200 that the relay reads when its message's time is over: seen on short days as a message that was lost, since
    the platform did not count it as delivered, and the relay told nobody of an end."""

    def test_a_message_whose_200_comes_behind_its_time_is_ended_by_its_one_notice(self) -> None:
        for path, outcome in (("/scores", "handed_back"), ("/orders", "handed_back"), ("/entries", "given_up")):
            with self.subTest(path=path):
                play(lambda world, path=path, outcome=outcome: self._late(world, path, outcome))

    async def _late(self, world: World, path: str, outcome: str) -> None:
        receive = Link.receive

        async def behind(link: Link) -> bytes:
            data = await receive(link)
            with suppress(OSError):
                if link._sock.getpeername()[1] == world.endpoint.address.port:
                    while world.clock.now() < due:
                        pass  # no other step of the loop, and no timer of its
            return data

        settings = SETTINGS | {
            "services": [
                {"name": "scores", "effect": "safe", "on_time": 100_000, "hard_limit": 5_000_000},
                {"name": "orders", "effect": "keyed", "on_time": 100_000, "hard_limit": 5_000_000, "window": 200_000},
                {"name": "entries", "effect": "unsafe", "on_time": 100_000, "hard_limit": 5_000_000},
            ]
        }
        with mock.patch.object(Link, "receive", behind):
            async with world.relay(settings=settings) as relay:
                due = world.clock.now() + 400
                await world.hand_in("a1", path, Req_Deadline_Ms="300")
                await until(lambda: relay.idle)
        self.assertEqual([(told["message"], told["outcome"]) for told in world.notices], [("a1", outcome)])
        self.assertEqual(len(world.endpoint.requests), 1)
        self.assertLess(world.clock.now(), due + LIMIT * 1e3)


class Drains(unittest.TestCase):
    @in_world
    async def test_a_drain_during_a_call_leaves_no_connection(self, world: World) -> None:
        release = world.hold()
        async with world.relay() as relay:
            await world.hand_in("a1", Req_Deadline_Ms="2000")
            await until(lambda: world.endpoint.requests)
            world.change(member(str(world.endpoint.address), phase="Terminating"))
            await until(lambda: not relay._engine._endpoints)
            release.set()
            await until(lambda: relay.idle)
            self.assertEqual(relay._endpoints._pool.idle, {})
            await until(lambda: not relay._endpoints._descriptors.held[DescriptorUse.CALLS])  # once it is confirmed
            self.assertEqual(world.notices, [])

    @in_world
    async def test_a_told_wait_during_another_call_is_kept_by_both(self, world: World) -> None:
        release, answers = anyio.Event(), [(429, {"Wait-Ms": "400"}, b"")]

        async def first_waits(_request: Any) -> Any:
            if answers:
                return answers.pop()
            await release.wait()
            return 200, {}, b""

        world.endpoint.handle = first_waits
        async with world.relay() as relay:
            await world.hand_in("a1")
            await until(lambda: relay._waits)
            told = world.clock.now()
            await world.hand_in("a2")
            release.set()
            await until(lambda: relay.idle)
            self.assertGreaterEqual(world.clock.now(), told + 300)
        self.assertEqual(len(world.endpoint.requests), 3)


if __name__ == "__main__":
    unittest.main()
