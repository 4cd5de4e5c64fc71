"""The folder lease: one incarnation at a time owns the folder, also if processes stall, start twice or find files of
others."""

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
    """A clock that is set by the test, in seconds."""

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class Leases(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name) / "state"
        self.mono, self.wall = Time(), Time(1_000.0)

    def monitor(self) -> LeaseMonitor:
        return LeaseMonitor(self.folder, self.mono, self.wall)

    def acquired(self) -> FolderLease:
        lease = self.monitor().try_acquire()
        assert lease
        self.addCleanup(lease.close)
        return lease

    def test_numbers_only_grow_whatever_the_clock_shows(self) -> None:
        first = self.acquired()
        first.close()
        self.wall.now = 900.0
        second = self.acquired()
        second.close()
        self.wall.now = 5_000.0
        self.assertEqual([first.incarnation, second.incarnation, self.acquired().incarnation], [1_000, 1_001, 5_000])
        self.assertEqual(len(list(self.folder.glob("life-*"))), 1)

    def test_a_live_owner_keeps_the_folder(self) -> None:
        owner, other = self.acquired(), self.monitor()
        for _ in range(40):
            self.mono.now += 0.5
            owner.renew()
            self.assertIsNone(other.try_acquire())
        self.assertIn(f"life {owner.incarnation} (process {os.getpid()}) has it and is alive", other.wait_reason)
        owner.check()

    def test_a_dead_owner_is_replaced_at_once(self) -> None:
        owner = self.acquired()
        owner.close()  # as the kernel does for a killed process
        self.acquired().check()

    def test_a_stalled_owner_is_replaced_and_its_next_check_fails(self) -> None:
        owner, other = self.acquired(), self.monitor()
        self.assertIsNone(other.try_acquire())
        self.mono.now += EXPIRED_S - 0.1
        self.assertIsNone(other.try_acquire())
        self.mono.now += 0.2
        later = other.try_acquire()
        assert later
        self.addCleanup(later.close)
        notices: list[str] = []
        owner.on_lost = lambda: notices.append(owner.lost)
        with self.assertRaises(FolderLost):
            owner.check()
        self.assertEqual(len(notices), 1)
        later.check()

    def test_a_stalled_owner_that_nobody_replaced_keeps_its_lease(self) -> None:
        owner = self.acquired()
        self.mono.now += 100.0
        owner.check()

    def test_a_monitor_that_stalled_itself_does_not_replace_the_owner(self) -> None:
        owner, other = self.acquired(), self.monitor()
        self.assertIsNone(other.try_acquire())
        self.mono.now += 60.0  # both stalled; the owner resumes first
        owner.renew()
        self.assertIsNone(other.try_acquire())

    def test_an_emptied_folder_is_no_longer_owned(self) -> None:
        owner = self.acquired()
        for path in list(self.folder.iterdir()):
            path.unlink()
        with self.assertRaisesRegex(FolderLost, "emptied or replaced"):
            owner.check()

    def test_nothing_is_recorded_while_the_lease_cannot_be_proved(self) -> None:
        owner = self.acquired()
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

    def test_files_of_dead_processes_are_removed_and_others_kept(self) -> None:
        self.folder.mkdir()
        (self.folder / "claim.lock").write_text("")
        (self.folder / "life-7").write_text("")
        (self.folder / "life-9").write_bytes(b"\xff" * 200)
        (self.folder / "life-x").write_text("mine")
        self.assertEqual(self.acquired().incarnation, 1_000)
        self.assertEqual(sorted(p.name for p in self.folder.iterdir()), ["claim.lock", "life-1000", "life-x"])

    def test_an_unusable_folder_is_reported_with_a_hint(self) -> None:
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

    def test_waiting_for_the_folder_is_bounded(self) -> None:
        async def test() -> None:
            owner = await acquire_folder(self.folder)
            with self.assertRaisesRegex(FolderInUse, "in use: life"):
                await acquire_folder(self.folder, 0.2)
            owner.close()
            (await acquire_folder(self.folder, 0.2)).close()

        anyio.run(test)

    def test_a_start_after_a_kill_at_any_file_operation_of_a_start(self) -> None:
        """The next start can use the folder, gets a higher number, and finds every message."""

        class Killed(BaseException):
            pass

        real = {name: getattr(os, name) for name in ("open", "write", "pwrite", "unlink", "rename")}
        for allowed in range(1, 40):
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                lease = LeaseMonitor(folder).try_acquire()
                assert lease
                journal = Journal(folder, 3e6, lease.incarnation, lease.check)
                accepted = Entry(journal.next_number, "m", "orders", 7, 5e12, None, b"body")
                journal.record_accepted(accepted)
                journal.close()
                lease.close()
                (path,) = folder.glob("journal-*.log")
                path.write_bytes(path.read_bytes() + b"torn")
                done = 0

                def counted(operation: str, most: int = allowed):  # type: ignore[no-untyped-def]
                    def call(*args, **kwargs):  # type: ignore[no-untyped-def]
                        nonlocal done
                        done += 1
                        if done > most:
                            raise Killed
                        return real[operation](*args, **kwargs)

                    return call

                held: list[int] = []
                with mock.patch.multiple(os, **{operation: counted(operation) for operation in real}):
                    try:
                        second = LeaseMonitor(folder).try_acquire()
                        assert second
                        held.append(second._fd)
                        second_journal = Journal(folder, 3e6, second.incarnation, second.check)
                        second_journal.record_closed(second_journal.next_number)
                        second_journal.record_accepted(
                            Entry(second_journal.next_number, "n", "orders", 7, 5e12, None, b"")
                        )
                        second_journal.close()
                    except Killed:
                        pass
                for fd in held:
                    os.close(fd)
                third = LeaseMonitor(folder).try_acquire()
                assert third
                self.assertGreater(third.incarnation, lease.incarnation)
                third_journal = Journal(folder, 3e6, third.incarnation)
                self.assertEqual(third_journal.entries[accepted.number].body, b"body")
                self.assertFalse(
                    [damage for damage in third_journal.damage if not damage.repaired], (allowed, third_journal.damage)
                )
                third_journal.close()
                third.close()
                if done <= allowed:
                    return
        self.fail("no start completed within 40 file operations")


