"""The decisions on who may come in, without a socket."""

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


class Sources(unittest.TestCase):
    def test_a_script_is_held_to_its_cap_and_a_gateway_of_good_clients_is_not(self) -> None:
        shares = Shares(Caps(each=20), 10_000)
        entered = {"script": 0, "gateway": 0}
        for n in range(300):
            for name, address in (("script", "10.0.0.1"), ("gateway", "10.0.0.2")):
                verdict, source = shares.enter(address, n * 10.0)
                entered[name] += verdict is Verdict.ENTER
                if verdict is Verdict.ENTER and name == "gateway":
                    shares.took_on(source, n * 10.0)
        self.assertEqual(entered, {"script": 20, "gateway": 300})

    def test_a_script_behind_the_gateway_ends_its_freedom_only_while_it_outweighs_the_good(self) -> None:
        shares = Shares(Caps(each=20), 10_000)
        for _ in range(100):
            _, source = shares.enter("10.0.0.2", 0.0)
            shares.took_on(source, 0.0)
        entered = 0
        while shares.enter("10.0.0.2", 0.0)[0] is Verdict.ENTER and entered < 1_000:
            entered += 1  # the script's connections bring nothing
        self.assertEqual(entered, 101)
        for _ in range(200):
            shares.leave(source)
            shares.took_on(source, HALF_LIFE_MS)  # the good ones go on
        self.assertIs(shares.enter("10.0.0.2", HALF_LIFE_MS)[0], Verdict.ENTER)

    def test_new_connections_a_second(self) -> None:
        shares = Shares(Caps(new_per_s=5), 100)
        told = [shares.enter("10.0.0.1", at)[0] for at in (0.0,) * 7 + (200.0, 200.0, 5_000.0)]
        self.assertEqual([v is Verdict.ENTER for v in told], [True] * 5 + [False] * 2 + [True, False, True])

    def test_the_reserve_is_for_known_sources(self) -> None:
        shares = Shares(Caps(reserve=0.5), 4)
        _, good = shares.enter("10.0.0.1", 0.0)
        shares.took_on(good, 0.0)
        told = [shares.enter(a, 0.0)[0] for a in ("10.0.0.2", "10.0.0.3", "10.0.0.1", "10.0.0.4")]
        self.assertEqual(told, [Verdict.ENTER, Verdict.RESERVED, Verdict.ENTER, Verdict.RESERVED])
        self.assertFalse(shares.known(good, HALF_LIFE_MS * 2))  # who was good long ago is a stranger

    def test_prefixes_and_trust(self) -> None:
        trusted = Trusted(ipaddress.ip_network("10.9.0.0/16"), each=3)
        shares = Shares(Caps(each=1, v4_bits=24, v6_bits=48, trusted=(trusted,)), 100)
        self.assertEqual(shares.name("10.1.2.3"), shares.name("10.1.2.200"))
        self.assertEqual(shares.name("2001:db8:1:2::3"), shares.name("2001:db8:1:ffff::"))
        self.assertNotEqual(shares.name("2001:db8:1::"), shares.name("2001:db8:2::"))
        self.assertEqual([shares.enter("10.9.1.1", 0.0)[0] for _ in range(4)], [Verdict.ENTER] * 3 + [Verdict.OPEN_CAP])
        self.assertEqual([shares.enter("10.1.2.3", 0.0)[0] for _ in range(2)], [Verdict.ENTER, Verdict.OPEN_CAP])

    def test_addresses_new_with_every_connection_push_no_known_client_out(self) -> None:
        shares = Shares(Caps(sources=64), 1_000)
        _, good = shares.enter("10.0.0.1", 0.0)
        shares.took_on(good, 0.0)
        shares.leave(good)
        for n in range(20_000):
            _, source = shares.enter(f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}", 0.0)
            shares.leave(source)
            self.assertLessEqual(len(shares), 65)
        self.assertTrue(shares.known(good, 0.0))


