"""The gRPC codec, the status table, routes, peer limits and call history, without I/O."""

from __future__ import annotations

import unittest
from typing import Any

from google.protobuf import any_pb2, duration_pb2
from google.rpc import error_details_pb2, status_pb2
from hypothesis import given
from hypothesis import strategies as st

from calicohitch.core.call_history import CallHistory
from calicohitch.grpc.codec import (
    CodecError,
    Deframer,
    decode_binary,
    decode_message,
    encode_binary,
    encode_message,
    encode_timeout,
    frame,
    forwarded_metadata,
    parse_request,
    parse_timeout,
)
from calicohitch.grpc.health import answer
from calicohitch.grpc.routes import Route, Routes, clashes
from calicohitch.grpc.status import (
    Meaning,
    Status,
    interpret_status,
    status_of_http,
    parse_pushback,
    parse_retry_info,
    parse_status,
)
from calicohitch.interface import Outcome
from calicohitch.journal import Attempt, Entry
from calicohitch.wire.peer_limits import PeerAction, PeerLimiter


class Codec(unittest.TestCase):
    def test_timeouts(self) -> None:
        for text, ms in (
            (b"1H", 3_600_000.0),
            (b"2M", 120_000.0),
            (b"3S", 3_000.0),
            (b"4m", 4.0),
            (b"5u", 0.005),
            (b"6n", 6e-6),
            (b"99999999H", 10 * 365 * 86_400_000.0),
            (b"0m", 0.0),
        ):
            with self.subTest(text=text):
                self.assertEqual(parse_timeout(text), ms)
        for text in (b"", b"m", b"123456789m", b"1", b"1x", b"-1m", b"1.5S", b" 1m", b"1m "):
            with self.subTest(text=text), self.assertRaises(CodecError):
                parse_timeout(text)

    @given(st.floats(1e-6, 1e11))
    def test_an_encoded_timeout_never_exceeds_the_remaining_time(self, ms: float) -> None:
        parsed = parse_timeout(encode_timeout(ms))
        self.assertLessEqual(parsed, ms * (1 + 1e-9) + 1e-6)
        self.assertGreater(parsed, min(ms * 0.99, 9e12) - 1e-5)

    @given(st.text())
    def test_status_messages_round_trip(self, text: str) -> None:
        encoded = encode_message(text.encode("utf-8", "replace").decode())
        self.assertTrue(all(0x20 <= c <= 0x7E for c in encoded))
        self.assertEqual(decode_message(encoded), text.encode("utf-8", "replace").decode())

    def test_invalid_escapes_are_kept(self) -> None:
        for data, text in ((b"100%", "100%"), (b"%zz", "%zz"), (b"%4", "%4"), (b"%41%", "A%"), (b"%ff", "\ufffd")):
            self.assertEqual(decode_message(data), text)

    @given(st.lists(st.binary(max_size=40), max_size=8), st.lists(st.integers(1, 30), max_size=40))
    def test_messages_are_found_wherever_the_data_is_split(self, bodies: list[bytes], cuts: list[int]) -> None:
        data, deframer, found = b"".join(frame(body) for body in bodies), Deframer(40), []
        for cut in cuts:
            found += deframer.feed(data[:cut])
            data = data[cut:]
        found += deframer.feed(data)
        deframer.end()
        self.assertEqual([message[5:] for message in found], bodies)

    def test_invalid_prefixes_and_truncated_messages(self) -> None:
        for data, status in (
            (b"\x00\xff\xff\xff\xff", Status.RESOURCE_EXHAUSTED),
            (b"\x02\x00\x00\x00\x01", Status.INTERNAL),
        ):
            with self.subTest(data=data), self.assertRaises(CodecError) as caught:
                Deframer(1_000).feed(data)
            self.assertIs(caught.exception.status, status)
        cut = Deframer(10)
        cut.feed(b"\x00\x00\x00\x00\x05abc")
        with self.assertRaises(CodecError):
            cut.end()

    @given(st.binary(max_size=50))
    def test_binary_values(self, value: bytes) -> None:
        self.assertEqual(decode_binary(encode_binary(value)), [value])
        self.assertEqual(decode_binary(encode_binary(value) + b", " + encode_binary(b"x")), [value, b"x"])

    def test_requests(self) -> None:
        good = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", b"/a.B/C"),
            (b"content-type", b"application/grpc+proto"),
            (b"te", b"trailers"),
            (b"grpc-timeout", b"5S"),
            (b"x-y", b"z"),
            (b"traceparent", b"t"),
        ]
        parsed = parse_request(good)
        self.assertEqual((parsed.service, parsed.method, parsed.timeout_ms), ("a.B", "C", 5_000.0))
        self.assertEqual(forwarded_metadata(good), [(b"content-type", b"application/grpc+proto"), (b"x-y", b"z")])
        changes: list[tuple[bytes, bytes | None, Status]] = [
            (b":method", b"GET", Status.UNIMPLEMENTED),
            (b":path", b"/a", Status.UNIMPLEMENTED),
            (b":path", b"/a/b/c", Status.UNIMPLEMENTED),
            (b":path", None, Status.UNIMPLEMENTED),
            (b"content-type", b"text/plain", Status.INVALID_ARGUMENT),
            (b"content-type", b"application/grpcx", Status.INVALID_ARGUMENT),
            (b"content-type", None, Status.INVALID_ARGUMENT),
            (b"grpc-timeout", b"soon", Status.INVALID_ARGUMENT),
            (b"x-y", b"\x00", Status.INTERNAL),
            (b"x-y", b"\xff", Status.INTERNAL),
        ]
        for name, value, status in changes:
            headers = [(k, v if k != name else value) for k, v in good if k != name or value is not None]
            with self.subTest(name=name, value=value), self.assertRaises(CodecError) as caught:
                parse_request(headers)  # type: ignore[arg-type]
            self.assertIs(caught.exception.status, status)


