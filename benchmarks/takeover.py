"""What copies of work in hand cost: CPU a message and the time to the 202, without copies and with one or two.

    .venv/bin/python benchmarks/takeover.py [ROUNDS] [MESSAGES]

Each round plays all three in turn, three relays each, the same messages to one of them at an even rate. Prints medians
over the rounds with their spread: CPU milliseconds a message of the relay that takes them on and of all three, the
median and p99 of the 202 in milliseconds, transactions and reads of the store a second, and bytes on the holders' disks
a message. All traffic is on the loopback, bounded in count and time.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from typing import Any

from harness import ROOT, cpu_of

sys.path.insert(0, str(ROOT / "tests"))

from fleet.fleet_rig import FleetRig  # noqa: E402
from fleet.rig import Rig  # noqa: E402
from fleet.standins import Destination  # noqa: E402

PER_S = 100.0


def rig_of(copies: int) -> Rig:
    dests = (Destination(1, takes_s=0.02),)
    return FleetRig(1, 3, dests, copies=copies) if copies else Rig(1, 3, dests)


async def play(copies: int, messages: int) -> dict[str, float]:
    async with rig_of(copies) as rig:
        await rig.start()
        if isinstance(rig, FleetRig):
            await rig.settled_in()
            await asyncio.sleep(1.0)
        first, times = rig.relays["r0"], list[float]()
        pids = [relay.process.pid for relay in rig.relays.values() if relay.process]

        async def one(n: int, name: str) -> None:
            await asyncio.sleep(n / PER_S)
            began = time.perf_counter()
            if await rig.hand_in("scores", 1, first, f"{name}{n}", 4.0) == 202:
                times.append((time.perf_counter() - began) * 1e3)

        await asyncio.gather(*(one(n, "w") for n in range(100)))
        times.clear()
        await asyncio.sleep(0.5)
        before = [cpu_of(pid) for pid in pids]
        asked = sum(rig.etcd.calls.values()) if isinstance(rig, FleetRig) else 0
        began = time.monotonic()
        await asyncio.gather(*(one(n, "m") for n in range(messages)))
        held = (
            sum(
                path.stat().st_size
                for relay in rig.relays.values()
                for path in (relay.state / "copies").glob("*/journal-*.log")
            )
            if copies
            else 0
        )
        await asyncio.sleep(0.5)
        seconds = time.monotonic() - began
        used = [cpu_of(pid) - was for pid, was in zip(pids, before, strict=True)]
        asked = sum(rig.etcd.calls.values()) - asked if isinstance(rig, FleetRig) else 0
        times.sort()
        return {
            "CPU a message, ms": used[0] * 1e3 / messages,
            "CPU of all three a message, ms": sum(used) * 1e3 / messages,
            "202 median, ms": statistics.median(times),
            "202 p99, ms": times[int(len(times) * 0.99)],
            "taken on, share": len(times) / messages,
            "asked of the store a second": asked / seconds,
            "bytes held at the end": float(held),
        }


def main(rounds: int = 5, messages: int = 800) -> None:
    found: dict[int, list[dict[str, Any]]] = {0: [], 1: [], 2: []}
    for n in range(rounds):
        for copies in (0, 1, 2) if n % 2 else (2, 1, 0):
            found[copies].append(asyncio.run(play(copies, messages)))
    for what in found[0][0]:
        for copies, told in found.items():
            values = [one[what] for one in told]
            print(
                f"{what}: {copies} copies {statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})",
                flush=True,
            )
    for copies in (1, 2):
        ratios = [a["CPU a message, ms"] / b["CPU a message, ms"] for a, b in zip(found[copies], found[0], strict=True)]
        print(
            f"CPU of the owner with {copies} copies beside none: {statistics.median(ratios):.2f} "
            f"({min(ratios):.2f} to {max(ratios):.2f}), {rounds} rounds"
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
