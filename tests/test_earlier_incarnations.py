"""Decisions on messages that an earlier incarnation of the relay attempted."""

from __future__ import annotations

import unittest

from conftest import KEYED, SAFE, UNSAFE, Courier, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND


class EarlierIncarnations(unittest.TestCase):
    def test_a_message_with_earlier_attempts_is_sent_refused_or_failed_by_its_class(self) -> None:
        may_have_run, did_not_run = True, False
        cases: list[tuple[int, list[tuple[int, bool]], type[i.Action]]] = [
            (SAFE, [(9, may_have_run)], i.Send),
            (SAFE, [(1, did_not_run)] * 5, i.Send),
            (SAFE, [(1, did_not_run)] * 6, i.Refuse),  # all attempts are used up
            (KEYED, [(5, may_have_run)], i.Send),
            (KEYED, [(7, may_have_run)], i.Refuse),  # after the key's window
            (KEYED, [(7, may_have_run), (1, may_have_run)], i.Refuse),  # the window begins with the first attempt
            (KEYED, [(7, did_not_run), (1, may_have_run)], i.Send),  # and only with one that may have run
            (UNSAFE, [(1, did_not_run)], i.Send),
            (UNSAFE, [(1, may_have_run)], i.Fail),
        ]
        for cls, attempts, action in cases:
            with self.subTest(cls=cls, attempts=attempts):
                relay = Courier()
                relay.list(i.Listed(11, 1))
                earlier = tuple(i.EarlierAttempt(relay.now - age * SECOND, 0, may_run) for age, may_run in attempts)
                arrived = i.Arrived(1, cls, 1, 8 * SECOND, earlier=earlier)
                (decision,) = [taken for taken in relay.tell(arrived) if isinstance(taken, i.Send | i.Refuse | i.Fail)]
                self.assertIsInstance(decision, action)

    def test_the_next_attempt_is_counted_and_limited_by_the_key_window(self) -> None:
        relay = Courier()
        relay.list(i.Listed(11, 1))
        sent_at = relay.now - 5 * SECOND
        arrived = i.Arrived(1, KEYED, 1, 8 * SECOND, earlier=(i.EarlierAttempt(sent_at, 0, True),))
        actions = relay.tell(arrived)
        self.assertEqual(sends(actions), [(1, 11)])
        self.assertEqual([sent.not_after for sent in actions if isinstance(sent, i.Send)], [sent_at + 6 * SECOND])
        settled = i.Settled(1, 1, 11, i.Outcome.OK, 100, ended=True)
        relay.tell(settled)
        self.assertEqual((relay.engine._open, relay.engine._slots_taken), ({}, 0))


if __name__ == "__main__":
    unittest.main()
