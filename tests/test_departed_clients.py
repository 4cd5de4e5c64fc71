"""Clients that leave, and ids that come again, at a real relay."""

from __future__ import annotations

import signal
import socket
import unittest
from collections.abc import Callable

import anyio
from test_process import Program, ending
from world import World, play, until

READ_BYTES = 64 << 10  # what a relay reads at once
CLIENTS = 60


def request(wire_id: str, size: int = 0, path: str = "/scores") -> bytes:
    """A request of `size` bytes in all, or of a body of four."""
    head = f"POST {path} HTTP/1.1\r\nHost: r\r\nReq-Id: {wire_id}\r\nReq-Deadline-Ms: 5000\r\nEnvelope: dest=7\r\n"
    body = 4
    for _ in range(2):  # the length is part of the size
        complete = f"{head}Content-Length: {body:05d}\r\n\r\n".replace("Content-Length: 0", "Content-Length: ")
        body = max(4, size - len(complete))
    return f"{head}Content-Length: {body}\r\n\r\n".encode() + b"b" * body


def connect(world: World) -> socket.socket:
    return socket.create_connection((world.client.host, world.client.port))


async def hand_in(world: World, wire_id: str) -> int:
    """The status of the answer; the client leaves at once behind it."""
    stream = await anyio.connect_tcp(world.client.host, world.client.port)
    async with stream:
        await stream.send(request(wire_id))
        with anyio.fail_after(5):
            return int((await stream.receive()).split(b" ", 2)[1])


class ClientsThatLeft(unittest.TestCase):
    def leave_behind(self, sent: Callable[[str], bytes]) -> None:
        """Clients send this to a relay that stands still, and close; one more stays. Only its message may be called."""

        async def test(world: World) -> None:
            program = Program(world)
            with ending(await program.start()) as process:
                process.send_signal(signal.SIGSTOP)
                for n in range(CLIENTS):
                    with connect(world) as client:
                        client.sendall(sent(f"left-{n}"))
                process.send_signal(signal.SIGCONT)
                self.assertEqual(await hand_in(world, "stays"), 202)
                await until(lambda: world.endpoint.requests)
                await anyio.sleep(0.5)
                self.assertEqual([call.headers[b"req-id"] for call in world.endpoint.requests], [b"stays"])

        play(test)

    def test_a_request_whose_client_left_with_more_unread_behind_it_is_not_sent_on(self) -> None:
        self.leave_behind(lambda wire_id: request(wire_id, READ_BYTES) + b"G" * 1_000)

    def test_a_request_whose_client_left_is_not_sent_on(self) -> None:
        self.leave_behind(request)


class IdsThatComeAgain(unittest.TestCase):
    def test_an_id_whose_message_is_over_does_not_run_again(self) -> None:
        async def test(world: World) -> None:
            with ending(await Program(world).start()):
                for n in range(CLIENTS):
                    self.assertEqual(await hand_in(world, f"again-{n}"), 202)
                await until(lambda: len(world.endpoint.requests) == CLIENTS)
                await anyio.sleep(0.2)
                for n in range(CLIENTS):
                    self.assertEqual(await hand_in(world, f"again-{n}"), 202)
                await anyio.sleep(0.5)
                self.assertEqual(len(world.endpoint.requests), CLIENTS)

        play(test)

    def test_an_id_whose_message_is_over_does_not_run_again_after_a_kill(self) -> None:
        async def test(world: World) -> None:
            program = Program(world)
            with ending(await program.start()):
                for n in range(CLIENTS):
                    self.assertEqual(await hand_in(world, f"again-{n}"), 202)
                await until(lambda: len(world.endpoint.requests) == CLIENTS)
                await anyio.sleep(2.5)  # until the deliveries are confirmed
            with ending(await program.start()):
                for n in range(CLIENTS):
                    self.assertEqual(await hand_in(world, f"again-{n}"), 202)
                await anyio.sleep(0.5)
                self.assertEqual(len(world.endpoint.requests), CLIENTS)

        play(test)


if __name__ == "__main__":
    unittest.main()
