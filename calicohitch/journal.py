"""What a relay has taken on, in files that outlast its process.

Records are appended, each with its length and checksum, and each is written before the act that it speaks of.
Files are small segments; the oldest goes once none of the messages taken on in it is open, and since messages
live for seconds, nothing is ever compacted.
"""

from __future__ import annotations

import json
import os
import struct
import zlib
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path

_FRAME = struct.Struct(">II")  # length and checksum of what follows
_HEAD = struct.Struct(">BQ")  # kind of record, message
_TAKEN = struct.Struct(">dH")  # deadline, length of the JSON before the body
_ATTEMPT = struct.Struct(">HdH")  # attempt, time sent, zone
_OUTCOME = struct.Struct(">HB")  # attempt, whether it may have run
_END = struct.Struct(">Bd")  # handed back or given up, advice
_BLOCK = 512  # the platform counts each file in whole blocks of this size
_AFTERWARDS = 640  # bytes kept free for each open message: eight attempts, their outcomes, its end
_SHARE = 0.7  # of the disk that the journal uses at most; the rest is a margin
_LARGEST = 1 << 20  # a longer record can only be damage


class JournalFull(Exception):
    """The record was not written, and nothing of it is left on disk."""


class _Kind(IntEnum):
    TAKEN = 1
    ATTEMPT = 2
    OUTCOME = 3
    END = 4
    CLOSED = 5
    CALL = 7  # like TAKEN, of a client's open call, whose body is not kept: a reader that does not know it skips it
    TRACE = 6  # opaque to the journal; a reader that does not know it skips it


@dataclass(slots=True)
class Attempt:
    """One attempt at a message; until its outcome is known it may have run."""

    sent_at: float
    zone: int
    may_have_run: bool = True
    settled: bool = False  # its outcome is known


@dataclass(frozen=True, slots=True)
class End:
    """The decided end of an undelivered message; `retry_in` is advice in milliseconds, 0 for none."""

    handed_back: bool
    retry_in: float = 0.0


@dataclass(slots=True)
class Entry:
    """A message that was taken on, as far as the journal knows it."""

    number: int
    id: str
    class_name: str
    dest: int
    deadline: float
    key: str | None
    body: bytes
    attempts: list[Attempt] = field(default_factory=list)
    end: End | None = None
    trace: bytes = b""
    call: bool = False  # its client's call was open: a later life remembers what was tried, and does not try itself


