"""The common answer is read as h11 reads it, or left to h11."""

from __future__ import annotations

import unittest
from typing import Any

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from calicohitch.net.answer import Look, read

USUAL = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: x0=0.4\r\nX: y\r\n\r\nbody"
PIECES = st.sampled_from([b"\r\n", b"\n", b":", b" ", b"\0", b"\x80", b"", b"0", b"9", b"HTTP/1.0", b"204", b"304",
    b"100", b"429", b"Connection: close\r\n", b"Connection: keep-alive\r\n", b"Transfer-Encoding: chunked\r\n",
    b"X:\r\n", b" f\r\n",
    b"\r\n\r\n", b"Content-Length: 4\r\n", b"Content-Length: 5\r\n", b"Content-Length: 04\r\n", b"Upgrade: h2c\r\n"])


def by_h11(data: bytes) -> tuple[Any, ...] | str:
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="POST", target="/", headers=[(b"Host", b"x"), (b"Content-Length", b"0")]))
    connection.send(h11.EndOfMessage())
    head, body = None, b""
    try:
        connection.receive_data(data)
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return "short"
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return "over"
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
    except h11.RemoteProtocolError:
        return "broken"
    if head is None or connection.trailing_data[0]:
        return "more"
    reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
    return (head.status_code, dict(head.headers), body) if reusable else "closes"


@st.composite
def answers(draw: Any) -> bytes:
    data = USUAL
    for _ in range(draw(st.integers(0, 3))):
        ends = [n + 2 for n in range(len(data)) if data[n : n + 2] == b"\r\n"]
        at = draw(st.sampled_from(ends) if ends and draw(st.booleans()) else st.integers(0, len(data)))
        data = data[:at] + draw(PIECES | st.binary(max_size=3)) + data[at + draw(st.integers(0, 3)) :]
    return data[: draw(st.integers(0, len(data)))] if draw(st.integers(0, 9)) == 0 else data


class Answers(unittest.TestCase):
    @settings(max_examples=2_000, deadline=None, derandomize=True)
    @given(answers())
    def test_what_is_read_here_h11_reads_alike(self, data: bytes) -> None:
        found = read(data, 1_000)
        if not isinstance(found, Look):
            self.assertEqual(found, by_h11(data))

    def test_the_usual_ones_are_read(self) -> None:
        for data in (USUAL, USUAL.replace(b"200 OK", b"429"), USUAL.replace(b"X: y", b"Connection: keep-alive"),
                     b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"):
            with self.subTest(data=data):
                self.assertEqual(read(data, 1_000), by_h11(data))
                self.assertIs(read(data[:-1], 1_000), Look.SHORT)
        self.assertIs(read(USUAL, 3), Look.UNCOMMON)


if __name__ == "__main__":
    unittest.main()
