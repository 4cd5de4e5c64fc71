"""One HTTP/2 connection whose senders are cancelled, or whose peer does not read or has disappeared."""

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
    def test_cancelling_a_sender_in_the_middle_of_a_frame_corrupts_no_frame(self) -> None:
        """The peer has open windows but does not read, so the socket buffer fills up and the sender is cancelled with
        part of a frame written. When the peer reads again, every frame must be complete."""

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
                received_bytes: dict[int, int] = {}
                ended: set[int] = set()

                async def read() -> None:
                    theirs.setblocking(False)
                    while len(ended) < 1:
                        await anyio.wait_readable(theirs)
                        for event in peer.receive_data(theirs.recv(65_536)):  # raises if a frame is corrupt
                            if isinstance(event, h2.events.DataReceived):
                                received_bytes[event.stream_id or 0] = received_bytes.get(
                                    event.stream_id or 0, 0
                                ) + len(event.data or b"")
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
                        self.assertLess(anyio.current_time() - began, 1.0)  # does not wait for the peer to read
                        tasks.start_soon(read)
                        second = connection.open()
                        await second.send_headers(head)
                        await second.send(b"y" * 100_000, end=True)
                        while not ended:
                            await anyio.sleep(0.01)
                        connection.close()
                self.assertEqual((received_bytes[second.number], ended), (100_000, {second.number}))

        anyio.run(run)


class Liveness(unittest.TestCase):
    def stays_open_when_quiet(self, answers: bool) -> bool:
        """Whether a stream to a silent peer stays open, depending on whether the peer answers pings."""

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
                    connection.check_liveness()  # not silent for long enough: no ping is sent
                    clock.advance(1_001.0)
                    connection.check_liveness()
                    events: list[h2.events.Event] = []
                    while not any(isinstance(event, h2.events.PingReceived) for event in events):
                        events += peer.receive_data(theirs.recv(65_536))
                    if answers:
                        theirs.sendall(peer.data_to_send())
                        clock.advance(1.0)
                        while connection._received_at < clock.now():
                            await anyio.sleep(0.01)
                    clock.advance(201.0)
                    connection.check_liveness()
                    stays_open = not connection.closed and stream.reset is None
                    connection.close()
                return stays_open

        with self.subTest(answers=answers):
            return anyio.run(run)

    def test_a_silent_peer_is_disconnected_only_if_it_does_not_answer_a_ping(self) -> None:
        self.assertEqual(
            (self.stays_open_when_quiet(answers=True), self.stays_open_when_quiet(answers=False)), (True, False)
        )


def _link(sock: socket.socket) -> Link:
    link = Link.__new__(Link)  # the TCP options that Link sets do not exist on a Unix socket pair
    sock.setblocking(False)
    link._sock = sock
    return link


if __name__ == "__main__":
    unittest.main()
