"""The adapter to the simulator: it reads and writes binary frames, with one `DecisionEngine` for each relay.

It converts between frames and the types of `interface.py` and makes no decisions. An invalid frame ends the process
with one line on standard error and a non-zero exit status; an exception of a decision engine is reported by a `broken`
record with its text. All numbers in frames are big-endian.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable, Iterator
from typing import BinaryIO

from . import interface as i
from .decisions import DecisionEngine
from .config.settings import settings_from

_EVENT_BYTES, _ACTION_BYTES, _ENTRY_BYTES = 48, 24, 22  # sizes of one record
_OPEN, _LIST, _KILLED, _CATALOG = 16, 17, 25, 26  # codes of the records that `Link` handles itself
_ENTRY = struct.Struct(">HBBIfHQ")
_ALL_PEERS = 0xFFFF  # in place of the number of a peer
_MAX_U32, _MAX_U64 = 0xFFFFFFFF, 0xFFFFFFFFFFFFFFFF


class WireError(Exception):
    """An invalid frame."""


def _slice(tail: bytes, offset: int, length: int) -> bytes:
    """The part of a frame's tail that a record refers to; WireError where it exceeds the tail."""
    if offset + length > len(tail):
        raise WireError("a field points past the end of its frame")
    return tail[offset : offset + length]


def _report(rec: bytes, offset: int) -> tuple[float, ...]:
    """A load report: the number of its values, then room for four of them."""
    return struct.unpack_from(">4f", rec, offset + 1)[: rec[offset]]


