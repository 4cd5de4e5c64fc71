"""The stored endpoint list: its records, its files, and when the next start uses it."""

from __future__ import annotations

import errno
import os
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from calicohitch.interface import RestoredState
from calicohitch.recovery import clocks, list_files, state_cache
from calicohitch.recovery.cached_state import CachedState, encode
from calicohitch.recovery.clocks import Moment
from calicohitch.recovery.endpoint_list import (
    MAX_LIST_AGE_MS,
    NO_REVISION,
    InvalidListRecord,
    ListChange,
    StoredList,
    decode_snapshot,
    encode_snapshot,
    reason_against,
)
from calicohitch.recovery.list_files import EndpointListFiles, ListTooLong
from calicohitch.recovery.state_cache import StateCache
from calicohitch.recovery.state_files import StateFiles

WRITTEN = Moment(1_000_000.0, 50_000.0, "boot-1")
DISCOVERY = "127.0.0.1:8500"
ALLOWED_MEMBERS = 3_200
FOLDER_BYTES = 3 << 20


def listed(name: str, **changes: Any) -> dict[str, Any]:
    found = {"id": name, "host_port": "127.0.0.1:9", "locality": 1, "flavor": 0, "cell": 7, "phase": "Ready"}
    return found | {"size": 1.0, "up_since_ms": 1_700_000_000_123} | changes


def stored(*members: dict[str, Any], revision: int = 41) -> StoredList:
    return StoredList(WRITTEN, DISCOVERY, revision, {member["id"]: member for member in members})


class Uses(unittest.TestCase):
    def test_when_the_next_start_uses_it(self) -> None:
        table: tuple[tuple[str | None, dict[str, Any]], ...] = (
            (None, {}),
            (None, {"known_revision": NO_REVISION}),
            ("the configured list is as new", {"known_revision": 41}),
            ("the configured list is as new", {"known_revision": 42}),
            ("it is from another discovery service", {"discovery": "127.0.0.1:1"}),
            ("it is too old", {"passed": MAX_LIST_AGE_MS + 1}),
            (None, {"passed": MAX_LIST_AGE_MS - 1}),
            (None, {"revision": NO_REVISION, "known_revision": 42}),  # discovery has moved since
            (None, {"revision": NO_REVISION, "known_revision": NO_REVISION}),
        )
        for reason, facts in table:
            with self.subTest(facts):
                passed = facts.get("passed", 600.0)
                now = Moment(WRITTEN.wall + passed, WRITTEN.mono + passed, WRITTEN.boot)
                found = reason_against(
                    stored(listed("s-1"), revision=facts.get("revision", 41)),
                    now,
                    facts.get("discovery", DISCOVERY),
                    facts.get("known_revision", 40),
                )
                self.assertEqual(found, reason)


