"""The cached state: its ages, its encoding, its files, and its use by the next incarnation."""

from __future__ import annotations

import dataclasses
import errno
import json
import os
import tempfile
import unittest
import zlib
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from calicohitch.interface import RestoredRoute, RestoredState, RoutePacing
from calicohitch.journal import Attempt, Entry
from calicohitch.recovery import cached_state, clocks, state_conversion
from calicohitch.recovery.cached_state import (
    CachedState,
    InvalidCachedState,
    KnownDestination,
    KnownPacing,
    KnownRoute,
    decode,
    encode,
    validate,
)
from calicohitch.recovery.clocks import Between, Moment, between
from calicohitch.recovery.state_files import StateFiles
from calicohitch.recovery.state_cache import StateCache

WRITTEN = Moment(1_000_000.0, 50_000.0, "boot-1")
MEMBER = {"id": "s-1", "host_port": "127.0.0.1:9", "cell": 7, "phase": "Ready"}


PACING = KnownPacing(7, "", 1_002_000.0, 2, 998_000.0, 0.51, 999_500.0, 1.5, 999_000.0, 40.0)
DESTINATION = KnownDestination(7, 9_000.0, 3, 1, 2, 1_004_000.0, 997_000.0)


def known(**changes: Any) -> CachedState:
    state = CachedState(
        WRITTEN,
        7,
        "127.0.0.1:8500",
        41,
        (MEMBER,),
        (KnownRoute(7, "", 80.0, 0.5, 2.0, True, 999_000.0, 1_003_000.0), KnownRoute(8, "s-9", 20.0)),
        {"orders": (90, 100)},
        (PACING,),
        (DESTINATION, KnownDestination(8, 250.0, 20)),
        ((0, 3),),
    )
    return dataclasses.replace(state, **changes)


def moment_after(passed: float, set_by: float = 0.0, boot: str = "boot-1") -> Moment:
    return Moment(WRITTEN.wall + passed + set_by, WRITTEN.mono + passed if boot == "boot-1" else 10.0, boot)


