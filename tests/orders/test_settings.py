"""Other customers' settings: what the code might take for granted, absent, zero or extreme."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any
from urllib.parse import quote

from world import SETTINGS, World, play, until

from calicohitch.config import ConfigError, parse
from calicohitch.interface import Arrived, Effect, Listed, ListKind, ListTold, MessageClass, Refuse, Send, Settings
from calicohitch.decisions import DecisionEngine

SERVICE = {"name": "orders", "effect": "keyed", "on_time": 2_500_000, "hard_limit": 24_000_000, "window": 6_000_000}


def caps(**changes: Any) -> dict[str, Any]:
    return SETTINGS | {"caps": SETTINGS["caps"] | changes}


def services(*changes: dict[str, Any]) -> dict[str, Any]:
    return SETTINGS | {"services": [SERVICE | change for change in changes]}


STARTS: dict[str, dict[str, Any]] = {
    "one class": services({}),
    "five classes of every effect": services(
        {"name": "a", "effect": "unsafe"},
        {"name": "b", "effect": "safe"},
        {"name": "c"},
        {"name": "d", "window": 0},
        {"name": "e", "effect": "safe", "on_time": 1_000},
    ),
    "names that a path may hold": services(
        *({"name": name} for name in ("a.b", "x~y", "p_q-1", "a b", "a/b", "é", "?%"))
    ),
    "a deadline that is the aim": services({"on_time": 2_000_000, "hard_limit": 2_000_000}),
    "a deadline near a call's length": services({"on_time": 300_000, "hard_limit": 300_000, "effect": "safe"}),
    "a window shorter than an attempt": services({"window": 1}),
    "one attempt": caps(send_cap=1),
    "room for one": caps(open_cap=1),
    "room for two": caps(open_cap=2),
    "one slot": SETTINGS | {"family_info": {"call_slots": 1}},
    "nothing but what is needed": {
        "services": SETTINGS["services"],
        "caps": {"open_cap": 5, "send_cap": 1},
        "family_info": {"call_slots": 1},
    },
    "everything absent is null": SETTINGS | {"load_report": None, "obligations": None, "zones": None, "tenants": None},
    "no reports": SETTINGS | {"load_report": {"names": [], "via": "none"}},
    "one zone": SETTINGS | {"zones": ["only"]},
    "many tenants": SETTINGS | {"tenants": [{"quota_per_s": n} for n in range(300)]},
    "zero everywhere": caps(conn_idle=0, max_retry_after=0)
    | {"obligations": {"ramp_time": 0, "stop_sending_within": 0}},
    "a thousand relays": SETTINGS | {"balancers": 1_000},
    "rates": SETTINGS | {"weights": "nominal", "discovery": "on_request", "balancers": 2},
}

REFUSED: list[tuple[str, dict[str, Any], str]] = [
    ("no class", SETTINGS | {"services": []}, "classes must name at least one"),
    ("the same name twice", services({}, {}), "settings.services[1].name must be a text of its own"),
    ("an empty name", services({"name": ""}), "settings.services[0].name"),
    ("a long name", services({"name": "x" * 70_000}), "settings.services[0].name"),
    ("an endless deadline", services({"hard_limit": float("inf")}), "settings.services[0].hard_limit"),
    ("no number", services({"on_time": float("nan")}), "settings.services[0].on_time"),
    ("an aim past the deadline", services({"on_time": 9, "hard_limit": 8}), "settings.services[0].on_time"),
    ("no slot", SETTINGS | {"family_info": {"call_slots": 0}}, "settings.family_info.call_slots"),
    ("no room", caps(open_cap=0), "settings.caps.open_cap"),
    ("no attempt", caps(send_cap=0), "settings.caps.send_cap"),
    ("endless idle time", caps(conn_idle=float("inf")), "settings.caps.conn_idle"),
    ("an effect of another kind", services({"effect": "maybe"}), "settings.services[0].effect"),
]


class ASettingsTable(unittest.TestCase):
    def test_what_starts_delivers_a_message_of_each_class(self) -> None:
        for name, told in STARTS.items():
            with self.subTest(name):
                play(lambda world, told=told: self._delivers(world, told))  # type: ignore[misc]

    async def _delivers(self, world: World, told: dict[str, Any]) -> None:
        async with world.relay(settings=told) as relay:
            for n, service in enumerate(told["services"]):
                answer = await world.hand_in(f"m{n}", path=f"/{quote(service['name'], safe='')}")
                self.assertEqual(answer.status, 202, service)
                await until(lambda: relay.idle)
        self.assertEqual((len(world.endpoint.requests), world.notices), (len(told["services"]), []))

    def test_what_does_not_start_says_where_and_what_would_do(self) -> None:
        for name, told, place in REFUSED:
            with self.subTest(name), self.assertRaises(ConfigError) as caught:
                parse({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "state": "/nowhere", "settings": told})
            self.assertIn(place, str(caught.exception))


class TinyRooms(unittest.TestCase):
    def test_a_message_that_was_taken_on_is_not_given_up_for_want_of_a_room_for_one(self) -> None:
        for cap in (1, 2, 3):
            settings = Settings((MessageClass(Effect.SAFE, 10**6, 10**7),), slots=1, open_cap=cap, max_attempts=1)
            with self.subTest(cap=cap):
                engine = DecisionEngine(settings, 1)
                engine.handle(0, [ListTold(ListKind.FULL, 1, (Listed(1, 7),))])
                actions = engine.handle(1, [Arrived(1, 0, 7, 10**7)])
                self.assertEqual([type(a) for a in actions if isinstance(a, Send | Refuse)], [Send])
                engine = DecisionEngine(settings, 1)
                actions = engine.handle(1, [Arrived(1, 0, 7, 10**7)])  # held: nobody to send to yet
                self.assertEqual([a for a in actions if isinstance(a, Refuse)], [])


class Sites(unittest.TestCase):
    """The two variants of a deployment have their sidecar files, and differ in what the code might take for granted."""

    def test_the_sidecar_files_are_there(self) -> None:
        folder = Path(__file__).parents[2] / "deploy" / "sites"
        self.assertEqual(sorted(path.name for path in folder.glob("*.toml")), ["five-fold.toml", "one-shot.toml"])
        for name in ("real.json", "wire.json"):
            self.assertTrue(json.loads((folder / name).read_text()))
        self.assertTrue((folder / "unlock.txt").read_text().startswith("unlock "))


if __name__ == "__main__":
    unittest.main()
