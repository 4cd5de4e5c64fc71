"""Which client connection is shed."""

from __future__ import annotations

import socket
import unittest

from calicohitch.intake.request_reader import RequestReader
from calicohitch.intake.sessions import ClientSession, SessionTable

NOW = 100.0


class ToShed(unittest.TestCase):
    def setUp(self) -> None:
        self.table = SessionTable()

    def session(self, group: str, age_s: float, source: str = "known", reads: bool = False, sent: bool = False) -> str:
        """Add a connection; `reads`: a part of its request was read; `sent`: something is unread. Its name."""
        ours, client = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(client.close)
        ours.setblocking(False)
        session = ClientSession(ours, source, NOW - age_s, reader=RequestReader() if reads else None)
        if sent:
            client.send(b"x")
        getattr(self.table, group)[session] = None
        return f"{group} {age_s}"

    def order(self) -> list[str]:
        """The names of all that may be shed, in their order."""
        names = []
        while session := self.table.to_shed(NOW, lambda _source: 1.0, lambda source: source == "known"):
            (group,) = [
                name for name in ("fresh", "kept", "begun", "lingering") if session in getattr(self.table, name)
            ]
            names.append(f"{group} {NOW - session.since:g}")
            self.table.remove(session)
        return names

    def test_the_order(self) -> None:
        self.session("fresh", 0.01)
        self.session("kept", 3)
        self.session("fresh", 0.02, "stranger")
        self.session("begun", 0.2, reads=True)
        self.session("kept", 2, "stranger")
        self.session("begun", 0.4, reads=True)
        self.session("fresh", 0.5)
        self.session("lingering", 0.1)
        self.assertEqual(
            self.order(),
            ["lingering 0.1", "fresh 0.5", "begun 0.4", "kept 2", "begun 0.2", "fresh 0.02", "kept 3", "fresh 0.01"],
        )

    def test_who_is_not_shed(self) -> None:
        self.session("fresh", 1.0, sent=True)  # its request may be whole
        self.session("kept", 1.0, sent=True)
        self.session("fresh", 0.05, reads=True)  # its request has just begun
        self.session("begun", 0.05, reads=True)
        self.assertEqual(self.order(), [])


if __name__ == "__main__":
    unittest.main()
