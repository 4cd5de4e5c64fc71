"""A folder whose disk fails for a moment, at a start and in a running relay: its owner, and no other, keeps it."""

from __future__ import annotations

import errno
import os
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from test_process import Program, ending, exit_code
from recovery.test_folder_lease import Time
from world import World, in_world, play

from calicohitch.journal import Entry, Journal
from calicohitch.recovery.folder_lease import EXPIRED_S, LeaseMonitor, acquire_folder
from calicohitch.recovery.problems import FolderLost, FolderProblem

FAILURE_S = 0.6


def entry(number: int) -> Entry:
    return Entry(number, f"m{number}", "orders", 7, 5e12 + number, None, b"body")


def failing_for(real: Any, error: int, failure_s: float = FAILURE_S) -> Any:
    until = time.monotonic() + failure_s

    def call(*args: Any, **more: Any) -> Any:
        if time.monotonic() < until:
            raise OSError(error, os.strerror(error))
        return real(*args, **more)

    return call


class FailuresAtStart(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name) / "state"

    def test_a_start_retries_while_the_folder_fails_for_a_moment(self) -> None:
        for name, error in (
            ("open", errno.ENOSPC),
            ("pwrite", errno.EIO),
            ("open", errno.ENFILE),
            ("listdir", errno.EMFILE),
            ("unlink", errno.EIO),
        ):
            with self.subTest(call=name, error=errno.errorcode[error]):
                LeaseMonitor(self.folder).try_acquire().close()  # type: ignore[union-attr]
                with mock.patch.object(os, name, failing_for(getattr(os, name), error)):
                    lease = anyio.run(acquire_folder, self.folder, 5.0)
                lease.check()
                lease.close()

    def test_a_permanent_failure_is_reported_at_once(self) -> None:
        for error in (errno.EROFS, errno.EACCES):
            began = time.monotonic()
            with (
                mock.patch.object(os, "open", side_effect=OSError(error, os.strerror(error))),
                self.assertRaises(FolderProblem),
            ):
                anyio.run(acquire_folder, self.folder, 5.0)
            self.assertLess(time.monotonic() - began, 1.0)

    def test_a_segment_that_cannot_be_read_for_a_moment_is_read_later(self) -> None:
        async def test(world: World) -> None:
            journal = Journal(world.folder / "state", 3e6)
            journal.record_accepted(Entry(1, "m1", "orders", 7, world.clock.now() + 20_000, "k", b"body"))
            journal.close()
            program = Program(world)
            code = (
                "import io, os, runpy, sys\n"
                "real, failures = io.open, [3]\n"
                "def failing(path, *rest, **more):\n"
                "    if 'journal-' in str(path) and failures[0]:\n"
                "        failures[0] -= 1\n"
                "        raise OSError(5, 'Input/output error')\n"
                "    return real(path, *rest, **more)\n"
                "io.open = failing; sys.argv[1:] = ['serve']\n"
                "runpy.run_module('calicohitch', run_name='__main__')\n"
            )
            with ending(program.spawn([sys.executable, "-c", code])) as process:
                await program.until_ready()
                with anyio.move_on_after(5):
                    while not world.endpoint.requests:
                        await anyio.sleep(0.01)
                process.send_signal(signal.SIGTERM)
                await exit_code(process)
            self.assertEqual([request.headers[b"req-id"] for request in world.endpoint.requests], [b"m1"])

        play(test)


