"""Client connections under overload, on real sockets: connection floods, scripts, and a lack of descriptors."""

from __future__ import annotations

import errno
import json
import os
import resource
import signal
import socket
import sys
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from test_process import Program, ending
from world import LIMIT, World, in_world, member, until

from calicohitch.commands import main
from calicohitch.core.descriptor_budget import DescriptorUse
from calicohitch.core.protocols import Refusal
from calicohitch.intake.admission.settings import AdmissionSettings
from calicohitch.intake.admission.shares import Caps
from calicohitch.journal import End
from calicohitch.net.http import Link

HEAD = (
    "POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: {}\r\nReq-Deadline-Ms: 5000\r\nIdempotency-Key: k{}\r\n"
    "Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi"
)


def connect(world: World, source: str) -> socket.socket:
    sock = socket.socket()
    sock.bind((source, 0))
    sock.connect((world.client.host, world.client.port))
    sock.setblocking(False)
    return sock


async def submit(sock: socket.socket, name: str) -> bytes:
    """Submit one message and return the head of the response, or b"" without a response."""
    link = Link(sock)
    try:
        await link.send(HEAD.format(name, name).encode())
        with anyio.fail_after(LIMIT):
            return await link.receive()
    except OSError:
        return b""


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ConnectionFloods(unittest.TestCase):
    @in_world
    async def test_clients_behind_a_gateway_are_served_beside_a_script(self, world: World) -> None:
        """A script holds as many connections as its cap allows, while each client of a gateway opens its own."""
        world.admission = AdmissionSettings(Caps(each=20))
        async with world.relay() as relay:
            script, statuses = [connect(world, "127.0.0.66") for _ in range(300)], []
            for n in range(60):
                sock = connect(world, "127.0.0.2")
                statuses.append((await submit(sock, f"g{n}"))[:12])
                script.append(sock)  # stays connected
            self.assertEqual(statuses, [b"HTTP/1.1 202"] * 60)
            clients = world.clients
            self.assertEqual(clients.shares.weight("127.0.0.66"), 20)
            self.assertEqual(clients.shares.weight("127.0.0.2"), 60)
            self.assertEqual(clients.account.causes, {"too many open connections of its source": 280})
            self.assertIn(b"503", Link(script[299])._sock.recv(100))  # refused, not closed without a response
            for sock in script:
                sock.close()
            await until(lambda: not clients.shares.taken)
            await until(lambda: relay.idle)
            held = relay.descriptors.held
            await until(lambda: held[DescriptorUse.DISCOVERY])  # between two watches there is none
            idle = sum(map(len, relay._endpoints._pool.idle.values()))
            self.assertEqual(
                (held[DescriptorUse.CLIENTS], held[DescriptorUse.CALLS], held[DescriptorUse.DISCOVERY]), (0, idle, 1)
            )

    @in_world
    async def test_clients_behind_a_gateway_are_served_beside_a_script_behind_it(self, world: World) -> None:
        async with world.relay() as relay:
            relay.max_clients = 40
            script = [connect(world, "127.0.0.2") for _ in range(200)]
            await anyio.sleep(0.35)  # until the script's connections may be shed
            for n in range(30):
                sock = connect(world, "127.0.0.2")
                self.assertEqual((await submit(sock, f"g{n}"))[:12], b"HTTP/1.1 202")
                script.append(sock)
            self.assertLessEqual(world.clients.sessions.count, 40)
            for sock in script:
                sock.close()

    @in_world
    async def test_connections_that_are_not_reused_are_closed_after_their_responses(self, world: World) -> None:
        """Clients open a new connection for each message, leave the old one idle, and may hold a limited number."""
        async with world.relay() as relay:
            relay.max_clients = 40
            held: list[socket.socket] = []
            closed = 0
            for n in range(120):
                sock = connect(world, "127.0.0.2")
                answer = await submit(sock, f"m{n}")
                self.assertEqual(answer[:12], b"HTTP/1.1 202")
                closed += b"Connection: close" in answer
                held.append(sock)
                if len(held) > 30:  # the client closes the oldest itself
                    held.pop(0).close()
            self.assertGreater(closed, 25)
            for sock in held:
                sock.close()

    @in_world
    async def test_a_late_event_loop_refuses_at_once_and_accepts_no_message_twice(self, world: World) -> None:
        async with world.relay() as relay:
            sock = connect(world, "127.0.0.2")
            with (
                mock.patch.object(world.clients._load, "admits", return_value=False),
                mock.patch.object(relay, "turned_away") as turned_away,
            ):
                answer = await submit(sock, "m1")
            self.assertIs(turned_away.call_args[0][1], Refusal.BUSY)  # so that the trace holds the reason
            self.assertEqual(answer[:12], b"HTTP/1.1 503")
            self.assertIn(b"Retry-After: 1", answer)
            self.assertNotIn(b"Connection: close", answer)  # the client may retry on the same connection
            self.assertEqual((await submit(sock, "m1"))[:12], b"HTTP/1.1 202")
            await until(lambda: relay.idle)
            self.assertEqual(len(world.endpoint.requests), 1)
            sock.close()


