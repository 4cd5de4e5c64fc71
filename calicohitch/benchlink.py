"""The simulator's wire: frames in, frames out, one DecisionEngine for each instance.

It translates and decides nothing. A frame that cannot be read ends the process with one line on standard
error and a non-zero exit; an exception in the decisions is reported as `broken` with its text.
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

_EVENT, _ACTION, _ENTRY = 48, 24, 22
_OPEN, _LIST, _KILLED, _CATALOG = 16, 17, 25, 26
_LISTED = struct.Struct(">HBBIfHQ")
_NO_PEER = 0xFFFF
_U32, _U64 = 0xFFFFFFFF, 0xFFFFFFFFFFFFFFFF


class WireError(Exception):
    """A frame that no simulator should send."""


def _tail(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points past the end of its frame")
    return tail[offset : offset + length]


def _report(rec: bytes, at: int) -> tuple[float, ...]:
    return struct.unpack_from(">4f", rec, at + 1)[: rec[at]]


def _arrived(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, cls, tenant, key, left, work, dest, marks = struct.unpack_from(">IHIQIIfB", rec, 5)
    hint, again, orphan = work if marks & 1 else 0, bool(marks & 2), bool(marks & 16)
    return i.Arrived(message, cls, int(dest), left, tenant, key, hint, again, orphan)


def _flowing(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, endpoint, took, attempt = struct.unpack_from(">IIIH", rec, 5)
    return i.Flowing(message, attempt, endpoint, took)


def _settled(rec: bytes, _tail_bytes: bytes) -> i.Event:
    message, attempt, endpoint, reason, took, ended, note = struct.unpack_from(">IHIBIBI", rec, 5)
    outcome = i.Outcome(reason)
    wait = note * 1_000 if outcome is i.Outcome.FULL else 0
    slots_taken = outcome is i.Outcome.MOOT and note == 1
    said = _report(rec, 25)
    return i.Settled(message, attempt, endpoint, outcome, took, bool(ended), wait, slots_taken, said)


def _withdrawn(rec: bytes, _tail_bytes: bytes) -> i.Event:
    return i.Withdrawn(*struct.unpack_from(">I", rec, 5))


def _rang(rec: bytes, _tail_bytes: bytes) -> i.Event:
    return i.Rang(*struct.unpack_from(">Q", rec, 5))


def _probed(rec: bytes, _tail_bytes: bytes) -> i.Event:
    reason, endpoint, took = struct.unpack_from(">BII", rec, 5)
    return i.Probed(endpoint, i.Outcome(reason), took, _report(rec, 14))


def _peer_said(rec: bytes, tail: bytes) -> i.Event:
    peer, offset, length = struct.unpack_from(">HII", rec, 5)
    return i.PeerSaid(peer, _tail(tail, offset, length))


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
    raw = _tail(tail, offset, count * _ENTRY)
    return tuple(
        i.Listed(endpoint, dest, i.Phase(phase), kind, zone, weight, since)
        for zone, phase, kind, endpoint, weight, dest, since in _LISTED.iter_unpack(raw)
    )


class Link:
    """All instances of one adapter process: they share the numbered catalogs and nothing else."""

    def __init__(self, make: Callable[[i.Settings, int], DecisionEngine] = DecisionEngine) -> None:
        self._make = make
        self._engines: dict[int, DecisionEngine] = {}
        self._catalogs: dict[int, tuple[i.Listed, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch; `frame` comes without its length field."""
        if len(frame) < 12:
            raise WireError("a frame is shorter than its header")
        now, count = struct.unpack_from(">QI", frame)
        end = 12 + count * _EVENT
        if end > len(frame):
            raise WireError("a frame holds fewer records than it counts")
        tail = frame[end:]
        reply = _Reply()
        waiting: dict[int, list[i.Event]] = {}
        for at in range(12, end, _EVENT):
            rec = frame[at : at + _EVENT]
            try:
                self._take(rec, tail, waiting)
            except (ValueError, KeyError, OverflowError, struct.error) as err:
                raise WireError(f"an event record cannot be read: {err!r}") from err
        for courier in list(waiting):
            self._flush(courier, now, waiting, reply)
        return reply.frame()

    def _take(self, rec: bytes, tail: bytes, waiting: dict[int, list[i.Event]]) -> None:
        code = rec[0]
        if code == _CATALOG:
            bank, offset, count = struct.unpack_from(">HII", rec, 1)
            self._catalogs[bank] = _entries(tail, offset, count)
            return
        (courier,) = struct.unpack_from(">I", rec, 1)
        if code == _OPEN:
            seed, offset, length = struct.unpack_from(">QII", rec, 5)
            waiting.pop(courier, None)
            try:
                settings = settings_from(json.loads(_tail(tail, offset, length)))
            except (ValueError, KeyError, TypeError, AttributeError) as err:
                raise WireError(f"settings cannot be read: {err!r}") from err
            self._engines[courier] = self._make(settings, seed)
            waiting[courier] = []
        elif code == _KILLED:
            self._engines.pop(courier, None)
            waiting.pop(courier, None)
        elif code == _LIST:
            scope, version, bank = struct.unpack_from(">BIH", rec, 5)
            kind = i.ListKind(scope)
            entries = () if kind is i.ListKind.FAILED else self._catalogs[bank]
            waiting.setdefault(courier, []).append(i.ListTold(kind, version, entries))
        elif code in _EVENTS:
            waiting.setdefault(courier, []).append(_EVENTS[code](rec, tail))
        else:
            raise WireError(f"event code {code} is not known")

    def _flush(self, courier: int, now: int, waiting: dict[int, list[i.Event]], reply: _Reply) -> None:
        engine = self._engines.get(courier)
        if engine is None:
            raise WireError(f"an event names courier {courier}, which is not open")
        try:
            for action in engine.handle(now, waiting[courier]):
                reply.add(courier, action)
        except Exception as err:
            reply.add_text(25, courier, f"{type(err).__name__}: {err}")