class StatusTable(unittest.TestCase):
    def test_every_row(self) -> None:
        ok, error, full = Meaning(Outcome.OK, answered=True), Meaning(Outcome.ERROR), Meaning(Outcome.FULL)
        answers = {
            "OK",
            "INVALID_ARGUMENT",
            "NOT_FOUND",
            "ALREADY_EXISTS",
            "PERMISSION_DENIED",
            "FAILED_PRECONDITION",
            "OUT_OF_RANGE",
            "UNIMPLEMENTED",
            "UNAUTHENTICATED",
        }
        for status in Status:
            for answer_started in (False, True):
                if status.name in answers:
                    expected = ok
                elif status is Status.RESOURCE_EXHAUSTED and not answer_started:
                    expected = full
                else:
                    expected = error
                with self.subTest(status=status.name, answer_started=answer_started):
                    self.assertEqual(interpret_status(status, answer_started, None, None), expected)
        for status in (Status.RESOURCE_EXHAUSTED, Status.UNAVAILABLE):
            refused = Meaning(Outcome.FULL, wait=700.0)
            self.assertEqual(interpret_status(status, False, 700.0, None), refused)
            self.assertEqual(interpret_status(status, False, None, 700.0), refused)
            self.assertEqual(interpret_status(status, False, 700.0, 900.0), refused)
            self.assertEqual(interpret_status(status, True, 700.0, None), Meaning(Outcome.ERROR, wait=700.0))
            self.assertEqual(interpret_status(status, False, -1.0, 700.0), Meaning(Outcome.ERROR, answered=True))
            self.assertEqual(interpret_status(status, False, 1e12, None).wait, 3_600_000.0)
        # Only those two statuses carry a retry-after.
        self.assertEqual(interpret_status(Status.INTERNAL, False, 700.0, 700.0), error)

    def test_status_and_pushback_of_trailers(self) -> None:
        for text, status in (
            (b"0", Status.OK),
            (b"16", Status.UNAUTHENTICATED),
            (b"17", Status.UNKNOWN),
            (b"x", Status.UNKNOWN),
            (b"", Status.UNKNOWN),
            (None, Status.UNKNOWN),
            (b"-1", Status.UNKNOWN),
        ):
            self.assertIs(parse_status(text), status)
        for text, wait in (
            (None, None),
            (b"0", 0.0),
            (b"250", 250.0),
            (b"-1", -1.0),
            (b"soon", -1.0),
            (b"9" * 50, -1.0),
        ):
            self.assertEqual(parse_pushback(text), wait)
        self.assertEqual(
            [status_of_http(code) for code in (404, 503, 200)],
            [Status.UNIMPLEMENTED, Status.UNAVAILABLE, Status.UNKNOWN],
        )

    def test_retry_info(self) -> None:
        def details(*messages: Any) -> bytes:
            status = status_pb2.Status(code=8)
            for message in messages:
                packed = any_pb2.Any()
                packed.Pack(message)
                status.details.append(packed)
            return bytes(status.SerializeToString())

        info = error_details_pb2.RetryInfo(retry_delay=duration_pb2.Duration(seconds=1, nanos=500_000_000))
        other = error_details_pb2.ErrorInfo(reason="x")
        self.assertEqual(parse_retry_info(details(other, info)), 1_500.0)
        self.assertIsNone(parse_retry_info(details(other)))
        self.assertIsNone(parse_retry_info(b"\xff\xff\xff"))
        self.assertIsNone(parse_retry_info(b""))
        negative = error_details_pb2.RetryInfo(retry_delay=duration_pb2.Duration(seconds=-1))
        self.assertIsNone(parse_retry_info(details(negative)))


