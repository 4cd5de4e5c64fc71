"""Rude clients beside a polite one, at a real relay with 192 MB and 1,024 descriptors."""

from __future__ import annotations

import json
import os
import resource
import socket
import struct
import subprocess
import sys
import time
import unittest
from contextlib import suppress
from pathlib import Path

import anyio
from ports import free_udp_port
from test_process import Program, ending
from world import World, play

from intake.rude_clients import ANSWERED, ONE

MEMORY_MB, SOCKETS = 192, 1_024
CLIENTS, SECONDS = 900, 6.0
ONE_S = 2.0  # for a single rude client
ANSWER_S = 0.4  # a client waits so long
RUDE_END_S = 3.0  # a client that stops in the middle of a request gets its error or close within this time
INTERVAL_S = 0.1  # between two messages of the polite client
GROWTH_MB = 16  # a fifth of the budget that these settings give
TRIES = 4  # connections for one message: those that are shut unread are replaced


def peak_mb(pid: int) -> float:
    """The highest resident memory of a process so far, in decimal megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024 / 1e6
    raise AssertionError(f"no peak is known of process {pid}")


class PoliteClient:
    """Hands in a message each 100 ms, every second one on a connection that it keeps."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.statuses: list[int] = []  # 0: no answer in time
        self.slowest_s = 0.0
        self._kept: anyio.abc.SocketStream | None = None

    async def run(self, seconds: float) -> None:
        ends_at, number = anyio.current_time() + seconds, 0
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < ends_at:
                number += 1
                tasks.start_soon(self._message, number)
                await anyio.sleep(INTERVAL_S)

    async def _message(self, number: int) -> None:
        began, status = anyio.current_time(), 0
        with anyio.move_on_after(ANSWER_S):
            for n in range(TRIES):
                try:
                    status = await self._hand_in(f"polite-{number}-{n}", keep=number % 2 == 1)
                    break
                except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                    continue
            self.slowest_s = max(self.slowest_s, anyio.current_time() - began)
        self.statuses.append(status)

    async def _hand_in(self, wire_id: str, keep: bool) -> int:
        stream, self._kept = self._kept, None
        stream = stream or await anyio.connect_tcp(self._world.client.host, self._world.client.port)
        reusable = False
        try:
            await stream.send(
                f"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: {wire_id}\r\nReq-Deadline-Ms: 5000\r\n"
                f"Idempotency-Key: {wire_id}\r\nEnvelope: dest=7\r\nContent-Length: 2\r\n\r\nhi".encode()
            )
            data = await stream.receive()
            reusable = keep and b"Connection: close" not in data and self._kept is None
            return int(data.split(b" ", 2)[1])
        finally:
            if reusable:
                self._kept = stream
            else:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)


def program_with(world: World, memory_mb: int = MEMORY_MB, sockets: int = SOCKETS, **more: object) -> Program:
    program = Program(world)
    limits = {"memory_mb": memory_mb, "sockets": sockets, "disk_mb": 3}
    program.say({"discovery": str(world.platform.address), "limits": limits} | more)
    return program


def rude_clients(kind: str, world: World, clients: int, seconds: float) -> subprocess.Popen[bytes]:
    program = str(Path(__file__).with_name("rude_clients.py"))
    arguments = [kind, str(world.client.port), str(clients), str(seconds)]
    return subprocess.Popen([sys.executable, program, *arguments], stdout=subprocess.PIPE)


class RudePeers(unittest.TestCase):
    def test_datagrams_of_ever_new_destinations_at_full_speed_delay_no_client_and_hold_no_memory(self) -> None:
        async def test(world: World) -> None:
            listen, peer = free_udp_port(), free_udp_port()
            peers = [f"127.0.0.1:{listen}", f"127.0.0.1:{peer}"]
            program = program_with(world, peer_listen=peers[0], peers=peers)
            with ending(await program.start()) as process:
                before = peak_mb(process.pid)
                polite = PoliteClient(world)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(anyio.to_thread.run_sync, flood, peer, listen, ONE_S)
                    await polite.run(ONE_S)
                self.assertEqual(polite.statuses.count(0), 0, polite.slowest_s)
                self.assertLess(peak_mb(process.pid), before + GROWTH_MB)
                self.assertIsNone(process.poll())

        play(test)


