"""What the journal tells of when the folder was last written to, over lives, pauses, boots and clocks."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from calicohitch.interface import RestoredState
from calicohitch.journal import Entry, Journal
from calicohitch.recovery import clocks
from calicohitch.recovery.cached_state import ROLLED_BACK_MS
from calicohitch.recovery.clocks import Moment
from calicohitch.recovery.state_cache import StateCache

START = Moment(1_000_000_000.0, 50_000.0, "boot-1")
DISK = 1e6
CLASS_TIME_MS = 60_000.0
HOUR_MS = 3_600_000.0


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)
        self.at = START

    def passes(self, passed_ms: float, set_by_ms: float = 0.0) -> None:
        self.at = replace(self.at, wall=self.at.wall + passed_ms + set_by_ms, mono=self.at.mono + passed_ms)

    def opened(self, incarnation: int = 1) -> Journal:
        with self.clock():
            return Journal(self.folder, DISK, incarnation, moment=self.at)

    def clock(self) -> mock._patch[object]:
        return mock.patch.object(clocks.time, "monotonic", lambda: self.at.mono / 1e3)

    def accept(self, journal: Journal, name: str = "m", time_left_ms: float = 20_000.0) -> Entry:
        number = journal.next_number
        entry = Entry(number, name, "payments", 7, self.at.wall + time_left_ms, "k", b"body")
        with self.clock():
            journal.record_accepted(entry)
        return entry

    def store_state(self) -> None:
        """As a relay does each second while it has work, and not while it is quiet."""
        with mock.patch.object(clocks, "now", lambda _wall: self.at):
            StateCache(self.folder, 1, ("payments",)).save(self.at.wall, RestoredState((), ((0, 0),)), str)

    def doubted(self, journal: Journal) -> bool:
        entries = list(journal.entries.values())
        self.assertTrue(entries)
        with mock.patch.object(clocks, "now", lambda _wall: self.at):
            cache = StateCache(self.folder, 9, ("payments",))
            cache.read(self.at.wall, "127.0.0.1:1", -1)
        cache.correct_entries(entries, self.at.wall, journal.since_written_ms)
        return any(entry.doubtful for entry in entries)


class Quiet(Folder):
    def test_messages_that_end_a_quiet_time_are_not_doubted_behind_a_kill(self) -> None:
        """Guards against untried messages that are failed with no call, whatever the time that they have left."""
        for quiet_ms in (0.0, 14_000.0, 16_000.0, 34_000.0, HOUR_MS):
            for time_left_ms in (1_000.0, CLASS_TIME_MS):
                with self.subTest(quiet_ms=quiet_ms, time_left_ms=time_left_ms):
                    journal = self.opened()
                    journal.record_closed(self.accept(journal, "before").number)
                    self.store_state()
                    self.passes(quiet_ms)
                    self.accept(journal, "behind", time_left_ms)
                    journal.close()
                    self.passes(600.0)
                    after = self.opened(2)
                    self.assertFalse(self.doubted(after))
                    for number in list(after._segment_of):
                        after.record_closed(number)
                    after.close()

    def test_a_restart_some_seconds_later_and_a_second_kill_at_its_start_change_nothing(self) -> None:
        journal = self.opened()
        self.store_state()
        self.passes(HOUR_MS)
        self.accept(journal)
        journal.close()
        for incarnation in (2, 3):
            self.passes(9_000.0)
            again = self.opened(incarnation)
            self.assertFalse(self.doubted(again))
            again.close()

    def test_the_wall_clock_may_be_set_by_an_hour_meanwhile(self) -> None:
        for set_by_ms in (-HOUR_MS, HOUR_MS):
            with self.subTest(set_by_ms=set_by_ms):
                journal = self.opened()
                self.accept(journal)
                journal.close()
                self.passes(600.0, set_by_ms)
                self.assertFalse(self.doubted(self.opened(2)))


class Copies(Folder):
    def test_a_copy_from_long_ago_is_doubted(self) -> None:
        journal = self.opened()
        self.accept(journal)
        journal.close()
        self.passes(ROLLED_BACK_MS + 1_000.0)
        self.assertTrue(self.doubted(self.opened(2)))

    def test_a_start_that_is_killed_before_it_has_recorded_its_doubt_does_not_end_it(self) -> None:
        """Only a process that has recovered accepts messages: what is written before that makes no folder fresh."""
        journal = self.opened()
        first, second = self.accept(journal, "m1"), self.accept(journal, "m2")
        journal.close()
        self.passes(ROLLED_BACK_MS + 1_000.0)
        killed = self.opened(2)
        with self.clock():
            killed.record_attempt(first.number, 0, START.wall, 0)  # the doubt of one message, at its earliest time
        killed.close()
        self.passes(100.0)
        again = self.opened(3)
        self.assertTrue(self.doubted(again))
        self.assertTrue(again.entries[second.number].doubtful)

    def test_a_machine_that_was_off_for_long_is_doubted_as_a_copy_is(self) -> None:
        """Nothing tells the two apart; only a class whose time is longer than the limit has any left by then."""
        journal = self.opened()
        self.accept(journal, time_left_ms=CLASS_TIME_MS)
        journal.close()
        self.passes(ROLLED_BACK_MS + 1_000.0)
        self.at = Moment(self.at.wall, 1_000.0, "boot-2")
        self.assertTrue(self.doubted(self.opened(2)))


if __name__ == "__main__":
    unittest.main()
