"""Orders of events around the list of endpoints: silences, moves, and lines that cannot be read."""

from __future__ import annotations

import json
import math
import unittest
from typing import Any
from unittest import mock

import anyio
from world import LIMIT, SETTINGS, Party, World, in_world, member, until

from calicohitch.config import Address
from calicohitch.config.settings import Names
from calicohitch.core.backoff import Backoff
from calicohitch.core.discovery_timeouts import WATCH_MS, DiscoveryTimeouts
from calicohitch.interface import Phase
from calicohitch.net.discovery import Directory, ListError
from calicohitch.net.http import PersistentConnection, Moved

FLEETS = (1, 2, 3, 5, 40, 99, 100, 200, 1_000)
TOLD_S = 6.0  # what a silent watch holds back counts as told so long after the silence began
GRACE_S = 0.25


class Silence(unittest.TestCase):
    """On a set clock: the time from the beginning of a silence to the question that is answered."""

    def asked_after(self, pushed: bool, couriers: int, seed: int, silent: int) -> float:
        """A watch is asked just as the silence begins; so many connections in all are met by it."""
        timeouts = DiscoveryTimeouts(not pushed, Backoff(couriers, seed))
        now = 0.0
        for _ in range(silent):
            now += timeouts.timeout_s(timeouts.wait_ms(at_once=False))
            now += timeouts.pause_s(silent=True)
        return now

    def test_a_pushed_list_is_asked_for_in_time_though_further_connections_are_silent(self) -> None:
        for couriers in FLEETS:
            for seed in range(200):
                for silent in (1, 2, 3, 4):
                    self.assertLess(self.asked_after(True, couriers, seed, silent), TOLD_S - GRACE_S)

    def test_an_asked_list_is_asked_for_in_time_after_one_silent_connection(self) -> None:
        for couriers in FLEETS:
            for seed in range(200):
                self.assertLessEqual(self.asked_after(False, couriers, seed, 1), TOLD_S - GRACE_S)

    def test_in_a_silence_that_lasts_an_agent_is_never_left_alone_for_long(self) -> None:
        for couriers in FLEETS:
            timeouts = DiscoveryTimeouts(False, Backoff(couriers, couriers))
            for _ in range(100):
                self.assertLessEqual(timeouts.pause_s(silent=True), 0.2)
                self.assertLessEqual(timeouts.timeout_s(timeouts.wait_ms(at_once=False)), 0.8)

    def test_who_was_answered_waits_for_news_again(self) -> None:
        timeouts = DiscoveryTimeouts(False, Backoff(3, 1))
        timeouts.pause_s(silent=True)
        timeouts.answered()
        self.assertEqual(timeouts.wait_ms(at_once=False), WATCH_MS)

    @in_world
    async def test_a_watch_that_falls_silent_is_opened_anew_in_a_fleet_of_two_hundred(self, world: World) -> None:
        """Each watch but the last is silent; the clock of the loop tells how long all of it took."""
        silent, kept, asked = 2, world.platform.handle, []

        async def discovery(request: Any) -> Any:
            if "wait=" in request.query:
                asked.append(anyio.current_time())
                if 1 < len(asked) <= 1 + silent:  # the first tells that the list at hand is true
                    await anyio.sleep(LIMIT)
            return await kept(request)

        world.platform.handle = discovery
        with mock.patch("calicohitch.core.discovery_timeouts.WATCH_MS", 200):
            async with world.relay(settings=SETTINGS | {"balancers": 200}):
                await until(lambda: len(asked) > 1)
                world.change(member(str(world.endpoint.address), phase="Terminating"))
                await until(lambda: len(asked) > 1 + silent + 1)
        bound = 0.2 + 0.7 + 0.2 + 0.7 + 0.2
        self.assertLess(asked[1 + silent] - asked[1], bound + 1.0)  # a busy machine's lateness; 16 s is what it guards


