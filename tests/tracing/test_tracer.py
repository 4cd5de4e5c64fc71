"""What the tracer keeps of destinations and of a full queue, without a relay."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from calicohitch.clock import ManualClock
from calicohitch.interface import Effect, MessageClass, Outcome
from calicohitch.journal import Entry
from calicohitch.tracing.settings import Budget, FileSettings, TracingSettings
from calicohitch.tracing.tracer import Tracer

CLASSES = (MessageClass(Effect.SAFE, 1_000_000, 5_000_000),)


class Books(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.clock = ManualClock()
        state = Path(self.folder.name)
        settings = TracingSettings(budget=Budget(ordinary=1.0), file=FileSettings(state / "t", queue_bytes=4_096))
        self.tracer = Tracer(settings, self.clock, "b0", CLASSES, ("scores",), state)
        self.addCleanup(self.tracer.close)

    def live(self) -> int:
        return self.tracer._dests[7].live

    def taking(self, number: int) -> None:
        entry = Entry(number, f"m{number}", "scores", 7, self.clock.now() + 5e3, None, b"")
        self.tracer.submission_received(entry, (), self.clock.now(), False)

    def test_a_message_that_a_full_journal_refuses_leaves_no_count_behind(self) -> None:
        self.taking(1)
        self.tracer.submission_recorded(1)
        self.taking(2)
        self.tracer.withdrawn(2)  # the journal was full: `submission_recorded` never came
        self.assertEqual(self.live(), 1)
        self.tracer.withdrawn(1)
        self.assertEqual(self.live(), 0)

    def test_no_spans_are_made_that_no_queue_has_room_for(self) -> None:
        for number in range(20):
            self.taking(number)
            self.tracer.submission_recorded(number)
            self.tracer.sending(number, 0, None, 0, self.clock.now())
            self.tracer.settled(number, 0, Outcome.OK, 0.0, ended=True)
            self.tracer.closed(number)
        self.clock.advance(1_500.0)
        self.tracer._take(self.clock.now())
        (exporter,) = self.tracer._exporters
        offered = []
        offer = exporter.offer
        exporter.offer = lambda spans: (offered.append(spans), offer(spans))  # type: ignore[method-assign,assignment]
        while self.tracer._made:
            self.tracer._guarded_make()
        counts = exporter.queue.counts
        self.assertEqual(len(exporter.queue) + counts.dropped_full, 20)
        self.assertEqual(len(offered), len(exporter.queue))  # what was not taken was not made
        self.assertLess(len(exporter.queue), 20)
        self.assertEqual(self.tracer.left_out()["calicohitch.dropped.queue"], counts.dropped_full)
