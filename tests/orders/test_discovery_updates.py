"""Orders of events around discovery updates: missing answers, address changes, stale and invalid responses."""

from __future__ import annotations

import errno
import json
import math
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

import anyio
from world import HERE, LIMIT, SETTINGS, Party, World, in_world, member, until

from calicohitch.config import Address
from calicohitch.config.settings import Names
from calicohitch.core.backoff import Backoff
from calicohitch.core.discovery_timeouts import WATCH_MS, DiscoveryTimeouts
from calicohitch.interface import Phase
from calicohitch.net.discovery import Directory, ListError
from calicohitch.net.http import listen
from calicohitch.net.relay import Relay
from calicohitch.net.server_client import Moved, ServerClient
from calicohitch.recovery import state_cache
from calicohitch.recovery.endpoint_list import NO_REVISION, StoredList

RELAY_COUNTS = (1, 2, 3, 5, 40, 99, 100, 200, 1_000)
KNOWN_AFTER_S = 6.0  # a change counts as known so long after a long poll stopped being answered
MARGIN_S = 0.25


class ToldAndKilled(unittest.TestCase):
    def stored(self, world: World, relay: Relay) -> StoredList | None:
        """What the next start takes, if the process ends now."""
        later = state_cache.StateCache(world.folder, 2, relay._config.names.classes)
        later.read(world.clock.now(), str(relay._config.discovery), 0)
        return later.endpoint_list

    @in_world
    async def test_what_was_told_of_endpoints_outlasts_a_kill_right_after_it(self, world: World) -> None:
        """Guards against messages for an endpoint that the relay was told is gone, whatever the size of the list."""
        with mock.patch.object(state_cache, "_SAVE_INTERVAL_MS", math.inf):
            async with world.relay() as relay:
                relay._state_cache = state_cache.StateCache(world.folder, 1, relay._config.names.classes)
                for size in (1, 20, 800, 3_200, 3_199, 2):
                    names = {f"s-{size}-endpoint-of-a-usual-name-{n:04d}" for n in range(size)}
                    world.change(*(member(f"127.0.0.1:{n + 1}", name) for n, name in enumerate(sorted(names))))
                    await until(lambda: relay._discovery.version == world.revision)
                    stored = self.stored(world, relay)
                    assert stored
                    self.assertEqual((set(stored.members), stored.revision), (names, world.revision))

    @in_world
    async def test_the_list_outlasts_a_kill_while_discovery_has_moved_and_is_silent(self, world: World) -> None:
        """Guards against a return to the configuration's list, which is older, behind a SIGHUP."""
        async with world.relay() as relay:
            relay._state_cache = state_cache.StateCache(world.folder, 1, relay._config.names.classes)
            world.change(member("127.0.0.1:1", "s-2"))
            await until(lambda: relay._directory.number("s-2"))
            with listen(HERE) as silent:
                relay.follow(replace(relay._config, discovery=Address(*silent.getsockname())))
                stored = self.stored(world, relay)
                assert stored
                self.assertEqual((set(stored.members), stored.revision), ({"s-2"}, NO_REVISION))

    @in_world
    async def test_a_list_that_the_disk_refused_is_stored_later(self, world: World) -> None:
        async with world.relay() as relay:
            relay._state_cache = state_cache.StateCache(world.folder, 1, relay._config.names.classes)
            with mock.patch("calicohitch.recovery.list_files.write_all", side_effect=OSError(errno.ENOSPC, "full")):
                world.change(member("127.0.0.1:1", "s-2"))
                await until(lambda: relay._directory.number("s-2"))
                self.assertIsNone(self.stored(world, relay))
            await until(lambda: (stored := self.stored(world, relay)) and set(stored.members) == {"s-2"})


