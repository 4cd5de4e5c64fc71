"""A second copy of an answer shifts the answers on a connection by one call. The refusal of one call is then taken for
that of the next, which runs, may not be repeated, and is sent again: it runs twice."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import PAYMENTS, TROUBLE, Answer, Endpoint, Request, World, play, second_deployment

HERE = Path(__file__).resolve().parent
ONE_WAY_S = 0.060  # network between a relay and an endpoint
COPY_AFTER_S = 0.040  # the second copy of an answer is written so long after it
PARTNERS, EACH_S = 20, 4.0  # one after the other gets a clump of messages
CLUMP = 30
COPIES_S = 0.7  # from the clump on, answers of its partner come twice
LIMIT_PER_S, DEPTH_S = 10.0, 0.9  # of each partner
TELLS_WAIT, WAIT_MS = 0.3, (410, 950)  # the share of refusals that tell a wait, and its length
SHORT_S, LONG_S, SHORT_SHARE = 0.25, 0.80, 0.6  # work of a call
SEED = 1


class Partner:
    """One endpoint, which takes calls up to a plain rate and turns away those above it. It answers the calls of a
    connection in turn, and whatever it has taken runs to its end, also if its caller leaves."""

    def __init__(self, world: World, drawn: random.Random) -> None:
        self._world, self._drawn = world, drawn
        self._left, self._at = LIMIT_PER_S * DEPTH_S, time.monotonic()
        self._waiting: set[asyncio.StreamWriter] = set()  # connections with a call that is not answered
        self.copying = False

    def _takes(self) -> bool:
        now = time.monotonic()
        self._left = min(LIMIT_PER_S * DEPTH_S, self._left + (now - self._at) * LIMIT_PER_S)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True

    async def serve(self, relay: str, request: Request) -> Answer:
        self._waiting.add(request.writer)
        try:
            if not self._takes():
                if self._drawn.random() < TELLS_WAIT:
                    return 429, {"Wait-Ms": str(self._drawn.randint(*WAIT_MS))}
                return 503, {}
            self._world.record.add("run", id=request.headers["req-id"], relay=relay)
            await asyncio.sleep(SHORT_S if self._drawn.random() < SHORT_SHARE else LONG_S)
        finally:
            self._waiting.discard(request.writer)
        if self.copying:
            self._world.spawn(self._second_copy(request))
        return 200, {}

    async def _second_copy(self, request: Request) -> None:
        """Nothing else may wait on the connection, as far as the endpoint can see."""
        await asyncio.sleep(COPY_AFTER_S)
        if request.writer not in self._waiting and not request.writer.is_closing():
            self._world.record.add("second_copy", of=request.headers["req-id"])
            request.writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")


async def case() -> bool:
    world = World(HERE, relays=3, change=second_deployment)
    record, drawn = world.record, random.Random(SEED)
    partners = [Partner(world, drawn) for _ in range(PARTNERS)]
    for n, partner in enumerate(partners, 1):
        world.endpoint(Endpoint(f"s-{n}", n, "member-clubs", "building-a", LIMIT_PER_S), partner.serve)
    world.delay_endpoints(ONE_WAY_S)
    async with world:
        await world.start()
        start, names = record.now(), list(world.relays)
        for n, partner in enumerate(partners):
            await world.at(start + 1 + EACH_S * n)
            partner.copying = TROUBLE
            record.add("trouble", answers_come_twice=TROUBLE, endpoint=f"s-{n + 1}")
            for k in range(CLUMP):
                relay = world.relays[names[k % len(names)]]
                world.spawn(world.hand_in(relay, n + 1, PAYMENTS["hard_limit"] // 1000, service=PAYMENTS["name"]))
            await asyncio.sleep(COPIES_S)
            partner.copying = False
        await world.at(start + 1 + EACH_S * PARTNERS + 6)
        runs = Counter(event["id"] for event in record.of("run"))
        twice = [wire_id for wire_id, count in runs.items() if count > 1]
        print(f"{len(runs)} messages ran, {len(twice)} of them twice: {' '.join(twice)}")
        record.add("verdict", ran=len(runs), twice=len(twice), ids=",".join(twice) or "-")
        return bool(twice)


sys.exit(play(case))
