"""Clients and endpoints that break or strain the protocol, and relays that are killed or stopped with calls open."""

from __future__ import annotations

import signal
import struct
import threading
import time
import unittest
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import grpc
import h2.connection
import h2.events
from fake_servers.grpc_world import Client, Endpoint, echo, grpc_relay
from fake_servers.raw_http2 import RawClient, RawServer, raw_frame
from ports import free_port
from test_process import Program, ending, exit_code
from world import LIMIT, SETTINGS, World, member, play, until

from calicohitch.grpc.codec import frame

WIDE: dict[str, Any] = SETTINGS | {"family_info": {"call_slots": 64}, "caps": SETTINGS["caps"] | {"open_cap": 400}}


def answer(state: h2.connection.H2Connection, stream: int, status: str = "0", body: bytes = b"ok") -> None:
    state.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
    state.send_data(stream, frame(body))
    state.send_headers(stream, [("grpc-status", status)], end_stream=True)


def with_server(act: Any, test: Callable[..., Awaitable[None]], settings: Any = None) -> None:
    async def run(world: World) -> None:
        server = RawServer(act)
        try:
            async with grpc_relay(world, server.address, settings=settings) as (relay, front):
                client = Client(front)
                await test(world, relay, client, server)
                client.channel.close()
        finally:
            server.close()

    play(run)


class MisbehavingEndpoints(unittest.TestCase):
    def test_goaway_in_the_middle_of_fifty_streams(self) -> None:
        """Streams above the last id of a GOAWAY did not run and are retried; those at or below it are answered and must
        not be."""
        seen: list[tuple[int, int]] = []
        lock = threading.Lock()

        def act(state: Any, event: h2.events.Event) -> None:
            if not isinstance(event, h2.events.StreamEnded):
                return
            with lock:
                seen.append((state.number, event.stream_id or 0))
            if state.number > 1:
                answer(state, event.stream_id or 0)
            elif len([s for n, s in seen if n == 1]) == 50:
                ids = sorted(s for n, s in seen if n == 1)
                last = ids[29]
                for stream in ids[:30]:
                    answer(state, stream)
                state.close_connection(last_stream_id=last)
                state.state_machine.state = h2.connection.ConnectionState.SERVER_OPEN

        async def test(world: World, relay: Any, client: Client, server: RawServer) -> None:
            answers: list[Any] = []

            async def call(n: int) -> None:
                answers.append(await client.call("Post", b"m%d" % n, timeout=15))

            async with anyio.create_task_group() as tasks:
                for n in range(50):
                    tasks.start_soon(call, n)
            failed = {(a.code(), a.details()) for a in answers if isinstance(a, grpc.RpcError)}
            self.assertEqual(failed, set(), seen)
            self.assertEqual(len([s for n, s in seen if n == 1]), 50)
            self.assertEqual(len([s for n, s in seen if n > 1]), 20)  # those above the last id, once each

        with_server(act, test, WIDE)

    def test_refused_streams_are_retried_and_reset_ones_as_their_class_allows(self) -> None:
        count = 0

        def act(state: Any, event: h2.events.Event) -> None:
            nonlocal count
            if isinstance(event, h2.events.StreamEnded):
                count += 1
                if count in (1, 3):
                    state.reset_stream(event.stream_id, 7 if count == 1 else 2)
                else:
                    answer(state, event.stream_id or 0)

        async def test(world: World, relay: Any, client: Client, server: RawServer) -> None:
            self.assertEqual((await client.call("Post", timeout=10))[0], b"ok")  # refused, then accepted
            self.assertEqual((await client.call("Enter", timeout=20, idempotency_key="k"))[0], b"ok")
            self.assertEqual(count, 4)

        with_server(act, test)

    def test_responses_that_are_not_grpc(self) -> None:
        cases: list[tuple[list[tuple[str, str]], grpc.StatusCode]] = [
            ([(":status", "404")], grpc.StatusCode.UNIMPLEMENTED),
            ([(":status", "200"), ("content-type", "text/html")], grpc.StatusCode.UNKNOWN),
            (
                [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "77")],
                grpc.StatusCode.UNKNOWN,
            ),
        ]
        current: list[Any] = [None]

        def act(state: Any, event: h2.events.Event) -> None:
            if isinstance(event, h2.events.StreamEnded):
                state.send_headers(event.stream_id, current[0], end_stream=True)

        async def test(world: World, relay: Any, client: Client, server: RawServer) -> None:
            for headers, code in cases:
                current[0] = headers
                err = await client.call("Post", timeout=1.5)
                self.assertIn(err.code(), (code, grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED))

        with_server(act, test)

    def test_an_endpoint_that_never_opens_its_window_blocks_only_its_own_call(self) -> None:
        def act(state: Any, event: h2.events.Event) -> None:
            pass

        async def test(world: World, relay: Any, client: Client, server: RawServer) -> None:
            began = time.monotonic()
            err = await client.call("Post", b"x" * 500_000, timeout=1.0)
            self.assertIn(err.code(), (grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.UNAVAILABLE))
            self.assertLess(time.monotonic() - began, 3.0)
            await until(lambda: relay.idle)

        with_server(act, test)