class Silence(unittest.TestCase):
    """On a computed clock: the time from when discovery stops answering to the poll that is answered."""

    def time_to_last_poll(self, pushed: bool, relays: int, seed: int, silent: int) -> float:
        """A long poll starts just as discovery stops answering; `silent` polls in all get no answer."""
        timeouts = DiscoveryTimeouts(not pushed, Backoff(relays, seed))
        now = 0.0
        for _ in range(silent):
            now += timeouts.timeout_s(timeouts.wait_ms(at_once=False))
            now += timeouts.pause_s(silent=True)
        return now

    def test_a_pushed_list_is_polled_in_time_though_up_to_four_polls_get_no_answer(self) -> None:
        for relays in RELAY_COUNTS:
            for seed in range(200):
                for silent in (1, 2, 3, 4):
                    self.assertLess(self.time_to_last_poll(True, relays, seed, silent), KNOWN_AFTER_S - MARGIN_S)

    def test_a_requested_list_is_polled_in_time_after_one_poll_without_an_answer(self) -> None:
        for relays in RELAY_COUNTS:
            for seed in range(200):
                self.assertLessEqual(self.time_to_last_poll(False, relays, seed, 1), KNOWN_AFTER_S - MARGIN_S)

    def test_an_agent_that_does_not_answer_is_polled_at_short_intervals(self) -> None:
        for relays in RELAY_COUNTS:
            timeouts = DiscoveryTimeouts(False, Backoff(relays, relays))
            for _ in range(100):
                self.assertLessEqual(timeouts.pause_s(silent=True), 0.2)
                self.assertLessEqual(timeouts.timeout_s(timeouts.wait_ms(at_once=False)), 0.8)

    def test_after_an_answer_the_long_poll_waits_for_changes_again(self) -> None:
        timeouts = DiscoveryTimeouts(False, Backoff(3, 1))
        timeouts.pause_s(silent=True)
        timeouts.answered()
        self.assertEqual(timeouts.wait_ms(at_once=False), WATCH_MS)

    @in_world
    async def test_a_long_poll_without_an_answer_is_repeated_among_two_hundred_relays(self, world: World) -> None:
        """Two polls in a row get no answer; the time until the third is measured on the loop's clock."""
        silent, original, polled_at = 2, world.platform.handle, []

        async def discovery(request: Any) -> Any:
            if "wait=" in request.query:
                polled_at.append(anyio.current_time())
                if 1 < len(polled_at) <= 1 + silent:  # the first one confirms the current list
                    await anyio.sleep(LIMIT)
            return await original(request)

        world.platform.handle = discovery
        with mock.patch("calicohitch.core.discovery_timeouts.WATCH_MS", 200):
            async with world.relay(settings=SETTINGS | {"balancers": 200}):
                await until(lambda: len(polled_at) > 1)
                world.change(member(str(world.endpoint.address), phase="Terminating"))
                await until(lambda: len(polled_at) > 1 + silent + 1)
        bound = 0.2 + 0.7 + 0.2 + 0.7 + 0.2
        # 1 s is allowed for a busy machine; the fault was a pause of 16 s.
        self.assertLess(polled_at[1 + silent] - polled_at[1], bound + 1.0)


class Moves(unittest.TestCase):
    @in_world
    async def test_a_configuration_with_the_same_address_keeps_the_long_poll(self, world: World) -> None:
        async with world.relay() as relay:
            await until(lambda: len(world.platform.requests) > 1)  # a long poll is in flight
            connections_before = len(world.platform.accepted)
            with mock.patch("calicohitch.net.relay.logger.exception") as exception_log:
                relay.follow(world.config())
                await anyio.sleep(0.1)  # a poll that was cancelled would be repeated by then
                self.assertEqual(len(world.platform.accepted), connections_before)
                world.change(member(str(world.endpoint.address), "s-2"))
                await until(lambda: relay._directory.number("s-2"))
                self.assertFalse(exception_log.called)

    @in_world
    async def test_a_move_there_and_back_during_a_request_raises_moved(self, world: World) -> None:
        reached = anyio.Event()

        async def hold(_request: Any) -> Any:
            reached.set()
            await anyio.sleep(LIMIT)

        world.platform.handle = hold
        here = world.platform.address
        connection, errors = ServerClient(here), []

        async def request() -> None:
            try:
                await connection.request("GET", "/registry/instances", LIMIT)
            except Exception as error:
                errors.append(type(error))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request)
            await reached.wait()
            connection.move(Address("127.0.0.1", 1))
            connection.move(here)
            await until(lambda: errors)
        self.assertEqual(errors, [Moved])

    @in_world
    async def test_a_move_during_the_connect(self, world: World) -> None:
        reached, errors = anyio.Event(), []
        connection = ServerClient(Address("127.0.0.1", 1))

        async def block(*_: Any, **__: Any) -> Any:
            reached.set()
            await anyio.sleep(LIMIT)

        async def request() -> None:
            try:
                await connection.request("GET", "/registry/instances", LIMIT)
            except Exception as error:
                errors.append(type(error))

        with mock.patch("calicohitch.net.http.ClientConnection.open", block):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(request)
                await reached.wait()
                connection.move(world.platform.address)
                await until(lambda: errors)
        self.assertEqual(errors, [Moved])
        self.assertEqual((await connection.request("GET", "/registry/instances", LIMIT)).status, 200)


