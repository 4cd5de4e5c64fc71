"""An answer comes twice and crosses the next call, which hangs: is that message ever ended?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from far import FarEndpoint
from stage import Registry, Stage, member, play, settings

CASE = Path(__file__).resolve().parent
KIND = os.environ.get("TROUBLE", "1")  # "copies" or "hang": one of the two disruptions alone
RELAYS, ROUNDS, SLOTS = 2, 3, 3
ONE_WAY_S, WORK_S = 0.04, 0.2
TIME_MS = 5_000  # the class's deadline
HANG_S = 10.0
SLACK_MS = 350.0


async def course(stage: Stage) -> str:
    registry = Registry()
    partners = []
    for cell in range(1, RELAYS * ROUNDS * SLOTS + 1):
        made = FarEndpoint(f"s-{cell}", cell, stage.record, ONE_WAY_S, WORK_S)
        await made.open()
        stage.servers.append(made)
        partners.append(made)
    sound = []
    for cell in range(101, 105):
        sound.append(FarEndpoint(f"s-{cell}", cell, stage.record, ONE_WAY_S, WORK_S))
        await sound[-1].open()
        stage.servers.append(sound[-1])
    registry.set(*(member(made.name, made.address, made.cell) for made in [*partners, *sound]))
    base = settings()
    relays = []
    for n in range(RELAYS):
        told = base | {"self_index": n, "family_info": base["family_info"] | {"call_slots": SLOTS}}
        relay = stage.relay(f"n{n}", await stage.agent(registry, f"n{n}"), told)
        relay.known = registry.whole()
        await relay.start()
        relays.append(relay)
    await asyncio.gather(*(relay.ready() for relay in relays))
    await asyncio.sleep(1.0)
    count = 0
    for turn in range(ROUNDS):
        handed = []
        for n, relay in enumerate(relays):
            mine = partners[(turn * RELAYS + n) * SLOTS :][:SLOTS]
            now = stage.record.now()
            for partner in mine:
                if KIND in ("1", "copies"):
                    partner.copies_from = now
                if KIND in ("1", "hang"):
                    # From its first answer on it answers nothing more.
                    partner.hangs_from = now + (ONE_WAY_S + WORK_S + 0.03) * 1e3
                    partner.hangs_to = partner.hangs_from + HANG_S * 1e3
            for _ in range(2):
                handed += [stage.clients.hand_in(relay, "score-updates", partner.cell, TIME_MS) for partner in mine]
        await asyncio.gather(*handed)
        # The other partners get four fifths of the messages.
        await asyncio.sleep(0.5)
        for _ in range(2 * 2 * SLOTS):
            for relay in relays:
                for _ in range(2):
                    count += 1
                    asyncio.ensure_future(
                        stage.clients.hand_in(relay, "score-updates", sound[count % len(sound)].cell, TIME_MS)
                    )
            await asyncio.sleep(0.4)
        await asyncio.sleep(TIME_MS / 1e3 - 4.0)
    await asyncio.sleep(TIME_MS / 1e3)
    await asyncio.sleep(SLACK_MS / 1e3)
    delivered = {wire_id for partner in [*partners, *sound] for wire_id in partner.answered}
    noticed = {notice["message"]: at for relay in relays for at, notice in relay.agent.notices}
    lost = []
    for wire_id, at in stage.clients.taken.items():
        if wire_id not in delivered and noticed.get(wire_id, float("inf")) > at + TIME_MS + SLACK_MS:
            lost.append(wire_id)
            stage.record.add("lost", id=wire_id, noticed=noticed.get(wire_id, "never"))
    stage.record.add(
        "judged", taken=len(stage.clients.taken), delivered=len(delivered), noticed=len(noticed), lost=len(lost)
    )
    if lost:
        taken = len(stage.clients.taken)
        return f"{len(lost)} of {taken} messages that were taken on were never ended ({' '.join(lost[:5])} ...)"
    return ""


sys.exit(play(CASE, course))
