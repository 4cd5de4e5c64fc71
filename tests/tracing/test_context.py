"""W3C Trace Context: the malformed forms of the recommendation, and whatever else may come."""

from __future__ import annotations

import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from calicohitch.tracing.context import Fault, TraceContext, derived, read, story_of

TRACE, SPAN = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
GOOD = f"00-{TRACE}-{SPAN}-01"


def told(*parents: str, state: tuple[str, ...] = ()) -> tuple[TraceContext | None, Fault | None]:
    headers = [(b"traceparent", p.encode("latin-1")) for p in parents]
    return read([*headers, *((b"tracestate", s.encode("latin-1")) for s in state)])


class Parent(unittest.TestCase):
    def test_forms(self) -> None:
        cases: list[tuple[str, Fault | None]] = [
            (GOOD, None),
            (f" {GOOD}\t", None),
            (f"00-{TRACE}-{SPAN}-00", None),
            (f"00-{TRACE}-{SPAN}-ff", None),
            (f"cc-{TRACE}-{SPAN}-01", None),  # a later version
            (f"cc-{TRACE}-{SPAN}-01-what-the-future-will-be-like", None),
            (f"cc-{TRACE}-{SPAN}-01.what-the-future-will-not-be-like", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN}-01-", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN}-01.", Fault.MALFORMED),
            (f"ff-{TRACE}-{SPAN}-01", Fault.VERSION),
            (f"00-{'0' * 32}-{SPAN}-01", Fault.ZERO),
            (f"00-{TRACE}-{'0' * 16}-01", Fault.ZERO),
            (f"00-{TRACE.upper()}-{SPAN}-01", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN.upper()}-01", Fault.MALFORMED),
            (f"00-{TRACE[:-1]}-{SPAN}-01", Fault.MALFORMED),
            (f"00-{TRACE}0-{SPAN}-01", Fault.MALFORMED),
            (f"00-{TRACE[:-1]}.-{SPAN}-01", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN[:-1]}-01", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN}-1", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN}-.1", Fault.MALFORMED),
            (f"00-{TRACE}-{SPAN}", Fault.MALFORMED),
            (f"0-{TRACE}-{SPAN}-01", Fault.MALFORMED),
            (f".0-{TRACE}-{SPAN}-01", Fault.MALFORMED),
            (f"00_{TRACE}_{SPAN}_01", Fault.MALFORMED),
            ("", Fault.MALFORMED),
            ("x" * 70_000, Fault.MALFORMED),
            (GOOD + "\n", Fault.MALFORMED),
            (f"{GOOD},{GOOD}", Fault.MALFORMED),
        ]
        for text, fault in cases:
            with self.subTest(text=text[:80]):
                found, why = told(text)
                self.assertEqual(why, fault)
                self.assertEqual(found is None, fault is not None)
                if found:
                    self.assertEqual((found.trace_id.hex(), found.span_id.hex()), (TRACE, SPAN))
        self.assertEqual(told(), (None, None))
        self.assertEqual(told(GOOD, GOOD), (None, Fault.DUPLICATE))
        self.assertEqual(told(state=("a=1",)), (None, None))  # a state without a parent is nothing


class State(unittest.TestCase):
    def test_forms(self) -> None:
        many = [f"v{n}={n}" for n in range(33)]
        cases: list[tuple[tuple[str, ...], str, Fault | None]] = [
            ((), "", None),
            (("",), "", None),
            (("foo=1,bar=2",), "foo=1,bar=2", None),
            (("foo=1", "bar=2"), "foo=1,bar=2", None),  # several headers are one list
            (("foo=1 \t , \t bar=2, ,",), "foo=1,bar=2", None),
            (("foo=bar=baz",), "", Fault.STATE),
            (("foo",), "", Fault.STATE),
            (("foo =1",), "", Fault.STATE),
            (("FOO=1",), "", Fault.STATE),
            (("foo=",), "", Fault.STATE),
            (("foo=1,foo=2",), "", Fault.STATE),
            (("foo@=1",), "", Fault.STATE),
            (("@foo=1",), "", Fault.STATE),
            (("foo@@bar=1",), "", Fault.STATE),
            (("fo0@vendor=1",), "fo0@vendor=1", None),
            ((f"{'z' * 256}=1",), f"{'z' * 256}=1", None),
            ((f"{'z' * 257}=1",), "", Fault.STATE),
            ((f"{'t' * 242}@v=1",), "", Fault.STATE),
            ((f"t@{'v' * 15}=1",), "", Fault.STATE),
            (("foo=\x00",), "", Fault.STATE),
            (("foo=caf\xe9",), "", Fault.STATE),
            ((",".join(many[:32]),), ",".join(many[:32]), None),
            ((",".join(many),), "", Fault.STATE),
            (("a=1," * 3_000,), "", Fault.STATE),
        ]
        for state, passed_on, fault in cases:
            with self.subTest(state=str(state)[:80]):
                found, why = told(GOOD, state=state)
                assert found  # the parent is kept whatever the state is
                self.assertEqual((found.state, why), (passed_on, fault))

    def test_a_state_that_is_too_long_loses_its_long_members_first_and_then_the_last(self) -> None:
        long = f"long={'x' * 150}"
        small = [f"s{n}={'y' * 60}" for n in range(9)]
        found, _ = told(GOOD, state=(",".join([long, *small]),))
        assert found
        self.assertEqual(found.state, ",".join(small[:8]))


class Whatever(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from([b"traceparent", b"tracestate"]), st.binary(max_size=120))))
    def test_reading_never_fails_and_what_goes_on_is_valid(self, headers: list[tuple[bytes, bytes]]) -> None:
        self.check(headers)

    @given(st.text("0123456789abcdefg-", max_size=60), st.lists(st.from_regex(r"[a-z@]{1,4}=[ -~]{1,9}"), max_size=5))
    def test_near_misses(self, parent: str, states: list[str]) -> None:
        self.check([(b"traceparent", (GOOD[:30] + parent).encode()), (b"tracestate", ",".join(states).encode())])

    def check(self, headers: list[tuple[bytes, bytes]]) -> None:
        found, _ = read(headers)
        if found:
            self.assertRegex(found.traceparent(), r"\A00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-0[0-3]\Z")
            self.assertLessEqual(len(found.state), 512)
            self.assertIsNone(re.search(r"[^ -~]", found.state))

    def test_derived_ids_differ_by_seed_and_name_and_are_stable(self) -> None:
        made = {derived(seed, what, 8) for seed in (b"a", b"b") for what in ("x", "y")}
        self.assertEqual(len(made), 4)
        self.assertEqual(story_of("k1"), story_of("k1"))
        self.assertNotEqual(story_of("k1"), story_of("k2"))


if __name__ == "__main__":
    unittest.main()