def flood(sender: int, receiver: int, seconds: float) -> None:
    """Send notes on limits, each of 31 destinations that were never named before, as fast as they go."""
    ends_at, dest = time.monotonic() + seconds, 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", sender))
        sock.connect(("127.0.0.1", receiver))
        while time.monotonic() < ends_at:
            with suppress(OSError):
                sock.send(b"\x01" + b"".join(struct.pack(">If", dest + n, 5.0) for n in range(31)))
            dest += 31


class RudeClients(unittest.TestCase):
    def beside(
        self, kind: str, clients: int, seconds: float = SECONDS, memory_mb: int = MEMORY_MB, sockets: int = SOCKETS
    ) -> None:
        async def test(world: World) -> None:
            with ending(await program_with(world, memory_mb, sockets).start()) as process:
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
                rude = rude_clients(kind, world, clients, seconds)
                polite = PoliteClient(world)
                with ending(rude):
                    await polite.run(seconds)
                    output = await anyio.to_thread.run_sync(rude.communicate)
                seen = json.loads(output[0])
                peak = peak_mb(process.pid)
                late = polite.statuses.count(0)
                accepted = sum(status == 202 for status in polite.statuses)
                said = (
                    f"{kind}: peak {peak:.0f} MB, {late} of {len(polite.statuses)} late, {accepted} accepted, "
                    f"slowest {polite.slowest_s:.2f} s, {seen}"
                )
                if os.environ.get("RUDE_CLIENTS_PRINT"):
                    print(said)
                self.assertIsNone(process.poll(), said)
                self.assertLess(peak, memory_mb, said)
                self.assertEqual(late, 0, said)
                self.assertGreaterEqual(accepted, len(polite.statuses) / 2, said)
                self.assertLess(seen["longest_standing_s"], RUDE_END_S, said)

        play(test)

    def test_heads_of_very_many_fields_do_not_exhaust_the_memory(self) -> None:
        self.beside("many_fields", CLIENTS)

    def test_heads_of_very_many_fields_without_a_body_do_not_exhaust_the_memory(self) -> None:
        self.beside("many_fields_only", CLIENTS)

    def test_requests_that_stop_half_way_delay_no_other_client(self) -> None:
        self.beside("half_a_body", CLIENTS)

    def test_later_requests_that_stop_half_way_delay_no_other_client(self) -> None:
        self.beside("half_a_body_after_an_answer", SOCKETS // 2)  # as many as a relay may have

    def test_more_unfinished_requests_than_the_memory_holds_do_not_exhaust_it(self) -> None:
        self.beside("almost_a_body", 1_500, memory_mb=80, sockets=4_096)

    def test_a_relay_that_restarts_into_them_serves_other_clients(self) -> None:
        async def test(world: World) -> None:
            program = program_with(world)
            with ending(await program.start()), ending(rude_clients("many_fields", world, CLIENTS, 2 * SECONDS)):
                await anyio.sleep(1.0)
            with ending(rude_clients("many_fields", world, CLIENTS, 2 * SECONDS)):
                await anyio.sleep(0.5)  # they connect in vain, again and again
                with ending(await program.start()) as process:
                    polite = PoliteClient(world)
                    await polite.run(SECONDS / 2)
                    self.assertEqual(polite.statuses.count(0), 0, polite.slowest_s)
                    self.assertGreaterEqual(polite.statuses.count(202), len(polite.statuses) / 2)
                    self.assertLess(peak_mb(process.pid), MEMORY_MB)

        play(test)

    def test_chunks_of_one_byte_delay_no_other_client(self) -> None:
        self.beside("one_byte_chunks", CLIENTS)

    def test_heads_that_come_slowly_delay_no_other_client(self) -> None:
        self.beside("slow_head", CLIENTS)

    def test_heads_that_come_byte_by_byte_delay_no_other_client(self) -> None:
        self.beside("quick_bytes_of_a_head", CLIENTS)

    def test_bodies_that_come_byte_by_byte_delay_no_other_client(self) -> None:
        self.beside("quick_bytes_of_a_body", CLIENTS)

    def test_one_connection_at_full_speed_delays_no_other_client(self) -> None:
        for kind in ONE:
            self.beside(kind, 1, ONE_S)
            self.beside(kind + ANSWERED, 1, ONE_S)


if __name__ == "__main__":
    unittest.main()
