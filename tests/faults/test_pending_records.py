"""Records whose write fails: they stay pending, in order, and no message that has an end is sent again."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from orders.test_restart import Gate, settings
from world import World, in_world, until

from calicohitch import interface as i
from calicohitch.journal import Attempt, End, Entry, Journal, JournalFull


def entry(number: int) -> Entry:
    return Entry(number, f"m{number}", "orders", 7, 5e12 + number, None, b"body")


class Disk:
    """Makes writes to files fail while `refuses` is set; sockets are not affected."""

    def __init__(self, error: int = errno.EIO) -> None:
        self.refuses, self._error = False, error

    @contextmanager
    def failing(self) -> Iterator[Disk]:
        real_write, real_pwrite = os.write, os.pwrite

        def write(fd: int, data: bytes) -> int:
            self._check(fd)
            return real_write(fd, data)

        def pwrite(fd: int, data: bytes, offset: int) -> int:
            self._check(fd)
            return real_pwrite(fd, data, offset)

        with mock.patch.object(os, "write", write), mock.patch.object(os, "pwrite", pwrite):
            yield self

    def _check(self, fd: int) -> None:
        if self.refuses and os.path.isfile(f"/proc/self/fd/{fd}"):
            raise OSError(self._error, os.strerror(self._error))


class PendingInTheJournal(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def reopen(self) -> Journal:
        journal = Journal(self.folder, 3e6)
        self.addCleanup(journal.close)
        return journal

    def record_with_failing_writes(self, record: Any, *args: Any, times: int = 1) -> None:
        """Make one record, while the first `times` writes fail."""
        real, failures = os.write, [times]

        def write(fd: int, data: bytes) -> int:
            if failures[0]:
                failures[0] -= 1
                raise OSError(errno.EIO, "Input/output error")
            return real(fd, data)

        with mock.patch.object(os, "write", write), suppress(JournalFull):
            record(*args)

    def test_pending_records_are_written_before_later_ones(self) -> None:
        journal = self.reopen()
        for number in (1, 2, 3):
            journal.record_accepted(entry(number))
        journal.record_attempt(3, 0, 12.0, 0)
        self.record_with_failing_writes(journal.record_end, 1, End(True, 250.0))
        self.record_with_failing_writes(journal.record_closed, 2)
        self.record_with_failing_writes(journal.record_outcome, 3, 0, False)
        for number in range(4, 41):
            journal.record_accepted(entry(number))
        restored = self.reopen()
        self.assertEqual(restored.entries[1].end, End(True, 250.0))
        self.assertNotIn(2, restored.entries)
        self.assertEqual(restored.entries[3].attempts, [Attempt(12.0, 0, may_have_run=False, settled=True)])
        self.assertEqual(len(restored.entries), 39)

    def test_no_message_or_attempt_is_recorded_before_pending_records(self) -> None:
        """New messages and attempts are refused while an earlier record is pending."""
        journal = self.reopen()
        journal.record_accepted(entry(1))
        journal.record_accepted(entry(2))
        disk = Disk()
        with disk.failing():
            disk.refuses = True
            with suppress(JournalFull):
                journal.record_end(1, End(True))
            with self.assertRaises(JournalFull):
                journal.record_accepted(entry(3))
            with self.assertRaises(JournalFull):
                journal.record_attempt(2, 0, 5.0, 0)
            disk.refuses = False
            journal.record_attempt(2, 0, 6.0, 0)
        restored = self.reopen()
        self.assertEqual(restored.entries[1].end, End(True))
        self.assertEqual(restored.entries[2].attempts, [Attempt(6.0, 0)])

    def test_a_short_write_is_continued(self) -> None:
        """POSIX: a write may take fewer bytes than it was given, on a disk that has room."""
        real = os.write
        journal = self.reopen()
        with mock.patch.object(os, "write", lambda fd, data: real(fd, bytes(data)[: max(1, len(data) // 2)])):
            journal.record_accepted(entry(1))
            journal.record_attempt(1, 0, 5.0, 0)
        (restored,) = self.reopen().entries.values()
        self.assertEqual((restored.body, restored.attempts), (b"body", [Attempt(5.0, 0)]))


class PendingAtTheRelay(unittest.TestCase):
    @in_world
    async def test_a_refused_message_is_not_sent_by_the_next_incarnation(self, world: World) -> None:
        """Its client may have submitted it to another relay by then."""
        for effect in ("unsafe", "keyed"):
            with self.subTest(effect=effect):
                world.notices.clear()
                world.endpoint.requests.clear()
                relay_settings, gate, disk = settings(effect), Gate(), Disk()
                with disk.failing(), gate.at_connects():
                    async with world.relay(settings=relay_settings) as relay:
                        await world.hand_in(f"{effect}-0", Req_Deadline_Ms="24000")
                        await until(lambda gate=gate: gate.waiting)
                        disk.refuses = True
                        (number,) = relay._open
                        relay.feed(i.Withdrawn(number))
                        relay._end(number, End(True, 100.0))
                        for _ in range(20):  # lets every task run that could send the notice
                            await anyio.sleep(0.01)
                        refused = list(world.notices)
                    disk.refuses = False
                async with world.relay(settings=relay_settings) as relay:
                    await until(lambda relay=relay: relay.idle)
                sent = len(world.endpoint.requests)
                self.assertFalse(refused and sent, f"notices {refused}, and then sent {sent} times")
                self.assertTrue(world.notices or sent)

    @in_world
    async def test_an_end_waits_for_the_disk_until_the_deadline_at_most(self, world: World) -> None:
        gate, disk = Gate(), Disk()
        with disk.failing(), gate.at_connects():
            async with world.relay(settings=settings("unsafe", 400, 1_200)) as relay:
                await world.hand_in("m0", Req_Deadline_Ms="1200")
                await until(lambda: gate.waiting)
                (message,) = relay._open.values()
                disk.refuses = True
                await until(lambda: world.notices)
                late_ms = world.clock.now() - message.entry.deadline
                self.assertLess(late_ms, 300.0)
                self.assertEqual(world.notices[0]["message"], "m0")
                disk.refuses = False
                await until(lambda: relay.idle)
        self.assertEqual(Journal(world.folder, 3e6).entries, {})

    @in_world
    async def test_an_end_is_sent_once_its_record_is_written(self, world: World) -> None:
        gate, disk = Gate(), Disk()
        with disk.failing(), gate.at_connects():
            async with world.relay(settings=settings("unsafe")) as relay:
                await world.hand_in("m0", Req_Deadline_Ms="20000")
                await until(lambda: gate.waiting)
                (number,) = relay._open
                disk.refuses = True
                relay.feed(i.Withdrawn(number))
                relay._end(number, End(True, 100.0))
                self.assertFalse(relay.idle)
                disk.refuses = False
                await until(lambda: relay.idle)
                self.assertEqual([notice["outcome"] for notice in world.notices], ["handed_back"])


if __name__ == "__main__":
    unittest.main()
