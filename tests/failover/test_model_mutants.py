"""Long seeded schedules of the model, with faults planted in the decisions, each of which they must find: what the
model holds, it holds for a reason.
"""

from __future__ import annotations

import math
import os
import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from calicohitch.fleet.lease_validity import LeaseValidity, LeaseTerm
from calicohitch.fleet.ownership import ReclaimedWork, Ownership
from calicohitch.failover.claims import Claims
from calicohitch.failover.replication import Replication
from failover.test_model import NAMES, STEPS, Schedule

SEEDS = int(os.environ.get("MODEL_SEEDS", "25"))
LENGTH = 150


def played(seed: int, copies: int = 1) -> Schedule:
    draw = random.Random(seed)
    schedule = Schedule(copies)
    for _ in range(LENGTH):
        schedule.step(draw.choice(STEPS), draw.choice(NAMES), draw.choice(NAMES))
    return schedule


def by_any(self: LeaseValidity, holders: Any) -> float:
    held = max((self._heard.get(holder, -math.inf) for holder in holders), default=math.inf)
    return max(self._renewed, held) + self._term.believed


real_opens_at = Claims.opens_at


def at_once(self: Claims, roster: Any, owner: str, epoch: int) -> float | None:
    return None if real_opens_at(self, roster, owner, epoch) is None else 0.0


MUTANTS: dict[str, Callable[[], Any]] = {
    "a lease is believed for twice its time": lambda: mock.patch.object(
        LeaseTerm, "believed", property(lambda self: 2 * self.ttl)
    ),
    "one holder that heard is enough": lambda: mock.patch.object(LeaseValidity, "until", by_any),
    "holders do not keep still": lambda: mock.patch.object(Claims, "opens_at", at_once),
    "copies are not waited for": lambda: mock.patch.object(Replication, "is_safe", lambda self, number: True),
    "a claimed folder is taken up": lambda: mock.patch.object(
        Ownership, "_of_folder", lambda self, roster, kept, conditions, ops: ReclaimedWork()
    ),
    "a passed tenure goes on": lambda: mock.patch.object(Ownership, "look", lambda self, roster: ""),
}


class Long(unittest.TestCase):
    def test_long_schedules_keep_it_and_take_much_over(self) -> None:
        for copies in (1, 2):
            taken_over = 0
            for seed in range(SEEDS):
                with self.subTest(seed=seed, copies=copies):
                    taken_over += played(seed, copies).taken_over()
            self.assertGreater(taken_over, SEEDS // 2)

    def test_each_mutant_is_found(self) -> None:
        for name, planted in MUTANTS.items():
            with self.subTest(name), planted(), self.assertRaises(AssertionError):
                for seed in range(40 * SEEDS):
                    played(seed, 1 + seed % 2)


if __name__ == "__main__":
    unittest.main()
