"""A request is read alike whatever the pieces in which it comes, and within limits of memory and work."""

from __future__ import annotations

import time
import tracemalloc
import unittest

import h11
from fake_servers.against_h11 import cut_about, read_by
from hypothesis import given, settings
from hypothesis import strategies as st
from intake.test_head import PIECES, TYPICAL_REQUEST

from calicohitch.intake.request_reader import MAX_FIELDS, MAX_HEAD_BYTES, Complete, RequestReader, RequestRejected
from calicohitch.net.http import MAX_BODY
from calicohitch.net.server_exchange import MAX_EVENTS_PER_POLL, Progress, ServerExchange

CHUNKED = (
    b"POST /orders HTTP/1.1\r\nHost: r\r\nReq-Id: a1\r\nReq-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\n"
    b"Envelope: dest=7\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def read_in_pieces(data: bytes, sizes: list[int]) -> Complete | int | None:
    """The request, the status of a rejection, or None where more has to come."""
    reader = RequestReader()
    parsed, at, n = None, 0, 0
    try:
        while parsed is None and at < len(data):
            size = sizes[n % len(sizes)] if sizes else len(data)
            reader.receive(data[at : at + size])
            at, n = at + size, n + 1
            parsed = poll(reader)
    except RequestRejected as err:
        return err.status
    return parsed


def poll(reader: RequestReader) -> Complete | None:
    while (parsed := reader.poll()) is None and reader.has_work:
        pass
    return parsed


class AsH11(unittest.TestCase):
    @settings(max_examples=1_000, deadline=None, derandomize=True)
    @given(
        cut_about(TYPICAL_REQUEST, PIECES) | cut_about(CHUNKED + b"4\r\nbody\r\n0\r\n\r\n", PIECES),
        st.lists(st.integers(1, 40), max_size=5),
    )
    def test_a_request_in_pieces_is_read_as_h11_reads_it_whole(self, data: bytes, sizes: list[int]) -> None:
        expected = read_by(h11.Connection(h11.SERVER), data)
        found = read_in_pieces(data, sizes)
        if not isinstance(expected, str):
            head, body = expected
            if b"content-length" in dict(head.headers) and b"transfer-encoding" in dict(head.headers):
                self.assertEqual(found, 400)
                return
            assert found is not None and not isinstance(found, int), (found, expected)
            self.assertEqual(
                (found.request.method.encode(), list(found.request.raw), found.request.body),
                (head.method, list(head.headers), body),
            )
        elif expected == "broken":
            self.assertIn(found, (None, 400, 413, 431, 501))

    def test_more_than_one_request_at_a_time_is_refused(self) -> None:
        for request in (TYPICAL_REQUEST, CHUNKED + b"4\r\nbody\r\n0\r\n\r\n"):
            for more in (b"G", b"\r\n", request * 20):
                self.assertEqual(read_in_pieces(request + more, []), 400)


class Limits(unittest.TestCase):
    def test_fields(self) -> None:
        allowed = b"".join(b"x%d: 1\r\n" % n for n in range(MAX_FIELDS - 1))
        request = b"GET / HTTP/1.1\r\nHost: r\r\n%s\r\n"
        self.assertNotIsInstance(read_in_pieces(request % allowed, []), int | None)
        for sizes in ([], [7], [1_000]):
            self.assertEqual(read_in_pieces(request % (allowed + b"y: 1\r\n"), sizes), 431)
            self.assertEqual(read_in_pieces(request % (b"a:\r\n" * 15_000), sizes), 431)

    def test_fields_are_refused_before_the_head_ends(self) -> None:
        self.assertEqual(read_in_pieces(b"GET / HTTP/1.1\r\nHost: r\r\n" + b"a:\r\n" * 101, []), 431)

    def test_a_head(self) -> None:
        for data in (b"GET /" + b"a" * MAX_HEAD_BYTES, b"GET / HTTP/1.1\r\nHost: r\r\nx: %s\r\n\r\n" % (b"a" * 20_000)):
            for sizes in ([], [100]):
                self.assertEqual(read_in_pieces(data, sizes), 431)

    def test_bytes_that_start_no_request(self) -> None:
        for data in (b"\0", b"\r\n", b"\x16\x03\x01\x02\0\x01"):
            self.assertEqual(read_in_pieces(data, []), 400)

    def test_a_body(self) -> None:
        for size, expected in ((MAX_BODY, None), (MAX_BODY + 1, 413)):
            request = b"POST /a HTTP/1.1\r\nHost: r\r\nContent-Length: %d\r\n\r\n" % size
            self.assertEqual(read_in_pieces(request, []), expected)
        chunks = (b"1000\r\n" + b"a" * 4096 + b"\r\n") * 16
        self.assertNotIsInstance(read_in_pieces(CHUNKED + chunks + b"0\r\n\r\n", [999]), int | None)
        self.assertEqual(read_in_pieces(CHUNKED + chunks + b"1\r\na\r\n", [999]), 413)

    def test_chunks_of_few_bytes(self) -> None:
        few = b"1\r\nx\r\n" * 100 + b"0\r\n\r\n"
        self.assertNotIsInstance(read_in_pieces(CHUNKED + few, [50]), int | None)
        self.assertEqual(read_in_pieces(CHUNKED + b"1\r\nx\r\n" * 1_000, [50]), 400)
        small = (b"10\r\n" + b"x" * 16 + b"\r\n") * 4_096 + b"0\r\n\r\n"
        self.assertNotIsInstance(read_in_pieces(CHUNKED + small, [5_000]), int | None)

    def test_an_end_in_the_middle(self) -> None:
        reader = RequestReader()
        reader.receive(TYPICAL_REQUEST[:50])
        with self.assertRaises(RequestRejected) as refused:
            reader.receive(b"")
        self.assertEqual(refused.exception.status, 400)


class Work(unittest.TestCase):
    def test_one_call_handles_a_bounded_number_of_events(self) -> None:
        exchange = ServerExchange()
        exchange.receive_head(CHUNKED)
        exchange.receive((b"10\r\n" + b"x" * 16 + b"\r\n") * 4_000)
        polls = 0
        while exchange.poll() is Progress.HAS_WORK:
            polls += 1
        self.assertGreaterEqual(polls, 2_000 // MAX_EVENTS_PER_POLL)

    def test_the_work_for_a_body_in_pieces_grows_with_its_size_and_not_with_the_square_of_it(self) -> None:
        """Bytes that are copied or searched are counted by time: sixteen times the pieces, far less than 256 times."""
        head = TYPICAL_REQUEST.replace(b"Content-Length: 4", b"Content-Length: 65536").removesuffix(b"body")
        took = []
        for pieces in (500, 8_000):
            started = time.process_time()
            self.assertIsNone(read_in_pieces(head + b"x" * 8 * pieces, [8]))
            took.append(time.process_time() - started)
        self.assertLess(took[1], 64 * took[0])

    def test_what_a_request_holds_is_counted_at_what_it_takes(self) -> None:
        fields = b"".join(b"x%d:\r\n" % n for n in range(MAX_FIELDS - 6))
        for head in (TYPICAL_REQUEST.removesuffix(b"\r\nbody"), CHUNKED.removesuffix(b"\r\n")):
            data = head.replace(b"Content-Length: 4", b"Content-Length: 60000") + fields + b"\r\n"
            tracemalloc.start()
            readers = []
            for _ in range(100):
                reader = RequestReader()
                reader.receive(bytes(bytearray(data)))
                self.assertIsNone(poll(reader))
                readers.append(reader)
            taken = tracemalloc.get_traced_memory()[0] / len(readers)
            tracemalloc.stop()
            counted = readers[0].held_bytes
            self.assertLess(taken, counted * 1.5 + 1_000, (taken, counted))


if __name__ == "__main__":
    unittest.main()
