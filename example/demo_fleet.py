"""Failover demo: three relays share the coordination store of the tests; one is killed with messages pending, and
the other two take them over.

    make demo-fleet

Prints the events that clients, endpoints and discovery saw, with their times in seconds, and exits by itself.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from fleet.fleet_rig import TTL_S, FleetRig  # noqa: E402
from fleet.standins import Destination  # noqa: E402

MESSAGES, CALL_S = 6, 0.4


async def demo() -> int:
    print(f"three relays start, each with replicas of its messages on another; a lease lasts {TTL_S:g} s")
    async with FleetRig(1, 3, (Destination(1, takes_s=CALL_S),)) as rig:
        await rig.start()
        await rig.settled_in()
        owner = rig.relays["r0"]
        classes = ("orders", "scores", "entries")
        for n in range(8):  # gives the relay call durations of this destination to estimate from
            await rig.hand_in("scores", 1, owner, f"before-{n + 1}", 4.0)
        await asyncio.sleep(3 * CALL_S)
        rig.story.events.clear()
        for n in range(MESSAGES):
            await rig.hand_in(classes[n % 3], 1, owner, f"message-{n + 1}", 8.0)
        await asyncio.sleep(0.1)
        rig.kill("r0")
        rig.leave("r0")
        give_up_at = rig.story.now() + 9.0
        while rig.story.now() < give_up_at and len(_outcomes(rig)) < MESSAGES:
            await asyncio.sleep(0.1)
        for event in rig.story.events:
            if line := _event_text(event.kind, event.facts):
                print(f"{event.at:7.3f}  {line}")
        print()
        for relay in ("r1", "r2"):
            for line in rig.relays[relay].log().splitlines():
                if "are claimed" in line or "are taken over" in line:
                    print(f"{relay}: {line}")
        outcomes = _outcomes(rig)
        print(
            f"\n{len(outcomes)} of {MESSAGES} messages that r0 had accepted ended without it: "
            f"{sum(outcome == 'delivered' for outcome in outcomes.values())} delivered, "
            f"{sum(outcome != 'delivered' for outcome in outcomes.values())} ended by a notice "
            "(an entry that may have run is not sent twice)"
        )
        return 0 if len(outcomes) == MESSAGES else 1


def _outcomes(rig: FleetRig) -> dict[str, str]:
    delivered = {event.id: "delivered" for event in rig.story.of("answer") if event.status == 200}
    return {event.id: event.outcome for event in rig.story.of("notice")} | delivered


def _event_text(kind: str, facts: dict[str, object]) -> str:
    wire_id, relay = facts.get("id", ""), facts.get("relay", "")
    return {
        "client": f"{wire_id}: {relay} answers {facts.get('status')}",
        "call": f"{wire_id}: {relay} calls {facts.get('endpoint')}",
        "unanswered": f"{wire_id}: the call of {relay} is cut off without an answer",
        "answer": f"{wire_id}: {facts.get('endpoint')} answers {facts.get('status')} to {relay}",
        "notice": f"{wire_id}: {relay} notifies the platform: {facts.get('outcome')}",
        "fault": f"---- {facts.get('what')} {relay}" if facts.get("what") == "SIGKILL" else "",
    }.get(kind, "")


if __name__ == "__main__":
    sys.exit(asyncio.run(demo()))
