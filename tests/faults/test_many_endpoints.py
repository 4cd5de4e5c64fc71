"""A list of thousands: what follows it costs what changed, and the loop has its turns while it is read."""

from __future__ import annotations

import json
import unittest
from typing import Any

from world import SETTINGS, World, in_world, member, until

from calicohitch.config import parse
from calicohitch.interface import ListKind, Phase
from calicohitch.net.discovery import Directory

MANY = 3_200


def members(count: int) -> list[dict[str, Any]]:
    return [member(f"127.0.{n // 250}.{n % 250}:80", f"t-{n}", n // 10) for n in range(count)]


def directory() -> Directory:
    return Directory(
        parse(
            {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "state": "/tmp", "settings": SETTINGS}
        ).names
    )


def told(revision: int, items: list[dict[str, Any]]) -> Any:
    return json.loads(json.dumps({"revision": revision, "complete": True, "members": items}))


class WholeLists(unittest.TestCase):
    def test_one_that_follows_another_tells_what_changed(self) -> None:
        known, items = directory(), members(40)
        first = known.read(told(1, items)).event()
        self.assertEqual((first.kind, len(first.entries)), (ListKind.FULL, 40))
        items[3]["phase"] = "Terminating"
        items[7]["size"] = 9.0
        gone = known.number(items.pop(5)["id"])
        items.append(member("127.0.0.9:81", "t-new", 1))
        second = known.read(told(2, items)).event()
        self.assertEqual(second.kind, ListKind.DELTA)
        found = {entry.endpoint: (entry.phase, entry.weight) for entry in second.entries}
        self.assertEqual(
            found,
            {
                known.number("t-3"): (Phase.DRAINING, 2.0),
                known.number("t-7"): (Phase.READY, 9.0),
                known.number("t-new"): (Phase.READY, 2.0),
                gone: (Phase.GONE, 2.0),
            },
        )
        self.assertEqual(known.read(told(3, items)).event().entries, second.entries[:1])  # who drains is told again
        self.assertEqual(len(known), 40)

    def test_lines_that_were_read_ahead_are_read_as_ever(self) -> None:
        items = members(30)
        items[4]["host_port"] = "nowhere"
        ahead, plain = directory(), directory()
        list_ = told(1, items)
        ahead.read_ahead(list_["members"][:20])
        self.assertEqual(
            {e.dest: e.weight for e in ahead.read(list_).entries},
            {e.dest: e.weight for e in plain.read(told(1, items)).entries},
        )
        self.assertEqual(
            sorted(one["id"] for one in ahead.storable_members()), sorted(one["id"] for one in plain.storable_members())
        )

    def test_what_is_stored_of_it_follows_changes(self) -> None:
        known, items = directory(), members(20)
        known.read(told(1, items))
        self.assertEqual(known.take_changes(), known.storable_members())
        known.read(told(2, items))
        self.assertEqual(known.take_changes(), [])
        items[2]["size"] = 5.0
        known.read(told(3, items))
        self.assertEqual([(one["id"], one["size"]) for one in known.take_changes()], [("t-2", 5.0)])
        self.assertEqual([one["size"] for one in known.storable_members() if one["id"] == "t-2"], [5.0])

    @in_world
    async def test_the_loop_has_turns_while_thousands_of_lines_are_read(self, world: World) -> None:
        async with world.relay() as relay:
            turns = [0]
            world.members = [*world.members, *members(MANY)]
            ahead = relay._directory.read_ahead

            def slice_(items: Any) -> None:
                self.assertLessEqual(len(items), 100)
                turns[0] += 1
                ahead(items)

            relay._directory.read_ahead = slice_  # type: ignore[method-assign]
            world.change(*world.members)
            await until(lambda: len(relay._directory) > MANY)
            self.assertGreaterEqual(turns[0], MANY // 100)
            self.assertEqual((await world.hand_in("m0")).status, 202)


if __name__ == "__main__":
    unittest.main()
