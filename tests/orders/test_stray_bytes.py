"""Bytes of a server that answer no request, in the order in which each would be taken for an answer."""

from __future__ import annotations

import socket
import unittest

import anyio
from orders.test_attempts import OK, Scripted
from world import HERE, LIMIT

from calicohitch.config import Address
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
