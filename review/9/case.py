"""A relay with a long list is killed while discovery is down: does the next life call an endpoint that is gone?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from lists import Move
from stage import Registry, Stage, play, settings

CASE = Path(__file__).resolve().parent
MEMBERS = 800
DOWN_S = 8.0


async def course(stage: Stage) -> str:
    registry = Registry()
    move = Move(stage, registry)
    await move.begin(MEMBERS)
    agent = await stage.agent(registry, "n0")
    relay = stage.relay("n0", agent, settings())
    relay.known = move.known
    await relay.start()
    await relay.ready()
    await move.traffic([relay], 3.0)
    move.drain()
    await move.traffic([relay], 3.0)
    told = await move.replace()
    await move.traffic([relay], 2.0)
    if agent.told_revision != registry.revision:
        raise RuntimeError("the relay was not told of the change")
    if stage.trouble:
        agent.turn("down")
        await relay.kill()
        await asyncio.sleep(0.6)
        told = await relay.start()
        await relay.ready()
    await move.traffic([relay], DOWN_S - 2.0)
    if stage.trouble:
        agent.turn("up")
    await move.traffic([relay], 2.0)
    return move.verdict(told)


sys.exit(play(CASE, course))
