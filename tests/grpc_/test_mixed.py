"""HTTP/1.1 and gRPC at one partner system, with faults: every rule is kept over both together."""

from __future__ import annotations

import random
import threading
import time
import unittest
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

import anyio
import grpc
from calicohitch.core.protocols import Result
from calicohitch.interface import Outcome, Send
from calicohitch.net.discovery import Member
from calicohitch.net.relay import Relay
from fake_servers.grpc_world import Client, Endpoint, grpc_relay
from world import SETTINGS, World, member, play, until

WIDE: dict[str, Any] = SETTINGS | {"family_info": {"call_slots": 12}, "caps": SETTINGS["caps"] | {"open_cap": 400}}
WAIT_S = 0.4
DRAIN_S = 0.3  # the grace of a drain, with what sockets take
ENDS_MS = 50.0  # a message is ended so long before its time is up, at most


class Book:
    """What one partner system sees, whatever the protocol."""

    def __init__(self, seed: int) -> None:
        self.random, self.lock = random.Random(seed), threading.Lock()
        self.out: set[str] = set()
        self.twice_out: list[str] = []
        self.delivered: Counter[str] = Counter()
        self.waits = self.begun = 0

    def begin(self, name: str) -> str:
        """What to do with a call: ok, fail or wait."""
        with self.lock:
            if name in self.out:
                self.twice_out.append(name)
            self.out.add(name)
            self.begun += 1
            drawn = self.random.random()
            return "wait" if drawn < 0.04 else "fail" if drawn < 0.12 else "ok"

    def end(self, name: str, what: str) -> None:
        with self.lock:
            self.out.discard(name)
            if what == "ok":
                self.delivered[name] += 1
            elif what == "wait":
                self.waits += 1


class Heard:
    """What the relay heard of its calls, and when it sent them. A call may be answered while its message's time ends,
    which is no delivery; and under load an endpoint's thread may begin with a call long after it was sent."""

    def __init__(self) -> None:
        self.sent = self.waits = 0
        self.wait_until = 0.0
        self.in_wait: list[str] = []
        self.outcomes: dict[str, list[Outcome]] = defaultdict(list)
        self.left: dict[str, float] = {}  # milliseconds to the end of a message's time when its last call settled

    def follow(self, relay: Relay) -> None:
        settled, wanted = relay._settled, relay._wanted

        def look(action: Send, member: Member) -> bool:
            if sends := wanted(action, member):
                self.sent += 1
                if relay._clock.now() < self.wait_until - 1.0:  # noted behind the relay's own
                    self.in_wait.append(relay._open[action.message].entry.id)
            return sends

        def note(message: Any, attempt: int, endpoint: int, result: Result) -> None:
            self.outcomes[message.entry.id].append(result.outcome)
            self.left[message.entry.id] = message.entry.deadline - relay._clock.now()
            self.waits += result.wait > 0
            self.wait_until = max(self.wait_until, relay._clock.now() + result.wait) if result.wait else self.wait_until
            settled(message, attempt, endpoint, result)

        relay._settled, relay._wanted = note, look  # type: ignore[method-assign]


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
            answers: dict[str, Any] = {
                "wait": (429, {"Wait-Ms": str(int(WAIT_S * 1e3))}, b""),
                "fail": (500, {}, b""),
                "ok": (200, {}, b""),
            }
            return answers[what]

        async def test(world: World) -> None:
            world.endpoint.handle = deliver
            endpoints = [Endpoint(handle), Endpoint(handle)]
            answers: dict[str, list[Any]] = {}
            heard = Heard()
            try:
                async with grpc_relay(world, *(e.address for e in endpoints), settings=WIDE) as (relay, front):
                    heard.follow(relay)
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
                                world.change(
                                    member(str(world.endpoint.address)),
                                    member(str(endpoints[0].address), "g-0", phase="Terminating"),
                                    member(str(endpoints[1].address), "g-1"),
                                )
                                drained_at = time.monotonic()
                    await until(lambda: relay.idle)
                    client.channel.close()
            finally:
                for endpoint in endpoints:
                    endpoint.close()
            self.assertEqual({name: len(told) for name, told in answers.items()}, {f"g{n}": 1 for n in range(120)})
            for name, (told,) in answers.items():
                if isinstance(told, grpc.RpcError):
                    self.assertIn(
                        told.code(),
                        (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.UNKNOWN, grpc.StatusCode.DEADLINE_EXCEEDED),
                        name,
                    )
                else:
                    self.assertGreaterEqual(book.delivered[name], 1)
            self.assertEqual((book.twice_out, heard.in_wait), ([], []))
            self.assertLessEqual(book.begun, heard.sent)  # no call went round the look before it
            crossed = sum(outcomes.count(Outcome.TIMEOUT) for outcomes in heard.outcomes.values())
            self.assertIn(book.waits - heard.waits, range(crossed + 1))
            self.assertGreater(book.waits, 3)
            self.assertEqual([at - drained_at for *_, at in endpoints[0].calls if at > drained_at + DRAIN_S], [])
            ended = {notice["message"] for notice in world.notices}
            self.assertEqual(len(ended), len(world.notices))
            for name in (f"h{n}" for n in range(120)):  # delivered, as the relay heard, or ended by its one notice
                self.assertTrue((heard.outcomes[name][-1:] == [Outcome.OK]) ^ (name in ended), name)
                self.assertEqual(heard.outcomes[name].count(Outcome.OK), name not in ended, name)
                answered = book.delivered[name]
                if name in ended and answered:  # its last call crossed the end of its time, and no other did
                    self.assertEqual((answered, heard.outcomes[name][-1]), (1, Outcome.TIMEOUT), name)
                    self.assertLess(heard.left[name], ENDS_MS, name)
                elif name not in ended:
                    self.assertEqual(answered, 1, name)

        play(test)


if __name__ == "__main__":
    unittest.main()
