"""The parser for the common request reads it as h11 does, or leaves it to h11."""

from __future__ import annotations

import unittest
from typing import Any

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from fake_servers.against_h11 import cut_about, read_by

from calicohitch.intake.head import Common, answer, read
from calicohitch.net.head import LONGEST_HEAD, Look
from calicohitch.net.http import MAX_BODY

TYPICAL_REQUEST = (
    b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: a1\r\nReq-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 4\r\nEnvelope: dest=7\r\n\r\nbody"
)


def parse_by_h11(data: bytes) -> tuple[Any, ...] | str:
    """How h11 parses the bytes: the one complete request, or a word that says why there is none."""
    connection = h11.Connection(h11.SERVER)
    found = read_by(connection, data)
    if isinstance(found, str):
        return found
    head, body = found
    connection.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
    connection.send(h11.EndOfMessage())
    return head.method, head.target, list(head.headers), body, connection.our_state is h11.MUST_CLOSE


def fields_as_h11(found: Common) -> tuple[Any, ...]:
    request = found.request
    target = request.path.encode() + (b"?" + request.query.encode() if request.query else b"")
    return request.method.encode(), target, list(request.raw), request.body, found.close


PIECES = st.sampled_from(
    [
        b"\r\n",
        b"\n",
        b"\r",
        b":",
        b" ",
        b"\t",
        b"\0",
        b"\x80",
        b"?",
        b"",
        b"0",
        b"5",
        b"-",
        b"HTTP/1.0",
        b"GET",
        b"PUT",
        b"Connection: close\r\n",
        b"connection: Keep-Alive\r\n",
        b"Connection: close, x\r\n",
        b"Host: s\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"X: y\r\n",
        b"X:\r\n",
        b" folded\r\n",
        b"\r\n\r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length: 04\r\n",
        b"Content-Length: +4\r\n",
    ]
)


class RequestParsing(unittest.TestCase):
    @settings(max_examples=2_000, deadline=None, derandomize=True)
    @given(cut_about(TYPICAL_REQUEST, PIECES))
    def test_a_request_that_is_parsed_here_is_parsed_alike_by_h11(self, data: bytes) -> None:
        parsed, expected = read(data), parse_by_h11(data)
        if isinstance(parsed, Common):
            self.assertEqual(fields_as_h11(parsed), expected)
        elif parsed is Look.SHORT:  # h11 waits as well, or its error is answered at the request timeout
            self.assertIn(expected, ("short", "broken"))

    def test_typical_requests_are_common_and_unusual_ones_are_left_to_h11(self) -> None:
        common = [
            TYPICAL_REQUEST,
            b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n",
            TYPICAL_REQUEST.replace(b"Host", b"Connection: close\r\nHost"),
            TYPICAL_REQUEST.replace(b"/orders", b"/orders?a=1"),
            TYPICAL_REQUEST.replace(b"Host: r", b"hOST:\t r \t"),
        ]
        for data in common:
            with self.subTest(data=data):
                parsed = read(data)
                assert isinstance(parsed, Common)
                self.assertEqual(fields_as_h11(parsed), parse_by_h11(data))
                self.assertIs(read(data[:-1]), Look.SHORT)
        uncommon = [
            TYPICAL_REQUEST + b"x",
            TYPICAL_REQUEST.replace(b"Host: r\r\n", b""),
            TYPICAL_REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"),
            TYPICAL_REQUEST.replace(b"Host", b"Expect: 100-continue\r\nHost"),
            b"PUT" + TYPICAL_REQUEST[4:],
            b"\r\n" + TYPICAL_REQUEST,
            TYPICAL_REQUEST.replace(b"Host", b"Req-Id: a2\r\nHost"),
            TYPICAL_REQUEST.replace(b"length: 4", b"Length: 65537"),
            TYPICAL_REQUEST.replace(b"Length: 4", b"Length: %d" % (MAX_BODY + 1)),
            TYPICAL_REQUEST.replace(b"r\r\n", b"r\n", 1),
            b"POST /" + b"a" * LONGEST_HEAD,
            TYPICAL_REQUEST.replace(b"a1", b"a\xe91"),
        ]
        for data in uncommon:
            with self.subTest(data=data[:80]):
                if data != TYPICAL_REQUEST:
                    self.assertIs(read(data), Look.UNCOMMON)

    def test_responses_are_written_as_by_h11(self) -> None:
        for status, headers, body, close in ((202, [], b"", False), (503, [(b"Retry-After", b"1")], b"busy", True)):
            connection = h11.Connection(h11.SERVER)
            connection.receive_data(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
            connection.next_event()
            from http import HTTPStatus

            h11_headers = [
                *headers,
                (b"Content-Length", b"%d" % len(body)),
                *([(b"Connection", b"close")] if close else []),
            ]
            parts = [
                connection.send(
                    h11.Response(status_code=status, headers=h11_headers, reason=HTTPStatus(status).phrase)
                ),
                connection.send(h11.Data(data=body)),
                connection.send(h11.EndOfMessage()),
            ]
            self.assertEqual(answer(status, headers, body, close), b"".join(part for part in parts if part))


if __name__ == "__main__":
    unittest.main()