class MisbehavingClients(unittest.TestCase):
    def check_connection_closed(self, act: Callable[[RawClient], Any], codes: tuple[int, ...]) -> None:
        async def run(world: World) -> None:
            endpoint = Endpoint(echo)
            try:
                async with grpc_relay(world, endpoint.address, settings=WIDE) as (_, front):
                    good = Client(front)
                    rude = await good.run(lambda: RawClient(front))

                    def attack() -> int | None:
                        try:
                            act(rude)
                        except OSError:
                            pass  # the relay closed the connection
                        code: int | None = rude.closed()
                        return code

                    codes_seen: list[int | None] = []

                    async def attacking() -> None:
                        codes_seen.append(await good.run(attack))

                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(attacking)
                        for _ in range(5):  # other clients are not affected
                            answer = await good.call("Post", timeout=8)
                            self.assertNotIsInstance(answer, grpc.RpcError, str(answer)[:300])
                            self.assertEqual(answer[0], b"echo:x")
                    self.assertIn(codes_seen[0], codes)
                    rude.sock.close()
                    good.channel.close()
            finally:
                endpoint.close()

        play(run)

    def test_pings(self) -> None:
        def act(rude: RawClient) -> None:
            for _ in range(200):
                rude.sock.sendall(raw_frame(6, 0, 0, b"12345678"))

        self.check_connection_closed(act, (11, -1))

    def test_settings(self) -> None:
        def act(rude: RawClient) -> None:
            for n in range(200):
                rude.sock.sendall(raw_frame(4, 0, 0, struct.pack(">HI", 4, 1_000 + n)))

        self.check_connection_closed(act, (11, -1))

    def test_streams_opened_and_reset_at_once(self) -> None:
        def act(rude: RawClient) -> None:
            for _ in range(400):
                stream = rude.request("/board.Scores/Upload")
                rude.state.reset_stream(stream)
                rude.flush()

        self.check_connection_closed(act, (11, -1))

    def test_tiny_frames(self) -> None:
        def act(rude: RawClient) -> None:
            stream = rude.request("/board.Scores/Upload", more=(("req-id", "tiny"),))
            rude.flush()
            for _ in range(100):
                rude.sock.sendall(raw_frame(0, 0, stream) * 1_000)

        self.check_connection_closed(act, (11, -1))

    def test_endless_continuation_frames(self) -> None:
        def act(rude: RawClient) -> None:
            rude.sock.sendall(raw_frame(1, 0, 1, b"\x82"))
            for _ in range(5_000):
                rude.sock.sendall(raw_frame(9, 0, 1, b"\x40\x01a\x01b"))

        self.check_connection_closed(act, (1, 11, -1))

    def test_a_header_list_that_is_too_long(self) -> None:
        def act(rude: RawClient) -> None:
            rude.request("/board.Scores/Post", more=tuple((f"x-{n}", "y" * 400) for n in range(60)))
            rude.flush()

        self.check_connection_closed(act, (1, 11, -1))

    def test_a_length_prefix_of_four_gigabytes_and_a_truncated_message(self) -> None:
        async def run(world: World) -> None:
            endpoint = Endpoint(echo)
            try:
                async with grpc_relay(world, endpoint.address) as (relay, front):

                    def act() -> list[bytes]:
                        rude, statuses = RawClient(front), []
                        for body in (b"\x00\xff\xff\xff\xff", b"\x00\x00\x00\x00\x09cut"):
                            stream = rude.request("/board.Scores/Post")
                            rude.state.send_data(stream, body, end_stream=True)
                            rude.flush()
                            while len(statuses) < (1 if body[1] else 2):
                                for event in rude.state.receive_data(rude.sock.recv(65_536)):
                                    if isinstance(event, h2.events.ResponseReceived):
                                        statuses.append(dict(event.headers or [])[b"grpc-status"])
                        rude.sock.close()
                        return statuses

                    self.assertEqual(await anyio.to_thread.run_sync(act), [b"8", b"13"])
                    self.assertTrue(relay.idle)
                    self.assertEqual(endpoint.calls, [])
            finally:
                endpoint.close()

        play(run)

    def test_a_slow_reader_stalls_the_endpoint_with_bounded_memory(self) -> None:
        sent = 0

        def flood(messages: Iterator[bytes], context: grpc.ServicerContext) -> Iterator[bytes]:
            nonlocal sent
            next(messages)
            while sent < 64 and context.is_active():
                sent += 1
                yield b"z" * 1_000_000

        async def run(world: World) -> None:
            endpoint = Endpoint(flood)
            try:
                async with grpc_relay(world, endpoint.address) as (relay, front):
                    slow = await anyio.to_thread.run_sync(lambda: RawClient(front))
                    stream = slow.request("/board.Scores/Watch")
                    slow.state.send_data(stream, frame(b"x"), end_stream=True)
                    slow.flush()
                    await until(lambda: sent)
                    await anyio.sleep(1.0)
                    self.assertLess(sent, 20)  # no more than windows and buffers hold
                    slow.sock.close()
                    await until(lambda: relay.idle)
            finally:
                endpoint.close()

        play(run)


