"""Copies of others' work on a disk that refuses, and beside a wall clock that is set."""

from __future__ import annotations

import errno
import io
import os
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from calicohitch.journal import Entry, Journal, payloads
from calicohitch.failover.replica_store import ReplicaStore, NoRoom

OWNERS_TIME = 5e12


def entry(number: int = 7) -> Entry:
    return Entry(number, f"m{number}", "orders", 7, OWNERS_TIME, "k", b"body")


class Replicator(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name) / "copies"

    def replicas(self) -> ReplicaStore:
        found = ReplicaStore(self.folder, 1_000_000, lambda: 1_000.0)
        self.addCleanup(found.close)
        return found

    def held(self) -> ReplicaStore:
        replicas = self.replicas()
        replica_set = replicas.open("r1", 3, 4)
        for payload in payloads(entry()):
            replicas.record(replica_set, 0, payload)
        return replicas

    def test_the_owners_times_stay_the_owners(self) -> None:
        """They are reckoned by what was measured between the two clocks, not by how this relay's was set."""
        self.held().close()
        real = time.time
        with mock.patch.object(time, "time", lambda: real() + 3_600.0):
            (replica_set,) = self.replicas()
            (found,) = replica_set.claimed(range(4), 1_000.0, 0.0)
        self.assertEqual(found.deadline, OWNERS_TIME)

    def test_copies_that_cannot_be_read_for_a_moment_are_kept(self) -> None:
        self.held().close()
        real, left = io.open, [2]

        def fails(path: Any, *rest: Any, **more: Any) -> Any:
            if str(path).endswith("held") and left[0]:
                left[0] -= 1
                raise OSError(errno.EIO, "Input/output error")
            return real(path, *rest, **more)

        with mock.patch.object(io, "open", fails):
            found = self.replicas()
        self.assertEqual([len(replica_set) for replica_set in found], [1])

    def test_an_end_that_is_not_on_the_disk_is_not_acknowledged(self) -> None:
        replicas = self.held()
        replica_set = replicas.get("r1", 3)
        assert replica_set
        closed = Journal._record(5, 7, b"")[8:]  # type: ignore[arg-type]
        with mock.patch.object(os, "write", side_effect=OSError(errno.EIO, "Input/output error")):
            with self.assertRaises(NoRoom):
                replicas.record(replica_set, 0, closed)
        replicas.record(replica_set, 0, closed)
        self.assertFalse(replica_set.journal.is_open(7))


if __name__ == "__main__":
    unittest.main()
