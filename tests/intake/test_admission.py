"""Admission decisions, without sockets."""

from __future__ import annotations

import ipaddress
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from calicohitch.intake.admission.keep_alive import KeepAlivePolicy
from calicohitch.core.descriptor_budget import DescriptorUse, DescriptorBudget, divide_descriptors
from calicohitch.intake.admission.load import Load, LoadLimits
from calicohitch.intake.admission.queue import FairQueue
from calicohitch.intake.admission.shares import HALF_LIFE_MS, Caps, Shares, Trusted, Verdict


class SourceLimits(unittest.TestCase):
    def test_a_script_is_capped_and_a_gateway_of_well_behaved_clients_is_not(self) -> None:
        shares = Shares(Caps(each=20), 10_000)
        entered = {"script": 0, "gateway": 0}
        for n in range(300):
            for name, address in (("script", "10.0.0.1"), ("gateway", "10.0.0.2")):
                verdict, source = shares.enter(address, n * 10.0)
                entered[name] += verdict is Verdict.ENTER
                if verdict is Verdict.ENTER and name == "gateway":
                    shares.message_accepted(source, n * 10.0)
        self.assertEqual(entered, {"script": 20, "gateway": 300})

    def test_a_script_behind_a_gateway_caps_it_only_while_idle_connections_outweigh_messages(self) -> None:
        shares = Shares(Caps(each=20), 10_000)
        for _ in range(100):
            _, source = shares.enter("10.0.0.2", 0.0)
            shares.message_accepted(source, 0.0)
        entered = 0
        while shares.enter("10.0.0.2", 0.0)[0] is Verdict.ENTER and entered < 1_000:
            entered += 1  # the script's connections submit no messages
        self.assertEqual(entered, 101)
        for _ in range(200):
            shares.leave(source)
            shares.message_accepted(source, HALF_LIFE_MS)  # the well-behaved clients continue
        self.assertIs(shares.enter("10.0.0.2", HALF_LIFE_MS)[0], Verdict.ENTER)

    def test_cap_on_new_connections_per_second(self) -> None:
        shares = Shares(Caps(new_per_s=5), 100)
        verdicts = [shares.enter("10.0.0.1", at)[0] for at in (0.0,) * 7 + (200.0, 200.0, 5_000.0)]
        self.assertEqual(
            [verdict is Verdict.ENTER for verdict in verdicts], [True] * 5 + [False] * 2 + [True, False, True]
        )

    def test_the_reserve_is_kept_for_known_sources(self) -> None:
        shares = Shares(Caps(reserve=0.5), 4)
        _, good = shares.enter("10.0.0.1", 0.0)
        shares.message_accepted(good, 0.0)
        verdicts = [shares.enter(a, 0.0)[0] for a in ("10.0.0.2", "10.0.0.3", "10.0.0.1", "10.0.0.4")]
        self.assertEqual(verdicts, [Verdict.ENTER, Verdict.RESERVED, Verdict.ENTER, Verdict.RESERVED])
        self.assertFalse(shares.known(good, HALF_LIFE_MS * 2))  # a source whose messages are long ago is unknown

    def test_prefixes_and_trusted_networks(self) -> None:
        trusted = Trusted(ipaddress.ip_network("10.9.0.0/16"), each=3)
        shares = Shares(Caps(each=1, v4_bits=24, v6_bits=48, trusted=(trusted,)), 100)
        self.assertEqual(shares.name("10.1.2.3"), shares.name("10.1.2.200"))
        self.assertEqual(shares.name("2001:db8:1:2::3"), shares.name("2001:db8:1:ffff::"))
        self.assertNotEqual(shares.name("2001:db8:1::"), shares.name("2001:db8:2::"))
        self.assertEqual([shares.enter("10.9.1.1", 0.0)[0] for _ in range(4)], [Verdict.ENTER] * 3 + [Verdict.OPEN_CAP])
        self.assertEqual([shares.enter("10.1.2.3", 0.0)[0] for _ in range(2)], [Verdict.ENTER, Verdict.OPEN_CAP])

    def test_a_new_address_for_each_connection_evicts_no_known_source(self) -> None:
        shares = Shares(Caps(sources=64), 1_000)
        _, good = shares.enter("10.0.0.1", 0.0)
        shares.message_accepted(good, 0.0)
        shares.leave(good)
        for n in range(20_000):
            _, source = shares.enter(f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}", 0.0)
            shares.leave(source)
            self.assertLessEqual(len(shares), 65)
        self.assertTrue(shares.known(good, 0.0))


