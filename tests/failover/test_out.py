"""How long what was taken over waits for its owner's last attempt to be off the wire."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from calicohitch.interface import Effect, MessageClass
from calicohitch.journal import Attempt, End, Entry, Journal, Origin
from calicohitch.net.relay import Relay

CLASSES = (
    MessageClass(Effect.KEYED, 2_500_000, 8_000_000, window=6_000_000),
    MessageClass(Effect.SAFE, 1_000_000, 4_000_000),
    MessageClass(Effect.UNSAFE, 2_500_000, 8_000_000),
)


def waits_until(cls: str, *attempts: Attempt, end: End | None = None) -> float:
    relay: Any = mock.Mock()
    relay._config.settings.classes = CLASSES
    relay._config.names.classes = ("keyed", "safe", "unsafe")
    relay._class_of = lambda entry: Relay._class_of(relay, entry)
    return Relay._out_until(relay, Entry(1, "m", cls, 1, 9_000.0, "k", b"", list(attempts), end))


class Out(unittest.TestCase):
    def test_by_class(self) -> None:
        out = Attempt(1_000.0, 0, until=3_000.0)
        long = Attempt(1_000.0, 0, until=20_000.0)
        over = Attempt(1_000.0, 0, may_have_run=False, settled=True, until=3_000.0)
        for cls, attempts, until in (
            ("safe", (out,), 3_000.0),
            ("safe", (long,), 9_000.0),
            ("safe", (over,), 0.0),
            ("safe", (), 0.0),
            ("keyed", (out,), 3_000.0),
            ("keyed", (over,), 0.0),
            ("keyed", (over, out), 3_000.0),
            # Its key is forgotten before the attempt is surely off the wire: it is given up then, not sent.
            ("keyed", (long,), 7_000.0),
            ("unsafe", (out,), 0.0),
        ):
            with self.subTest(cls=cls, attempts=attempts):
                self.assertEqual(waits_until(cls, *attempts), until)
        self.assertEqual(waits_until("safe", out, end=End(False)), 0.0)

    def test_a_second_successor_waits_as_the_first_did(self) -> None:
        """The owner stands still with a call on the wire; who took over dies in turn. What it journaled, and what it
        copied on, has to tell the next one until when that call may be out."""
        out = Attempt(1_000.0, 2, until=3_000.0)
        over = Attempt(900.0, 1, may_have_run=False, settled=True)
        told = Entry(
            1, "m", "safe", 1, 9_000.0, "k", b"body", [over, out], trace=b"trace", origin=Origin("owner", 3, 1)
        )
        ended = replace(told, id="n", end=End(True, 250.0))
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as holder:
            first, held = Journal(Path(folder), 3e6), Journal(Path(holder), 3e6)
            relay: Any = mock.Mock()
            relay._journal, relay._by_id, relay._adopting = first, {}, {}
            relay._config.names.classes = ("keyed", "safe", "unsafe")
            first.copier = lambda _number, payload, _over: held.append_replica(payload)
            numbers = Relay.adopt(relay, [told, ended])
            first.close()
            held.close()
            for place in (folder, holder):
                with self.subTest(copied=place == holder):
                    again = Journal(Path(place), 3e6)
                    self.assertEqual(
                        [again.entries[n] for n in numbers],
                        [replace(told, number=numbers[0]), replace(ended, number=numbers[1])],
                    )
                    self.assertEqual(waits_until("safe", *again.entries[numbers[0]].attempts), 3_000.0)
                    again.close()


if __name__ == "__main__":
    unittest.main()