def _arrived(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, cls, tenant, key, time_left, work, dest, flags = struct.unpack_from(">IHIQIIfB", rec, 5)
    hint, resubmitted, orphan = work if flags & 1 else 0, bool(flags & 2), bool(flags & 16)
    return i.Arrived(message, cls, int(dest), time_left, tenant, key, hint, resubmitted, orphan)


def _flowing(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, endpoint, took, attempt = struct.unpack_from(">IIIH", rec, 5)
    return i.Flowing(message, attempt, endpoint, took)


def _settled(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, attempt, endpoint, code, took, ended, detail = struct.unpack_from(">IHIBIBI", rec, 5)
    outcome = i.Outcome(code)
    wait = detail * 1_000 if outcome is i.Outcome.FULL else 0
    slots_taken = outcome is i.Outcome.MOOT and detail == 1
    report = _report(rec, 25)
    return i.Settled(message, attempt, endpoint, outcome, took, bool(ended), wait, slots_taken, report)


def _withdrawn(rec: bytes, _tail_bytes: bytes) -> i.Event:
    return i.Withdrawn(*struct.unpack_from(">I", rec, 5))


def _rang(rec: bytes, _tail_bytes: bytes) -> i.Event:
    return i.Rang(*struct.unpack_from(">Q", rec, 5))


def _probed(rec: bytes, _tail_bytes: bytes) -> i.Event:
    code, endpoint, took = struct.unpack_from(">BII", rec, 5)
    return i.Probed(endpoint, i.Outcome(code), took, _report(rec, 14))


def _peer_said(rec: bytes, tail: bytes) -> i.Event:
    peer, offset, length = struct.unpack_from(">HII", rec, 5)
    return i.PeerSaid(peer, _slice(tail, offset, length))


_EVENTS: dict[int, Callable[[bytes, bytes], i.Event]] = {
    18: _arrived,
    19: _flowing,
    20: _settled,
    21: _withdrawn,
    22: _rang,
    23: _probed,
    24: _peer_said,
}


def _entries(tail: bytes, offset: int, count: int) -> tuple[i.Listed, ...]:
    raw = _slice(tail, offset, count * _ENTRY_BYTES)
    return tuple(
        i.Listed(endpoint, dest, i.Phase(phase), kind, zone, weight, since)
        for zone, phase, kind, endpoint, weight, dest, since in _ENTRY.iter_unpack(raw)
    )


class Link:
    """All relays of one adapter process. They share nothing but the numbered catalogs of endpoints."""

    def __init__(self, make: Callable[[i.Settings, int], DecisionEngine] = DecisionEngine) -> None:
        self._make = make
        self._engines: dict[int, DecisionEngine] = {}
        self._catalogs: dict[int, tuple[i.Listed, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch of events; `frame` is without its length field. Raises WireError if it is invalid."""
        if len(frame) < 12:
            raise WireError("a frame is shorter than its header")
        now, count = struct.unpack_from(">QI", frame)
        end = 12 + count * _EVENT_BYTES
        if end > len(frame):
            raise WireError("a frame holds fewer records than it counts")
        tail = frame[end:]
        reply = _Reply()
        pending: dict[int, list[i.Event]] = {}
        for offset in range(12, end, _EVENT_BYTES):
            rec = frame[offset : offset + _EVENT_BYTES]
            try:
                self._read_record(rec, tail, pending)
            except (ValueError, KeyError, OverflowError, struct.error) as err:
                raise WireError(f"an event record cannot be read: {err!r}") from err
        for relay in list(pending):
            self._handle(relay, now, pending, reply)
        return reply.frame()

    def _read_record(self, rec: bytes, tail: bytes, pending: dict[int, list[i.Event]]) -> None:
        """Applies a record to the catalogs and engines, or adds its event to the pending ones of its relay."""
        code = rec[0]
        if code == _CATALOG:
            catalog, offset, count = struct.unpack_from(">HII", rec, 1)
            self._catalogs[catalog] = _entries(tail, offset, count)
            return
        (relay,) = struct.unpack_from(">I", rec, 1)
        if code == _OPEN:
            seed, offset, length = struct.unpack_from(">QII", rec, 5)
            pending.pop(relay, None)
            try:
                settings = settings_from(json.loads(_slice(tail, offset, length)))
            except (ValueError, KeyError, TypeError, AttributeError) as err:
                raise WireError(f"settings cannot be read: {err!r}") from err
            self._engines[relay] = self._make(settings, seed)
            pending[relay] = []
        elif code == _KILLED:
            self._engines.pop(relay, None)
            pending.pop(relay, None)
        elif code == _LIST:
            scope, version, catalog = struct.unpack_from(">BIH", rec, 5)
            kind = i.ListKind(scope)
            entries = () if kind is i.ListKind.FAILED else self._catalogs[catalog]
            pending.setdefault(relay, []).append(i.ListTold(kind, version, entries))
        elif code in _EVENTS:
            pending.setdefault(relay, []).append(_EVENTS[code](rec, tail))
        else:
            raise WireError(f"event code {code} is not known")

    def _handle(self, relay: int, now: int, pending: dict[int, list[i.Event]], reply: _Reply) -> None:
        engine = self._engines.get(relay)
        if engine is None:
            raise WireError(f"an event names courier {relay}, which is not open")
        try:
            for action in engine.handle(now, pending[relay]):
                reply.add(relay, action)
        except Exception as err:
            reply.add_text(25, relay, f"{type(err).__name__}: {err}")


class _Reply:
    """A reply that is being built: records, and the tail that they refer to."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _put(self, layout: str, *values: int) -> None:
        self._records.append(struct.pack(">" + layout, *values).ljust(_ACTION_BYTES, b"\0"))

    def add_text(self, code: int, relay: int, text: str) -> None:
        data = text.encode()
        self._put("BIII", code, relay, len(self._tail), len(data))
        self._tail += data

    def add(self, relay: int, action: i.Action) -> None:
        match action:
            case i.Send(message, endpoint, timeout):
                self._put("BIIII", 16, relay, message, endpoint, min(timeout, _MAX_U32))
            case i.Refuse(message, retry_after):
                self._put("BIII", 17, relay, message, min(retry_after, _MAX_U32))
            case i.Fail(message):
                self._put("BII", 18, relay, message)
            case i.Cancel(message, attempt):
                self._put("BIIH", 19, relay, message, attempt)
            case i.SetTimer(delay, token):
                self._put("BIIQ", 20, relay, min(delay, _MAX_U32), token & _MAX_U64)
            case i.Probe(endpoint):
                self._put("BII", 21, relay, endpoint)
            case i.CloseIdle(endpoint):
                self._put("BII", 22, relay, endpoint)
            case i.Tell(peer, data):
                target = _ALL_PEERS if peer is None else peer
                self._put("BIHII", 23, relay, target, len(self._tail), len(data))
                self._tail += data
            case i.Log(text):
                self.add_text(24, relay, text)
            case i.Watch(on):
                self._put("BIB", 26, relay, int(on))
            case i.Fetch():
                self._put("BI", 27, relay)

    def frame(self) -> bytes:
        body = struct.pack(">I", len(self._records)) + b"".join(self._records) + bytes(self._tail)
        return struct.pack(">I", len(body)) + body


def frames(source: BinaryIO) -> Iterator[bytes]:
    """The frames of `source`, without their length fields, until it ends. Raises WireError if it ends in a frame."""
    while head := source.read(4):
        if len(head) < 4:
            raise WireError("input ends inside a frame's length")
        (length,) = struct.unpack(">I", head)
        body = source.read(length)
        if len(body) < length:
            raise WireError("input ends inside a frame")
        yield body


def main() -> int:
    """Serves frames on standard input and output; returns the exit status."""
    link = Link()
    try:
        for frame in frames(sys.stdin.buffer):
            sys.stdout.buffer.write(link.answer(frame))
            sys.stdout.buffer.flush()
    except WireError as err:
        print(f"benchlink: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