class DescriptorBudgetMachine(RuleBasedStateMachine):
    """Acquires and releases in any order never exceed the total, and reserved descriptors can always be acquired."""

    def __init__(self) -> None:
        super().__init__()
        self.descriptors = DescriptorBudget(12, {DescriptorUse.CALLS: 4, DescriptorUse.NOTICES: 1})

    @rule(holder=st.sampled_from(DescriptorUse))
    def acquire(self, holder: DescriptorUse) -> None:
        free = self.descriptors.free_for(holder)
        assert self.descriptors.acquire(holder) is (free > 0)

    @precondition(lambda self: self.descriptors.held.total())
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        self.descriptors.release(data.draw(st.sampled_from([h for h in DescriptorUse if self.descriptors.held[h]])))

    @invariant()
    def bounds_hold(self) -> None:
        descriptors = self.descriptors
        assert descriptors.held.total() <= descriptors.total
        assert descriptors.held[DescriptorUse.CALLS] >= 4 or descriptors.free_for(DescriptorUse.CALLS)
        assert descriptors.held[DescriptorUse.NOTICES] >= 1 or descriptors.free_for(DescriptorUse.NOTICES)


class DescriptorDivision(unittest.TestCase):
    def test_the_budget_adds_up_and_calls_get_what_the_other_uses_leave(self) -> None:
        for sockets, grpc in ((384, 0), (1_024, 256), (4_096, 1_024)):
            descriptors = divide_descriptors(sockets, grpc)
            self.assertEqual(descriptors.total, sockets)
            self.assertEqual(descriptors.free_for(DescriptorUse.CLIENTS), sockets // 2)
            self.assertEqual(descriptors.free_for(DescriptorUse.CALLS), sockets - sockets // 2 - 27 - grpc)
            while descriptors.acquire(DescriptorUse.CLIENTS):
                pass
            self.assertTrue(descriptors.acquire(DescriptorUse.CALLS) and descriptors.acquire(DescriptorUse.NOTICES))
            self.assertIn(f"clients {sockets // 2}", descriptors.summary())
        self.assertRaises(ValueError, DescriptorBudget(1, {}).release, DescriptorUse.CALLS)
        self.assertRaises(ValueError, DescriptorBudget, 1, {DescriptorUse.CALLS: 2})


DescriptorBudgetMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestDescriptorBudget = DescriptorBudgetMachine.TestCase


class FairQueueOrder(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers()), max_size=40), st.integers(1, 9))
    @settings(deadline=None, derandomize=True)
    def test_items_are_in_order_by_source_and_no_source_is_taken_twice_while_another_waits(
        self, items: list[tuple[str, int]], most: int
    ) -> None:
        queue: FairQueue[tuple[str, int]] = FairQueue()
        for source, value in items:
            queue.put(source, (source, value), 0.0)
        taken: list[tuple[str, int]] = []
        while len(queue):
            taken += [item for item, _ in queue.take(most)]
        for source in "abc":
            self.assertEqual([i for i in taken if i[0] == source], [i for i in items if i[0] == source])
        sources = {source for source, _ in items}
        self.assertEqual({source for source, _ in taken[: len(sources)]}, sources)


class LoadShedding(unittest.TestCase):
    def load_after(self, delays: list[float]) -> Load:
        load = Load(LoadLimits(target_ms=40.0), seed=1)
        for n, delay in enumerate(delays):
            load.measured(n * 25.0, delay)
        return load

    def test_a_delay_below_the_target_refuses_no_message(self) -> None:
        load = self.load_after([5.0] * 100)
        self.assertEqual((load.share, load.admits(False), load.admits(True)), (0.0, True, True))
        self.assertEqual((load.admits(True, 249.0), load.admits(True, 251.0)), (True, False))

    def test_a_lasting_delay_refuses_unknown_sources_first_then_all_and_recovers(self) -> None:
        load = self.load_after([200.0] * 60)
        self.assertTrue(0.5 < load.share < 1.5)
        unknown = sum(load.admits(False) for _ in range(1_000))
        known = sum(load.admits(True) for _ in range(1_000))
        self.assertGreater(known, unknown)
        self.assertEqual(self.load_after([200.0] * 400).share, 2.0)
        self.assertEqual(self.load_after([200.0] * 60 + [2.0] * 400).share, 0.0)

    def test_a_single_late_turn_hardly_raises_the_share(self) -> None:
        self.assertLess(self.load_after([5.0] * 20 + [150.0] + [5.0] * 3).share, 0.05)


class KeepAlive(unittest.TestCase):
    def test_connections_are_kept_while_they_are_reused_or_capacity_is_free(self) -> None:
        policy = KeepAlivePolicy()
        self.assertTrue(policy.allows(190, 192))
        for _ in range(40):
            policy.not_used_again()
        self.assertEqual((policy.allows(96, 192), policy.allows(95, 192)), (False, True))
        for _ in range(20):
            policy.was_used_again()
        self.assertTrue(policy.allows(190, 192))


if __name__ == "__main__":
    unittest.main()