class Moves(unittest.TestCase):
    @in_world
    async def test_a_configuration_with_the_same_address_leaves_the_watch_alone(self, world: World) -> None:
        async with world.relay() as relay:
            await until(lambda: len(world.platform.requests) > 1)  # a watch is out
            watched = len(world.platform.accepted)
            with mock.patch("calicohitch.net.relay.logger.exception") as broke:
                relay.follow(world.config())
                world.change(member(str(world.endpoint.address), "s-2"))
                await until(lambda: relay._directory.number("s-2"))
                self.assertFalse(broke.called)
            self.assertEqual(len(world.platform.accepted), watched)

    @in_world
    async def test_a_move_there_and_back_during_a_request_is_told_as_a_move(self, world: World) -> None:
        reached = anyio.Event()

        async def hold(_request: Any) -> Any:
            reached.set()
            await anyio.sleep(LIMIT)

        world.platform.handle = hold
        here = world.platform.address
        kept, told = PersistentConnection(here), []

        async def ask() -> None:
            try:
                await kept.request("GET", "/registry/instances", LIMIT)
            except Exception as err:
                told.append(type(err))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await reached.wait()
            kept.move(Address("127.0.0.1", 1))
            kept.move(here)
            await until(lambda: told)
        self.assertEqual(told, [Moved])

    @in_world
    async def test_a_move_during_the_connect(self, world: World) -> None:
        gate, told = anyio.Event(), []
        kept = PersistentConnection(Address("127.0.0.1", 1))

        async def held(*_: Any, **__: Any) -> Any:
            gate.set()
            await anyio.sleep(LIMIT)

        async def ask() -> None:
            try:
                await kept.request("GET", "/registry/instances", LIMIT)
            except Exception as err:
                told.append(type(err))

        with mock.patch("calicohitch.net.http.ClientConnection.open", held):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await gate.wait()
                kept.move(world.platform.address)
                await until(lambda: told)
        self.assertEqual(told, [Moved])
        self.assertEqual((await kept.request("GET", "/registry/instances", LIMIT)).status, 200)
        kept._close()


class Behind(unittest.TestCase):
    """Discovery moves to one that is behind, or that has lost its own: its list is older than what was told."""

    @staticmethod
    def older(*lines: dict[str, Any]) -> tuple[Party, dict[str, Any]]:
        told = {"revision": 1, "complete": True, "members": list(lines)}

        async def answer(request: Any) -> Any:
            if "wait=" in request.query:
                await anyio.sleep(0.02)
            return 200, {}, json.dumps(told).encode()

        return Party(answer), told

    @in_world
    async def test_who_was_told_to_go_does_not_come_back_by_it(self, world: World) -> None:
        """Neither one that drains nor one that is gone; by a later start of theirs they do."""
        draining, gone = member(str(world.endpoint.address)), member(str(world.endpoint.address), "s-2", cell=8)
        behind, told = self.older(draining, gone)
        world.members = [draining, gone]
        async with world.relay() as relay, anyio.create_task_group() as tasks:
            tasks.start_soon(behind.run)
            world.change(draining | {"phase": "Terminating"})
            await until(lambda: relay._discovery.version == world.revision)
            relay.follow(world.config(discovery=str(behind.address)))
            await until(lambda: len(behind.requests) > 3)
            self.assertEqual((await world.hand_in("a1")).status, 202)
            self.assertEqual((await world.hand_in("a2", Envelope="dest=8", Idempotency_Key="k2")).status, 503)
            asked = len(behind.requests)
            await until(lambda: len(behind.requests) > asked + 3)
            self.assertEqual(world.endpoint.requests, [])
            told |= {"revision": 3, "members": [draining | {"up_since_ms": 5}, gone]}
            await until(lambda: relay.idle)
            self.assertEqual((await world.hand_in("a3", Envelope="dest=8", Idempotency_Key="k2")).status, 202)
            await until(lambda: relay.idle)
            tasks.cancel_scope.cancel()
        self.assertEqual((len(world.endpoint.requests), world.notices), (2, []))
        behind.listener.close()

    @in_world
    async def test_one_that_stays_behind_is_believed_in_the_end(self, world: World) -> None:
        ready = member(str(world.endpoint.address))
        lost, _ = self.older(ready)
        with mock.patch("calicohitch.net.discovery._STALE_DISCOVERY_TIMEOUT_S", 0.2):
            async with world.relay() as relay, anyio.create_task_group() as tasks:
                tasks.start_soon(lost.run)
                world.change(ready | {"phase": "Terminating"})
                await until(lambda: relay._discovery.version == world.revision)
                relay.follow(world.config(discovery=str(lost.address)))
                await world.hand_in()
                await until(lambda: relay.idle)
                tasks.cancel_scope.cancel()
        self.assertEqual((len(world.endpoint.requests), world.notices), (1, []))
        lost.listener.close()

    @in_world
    async def test_a_change_of_one_that_is_behind_is_told_as_it_was_read(self, world: World) -> None:
        """The directory has read it: the decisions may not know another list. The whole list, which is asked for then,
        does not come."""
        kept, asked = world.platform.handle, anyio.Event()

        async def discovery(request: Any) -> Any:
            if "index=5" in request.query:
                lines = [member(str(world.endpoint.address)) | {"phase": "Gone"}]
                return 200, {}, json.dumps({"revision": 4, "complete": False, "members": lines}).encode()
            if asked.is_set() or "wait=" in request.query:
                await anyio.sleep(LIMIT)
            answer = await kept(request)
            asked.set()
            return answer

        world.platform.handle, world.revision = discovery, 5
        async with world.relay() as relay:
            await until(lambda: relay._directory.number("s-1") is None)
            self.assertEqual(relay._engine._endpoints, {})


