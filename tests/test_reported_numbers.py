"""No number that an endpoint may report keeps the decisions from the other destinations."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from calicohitch.decisions import DecisionEngine
from calicohitch.interface import (
    Arrived,
    Effect,
    Listed,
    ListKind,
    ListTold,
    MessageClass,
    Outcome,
    PeerSaid,
    Rang,
    Report,
    RestoredRoute,
    RestoredState,
    Send,
    SetTimer,
    Settings,
    Settled,
    Tell,
)
from calicohitch.net.endpoints import read_report

STEP_US = 100_000
TIME_LEFT_US = 5_000_000
TROUBLED, SOUND = 1, 2  # destinations, each with the endpoint of its number
NUMBERS = st.floats() | st.sampled_from((0.0, -0.0, 5e-324, 1e-305, 1e-302, 1e9, 1.7e308, float("inf"), float("nan")))


def engine(relays: int) -> DecisionEngine:
    scores = MessageClass(Effect.SAFE, aim=1_000_000, deadline=TIME_LEFT_US)
    told = Settings(
        classes=(scores,),
        slots=4,
        open_cap=60,
        max_attempts=5,
        couriers=relays,
        reports=(Report("x0"), Report("x1")),
        reports_in_answers=True,
        may_tell=True,
    )
    return DecisionEngine(told, seed=1)


class AnyNumber(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(
        relays=st.sampled_from((1, 3, 200)),
        weight=st.floats(0.0, allow_infinity=False),
        restored=st.tuples(NUMBERS, NUMBERS, NUMBERS),
        reports=st.lists(st.tuples(NUMBERS, NUMBERS, st.sampled_from((Outcome.OK, Outcome.FULL))), max_size=8),
        notes=st.binary(max_size=9),
    )
    @example(3, 1.0, (0.0, 1.0, 0.0), [(0.0, 1e-305, Outcome.OK)], b"")
    @example(200, 1.0, (0.0, 1.0, 0.0), [(0.5, 1e300, Outcome.OK), (0.5, 1.0, Outcome.OK)], b"")
    def test_the_decisions_never_fail_and_serve_the_other_destinations(
        self,
        relays: int,
        weight: float,
        restored: tuple[float, float, float],
        reports: list[tuple[float, float, Outcome]],
        notes: bytes,
    ) -> None:
        """Guards against a relay that calls nobody any more since one endpoint reported a limit of 1e-305."""
        decisions = engine(relays)
        numbers, timers = itertools.count(1), list[tuple[int, int]]()
        pending = list(reports)
        served, now = 0, 0
        listed = tuple(Listed(endpoint=dest, dest=dest, weight=weight) for dest in (TROUBLED, SOUND))
        actions = list(decisions.handle(now, [ListTold(ListKind.FULL, 1, listed)]))
        actions += decisions.handle(now, [RestoredState((RestoredRoute(TROUBLED, share=restored),))])
        actions += decisions.handle(now, [PeerSaid(2, notes)])
        for _ in range(30):
            now += STEP_US
            events = [Arrived(next(numbers), 0, dest, TIME_LEFT_US) for dest in (TROUBLED, SOUND)]
            due = [token for at, token in timers if at <= now]
            timers = [timer for timer in timers if timer[0] > now]
            actions += decisions.handle(now, [*events, *(Rang(token) for token in due)])
            answered = []
            for action in actions:
                if isinstance(action, SetTimer):
                    timers.append((now + action.delay, action.token))
                elif isinstance(action, Tell):
                    self.assertLessEqual(len(action.data), 256)
                elif isinstance(action, Send):
                    answered.append(self.settled(action, pending))
                    served += action.endpoint == SOUND
            actions = list(decisions.handle(now + 1, answered))
        self.assertGreater(served, 0)

    def settled(self, action: Send, pending: list[tuple[float, float, Outcome]]) -> Settled:
        if action.endpoint == TROUBLED and pending:
            left, limit, outcome = pending.pop(0)
            ended = outcome is Outcome.OK
            return Settled(action.message, action.attempt, action.endpoint, outcome, 1, ended, report=(left, limit))
        return Settled(action.message, action.attempt, action.endpoint, Outcome.OK, 1, True)

    @given(st.binary(max_size=40) | st.builds(lambda a, b: f"x0={a!r},x1={b!r}".encode(), NUMBERS, NUMBERS))
    def test_a_report_is_read_as_finite_numbers_or_not_at_all(self, text: bytes) -> None:
        for value in read_report(text, ("x0", "x1")):
            self.assertTrue(float("-inf") < value < float("inf"))


if __name__ == "__main__":
    unittest.main()