class RestartsAndStops(unittest.TestCase):
    def test_a_kill_with_thirty_calls_open(self) -> None:
        """The relay is killed and started again, and the clients submit the same ids again: safe calls, and keyed calls
        inside their key window, are repeated once each."""
        release = threading.Event()
        effects: dict[str, int] = {}
        keys: dict[str, int] = {}
        lock = threading.Lock()

        def handle(messages: Iterator[bytes], context: grpc.ServicerContext) -> Iterator[bytes]:
            call_metadata = dict(context.invocation_metadata())
            body = next(messages)
            with lock:
                effects[body.decode()] = effects.get(body.decode(), 0) + 1
                if key := call_metadata.get("idempotency-key"):
                    keys[key] = keys.get(key, 0) + 1
            release.wait(LIMIT)
            yield b"done"

        async def test(world: World) -> None:
            endpoint = Endpoint(handle)
            program = Program(world)
            operator = world.folder / "operator.kdl"
            port = free_port()
            operator.write_text(
                f'grpc listen="127.0.0.1:{port}" {{\n route "board.Scores" "Post" class="scores" dest=7\n'
                ' route "board.Scores" "Enter" class="orders" dest=7\n endpoints id="g-0"\n}'
            )
            program.arguments = ["--operator", str(operator)]
            program.say({"discovery": str(world.platform.address), "settings": WIDE})
            world.members = [member(str(endpoint.address), "g-0")]
            from calicohitch.config import Address

            front = Address("127.0.0.1", port)

            async def calls(client: Client, answers: list[Any]) -> None:
                async def call(n: int) -> None:
                    name, more = ("Enter", {"idempotency_key": f"k{n}"}) if n % 2 else ("Post", {})
                    answers.append(await client.call(name, b"m%d" % n, timeout=15, req_id=f"id{n}", **more))

                async with anyio.create_task_group() as tasks:
                    for n in range(30):
                        tasks.start_soon(call, n)

            first = await program.start()
            try:
                client, broken = Client(front), list[Any]()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(calls, client, broken)
                    await until(lambda: len(effects) == 30)
                    first.kill()
                    first.wait(LIMIT)
                self.assertEqual([err.code() for err in broken], [grpc.StatusCode.UNAVAILABLE] * 30)
                client.channel.close()
                release.set()
                with ending(await program.start()) as second:
                    await anyio.sleep(0.5)
                    # No client waits, so the next incarnation does not retry by itself.
                    self.assertEqual(set(effects.values()), {1})
                    client, answers = Client(front), list[Any]()
                    await calls(client, answers)
                    client.channel.close()
                    self.assertEqual([a[0] for a in answers], [b"done"] * 30)
                    self.assertEqual((set(effects.values()), set(keys.values())), ({2}, {2}))
                    second.send_signal(signal.SIGTERM)
                    self.assertEqual(await exit_code(second), 0)
            finally:
                first.kill()
                first.wait(LIMIT)
                endpoint.close()

        play(test)

    def test_a_stop_lets_open_calls_end_and_accepts_no_new_ones(self) -> None:
        release = threading.Event()

        def handle(messages: Iterator[bytes], _context: Any) -> Iterator[bytes]:
            next(messages)
            release.wait(LIMIT)
            yield b"done"

        async def run(world: World) -> None:
            endpoint = Endpoint(handle)
            try:
                async with grpc_relay(world, endpoint.address) as (relay, front):
                    client, answers = Client(front), list[Any]()

                    async def call() -> None:
                        answers.append(await client.call("Post", timeout=10))

                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(call)
                        await until(lambda: endpoint.calls)
                        relay.stopping = True
                        await relay.intake.drain()  # type: ignore[attr-defined]
                        fresh = Client(front)
                        err = await fresh.call("Post", timeout=2)
                        self.assertEqual(err.code(), grpc.StatusCode.UNAVAILABLE)
                        fresh.channel.close()
                        release.set()
                    self.assertEqual(answers[0][0], b"done")
                    client.channel.close()
            finally:
                endpoint.close()

        play(run)


if __name__ == "__main__":
    unittest.main()
