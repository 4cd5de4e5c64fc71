"""Recovery of 24 relays after 17 were killed at once, and the CPU cost of a start, against another revision.

    .venv/bin/python benchmarks/returns.py REVISION [SEEDS]

Each seed runs on both trees in turn. Prints medians with the minimum and maximum: seconds from the restart until the
last message that the killed relays had accepted ended; calls refused above the limits in the first 2 s; share of
messages on time. Then CPU seconds from the start of a process until it is ready, with an empty state folder and with
100,000 records in it. All traffic is on the loopback interface, bounded in count and time.
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

RELAYS, KILLED, LIMIT_PER_S, LOAD_PER_S = 24, 17, 100.0, 190.0


async def mass_restart(seed: int, root: Path) -> dict[str, float]:
    dests = Destination(1, LIMIT_PER_S), Destination(2, LIMIT_PER_S)
    async with Rig(seed, RELAYS, dests, root=root) as rig:
        await rig.start()
        started_at = rig.story.now()
        rig.load(5.0, LOAD_PER_S)
        await rig.at(started_at + 2.0)
        names = rig.random.sample(sorted(rig.relays), KILLED)
        rig.kill(*names)
        killed_at = rig.story.now()
        await rig.at(killed_at + 0.6)
        for name in names:
            rig.begin(name)
        restarted_at = rig.story.now()
        await rig.come(*names)
        await rig.settled(8.5)
        report = rig.audit()
        if report.findings:
            print(report.text(), file=sys.stderr)
        accepted_ids = {
            event.id
            for event in rig.story.of("client")
            if event.status == 202 and event.relay in names and event.at < killed_at
        }
        ended_at = [
            event.at
            for event in rig.story.of("answer", "notice")
            if event.id in accepted_ids and event.facts.get("status", 200) == 200 and event.at > restarted_at
        ]
        refused = sum(
            event.status in (429, 503) and restarted_at < event.at < restarted_at + 2.0
            for event in rig.story.of("answer")
        )
        return {
            "backlog drained, s": max(ended_at, default=restarted_at) - restarted_at,
            "refused in 2 s": refused,
            "on time, share": report.on_time / max(1, report.taken),
            "findings": len(report.findings),
        }


def start_cpu(root: Path, records: int) -> float:
    """CPU seconds from the start of the process until it is ready, with this number of journal records."""
    platform = Platform()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        if records:
            write_journal(folder / "state", records)
        relay = RelayProcess(platform, folder, root=root)
        try:
            return relay.cpu_s()
        finally:
            relay.close()
            platform.close()


def write_journal(folder: Path, records: int) -> None:
    """Writes one open message and then delivered ones to a journal that the earlier revision reads as well."""
    from calicohitch.journal import Entry, Journal

    journal = Journal(folder, 60e6)
    deadline_ms = time.time() * 1e3 + 20_000
    journal.record_accepted(Entry(journal.next_number, "first", "entry-orders", 7, deadline_ms, "k", bytes(60)))
    for n in range(records // 3):
        number = journal.next_number
        journal.record_accepted(Entry(number, f"m{n}", "entry-orders", 7, deadline_ms, f"k{n}", bytes(60)))
        journal.record_attempt(number, 0, deadline_ms - 20_000, 0)
        journal.record_closed(number)
    journal.close()


def main(revision: str, seeds: int = 10) -> None:
    with tempfile.TemporaryDirectory() as folder:
        before = checkout(revision, Path(folder))
        found: dict[str, list[dict[str, float]]] = {"now": [], revision: []}
        for seed in range(1, seeds + 1):
            trees = [("now", ROOT), (revision, before)]
            for name, root in trees if seed % 2 else trees[::-1]:
                found[name].append(asyncio.run(mass_restart(seed, root)))
        for label in found["now"][0]:
            for name, results in found.items():
                values = [result[label] for result in results]
                print(
                    f"{label}: {name} median {statistics.median(values):.2f}, from {min(values):.2f} to "
                    f"{max(values):.2f}, {len(values)} seeds",
                    flush=True,
                )
        for records in (0, 100_000):
            for name, root in (("now", ROOT), (revision, before)):
                values = [start_cpu(root, records) for _ in range(3)]
                print(f"start with {records} records: {name} {statistics.median(values):.2f} s of CPU", flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 10)
