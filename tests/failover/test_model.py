"""What must never happen, whatever fails and in whatever order: two lives act on one message in turn, or a later one
does not know of an attempt that was made.

Hypothesis draws the schedule, in a state machine of one rule: a step is drawn by weight, so that most of a schedule is
relays that live and work, and faults are few enough for takeovers to come to their end.
"""

from __future__ import annotations

import os
import unittest
from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from failover.model import Disk, World

NAMES = "abc"
EXAMPLES = int(os.environ.get("MODEL_EXAMPLES", "80"))
WEIGHTS = {
    "live": 10,
    "live_long": 5,
    "work": 12,
    "pass_idle": 1,
    "turn": 3,
    "deliver": 2,
    "mark": 2,
    "act": 4,
    "still": 4,
    "cut": 2,
    "corner": 3,
    "away": 3,
    "deaf": 1,
    "early": 1,
    "die": 3,
    "begin": 4,
    "lose": 1,
    "heal": 4,
}
STEPS = [name for name, weight in WEIGHTS.items() for _ in range(weight)]


class Schedule:
    """A world, and the steps that a schedule is made of."""

    def __init__(self, copies: int) -> None:
        self.world = World(NAMES, copies)
        self.taken = 0
        self.seen: Counter[str] = Counter()
        for name in NAMES:
            self.world.begin(name)
        self.live_for(20, 20.0)

    def step(self, what: str, one: str, other: str) -> None:
        getattr(self, what)(one, other)
        self.check()

    def everyone(self, ms: float) -> None:
        awake = [process for name, process in self.world.up.items() if name not in self.world.still]
        for process in awake:
            process.turn()
        for process in awake:
            for other in NAMES:
                process.deliver(other)
        self.world.time += ms

    def live_for(self, steps: int, ms: float) -> None:
        for _ in range(steps):
            self.everyone(ms)

    def live(self, one: str, other: str) -> None:
        self.live_for(3, 30.0)

    def live_long(self, one: str, other: str) -> None:
        self.live_for(16, 80.0)

    def pass_idle(self, one: str, other: str) -> None:
        self.world.time += 990.0 if one < other else 205.0

    def work(self, one: str, other: str) -> None:
        """Take two messages, and act on all that it has."""
        if (process := self.world.up.get(one)) and one not in self.world.still:
            for _ in range(2):
                self.taken += 1
                process.take(f"m{self.taken}")
            self.mark(one, other)
            self.live_for(2, 20.0)
            self.act(one, other)

    def mark(self, one: str, other: str) -> None:
        if (process := self.world.up.get(one)) and one not in self.world.still and not process.done:
            for wire_id in sorted(process.mine):
                process.mark(wire_id)

    def act(self, one: str, other: str) -> None:
        if (process := self.world.up.get(one)) and one not in self.world.still and not process.done:
            for wire_id in sorted(process.mine):
                process.act(wire_id)

    def turn(self, one: str, other: str) -> None:
        if one in self.world.up and one not in self.world.still:
            self.world.up[one].turn()

    def deliver(self, one: str, other: str) -> None:
        if one in self.world.up and one != other:
            self.world.up[one].deliver(other)

    def still(self, one: str, other: str) -> None:
        """It stands still, or goes on: then it acts first of all, on what it knew."""
        if one in self.world.still:
            self.world.still.discard(one)
            self.act(one, other)
        elif one in self.world.up:
            self.mark(one, other)
            self.everyone(20.0)
            self.world.still.add(one)

    def cut(self, one: str, other: str) -> None:
        self.world.cut.add((one, other))

    def corner(self, one: str, other: str) -> None:
        """It is heard by some and not by others, and the store is none of those."""
        self.world.away.add(one)
        self.world.cut.add((one, other))

    def away(self, one: str, other: str) -> None:
        self.world.away.add(one)

    def deaf(self, one: str, other: str) -> None:
        self.world.deaf.add(one)

    def early(self, one: str, other: str) -> None:
        if one in self.world.up:
            self.world.store.end_lease(self.world.up[one].lease)

    def die(self, one: str, other: str) -> None:
        self.world.up.pop(one, None)
        self.world.still.discard(one)

    def begin(self, one: str, other: str) -> None:
        if one not in self.world.up:
            self.world.begin(one)

    def lose(self, one: str, other: str) -> None:
        if one not in self.world.up:
            self.world.disks[one] = Disk()

    def heal(self, one: str, other: str) -> None:
        self.world.cut.clear()
        self.world.away.clear()
        for name in NAMES:
            self.begin(name, name)

    def check(self) -> None:
        able: dict[str, str] = {}  # who could act right now; one that stands still could, if it went on
        for name, process in self.world.up.items():
            for wire_id in process.mine:
                if process.may_act(wire_id):
                    assert wire_id not in able, f"{wire_id}: {able[wire_id]} and {name} may act on it at once"
                    able[wire_id] = name
        for wire_id, acts in self.world.acted.items():
            incarnations = [incarnation for _, incarnation, _ in acts]
            order = list(dict.fromkeys(incarnations))
            assert incarnations == sorted(incarnations, key=order.index), f"{wire_id}: {acts}"
            attempts = [known for _, _, known in acts]
            assert attempts == sorted(attempts), f"{wire_id} was acted on by one that did not know all: {acts}"

    def taken_over(self) -> int:
        """Messages that more than one relay acted on."""
        return sum(len({relay for relay, _, _ in acts}) > 1 for acts in self.world.acted.values())


class Fleet(RuleBasedStateMachine):
    copies = 1

    def __init__(self) -> None:
        super().__init__()
        self.schedule = Schedule(self.copies)

    @rule(what=st.sampled_from(STEPS), one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def step(self, what: str, one: str, other: str) -> None:
        self.schedule.step(what, one, other)

    @invariant()
    def one_life_at_a_time_acts_and_knows_of_all_attempts(self) -> None:
        self.schedule.check()


class TwoCopies(Fleet):
    copies = 2


HARD = settings(max_examples=EXAMPLES, stateful_step_count=50, deadline=None, suppress_health_check=list(HealthCheck))
Fleet.TestCase.settings = HARD
TwoCopies.TestCase.settings = HARD
TestFleet = Fleet.TestCase
TestTwoCopies = TwoCopies.TestCase


if __name__ == "__main__":
    unittest.main()