class Budget(RuleBasedStateMachine):
    """Whoever takes and gives back: the total holds, and what is set aside can always be had."""

    def __init__(self) -> None:
        super().__init__()
        self.descriptors = DescriptorBudget(12, {DescriptorUse.CALLS: 4, DescriptorUse.NOTICES: 1})

    @rule(holder=st.sampled_from(DescriptorUse))
    def take(self, holder: DescriptorUse) -> None:
        free = self.descriptors.free_for(holder)
        assert self.descriptors.acquire(holder) is (free > 0)

    @precondition(lambda self: self.descriptors.held.total())
    @rule(data=st.data())
    def give_back(self, data: st.DataObject) -> None:
        self.descriptors.release(data.draw(st.sampled_from([h for h in DescriptorUse if self.descriptors.held[h]])))

    @invariant()
    def bounds_hold(self) -> None:
        descriptors = self.descriptors
        assert descriptors.held.total() <= descriptors.total
        assert descriptors.held[DescriptorUse.CALLS] >= 4 or descriptors.free_for(DescriptorUse.CALLS)
        assert descriptors.held[DescriptorUse.NOTICES] >= 1 or descriptors.free_for(DescriptorUse.NOTICES)


class Shared(unittest.TestCase):
    def test_a_relays_budget_adds_up_and_calls_have_what_clients_and_others_leave(self) -> None:
        for sockets, grpc in ((384, 0), (1_024, 256), (4_096, 1_024)):
            descriptors = divide_descriptors(sockets, grpc)
            self.assertEqual(descriptors.total, sockets)
            self.assertEqual(descriptors.free_for(DescriptorUse.CLIENTS), sockets // 2)
            self.assertEqual(descriptors.free_for(DescriptorUse.CALLS), sockets - sockets // 2 - 24 - grpc)
            while descriptors.acquire(DescriptorUse.CLIENTS):
                pass
            self.assertTrue(descriptors.acquire(DescriptorUse.CALLS) and descriptors.acquire(DescriptorUse.NOTICES))
            self.assertIn(f"clients {sockets // 2}", descriptors.summary())
        self.assertRaises(ValueError, DescriptorBudget(1, {}).release, DescriptorUse.CALLS)
        self.assertRaises(ValueError, DescriptorBudget, 1, {DescriptorUse.CALLS: 2})


Budget.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
TestBudget = Budget.TestCase


class Queues(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers()), max_size=40), st.integers(1, 9))
    @settings(deadline=None, derandomize=True)
    def test_all_come_out_in_order_by_source_and_no_source_twice_while_another_waits(
        self, items: list[tuple[str, int]], most: int
    ) -> None:
        queue: FairQueue[tuple[str, int]] = FairQueue()
        for source, value in items:
            queue.put(source, (source, value), 0.0)
        out: list[tuple[str, int]] = []
        while len(queue):
            out += [item for item, _ in queue.take(most)]
        for source in "abc":
            self.assertEqual([i for i in out if i[0] == source], [i for i in items if i[0] == source])
        sources = {source for source, _ in items}
        self.assertEqual({source for source, _ in out[: len(sources)]}, sources)


class Loads(unittest.TestCase):
    def after(self, delays: list[float]) -> Load:
        load = Load(LoadLimits(target_ms=40.0), seed=1)
        for n, delay in enumerate(delays):
            load.measured(n * 25.0, delay)
        return load

    def test_no_delay_refuses_nobody(self) -> None:
        load = self.after([5.0] * 100)
        self.assertEqual((load.share, load.admits(False), load.admits(True)), (0.0, True, True))
        self.assertEqual((load.admits(True, 249.0), load.admits(True, 251.0)), (True, False))

    def test_a_delay_that_stays_refuses_strangers_first_then_all_and_is_forgotten(self) -> None:
        load = self.after([200.0] * 60)
        self.assertTrue(0.5 < load.share < 1.5)
        stranger = sum(load.admits(False) for _ in range(1_000))
        known = sum(load.admits(True) for _ in range(1_000))
        self.assertGreater(known, stranger)
        self.assertEqual(self.after([200.0] * 400).share, 2.0)
        self.assertEqual(self.after([200.0] * 60 + [2.0] * 400).share, 0.0)

    def test_one_late_turn_is_no_load(self) -> None:
        self.assertLess(self.after([5.0] * 20 + [150.0] + [5.0] * 3).share, 0.05)


class Kept(unittest.TestCase):
    def test_connections_are_kept_while_that_pays_or_there_is_room(self) -> None:
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
