"""A copy of an answer meets the next call on its connection, and the endpoint then hangs: the message is lost."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import ORDERS, SCORES, Answer, Endpoint, Request, World, play

HERE = Path(__file__).resolve().parent
# TROUBLE: 1 both disruptions, 0 none; `copies` and `hang` are one of them alone.
TROUBLE = os.environ.get("TROUBLE", "1")
COPIES, HANG = TROUBLE in ("1", "copies"), TROUBLE in ("1", "hang")
ONE_WAY_S = 0.040  # network between a relay and an endpoint
WORK_S = 0.250
COPY_AFTER_S = 0.010  # the second copy of an answer is written so long after it
HANG_AT_S, HANG_S = 5.0, 10.0  # the limit of the pages is 8.2 to 18 s
COPIES_S = 0.300  # so long before the hang answers come twice
CLUMP, CLUMP_S = 30, 0.450  # messages for one destination, and how long before the hang they are handed in
CAPACITY_PER_S = 25.0
LAST_HANDED_IN_S = 8.0
DAYS = 3  # played one after the other, each with relays, folders and stand-ins of its own
ORDERS = ORDERS | {"hard_limit": 12_000_000}  # as on the later days
SLACK_S = 0.300 + 0.050  # after a message's time, until its end is overdue


class Partner:
    """Destination 7, with one endpoint and no limit but its capacity."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.copying = self.hanging = False
        self._waiting: set[asyncio.StreamWriter] = set()  # connections with a call that is not answered

    async def serve(self, _relay: str, request: Request) -> Answer:
        self._waiting.add(request.writer)
        await asyncio.sleep(WORK_S)
        if self.hanging:
            await asyncio.sleep(120)  # a call that it took while it hangs is never answered
        self._waiting.discard(request.writer)
        if self.copying:
            self._world.spawn(self._second_copy(request))
        return 200, {"Srv-Load": "x0=0,x1=0"}

    async def _second_copy(self, request: Request) -> None:
        """Nothing else may wait on the connection, as far as the endpoint can see."""
        await asyncio.sleep(COPY_AFTER_S)
        if not self.hanging and request.writer not in self._waiting and not request.writer.is_closing():
            self._world.record.add("second_copy", of=request.headers["req-id"])
            request.writer.write(b"HTTP/1.1 200 X\r\nSrv-Load: x0=0,x1=0\r\nContent-Length: 0\r\n\r\n")


async def serve_other(_relay: str, _request: Request) -> Answer:
    await asyncio.sleep(WORK_S)
    return 200, {"Srv-Load": "x0=0,x1=0"}


def lost(world: World) -> list[str]:
    """Messages that were taken on, and neither delivered nor ended by a notice when that was due."""
    ends: dict[str, float] = {}
    for event in world.record.events:
        if event["kind"] == "notice" or event["kind"] == "answer" and event["status"] == 200:
            ends.setdefault(event["id"], event["at"])
    handed_in = {event["id"]: event for event in world.record.of("sent")}
    found = []
    for event in world.record.of("answered"):
        sent = handed_in[event["id"]]
        due = sent["at"] + sent["deadline_ms"] / 1e3 + SLACK_S
        if event["status"] in (200, 202) and ends.get(event["id"], 1e9) > due:
            found.append(event["id"])
    return found


def change(told: dict[str, Any]) -> None:
    told["services"] = [ORDERS, SCORES]


async def day(number: int) -> int:
    """Play one day; the count of messages that were lost."""
    world = World(HERE, relays=2, change=change, append=number > 0)
    record, partner = world.record, Partner(world)
    record.add("day", number=number + 1)
    world.endpoint(Endpoint("s-1", 7, "booking-firms", "east-wing", CAPACITY_PER_S), partner.serve)
    world.endpoint(Endpoint("s-2", 8, "booking-firms", "west-wing", CAPACITY_PER_S), serve_other)
    world.delay_endpoints(ONE_WAY_S)
    async with world:
        await world.start()
        start, names = record.now(), list(world.relays)
        for service, dest, per_s in ((ORDERS, 7, 8), (SCORES, 7, 2), (ORDERS, 8, 4), (SCORES, 8, 1)):
            world.spawn(world.clients(start + LAST_HANDED_IN_S, per_s, dest, service, names))
        await world.at(start + HANG_AT_S - CLUMP_S)
        for n in range(CLUMP):
            world.spawn(world.hand_in(world.relays[names[n % 2]], 7, ORDERS["hard_limit"] // 1000))
        await world.at(start + HANG_AT_S - COPIES_S)
        partner.copying = COPIES
        record.add("trouble", answers_come_twice=COPIES)
        await world.at(start + HANG_AT_S)
        partner.copying, partner.hanging = False, HANG
        record.add("trouble", answers_come_twice=False, hangs=HANG)
        await world.at(start + HANG_AT_S + HANG_S)
        partner.hanging = False
        record.add("trouble", hangs=False)
        await world.at(start + LAST_HANDED_IN_S + ORDERS["hard_limit"] / 1e6 + SLACK_S + 0.5)
        found = lost(world)
        print(f"{len(found)} messages were taken on and have no end: {' '.join(found)}")
        record.add("verdict", lost=len(found), ids=",".join(found) or "-")
        return len(found)


async def case() -> bool:
    return sum([await day(number) for number in range(DAYS)]) > 0


sys.exit(play(case))