class FailuresInARunningRelay(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name) / "state"
        self.mono, self.wall = Time(), Time(1_000.0)

    def monitor(self) -> LeaseMonitor:
        return LeaseMonitor(self.folder, self.mono, self.wall)

    def test_a_lease_is_proved_without_the_disk(self) -> None:
        owner = self.monitor().try_acquire()
        assert owner
        self.addCleanup(owner.close)
        journal = Journal(self.folder, 3e6, owner.incarnation, owner.check)
        self.addCleanup(journal.close)
        fails = mock.Mock(side_effect=OSError(errno.EIO, "Input/output error"))
        for names in (("pwrite",), ("pwrite", "open"), ("pwrite", "open", "listdir")):
            with self.subTest(names=names):
                patches = [mock.patch.object(os, name, fails) for name in names]
                for patch in patches:
                    patch.start()
                    self.addCleanup(patch.stop)
                self.mono.now += 2.1  # longer than any time for which a lease was valid without a renewal
                owner.renew()
                self.assertTrue(journal.may_act())
                owner.check()

    def test_an_incarnation_that_fails_to_begin_does_not_replace_the_owner(self) -> None:
        """The disk fails to remove the owner's file and the new one: the owner continues, and others still wait."""
        owner, other = self.monitor().try_acquire(), self.monitor()
        assert owner
        self.addCleanup(owner.close)
        self.assertIsNone(other.try_acquire())
        self.mono.now += EXPIRED_S + 0.1
        with mock.patch("os.unlink", side_effect=OSError(errno.EIO, "Input/output error")):
            with self.assertRaises(FolderProblem):
                other.try_acquire()
        owner.check()
        owner.renew()
        owner.check()
        third = self.monitor()
        self.assertIsNone(third.try_acquire())
        self.assertIn(f"life {owner.incarnation} ", third.wait_reason)

    def test_an_owner_that_was_replaced_during_a_disk_failure_sends_nothing(self) -> None:
        owner, other = self.monitor().try_acquire(), self.monitor()
        assert owner
        self.addCleanup(owner.close)
        journal = Journal(self.folder, 3e6, owner.incarnation, owner.check)
        self.addCleanup(journal.close)
        error = OSError(errno.EIO, "Input/output error")
        real = os.pwrite
        with mock.patch.object(os, "pwrite", lambda fd, *rest: self._unless(fd == owner._fd, error, real, fd, *rest)):
            self.assertIsNone(other.try_acquire())
            self.mono.now += EXPIRED_S + 0.1
            owner.renew()
            later = other.try_acquire()
            assert later
            self.addCleanup(later.close)
            self.assertFalse(journal.may_act())
            with self.assertRaises(FolderLost):
                owner.check()
            later.check()

    @staticmethod
    def _unless(fails: bool, error: OSError, real: Any, *args: Any) -> Any:
        if fails:
            raise error
        return real(*args)

    @in_world
    async def test_notices_are_sent_in_time_while_the_disk_fails(self, world: World) -> None:
        """The whole program: writes to its folder fail from some moment on, for several lease renewals."""
        program = Program(world)
        failure_sign = world.folder / "disk-fails"
        code = (
            "import os, runpy, sys\n"
            "def failing(real):\n"
            "    def call(fd, *rest):\n"
            f"        if os.path.exists({str(failure_sign)!r}) and os.path.isfile(f'/proc/self/fd/{{fd}}'):\n"
            "            raise OSError(5, 'Input/output error')\n"
            "        return real(fd, *rest)\n"
            "    return call\n"
            "os.write, os.pwrite, os.ftruncate = map(failing, (os.write, os.pwrite, os.ftruncate))\n"
            "sys.argv[1:] = ['serve']\n"
            "runpy.run_module('calicohitch', run_name='__main__')\n"
        )
        world.hold()
        with ending(program.spawn([sys.executable, "-c", code])) as process:
            await program.until_ready()
            began = time.monotonic()
            self.assertEqual((await world.hand_in("m0", Req_Deadline_Ms="3500")).status, 202)
            with anyio.fail_after(5):
                while not world.endpoint.requests:
                    await anyio.sleep(0.01)
            failure_sign.touch()
            with anyio.move_on_after(6):
                while not world.notices:
                    await anyio.sleep(0.01)
            self.assertTrue(world.notices, "no notice came")
            self.assertLess(time.monotonic() - began, 3.5 + 0.35)
            failure_sign.unlink()
            process.kill()
            process.wait(10)


if __name__ == "__main__":
    unittest.main()