class InAFolder(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def read(self) -> StoredList | None:
        return EndpointListFiles(self.folder).read()


class Files(InAFolder):
    def test_every_list_that_is_allowed_is_stored_whatever_its_names(self) -> None:
        drawn = random.Random(1)
        for size in (0, 1, 500, 655, 656, ALLOWED_MEMBERS):
            with self.subTest(size=size):
                names = (f"{drawn.getrandbits(128):032x}" for _ in range(size))
                members = (
                    listed(
                        name,
                        host_port=f"10.{drawn.randrange(256)}.{drawn.randrange(256)}.{drawn.randrange(256)}:8080",
                        cell=drawn.randrange(1_000),
                        size=drawn.random(),
                        up_since_ms=drawn.getrandbits(40),
                    )
                    for name in names
                )
                whole = stored(*members)
                EndpointListFiles(self.folder).write_snapshot(whole)
                self.assertEqual(self.read(), whole)

    def test_a_list_that_is_too_long_is_refused_and_the_one_before_kept(self) -> None:
        files = EndpointListFiles(self.folder)
        files.write_snapshot(stored(listed("s-1")))
        with (
            mock.patch.object(list_files, "MAX_SNAPSHOT_BYTES", 10),
            self.assertRaisesRegex(ListTooLong, "1 endpoints"),
        ):
            files.write_snapshot(stored(listed("s-2")))
        self.assertEqual(self.read(), stored(listed("s-1")))

    def test_any_changes_are_read_back_in_a_bounded_space(self) -> None:
        drawn = random.Random(2)
        files, expected, snapshots = EndpointListFiles(self.folder), stored(), 0
        for revision in range(42, 2_000):
            name = f"s-{drawn.randrange(200)}"
            change = listed(
                name, phase=drawn.choice(("Ready", "Terminating", "Gone")), up_since_ms=drawn.getrandbits(40)
            )
            told = ListChange(WRITTEN, revision, (change,))
            expected = expected.changed(told)
            if files.needs_snapshot:
                snapshots += 1
                files.write_snapshot(expected)
            else:
                files.append(told)
            if not revision % 100:
                self.assertEqual(self.read(), expected)
        self.assertEqual(self.read(), expected)
        self.assertGreater(snapshots, 3)
        taken = sum(path.stat().st_size for path in self.folder.iterdir())
        self.assertLess(taken, FOLDER_BYTES / 16)

    def test_what_an_earlier_longer_list_left_in_a_file_is_not_read(self) -> None:
        files = EndpointListFiles(self.folder)
        for members in ([listed(f"s-{n}") for n in range(300)], [listed("a")], [listed("b")]):
            files.write_snapshot(stored(*members))
            files.append(ListChange(WRITTEN, 43, (listed("z"),)))
        self.assertEqual(self.read(), stored(listed("b"), listed("z"), revision=43))

    def test_a_kill_at_any_byte_of_a_write_leaves_the_list_before_it_or_behind_it(self) -> None:
        class Killed(BaseException):
            pass

        before = stored(listed("s-1"), listed("s-2"))
        change = ListChange(WRITTEN, 42, (listed("s-1", phase="Gone"),))
        behind = before.changed(change)
        real = os.write

        def killed_after(allowed: int) -> Callable[[int, Any], int]:
            def write(fd: int, data: Any) -> int:
                if len(data) <= allowed:
                    return real(fd, data)
                real(fd, data[:allowed])
                raise Killed

            return write

        for allowed in range(0, 300, 3):
            for is_snapshot in (False, True):
                with self.subTest(allowed=allowed, is_snapshot=is_snapshot):
                    files = EndpointListFiles(self.folder)
                    files.read()
                    files.write_snapshot(stored(listed("an older one")))
                    files.write_snapshot(before)
                    with mock.patch("os.write", killed_after(allowed)):
                        try:
                            if is_snapshot:
                                files.write_snapshot(behind)
                            else:
                                files.append(change)
                            expected = behind
                        except Killed:
                            expected = before
                    self.assertEqual(self.read(), expected)

    def test_behind_a_write_that_the_disk_refused_in_the_middle_the_whole_list_is_due(self) -> None:
        files = EndpointListFiles(self.folder)
        before = stored(listed("s-1"))
        files.write_snapshot(before)
        real, calls = os.write, iter((20, 0))

        def fills(fd: int, data: Any) -> int:
            if most := next(calls):
                return real(fd, data[:most])
            raise OSError(errno.ENOSPC, "full")

        with mock.patch("os.write", fills), self.assertRaises(OSError):
            files.append(ListChange(WRITTEN, 42, (listed("s-2"),)))
        self.assertTrue(files.needs_snapshot)
        self.assertEqual(self.read(), before)
        files.write_snapshot(stored(listed("s-2"), revision=42))
        self.assertEqual(self.read(), stored(listed("s-2"), revision=42))

    @settings(max_examples=200, deadline=None)
    @given(
        st.one_of(
            st.binary(max_size=200),
            st.builds(
                lambda offset, new: (
                    encode_snapshot(stored(listed("s-1")))[:offset]
                    + new
                    + encode_snapshot(stored(listed("s-1")))[offset + len(new) :]
                ),
                st.integers(0, 200),
                st.binary(max_size=20),
            ),
        )
    )
    def test_any_bytes_are_read_or_rejected(self, data: bytes) -> None:
        for found in (lambda: decode_snapshot(data), lambda: list_files._read_file(data)):
            try:
                found()
            except InvalidListRecord:
                pass


class Lives(InAFolder):
    def cache(self, wall: float) -> StateCache:
        found = StateCache(self.folder, 1, ("orders",))
        found.read(wall, DISCOVERY, 40)
        return found

    def test_the_next_start_has_the_list_without_any_stored_state(self) -> None:
        self.cache(1e12).save_list(1e12, DISCOVERY, 41, (), lambda: [listed("s-1")])
        found = self.cache(1e12 + 500.0).endpoint_list
        assert found
        self.assertEqual((found.revision, set(found.members)), (41, {"s-1"}))

    def test_a_list_that_an_older_program_stored_with_its_state_is_used_unless_a_later_one_is_there(self) -> None:
        wall = 1e12
        state = CachedState(clocks.now(wall), 1, DISCOVERY, 41, (listed("in the state"),))
        StateFiles(self.folder).write(encode(state))
        found = self.cache(wall).endpoint_list
        assert found
        self.assertEqual(set(found.members), {"in the state"})
        for at, expected in ((wall - 1.0, "in the state"), (wall + 1.0, "in its files")):
            self.cache(wall).save_list(at, DISCOVERY, 41, (), lambda: [listed("in its files")])
            found = self.cache(wall + 2.0).endpoint_list
            assert found
            self.assertEqual(set(found.members), {expected})

    def test_a_list_that_is_too_long_is_not_tried_again_at_once_nor_logged_twice(self) -> None:
        found = self.cache(1e12)
        with (
            mock.patch.object(list_files, "MAX_SNAPSHOT_BYTES", 10),
            mock.patch.object(state_cache.logger, "warning") as logged,
        ):
            for size in (1, 300):
                members = [listed(f"s-{n}") for n in range(size)]
                found.save_list(1e12, DISCOVERY, 41, (), lambda members=members: members)
        self.assertFalse(found.list_due(1e12 + 1_000.0))
        self.assertEqual(logged.call_count, 1)

    def test_a_damaged_list_does_not_prevent_a_start(self) -> None:
        for name in ("endpoints-0", "endpoints-1"):
            (self.folder / name).write_bytes(b"\xff" * 90)
        self.assertIsNone(self.cache(1e12).endpoint_list)
        for name in ("endpoints-0", "endpoints-1"):
            (self.folder / name).unlink()
            (self.folder / name).mkdir()
        found = self.cache(1e12)
        self.assertIsNone(found.endpoint_list)
        found.save_list(1e12, DISCOVERY, 41, (), lambda: [listed("s-1")])
        self.assertTrue(found.list_due(1e12 + 1_000.0))  # the disk refused it
        self.assertTrue(found.save(1e12, RestoredState((), ((0, 0),)), str))


if __name__ == "__main__":
    unittest.main()
