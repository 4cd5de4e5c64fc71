"""What a relay stores of the world, on a disk that fails in the middle of a write."""

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
    """The process is gone."""


class Stored(unittest.TestCase):
    def test_a_write_that_failed_costs_the_next_one_nothing(self) -> None:
        """Two files are written in turn. Behind a failure the next write went to the one that was still good, so that a
        kill in it left none."""
        with tempfile.TemporaryDirectory() as made:
            memory = StateCache(Path(made), 1, ("orders",))

            def keep(at: float) -> None:
                memory.save(at, RestoredState((), ((1, 2),)), str, "d", int(at), list)

            keep(1e12)
            real, last = os.write, [False]

            def half(fd: int, data: Any) -> int:
                real(fd, bytes(data)[: len(data) // 2])
                if last[0]:
                    raise Killed
                raise OSError(errno.EIO, "Input/output error")

            with mock.patch.object(os, "write", half):
                keep(1e12 + 2_000)
                last[0] = True
                with self.assertRaises(Killed):
                    keep(1e12 + 4_000)
            later = StateCache(Path(made), 2, ("orders",))
            later.read(1e12 + 5_000, "d", -1)
            self.assertIsNotNone(later.found)
            assert later.found
            self.assertEqual(later.found.revision, int(1e12))


if __name__ == "__main__":
    unittest.main()
