"""Decisions of the fleet and the takeover, one by one; `test_model.py` has them together."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from calicohitch.config import ConfigError
from calicohitch.config.operator import load
from calicohitch.fleet.memory_store import MemoryStore
from calicohitch.fleet.lease_validity import LeaseValidity, LeaseTerm
from calicohitch.fleet.records import (
    Bad,
    FailoverClaim,
    ReplicaHolder,
    Keys,
    Member,
    State,
    Work,
    part_of,
    read_record,
    write_record,
)
from calicohitch.fleet.roster import Roster
from calicohitch.fleet.store import Put
from calicohitch.fleet.ownership import StoredEpoch, ReclaimedWork, Ownership
from calicohitch.journal import Attempt, Entry, Journal, Origin, payloads
from calicohitch.failover import frames
from calicohitch.failover.choice import chosen, ranked
from calicohitch.failover.claims import STEP_MS, Claims
from calicohitch.failover.replication import Replication, Link
from calicohitch.failover.replica_store import ReplicaStore, NoRoom
from calicohitch.failover.offsets import Offset

KEYS = Keys("test")
TERM = LeaseTerm(1_000.0, 100.0)
H1, H2 = ReplicaHolder("r1", "x1"), ReplicaHolder("r2", "x2")


class Proofs(unittest.TestCase):
    def test_either_the_store_or_every_holder_proves_it(self) -> None:
        validity = LeaseValidity(TERM)
        self.assertFalse(validity.holds(0.0, ["r1"]))
        self.assertTrue(validity.holds(0.0, []))  # nobody could claim it
        validity.renewed(0.0)
        self.assertTrue(validity.holds(879.0, ["r1", "r2"]))
        self.assertFalse(validity.holds(880.0, ["r1", "r2"]))
        validity.acknowledged("r1", 500.0)
        self.assertFalse(validity.holds(900.0, ["r1", "r2"]))
        validity.acknowledged("r2", 400.0)
        self.assertTrue(validity.holds(1_279.0, ["r1", "r2"]))
        self.assertFalse(validity.holds(1_281.0, ["r1", "r2"]))
        validity.passed = "another has it"
        self.assertFalse(validity.holds(900.0, []))

    def test_a_holder_keeps_still_longer_than_is_believed_with_any_drift(self) -> None:
        for fast in (0.99, 1.01):
            for slow in (0.99, 1.01):
                self.assertLess(TERM.believed / slow + TERM.pause, TERM.still / fast + 1e-9)


class Choice(unittest.TestCase):
    def test_copies_lie_in_other_zones_and_few_move(self) -> None:
        zones = {f"r{n}": "abc"[n % 3] for n in range(12)}
        before = {part: chosen(f"r0/{part}", "r0", zones, 2) for part in range(64)}
        for holders in before.values():
            self.assertEqual(len({zones[relay] for relay in holders} - {"a"}), 2)
        del zones["r4"]
        after = {part: chosen(f"r0/{part}", "r0", zones, 2) for part in range(64)}
        moved = [part for part in before if before[part] != after[part]]
        self.assertEqual(moved, [part for part in before if "r4" in before[part]])
        self.assertEqual(sorted(ranked("k", zones)), sorted(zones))
        self.assertEqual(chosen("k", "r0", {"r0": "a"}, 2), [])


class Offsets(unittest.TestCase):
    @given(st.floats(-5_000, 5_000), st.lists(st.tuples(st.floats(0, 300), st.floats(0, 300)), min_size=1, max_size=20))
    def test_bounds_hold_whatever_the_line_takes(self, true: float, trips: list[tuple[float, float]]) -> None:
        offset, here = Offset(), 10_000.0
        for up, down in trips:
            sent, there = here, here + up - true  # what goes there and comes back: here - there is `true`
            here += up + down
            offset.answered(sent, there, here)
            offset.came(here, there)
            self.assertLessEqual(offset.lowest(here), true + 1e-6)
            self.assertGreaterEqual(offset.highest(here), true - 1e-6)
        self.assertLessEqual(offset.earliest(500.0, here), 500.0 + true + 1e-6)


class Replicator(unittest.TestCase):
    def setUp(self) -> None:
        self.replication = Replication(2, 1)
        self.sent: dict[str, list[frames.Frame]] = {"r1": [], "r2": []}

    def link(self, holder: ReplicaHolder) -> Link:
        link = Link(holder.relay, holder.holding, lambda frame: self.sent[holder.relay].append(frame) or True, 0.0)
        self.replication.came_up(link)
        return link

    def test_a_holder_is_named_once_it_has_all_and_acts_wait_for_all_who_may_be_named(self) -> None:
        self.replication.open(7, 0, True, lambda: [b"taken"])
        link = self.link(H1)
        self.assertEqual(self.replication.arrange([["r1"], []], lambda _: False, 0.0), ((), ()))
        self.assertEqual([type(frame).__name__ for frame in self.sent["r1"]], ["Begin", "Record", "Whole"])
        self.replication.acked(link, 3, 0.0)
        target = self.replication.arrange([["r1"], []], lambda _: False, 0.0)
        self.assertEqual(target, ((H1,), ()))
        self.assertTrue(self.replication.is_safe(7))  # nobody may claim it yet
        self.replication.publishing(target)  # from here on r1 may, whether the answer comes or not
        self.replication.record(7, b"attempt", 1.0)
        self.assertFalse(self.replication.is_safe(7))
        self.replication.acked(link, 4, 1.0)
        self.assertTrue(self.replication.is_safe(7))
        self.replication.publish(target, 1.0)
        self.replication.record(7, b"outcome", 2.0)
        self.replication.went_down("r1", link)
        self.assertFalse(self.replication.is_safe(7))  # it may claim, and has not said that it knows
        other = self.link(H2)
        self.assertEqual(self.replication.arrange([["r2"], []], lambda relay: False, 3.0), ((H1,), ()))
        self.replication.acked(other, 99, 3.0)
        self.assertEqual(self.replication.arrange([["r2"], []], lambda relay: relay == "r1", 3.0), ((H2,), ()))

    def test_one_that_lost_its_copies_does_not_count(self) -> None:
        self.replication.open(7, 0, True, lambda: [b"taken"])
        self.replication.publish(((H1,), ()), 0.0)
        again = self.link(ReplicaHolder("r1", "new"))
        self.replication.give(again, 0, 0.0)
        self.replication.acked(again, 99, 0.0)
        self.replication.record(7, b"attempt", 0.0)
        self.replication.acked(again, 99, 0.0)
        self.assertFalse(self.replication.is_safe(7))
        self.assertEqual(
            self.replication.arrange([["r1"], []], lambda _: False, 0.0), ((ReplicaHolder("r1", "new"),), ())
        )

    def test_what_goes_behind_and_what_is_not_copied_waits_for_nothing(self) -> None:
        self.replication.publish(((H1,), (H1,)), 0.0)
        self.replication.open(7, 0, False, list)
        self.replication.record(7, b"taken", 0.0)
        self.assertTrue(self.replication.is_safe(7))
        self.assertTrue(self.replication.is_safe(8))

    def test_a_message_is_taken_on_only_with_its_holders(self) -> None:
        self.link(H1).parts[0] = 0
        self.replication.publish(((H1,), ()), 0.0)
        self.replication.open(7, 0, True, list, needs=True)
        self.assertTrue(self.replication.may_be_accepted(7))
        self.replication.publish(((), ()), 0.0)  # its holder was left out before its client was told
        self.assertTrue(self.replication.is_safe(7))
        self.assertFalse(self.replication.may_be_accepted(7))

    def test_a_full_buffer_ends_one_link_and_no_other(self) -> None:
        self.replication.open(7, 0, True, list)
        stuck = Link("r1", "x1", lambda frame: False, 0.0, parts={0: 0})
        self.replication.came_up(stuck)
        other = self.link(H2)
        other.parts[0] = 0
        self.replication.record(7, b"taken", 0.0)
        self.assertEqual(list(self.replication.links), ["r2"])
        self.assertEqual(self.replication.stuck, 1)
        self.assertEqual(len(self.sent["r2"]), 1)


class Claiming(unittest.TestCase):
    """r1 and r2 hold copies of what r0 had in epoch 1."""

    def setUp(self) -> None:
        self.now = 0.0
        self.store = MemoryStore(lambda: self.now)
        self.roster = Roster(KEYS)
        self.held = {("r0", 1): "x1"}
        self.lease = self.store.grant_now(1_000.0)
        self.store.commit_now(
            [],
            [
                Put(KEYS.generation, b"g"),
                Put(KEYS.epoch("r0"), b"1"),
                Put(KEYS.member("r0"), write_record(Member(1, 1, "h:1")), self.lease),
                Put(KEYS.member("r1"), write_record(Member(1, 1, "h:2"))),
                Put(KEYS.member("r2"), write_record(Member(1, 1, "h:3"))),
                Put(KEYS.work("r0", 1), write_record(Work(State.OWNED, "g", ((H1, H2), (H2, H1))))),
            ],
        )
        self.claims = Claims("r1", TERM, 0.0, began=0.0)
        self.due(0.0)

    def due(self, at: float) -> list[int]:
        self.now = at
        self.roster.replace(self.store.read_now(KEYS.prefix), at)
        return self.claims.parts_due(self.roster, "r0", 1, at, self.held)[0]

    def test_only_an_expired_lease_and_a_time_of_silence_count(self) -> None:
        self.claims.heard("r0", 1, 900.0)
        self.assertEqual(self.due(999.0), [])
        self.assertEqual(self.due(1_001.0), [])  # the lease is gone; it was heard 101 ms ago
        self.assertEqual(self.due(900.0 + TERM.still), [0])
        self.assertEqual(self.due(900.0 + TERM.still + STEP_MS), [0, 1])

    def test_what_was_handed_over_is_claimed_at_once(self) -> None:
        self.claims.heard("r0", 1, 100.0)
        self.store.commit_now([], [Put(KEYS.work("r0", 1), write_record(Work(State.HANDED, "g", ((H1,), (H2,)))))])
        self.assertEqual(self.due(101.0), [0])

    def test_a_claim_rests_on_what_is_there(self) -> None:
        self.due(1_001.0)
        self.assertEqual(self.due(1_500.0), [0, 1])
        step = self.claims.claim(self.roster, "r0", 1, [0, 1], 1, 0)
        self.store.commit_now([], [Put(KEYS.member("r0"), write_record(Member(1, 1, "h:1")))])  # it came back
        self.assertFalse(self.store.commit_now(step.conditions, step.ops))

    def test_a_lost_set_another_generation_and_a_claimed_part_are_left(self) -> None:
        self.due(1_001.0)
        self.held = {("r0", 1): "other"}
        self.assertEqual(self.due(1_500.0), [])
        self.held = {("r0", 1): "x1"}
        self.store.commit_now([], [Put(KEYS.claim("r0", 1, 0), write_record(FailoverClaim("r2", 1)))])
        self.assertEqual(self.due(1_600.0), [1])
        self.store.commit_now([], [Put(KEYS.generation, b"another")])
        self.assertEqual(self.due(1_700.0), [])

    def test_a_process_that_began_knows_nothing_of_what_was_heard(self) -> None:
        self.claims = Claims("r1", TERM, 0.0, began=1_400.0)
        self.assertEqual(self.due(1_500.0), [])
        self.assertEqual(self.due(1_400.0 + TERM.still + STEP_MS), [0, 1])

    def test_who_claimed_acknowledges_nothing_any_more(self) -> None:
        self.due(1_500.0)
        self.assertFalse(self.claims.denies(self.roster, "r0", 1))
        self.claims.claiming("r0", 1)
        self.assertTrue(self.claims.denies(self.roster, "r0", 1))
        self.claims.not_claimed("r0", 1)
        self.store.commit_now([], [Put(KEYS.claim("r0", 1, 0), write_record(FailoverClaim("r1", 1)))])
        self.due(1_600.0)
        self.assertTrue(self.claims.denies(self.roster, "r0", 1))


class Tenures(unittest.TestCase):
    def setUp(self) -> None:
        self.store = MemoryStore(lambda: 0.0)
        self.roster = Roster(KEYS)
        self.ownership = Ownership(KEYS, "r0", 2, Member(0, 1, "h:1"))
        self.put(KEYS.generation, b"g")

    def put(self, key: str, value: bytes) -> None:
        self.store.commit_now([], [Put(key, value)])
        self.read()

    def read(self) -> None:
        self.roster.replace(self.store.read_now(KEYS.prefix), 0.0)

    def registered(self, kept: StoredEpoch | None = None) -> int:
        kept = kept or StoredEpoch()
        epoch, step = self.ownership.register(self.roster, kept, 0)
        self.assertTrue(self.store.commit_now(step.conditions, step.ops))
        self.ownership.begun(epoch)
        self.read()
        return epoch

    def resumed(self, kept: StoredEpoch) -> ReclaimedWork:
        taken, step = self.ownership.resume(self.roster, kept)
        if step:
            self.assertTrue(self.store.commit_now(step.conditions, step.ops))
            self.read()
        return taken

    def work(self, epoch: int, state: State = State.OWNED) -> None:
        self.put(KEYS.work("r0", epoch), write_record(Work(state, "g", ((H1,), ()))))

    def test_epochs_grow_whatever_is_known(self) -> None:
        self.assertEqual(self.registered(), 1)
        self.assertEqual(self.registered(StoredEpoch(7)), 8)
        self.ownership = Ownership(KEYS, "r0", 2, Member(0, 2, "h:1"))
        self.assertEqual(self.registered(), 9)

    def test_a_folder_that_nobody_claimed_is_taken_up_whole(self) -> None:
        kept = StoredEpoch(1, True, "g")
        self.registered(), self.work(1), self.registered(kept)
        self.assertEqual(self.resumed(kept), ReclaimedWork())
        self.assertNotIn(("r0", 1), self.roster.works)

    def test_of_a_claimed_folder_only_what_nobody_claimed(self) -> None:
        kept = StoredEpoch(1, True, "g")
        self.registered(), self.work(1, State.LEFT)
        self.put(KEYS.claim("r0", 1, 0), write_record(FailoverClaim("r1", 1)))
        self.registered(kept)
        self.assertEqual(self.resumed(kept), ReclaimedWork(frozenset({1})))
        self.assertEqual(self.roster.claims["r0", 1, 1], FailoverClaim("r0", 2, adopted=True))

    def test_a_folder_whose_work_is_gone_from_the_store_was_adopted_long_ago(self) -> None:
        self.registered(StoredEpoch(1, True, "g"))
        self.assertEqual(self.resumed(StoredEpoch(1, True, "g")), ReclaimedWork(frozenset()))
        self.assertEqual(self.resumed(StoredEpoch(1, False, "g")), ReclaimedWork())  # nobody ever held copies of it
        self.assertEqual(self.resumed(StoredEpoch(1, True, "old")), ReclaimedWork(doubted=True))

    def test_a_lost_folder_leaves_its_work_to_the_holders(self) -> None:
        self.registered(), self.work(1), self.registered()
        self.resumed(StoredEpoch())
        self.assertEqual(self.roster.works["r0", 1].state, State.LEFT)

    def test_a_tenure_is_passed_by_a_later_epoch_or_a_claim_and_not_by_a_lost_lease(self) -> None:
        self.registered()
        self.work(1)
        self.assertEqual(self.ownership.look(self.roster), "")
        other = Ownership(KEYS, "r0", 2, Member(0, 5, "h:9"))
        epoch, step = other.register(self.roster, StoredEpoch(), 0)
        self.store.commit_now(step.conditions, step.ops)
        self.read()
        self.assertIn("a later one has begun", self.ownership.look(self.roster))

    def test_another_of_its_name_is_seen_unless_it_has_this_folder(self) -> None:
        self.registered()
        later = Ownership(KEYS, "r0", 2, Member(0, 2, "h:1"))
        self.assertIn("is alive, in epoch 1", later.taken_by(self.roster, StoredEpoch(0)))
        self.assertEqual(later.taken_by(self.roster, StoredEpoch(1)), "")

    def test_records_that_cannot_be_read_are_left_alone(self) -> None:
        for value in (b"", b"{", b"null", b'{"epoch":"x"}', b"\xff", b"[" * 10_000):
            with self.assertRaises(Bad):
                read_record(value, Member)
            self.put(KEYS.member("r9"), value)
            self.assertNotIn("r9", self.roster.members)
        self.put(KEYS.prefix + "claim/r1/x/0", b"{}")
        self.put(KEYS.prefix + "nonsense", b"{}")
        self.assertGreaterEqual(self.roster.unread, 6)
        self.assertEqual(KEYS.parse(KEYS.claim("a/b", 3, 1)), ("claim", "a/b", "3", "1"))


class Held(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name)

    def entry(self, number: int, body: bytes = b"body") -> Entry:
        return Entry(number, f"m{number}", "orders", 7, 50_000.0, "k", body, [Attempt(10_000.0, 0)])

    def test_what_is_held_outlasts_the_process_and_is_told_anew_without_a_gap(self) -> None:
        replicas = ReplicaStore(self.folder, 1_000_000, lambda: 0.0)
        held = replicas.open("r0", 3, 2)
        for number in (1, 2, 3, 4):
            for payload in payloads(self.entry(number)):
                replicas.record(held, part_of(f"m{number}", 2), payload)
        name = held.name
        replicas.close()
        replicas = ReplicaStore(self.folder, 1_000_000, lambda: 0.0)
        held = replicas.open("r0", 3, 2)
        self.assertEqual((held.name, len(held)), (name, 4))
        part = part_of("m1", 2)
        others = [n for n in (1, 2, 3, 4) if part_of(f"m{n}", 2) != part]
        held.begin(part)
        for payload in payloads(self.entry(1)):
            replicas.record(held, part, payload)
        held.whole(part)  # all else of the part is over
        held.offset.answered(100.0, 90.0, 110.0)  # its clock is at least 10 behind
        found = held.claimed([0, 1], 110.0, 0.0)
        self.assertEqual(sorted(entry.number for entry in found), sorted([1, *others]))
        first = next(entry for entry in found if entry.number == 1)
        self.assertEqual((first.deadline, first.attempts[0].sent_at, first.body), (50_010.0, 10_010.0, b"body"))

    def test_an_unknown_clock_is_taken_for_the_earliest_that_it_can_be(self) -> None:
        replicas = ReplicaStore(self.folder, 1_000_000, lambda: 0.0)
        held = replicas.open("r0", 3, 1)
        for payload in payloads(self.entry(1)):
            replicas.record(held, 0, payload)
        (found,) = held.claimed([0], 110.0, 700.0)
        self.assertEqual((found.deadline, found.attempts[0].sent_at), (49_300.0, 9_300.0))

    def test_past_the_bound_a_part_is_given_up_whole_and_not_claimed_from_here(self) -> None:
        replicas = ReplicaStore(self.folder, 20_000, lambda: 0.0)
        held = replicas.open("r0", 3, 1)
        with self.assertRaises(NoRoom):
            for number in range(100):
                replicas.record(held, 0, payloads(self.entry(number, bytes(500)))[0])
        self.assertLess(replicas.used(), 20_000)
        held.give_up(0)
        self.assertEqual(len(held), 0)
        replicas.close()
        again = ReplicaStore(self.folder, 20_000, lambda: 0.0).open("r0", 3, 1)
        self.assertEqual(again.name, held.name)
        self.assertEqual(again.gave_up, {0})
        again.begin(0)
        again.whole(0)
        self.assertEqual(again.gave_up, set())

    def test_sets_that_cannot_be_read_are_removed(self) -> None:
        for name, text in (("r0.1", "{"), ("r0.x", '{"name": "a", "parts": 1}'), ("stray", "")):
            (self.folder / name).mkdir()
            (self.folder / name / "held").write_text(text)
        self.assertEqual(len(ReplicaStore(self.folder, 20_000, lambda: 0.0)), 0)
        self.assertEqual(list(self.folder.iterdir()), [])

    def test_an_origin_is_kept_and_an_unknown_kind_is_skipped(self) -> None:
        journal = Journal(self.folder, 1e6)
        journal.record_accepted(self.entry(1))
        journal.record_origin(1, Origin("r0", 3, 1))
        journal.close()
        self.assertEqual(Journal(self.folder, 1e6).entries[1].origin, Origin("r0", 3, 1))
        journal = Journal(self.folder, 1e6)
        journal._append(20, 1, b"of a kind that this program does not know")  # type: ignore[arg-type]
        journal.record_origin(1, Origin("r0", 3, 1, confirmed=True))
        journal.close()
        known = Journal(self.folder, 1e6)
        self.assertEqual((known.entries[1].origin, known.damage), (Origin("r0", 3, 1, confirmed=True), []))


class File(unittest.TestCase):
    GOOD = (
        'fleet "main" zone="a" {\n store "127.0.0.1:2379" timeout-ms=500\n listen "127.0.0.1:7400"\n'
        " lease ttl-ms=3000 renew-ms=800 pause-ms=100\n copies count=1 parts=4\n"
        ' class "x" copy="first" without="alone"\n class "y" copy="none"\n}'
    )

    def read(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "o.kdl"
            path.write_text(text)
            return load(path, ("x", "y", "z")).fleet

    def test_what_it_says(self) -> None:
        told = self.read(self.GOOD)
        self.assertEqual((told.name, told.zone, told.ttl_ms, told.copies), ("main", "a", 3_000.0, 1))
        self.assertEqual(
            [(mode.when, mode.without) for mode in told.classes],
            [("first", "alone"), ("none", "refuse"), ("first", "refuse")],
        )

    def test_contradictions_are_named_with_their_place(self) -> None:
        for old, new, complaint in (
            ("renew-ms=800", "renew-ms=1600", "fleet > lease: two renewals (1600 ms each)"),
            ("count=1", "count=0", "fleet > class: it needs copies and none are kept"),
            ('class "x"', 'class "xx"', "the class must be one of x, y, z, not 'xx'; did you mean x?"),
            ("parts=4", "parts=4 beat-ms=1500", "fleet > copies: three beats (1500 ms each)"),
            (' listen "127.0.0.1:7400"\n', "", 'listen is missing; add it, as in listen "127.0.0.1:2379"'),
            ("127.0.0.1:2379", "etcd", "it must be HOST:PORT, not 'etcd'"),
            ('copy="first"', 'copy="frist"', "copy must be one of first, behind, none, not 'frist'"),
            ('"main"', "", "the fleet's name is missing"),
        ):
            with self.subTest(new=new), self.assertRaises(ConfigError) as caught:
                self.read(self.GOOD.replace(old, new))
            self.assertIn(complaint, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
