"""Relays are killed just after they were told of a drain, while discovery is down: they send to that endpoint again."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import ORDERS, SCORES, Answer, Endpoint, Request, World, play

HERE = Path(__file__).resolve().parent
# TROUBLE: 1 both disruptions, 0 none; `kill` and `down` are one of them alone.
TROUBLE = os.environ.get("TROUBLE", "1")
KILL, DOWN = TROUBLE in ("1", "kill"), TROUBLE in ("1", "down")
DRAIN_AT_S, END_S = 4.0, 15.0
THEN_S = 0.2  # from the change of the list to the kill; half of it to the outage of discovery
KILLED = ("n0", "n1")  # of three: the pages allow seven in ten
DOWN_S, STARTED_AFTER_S = 8.0, 0.6
GRACE_S = 0.250 + 0.050
WORK_S = 0.250


async def case() -> bool:
    world = World(HERE, relays=3)
    record = world.record

    def add(name: str, dest: int) -> Endpoint:
        endpoint = Endpoint(name, dest, "booking-firms", "east-wing", 16.0)

        async def serve(_relay: str, _request: Request) -> Answer:
            if endpoint.phase != "Ready":  # it finishes what it has and wants nothing new
                return 503, {}
            await asyncio.sleep(WORK_S)
            return 200, {"Srv-Load": "x0=0,x1=0"}

        world.endpoint(endpoint, serve)
        return endpoint

    add("s-1", 7)
    draining = add("s-2", 7)
    add("s-3", 8)
    async with world:
        await world.start()
        start, names = record.now(), list(world.relays)
        for service, dest, per_s in ((ORDERS, 7, 8), (SCORES, 7, 4), (ORDERS, 8, 6), (SCORES, 8, 2)):
            world.spawn(world.clients(start + END_S - 1, per_s, dest, service, names))
        await world.at(start + DRAIN_AT_S)
        draining.phase = "Terminating"
        record.add("trouble", draining=draining.id)
        for relay in world.relays.values():
            relay.agent.change()
        await asyncio.sleep(THEN_S / 2)
        told = {name: relay.agent.told[relay.agent.revision] for name, relay in world.relays.items()}
        record.add("trouble", discovery_down=DOWN)
        for relay in world.relays.values():
            relay.agent.silent = DOWN
        await asyncio.sleep(THEN_S / 2)
        if KILL:
            killed = [world.relays[name] for name in KILLED]
            for relay in killed:
                relay.signal(signal.SIGKILL, record)
            await asyncio.sleep(STARTED_AFTER_S)
            for relay in killed:
                relay.start(record)
            for relay in killed:
                await relay.until_ready(record)
        await world.at(start + DRAIN_AT_S + THEN_S / 2 + DOWN_S)
        for relay in world.relays.values():
            relay.agent.back()
        record.add("trouble", discovery_down=False)
        await world.at(start + END_S)
        late = [
            (event["relay"], round(event["first_byte"] - told[event["relay"]], 2))
            for event in record.of("call")
            if event["endpoint"] == draining.id and event["first_byte"] > told[event["relay"]] + GRACE_S
        ]
        print(f"{len(late)} calls to the draining endpoint (relay, seconds after it was told): {late[:6]}")
        record.add("verdict", late_calls=len(late))
        return bool(late)


sys.exit(play(case))
