"""Orders of events around a restart with work in hand; each bad order is made to happen, and nothing waits for luck."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any
from unittest import mock

import anyio
from world import LIMIT, SETTINGS, World, in_world, play, until

from calicohitch import interface as i
from calicohitch.clock import ManualClock
from calicohitch.journal import Entry, Journal
from calicohitch.net.http import ClientConnection
from calicohitch.net.relay import Relay

EFFECTS = ("safe", "keyed", "unsafe")


def settings(effect: str, aim_ms: int = 2_500, deadline_ms: int = 24_000, **caps: int) -> dict[str, Any]:
    """The world's settings with one class, whose path is /orders."""
    services = [
        {
            "name": "orders",
            "effect": effect,
            "on_time": aim_ms * 1_000,
            "hard_limit": deadline_ms * 1_000,
            "window": 6_000_000 if effect == "keyed" else 0,
        }
    ]
    return SETTINGS | {"services": services, "caps": SETTINGS["caps"] | caps}


def connects_by(connect: Any) -> Any:
    """The relay's connects to endpoints go that way; clients and the platform connect as ever."""
    return mock.patch("calicohitch.net.endpoints.ClientConnection", mock.Mock(open=connect))


class Gate:
    """Connects wait here until it is opened."""

    def __init__(self) -> None:
        self.waiting, self.opened = 0, anyio.Event()

    @contextmanager
    def at_connects(self) -> Iterator[Gate]:
        connect = ClientConnection.open

        async def held(address: Any, *rest: Any, **more: Any) -> ClientConnection:
            self.waiting += 1
            await self.opened.wait()
            return await connect(address, *rest, **more)

        with connects_by(held):
            yield self


@asynccontextmanager
async def killed_with(world: World, count: int, told: dict[str, Any], wait_for: int = 1) -> AsyncIterator[Relay]:
    """A life that takes on so many messages and ends while their connects wait: no byte of a call has left."""
    gate = Gate()
    with gate.at_connects():
        async with world.relay(settings=told) as relay:
            for n in range(count):
                answer = await world.hand_in(f"m{n}", Idempotency_Key=f"k{n}", Req_Deadline_Ms="24000")
                assert answer.status == 202
            await until(lambda: gate.waiting >= wait_for)
            yield relay


def in_journal(world: World) -> list[Entry]:
    journal = Journal(world.folder, 3e6)
    journal.close()
    return list(journal.entries.values())


class AKillDuringAConnect(unittest.TestCase):
    def test_no_byte_had_left_so_the_next_life_makes_the_call(self) -> None:
        for effect in EFFECTS:
            with self.subTest(effect=effect):

                async def test(world: World, effect: str = effect) -> None:
                    told = settings(effect)
                    async with killed_with(world, 1, told):
                        pass
                    async with world.relay(settings=told) as relay:
                        await until(lambda: relay.idle)
                    self.assertEqual([r.headers[b"req-id"] for r in world.endpoint.requests], [b"m0"])
                    self.assertEqual(world.notices, [])

                play(test)

    @in_world
    async def test_a_refused_connect_before_the_kill_counts_as_an_attempt_that_never_ran(self, world: World) -> None:
        refused = anyio.Event()

        async def refuse(*_: Any, **__: Any) -> ClientConnection:
            refused.set()
            raise ConnectionRefusedError

        told = settings("unsafe")
        with connects_by(refuse):
            async with world.relay(settings=told):
                await world.hand_in("m0", Req_Deadline_Ms="24000")
                await refused.wait()
                await until(lambda: any(entry.attempts for entry in in_journal(world)))
        (entry,) = in_journal(world)
        self.assertTrue(entry.attempts)
        self.assertEqual(
            [(was.may_have_run, was.settled) for was in entry.attempts], [(False, True)] * len(entry.attempts)
        )
        async with world.relay(settings=told) as relay:
            await until(lambda: relay.idle)
        self.assertEqual((len(world.endpoint.requests), world.notices), (1, []))

    @in_world
    async def test_the_record_comes_before_the_first_byte(self, world: World) -> None:
        written: list[int] = []

        async def hang(_request: Any) -> Any:
            written.extend(len(entry.attempts) for entry in in_journal(world))
            await anyio.sleep(LIMIT)

        world.endpoint.handle = hang
        told = settings("unsafe")
        async with world.relay(settings=told):
            await world.hand_in("m0", Req_Deadline_Ms="24000")
            await until(lambda: written)
        self.assertEqual(written, [1])
        async with world.relay(settings=told) as relay:  # it may have run, and may not go again
            await until(lambda: relay.idle)
        self.assertEqual((len(world.endpoint.requests), [told["outcome"] for told in world.notices]), (1, ["given_up"]))


