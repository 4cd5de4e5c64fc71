"""Discovery answers a second late: does a relay learn that an endpoint drains?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lists import Move
from stage import Registry, Stage, play, settings

CASE = Path(__file__).resolve().parent
SLOW_S = 1.0
TOLD_AT_THE_LATEST_MS = 6_000.0


async def course(stage: Stage) -> str:
    registry = Registry()
    move = Move(stage, registry)
    await move.begin()
    agents = [await stage.agent(registry, f"n{n}") for n in range(2)]
    relays = []
    for n, agent in enumerate(agents):
        relay = stage.relay(f"n{n}", agent, settings(self_index=n))
        relay.known = move.known
        await relay.start()
        relays.append(relay)
    await asyncio.gather(*(relay.ready() for relay in relays))
    await move.traffic(relays, 3.0)
    if stage.trouble:
        for agent in agents:
            agent.delay_s = SLOW_S
    await move.traffic(relays, 8.0)
    drained = move.drain()
    await move.traffic(relays, (TOLD_AT_THE_LATEST_MS + SLOW_S * 1e3 + 400.0) / 1e3)
    await move.replace()
    await move.traffic(relays, 10.0)
    await asyncio.sleep(1.0)
    return move.verdict(drained + TOLD_AT_THE_LATEST_MS + SLOW_S * 1e3)


sys.exit(play(CASE, course))
