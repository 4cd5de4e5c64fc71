"""The phases of a return, and what `calicohitch recovery` reads of them."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from calicohitch.recovery.recovery_phases import MAX_RECOVERY_MS, RecoveryCounter, Recovery
from calicohitch.recovery.reading import fleet, read

TEXT = [
    "19:05:00.100 INFO life 1796 has the folder /state",
    "19:05:00.140 INFO return: up after 0 ms",
    "19:05:00.141 INFO return: folder after 41 ms (18 restored, 2 damaged)",
    "19:05:00.2 INFO return: list after 71 ms",
    "19:05:01.2 INFO return: second 0: 11 restored, 4 fresh, 15 served",
    "19:05:01.3 INFO return: full after 980 ms",
    "19:06:00.0 INFO something else",
]


class Phases(unittest.TestCase):
    def passed(self, back: Recovery, now: float) -> list[tuple[str, float]]:
        return [(one.phase.value, one.after) for one in back.new_phases(now)]

    def test_each_is_told_once_with_its_time(self) -> None:
        back = Recovery(1_000.0)
        back.folder(1_040.0, {5: 7, 6: 8}, 1)
        back.listed(1_070.0)
        self.assertEqual(self.passed(back, 1_100.0), [("up", 0.0), ("folder", 40.0), ("list", 70.0)])
        back.answered(1_200.0, 7)
        back.count(1_200.0, RecoveryCounter.SERVED, 5)
        self.assertEqual(self.passed(back, 1_250.0), [])
        back.answered(1_300.0, 8)
        self.assertEqual(self.passed(back, 1_350.0), [("limits", 300.0)])
        back.count(1_900.0, RecoveryCounter.REFUSED, 6)
        self.assertEqual(self.passed(back, 1_950.0), [("backlog", 900.0), ("full", 900.0)])
        self.assertTrue(back.over)
        back.count(9_000.0, RecoveryCounter.SERVED, 9)
        self.assertEqual(self.passed(back, 9_000.0), [])

    def test_a_relay_with_nothing_to_restore_waits_for_the_list_alone(self) -> None:
        back = Recovery(0.0)
        back.folder(10.0, {}, 0)
        self.assertEqual([name for name, _ in self.passed(back, 11.0)], ["up", "folder", "backlog", "limits"])
        back.listed(400.0)
        self.assertEqual(self.passed(back, 500.0), [("list", 400.0), ("full", 400.0)])

    def test_what_is_done_is_counted_by_second(self) -> None:
        back = Recovery(0.0)
        back.folder(10.0, {5: 7, 6: 7}, 0)
        back.count(100.0, RecoveryCounter.FRESH)
        back.count(200.0, RecoveryCounter.SERVED, 5)
        back.count(2_300.0, RecoveryCounter.SERVED, 99)
        back.new_phases(3_100.0)
        self.assertEqual(back.seconds, [(0, {"fresh": 1, "restored": 1, "served": 1}), (2, {"served": 1})])

    def test_what_passed_before_anyone_asked_is_told_with_its_last_second(self) -> None:
        """A return that was over within the first look at it was never told."""
        back = Recovery(0.0)
        back.folder(10.0, {5: 7}, 0)
        back.listed(20.0)
        back.answered(90.0, 7)
        back.count(90.0, RecoveryCounter.SERVED, 5)
        self.assertTrue(back.over and not back.reported)
        self.assertEqual(
            [name for name, _ in self.passed(back, 250.0)], ["up", "folder", "list", "limits", "backlog", "full"]
        )
        self.assertEqual(back.seconds, [(0, {"restored": 1, "served": 1})])
        self.assertTrue(back.reported)

    def test_a_return_that_never_ends_is_told_as_it_stands(self) -> None:
        back = Recovery(0.0)
        back.folder(10.0, {5: 7}, 0)
        back.new_phases(11.0)
        (last,) = back.new_phases(MAX_RECOVERY_MS + 1)
        self.assertEqual((last.phase.value, last.facts), ("unended", {"restored": 1, "untold": 1}))
        self.assertEqual(back.new_phases(MAX_RECOVERY_MS * 2), [])


class Reading(unittest.TestCase):
    def test_both_forms_of_the_log(self) -> None:
        as_json = [json.dumps({"event": "x", "text": line.split("INFO ")[1]}) for line in TEXT]
        for lines in (TEXT, as_json):
            (incarnation,) = read("n0", [*lines, "{broken", "return: nothing", ""])
            self.assertEqual(
                (incarnation.number, incarnation.phases),
                (1796, {"up": 0.0, "folder": 41.0, "list": 71.0, "full": 980.0}),
            )
            self.assertEqual(incarnation.facts, {"restored": 18, "damaged": 2})
            self.assertEqual(incarnation.seconds, {0: {"restored": 11, "fresh": 4, "served": 15}})

    def test_a_fleet_is_summed(self) -> None:
        incarnations = read("n0", TEXT) + read("n1", [line.replace("980", "2000") for line in TEXT])
        told = fleet(incarnations)
        self.assertEqual(told["phases"]["full"], {"reached": 2, "median_ms": 1490.0, "worst_ms": 2000.0})
        self.assertEqual(told["seconds"]["0"], {"restored": 22, "fresh": 8, "served": 30})

    def test_the_command(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            log, chart = Path(name) / "n0.log", Path(name) / "back.svg"
            log.write_text("\n".join(TEXT))

            def run(*arguments: str) -> subprocess.CompletedProcess[str]:
                return subprocess.run(
                    [sys.executable, "-m", "calicohitch", "recovery", *arguments],
                    capture_output=True,
                    text=True,
                    timeout=60,
                )

            done = run(str(log), "--chart", str(chart))
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("1 of 1 returns came to full service", done.stdout)
            self.assertIn("</svg>", chart.read_text())
            self.assertEqual(json.loads(run(str(log), "--json").stdout)["lives"][0]["life"], 1796)
            log.write_text("\n".join(TEXT[:4]))
            self.assertEqual(run(str(log)).returncode, 1)
            missing = run(f"{name}/none")
            self.assertEqual(missing.returncode, 2)
            self.assertIn("No such file", missing.stderr)


if __name__ == "__main__":
    unittest.main()
