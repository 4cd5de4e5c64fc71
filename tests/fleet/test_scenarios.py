"""The scenarios that are played each time, several side by side, and the mutants that prove the auditor."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from pathlib import Path

from fleet.mutants import MUTANTS
from fleet.rig import Rig
from fleet.side_by_side import SIDE_BY_SIDE, Play

SEED = 4
SHOWN_BY = {  # mutant -> the scenario that brings it out
    "deaf to waits": "drains",
    "blind to drains": "drains",
    "silent about ends": "outage",
    "no record of attempts": "herd_slow",
    "no record of ends": "herd_slow",
    "nothing is taken up again": "herd_slow",
    "a hidden second call": "herd_slow",
    "the folder is anybody's": "stalled",
    "keys are remembered for ever": "outage",
    "a start knows no limit": "herd_backlog",
    "keys are remembered for ever by the decisions alone": "outage",
    "the first bytes are the answer": "stray_copies",
    "an id stands for one process": "ids_exchanged",
    "ended ids are forgotten": "repeated_ids",
}


class Scenarios(unittest.TestCase):
    plays = {
        "test_a_herd_comes_back": [
            Play(name, SEED)
            for name in ("herd", "herd_damaged", "herd_silent", "herd_lowered", "herd_twice", "herd_backlog")
        ],
        "test_folders_and_links": [
            Play(name, SEED)
            for name in (
                "stalled",
                "shared",
                "rolled_back",
                "links",
                "drains",
                "ids_exchanged",
                "repeated_ids",
                "outage",
                "herd_slow",
                "clock_back",
                "clock_forward",
                "notes",
                "disk_full",
                "disk_fails",
            )
        ],
    }

    def kept(self, plays: list[Play]) -> None:
        for play, report in zip(plays, SIDE_BY_SIDE.reports(plays), strict=True):
            with self.subTest(play.name):
                self.assertFalse(report.findings, report.text())
                self.assertGreater(report.taken, 20, report.text())
                self.assertGreater(report.delivered, 10, report.text())
                for event in report.story.of("notes"):  # one for each destination, at five others, less what is lost
                    self.assertTrue(2 <= event.carried <= 60, event)

    def test_a_herd_comes_back(self) -> None:
        self.kept(self.plays["test_a_herd_comes_back"])

    def test_folders_and_links(self) -> None:
        self.kept(self.plays["test_folders_and_links"])


class StrayBytes(unittest.TestCase):
    plays = {
        "test_they_decide_no_message": [
            Play(name, SEED) for name in ("stray_copies", "stray_bytes", "stray_rare", "stray_platform")
        ]
    }

    def test_they_decide_no_message(self) -> None:
        for report in SIDE_BY_SIDE.reports(self.plays["test_they_decide_no_message"]):
            self.assertFalse(report.findings, report.text())
            self.assertGreater(report.delivered, 10, report.text())
            self.assertGreater(sum(event.sent for event in report.story.of("stray")), 0)


class ColdDestination(unittest.TestCase):
    plays = {"test_is_within_its_budget_after_kills": [Play(name, SEED) for name in ("cold_early_kill", "cold_busy")]}

    def test_is_within_its_budget_after_kills(self) -> None:
        for play in self.plays["test_is_within_its_budget_after_kills"]:
            (report,) = SIDE_BY_SIDE.reports([play])
            self.assertFalse(report.findings, report.text())
            self.assertGreater(report.delivered, 100, report.text())


class Soak(unittest.TestCase):
    plays = {"test_troubles_that_overlap": [Play("soak", seed) for seed in (3, 4)]}

    def test_troubles_that_overlap(self) -> None:
        for report in SIDE_BY_SIDE.reports(self.plays["test_troubles_that_overlap"]):
            self.assertFalse(report.findings, report.text())
            self.assertGreater(report.delivered, 100, report.text())


class Mutants(unittest.TestCase):
    plays = {"test_each_is_found": [Play(scenario, SEED, mutant) for mutant, scenario in SHOWN_BY.items()]}

    def test_each_is_found(self) -> None:
        self.assertEqual(set(SHOWN_BY), set(MUTANTS))
        plays = self.plays["test_each_is_found"]
        for play, report in zip(plays, SIDE_BY_SIDE.reports(plays), strict=True):
            with self.subTest(play.mutant):
                self.assertIn(MUTANTS[play.mutant][0], report.rules(), report.text())


class Leavings(unittest.TestCase):
    def test_nothing_is_left_behind(self) -> None:
        async def play() -> tuple[list[int], list[int], Path]:
            async with Rig(1, 2) as rig:
                await rig.start()
                processes = [relay.process.pid for relay in rig.relays.values() if relay.process]
                ports = [link.port for relay in rig.relays.values() for link in relay.links.values()]
                folder = rig._folder
                raise KeyboardInterrupt((processes, ports, folder))

        with self.assertRaises(KeyboardInterrupt) as stopped:
            asyncio.run(play())
        processes, ports, folder = stopped.exception.args[0]
        self.assertFalse(folder.exists())
        for pid in processes:
            self.assertFalse(Path(f"/proc/{pid}").exists())
        for port in ports:
            with self.assertRaises(OSError):
                asyncio.run(asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1))

    def test_a_rig_that_is_killed_outright_takes_its_processes_along(self) -> None:
        code = (
            "import asyncio, os, signal, sys; sys.path.insert(0, 'tests')\n"
            "from fleet.rig import Rig\n"
            "async def play():\n"
            "    async with Rig(1, 1) as rig:\n"
            "        await rig.start()\n"
            "        print(rig.relays['r0'].process.pid, flush=True)\n"
            "        os.kill(os.getpid(), signal.SIGKILL)\n"
            "asyncio.run(play())"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=Path(__file__).parents[2]
        )
        pid = int(done.stdout)

        async def gone() -> None:
            for _ in range(200):
                stat = Path(f"/proc/{pid}/stat")
                if not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z":
                    return
                await asyncio.sleep(0.02)
            self.fail(f"process {pid} lives on")

        asyncio.run(gone())


if __name__ == "__main__":
    unittest.main()
