"""A kill right behind the 202s that end a long quiet time: are the untried messages called by the next life?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stage import Registry, Stage, bend, member, play

CASE = Path(__file__).resolve().parent
QUIET_S = 34.0
MESSAGES = 24
TIME_MS = 28_000  # the class's deadline
CELL = 3


async def course(stage: Stage) -> str:
    registry = Registry()
    endpoints = [await stage.endpoint(f"s-{n}", CELL) for n in range(2)]
    for endpoint in endpoints:
        endpoint.work_s = 0.3
    registry.set(
        *(
            member(endpoint.name, endpoint.address, CELL, flavor="member-clubs", zone="building-a")
            for endpoint in endpoints
        )
    )
    agent = await stage.agent(registry, "n0")
    relay = stage.relay("n0", agent, bend(3, 0, 12, [1, 1]))
    relay.known = registry.whole()
    await relay.start()
    await relay.ready()
    # One message that is delivered, then quiet.
    await stage.clients.hand_in(relay, "entry-payment", CELL, TIME_MS)
    await asyncio.sleep(QUIET_S)
    ids = await asyncio.gather(*(stage.clients.hand_in(relay, "entry-payment", CELL, TIME_MS) for _ in range(MESSAGES)))
    taken = [wire_id for wire_id in ids if wire_id]
    if stage.trouble:
        killed = await relay.kill()
        tried = {wire_id for endpoint in endpoints for _, wire_id in endpoint.calls}
        untried = [wire_id for wire_id in taken if wire_id not in tried]
        stage.record.add("found", taken=len(taken), untried=len(untried))
        await asyncio.sleep(0.6)
        await relay.start()
        await relay.ready()
    else:
        killed, untried = stage.record.now(), list(taken)
    if len(untried) < 4:
        raise RuntimeError(f"only {len(untried)} messages were untried")
    half = killed + TIME_MS / 2
    while stage.record.now() < half + 500:
        await asyncio.sleep(0.1)
    called = {wire_id for endpoint in endpoints for _, wire_id in endpoint.calls}
    ended = {notice["message"]: at for at, notice in agent.notices}
    # Given up early with no call: its end was told in the first half of its time, and it was never called.
    given_up = [
        wire_id
        for wire_id in untried
        if wire_id not in called and ended.get(wire_id, half) < stage.clients.taken[wire_id] + TIME_MS / 2
    ]
    stage.record.add("judged", untried=len(untried), given_up_early_with_no_call=len(given_up))
    if 2 * len(given_up) > len(untried):
        return f"{len(given_up)} of {len(untried)} messages that the restart found untried were given up with no call"
    return ""


sys.exit(play(CASE, course))