class WhatIsRestoredAndUntried(unittest.TestCase):
    """Taken on before, tried after: counted by the stand-ins, for each effect, with short deadlines and long ones, a
    deadline equal to the aim, little time left, a full room, and discovery told or silent."""

    def test_all_of_it_gets_its_call(self) -> None:
        cases = [  # aim, deadline, time left at the return in ms, messages, whether discovery answers
            (2_500, 24_000, 600, 8, True),
            (2_500, 24_000, 24_000, 14, True),
            (1_000, 1_000, 400, 8, True),
            (1_000, 5_000, 300, 12, False),
            (4_000, 20_000, 1_500, 12, True),
            (800, 6_000, 200, 12, True),
            (3_500, 3_500, 1_000, 8, False),
            (24_000, 24_000, 9_000, 14, False),
        ]
        for effect in EFFECTS:
            for case in cases:
                with self.subTest(effect=effect, case=case):
                    play(lambda world, case=case, effect=effect: self._count(world, effect, *case))  # type: ignore[misc]

    def test_so_does_what_a_planned_end_left(self) -> None:
        for effect in EFFECTS:
            with self.subTest(effect=effect):
                play(
                    lambda world, effect=effect: self._count(  # type: ignore[misc]
                        world, effect, 2_500, 24_000, 600, 12, False, True
                    )
                )

    async def _count(
        self,
        world: World,
        effect: str,
        aim: int,
        deadline: int,
        left: int,
        count: int,
        listed: bool,
        planned: bool = False,
    ) -> None:
        world.clock = ManualClock()
        told = settings(effect, aim, deadline)
        async with killed_with(world, count, told) as relay:
            relay.stopping = planned  # and is killed before what it has is over
        world.clock.advance(deadline - left)
        known = None
        if not listed:
            known = {"revision": 1, "complete": True, "members": world.members}
            world.platform.handle = silent
        async with world.relay(settings=told, known=known) as relay:
            await until(lambda: len(world.endpoint.requests) + len(world.notices) >= count)
            await until(lambda: not relay._open)
            counted = relay.recovery
        tried = {request.headers[b"req-id"].decode() for request in world.endpoint.requests}
        self.assertEqual((len(tried), world.notices), (count, []))
        self.assertEqual((counted._tried, counted._unseen), (count, 0))  # as the log tells

    @in_world
    async def test_newcomers_are_turned_away_at_the_door_before_any_of_it_is_trimmed(self, world: World) -> None:
        told = settings("safe", open_cap=16)
        async with killed_with(world, 14, told):
            pass
        gate = Gate()
        with gate.at_connects():
            async with world.relay(settings=told) as relay:
                await until(lambda: gate.waiting)
                self.assertEqual((await world.hand_in("new")).status, 503)
                self.assertEqual(len(relay._open), 14)
                gate.opened.set()
                await until(lambda: relay.idle)
                self.assertEqual((await world.hand_in("later")).status, 202)
        self.assertEqual(world.notices, [])

    @in_world
    async def test_what_has_been_given_up_is_not_tried(self, world: World) -> None:
        world.clock = ManualClock()
        told = settings("keyed", 1_000, 1_000)
        async with killed_with(world, 3, told):
            pass
        world.clock.advance(1_001)
        async with world.relay(settings=told):
            await until(lambda: len(world.notices) == 3)
        self.assertEqual(world.endpoint.requests, [])


async def silent(_request: Any) -> Any:
    if _request.path == "/reports":
        return 204, {}, b""
    await anyio.sleep(LIMIT)


