"""HTTP/1.1 and gRPC at one partner system, with faults: every rule is kept over both together."""

from __future__ import annotations

import random
import threading
import time
import unittest
from collections import Counter
from collections.abc import Iterator
from typing import Any

import anyio
import grpc
from parties.grpc_world import Client, Endpoint, grpc_relay
from world import SETTINGS, World, member, play, until

WIDE: dict[str, Any] = SETTINGS | {"family_info": {"call_slots": 12}, "caps": SETTINGS["caps"] | {"open_cap": 400}}
WAIT_S = 0.4
CROSSING_S = 0.1  # calls that cross a told wait on the wire are let through for so long
DRAIN_S = 0.3  # the grace of a drain, with what sockets take


class Book:
    """What one partner system sees, whatever the protocol."""

    def __init__(self, seed: int) -> None:
        self.random, self.lock = random.Random(seed), threading.Lock()
        self.out: set[str] = set()
        self.wait_until = self.wait_from = 0.0
        self.twice_out: list[str] = []
        self.in_wait: list[float] = []
        self.delivered: Counter[str] = Counter()
        self.waits = 0

    def begin(self, name: str) -> str:
        """What to do with a call: ok, fail or wait."""
        with self.lock:
            now = time.monotonic()
            if name in self.out:
                self.twice_out.append(name)
            self.out.add(name)
            if self.wait_from + CROSSING_S < now < self.wait_until:
                self.in_wait.append(now - self.wait_from)
            drawn = self.random.random()
            return "wait" if drawn < 0.04 else "fail" if drawn < 0.12 else "ok"

    def end(self, name: str, what: str) -> None:
        with self.lock:
            self.out.discard(name)
            if what == "ok":
                self.delivered[name] += 1
            elif what == "wait":
                self.waits += 1
                self.wait_from = time.monotonic()
                self.wait_until = max(self.wait_until, self.wait_from + WAIT_S)


class Mixed(unittest.TestCase):
    def test_every_rule_is_kept_over_both_protocols(self) -> None:
        book = Book(7)

        def handle(messages: Iterator[bytes], context: grpc.ServicerContext) -> Iterator[bytes]:
            name = next(messages).decode()
            what = book.begin(name)
            time.sleep(0.02)
            book.end(name, what)
            if what == "wait":
                context.set_trailing_metadata((("grpc-retry-pushback-ms", str(int(WAIT_S * 1e3))),))
                context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "busy")
            if what == "fail":
                context.abort(grpc.StatusCode.INTERNAL, "broken")
            yield b"done"

        async def deliver(request: Any) -> Any:
            name = request.headers[b"req-id"].decode()
            what = book.begin(name)
            await anyio.sleep(0.02)
            book.end(name, what)
            answers: dict[str, Any] = {"wait": (429, {"Wait-Ms": str(int(WAIT_S * 1e3))}, b""), "fail": (500, {}, b""),
                                       "ok": (200, {}, b"")}
            return answers[what]

        async def test(world: World) -> None:
            world.endpoint.handle = deliver
            endpoints = [Endpoint(handle), Endpoint(handle)]
            answers: dict[str, list[Any]] = {}
            try:
                async with grpc_relay(world, *(e.address for e in endpoints), settings=WIDE) as (relay, front):
                    client = Client(front)

                    async def call(n: int) -> None:
                        name, keyed = f"g{n}", n % 2
                        more = {"idempotency_key": f"k{n}"} if keyed else {}
                        told = await client.call("Enter" if keyed else "Post", name.encode(), timeout=20, **more)
                        answers.setdefault(name, []).append(told)

                    async with anyio.create_task_group() as tasks:
                        for n in range(120):
                            tasks.start_soon(call, n)
                            self.assertEqual((await world.hand_in(f"h{n}", path="/scores")).status, 202)
                            await anyio.sleep(0.015)
                            if n == 60:
                                world.change(member(str(world.endpoint.address)),
                                    member(str(endpoints[0].address), "g-0", phase="Terminating"),
                                    member(str(endpoints[1].address), "g-1"))
                                drained_at = time.monotonic()
                    await until(lambda: relay.idle)
                    client.channel.close()
            finally:
                for endpoint in endpoints:
                    endpoint.close()
            self.assertEqual({name: len(told) for name, told in answers.items()}, {f"g{n}": 1 for n in range(120)})
            for name, (told,) in answers.items():
                if isinstance(told, grpc.RpcError):
                    self.assertIn(told.code(), (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.UNKNOWN,
                        grpc.StatusCode.DEADLINE_EXCEEDED), name)
                else:
                    self.assertGreaterEqual(book.delivered[name], 1)
            self.assertEqual((book.twice_out, book.in_wait), ([], []))
            self.assertGreater(book.waits, 3)
            self.assertEqual([at - drained_at for *_, at in endpoints[0].calls if at > drained_at + DRAIN_S], [])
            ended = {notice["message"] for notice in world.notices}
            self.assertEqual(len(ended), len(world.notices))
            for n in range(120):  # delivered or ended by its one notice
                self.assertTrue((book.delivered[f"h{n}"] >= 1) ^ (f"h{n}" in ended), n)

        play(test)


if __name__ == "__main__":
    unittest.main()
