"""Refusals without a report, from routes whose answers carry one: a closed destination may omit it."""

from __future__ import annotations

import unittest

from calicohitch.core.shared_limit import share_of

SECOND = 1_000_000
FIELDS = ("x0", "x1")


class WithoutAReport(unittest.TestCase):
    def test_a_refusal_counts_as_nothing_left(self) -> None:
        """Two hundred relays that held messages for a closed destination sent them at their usual rate when it
        restarted in slow start: in the simulator, 115 calls in a window with a budget of 66."""
        for relays in (12, 200):
            with self.subTest(relays=relays):
                shares = [share_of(relays, FIELDS) for _ in range(2)]
                for share in shares:
                    for n in range(5):
                        share.message_arrived(n * SECOND)
                        share.observe(n * SECOND, (0.8, 60.0), False)
                for n in range(5, 9):
                    shares[0].observe(n * SECOND, (), True)
                    shares[1].observe(n * SECOND, (0.0, 60.0), True)
                self.assertAlmostEqual(shares[0].rate(), shares[1].rate())

    def test_a_refusal_has_no_effect_without_a_known_limit(self) -> None:
        share = share_of(200, FIELDS)
        share.observe(SECOND, (), True)
        self.assertEqual((share.limit, share.reported, share.rate()), (0.0, False, 0.0))


if __name__ == "__main__":
    unittest.main()
