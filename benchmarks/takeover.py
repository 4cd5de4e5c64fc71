"""Cost of replicas of accepted messages: CPU a message and time to the 202, with no, one or two replicas.

    .venv/bin/python benchmarks/takeover.py [ROUNDS] [MESSAGES]

Each round runs the three cases in turn with three relays each, and submits the same messages to one relay at a constant
rate. Prints medians over the rounds with the minimum and maximum: CPU milliseconds a message of the accepting relay and
of all three, median and p99 of the time to the 202 in milliseconds, share of messages accepted, requests to the
coordination store a second, and bytes of replicas on the holders' disks. All traffic is on the loopback interface,
bounded in count and time.
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

MESSAGES_PER_S = 100.0


def make_rig(copies: int) -> Rig:
    dests = (Destination(1, takes_s=0.02),)
    return FleetRig(1, 3, dests, copies=copies) if copies else Rig(1, 3, dests)


async def measure(copies: int, messages: int) -> dict[str, float]:
    async with make_rig(copies) as rig:
        await rig.start()
        if isinstance(rig, FleetRig):
            await rig.settled_in()
            await asyncio.sleep(1.0)
        owner, response_ms = rig.relays["r0"], list[float]()
        pids = [relay.process.pid for relay in rig.relays.values() if relay.process]

        async def submit(n: int, name: str) -> None:
            await asyncio.sleep(n / MESSAGES_PER_S)
            started_at = time.perf_counter()
            if await rig.hand_in("scores", 1, owner, f"{name}{n}", 4.0) == 202:
                response_ms.append((time.perf_counter() - started_at) * 1e3)

        await asyncio.gather(*(submit(n, "w") for n in range(100)))
        response_ms.clear()
        await asyncio.sleep(0.5)
        before = [cpu_of(pid) for pid in pids]
        store_requests = sum(rig.etcd.calls.values()) if isinstance(rig, FleetRig) else 0
        started_at = time.monotonic()
        await asyncio.gather(*(submit(n, "m") for n in range(messages)))
        replica_bytes = (
            sum(
                path.stat().st_size
                for relay in rig.relays.values()
                for path in (relay.state / "copies").glob("*/journal-*.log")
            )
            if copies
            else 0
        )
        await asyncio.sleep(0.5)
        seconds = time.monotonic() - started_at
        used_cpu_s = [cpu_of(pid) - cpu_before for pid, cpu_before in zip(pids, before, strict=True)]
        store_requests = sum(rig.etcd.calls.values()) - store_requests if isinstance(rig, FleetRig) else 0
        response_ms.sort()
        return {
            "CPU a message, ms": used_cpu_s[0] * 1e3 / messages,
            "CPU of all three a message, ms": sum(used_cpu_s) * 1e3 / messages,
            "202 median, ms": statistics.median(response_ms),
            "202 p99, ms": response_ms[int(len(response_ms) * 0.99)],
            "accepted, share": len(response_ms) / messages,
            "store requests a second": store_requests / seconds,
            "replica bytes at the end": float(replica_bytes),
        }


def main(rounds: int = 5, messages: int = 800) -> None:
    found: dict[int, list[dict[str, Any]]] = {0: [], 1: [], 2: []}
    for n in range(rounds):
        for copies in (0, 1, 2) if n % 2 else (2, 1, 0):
            found[copies].append(asyncio.run(measure(copies, messages)))
    for label in found[0][0]:
        for copies, results in found.items():
            values = [result[label] for result in results]
            print(
                f"{label}: {copies} copies {statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})",
                flush=True,
            )
    for copies in (1, 2):
        ratios = [a["CPU a message, ms"] / b["CPU a message, ms"] for a, b in zip(found[copies], found[0], strict=True)]
        print(
            f"CPU of the owner with {copies} copies against none: {statistics.median(ratios):.2f} "
            f"({min(ratios):.2f} to {max(ratios):.2f}), {rounds} rounds"
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
