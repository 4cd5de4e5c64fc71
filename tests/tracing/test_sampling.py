"""Which traces are kept: all that is bad while the budget holds, fair shares above it, and honest counts."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from calicohitch.tracing.context import TraceContext
from calicohitch.tracing.facts import AttemptFacts, End, Facts
from calicohitch.tracing.sampling import Cause, SampledTrace, Sampler, cause_of, in_share
from calicohitch.tracing.settings import Budget

Item = tuple[Cause, int, int]  # cause, destination, number


def sampler(budget: Budget, seed: int = 1, spans: int = 4) -> Sampler[Item]:
    return Sampler(budget, seed, lambda _: (spans, 100 * spans))


def run(made: Sampler[Item], items: list[Item], now: float = 0.0) -> list[SampledTrace[Item]]:
    for cause, dest, n in items:
        made.offer(now, cause, dest, n.to_bytes(16, "big"), (cause, dest, n))
    return made.take(now + 1_000)


class Causes(unittest.TestCase):
    def test_the_gravest_counts(self) -> None:
        plain, asked = TraceContext(b"t" * 16, b"s" * 8), TraceContext(b"t" * 16, b"s" * 8, 1)
        twice = [AttemptFacts(0), AttemptFacts(1)]
        cases: list[tuple[dict[str, object], Cause]] = [
            ({"end": End.DELIVERED, "decided_at": 5, "aim_at": 9}, Cause.ORDINARY),
            ({"end": End.DELIVERED, "decided_at": 5, "aim_at": 9, "context": asked}, Cause.ASKED),
            ({"end": End.DELIVERED, "decided_at": 5, "aim_at": 9, "again": True}, Cause.REPEATED),
            ({"end": End.DELIVERED, "decided_at": 5, "aim_at": 9, "attempts": twice}, Cause.REPEATED),
            ({"end": End.DELIVERED, "decided_at": 10, "aim_at": 9, "attempts": twice}, Cause.LATE),
            ({"end": End.DELIVERED, "decided_at": 10, "aim_at": 9, "recovered_at": 1.0}, Cause.RECOVERED),
            ({"end": End.REFUSED, "recovered_at": 1.0}, Cause.REFUSED),
            ({"end": End.TURNED_AWAY}, Cause.REFUSED),
            ({"end": End.FAILED, "recovered_at": 1.0, "attempts": twice}, Cause.FAILED),
        ]
        for told, cause in cases:
            with self.subTest(told=told):
                facts = Facts("a1", "orders", 7, 0.0, told.pop("context", plain))  # type: ignore[arg-type]
                for name, value in told.items():
                    setattr(facts, name, value)
                self.assertIs(cause_of(facts), cause)


class Windows(unittest.TestCase):
    def test_all_that_is_bad_is_kept_below_the_budget(self) -> None:
        bad = [c for c in Cause if c not in (Cause.ASKED, Cause.ORDINARY)]
        items = [(cause, dest, n) for n, (cause, dest) in enumerate((c, d) for c in bad for d in range(4))]
        kept = run(sampler(Budget(spans=200)), items)
        self.assertEqual(sorted(k.item[2] for k in kept), [n for *_, n in items])
        self.assertEqual({k.adjusted for k in kept}, {1.0})

    def test_a_flood_at_one_destination_does_not_hide_three_late_ones_of_another(self) -> None:
        items: list[Item] = [(Cause.FAILED, 1, n) for n in range(2_000)]
        for at in (5, 900, 1_990):
            items.insert(at, (Cause.LATE, 2, 10_000 + at))
        made = sampler(Budget(spans=200))
        kept = run(made, items)
        self.assertEqual(sum(k.item[1] == 2 for k in kept), 3)
        self.assertEqual({k.adjusted for k in kept if k.item[1] == 2}, {1.0})
        self.assertLessEqual(4 * len(kept), 200)
        self.assertGreater(4 * len(kept), 180)  # and the rest of the budget is used
        self.assertAlmostEqual(sum(k.adjusted for k in kept if k.item[1] == 1), 2_000)
        told = made.left_out()
        self.assertEqual((told.seen["failed"], told.kept["failed"]), (2_000, len(kept) - 3))

    def test_every_trace_of_a_flood_has_the_same_chance(self) -> None:
        counts: Counter[int] = Counter()
        for seed in range(600):
            flood: list[Item] = [(Cause.FAILED, 1, n) for n in range(50)]
            flood.insert(25, (Cause.LATE, 2, 99))
            counts.update(k.item[2] for k in run(sampler(Budget(spans=40), seed), flood) if k.item[1] == 1)
        usual = sum(counts.values()) / 50
        self.assertEqual(len(counts), 50)
        for n, count in counts.items():  # 5 standard deviations of a binomial draw
            self.assertLess(abs(count - usual), 5 * usual**0.5, n)

    def test_the_clients_flag_is_honoured_within_its_bound(self) -> None:
        kept = run(sampler(Budget(asked=5)), [(Cause.ASKED, 1, n) for n in range(100)])
        self.assertEqual(len(kept), 5)
        self.assertAlmostEqual(sum(k.adjusted for k in kept), 100)
        self.assertEqual(run(sampler(Budget(asked=0)), [(Cause.ASKED, 1, 1)]), [])

    def test_of_the_ordinary_a_share_by_the_trace_id_alone(self) -> None:
        ids = [random.Random(n).randbytes(16) for n in range(20_000)]
        share = sum(in_share(it, 0.05) for it in ids) / len(ids)
        self.assertAlmostEqual(share, 0.05, delta=0.01)
        self.assertTrue(all(in_share(it, 1.0) for it in ids) and not any(in_share(it, 0.0) for it in ids))
        made: Sampler[int] = Sampler(Budget(spans=10_000, bytes=10**9, ordinary=0.05), 1, lambda _: (1, 1))
        for n, it in enumerate(ids):
            made.offer(0, Cause.ORDINARY, 1, it, n)
        kept = made.take(2_000)
        self.assertEqual([k.item for k in kept], [n for n, it in enumerate(ids) if in_share(it, 0.05)])
        self.assertAlmostEqual(sum(k.adjusted for k in kept) / 20_000, 1.0, delta=0.2)

    def test_a_window_is_given_once_it_is_over_or_at_a_stop(self) -> None:
        made = sampler(Budget())
        made.offer(100.0, Cause.LATE, 1, bytes(16), (Cause.LATE, 1, 1))
        self.assertEqual((made.take(1_099.0), made.due_at, made.waiting), ([], 1_100.0, 1))
        self.assertEqual(len(made.take(500.0, all_of_it=True)), 1)
        self.assertEqual((made.take(5_000.0), made.due_at, made.waiting), ([], None, 0))

    @settings(max_examples=60)
    @given(
        st.lists(st.tuples(st.sampled_from(list(Cause)), st.integers(0, 30)), max_size=300),
        st.integers(10, 60),
        st.integers(1, 8),
        st.integers(0, 9),
    )
    def test_bounds_hold_and_counts_add_up(
        self, told: list[tuple[Cause, int]], spans: int, strata: int, seed: int
    ) -> None:
        made = sampler(Budget(spans=spans, bytes=spans * 90, ordinary=1.0, strata=strata), seed, spans=3)
        kept = run(made, [(cause, dest, n) for n, (cause, dest) in enumerate(told)])
        self.assertEqual(len({k.item[2] for k in kept}), len(kept))
        self.assertTrue(3 * len(kept) <= spans or len(kept) == 1)
        self.assertTrue(300 * len(kept) <= spans * 90 or len(kept) == 1)
        self.assertLessEqual(len({(k.item[0], k.item[1]) for k in kept}), len(told))
        seen = made.left_out().seen
        for cause in Cause:
            stands_for = sum(k.adjusted for k in kept if k.cause is cause)
            self.assertLessEqual(stands_for, seen.get(cause.value, 0) + 1e-6)


if __name__ == "__main__":
    unittest.main()
