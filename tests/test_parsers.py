"""Tables of cases for the parsers of a relay: its configuration, discovery responses, headers, notices and notes."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import anyio
from world import SETTINGS, member, until

from calicohitch.config import Address, ConfigError, load, parse, reload
from calicohitch.interface import ListKind, Phase
from calicohitch.journal import End
from calicohitch.intake.submission import BadRequest, read_submission
from calicohitch.net.discovery import Directory, ListError
from calicohitch.net.endpoints import read_report, read_wait
from calicohitch.net.http import Request
from calicohitch.net.notices import Notice
from calicohitch.net.peers import Peers
from calicohitch.config.settings import Names

GOOD: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "state": "/run/state",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 1024, "disk_mb": 3},
    "settings": SETTINGS,
    "new": 1,
}


class Configuration(unittest.TestCase):
    def test_an_error_names_the_invalid_setting(self) -> None:
        cases: list[tuple[dict[str, Any], str]] = [
            ({"listen": None}, "listen must be HOST:PORT"),
            ({"listen": "127.0.0.1"}, "listen must be HOST:PORT"),
            ({"discovery": "127.0.0.1:99999"}, "discovery must be HOST:PORT"),
            ({"state": ""}, "NODE_STATE"),
            ({"settings": None}, "settings must be an object"),
            ({"settings": SETTINGS | {"family_info": {}}}, "settings.family_info.call_slots is missing"),
            (
                {"settings": SETTINGS | {"services": [SETTINGS["services"][0] | {"effect": "maybe"}]}},
                r"settings.services\[0\].effect must be one of safe, keyed, unsafe, not 'maybe'",
            ),
            (
                {"settings": SETTINGS | {"services": [SETTINGS["services"][0] | {"on_time": 25_000_000}]}},
                r"settings.services\[0\].on_time must be a number from 1 to 2.4e\+07, not 25000000",
            ),
            ({"settings": SETTINGS | {"caps": {"open_cap": 0, "send_cap": 8}}}, "open_cap"),
            ({"limits": {"sockets": "many"}}, "limits.sockets"),
            ({"limits": {"disk_mb": 0}}, "limits.disk_mb"),
            ({"peers": "x"}, "peers must be a list"),
            ({"seed": "zz"}, "seed"),
            ({"known": []}, "known"),
        ]
        for change, error in cases:
            with self.subTest(change=change), self.assertRaisesRegex(ConfigError, error):
                parse(GOOD | change)

    def test_settings_are_read_and_unknown_keys_are_ignored(self) -> None:
        config = parse(GOOD | {"peers": ["10.3.0.1:7946"], "peer_listen": "[::1]:7946"})
        self.assertEqual(config.seed, 0x8C1F30D27A5BE964)
        self.assertEqual((config.listen, str(config.peer_listen)), (Address("127.0.0.1", 8080), "[::1]:7946"))
        self.assertEqual(config.names, Names(("orders", "scores"), ("east", "west"), ("pubs",)))

    def test_the_environment_overrides_the_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(GOOD))
            env = {"NODE_CONFIG": str(path), "NODE_LISTEN": "127.0.0.1:1", "NODE_STATE": folder}
            config = load(env)
            self.assertEqual((config.listen.port, config.state), (1, Path(folder)))
            path.write_text(json.dumps(GOOD | {"discovery": "127.0.0.1:2"}))
            env["NODE_DISCOVERY"] = "127.0.0.1:3"  # ignored on a reload, since the file has changed this key
            reloaded = reload(config, env)
            self.assertEqual((reloaded.discovery.port, reloaded.listen.port), (2, 1))
            path.write_text("{")
            for invalid_env in ({}, env, {"NODE_CONFIG": folder}):
                with self.subTest(env=invalid_env), self.assertRaises(ConfigError):
                    load(invalid_env)


class DiscoveryResponses(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory(Names(("orders",), ("east", "west"), ("pubs",)))

    def read(self, *members: dict[str, Any], complete: bool = True) -> Any:
        return self.directory.read({"revision": 4, "complete": complete, "members": list(members)})

    def test_names_are_mapped_to_numbers(self) -> None:
        cases = [("east", "pubs", 0, 0), ("west", "inns", 1, 1), ("moon", None, 2, 1), (1, 0, 1, 0)]
        for zone, kind, zone_number, kind_number in cases:
            with self.subTest(zone=zone, kind=kind):
                item = member("127.0.0.1:1") | {"locality": zone, "flavor": kind, "up_since_ms": 5}
                (entry,) = self.read(item).entries
                self.assertEqual((entry.zone, entry.kind, entry.since), (zone_number, kind_number, 5_000))

    def test_an_id_keeps_its_number_when_its_address_changes(self) -> None:
        update = self.read(member("127.0.0.1:1", "s-1"), member("127.0.0.1:2", "s-2"))
        self.assertEqual(update.event().kind, ListKind.FULL)
        first = update.entries[0].endpoint
        moved = self.read(member("127.0.0.1:9", "s-1"), complete=False)
        self.assertEqual((moved.event().kind, moved.entries[0].endpoint), (ListKind.DELTA, first))
        known = self.directory.get(first)
        self.assertEqual(known and known.address, Address("127.0.0.1", 9))
        self.assertIsNotNone(self.directory.get(update.entries[1].endpoint))
        self.read(member("127.0.0.1:9", "s-1"))
        self.assertIsNone(self.directory.get(update.entries[1].endpoint))

    def test_a_gone_endpoint_is_forgotten(self) -> None:
        for number in range(200):
            self.read(member("127.0.0.1:1", f"s-{number}"), complete=False)
            self.read({"id": f"s-{number}", "phase": "Gone"}, {"id": "unheard", "phase": "Gone"}, complete=False)
        self.read(member("127.0.0.1:1", "s-1"))
        self.assertEqual((len(self.directory._members), len(self.directory._numbers)), (1, 1))
        self.assertTrue(self.directory.knows(7))
        self.assertFalse(self.directory.knows(8))

    def test_a_draining_or_gone_member_needs_its_id_and_phase_only(self) -> None:
        number = self.read(member("127.0.0.1:1")).entries[0].endpoint
        for phase, read in (("Terminating", Phase.DRAINING), ("Gone", Phase.GONE)):
            (entry,) = self.read({"id": "s-1", "phase": phase}, complete=False).entries
            self.assertEqual((entry.endpoint, entry.dest, entry.phase), (number, 7, read))

    def test_an_invalid_member_is_skipped(self) -> None:
        invalid = [{}, member("nowhere"), member("127.0.0.1:1", phase="Asleep"), member("1:1") | {"cell": "x"}, 7]
        self.assertEqual(len(self.read(*invalid, member("127.0.0.1:1")).entries), 1)  # type: ignore[arg-type]
        for response in ({}, [], None, {"revision": "x", "complete": True, "members": []}):
            with self.subTest(response=response), self.assertRaises(ListError):
                self.directory.read(response)


class Headers(unittest.TestCase):
    def test_load_reports(self) -> None:
        cases: list[tuple[bytes, tuple[float, ...]]] = [
            (b"x0=0.4,x1=25", (0.4, 25.0)),
            (b" x1=25 , x0=0.4", (0.4, 25.0)),
            (b"x0=0.4", ()),
            (b"x0=nan,x1=1", ()),
            (b"x0=a,x1=1", ()),
            (b"", ()),
            (b"=,=", ()),
        ]
        for text, report in cases:
            with self.subTest(text=text):
                self.assertEqual(read_report(text, ("x0", "x1")), report)

    def test_retry_after(self) -> None:
        cases = ((b"340", 340.0), (b"0.5", 0.5), (b"-1", 0.0), (b"", 0.0), (b"inf", 0.0), (b"x", 0.0))
        for text, wait in cases:
            with self.subTest(text=text):
                self.assertEqual(read_wait(text), wait)

    def test_submissions(self) -> None:
        headers = {b"req-id": b"a", b"req-deadline-ms": b"480", b"envelope": b"dest=7"}
        headers[b"req-retry"] = b"again"
        submission = read_submission(Request("POST", "/orders/x", headers, b""), ("scores", "orders"))
        self.assertEqual(
            (submission.class_index, submission.dest, submission.time_left, submission.key), (1, 7, 480, None)
        )
        self.assertTrue(submission.handed_in_again and submission.from_dead_relay)
        cases: list[tuple[dict[bytes, bytes], str, int]] = [
            ({b"envelope": b"a=1; dest=7"}, "POST", 0),
            ({b"envelope": b"dest=7.5"}, "POST", 400),
            ({}, "PUT", 405),
        ]
        for change, method, status in cases:
            with self.subTest(change=change, method=method):
                try:
                    read_submission(Request(method, "/orders", headers | change, b""), ("orders",))
                except BadRequest as err:
                    self.assertEqual(err.status, status)
                else:
                    self.assertEqual(status, 0)

    def test_notices(self) -> None:
        cases = [
            (End(False), '{"message":"a","outcome":"given_up"}'),
            (End(False, 9.0), '{"message":"a","outcome":"given_up"}'),
            (End(True), '{"message":"a","outcome":"handed_back"}'),
            (End(True, 499.6), '{"message":"a","outcome":"handed_back","retry_in_ms":500}'),
        ]
        for end, line in cases:
            with self.subTest(end=end):
                self.assertEqual(Notice(1, "a", end).line(), line)


class Notes(unittest.TestCase):
    def test_notes_of_unknown_senders_are_ignored(self) -> None:
        async def run() -> None:
            received: list[tuple[int, bytes]] = []

            def note(number: int, data: bytes) -> None:
                received.append((number, data))

            receiver = Peers(Address("127.0.0.1", 0), (), None, note)
            here = Address(*receiver._sock.getsockname())
            sender = Peers(Address("127.0.0.1", 0), (here,), here, note)
            stranger = Peers(Address("127.0.0.1", 0), (here,), None, note)
            receiver._numbers = {sender._sock.getsockname(): 3}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receiver.run)
                stranger.send(0, b"who")
                sender.send(0, bytes(257))  # too long to be sent
                sender.send(5, b"no such relay")
                sender.send(0, b"one")
                sender.send(None, b"all")
                await until(lambda: len(received) == 2)
                tasks.cancel_scope.cancel()
            self.assertEqual(received, [(3, b"one"), (3, b"all")])
            for peers in (receiver, sender, stranger):
                peers.close()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
