"""The common answer is read as h11 reads it, or left to h11."""

from __future__ import annotations

import unittest
from typing import Any

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from fake_servers.against_h11 import cut_about, read_by

from calicohitch.net.answer import read
from calicohitch.net.head import Look

USUAL = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: x0=0.4\r\nX: y\r\n\r\nbody"
PIECES = st.sampled_from(
    [
        b"\r\n",
        b"\n",
        b":",
        b" ",
        b"\0",
        b"\x80",
        b"",
        b"0",
        b"9",
        b"HTTP/1.0",
        b"204",
        b"304",
        b"100",
        b"429",
        b"Connection: close\r\n",
        b"Connection: keep-alive\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"X:\r\n",
        b" f\r\n",
        b"\r\n\r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 04\r\n",
        b"Upgrade: h2c\r\n",
    ]
)


def by_h11(data: bytes) -> tuple[Any, ...] | str:
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="POST", target="/", headers=[(b"Host", b"x"), (b"Content-Length", b"0")]))
    connection.send(h11.EndOfMessage())
    found = read_by(connection, data)
    if isinstance(found, str):
        return found
    head, body = found
    reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
    return (head.status_code, dict(head.headers), body) if reusable else "closes"


class Answers(unittest.TestCase):
    @settings(max_examples=2_000, deadline=None, derandomize=True)
    @given(cut_about(USUAL, PIECES))
    def test_what_is_read_here_h11_reads_alike(self, data: bytes) -> None:
        found = read(data, 1_000)
        if not isinstance(found, Look):
            self.assertEqual(found, by_h11(data))

    def test_the_usual_ones_are_read(self) -> None:
        for data in (
            USUAL,
            USUAL.replace(b"200 OK", b"429"),
            USUAL.replace(b"X: y", b"Connection: keep-alive"),
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.assertEqual(read(data, 1_000), by_h11(data))
                self.assertIs(read(data[:-1], 1_000), Look.SHORT)
        self.assertIs(read(USUAL, 3), Look.UNCOMMON)


if __name__ == "__main__":
    unittest.main()
