"""The wall clock is set between incarnations of a relay; deadlines still count in real time."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from calicohitch.clock import Clock
from calicohitch.journal import Entry, Journal

STEPS_S = (-3_600.0, -5.0, -0.4, 0.4, 5.0, 3_600.0)


class BetweenIncarnations(unittest.TestCase):
    def test_a_message_keeps_its_remaining_time(self) -> None:
        """The first incarnation is killed before it stored its state, so that only the journal relates its times to a
        clock."""
        for step in STEPS_S:
            with self.subTest(step=step), tempfile.TemporaryDirectory() as folder:
                clock = Clock()
                first = Journal(Path(folder), 3e6)
                first.record_accepted(Entry(1, "m1", "orders", 7, clock.now() + 30_000.0, "k", b"body"))
                first.record_attempt(1, 0, clock.now(), 0)
                first.record_attempt_deadline(1, 0, clock.now() + 500.0)
                first.close()
                real = time.time
                with mock.patch.object(time, "time", lambda step=step, real=real: real() + step):
                    later = Journal(Path(folder), 3e6)
                    now = Clock().now()
                (entry,) = later.entries.values()
                later.close()
                self.assertAlmostEqual((entry.deadline - now) / 1e3, 30.0, delta=0.1)
                self.assertAlmostEqual((entry.attempts[0].sent_at - now) / 1e3, 0.0, delta=0.1)
                self.assertAlmostEqual((entry.attempts[0].until - now) / 1e3, 0.5, delta=0.1)

    def test_a_message_keeps_its_remaining_time_over_several_clock_changes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            real, started = time.time, Clock().now()
            first = Journal(Path(folder), 3e6)
            first.record_accepted(Entry(1, "m1", "orders", 7, started + 30_000.0, "k", b"body"))
            first.close()
            for n, step in enumerate((-60.0, 500.0)):
                with mock.patch.object(time, "time", lambda step=step: real() + step):
                    incarnation = Journal(Path(folder), 3e6)
                    now = Clock().now()
                    self.assertAlmostEqual((incarnation.entries[1].deadline - now) / 1e3, 30.0, delta=0.2)
                    incarnation.record_attempt(1, n, now, 0)
                    incarnation.close()
            last = Journal(Path(folder), 3e6)
            self.addCleanup(last.close)
            offsets_ms = [attempt.sent_at - started for attempt in last.entries[1].attempts]
            for offset_ms in offsets_ms:
                self.assertAlmostEqual(offset_ms / 1e3, 0.0, delta=0.3)


if __name__ == "__main__":
    unittest.main()
