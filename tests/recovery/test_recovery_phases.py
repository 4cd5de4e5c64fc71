"""The phases of a recovery, and what `calicohitch recovery` reads of them in a log."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from calicohitch.recovery.recovery_phases import MAX_RECOVERY_MS, RecoveryCounter, Recovery
from calicohitch.recovery.reading import fleet, read

LOG_LINES = [
    "19:05:00.100 INFO life 1796 has the folder /state",
    "19:05:00.140 INFO return: up after 0 ms",
    "19:05:00.141 INFO return: folder after 41 ms (18 restored, 2 damaged)",
    "19:05:00.2 INFO return: list after 71 ms",
    "19:05:01.2 INFO return: second 0: 11 restored, 4 fresh, 15 served",
    "19:05:01.3 INFO return: full after 980 ms",
    "19:06:00.0 INFO something else",
]


class Phases(unittest.TestCase):
    def new_phases(self, recovery: Recovery, now: float) -> list[tuple[str, float]]:
        return [(reached.phase.value, reached.after) for reached in recovery.new_phases(now)]

    def test_each_phase_is_reported_once_with_its_time(self) -> None:
        recovery = Recovery(1_000.0)
        recovery.folder(1_040.0, {5: 7, 6: 8}, 1)
        recovery.listed(1_070.0)
        self.assertEqual(self.new_phases(recovery, 1_100.0), [("up", 0.0), ("folder", 40.0), ("list", 70.0)])
        recovery.answered(1_200.0, 7)
        recovery.count(1_200.0, RecoveryCounter.SERVED, 5)
        self.assertEqual(self.new_phases(recovery, 1_250.0), [])
        recovery.answered(1_300.0, 8)
        self.assertEqual(self.new_phases(recovery, 1_350.0), [("limits", 300.0)])
        recovery.count(1_900.0, RecoveryCounter.REFUSED, 6)
        self.assertEqual(self.new_phases(recovery, 1_950.0), [("backlog", 900.0), ("full", 900.0)])
        self.assertTrue(recovery.over)
        recovery.count(9_000.0, RecoveryCounter.SERVED, 9)
        self.assertEqual(self.new_phases(recovery, 9_000.0), [])

    def test_a_relay_with_nothing_to_restore_waits_only_for_the_endpoint_list(self) -> None:
        recovery = Recovery(0.0)
        recovery.folder(10.0, {}, 0)
        self.assertEqual([name for name, _ in self.new_phases(recovery, 11.0)], ["up", "folder", "backlog", "limits"])
        recovery.listed(400.0)
        self.assertEqual(self.new_phases(recovery, 500.0), [("list", 400.0), ("full", 400.0)])

    def test_events_are_counted_by_second(self) -> None:
        recovery = Recovery(0.0)
        recovery.folder(10.0, {5: 7, 6: 7}, 0)
        recovery.count(100.0, RecoveryCounter.FRESH)
        recovery.count(200.0, RecoveryCounter.SERVED, 5)
        recovery.count(2_300.0, RecoveryCounter.SERVED, 99)
        recovery.new_phases(3_100.0)
        self.assertEqual(recovery.seconds, [(0, {"fresh": 1, "restored": 1, "served": 1}), (2, {"served": 1})])

    def test_phases_reached_before_the_first_call_are_reported_with_the_last_second(self) -> None:
        """A recovery that was over before the first call of `new_phases` was never reported."""
        recovery = Recovery(0.0)
        recovery.folder(10.0, {5: 7}, 0)
        recovery.listed(20.0)
        recovery.answered(90.0, 7)
        recovery.count(90.0, RecoveryCounter.SERVED, 5)
        self.assertTrue(recovery.over and not recovery.reported)
        self.assertEqual(
            [name for name, _ in self.new_phases(recovery, 250.0)],
            ["up", "folder", "list", "limits", "backlog", "full"],
        )
        self.assertEqual(recovery.seconds, [(0, {"restored": 1, "served": 1})])
        self.assertTrue(recovery.reported)

    def test_a_recovery_that_does_not_end_is_reported_as_unended(self) -> None:
        recovery = Recovery(0.0)
        recovery.folder(10.0, {5: 7}, 0)
        recovery.new_phases(11.0)
        (unended,) = recovery.new_phases(MAX_RECOVERY_MS + 1)
        self.assertEqual((unended.phase.value, unended.facts), ("unended", {"restored": 1, "untold": 1}))
        self.assertEqual(recovery.new_phases(MAX_RECOVERY_MS * 2), [])


class Reading(unittest.TestCase):
    def test_both_log_formats(self) -> None:
        as_json = [json.dumps({"event": "x", "text": line.split("INFO ")[1]}) for line in LOG_LINES]
        for lines in (LOG_LINES, as_json):
            (incarnation,) = read("n0", [*lines, "{broken", "return: nothing", ""])
            self.assertEqual(
                (incarnation.number, incarnation.phases),
                (1796, {"up": 0.0, "folder": 41.0, "list": 71.0, "full": 980.0}),
            )
            self.assertEqual(incarnation.facts, {"restored": 18, "damaged": 2})
            self.assertEqual(incarnation.seconds, {0: {"restored": 11, "fresh": 4, "served": 15}})

    def test_a_fleet_is_summed(self) -> None:
        incarnations = read("n0", LOG_LINES) + read("n1", [line.replace("980", "2000") for line in LOG_LINES])
        summary = fleet(incarnations)
        self.assertEqual(summary["phases"]["full"], {"reached": 2, "median_ms": 1490.0, "worst_ms": 2000.0})
        self.assertEqual(summary["seconds"]["0"], {"restored": 22, "fresh": 8, "served": 30})

    def test_the_command(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            log, chart = Path(name) / "n0.log", Path(name) / "back.svg"
            log.write_text("\n".join(LOG_LINES))

            def run(*arguments: str) -> subprocess.CompletedProcess[str]:
                return subprocess.run(
                    [sys.executable, "-m", "calicohitch", "recovery", *arguments],
                    capture_output=True,
                    text=True,
                    timeout=60,
                )

            result = run(str(log), "--chart", str(chart))
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertIn("1 of 1 returns came to full service", result.stdout)
            self.assertIn("</svg>", chart.read_text())
            self.assertEqual(json.loads(run(str(log), "--json").stdout)["lives"][0]["life"], 1796)
            log.write_text("\n".join(LOG_LINES[:4]))
            self.assertEqual(run(str(log)).returncode, 1)
            missing = run(f"{name}/none")
            self.assertEqual(missing.returncode, 2)
            self.assertIn("No such file", missing.stderr)


if __name__ == "__main__":
    unittest.main()
