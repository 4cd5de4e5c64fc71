"""Three relays and a coordination store of the tests: one relay is killed with work in hand, and the others go on with
it.

    make demo-fleet

Prints what each party saw, with its time in seconds, and ends by itself.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from fleet.fleet_rig import TTL_S, FleetRig  # noqa: E402
from fleet.standins import Destination  # noqa: E402

MESSAGES, TAKES_S = 6, 0.4


async def demo() -> int:
    print(f"three relays begin, each with copies of its work at another; a lease is {TTL_S:g} s")
    async with FleetRig(1, 3, (Destination(1, takes_s=TAKES_S),)) as rig:
        await rig.start()
        await rig.settled_in()
        first = rig.relays["r0"]
        classes = ("orders", "scores", "entries")
        for n in range(8):  # so that it knows how long calls take there
            await rig.hand_in("scores", 1, first, f"before-{n + 1}", 4.0)
        await asyncio.sleep(3 * TAKES_S)
        rig.story.events.clear()
        for n in range(MESSAGES):
            await rig.hand_in(classes[n % 3], 1, first, f"message-{n + 1}", 8.0)
        await asyncio.sleep(0.1)
        rig.kill("r0")
        rig.leave("r0")
        until = rig.story.now() + 9.0
        while rig.story.now() < until and len(_ends(rig)) < MESSAGES:
            await asyncio.sleep(0.1)
        for event in rig.story.events:
            if line := _told(event.kind, event.facts):
                print(f"{event.at:7.3f}  {line}")
        print()
        for relay in ("r1", "r2"):
            for line in rig.relays[relay].log().splitlines():
                if "are claimed" in line or "are taken over" in line:
                    print(f"{relay}: {line}")
        ended = _ends(rig)
        print(
            f"\n{len(ended)} of {MESSAGES} messages that r0 had taken on came to their one end without it: "
            f"{sum(how == 'delivered' for how in ended.values())} delivered, "
            f"{sum(how != 'delivered' for how in ended.values())} ended by a notice (an entry that may have run is "
            "not sent twice)"
        )
        return 0 if len(ended) == MESSAGES else 1


def _ends(rig: FleetRig) -> dict[str, str]:
    ends = {event.id: "delivered" for event in rig.story.of("answer") if event.status == 200}
    return {event.id: event.outcome for event in rig.story.of("notice")} | ends


def _told(kind: str, facts: dict[str, object]) -> str:
    wire_id, relay = facts.get("id", ""), facts.get("relay", "")
    return {
        "client": f"{wire_id}: {relay} answers {facts.get('status')}",
        "call": f"{wire_id}: {relay} calls {facts.get('endpoint')}",
        "unanswered": f"{wire_id}: the call of {relay} breaks off",
        "answer": f"{wire_id}: {facts.get('endpoint')} answers {facts.get('status')} to {relay}",
        "notice": f"{wire_id}: {relay} tells the platform: {facts.get('outcome')}",
        "fault": f"---- {facts.get('what')} {relay}" if facts.get("what") == "SIGKILL" else "",
    }.get(kind, "")


if __name__ == "__main__":
    sys.exit(asyncio.run(demo()))
