"""Which responses prove to be those to their calls, by what else the endpoint answers."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from calicohitch.core.response_evidence import ResponseEvidence, Verdict

ENDPOINT = 1
SENT_AT, ANSWERED_AT, SILENT_FROM = 10.0, 10.1, 12.0


def judge(evidence: ResponseEvidence, may_be_left_over: bool) -> Verdict:
    return evidence.judge(ENDPOINT, SENT_AT, ANSWERED_AT, SILENT_FROM, may_be_left_over)


class Plausibility(unittest.TestCase):
    def test_a_response_that_came_sooner_than_any_confirmed_one_is_not_plausible(self) -> None:
        evidence = ResponseEvidence()
        evidence.confirmed(ENDPOINT, 0.2)
        evidence.confirmed(ENDPOINT, 0.3)
        self.assertTrue(evidence.is_plausible(ENDPOINT, 0.2))
        self.assertFalse(evidence.is_plausible(ENDPOINT, 0.19))

    def test_none_is_plausible_before_a_response_of_its_endpoint_is_confirmed(self) -> None:
        """Guards against a delivery that silence alone confirms: in a new process, at a new endpoint or one under a new
        number, and at one that was not called for a minute."""
        evidence = ResponseEvidence()
        evidence.confirmed(2, 0.001)
        evidence.call_answered(evidence.call_sent(ENDPOINT, SENT_AT), 9.0, True)
        self.assertFalse(evidence.is_plausible(ENDPOINT, 9.0))
        evidence.confirmed(ENDPOINT, 0.2)
        self.assertTrue(evidence.is_plausible(ENDPOINT, 9.0))
        evidence.forget_old(SENT_AT + 3_600.0)
        self.assertFalse(evidence.is_plausible(ENDPOINT, 9.0))


class Judging(unittest.TestCase):
    def test_silence_counts_only_while_the_endpoint_answers_other_calls(self) -> None:
        """Each state of a call that was sent while the one in doubt ought to have been answered."""
        expected = {
            ("none", False): Verdict.CONFIRMED,
            ("none", True): Verdict.OPEN,
            ("open", False): Verdict.OPEN,
            ("open", True): Verdict.OPEN,
            ("answered in sync", False): Verdict.CONFIRMED,
            ("answered in sync", True): Verdict.CONFIRMED,
            ("answered plausibly", False): Verdict.CONFIRMED,
            ("answered plausibly", True): Verdict.CONFIRMED,
            ("answered", False): Verdict.CONFIRMED,
            ("answered", True): Verdict.OPEN,
            ("unanswered", False): Verdict.REFUTED,
            ("unanswered", True): Verdict.REFUTED,
        }
        for (later, may_be_left_over), verdict in expected.items():
            with self.subTest(later=later, may_be_left_over=may_be_left_over):
                evidence = ResponseEvidence()
                if later == "answered plausibly":
                    evidence.confirmed(ENDPOINT, 0.2)
                if later != "none":
                    call = evidence.call_sent(ENDPOINT, ANSWERED_AT + 0.1)
                if later.startswith("answered"):
                    evidence.call_answered(call, 0.2, later == "answered in sync")
                elif later == "unanswered":
                    evidence.call_unanswered(call)
                self.assertEqual(judge(evidence, may_be_left_over), verdict)

    def test_calls_outside_the_time_of_the_one_in_doubt_decide_nothing(self) -> None:
        evidence = ResponseEvidence()
        evidence.call_unanswered(evidence.call_sent(ENDPOINT, SENT_AT - 0.1))
        evidence.call_sent(ENDPOINT, SILENT_FROM + 0.1)
        evidence.call_unanswered(evidence.call_sent(2, ANSWERED_AT))
        self.assertEqual(judge(evidence, False), Verdict.CONFIRMED)

    def test_another_implausible_response_is_no_sign_of_life(self) -> None:
        evidence = ResponseEvidence()
        evidence.confirmed(ENDPOINT, 0.2)
        evidence.call_answered(evidence.call_sent(ENDPOINT, ANSWERED_AT + 0.1), 0.01, False)
        self.assertEqual(judge(evidence, True), Verdict.OPEN)

    def test_an_answer_after_a_hang_is_no_sign_of_life_during_it(self) -> None:
        evidence = ResponseEvidence()
        evidence.call_answered(evidence.call_sent(ENDPOINT, SILENT_FROM + 0.1), 0.2, True)
        self.assertEqual(judge(evidence, True), Verdict.OPEN)

    def test_endpoints_that_are_not_called_any_more_are_forgotten(self) -> None:
        evidence = ResponseEvidence()
        open_call = evidence.call_sent(ENDPOINT, 0.0)
        evidence.forget_old(1e6)
        evidence.call_unanswered(open_call)
        evidence.forget_old(1e6)
        self.assertFalse(evidence._endpoints)


@dataclass(frozen=True, slots=True)
class _Model:
    """An endpoint that takes `work_s` for a call, one way away, and answers nothing from `hangs_at` on."""

    one_way_s: float
    work_s: float
    hangs_at: float

    def response_time_s(self, sent_at: float) -> float | None:
        finished_at = sent_at + self.one_way_s + self.work_s
        return 2 * self.one_way_s + self.work_s if finished_at < self.hangs_at else None


class CopiesAndHangs(unittest.TestCase):
    @given(
        one_way_s=st.floats(0.001, 0.3),
        work_s=st.floats(0.001, 3.0),
        copy_share=st.floats(0.01, 0.99),
        later_calls=st.lists(st.floats(0.0, 5.0), max_size=6),
        hangs_after=st.floats(0.0, 1.0),
        first_is_confirmed=st.booleans(),
    )
    def test_a_copy_never_ends_a_message_that_its_endpoint_has_not_answered(
        self,
        one_way_s: float,
        work_s: float,
        copy_share: float,
        later_calls: list[float],
        hangs_after: float,
        first_is_confirmed: bool,
    ) -> None:
        """Whatever the delays, the work, the other calls, and what is confirmed of the endpoint: the call in doubt
        hangs, and its answer was a copy."""
        sent_at = 2 * one_way_s + work_s  # the moment of the answer to the call before
        copy_after_s = copy_share * 2 * one_way_s  # later, the call would wait at the endpoint
        finished_at = sent_at + one_way_s + work_s
        hangs_at = sent_at + min(copy_after_s, hangs_after * (finished_at - sent_at))
        model = _Model(one_way_s, work_s, hangs_at)
        evidence = ResponseEvidence()
        if first_is_confirmed:
            evidence.confirmed(ENDPOINT, 2 * one_way_s + work_s)
        evidence.call_answered(evidence.call_sent(ENDPOINT, sent_at), copy_after_s, False)
        self.assertFalse(evidence.is_plausible(ENDPOINT, copy_after_s))
        silent_from = sent_at + 5.0
        for offset in itertools.accumulate(later_calls):
            later_at = sent_at + copy_after_s + offset
            call = evidence.call_sent(ENDPOINT, later_at)
            response_time_s = model.response_time_s(later_at)
            if response_time_s is None:
                evidence.call_unanswered(call)
            else:
                evidence.call_answered(call, response_time_s, True)
        verdict = evidence.judge(ENDPOINT, sent_at, sent_at + copy_after_s, silent_from, True)
        self.assertNotEqual(verdict, Verdict.CONFIRMED)


if __name__ == "__main__":
    unittest.main()