class Lines(unittest.TestCase):
    """A whole list with one line that cannot be read."""

    def setUp(self) -> None:
        self.directory = Directory(Names(("orders",), ("east", "west"), ("pubs",)))
        self.directory.read(self.whole(member("10.0.0.1:80", "s-1"), member("10.0.0.2:80", "s-2")))

    @staticmethod
    def whole(*lines: Any) -> dict[str, Any]:
        return {"revision": 2, "complete": True, "members": list(lines)}

    def phases(self, *lines: Any) -> dict[int, Phase]:
        return {entry.endpoint: entry.phase for entry in self.directory.read(self.whole(*lines)).entries}

    def test_who_is_known_stays_as_it_was(self) -> None:
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
                bad = member("10.0.0.2:80", "s-2") | change
                self.assertEqual(self.phases(good, bad), {1: Phase.READY, 2: Phase.READY})
                known = self.directory.get(2)
                assert known
                self.assertEqual((str(known.address), known.listed.weight), ("10.0.0.2:80", 2.0))

    def test_the_word_that_it_drains_is_believed(self) -> None:
        bad = {"id": "s-2", "phase": "Terminating", "host_port": 7, "cell": None, "size": "large"}
        self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), bad), {1: Phase.READY, 2: Phase.DRAINING})
        self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), bad | {"phase": "Gone"})[2], Phase.GONE)
        self.assertIsNone(self.directory.get(2))

    def test_a_line_that_names_nobody_who_is_known_is_left_out(self) -> None:
        for bad in ({"id": "s-9", "phase": "Ready"}, {"phase": "Ready"}, None, 7, [], {"id": ["s-2"]}):
            with self.subTest(bad=bad):
                self.setUp()
                self.assertEqual(self.phases(member("10.0.0.1:80", "s-1"), bad), {1: Phase.READY})
                self.assertIsNone(self.directory.get(2))  # a whole list that does not name it

    def test_a_list_of_another_form_is_no_list(self) -> None:
        """Nobody is gone by it."""
        for told in (
            {"members": {}},
            {"members": ""},
            {"members": None},
            {"revision": math.inf},
            {"revision": math.nan},
            {"revision": []},
        ):
            with self.subTest(told=told), self.assertRaises(ListError):
                self.directory.read(self.whole() | told)
            self.assertIsNotNone(self.directory.get(2))

    @in_world
    async def test_an_answer_that_cannot_be_read_is_a_failure_and_breaks_nothing_off(self, world: World) -> None:
        """Figures without an end, an endless nest, and a word that is none."""
        spoilt = [
            b"[" * 100_000,
            b'{"revision": 1e999, "complete": true, "members": []}',
            b"\xff\xfe",
            b"null",
            b'{"revision": 9, "complete": true, "members": {}}',
        ]
        kept = world.platform.handle

        async def discovery(request: Any) -> Any:
            if "wait=" in request.query and spoilt:
                return 200, {}, spoilt.pop()
            return await kept(request)

        world.platform.handle = discovery
        with mock.patch("calicohitch.net.relay.logger.exception") as broke:
            async with world.relay() as relay:
                await until(lambda: not spoilt)
                world.change(member(str(world.endpoint.address), "s-2"))
                await until(lambda: relay._directory.number("s-2"))
            self.assertFalse(broke.called)

    @in_world
    async def test_over_a_connection_nothing_is_forgotten(self, world: World) -> None:
        async with world.relay() as relay:
            await world.hand_in("a1")
            await until(lambda: relay.idle and relay._endpoints._idle)
            made = len(world.endpoint.accepted)
            world.change(member("spoilt"))
            await until(lambda: relay._discovery.version == world.revision)
            await world.hand_in("a2")
            await until(lambda: len(world.endpoint.requests) == 2)
            self.assertEqual(len(world.endpoint.accepted), made)  # on the connection that was there


if __name__ == "__main__":
    unittest.main()
