"""W3C Trace Context: what is read from a client's headers, and what an endpoint is told. No I/O.

Source: the W3C recommendation "Trace Context" (level 1, with the random flag of level 2). A reader who breaks
one of its rules loses the trace, never the message: what cannot be read is treated as absent.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

try:  # hashlib loads OpenSSL as well, half a megabyte, for a function that it takes from here
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

SAMPLED, RANDOM = 0x01, 0x02
_KNOWN_FLAGS = SAMPLED | RANDOM
_PARENT = re.compile(rb"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?", re.DOTALL)
_KEY = re.compile(r"[a-z][a-z0-9_\-*/]{0,255}|[a-z0-9][a-z0-9_\-*/]{0,240}@[a-z][a-z0-9_\-*/]{0,13}")
_VALUE = re.compile(r"[\x20-\x2b\x2d-\x3c\x3e-\x7e]{0,255}[\x21-\x2b\x2d-\x3c\x3e-\x7e]")
_MOST_MEMBERS = 32
_MOST_STATE = 512  # characters of tracestate that are passed on: what the recommendation asks for at least
_LONG_MEMBER = 128  # members longer than this go first where the state is too long
_MOST_READ = 8_192  # a longer tracestate is not looked at


class Fault(Enum):
    """Why a context was not taken from a client; each is counted."""

    MALFORMED = "malformed"
    DUPLICATE = "duplicate"
    ZERO = "all-zero"
    VERSION = "version ff"
    STATE = "tracestate malformed"


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Where a message stands in a trace: ids as raw bytes (16 and 8), the flags, the vendors' state as text."""

    trace_id: bytes
    span_id: bytes
    flags: int = 0
    state: str = ""

    @property
    def sampled(self) -> bool:
        return bool(self.flags & SAMPLED)

    def traceparent(self) -> str:
        return traceparent(self.trace_id, self.span_id, self.flags)


def traceparent(trace_id: bytes, span_id: bytes, flags: int) -> str:
    return f"00-{trace_id.hex()}-{span_id.hex()}-{flags & _KNOWN_FLAGS:02x}"


def read(headers: Iterable[tuple[bytes, bytes]]) -> tuple[TraceContext | None, Fault | None]:
    """The context in a request's headers (names in lower case), and what was wrong with it, if anything was.
    A broken `tracestate` is dropped and its `traceparent` kept; without a usable `traceparent` it is nothing."""
    parents, states = [], []
    for name, value in headers:
        if name == b"traceparent":
            parents.append(value)
        elif name == b"tracestate":
            states.append(value)
    if not parents:
        return None, None
    if len(parents) > 1:
        return None, Fault.DUPLICATE
    found = _read_parent(parents[0].strip(b" \t"))
    if isinstance(found, Fault):
        return None, found
    state = _read_state(states)
    if state is None:
        return found, Fault.STATE
    return TraceContext(found.trace_id, found.span_id, found.flags, state), None


def _read_parent(text: bytes) -> TraceContext | Fault:
    match = _PARENT.fullmatch(text)
    if match is None:
        return Fault.MALFORMED
    version, trace_id, span_id, flags, more = match.groups()
    if version == b"ff":
        return Fault.VERSION
    if more and version == b"00":  # only a later version may have further fields
        return Fault.MALFORMED
    if not trace_id.strip(b"0") or not span_id.strip(b"0"):
        return Fault.ZERO
    known = int(flags, 16) & _KNOWN_FLAGS
    return TraceContext(bytes.fromhex(trace_id.decode()), bytes.fromhex(span_id.decode()), known)


def _read_state(values: list[bytes]) -> str | None:
    """The members of all `tracestate` headers in their order, "" without any, None where one is malformed."""
    if sum(map(len, values)) > _MOST_READ:
        return None
    members: dict[str, str] = {}
    for text in b",".join(values).split(b","):
        member = text.strip(b" \t").decode("latin-1")
        if not member:
            continue
        key, equals, value = member.partition("=")
        if not (equals and _KEY.fullmatch(key) and _VALUE.fullmatch(value)) or key in members:
            return None
        members[key] = value
        if len(members) > _MOST_MEMBERS:
            return None
    return _within([f"{key}={value}" for key, value in members.items()])


def _within(members: list[str]) -> str:
    """Members that fit into what is passed on: long ones go first, then the last, which changed longest ago."""
    over = len(",".join(members)) - _MOST_STATE
    for member in [m for m in reversed(members) if len(m) > _LONG_MEMBER]:
        if over > 0:
            members.remove(member)
            over -= len(member) + 1
    while members and len(",".join(members)) > _MOST_STATE:
        members.pop()
    return ",".join(members)


def derived(seed: bytes, what: str, size: int) -> bytes:
    """An id of `size` bytes that every life and every relay derives alike; never all-zero."""
    made: bytes = blake2b(what.encode(), key=seed[:64], digest_size=size, person=b"calicohitch").digest()
    return made if any(made) else b"\x01".rjust(size, b"\0")


def story_of(key: str) -> bytes:
    """The trace id of a message whose client sent no context but has a key. The key comes again when the
    message does, at whichever relay, so that both lives are found under one id without a word between them."""
    return derived(b"story", key, 16)