class RoutesLimitsAndHistory(unittest.TestCase):
    def test_routes(self) -> None:
        routes = Routes((Route("a.B", "C", 0, 7), Route("a.B", "*", 1, None, "dest")))
        base = [(b":method", b"POST"), (b"content-type", b"application/grpc")]

        def find(path: bytes, *more: tuple[bytes, bytes]) -> Any:
            return routes.find(parse_request([*base, (b":path", path), *more]))

        self.assertEqual((find(b"/a.B/C").dest, find(b"/a.B/C").route.class_index), (7, 0))
        self.assertEqual(find(b"/a.B/D", (b"dest", b"9"), (b"req-id", b"r1")).id, "r1")
        for path, more, status in (
            (b"/a.X/C", (), Status.UNIMPLEMENTED),
            (b"/a.B/D", (), Status.INVALID_ARGUMENT),
            (b"/a.B/D", ((b"dest", b"x"),), Status.INVALID_ARGUMENT),
            (b"/a.B/C", ((b"req-id", b"a b"),), Status.INVALID_ARGUMENT),
            (b"/a.B/C", ((b"req-id", b"a"), (b"req-id", b"b")), Status.INVALID_ARGUMENT),
        ):
            with self.subTest(path=path, more=more), self.assertRaises(CodecError) as caught:
                find(path, *more)
            self.assertIs(caught.exception.status, status)
        self.assertEqual(clashes((Route("a", "b", 0, 1), Route("a", "b", 1, 2), Route("a", "c", 0, 1))), ["/a/b"])

    def test_peer_limits_recover_slowly(self) -> None:
        limiter = PeerLimiter()
        self.assertEqual([limiter.exceeds_limit(PeerAction.PING, 0.0) for _ in range(21)], [False] * 20 + [True])
        fresh = PeerLimiter()
        # Two a second are allowed without end.
        self.assertFalse(any(fresh.exceeds_limit(PeerAction.PING, n * 500.0) for n in range(1_000)))
        self.assertFalse(any(fresh.exceeds_limit(PeerAction.RESET, 0.0) for _ in range(100)))
        # A clock that steps back does not reduce the count.
        self.assertTrue(fresh.exceeds_limit(PeerAction.RESET, -5.0))

    def test_a_call_is_kept_in_the_history_until_it_expires(self) -> None:
        def entry(number: int, deadline: float, *attempts: Attempt) -> Entry:
            return Entry(number, f"e{number}", "orders", 7, deadline, "k", b"x", list(attempts))

        history = CallHistory(2)
        ran, never = Attempt(1_000.0, 0), Attempt(1_000.0, 0, may_have_run=False)
        self.assertEqual(history.remember(entry(1, 2_000.0, never), 6_000.0, 1_500.0), [1])
        self.assertEqual(history.remember(entry(2, 2_000.0, ran), 6_000.0, 1_500.0), [])
        known = history.recall("e2")
        assert known
        self.assertEqual((known.number, known.body), (2, b""))
        self.assertEqual((history.expired(6_999.0), history.expired(7_000.0)), ([], [2]))
        self.assertIsNone(history.recall("e2"))
        self.assertEqual([history.remember(entry(n, 9_000.0 + n, ran), 0.0, 0.0) for n in (3, 4, 5)], [[], [], [3]])
        history.forget("e4")
        self.assertEqual((len(history), history.expired(99_999.0)), (1, [5]))

    def test_health(self) -> None:
        for body, serving, expected in (
            (b"", True, b"\x08\x01"),
            (frame(b""), False, b"\x08\x02"),
            (frame(b"\x0a\x03a.B"), True, b"\x08\x01"),
            (frame(b"\x0a\x03a.C"), True, None),
            (frame(b"\x0a\xff"), True, b"\x08\x01"),
        ):
            self.assertEqual(answer(body, {"a.B"}, serving), expected)


if __name__ == "__main__":
    unittest.main()
