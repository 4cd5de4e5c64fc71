"""Bytes of a server that answer no request, in the order in which each would be taken for an answer."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
from orders.test_attempts import OK, Scripted
from world import HERE, LIMIT

from calicohitch.config import Address
from calicohitch.core.protocols import Call, Result
from calicohitch.interface import Outcome
from calicohitch.journal import End
from calicohitch.net.http import Link, listen
from calicohitch.net.notices import Notice, Notices

_ACCEPTED = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"


class NewConnections(unittest.TestCase):
    def test_a_response_before_the_call_is_not_its_answer(self) -> None:
        async def run() -> None:
            world = Scripted()
            accepted: list[socket.socket] = []

            def answered_already() -> bool:
                accepted.append(world.listener.accept()[0])
                accepted[0].send(OK)
                return True

            with anyio.fail_after(LIMIT):
                result = await world.call(wanted=answered_already)
                received = Link(accepted[0]).receive_some()
            self.assertEqual((result.outcome, result.ended, received), (Outcome.CONNECT_FAILED, False, b""))

        anyio.run(run)


REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
WAIT = b"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 400\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"


def run_test(test: Callable[[Scripted], Awaitable[None]]) -> None:
    """Calls to an endpoint of which nothing is confirmed follow each other on one connection, as where no other is
    free."""

    @mock.patch("calicohitch.net.connection_pool._MAX_UNCONFIRMED_CONNECTIONS", 1)
    async def run() -> None:
        with anyio.fail_after(LIMIT):
            world = Scripted()
            await test(world)
            world.listener.close()

    anyio.run(run)


WORK_S = 0.02  # of a call after the first, far above a round trip


async def answered(
    world: Scripted, data: bytes, timeout_ms: float = 300, link: Link | None = None, work_s: float | None = None
) -> Link:
    """One call that is answered by `data`, at once on a new connection, or after some work on the one given."""
    if work_s is None:
        work_s = WORK_S if link else 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.call, timeout_ms)
        link = link or await world.accepted()
        await link.receive()
        await anyio.sleep(work_s)
        await link.send(data)
    return link


def known(world: Scripted) -> list[bool]:
    """Whether the end by the last call was confirmed; empty until that is known."""
    assert world.result and world.result.confirmation
    found: list[bool] = []
    world.result.confirmation.when_known(found.append)
    return found


class ReusedConnections(unittest.TestCase):
    def test_a_200_is_refuted_by_what_follows_it(self) -> None:
        """It was left over from the call before; the call's own answer comes later."""
        for left_over in (OK, GONE):
            for own in (REFUSED, OK, b"HTTP/1.1 5", b"\x00"):
                with self.subTest(left_over=left_over, own=own):

                    async def test(world: Scripted, left_over: bytes = left_over, own: bytes = own) -> None:
                        link = await answered(world, OK)
                        await answered(world, left_over, link=link)
                        refuted = known(world)
                        self.assertEqual(refuted, [])
                        await link.send(own)
                        while not refuted:
                            await anyio.sleep(0.001)
                        self.assertEqual((refuted, world.kept), ([False], 0))

                    run_test(test)

    def test_a_200_is_confirmed_by_silence_until_the_time_of_its_call_is_over(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            await answered(world, OK, link=link)
            confirmed = known(world)
            world.endpoints._pool.confirm_silent()
            self.assertEqual(confirmed, [])
            await anyio.sleep(0.3)
            world.endpoints._pool.confirm_silent()
            self.assertEqual((confirmed, world.kept), ([True], 1))

        run_test(test)

    def test_a_poll_that_takes_no_more_sockets_costs_a_200_nothing(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            loop, refused = asyncio.get_running_loop(), []
            add_reader = loop.add_reader

            def full(fd: int, callback: Callable[..., object], *args: object) -> None:
                if callback == world.endpoints._pool._check_idle:
                    refused.append(fd)
                    raise OSError(errno.ENOSPC, "no space")
                add_reader(fd, callback, *args)

            with mock.patch.object(loop, "add_reader", full):
                await answered(world, OK, link=link)
            self.assertTrue(refused)
            confirmed = known(world)
            await anyio.sleep(0.3)
            world.endpoints._pool.confirm_silent()
            self.assertEqual((confirmed, world.kept), ([True], 1))

        run_test(test)

    def test_an_early_end_of_the_connection_refutes_a_200(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            refuted = known(world)
            link.close()
            while not refuted:
                await anyio.sleep(0.001)
            self.assertEqual(refuted, [False])

        run_test(test)

    def test_an_end_that_the_answer_announced_confirms_it(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK.replace(b"Content", b"Connection: close\r\nContent"))
            confirmed = known(world)
            link.close()
            while not confirmed:
                await anyio.sleep(0.001)
            self.assertEqual((confirmed, world.kept), ([True], 0))

        run_test(test)

    def test_a_call_that_was_not_delivered_is_given_up_before_the_next_attempt(self) -> None:
        for answer in (REFUSED, WAIT, b"HTTP/1.1 504 T\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 500 E\r\n\r\n"):
            with self.subTest(answer=answer):

                async def test(world: Scripted, answer: bytes = answer) -> None:
                    link = await answered(world, OK)
                    with mock.patch("calicohitch.net.http._RESPONSE_END_TIMEOUT_S", 0.05):
                        await answered(world, answer, link=link)
                    assert world.result
                    self.assertTrue(world.result.may_have_run)
                    self.assertEqual((link.receive_some(), link.has_ended(), world.kept), (b"", True, 0))

                run_test(test)

    def test_surplus_bytes_end_the_reuse_of_an_endpoints_connections(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            await link.send(OK)
            while world.kept:
                await anyio.sleep(0.001)
            await answered(world, OK)
            self.assertFalse(world.endpoints._pool.idle)
            await answered(world, OK)  # on a new connection

        run_test(test)

    def test_a_retry_after_in_surplus_bytes_is_kept(self) -> None:
        async def test(world: Scripted) -> None:
            waits: list[tuple[int, float]] = []
            world.endpoints.on_wait = lambda endpoint, wait_ms: waits.append((endpoint, wait_ms))
            link = await answered(world, OK)
            await link.send(WAIT)
            while not waits:
                await anyio.sleep(0.001)
            self.assertEqual(waits, [(1, 400.0)])

        run_test(test)


class Chains(unittest.TestCase):
    def test_a_200_is_confirmed_by_two_later_ones_on_its_connection(self) -> None:
        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            confirmed = known(world)
            await answered(world, OK, link=link)
            self.assertEqual(confirmed, [])
            last = known(world)
            await answered(world, OK, link=link)
            self.assertEqual((confirmed, last), ([True], []))

        run_test(test)

    def test_each_copy_that_may_be_left_over_takes_one_more_to_confirm_a_200(self) -> None:
        """Three responses that came too soon may have shifted the later ones by three calls."""

        async def test(world: Scripted) -> None:
            world.endpoints._pool.evidence.confirmed(1, WORK_S)
            link = await answered(world, OK, work_s=2 * WORK_S)
            await answered(world, OK, link=link, work_s=0.0)
            confirmed = known(world)
            for _ in range(2):
                await answered(world, OK, link=link, work_s=0.0)
            self.assertEqual(confirmed, [])
            await answered(world, OK, link=link, work_s=2 * WORK_S)
            self.assertEqual(confirmed, [True])

        run_test(test)

    def test_a_refusal_soon_after_a_200_refutes_it(self) -> None:
        """The 200 may have been left over from an earlier call, and the refusal is the answer to this one."""

        async def test(world: Scripted) -> None:
            link = await answered(world, OK)
            refuted = known(world)
            await answered(world, REFUSED, link=link)
            self.assertEqual(refuted, [False])

        run_test(test)


class SilentEndpoints(unittest.TestCase):
    """An accepted message has no end if the copy of an earlier 200 counts as its delivery and its endpoint hangs."""

    def judged(self, test: Callable[[Scripted, Link], Awaitable[None]], work_s: float = 2 * WORK_S) -> list[bool]:
        """What becomes of a 200 on a used connection after `test` and the silence until its call's time is over."""
        found: list[bool] = []

        async def run(world: Scripted) -> None:
            world.endpoints._pool.evidence.confirmed(1, WORK_S)
            link = await answered(world, OK, work_s=2 * WORK_S)
            await answered(world, OK, link=link, work_s=work_s)
            judged = known(world)
            await test(world, link)
            await anyio.sleep(0.3)
            world.endpoints._pool.confirm_silent()
            found.extend(judged)

        run_test(run)
        return found

    async def _call_elsewhere(self, world: Scripted, timeout_ms: float, answer: bytes) -> None:
        """A call on a connection of its own."""
        kept = world.endpoints._pool.take((1, world.address))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.call, timeout_ms)
            link = await world.accepted()
            await link.receive()
            if answer:
                await anyio.sleep(WORK_S)
                await link.send(answer)
        if kept:
            world.endpoints._pool.give_back(kept)

    def test_a_copy_at_an_endpoint_that_hangs_is_no_delivery(self) -> None:
        async def hangs(world: Scripted, _link: Link) -> None:
            await self._call_elsewhere(world, 50, b"")

        self.assertEqual(self.judged(hangs), [False])

    def test_a_copy_within_a_round_trip_is_no_delivery_without_other_responses(self) -> None:
        async def nothing(_world: Scripted, _link: Link) -> None:
            pass

        self.assertEqual(self.judged(nothing, work_s=0.0), [])

    def test_a_copy_before_any_confirmed_response_is_no_delivery(self) -> None:
        """Guards against a delivery that silence alone confirms where the endpoint hangs and got no other call. The
        first response, on a connection in sync, is one all the same, and the connection carries no further call."""

        async def run(world: Scripted) -> None:
            link = await answered(world, OK, work_s=2 * WORK_S)
            first = known(world)
            await answered(world, OK, link=link, work_s=0.0, timeout_ms=50)
            second = known(world)
            await anyio.sleep(0.06)
            world.endpoints._pool.confirm_silent()
            self.assertEqual((first, second), ([True], []))
            assert world.result and world.result.confirmation
            world.result.confirmation.resolve(False)  # as the relay does at the deadline
            world.endpoints._pool.confirm_silent()
            self.assertEqual(world.kept, 0)

        run_test(run)

    def test_a_response_no_sooner_than_one_that_is_confirmed_later_is_a_delivery(self) -> None:
        async def run(world: Scripted) -> None:
            link = await answered(world, OK)
            await answered(world, OK, link=link, work_s=20 * WORK_S, timeout_ms=1_000)
            second = known(world)
            await anyio.sleep(1.0)
            world.endpoints._pool.confirm_silent()
            self.assertEqual(second, [True])

        run_test(run)

    def test_a_second_call_before_any_confirmed_response_has_a_connection_of_its_own(self) -> None:
        async def run() -> None:
            world = Scripted()
            with anyio.fail_after(LIMIT):
                links = [await answered(world, OK), await answered(world, OK)]
            world.listener.close()
            self.assertEqual((len(links), world.kept), (2, 2))

        anyio.run(run)

    def test_a_response_to_a_later_call_confirms_one_that_came_soon(self) -> None:
        async def responds(world: Scripted, _link: Link) -> None:
            await self._call_elsewhere(world, 300, OK)

        self.assertEqual(self.judged(responds, work_s=0.0), [True])

    def test_a_shift_outlasts_the_message_whose_response_was_a_copy(self) -> None:
        """Later responses confirm that message, and stay shifted by one call themselves."""

        async def run(world: Scripted) -> None:
            world.endpoints._pool.evidence.confirmed(1, WORK_S)
            link = await answered(world, OK, work_s=2 * WORK_S)
            await answered(world, OK, link=link, work_s=0.0)
            first = known(world)
            for _ in range(2):
                await answered(world, OK, link=link, work_s=2 * WORK_S, timeout_ms=100)
            last = known(world)
            await anyio.sleep(0.1)
            world.endpoints._pool.confirm_silent()
            self.assertEqual((first, last), ([True], []))

        run_test(run)

    def test_bytes_that_come_after_the_silence_refute_what_it_left_open(self) -> None:
        async def run(world: Scripted) -> None:
            world.endpoints._pool.evidence.confirmed(1, WORK_S)
            link = await answered(world, OK, work_s=2 * WORK_S)
            await answered(world, OK, link=link, work_s=0.0, timeout_ms=50)
            refuted = known(world)
            await anyio.sleep(0.06)
            world.endpoints._pool.confirm_silent()
            self.assertEqual(refuted, [])
            await link.send(REFUSED)
            while not refuted:
                await anyio.sleep(0.001)
            self.assertEqual(refuted, [False])

        run_test(run)

    def test_a_later_call_that_is_still_open_leaves_it_open(self) -> None:
        async def run(world: Scripted) -> None:
            link = await answered(world, OK)
            await answered(world, OK, link=link, timeout_ms=50)
            confirmed = known(world)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._call_elsewhere, world, 300, b"")
                await anyio.sleep(0.1)
                world.endpoints._pool.confirm_silent()
                self.assertEqual(confirmed, [])

        run_test(run)


class MessagesThatRunOnce(unittest.TestCase):
    def play(self, later: bytes, used: bool, suspect: bool = False) -> tuple[Result, int]:
        """The result of a refused call, and how many connections were opened after the first. `used`: the call goes on
        a connection that has carried a call."""
        opened: list[Link] = []
        results: list[Result] = []

        async def test(world: Scripted) -> None:
            first = await answered(world, OK)
            if suspect:
                await first.send(OK)
                while world.kept:
                    await anyio.sleep(0.001)
            elif not used:
                world.endpoints.close_idle(1)
            call = Call("a1", None, b"x", LIMIT * 1e3, runs_once=True)

            async def serve() -> None:
                if suspect or not used:
                    opened.append(await world.accepted())
                link = opened[0] if opened else first
                await link.receive()
                await link.send(REFUSED)
                await anyio.sleep(0.05)
                if later:
                    await link.send(later)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve)
                results.append(await world.endpoints.call(1, world.address, call, anyio.CancelScope(), lambda: True))

        run_test(test)
        return results[0], len(opened)

    def test_the_refusal_of_an_earlier_call_does_not_let_an_unsafe_message_run_twice(self) -> None:
        """Only the first response on a connection is certain, whatever the silence behind it."""
        for used in (False, True):
            result, opened = self.play(b"", used)
            self.assertEqual((result.may_have_run, opened), (used, int(not used)))

    def test_a_refusal_of_a_suspect_endpoint_may_have_run(self) -> None:
        result, opened = self.play(b"", used=False, suspect=True)
        self.assertEqual((result.may_have_run, opened), (True, 1))

    def test_a_refusal_that_is_followed_by_bytes_may_have_run(self) -> None:
        for used in (False, True):
            for later in (OK, REFUSED, b"x"):
                self.assertTrue(self.play(later, used)[0].may_have_run)


class Confirmations(unittest.TestCase):
    def test_a_copy_of_an_earlier_204_does_not_confirm_the_next_notice(self) -> None:
        """The agent answers the second request on a connection by a copy of the first answer, and drops it unread."""

        async def run() -> None:
            listener = listen(HERE)
            received: list[bytes] = []
            acknowledged: list[int] = []

            async def serve(link: Link) -> None:
                received.append(await link.receive())
                await link.send(_ACCEPTED)
                if await link.receive():
                    await link.send(_ACCEPTED)
                link.close()

            notices = Notices(Address(*listener.getsockname()), acknowledged.append)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(notices.run)
                with anyio.fail_after(LIMIT):
                    for number in (1, 2):
                        notices.add(Notice(number, f"m{number}", End(False)))
                        while number not in acknowledged:
                            with anyio.move_on_after(0.02):
                                await anyio.wait_readable(listener)
                                tasks.start_soon(serve, Link(listener.accept()[0]))
                tasks.cancel_scope.cancel()
            self.assertEqual([body.count(b"message") for body in received], [1, 1])

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