@dataclass(slots=True)
class _Segment:
    path: Path
    size: int = 0
    open: int = 0

    def on_disk(self) -> int:
        return -(-self.size // _BLOCK) * _BLOCK


class Journal:
    """The journal of one relay. `entries` holds what an earlier life left open, after the start."""

    def __init__(self, folder: Path, disk_bytes: float) -> None:
        self._budget = int(disk_bytes * _SHARE)
        self._roll_at = max(4096, min(128 << 10, self._budget // 16))
        self._folder = folder
        self._segments: deque[_Segment] = deque()
        self._home: dict[int, _Segment] = {}  # open message -> the segment that it was taken on in
        self._fd = -1
        self.entries: dict[int, Entry] = {}
        self.next_number = 1
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(folder.glob("journal-*.log")):
            self._load(path)
        self._drop_oldest()

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def used(self) -> int:
        return sum(segment.on_disk() for segment in self._segments)

    def has_room(self, body: int) -> bool:
        """Whether one more message can be taken on, with room left for what follows of all open ones."""
        later = _AFTERWARDS * (len(self._home) + 1)
        return self.used() + later + body + 2 * _BLOCK < self._budget

    def taken(self, entry: Entry) -> None:
        text = json.dumps([entry.id, entry.class_name, entry.dest, entry.key]).encode()
        data = _TAKEN.pack(entry.deadline, len(text)) + text + (b"" if entry.call else entry.body)
        trace = self._record(_Kind.TRACE, entry.number, entry.trace) if entry.trace else b""
        segment = self._append(_Kind.CALL if entry.call else _Kind.TAKEN, entry.number, data, trace)
        self._home[entry.number] = segment
        segment.open += 1
        self.next_number = max(self.next_number, entry.number + 1)

    def attempt(self, number: int, attempt: int, sent_at: float, zone: int) -> None:
        self._append(_Kind.ATTEMPT, number, _ATTEMPT.pack(attempt, sent_at, zone))

    def outcome(self, number: int, attempt: int, may_have_run: bool) -> None:
        self._append(_Kind.OUTCOME, number, _OUTCOME.pack(attempt, may_have_run))

    def end(self, number: int, end: End) -> None:
        self._append(_Kind.END, number, _END.pack(end.handed_back, end.retry_in))

    def closed(self, number: int) -> None:
        """Nothing more is owed: it was delivered, is over elsewhere, or its notice was acknowledged."""
        if number in self._home:
            self._append(_Kind.CLOSED, number, b"")
            self._forget(number)
            self._drop_oldest()

    def _forget(self, number: int) -> None:
        self._home.pop(number).open -= 1
        self.entries.pop(number, None)

    @staticmethod
    def _record(kind: _Kind, number: int, data: bytes) -> bytes:
        payload = _HEAD.pack(kind, number) + data
        return _FRAME.pack(len(payload), zlib.crc32(payload)) + payload

    def _append(self, kind: _Kind, number: int, data: bytes, behind: bytes = b"") -> _Segment:
        """Write a record, and what goes with it in the same write; all of it or nothing."""
        record = self._record(kind, number, data) + behind
        try:
            if self._fd < 0 or 0 < self._segments[-1].size > self._roll_at - len(record):
                self._roll()
            segment = self._segments[-1]
            written = os.write(self._fd, record)
        except OSError as err:
            raise JournalFull(str(err)) from err
        if written < len(record):  # a full disk; half a record would hide all that follows it
            os.ftruncate(self._fd, segment.size)
            raise JournalFull("the disk is full")
        segment.size += len(record)
        return segment

    def _roll(self) -> None:
        last = int(self._segments[-1].path.stem.rpartition("-")[2]) if self._segments else 0
        path = self._folder / f"journal-{last + 1:08d}.log"
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_TRUNC, 0o600)
        self.close()
        self._fd = fd
        self._segments.append(_Segment(path))

    def _drop_oldest(self) -> None:
        while self._segments and not self._segments[0].open and (len(self._segments) > 1 or self._fd < 0):
            self._segments.popleft().path.unlink(missing_ok=True)

    def _load(self, path: Path) -> None:
        """Read a segment up to the first record that is not whole, and cut off the rest."""
        data, at = path.read_bytes(), 0
        segment = _Segment(path)
        self._segments.append(segment)
        while at + _FRAME.size <= len(data):
            length, checksum = _FRAME.unpack_from(data, at)
            payload = data[at + _FRAME.size : at + _FRAME.size + length]
            whole = _HEAD.size <= length <= _LARGEST and len(payload) == length
            if not whole or zlib.crc32(payload) != checksum:
                break
            at += _FRAME.size + length
            self._replay(payload, segment)
        if at < len(data):
            os.truncate(path, at)
        segment.size = at

    def _replay(self, payload: bytes, segment: _Segment) -> None:
        kind, number = _HEAD.unpack_from(payload)
        rest = payload[_HEAD.size :]
        self.next_number = max(self.next_number, number + 1)
        if kind in (_Kind.TAKEN, _Kind.CALL):
            deadline, length = _TAKEN.unpack_from(rest)
            start = _TAKEN.size + length
            wire_id, class_name, dest, key = json.loads(rest[_TAKEN.size : start])
            self.entries[number] = Entry(
                number, wire_id, class_name, dest, deadline, key, rest[start:], call=kind == _Kind.CALL)
            self._home[number] = segment
            segment.open += 1
        elif (entry := self.entries.get(number)) is None:
            return  # of a message that is over, whose segment is gone
        elif kind == _Kind.ATTEMPT:
            attempt, sent_at, zone = _ATTEMPT.unpack(rest)
            while len(entry.attempts) < attempt:  # one that could not be written was not made
                entry.attempts.append(Attempt(sent_at, zone, may_have_run=False, settled=True))
            entry.attempts.append(Attempt(sent_at, zone))
        elif kind == _Kind.OUTCOME:
            attempt, may_have_run = _OUTCOME.unpack(rest)
            if attempt < len(entry.attempts):
                entry.attempts[attempt].may_have_run = bool(may_have_run)
                entry.attempts[attempt].settled = True
        elif kind == _Kind.END:
            handed_back, retry_in = _END.unpack(rest)
            entry.end = End(bool(handed_back), retry_in)
        elif kind == _Kind.TRACE:
            entry.trace = rest
        elif kind == _Kind.CLOSED:
            self._forget(number)