class Owners(RuleBasedStateMachine):
    """Processes begin, stall, resume, die and act in any order: once a later incarnation acted, no earlier one may."""

    def __init__(self) -> None:
        super().__init__()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.mono = Time()
        self.monitors = [LeaseMonitor(self.folder, self.mono, Time(50.0)) for _ in range(3)]
        self.leases: list[FolderLease] = []
        self.acted: list[tuple[float, int]] = []

    def teardown(self) -> None:
        for lease in self.leases:
            lease.close()
        self.temporary.cleanup()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.9, 2.1, 5.1]))
    def time_passes(self, seconds: float) -> None:
        self.mono.now += seconds

    @rule(index=st.integers(0, 2))
    def looks(self, index: int) -> None:
        if lease := self.monitors[index].try_acquire():
            self.leases.append(lease)

    @precondition(lambda self: self.leases)
    @rule(index=st.integers(0, 9))
    def renews(self, index: int) -> None:
        self.leases[index % len(self.leases)].renew()

    @precondition(lambda self: self.leases)
    @rule(index=st.integers(0, 9))
    def dies(self, index: int) -> None:
        self.leases.pop(index % len(self.leases)).close()

    @precondition(lambda self: self.leases)
    @rule(index=st.integers(0, 9))
    def acts(self, index: int) -> None:
        lease = self.leases[index % len(self.leases)]
        try:
            lease.check()
        except FolderProblem:
            return
        self.acted.append((self.mono.now, lease.incarnation))

    @invariant()
    def acts_are_in_the_order_of_incarnations(self) -> None:
        incarnations = [incarnation for _, incarnation in self.acted]
        assert incarnations == sorted(incarnations), self.acted


Owners.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestOwners = Owners.TestCase


class Processes(unittest.TestCase):
    """The same with real processes."""

    def test_a_second_process_exits_with_an_error_and_a_stalled_one_is_replaced(self) -> None:
        code = (
            "import sys, anyio; from pathlib import Path; from calicohitch.recovery import folder_lease\n"
            "async def main():\n"
            "    lease = await folder_lease.acquire_folder(Path(sys.argv[1]), 0.3)\n"
            "    print('held', flush=True)\n"
            "    while not lease.lost: lease.renew(); await anyio.sleep(0.1)\n"
            "    print(lease.lost, flush=True)\n"
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