class Clocks(unittest.TestCase):
    def test_time_passed_and_clock_change(self) -> None:
        cases = {
            "same boot, clock not set": (moment_after(600.0), Between(600.0)),
            "90 s back": (moment_after(600.0, -90_000.0), Between(600.0, -90_000.0)),
            "90 s forward": (moment_after(600.0, 90_000.0), Between(600.0, 90_000.0)),
            "another boot": (moment_after(30_000.0, boot="boot-2"), Between(30_000.0)),
            "another boot, 90 s back": (moment_after(5_000.0, -95_000.0, "boot-2"), Between(0.0, -90_000.0)),
            "a boot that is not known": (Moment(WRITTEN.wall + 5.0), Between(5.0)),
            "the monotonic clock began anew": (Moment(WRITTEN.wall + 5.0, 1.0, "boot-1"), Between(5.0)),
        }
        for name, (now, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(between(WRITTEN, now), expected)
        self.assertEqual(between(Moment(float("nan")), moment_after(0.0)), Between(0.0))
        self.assertGreater(clocks.now(5.0).mono, 0.0)


class Validity(unittest.TestCase):
    def validated(self, passed: float, set_by: float = 0.0, outlast: bool = False) -> cached_state.ValidatedState:
        return validate(known(), moment_after(passed, set_by), ("orders", "scores"), outlast)

    def test_each_part_has_a_maximum_age(self) -> None:
        fresh = self.validated(1_000.0)
        self.assertEqual(fresh.left_out, ())
        self.assertEqual(fresh.routes[0], KnownRoute(7, "", 80.0, 0.5, 2.0, True, 999_000.0, 0.0))
        self.assertEqual(fresh.on_time, {"orders": (90, 100)})
        later = self.validated(cached_state.MAX_HEALTH_AGE_MS + 1)
        self.assertEqual(later.routes[0], KnownRoute(7, "", 80.0, 0.5, 2.0))
        self.assertEqual([part for part, _, _ in later.left_out], ["health"])
        old = self.validated(cached_state.MAX_ON_TIME_AGE_MS + 1)
        self.assertEqual((old.routes, old.on_time), ((), {}))
        self.assertEqual([part for part, _, _ in old.left_out], ["limits", "health", "on-time shares"])

    def test_a_retry_after_ends_with_a_restart_unless_it_outlasts_one(self) -> None:
        self.assertEqual(self.validated(1_000.0).routes[0].wait_until, 0.0)
        self.assertEqual(self.validated(1_000.0, outlast=True).routes[0].wait_until, 1_003_000.0)
        self.assertEqual(self.validated(1_000.0, -90_000.0, outlast=True).routes[0].wait_until, 913_000.0)
        self.assertEqual(self.validated(4_000.0, outlast=True).routes[0].wait_until, 0.0)

    def test_pacing_is_valid_as_long_as_health_and_a_traffic_rate_for_longer(self) -> None:
        fresh = self.validated(1_000.0)
        self.assertEqual((fresh.pacing, fresh.destinations[0]), ((PACING,), DESTINATION))
        self.assertEqual(fresh.overload_doublings, ((0, 3),))
        later = self.validated(cached_state.MAX_HEALTH_AGE_MS + 1)
        self.assertEqual((later.pacing, later.overload_doublings), ((), ()))
        self.assertEqual(later.destinations[0], KnownDestination(7, 9_000.0, 3))
        self.assertEqual(self.validated(cached_state.MAX_ARRIVAL_GAP_AGE_MS + 1).destinations, ())

    def test_times_of_pacing_follow_the_wall_clock(self) -> None:
        moved = self.validated(1_000.0, -90_000.0)
        self.assertEqual(moved.pacing[0].next_call_at, PACING.next_call_at - 90_000.0)
        self.assertEqual(moved.destinations[0].next_call_at, DESTINATION.next_call_at - 90_000.0)


class Copies(unittest.TestCase):
    def test_a_folder_is_taken_for_a_copy_by_the_newest_of_what_is_in_it(self) -> None:
        """Guards against untried messages that are failed since a quiet relay, or one whose disk refused it, had stored
        no state for a while."""
        old, fresh = cached_state.ROLLED_BACK_MS + 1, cached_state.ROLLED_BACK_MS
        table = {
            "the state is fresh": ((fresh, old), None),
            "quiet, and messages were accepted right before the kill": ((old, 600.0), None),
            "the state could not be stored, and the journal could": ((old, 0.0), None),
            "the state is damaged or missing": ((None, fresh), None),
            "nothing tells": ((None, None), None),
            "no message was accepted yet": ((fresh, None), None),
            "an old copy": ((old + 5.0, old), old),
            "an old copy without its state": ((None, old), old),
            "an old copy whose journal does not tell": ((old, None), old),
        }
        for name, (since_written_ms, expected) in table.items():
            with self.subTest(name):
                self.assertEqual(cached_state.since_copy_ms(*since_written_ms), expected)


class Encoding(unittest.TestCase):
    def test_encoded_state_is_decoded_unchanged(self) -> None:
        self.assertEqual(decode(encode(known())), known())

    def test_a_list_that_is_too_long_is_left_out(self) -> None:
        left_out: list[str] = []
        state = decode(encode(known(members=(MEMBER,) * 2_000), lambda part, _size: left_out.append(part)))
        self.assertEqual((state.members, state.revision, len(state.routes)), ((), -1, 2))
        self.assertEqual(left_out, ["healthy destinations", "the list"])

    def test_healthy_destinations_are_left_out_before_the_list(self) -> None:
        many = tuple(KnownDestination(n, 12_345.0, 1_000) for n in range(1, 4_000))
        state = decode(encode(known(destinations=(DESTINATION, *many))))
        self.assertEqual((state.destinations, state.members), ((DESTINATION,), (MEMBER,)))

    def test_fields_are_only_added_for_other_versions(self) -> None:
        record = json.loads(encode(known())[9:])
        added = {"pacing", "destinations", "doublings"}
        older = {name: value for name, value in record.items() if name not in added}
        self.assertEqual(
            older.keys(),
            {"format", "life", "written", "discovery", "revision", "members", "routes", "on_time"},
        )
        self.assertEqual([len(route) for route in older["routes"]], [8, 8])
        data = json.dumps(older).encode()
        self.assertEqual(
            decode(b"%08x " % zlib.crc32(data) + data), known(pacing=(), destinations=(), overload_doublings=())
        )

    def test_impossible_values_are_left_out_and_the_rest_is_used(self) -> None:
        for limit in (-3.0, float("inf"), float("nan"), 1e30):
            state = decode(encode(known(routes=(KnownRoute(7, "", limit), KnownRoute(8, "", 5.0)))))
            self.assertEqual([route.dest for route in state.routes], [8])
        state = decode(encode(known(on_time={"orders": (9, 3), "scores": (1, 2)})))
        self.assertEqual(state.on_time, {"scores": (1, 2)})
        state = decode(
            encode(
                known(
                    pacing=(KnownPacing(7, next_call_at=1e30), KnownPacing(8, bad_run=2)),
                    destinations=(KnownDestination(7, -1.0), KnownDestination(8, 5.0)),
                    overload_doublings=((0, 99), (1, 2)),
                )
            )
        )
        self.assertEqual([known.dest for known in (*state.pacing, *state.destinations)], [8, 8])
        self.assertEqual(state.overload_doublings, ((1, 2),))

    @settings(max_examples=200, deadline=None)
    @given(
        st.one_of(
            st.binary(max_size=200),
            st.builds(
                lambda offset, new: encode(known())[:offset] + new + encode(known())[offset + len(new) :],
                st.integers(0, 300),
                st.binary(max_size=20),
            ),
        )
    )
    def test_any_bytes_are_decoded_unchanged_or_rejected(self, data: bytes) -> None:
        try:
            self.assertEqual(decode(data), known())
        except InvalidCachedState:
            pass

    def test_a_newer_format_is_rejected(self) -> None:
        text = encode(known())[9:]
        newer = json.dumps(json.loads(text) | {"format": 9}).encode()
        with self.assertRaisesRegex(InvalidCachedState, "format 9"):
            decode(b"%08x " % zlib.crc32(newer) + newer)


class Conversion(unittest.TestCase):
    def test_a_route_whose_endpoint_has_left_the_list_is_not_taken_for_a_shared_one(self) -> None:
        routes = tuple(RestoredRoute(7, endpoint, failing=True, pacing=RoutePacing(bad_run=2)) for endpoint in (1, 2))
        state = RestoredState(routes)
        names = {1: "s-1"}
        known_routes = state_conversion.known_routes(state, lambda number: names.get(number, ""))
        known_pacing = state_conversion.known_pacing(state, lambda number: names.get(number, ""))
        self.assertEqual([route.endpoint for route in known_routes], ["s-1"])
        self.assertEqual([pacing.endpoint for pacing in known_pacing], ["s-1"])


class Storage(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def test_a_kill_after_any_file_operation_of_a_write_leaves_the_old_or_the_new_state(self) -> None:
        class Killed(BaseException):
            pass

        state_files = StateFiles(self.folder)
        old, new = encode(known()), encode(known(incarnation=8))
        real = {name: getattr(os, name) for name in ("open", "write", "close")}
        for allowed in range(5):
            state_files.write(old)
            done = 0

            def counted(name: str, most: int = allowed):  # type: ignore[no-untyped-def]
                def call(*args, **kwargs):  # type: ignore[no-untyped-def]
                    nonlocal done
                    done += 1
                    if done > most:
                        raise Killed
                    return real[name](*args, **kwargs)

                return call

            with mock.patch.multiple(os, **{name: counted(name) for name in real}):
                try:
                    state_files.write(new)
                except Killed:
                    pass
            read = StateFiles(self.folder).read()
            assert read
            self.assertEqual(read.incarnation, 8 if allowed >= 2 else 7)  # a close that fails loses nothing

    def test_a_disk_that_fills_up_keeps_the_stored_state(self) -> None:
        state_files = StateFiles(self.folder)
        state_files.write(encode(known()))
        real, calls = os.write, iter((60, 0))

        def fills(fd: int, data: bytes) -> int:
            if most := next(calls):
                return real(fd, data[:most])
            raise OSError(errno.ENOSPC, "full")

        with mock.patch("os.write", fills), self.assertRaises(OSError):
            state_files.write(encode(known(incarnation=9)))
        with mock.patch("os.open", side_effect=OSError(errno.ENOSPC, "full")), self.assertRaises(OSError):
            state_files.write(encode(known(incarnation=9)))
        read = state_files.read()
        assert read
        self.assertEqual(read.incarnation, 7)

    def test_no_file_is_renamed_or_truncated(self) -> None:
        """With a busy disk, a rename over the old file blocked the relay for up to 1.2 s (ext4)."""
        state_files = StateFiles(self.folder)
        opened_with: list[int] = []
        real = os.open
        counted = mock.patch(
            "os.open", lambda path, flags, mode=0: opened_with.append(flags) or real(path, flags, mode)
        )
        with mock.patch("os.replace", side_effect=AssertionError), counted:
            for incarnation in range(5):
                state_files.write(encode(known(incarnation=incarnation)))
            state_files.write(encode(known(incarnation=5, members=())))  # shorter than the state that it overwrites
        self.assertFalse(any(flags & os.O_TRUNC for flags in opened_with))
        read = StateFiles(self.folder).read()
        assert read
        self.assertEqual((read.incarnation, read.members), (5, ()))
        (newest,) = [path for path in self.folder.iterdir() if b'"life":5' in path.read_bytes()]
        newest.write_bytes(newest.read_bytes()[:40])  # torn: the older file is used
        older = StateFiles(self.folder).read()
        assert older
        self.assertEqual(older.incarnation, 4)

    def test_state_is_restored_by_the_next_incarnation(self) -> None:
        wall, mono = 1_000_000.0, mock.patch.object(clocks.time, "monotonic", side_effect=(50.0, 50.5))
        mono.start()
        self.addCleanup(mono.stop)
        first = StateCache(self.folder, 3, ("orders",))
        first.save(
            wall,
            RestoredState((RestoredRoute(7, 4, (80.0, 0.5, 2.0), True, 999_000_000, 0),), ((9, 10),)),
            lambda number: f"s-{number}",
        )
        second = StateCache(self.folder, 4, ("orders",))
        second.read(wall + 500.0, "127.0.0.1:8500", 40)
        restored = second.restored_state({"s-4": 12}.get, wall + 500.0)
        self.assertEqual(
            restored, RestoredState((RestoredRoute(7, 12, (80.0, 0.5, 2.0), True, 999_000_000, 0),), ((9, 10),))
        )
        # the endpoint list does not have s-4
        self.assertEqual(second.restored_state({}.get, wall + 500.0), RestoredState((), ((9, 10),)))

    def test_times_follow_the_wall_clock_and_messages_of_an_old_copy_are_doubtful(self) -> None:
        wall = 1_000_000.0
        state_cache = StateCache(self.folder, 3, ("orders",))
        state_cache.save(wall, RestoredState((), ((0, 0),)), str)
        later = clocks.now(0.0)
        for set_by, passed, doubtful in ((-90_000.0, 600.0, False), (90_000.0, 600.0, False), (0.0, 125_000.0, True)):
            with self.subTest(set_by=set_by, passed=passed):
                entry = Entry(1, "m", "orders", 7, wall + 9_000.0, "k", b"", [Attempt(wall - 50.0, 0)])
                second = StateCache(self.folder, 4, ("orders",))
                moment = Moment(wall + passed + set_by, later.mono + passed, later.boot)
                with mock.patch.object(clocks, "now", lambda wall, moment=moment: moment):
                    second.read(moment.wall, "127.0.0.1:8500", -1)
                second.correct_entries([entry], moment.wall)
                self.assertAlmostEqual(entry.deadline, wall + 9_000.0 + set_by, delta=1_000.0)
                self.assertAlmostEqual(entry.attempts[0].sent_at, wall - 50.0 + set_by, delta=1_000.0)
                self.assertEqual(entry.doubtful, doubtful)

    def test_unreadable_state_does_not_prevent_a_start(self) -> None:
        for name in ("beliefs-0", "beliefs-1"):
            (self.folder / name).write_bytes(b"\xff" * 50)
        state_cache = StateCache(self.folder, 3, ("orders",))
        state_cache.read(1.0, "127.0.0.1:8500", -1)
        self.assertIsNone(state_cache.restored_state({}.get, 1.0))
        for name in ("beliefs-0", "beliefs-1"):
            (self.folder / name).unlink()
            (self.folder / name).mkdir()
        state_cache.read(1.0, "127.0.0.1:8500", -1)
        state_cache.save(5_000.0, RestoredState((), ((0, 0),)), str)  # only logged


if __name__ == "__main__":
    unittest.main()