class StaleDiscovery(unittest.TestCase):
    """Discovery moves to a server that is behind or has lost its state: its list has a lower revision."""

    @staticmethod
    def stale_discovery(*members: dict[str, Any]) -> tuple[Party, dict[str, Any]]:
        response = {"revision": 1, "complete": True, "members": list(members)}

        async def answer(request: Any) -> Any:
            if "wait=" in request.query:
                await anyio.sleep(0.02)
            return 200, {}, json.dumps(response).encode()

        return Party(answer), response

    @in_world
    async def test_a_departed_endpoint_does_not_return_by_a_stale_list(self, world: World) -> None:
        """Neither a draining nor a gone one, unless it was started again since."""
        draining, gone = member(str(world.endpoint.address)), member(str(world.endpoint.address), "s-2", cell=8)
        stale, response = self.stale_discovery(draining, gone)
        world.members = [draining, gone]
        async with world.relay() as relay, anyio.create_task_group() as tasks:
            tasks.start_soon(stale.run)
            world.change(draining | {"phase": "Terminating"})
            await until(lambda: relay._discovery.version == world.revision)
            relay.follow(world.config(discovery=str(stale.address)))
            await until(lambda: len(stale.requests) > 3)
            self.assertEqual((await world.hand_in("a1")).status, 202)
            self.assertEqual((await world.hand_in("a2", Envelope="dest=8", Idempotency_Key="k2")).status, 503)
            polls_before = len(stale.requests)
            await until(lambda: len(stale.requests) > polls_before + 3)
            self.assertEqual(world.endpoint.requests, [])
            response |= {"revision": 3, "members": [draining | {"up_since_ms": 5}, gone]}
            await until(lambda: relay.idle)
            self.assertEqual((await world.hand_in("a3", Envelope="dest=8", Idempotency_Key="k2")).status, 202)
            await until(lambda: relay.idle)
            tasks.cancel_scope.cancel()
        self.assertEqual((len(world.endpoint.requests), world.notices), (2, []))
        stale.listener.close()

    @in_world
    async def test_a_discovery_that_stays_stale_becomes_authoritative(self, world: World) -> None:
        ready = member(str(world.endpoint.address))
        stale, _ = self.stale_discovery(ready)
        with mock.patch("calicohitch.net.discovery._STALE_DISCOVERY_TIMEOUT_S", 0.2):
            async with world.relay() as relay, anyio.create_task_group() as tasks:
                tasks.start_soon(stale.run)
                world.change(ready | {"phase": "Terminating"})
                await until(lambda: relay._discovery.version == world.revision)
                relay.follow(world.config(discovery=str(stale.address)))
                await world.hand_in()
                await until(lambda: relay.idle)
                tasks.cancel_scope.cancel()
        self.assertEqual((len(world.endpoint.requests), world.notices), (1, []))
        stale.listener.close()

    @in_world
    async def test_a_stale_change_reaches_the_decision_engine_as_the_directory_read_it(self, world: World) -> None:
        """Guards against a decision engine whose list differs from the directory's. The complete list, which is
        requested next, gets no answer."""
        original, answered = world.platform.handle, anyio.Event()

        async def discovery(request: Any) -> Any:
            if "index=5" in request.query:
                members = [member(str(world.endpoint.address)) | {"phase": "Gone"}]
                return 200, {}, json.dumps({"revision": 4, "complete": False, "members": members}).encode()
            if answered.is_set() or "wait=" in request.query:
                await anyio.sleep(LIMIT)
            answer = await original(request)
            answered.set()
            return answer

        world.platform.handle, world.revision = discovery, 5
        async with world.relay() as relay:
            await until(lambda: relay._directory.number("s-1") is None)
            self.assertEqual(relay._engine._endpoints, {})


