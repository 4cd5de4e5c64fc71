"""How 24 relays come back after 17 were killed at once, and what a start costs, beside another revision.

    .venv/bin/python benchmarks/returns.py REVISION [SEEDS]

Each seed is played by both trees in turn. Prints, as medians with the worst: seconds from the restart until the last
message that the killed relays had taken on was over; calls refused above the limits in the first 2 s; messages on time.
Then CPU seconds from the start of a process until it is ready, with an empty folder and with 100,000 records in it.
All traffic is on the loopback, bounded in count and time.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from harness import ROOT, Platform, RelayProcess
from versions import checkout

sys.path.insert(0, str(ROOT / "tests"))

from fleet.standins import Destination  # noqa: E402
from fleet.rig import Rig  # noqa: E402

RELAYS, KILLED, LIMIT, LOAD = 24, 17, 100.0, 190.0


async def herd(seed: int, root: Path) -> dict[str, float]:
    dests = Destination(1, LIMIT), Destination(2, LIMIT)
    async with Rig(seed, RELAYS, dests, root=root) as rig:
        await rig.start()
        began = rig.story.now()
        rig.load(5.0, LOAD)
        await rig.at(began + 2.0)
        names = rig.random.sample(sorted(rig.relays), KILLED)
        rig.kill(*names)
        killed_at = rig.story.now()
        await rig.at(killed_at + 0.6)
        for name in names:
            rig.begin(name)
        back_at = rig.story.now()
        await rig.come(*names)
        await rig.settled(8.5)
        report = rig.audit()
        if report.findings:
            print(report.text(), file=sys.stderr)
        held = {
            event.id
            for event in rig.story.of("client")
            if event.status == 202 and event.relay in names and event.at < killed_at
        }
        ends = [
            event.at
            for event in rig.story.of("answer", "notice")
            if event.id in held and event.facts.get("status", 200) == 200 and event.at > back_at
        ]
        above = sum(
            event.status in (429, 503) and back_at < event.at < back_at + 2.0 for event in rig.story.of("answer")
        )
        return {
            "backlog out, s": max(ends, default=back_at) - back_at,
            "refused in 2 s": above,
            "on time, share": report.on_time / max(1, report.taken),
            "findings": len(report.findings),
        }


def start_cpu(root: Path, records: int) -> float:
    """CPU seconds from the start until ready."""
    platform = Platform()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if records:
            fill(folder / "state", records)
        relay = RelayProcess(platform, folder, root=root)
        try:
            return relay.cpu_s()
        finally:
            relay.close()
            platform.close()


def fill(folder: Path, records: int) -> None:
    """A folder as this tree writes it, which the version before reads as well: delivered messages before open ones."""
    from calicohitch.journal import Entry, Journal

    journal = Journal(folder, 60e6)
    soon = time.time() * 1e3 + 20_000
    journal.record_accepted(Entry(journal.next_number, "first", "entry-orders", 7, soon, "k", bytes(60)))
    for n in range(records // 3):
        number = journal.next_number
        journal.record_accepted(Entry(number, f"m{n}", "entry-orders", 7, soon, f"k{n}", bytes(60)))
        journal.record_attempt(number, 0, soon - 20_000, 0)
        journal.record_closed(number)
    journal.close()


def main(revision: str, seeds: int = 10) -> None:
    with tempfile.TemporaryDirectory() as folder:
        before = checkout(revision, Path(folder))
        found: dict[str, list[dict[str, float]]] = {"now": [], revision: []}
        for seed in range(1, seeds + 1):
            trees = [("now", ROOT), (revision, before)]
            for name, root in trees if seed % 2 else trees[::-1]:
                found[name].append(asyncio.run(herd(seed, root)))
        for what in found["now"][0]:
            for name, told in found.items():
                values = [one[what] for one in told]
                print(
                    f"{what}: {name} median {statistics.median(values):.2f}, from {min(values):.2f} to "
                    f"{max(values):.2f}, {len(values)} seeds",
                    flush=True,
                )
        for records in (0, 100_000):
            for name, root in (("now", ROOT), (revision, before)):
                values = [start_cpu(root, records) for _ in range(3)]
                print(f"start with {records} records: {name} {statistics.median(values):.2f} s of CPU", flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 10)