class EverySendSettlesOnce(unittest.TestCase):
    @in_world
    async def test_a_record_that_cannot_be_written_gives_its_slot_back(self, world: World) -> None:
        async with world.relay() as relay:
            with mock.patch.object(relay._journal, "record_attempt", side_effect=TypeError("not foreseen")):
                await world.hand_in("m0", path="/scores", Req_Deadline_Ms="1300")
                await until(lambda: world.notices)
            self.assertEqual(relay._engine._slots_taken, 0)
            await world.hand_in("m1", path="/scores")
            await until(lambda: world.endpoint.requests)

    @in_world
    async def test_a_record_that_a_failing_disk_refuses_is_no_call_that_may_have_run(self, world: World) -> None:
        """On a kept connection, whose last call was sent whole."""
        told = settings("unsafe")
        async with world.relay(settings=told) as relay:
            await world.hand_in("m0")
            await until(lambda: relay.idle)
            record, failed = relay._journal.record_attempt, []

            def once(*rest: Any) -> None:
                if not failed:
                    failed.append(rest)
                    raise OSError(5, "Input/output error")
                record(*rest)

            with mock.patch.object(relay._journal, "record_attempt", once):
                await world.hand_in("m1")
                await until(lambda: relay.idle)
        self.assertEqual([r.headers[b"req-id"] for r in world.endpoint.requests], [b"m0", b"m1"])
        self.assertEqual((len(failed), world.notices), (1, []))

    @in_world
    async def test_events_behind_one_at_which_the_decisions_broke_are_told(self, world: World) -> None:
        """An outcome among them gives its slot back."""
        release = world.hold()
        async with world.relay() as relay:
            await world.hand_in("m0", path="/scores")
            await until(lambda: world.endpoint.requests)
            feed, broken = relay.feed, i.Withdrawn(98)

            def behind(*events: i.Event) -> None:
                feed(broken, *events)

            def breaks(event: i.Withdrawn) -> None:
                raise IndexError

            with mock.patch.object(relay._engine, "_withdrawn", breaks), mock.patch.object(relay, "feed", behind):
                release.set()
                await until(lambda: relay.idle)
                self.assertEqual(relay._engine._slots_taken, 0)

    @in_world
    async def test_a_send_of_a_message_that_is_not_there_gives_its_slot_back(self, world: World) -> None:
        async with world.relay() as relay:
            relay.feed(i.Arrived(99, 1, 7, 3_000_000))  # the decisions have it, and the relay does not
            await until(lambda: 99 not in relay._engine._open)
            self.assertEqual((relay._engine._slots_taken, world.endpoint.requests), (0, []))

    @in_world
    async def test_what_was_decided_before_the_decisions_broke_is_carried_out(self, world: World) -> None:
        async with world.relay() as relay:
            with mock.patch.object(relay._engine, "_schedule", side_effect=IndexError):
                await world.hand_in("m0", path="/scores")
                await until(lambda: world.endpoint.requests)
                await until(lambda: relay.idle)
            self.assertEqual((relay._engine._slots_taken, world.notices), (0, []))

    @in_world
    async def test_an_outcome_that_cannot_be_written_is_told_all_the_same(self, world: World) -> None:
        world.answers = [(500, {}, b"")]
        async with world.relay() as relay:
            with mock.patch.object(relay._journal, "record_outcome", side_effect=TypeError("not foreseen")):
                await world.hand_in("m0", path="/scores")
                await until(lambda: relay.idle)
            self.assertEqual(relay._engine._slots_taken, 0)
        self.assertEqual(len(world.endpoint.requests), 2)


class AnEndDuringAConnect(unittest.TestCase):
    @in_world
    async def test_no_call_follows_an_end_that_was_told(self, world: World) -> None:
        world.clock = ManualClock()
        gate = Gate()
        with gate.at_connects():
            async with world.relay() as relay:  # whose settings do not let it cancel a call
                await world.hand_in("m0", path="/scores")
                await until(lambda: gate.waiting)
                world.clock.advance(5_500)
                await until(lambda: world.notices)
                gate.opened.set()
                await until(lambda: not relay._engine._slots_taken)
        self.assertEqual(world.endpoint.requests, [])

    @in_world
    async def test_a_call_without_time_left_is_not_made(self, world: World) -> None:
        world.clock = ManualClock()
        gate = Gate()
        with gate.at_connects():
            async with world.relay() as relay:
                await world.hand_in("m0", path="/scores")
                await until(lambda: gate.waiting)
                world.clock.advance(5_000)  # its time is up to the millisecond, and its end not told yet
                gate.opened.set()
                await until(lambda: not relay._engine._slots_taken)
        self.assertEqual(world.endpoint.requests, [])


if __name__ == "__main__":
    unittest.main()
