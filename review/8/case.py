"""Discovery is crowded and refuses calls; when it can be reached again, how long is a removed endpoint still called?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lists import Move
from stage import Registry, Stage, play, settings

CASE = Path(__file__).resolve().parent
RELAYS = 12
FLEET = 40  # relays in the settings
CROWDED_S = 16.0
TOLD_AT_THE_LATEST_MS = 6_000.0


async def course(stage: Stage) -> str:
    registry = Registry()
    move = Move(stage, registry)
    await move.begin()
    agents = [await stage.agent(registry, f"n{n}") for n in range(RELAYS)]
    relays = []
    for n, agent in enumerate(agents):
        relay = stage.relay(f"n{n}", agent, settings(balancers=FLEET, self_index=n))
        relay.known = move.known
        await relay.start()
        relays.append(relay)
    await asyncio.gather(*(relay.ready() for relay in relays))
    await move.traffic(relays, 3.0, 4.0)
    if stage.trouble:
        for agent in agents:
            agent.turn("crowded")
    await move.traffic(relays, CROWDED_S, 4.0)
    # From one moment on discovery has the change and can be reached.
    drained = move.drain()
    for agent in agents:
        agent.turn("up")
    await move.traffic(relays, (TOLD_AT_THE_LATEST_MS + 400.0) / 1e3, 4.0)
    await move.replace()
    await move.traffic(relays, 10.0, 4.0)
    await asyncio.sleep(1.0)
    return move.verdict(drained + TOLD_AT_THE_LATEST_MS)


sys.exit(play(CASE, course))
