"""The cached state on a disk that fails in the middle of a write."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from calicohitch.interface import RestoredState
from calicohitch.recovery.state_cache import StateCache


class Killed(BaseException):
    """Stands for the end of the process."""


class FailedWrites(unittest.TestCase):
    def test_a_kill_after_a_failed_write_leaves_a_valid_state(self) -> None:
        """Two files are written alternately. After a failed write the next one went to the file that was still valid,
        so that a kill during it left no valid file."""
        with tempfile.TemporaryDirectory() as name:
            state_cache = StateCache(Path(name), 1, ("orders",))

            def save(wall: float) -> None:
                state_cache.save(wall, RestoredState((), ((1, 2),)), str)

            save(1e12)
            real, killed = os.write, [False]

            def write_half(fd: int, data: Any) -> int:
                real(fd, bytes(data)[: len(data) // 2])
                if killed[0]:
                    raise Killed
                raise OSError(errno.EIO, "Input/output error")

            with mock.patch.object(os, "write", write_half):
                save(1e12 + 2_000)
                killed[0] = True
                with self.assertRaises(Killed):
                    save(1e12 + 4_000)
            later = StateCache(Path(name), 2, ("orders",))
            later.read(1e12 + 5_000, "d", -1)
            self.assertIsNotNone(later.found)
            assert later.found
            self.assertEqual(later.found.written.wall, 1e12)


if __name__ == "__main__":
    unittest.main()