class _Reply:
    """One reply under way: records, and the tail that they point into."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _put(self, layout: str, *values: int) -> None:
        self._records.append(struct.pack(">" + layout, *values).ljust(_ACTION, b"\0"))

    def add_text(self, code: int, courier: int, text: str) -> None:
        data = text.encode()
        self._put("BIII", code, courier, len(self._tail), len(data))
        self._tail += data

    def add(self, courier: int, action: i.Action) -> None:
        match action:
            case i.Send(message, endpoint, timeout):
                self._put("BIIII", 16, courier, message, endpoint, min(timeout, _U32))
            case i.Refuse(message, retry_after):
                self._put("BIII", 17, courier, message, min(retry_after, _U32))
            case i.Fail(message):
                self._put("BII", 18, courier, message)
            case i.Cancel(message, attempt):
                self._put("BIIH", 19, courier, message, attempt)
            case i.SetTimer(delay, token):
                self._put("BIIQ", 20, courier, min(delay, _U32), token & _U64)
            case i.Probe(endpoint):
                self._put("BII", 21, courier, endpoint)
            case i.CloseIdle(endpoint):
                self._put("BII", 22, courier, endpoint)
            case i.Tell(peer, data):
                to = _NO_PEER if peer is None else peer
                self._put("BIHII", 23, courier, to, len(self._tail), len(data))
                self._tail += data
            case i.Log(text):
                self.add_text(24, courier, text)
            case i.Watch(on):
                self._put("BIB", 26, courier, int(on))
            case i.Fetch():
                self._put("BI", 27, courier)

    def frame(self) -> bytes:
        body = struct.pack(">I", len(self._records)) + b"".join(self._records) + bytes(self._tail)
        return struct.pack(">I", len(body)) + body


def frames(source: BinaryIO) -> Iterator[bytes]:
    """Frames of `source`, without their length fields, until it ends."""
    while head := source.read(4):
        if len(head) < 4:
            raise WireError("input ends inside a frame's length")
        (length,) = struct.unpack(">I", head)
        body = source.read(length)
        if len(body) < length:
            raise WireError("input ends inside a frame")
        yield body


def main() -> int:
    """Serve the wire on standard input and output."""
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
