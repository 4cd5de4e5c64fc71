"""Who owns a folder: one life at a time, also when processes stall, start twice or find what others left."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from calicohitch.journal import Journal, JournalFull
from calicohitch.recovery.folder_lease import EXPIRED_S, FolderLease, LeaseMonitor, acquire_folder
from calicohitch.recovery.problems import FolderInUse, FolderLost, FolderProblem
from calicohitch.journal import Entry


class Time:
    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class Lives(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name) / "state"
        self.mono, self.wall = Time(), Time(1_000.0)

    def monitor(self) -> LeaseMonitor:
        return LeaseMonitor(self.folder, self.mono, self.wall)

    def began(self) -> FolderLease:
        lease = self.monitor().try_acquire()
        assert lease
        self.addCleanup(lease.close)
        return lease

    def test_numbers_only_grow_whatever_the_clock_says(self) -> None:
        first = self.began()
        first.close()
        self.wall.now = 900.0
        second = self.began()
        second.close()
        self.wall.now = 5_000.0
        self.assertEqual([first.incarnation, second.incarnation, self.began().incarnation], [1_000, 1_001, 5_000])
        self.assertEqual(len(list(self.folder.glob("life-*"))), 1)

    def test_a_living_owner_keeps_the_folder(self) -> None:
        owner, other = self.began(), self.monitor()
        for _ in range(40):
            self.mono.now += 0.5
            owner.renew()
            self.assertIsNone(other.try_acquire())
        self.assertIn(f"life {owner.incarnation} (process {os.getpid()}) has it and is alive", other.wait_reason)
        owner.check()

    def test_a_dead_owner_is_followed_at_once(self) -> None:
        owner = self.began()
        owner.close()  # as the kernel does with a killed process's
        self.began().check()

    def test_a_stalled_owner_is_replaced_and_finds_out_before_its_next_act(self) -> None:
        owner, other = self.began(), self.monitor()
        self.assertIsNone(other.try_acquire())
        self.mono.now += EXPIRED_S - 0.1
        self.assertIsNone(other.try_acquire())
        self.mono.now += 0.2
        later = other.try_acquire()
        assert later
        self.addCleanup(later.close)
        told: list[str] = []
        owner.on_lost = lambda: told.append(owner.lost)
        with self.assertRaises(FolderLost):
            owner.check()
        self.assertEqual(len(told), 1)
        later.check()

    def test_a_stall_that_nobody_used_costs_nothing(self) -> None:
        owner = self.began()
        self.mono.now += 100.0
        owner.check()

    def test_a_watcher_that_stalls_itself_believes_only_what_it_sees_now(self) -> None:
        owner, other = self.began(), self.monitor()
        self.assertIsNone(other.try_acquire())
        self.mono.now += 60.0  # both stood still; the owner goes on first
        owner.renew()
        self.assertIsNone(other.try_acquire())

    def test_an_emptied_folder_is_no_longer_owned(self) -> None:
        owner = self.began()
        for path in list(self.folder.iterdir()):
            path.unlink()
        with self.assertRaisesRegex(FolderLost, "emptied or replaced"):
            owner.check()

    def test_what_cannot_be_proved_is_not_done(self) -> None:
        owner = self.began()
        journal = Journal(self.folder, 3e6, owner.incarnation, owner.check)
        self.addCleanup(journal.close)
        entry = Entry(journal.next_number, "m", "orders", 7, 5e12, None, b"")
        journal.record_accepted(entry)
        with mock.patch("os.fstat", side_effect=OSError(errno.EIO, "broken")):
            with self.assertRaises(FolderInUse):
                owner.check()
            self.assertFalse(journal.may_act())
            with self.assertRaises(JournalFull):
                journal.record_attempt(entry.number, 0, 1.0, 0)
        self.assertTrue(journal.may_act())
        journal.record_attempt(entry.number, 0, 1.0, 0)
        self.assertEqual(owner.incarnation << 32, entry.number)

    def test_left_overs_of_dead_processes(self) -> None:
        self.folder.mkdir()
        (self.folder / "claim.lock").write_text("")
        (self.folder / "life-7").write_text("")
        (self.folder / "life-9").write_bytes(b"\xff" * 200)
        (self.folder / "life-x").write_text("mine")
        self.assertEqual(self.began().incarnation, 1_000)
        self.assertEqual(sorted(p.name for p in self.folder.iterdir()), ["claim.lock", "life-1000", "life-x"])

    def test_folders_that_cannot_be_used_say_what_would_do(self) -> None:
        file = self.folder.parent / "file"
        file.write_text("")
        with self.assertRaisesRegex(FolderProblem, "not a folder: move the file away"):
            LeaseMonitor(file).try_acquire()
        for code, hint in (
            (errno.EROFS, "mount it writable"),
            (errno.EACCES, "may not write there"),
            (errno.ENOSPC, "make room"),
            (errno.EIO, "look at its disk"),
        ):
            with self.subTest(hint), mock.patch("os.open", side_effect=OSError(code, os.strerror(code))):
                with self.assertRaisesRegex(FolderProblem, hint):
                    self.monitor().try_acquire()

    def test_waiting_is_bounded(self) -> None:
        async def test() -> None:
            owner = await acquire_folder(self.folder)
            with self.assertRaisesRegex(FolderInUse, "in use: life"):
                await acquire_folder(self.folder, 0.2)
            owner.close()
            (await acquire_folder(self.folder, 0.2)).close()

        anyio.run(test)

    def test_a_kill_after_each_file_operation_of_a_start(self) -> None:
        """The next start finds a folder that it can use, with a higher number, and no message lost."""

        class Killed(BaseException):
            pass

        real = {name: getattr(os, name) for name in ("open", "write", "pwrite", "unlink", "rename")}
        for last in range(1, 40):
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                lease = LeaseMonitor(folder).try_acquire()
                assert lease
                journal = Journal(folder, 3e6, lease.incarnation, lease.check)
                kept = Entry(journal.next_number, "m", "orders", 7, 5e12, None, b"body")
                journal.record_accepted(kept)
                journal.close()
                lease.close()
                (path,) = folder.glob("journal-*.log")
                path.write_bytes(path.read_bytes() + b"torn")
                done = 0

                def counted(operation: str, most: int = last):  # type: ignore[no-untyped-def]
                    def call(*args, **kwargs):  # type: ignore[no-untyped-def]
                        nonlocal done
                        done += 1
                        if done > most:
                            raise Killed
                        return real[operation](*args, **kwargs)

                    return call

                held: list[int] = []
                with mock.patch.multiple(os, **{each: counted(each) for each in real}):
                    try:
                        second = LeaseMonitor(folder).try_acquire()
                        assert second
                        held.append(second._fd)
                        again = Journal(folder, 3e6, second.incarnation, second.check)
                        again.record_closed(again.next_number)
                        again.record_accepted(Entry(again.next_number, "n", "orders", 7, 5e12, None, b""))
                        again.close()
                    except Killed:
                        pass
                for fd in held:
                    os.close(fd)
                third = LeaseMonitor(folder).try_acquire()
                assert third
                self.assertGreater(third.incarnation, lease.incarnation)
                found = Journal(folder, 3e6, third.incarnation)
                self.assertEqual(found.entries[kept.number].body, b"body")
                self.assertFalse([one for one in found.damage if not one.repaired], (last, found.damage))
                found.close()
                third.close()
                if done <= last:
                    return
        self.fail("the start never came to its end")


class Owners(RuleBasedStateMachine):
    """Processes that begin, stall, go on, die and act in any order: no two may act in the same instant of time."""

    def __init__(self) -> None:
        super().__init__()
        self.made = tempfile.TemporaryDirectory()
        self.folder = Path(self.made.name)
        self.mono = Time()
        self.monitors = [LeaseMonitor(self.folder, self.mono, Time(50.0)) for _ in range(3)]
        self.leases: list[FolderLease] = []
        self.acted: list[tuple[float, int]] = []

    def teardown(self) -> None:
        for lease in self.leases:
            lease.close()
        self.made.cleanup()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.9, 2.1, 5.1]))
    def time_passes(self, seconds: float) -> None:
        self.mono.now += seconds

    @rule(which=st.integers(0, 2))
    def looks(self, which: int) -> None:
        if lease := self.monitors[which].try_acquire():
            self.leases.append(lease)

    @precondition(lambda self: self.leases)
    @rule(which=st.integers(0, 9))
    def renews(self, which: int) -> None:
        self.leases[which % len(self.leases)].renew()

    @precondition(lambda self: self.leases)
    @rule(which=st.integers(0, 9))
    def dies(self, which: int) -> None:
        self.leases.pop(which % len(self.leases)).close()

    @precondition(lambda self: self.leases)
    @rule(which=st.integers(0, 9))
    def acts(self, which: int) -> None:
        lease = self.leases[which % len(self.leases)]
        try:
            lease.check()
        except FolderProblem:
            return
        self.acted.append((self.mono.now, lease.incarnation))

    @invariant()
    def acts_are_in_the_order_of_lives(self) -> None:
        incarnations = [incarnation for _, incarnation in self.acted]
        assert incarnations == sorted(incarnations), self.acted


Owners.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestOwners = Owners.TestCase


class Processes(unittest.TestCase):
    """The same between processes of the program."""

    def test_a_second_process_ends_with_a_line_and_a_code(self) -> None:
        code = (
            "import sys, anyio; from pathlib import Path; from calicohitch.recovery import folder_lease\n"
            "async def main():\n"
            "    held = await folder_lease.acquire_folder(Path(sys.argv[1]), 0.3)\n"
            "    print('held', flush=True)\n"
            "    while not held.lost: held.renew(); await anyio.sleep(0.1)\n"
            "    print(held.lost, flush=True)\n"
            "anyio.run(main)"
        )
        with tempfile.TemporaryDirectory() as name:
            first = subprocess.Popen([sys.executable, "-c", code, name], stdout=subprocess.PIPE, text=True)
            try:
                assert first.stdout
                self.assertEqual(first.stdout.readline(), "held\n")
                second = subprocess.run([sys.executable, "-c", code, name], capture_output=True, text=True, timeout=30)
                self.assertIn("is in use: life", second.stderr)
                self.assertIn(f"(process {first.pid})", second.stderr)
                os.kill(first.pid, signal.SIGSTOP)

                async def replaced() -> FolderLease:
                    return await acquire_folder(Path(name), EXPIRED_S + 3)

                later = anyio.run(replaced)
                os.kill(first.pid, signal.SIGCONT)
                self.assertIn(f"life {later.incarnation} has the folder", first.stdout.readline())
                later.close()
            finally:
                first.kill()
                first.wait(10)
                first.stdout and first.stdout.close()


if __name__ == "__main__":
    unittest.main()