class InvalidMembers(unittest.TestCase):
    """A complete list with one invalid member, and responses that are invalid as a whole."""

    def setUp(self) -> None:
        self.directory = Directory(Names(("orders",), ("east", "west"), ("pubs",)))
        self.directory.read(self.complete(member("10.0.0.1:80", "s-1"), member("10.0.0.2:80", "s-2")))

    @staticmethod
    def complete(*members: Any) -> dict[str, Any]:
        return {"revision": 2, "complete": True, "members": list(members)}

    def phases(self, *members: Any) -> dict[int, Phase]:
        return {entry.endpoint: entry.phase for entry in self.directory.read(self.complete(*members)).entries}

    def test_a_known_endpoint_keeps_its_state(self) -> None:
        good = member("10.0.0.1:80", "s-1")
        for change in (
            {"host_port": "nowhere"},
            {"host_port": None},
            {"phase": "Rady"},
            {"phase": None},
            {"cell": "x"},
            {"size": []},
            {"up_since_ms": "yesterday"},
            {"size": math.inf},
            {"size": math.nan},
            {"size": -1},
            {"up_since_ms": math.inf},
            {"cell": math.inf},
            {"host_port": "10.0.0.2:" + "9" * 5_000},
        ):
            with self.subTest(change=change):
                invalid = member("10.0.0.2:80", "s-2") | change
                self.assertEqual(self.phases(good, invalid), {1: Phase.READY, 2: Phase.READY})
                known = self.directory.get(2)
                assert known
                self.assertEqual((str(known.address), known.listed.weight), ("10.0.0.2:80", 2.0))

    def test_draining_and_gone_are_applied_from_an_invalid_member(self) -> None:
        invalid = {"id": "s-2", "phase": "Terminating", "host_port": 7, "cell": None, "size": "large"}
        self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), invalid), {1: Phase.READY, 2: Phase.DRAINING})
        self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), invalid | {"phase": "Gone"})[2], Phase.GONE)
        self.assertIsNone(self.directory.get(2))

    def test_an_invalid_member_with_an_unknown_id_is_skipped(self) -> None:
        for invalid in ({"id": "s-9", "phase": "Ready"}, {"phase": "Ready"}, None, 7, [], {"id": ["s-2"]}):
            with self.subTest(member=invalid):
                self.setUp()
                self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), invalid), {1: Phase.READY})
                self.assertIsNone(self.directory.get(2))  # a complete list does not name it

    def test_a_response_of_another_form_is_rejected(self) -> None:
        """No endpoint counts as gone because of it."""
        for change in (
            {"members": {}},
            {"members": ""},
            {"members": None},
            {"revision": math.inf},
            {"revision": math.nan},
            {"revision": []},
        ):
            with self.subTest(change=change), self.assertRaises(ListError):
                self.directory.read(self.complete() | change)
            self.assertIsNotNone(self.directory.get(2))

    @in_world
    async def test_an_invalid_response_counts_as_a_failure_and_raises_nothing(self, world: World) -> None:
        """Infinite numbers, nesting beyond the recursion limit, invalid UTF-8, and values of other types."""
        invalid = [
            b"[" * 100_000,
            b'{"revision": 1e999, "complete": true, "members": []}',
            b"\xff\xfe",
            b"null",
            b'{"revision": 9, "complete": true, "members": {}}',
        ]
        original = world.platform.handle

        async def discovery(request: Any) -> Any:
            if "wait=" in request.query and invalid:
                return 200, {}, invalid.pop()
            return await original(request)

        world.platform.handle = discovery
        with mock.patch("calicohitch.net.relay.logger.exception") as exception_log:
            async with world.relay() as relay:
                await until(lambda: not invalid)
                world.change(member(str(world.endpoint.address), "s-2"))
                await until(lambda: relay._directory.number("s-2"))
            self.assertFalse(exception_log.called)

    @in_world
    async def test_an_invalid_address_keeps_the_open_connections(self, world: World) -> None:
        async with world.relay() as relay:
            await world.hand_in("a1")
            await until(lambda: relay.idle and relay._endpoints._pool.idle)
            connections_before = len(world.endpoint.accepted)
            world.change(member("invalid"))
            await until(lambda: relay._discovery.version == world.revision)
            await world.hand_in("a2")
            await until(lambda: len(world.endpoint.requests) == 2)
            self.assertEqual(len(world.endpoint.accepted), connections_before)  # no new connection


if __name__ == "__main__":
    unittest.main()
