"""One HTTP/2 connection under cancellation and peers that do not read."""

from __future__ import annotations

import socket
import unittest

import anyio
import h2.config
import h2.connection
import h2.events

from calicohitch.clock import Clock, ManualClock
from calicohitch.net.http import Link
from calicohitch.wire.http2 import Http2Connection, Http2Limits


class Sending(unittest.TestCase):
    def test_a_sender_that_is_cancelled_in_the_middle_of_a_frame_spoils_nothing(self) -> None:
        """A peer with open windows that reads nothing for a while; a sender is cancelled while the kernel is full;
        then the peer reads on, and every frame that it finds is whole."""

        async def run() -> None:
            ours, theirs = socket.socketpair()
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_608)
            with theirs:
                peer = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
                peer.initiate_connection()
                peer.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 1 << 24})
                peer.increment_flow_control_window(1 << 24)
                theirs.sendall(peer.data_to_send())
                connection = Http2Connection(_link(ours), Clock(), Http2Limits(), client=True)
                seen: dict[int, int] = {}
                ended: set[int] = set()

                async def read() -> None:
                    theirs.setblocking(False)
                    while len(ended) < 1:
                        await anyio.wait_readable(theirs)
                        for event in peer.receive_data(theirs.recv(65_536)):  # raises where a frame is spoilt
                            if isinstance(event, h2.events.DataReceived):
                                seen[event.stream_id or 0] = seen.get(event.stream_id or 0, 0) + len(event.data or b"")
                                peer.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
                            elif isinstance(event, h2.events.StreamEnded):
                                ended.add(event.stream_id or 0)
                        theirs.send(peer.data_to_send())

                with anyio.fail_after(20):
                    async with anyio.create_task_group() as tasks:
                        await connection.start()
                        tasks.start_soon(connection.run)
                        await anyio.sleep(0.05)
                        first, second = connection.open(), None
                        head = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a"), (b":authority", b"x")]
                        await first.send_headers(head)
                        with anyio.move_on_after(0.2) as scope:
                            await first.send(b"x" * 2_000_000)
                        self.assertTrue(scope.cancelled_caught)
                        began = anyio.current_time()
                        await first.cancel()
                        self.assertLess(anyio.current_time() - began, 1.0)  # a reset does not wait for such a peer
                        tasks.start_soon(read)
                        second = connection.open()
                        await second.send_headers(head)
                        await second.send(b"y" * 100_000, end=True)
                        while not ended:
                            await anyio.sleep(0.01)
                        connection.close()
                self.assertEqual((seen[second.number], ended), (100_000, {second.number}))

        anyio.run(run)


class Quiet(unittest.TestCase):
    def play(self, answers: bool) -> bool:
        """Whether a stream to a peer that is quiet, and that answers pings or does not, lasts."""

        async def run() -> bool:
            ours, theirs = socket.socketpair()
            clock = ManualClock()
            with theirs:
                theirs.settimeout(5)
                peer = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
                peer.initiate_connection()
                theirs.sendall(peer.data_to_send())
                limits = Http2Limits(quiet_ms=1_000.0, answer_ms=200.0)
                connection = Http2Connection(_link(ours), clock, limits, client=True)
                async with anyio.create_task_group() as tasks:
                    await connection.start()
                    tasks.start_soon(connection.run)
                    stream = connection.open()
                    await stream.send_headers(
                        [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/a"), (b":authority", b"x")]
                    )
                    await anyio.sleep(0.05)
                    connection.look_alive()  # not long quiet yet: nothing is asked
                    clock.advance(1_001.0)
                    connection.look_alive()
                    events: list[h2.events.Event] = []
                    while not any(isinstance(event, h2.events.PingReceived) for event in events):
                        events += peer.receive_data(theirs.recv(65_536))
                    if answers:
                        theirs.sendall(peer.data_to_send())
                        clock.advance(1.0)
                        while connection._heard_at < clock.now():
                            await anyio.sleep(0.01)
                    clock.advance(201.0)
                    connection.look_alive()
                    lasts = not connection.gone and stream.reset is None
                    connection.close()
                return lasts

        with self.subTest(answers=answers):
            return anyio.run(run)

    def test_a_peer_that_is_gone_without_a_word_is_found_and_one_that_is_merely_quiet_is_kept(self) -> None:
        self.assertEqual((self.play(answers=True), self.play(answers=False)), (True, False))


def _link(sock: socket.socket) -> Link:
    link = Link.__new__(Link)  # a pair of Unix sockets knows no TCP option
    sock.setblocking(False)
    link._sock = sock
    return link


if __name__ == "__main__":
    unittest.main()
