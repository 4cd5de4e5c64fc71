"""A fuzz test against h11: the fast parser of responses gives the result of h11, or leaves the response to it."""

from __future__ import annotations

import unittest
from typing import Any

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from fake_servers.against_h11 import cut_about, read_by

from calicohitch.net.answer import read
from calicohitch.net.head import Look

COMMON = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: x0=0.4\r\nX: y\r\n\r\nbody"
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


def parsed_by_h11(data: bytes) -> tuple[Any, ...] | str:
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="POST", target="/", headers=[(b"Host", b"x"), (b"Content-Length", b"0")]))
    connection.send(h11.EndOfMessage())
    parsed = read_by(connection, data)
    if isinstance(parsed, str):
        return parsed
    head, body = parsed
    reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
    return (head.status_code, dict(head.headers), body) if reusable else "closes"


class Responses(unittest.TestCase):
    @settings(max_examples=2_000, deadline=None, derandomize=True)
    @given(cut_about(COMMON, PIECES))
    def test_parsed_responses_are_equal_to_those_of_h11(self, data: bytes) -> None:
        parsed = read(data, 1_000)
        if not isinstance(parsed, Look):
            self.assertEqual(parsed, parsed_by_h11(data))

    def test_common_responses_are_parsed(self) -> None:
        for data in (
            COMMON,
            COMMON.replace(b"200 OK", b"429"),
            COMMON.replace(b"X: y", b"Connection: keep-alive"),
            b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.assertEqual(read(data, 1_000), parsed_by_h11(data))
                self.assertIs(read(data[:-1], 1_000), Look.SHORT)
        self.assertIs(read(COMMON, 3), Look.UNCOMMON)


if __name__ == "__main__":
    unittest.main()
