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
from calicohitch.net.http import MAX_BODY, Response, ResponseReader

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


class Limits(unittest.TestCase):
    """Of responses that h11 parses, since an endpoint or an agent must not hold the event loop either."""

    def parse(self, data: bytes, size: int = 64 << 10) -> Response | None:
        reader, response = ResponseReader(MAX_BODY), None
        for start in range(0, len(data), size):
            reader.receive(data[start : start + size], 1.0)
            response = reader.parse(data[start : start + size])
        return response

    def test_a_head_that_comes_whole_is_limited_as_one_that_does_not(self) -> None:
        for size in (64 << 10, 1_000):
            with self.assertRaises(h11.RemoteProtocolError):
                self.parse(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 10_000 + b"Content-Length: 0\r\n\r\n", size)

    def test_chunks(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for size in (64 << 10, 100):
            with self.assertRaises(ConnectionResetError):
                self.parse(head + b"1\r\nx\r\n" * 1_000, size)
            whole = self.parse(head + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n", size)
            self.assertEqual(whole and whole.body, b"x" * 100)

    def test_what_follows_a_response_counts_as_trailing_whatever_its_size(self) -> None:
        response = b"HTTP/1.1 200 OK\r\nConnection: x\r\nContent-Length: 2\r\n\r\nhi"
        reader = ResponseReader(MAX_BODY)
        self.assertIsNotNone(reader.parse(response + b"y" * 10_000))
        self.assertEqual((len(reader.trailing), reader.clean), (10_000, False))

    def test_the_status_line_behind_an_interim_response_is_kept(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: " + b"x" * 4_040 + b"\r\n\r\n"
        for pad in range(60):
            reader, data = ResponseReader(MAX_BODY), interim.replace(b"x", b"xx", pad) + b"HTTP/1.1 200 OK\r\n"
            reader.receive(data, 1.0)
            reader.parse(data)
            self.assertEqual(reader.first_bytes, b"HTTP/1.1 200 OK\r\n")


if __name__ == "__main__":
    unittest.main()
