"""For how long an endpoint that sent surplus bytes loses the reuse of its connections."""

from __future__ import annotations

import unittest

from calicohitch.core.reuse_policy import FIRST_PAUSE_S, MAX_PAUSE_S, SUSPICION_S, ReusePolicy


class Pauses(unittest.TestCase):
    def test_each_further_pause_is_twice_as_long_up_to_a_limit(self) -> None:
        policy, now, expected = ReusePolicy(), 100.0, FIRST_PAUSE_S
        for _ in range(10):
            self.assertTrue(policy.may_reuse(1, now))
            policy.surplus_received(1, now)
            self.assertFalse(policy.may_reuse(1, now + expected - 0.01))
            self.assertTrue(policy.may_reuse(2, now))
            now += expected
            expected = min(2 * expected, MAX_PAUSE_S)

    def test_bytes_during_a_pause_extend_it(self) -> None:
        policy = ReusePolicy()
        policy.surplus_received(1, 0.0)
        policy.surplus_received(1, 0.5)
        self.assertFalse(policy.may_reuse(1, 1.4))
        self.assertTrue(policy.may_reuse(1, 1.5))

    def test_an_endpoint_that_sent_none_for_long_starts_again(self) -> None:
        policy = ReusePolicy()
        policy.surplus_received(1, 0.0)
        policy.surplus_received(1, 1.0)
        self.assertTrue(policy.is_suspect(1, 3.0 + SUSPICION_S - 0.01))
        policy.forget_old(3.0 + SUSPICION_S)
        self.assertFalse(policy.is_suspect(1, 3.0 + SUSPICION_S))
        policy.surplus_received(1, 3.0 + SUSPICION_S)
        self.assertTrue(policy.may_reuse(1, 3.0 + SUSPICION_S + FIRST_PAUSE_S))

    def test_an_endpoint_stays_suspect_while_old_entries_are_dropped(self) -> None:
        """It was forgotten after a minute, and a refusal of it counted as certain again."""
        policy = ReusePolicy()
        policy.surplus_received(1, 0.0)
        policy.forget_old(FIRST_PAUSE_S + SUSPICION_S - 0.01)
        self.assertTrue(policy.is_suspect(1, FIRST_PAUSE_S + SUSPICION_S - 0.01))


if __name__ == "__main__":
    unittest.main()
