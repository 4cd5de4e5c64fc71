"""A partner whose kind takes several messages in a call comes back cold: do relays that saw it fail push it over?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from cold import ColdEndpoint, Slots
from stage import BEND, Registry, Stage, bend, member, play

CASE = Path(__file__).resolve().parent
CELL = 3
RELAYS = 3
SLOTS = 12
LIMIT, CAPACITY = 4.0, 5.5  # calls a second of one endpoint
FAILS_S, FAIL_SHARE = 14.0, 0.8
COLD_FROM = 0.2  # the site has 0.18 to 0.26, and the settings the least
FALL_S, MULTIPLE, RAMP_S = BEND["fall"] / 1e6, BEND["tip_multiple"], BEND["ramp_time"] / 1e6
PER_S = 4.5  # messages for the partner, of two endpoints
BATCH = int(os.environ.get("BATCH", "10"))  # BATCH=1: the same with one message in a call


async def course(stage: Stage) -> str:
    registry = Registry()
    slots = Slots(stage.clients, SLOTS)
    endpoints = []
    for n in range(2):
        made = ColdEndpoint(
            f"s-{n}", CELL, stage.record, stage.clients, slots, LIMIT, CAPACITY, COLD_FROM, RAMP_S, MULTIPLE, FALL_S
        )
        await made.open()
        stage.servers.append(made)
        endpoints.append(made)
    registry.set(
        *(
            member(made.name, made.address, CELL, size=LIMIT, flavor="major-partners", zone="building-a")
            for made in endpoints
        )
    )
    relays = []
    for n in range(RELAYS):
        relay = stage.relay(f"n{n}", await stage.agent(registry, f"n{n}"), bend(RELAYS, n, SLOTS, [BATCH, 1]))
        relay.known = registry.whole()
        await relay.start()
        relays.append(relay)
    await asyncio.gather(*(relay.ready() for relay in relays))
    turn = 0

    async def traffic(for_s: float) -> None:
        nonlocal turn
        until = stage.record.now() + for_s * 1e3
        while stage.record.now() < until:
            turn += 1
            cls, time_ms = ("game-update", 24_000) if turn % 2 else ("entry-payment", 28_000)
            asyncio.ensure_future(stage.clients.hand_in(relays[turn // 2 % RELAYS], cls, CELL, time_ms))
            await asyncio.sleep(1 / PER_S)

    await traffic(12.0)
    if stage.trouble:
        for made in endpoints:
            made.fails(FAIL_SHARE)
    await traffic(FAILS_S)
    if stage.trouble:
        for made in endpoints:
            made.comes_back()
    await traffic(14.0)
    for made in endpoints:
        since = [at for at, _ in made.calls if at >= made.back_at]
        stage.record.add("judged", endpoint=made.name, calls_after_the_return=len(since), fallen=int(bool(made.fallen)))
    return "; ".join(made.fallen for made in endpoints if made.fallen)


sys.exit(play(CASE, course))
