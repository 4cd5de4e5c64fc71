"""When a change is known that discovery has: the schedule of the requests on a computed clock, and a slow discovery on
sockets."""

from __future__ import annotations

import heapq
import itertools
import json
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl

import anyio
from world import World, in_world, member, until

from calicohitch.core.backoff import Backoff
from calicohitch.core.discovery_timeouts import DiscoveryTimeouts
from calicohitch.net.http import Request

KNOWN_AFTER_S = 6.0  # behind the moment from which discovery has a change and can be reached
ANSWERS_WITHIN_S = 2.0  # the slowest discovery for which that holds
FLEETS = (1, 2, 5, 10, 40, 100, 200, 400)
UNREACHABLE_S = 40.0
SEEDS = 12


class Before(Enum):
    """How requests end that are sent before the change is there."""

    SILENT = "without an answer"
    REFUSED = "by a refusal, as late as an answer"
    RESET = "by a reset at once"
    SLOW = "by an answer as late as always"
    NOW_AND_THEN = "by an answer, now and then late"


@dataclass(order=True, slots=True)
class _End:
    """Of a request that is out. `known`: with the change."""

    at: float
    number: int
    error: bool = False
    known: bool = False


class Schedule:
    """One relay's requests from `-UNREACHABLE_S` on; the change is there from 0 on."""

    def __init__(self, asked: bool, before: Before, delay_s: float, fleet: int, seed: int) -> None:
        self._timeouts = DiscoveryTimeouts(asked, Backoff(fleet, seed))
        self._random = random.Random(seed)
        self._before, self._delay_s = before, delay_s
        self._out: list[_End] = []
        self._numbers = itertools.count()
        self._late: list[int] = []
        self._now = -UNREACHABLE_S - self._random.uniform(0.0, 3.0)

    def known_at(self) -> float:
        while True:
            wait_s = self._timeouts.wait_ms(at_once=False) / 1e3
            self._send(wait_s)
            due = self._now + self._timeouts.timeout_s(wait_s * 1e3)
            own = self._late[-1]
            end = self._next_end(due, own)
            if end is None:
                self._now = due + self._timeouts.pause_s(silent=True)
            elif end.error:
                self._now = end.at + self._timeouts.pause_s(silent=self._before is Before.RESET)
            elif end.known:
                return end.at
            else:
                self._now = max(self._now, end.at)
                self._out.clear()
                self._late.clear()
                self._timeouts.answered()

    def _next_end(self, due: float, own: int) -> _End | None:
        """The first answer until `due`, of any request that is out, or the error of the own one."""
        while self._out and self._out[0].at <= due:
            end = heapq.heappop(self._out)
            if not end.error or end.number == own:
                return end
        return None

    def _send(self, wait_s: float) -> None:
        while len(self._late) >= self._timeouts.most_requests:
            given_up = self._late.pop(0)
            self._out = [end for end in self._out if end.number != given_up]
            heapq.heapify(self._out)
        number = next(self._numbers)
        self._late.append(number)
        if (end := self._end(number, wait_s)) is not None:
            heapq.heappush(self._out, end)

    def _end(self, number: int, wait_s: float) -> _End | None:
        """How the request that is sent now will end."""
        sent_at, delay_s = self._now, self._delay_s
        if sent_at >= 0:
            return _End(sent_at + delay_s, number, known=True)
        match self._before:
            case Before.SILENT:
                return None
            case Before.REFUSED:
                return _End(sent_at + delay_s, number, error=True)
            case Before.RESET:
                return _End(sent_at, number, error=True)
            case Before.NOW_AND_THEN:
                delay_s = self._random.choice((0.0, delay_s))
        told_at = min(max(0.0, sent_at), sent_at + wait_s)
        return _End(told_at + delay_s, number, known=told_at >= 0)


class KnownInTime(unittest.TestCase):
    def latest(self, asked: bool, before: Before) -> dict[int, float]:
        """By fleet: when a change was known at the latest, for a discovery that is slow by any time up to the bound."""
        return {
            fleet: max(
                Schedule(asked, before, ANSWERS_WITHIN_S * step / 8, fleet, seed).known_at()
                for step in range(9)
                for seed in range(SEEDS)
            )
            for fleet in FLEETS
        }

    def assert_in_time(self, asked: bool, *befores: Before) -> None:
        for before in befores:
            for fleet, known_at in self.latest(asked, before).items():
                with self.subTest(before=before, fleet=fleet):
                    self.assertLess(known_at, KNOWN_AFTER_S)

    def test_where_lists_are_pushed_and_discovery_was_silent_or_slow(self) -> None:
        """Guards against a discovery that is never heard again as it needs longer than the time limit."""
        self.assert_in_time(False, Before.SILENT, Before.RESET, Before.SLOW, Before.NOW_AND_THEN)

    def test_where_lists_are_pushed_and_discovery_refused(self) -> None:
        """Guards against pauses behind refusals that grow with the fleet, to 16 s."""
        self.assert_in_time(False, Before.REFUSED)

    def test_where_lists_are_asked_for_and_discovery_was_away(self) -> None:
        """Of a fleet that is so large that the rate of all its relays together limits each of them."""
        away = (Before.SILENT, Before.REFUSED, Before.RESET)
        latest = max(max(self.latest(True, before).values()) for before in away)
        self.assertLess(latest, KNOWN_AFTER_S)

    def test_where_lists_are_asked_for_and_discovery_was_slow(self) -> None:
        self.assert_in_time(True, Before.SLOW, Before.NOW_AND_THEN)


class SlowAnswers(unittest.TestCase):
    def answer_late(self, world: World, delay_s: Callable[[], float]) -> None:
        """From now on discovery waits for a change as long as it is asked to, and then takes this time to answer."""
        original = world.platform.handle

        async def discovery(request: Request) -> Any:
            asked = {name: int(value) for name, value in parse_qsl(request.query)}
            if "index" not in asked:
                return await original(request)
            if asked["index"] >= world.revision:
                with anyio.move_on_after(asked["wait"] / 1e3):
                    await world.changed.wait()
            told = {"revision": world.revision, "complete": True, "members": world.members}
            await anyio.sleep(delay_s())
            return 200, {}, json.dumps(told).encode()

        world.platform.handle = discovery

    @in_world
    async def test_a_change_is_known_from_a_discovery_that_answers_a_second_late(self, world: World) -> None:
        """Guards against requests that are all given up before their answers come."""
        async with world.relay() as relay:
            self.answer_late(world, lambda: 1.0)
            await anyio.sleep(4.0)  # a watch is late by then, and another request was sent
            with anyio.fail_after(KNOWN_AFTER_S + 1.0):
                world.change(member("127.0.0.1:1", "s-2"))
                await until(lambda: relay._directory.number("s-2"))

    @in_world
    async def test_a_late_answer_is_the_answer_though_another_request_is_out(self, world: World) -> None:
        delays = itertools.chain((1.5,), itertools.repeat(60.0))
        async with world.relay() as relay:
            self.answer_late(world, lambda: next(delays))
            begun = len(world.platform.requests)
            await until(lambda: len(world.platform.requests) > begun + 1)  # one is late, and another is out
            self.assertEqual(relay._directory.number("s-2"), None)
            began_at = anyio.current_time()
            await until(lambda: relay._discovery._failures == 0)
            self.assertLess(anyio.current_time() - began_at, 1.5)


if __name__ == "__main__":
    unittest.main()