class DescriptorShortage(unittest.TestCase):
    @in_world
    async def test_without_a_free_descriptor_clients_are_refused_and_accept_does_not_spin(self, world: World) -> None:
        accepts = 0
        real_accept = socket.socket.accept

        def fails(listener: socket.socket) -> Any:
            nonlocal accepts
            accepts += 1
            if accepts % 2:  # every second accept uses the spare descriptor
                raise OSError(errno.EMFILE, "Too many open files")
            return real_accept(listener)

        async with world.relay():
            with mock.patch("socket.socket.accept", fails):
                socks = [connect(world, "127.0.0.2") for _ in range(5)]
                for sock in socks:
                    self.assertIn(b"503", await Link(sock).receive())
                    sock.close()
                accepts_before = accepts
                await anyio.sleep(0.1)
                self.assertLess(accepts - accepts_before, 30)  # accept is retried at intervals only
            self.assertEqual((await world.hand_in("a1")).status, 202)
            self.assertTrue(world.clients._spare.is_open)

    @in_world
    async def test_a_refusal_that_the_kernel_takes_in_parts_arrives_whole(self, world: World) -> None:
        real_accept, real_send = socket.socket.accept, socket.socket.send
        accepts = sends = 0

        def accept(listener: socket.socket) -> Any:
            nonlocal accepts
            accepts += 1
            if accepts % 2:  # every second accept uses the spare descriptor
                raise OSError(errno.EMFILE, "Too many open files")
            return real_accept(listener)

        def send(sock: socket.socket, data: bytes, *rest: int) -> int:
            nonlocal sends
            if sock.getsockname()[1] != world.client.port:
                return real_send(sock, data, *rest)
            sends += 1
            if sends % 3 == 1:
                raise OSError(errno.ENOBUFS, "No buffer space available")
            return real_send(sock, bytes(data)[:20], *rest)

        async with world.relay():
            with mock.patch("socket.socket.accept", accept), mock.patch("socket.socket.send", send):
                for n in range(4):
                    sock = connect(world, "127.0.0.2")
                    real_send(sock, HEAD.format(n, n).encode())
                    answer = b""
                    while data := await Link(sock).receive():
                        answer += data
                    self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
                    self.assertTrue(answer.endswith(b"no room for another connection"), answer)
                    sock.close()

    @in_world
    async def test_calls_notices_and_discovery_recover_from_a_lack_of_descriptors(self, world: World) -> None:
        """Calls, notices and discovery all open sockets: each fails twenty times with EMFILE, and then recovers."""
        failing = 0
        real = socket.socket

        class FailingSocket(real):  # type: ignore[valid-type,misc]
            def __init__(self, *args: Any, **kwargs: Any) -> None:
                nonlocal failing
                if failing and not kwargs.get("fileno"):
                    failing -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                super().__init__(*args, **kwargs)

        async with world.relay() as relay:
            sock = connect(world, "127.0.0.2")
            for place in ("call", "notice", "discovery"):
                with self.subTest(place=place):
                    if place == "notice":
                        world.answers = [(500, {}, b"")] * 20  # until it is given up
                    failing = 20
                    with mock.patch("calicohitch.net.http.socket.socket", FailingSocket):
                        self.assertEqual((await submit(sock, place))[:12], b"HTTP/1.1 202")
                        if place == "notice":
                            relay._end(next(iter(relay._open)), End(True))
                            await until(lambda: world.notices)
                        if place == "discovery":
                            world.change(member(str(world.endpoint.address)), member("127.0.0.1:9", "late", cell=9))
                            await until(lambda: relay._directory.knows(9))
                            failing = 20  # of the polls after the one that was in flight
                            world.change(member(str(world.endpoint.address)), member("127.0.0.1:9", "later", cell=10))
                            await until(lambda: relay._directory.knows(10))
                        failing = 0
                    world.answers = []
                    await until(lambda: relay.idle)
            sock.close()

    @in_world
    async def test_no_descriptor_for_the_next_journal_file(self, world: World) -> None:
        """A message that cannot be written to the journal is refused, with a Retry-After."""
        async with world.relay() as relay:
            sock = connect(world, "127.0.0.2")
            relay._journal._roll_at = 0  # the next record begins a new file
            with mock.patch("calicohitch.journal.os.open", side_effect=OSError(errno.EMFILE, "Too many open files")):
                answer = await submit(sock, "m1")
            self.assertEqual(answer[:12], b"HTTP/1.1 503")
            self.assertIn(b"Retry-After", answer)
            self.assertEqual((await submit(sock, "m1"))[:12], b"HTTP/1.1 202")
            await until(lambda: relay.idle)
            sock.close()

    def test_at_the_descriptor_limit_every_message_ends_and_known_clients_are_served(self) -> None:
        @in_world
        async def test(_: unittest.TestCase, world: World) -> None:
            program = Program(world)
            with ending(await program.start()) as process:
                sock = connect(world, "127.0.0.2")
                self.assertEqual((await submit(sock, "m0"))[:12], b"HTTP/1.1 202")
                open_descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (open_descriptors + 12, open_descriptors + 12))
                connections = [connect(world, f"127.0.1.{n % 250 + 1}") for n in range(120)]
                cpu_before_s = cpu_s(process.pid)
                statuses = [(await submit(sock, f"m{n}"))[:12] for n in range(1, 40)]
                await anyio.sleep(1.5)
                self.assertLess(cpu_s(process.pid) - cpu_before_s, 1.2)  # the accept loop does not spin
                self.assertEqual(statuses, [b"HTTP/1.1 202"] * 39)
                await until(lambda: len(world.endpoint.requests) + len(world.notices) >= 40)
                for other in connections:
                    other.close()
                sock.close()

        test(self)

    def test_a_stop_during_a_flood_of_connects_ends_every_accepted_message(self) -> None:
        @in_world
        async def test(_: unittest.TestCase, world: World) -> None:
            world.answers = [(429, {"Wait-Ms": "700"}, b"")]
            program = Program(world)
            process = await program.start()
            connections: list[socket.socket] = []
            try:
                sock = connect(world, "127.0.0.2")
                accepted = 0
                for n in range(200):
                    accepted += (await submit(sock, f"m{n}")).startswith(b"HTTP/1.1 202")
                for n in range(300):
                    try:
                        connections.append(connect(world, "127.0.0.66"))
                    except OSError:
                        break  # the relay has closed its listener
                    if n == 150:
                        process.send_signal(signal.SIGTERM)
                    await anyio.sleep(0.001)
                with anyio.fail_after(LIMIT * 2):
                    while process.poll() is None:
                        await anyio.sleep(0.05)
                ended = {r.headers[b"req-id"].decode() for r in world.endpoint.requests}
                ended |= {notice["message"] for notice in world.notices}
                self.assertEqual((process.returncode, len(ended)), (0, accepted))
                sock.close()
            finally:
                process.kill()
                process.wait()
                for other in connections:
                    other.close()

        test(self)


class ShedSummary(unittest.TestCase):
    @in_world
    async def test_the_clients_command_reports_shed_connections_from_the_log(self, world: World) -> None:
        from calicohitch import logs

        path = world.folder / "log"
        world.admission = AdmissionSettings(Caps(each=1), told_every_s=0.1)
        with path.open("w") as out:
            logs.set_up("json", "INFO", out)
            try:
                async with world.relay():
                    held = [connect(world, "127.0.0.66") for _ in range(5)]
                    await until(lambda: "clients.shed" in path.read_text())
                    for sock in held:
                        sock.close()
            finally:
                logs.set_up("text", "ERROR", sys.stderr)
        with mock.patch("click.echo") as echo:
            self.assertEqual(main(["clients", "--json", str(path)]), 0)
        report = json.loads(echo.call_args[0][0])
        cause = "too many open connections of its source"
        self.assertEqual((report["causes"][cause], report["sources"][cause]), (4, {"127.0.0.66": 4}))
        path.write_text("no JSON\n")
        self.assertEqual(main(["clients", str(path)]), 2)


if __name__ == "__main__":
    unittest.main()
