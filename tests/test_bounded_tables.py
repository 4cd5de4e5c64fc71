"""Tables that grow with names from outside are bounded, whatever is named."""

from __future__ import annotations

import struct
import unittest

from conftest import SAFE, SECOND, Courier
from world import member

from calicohitch import interface as i
from calicohitch.config.settings import Names
from calicohitch.core.limit_updates import LimitUpdates
from calicohitch.decision_state import MAX_DESTINATIONS
from calicohitch.net.discovery import Directory

NAMES = 100_000


class EverNewNames(unittest.TestCase):
    def test_destinations_that_datagrams_of_other_relays_name(self) -> None:
        updates = LimitUpdates(1)
        for n in range(0, NAMES, 20):
            updates.receive(n, b"\x01" + b"".join(struct.pack(">If", n + k, 5.0) for k in range(20)))
        self.assertLess(len(updates._muted_until), 5_000)
        updates.receive(NAMES + 10 * SECOND, b"\x01" + struct.pack(">If", 1, 5.0))
        self.assertEqual(list(updates._muted_until), [1])

    def test_destinations_that_changes_of_the_list_name(self) -> None:
        directory = Directory(Names((), ("west",), ("pubs",)))
        for n in range(NAMES // 2):
            gone = member("127.0.0.1:9", f"s-{n - 1}", n - 1, "Gone")
            told = {"revision": n, "complete": False, "members": [gone, member("127.0.0.1:9", f"s-{n}", n)]}
            directory.read(told)
        self.assertLess(len(directory._dests), 20_000)
        self.assertLess(len(directory._departed), 5_000)
        self.assertTrue(directory.knows(NAMES // 2 - 1))

    def test_destinations_of_messages_before_any_list(self) -> None:
        relay = Courier()
        for n in range(MAX_DESTINATIONS + 1_000):
            relay.arrive(SAFE, dest=n)
            relay.tell(i.Withdrawn(relay.next_id - 1))
        self.assertLess(len(relay.engine._dests), MAX_DESTINATIONS + 10)
        self.assertEqual(len(relay.engine._open), 0)

    def test_a_destination_with_a_held_message_or_an_endpoint_is_kept(self) -> None:
        relay = Courier()
        relay.list(i.Listed(11, 1))
        relay.arrive(SAFE, dest=2)
        for n in range(10, MAX_DESTINATIONS + 1_000):
            relay.arrive(SAFE, dest=n)
            relay.tell(i.Withdrawn(relay.next_id - 1))
        self.assertTrue(relay.engine._dests[1].endpoints)
        self.assertEqual(len(relay.engine._dests[2].held), 1)


if __name__ == "__main__":
    unittest.main()
