"""What the decisions make of attempts that an earlier life of the relay made."""

from __future__ import annotations

import unittest

from conftest import KEYED, SAFE, UNSAFE, Courier, sends

from calicohitch import interface as i
from calicohitch.decisions import SECOND


class EarlierLives(unittest.TestCase):
    def test_what_is_done_with_a_message_that_was_tried_before(self) -> None:
        ran, never = True, False
        cases: list[tuple[int, list[tuple[int, bool]], type[i.Action]]] = [
            (SAFE, [(9, ran)], i.Send),
            (SAFE, [(1, never)] * 5, i.Send),
            (SAFE, [(1, never)] * 6, i.Refuse),  # all the attempts that there are
            (KEYED, [(5, ran)], i.Send),
            (KEYED, [(7, ran)], i.Refuse),  # past the key's window
            (KEYED, [(7, ran), (1, ran)], i.Refuse),  # which runs from the first attempt
            (KEYED, [(7, never), (1, ran)], i.Send),  # that may have run
            (UNSAFE, [(1, never)], i.Send),
            (UNSAFE, [(1, ran)], i.Fail),
        ]
        for cls, tried, action in cases:
            with self.subTest(cls=cls, tried=tried):
                courier = Courier()
                courier.list(i.Listed(11, 1))
                earlier = tuple(i.EarlierAttempt(courier.now - age * SECOND, 0, may) for age, may in tried)
                told = i.Arrived(1, cls, 1, 8 * SECOND, earlier=earlier)
                (done,) = [a for a in courier.tell(told) if isinstance(a, i.Send | i.Refuse | i.Fail)]
                self.assertIsInstance(done, action)

    def test_the_next_attempt_is_counted_on_and_bound_by_the_key(self) -> None:
        courier = Courier()
        courier.list(i.Listed(11, 1))
        sent_at = courier.now - 5 * SECOND
        told = i.Arrived(1, KEYED, 1, 8 * SECOND, earlier=(i.EarlierAttempt(sent_at, 0, True),))
        actions = courier.tell(told)
        self.assertEqual(sends(actions), [(1, 11)])
        self.assertEqual([a.not_after for a in actions if isinstance(a, i.Send)], [sent_at + 6 * SECOND])
        ended = i.Settled(1, 1, 11, i.Outcome.OK, 100, ended=True)
        courier.tell(ended)
        self.assertEqual((courier.engine._open, courier.engine._slots_taken), ({}, 0))


if __name__ == "__main__":
    unittest.main()
