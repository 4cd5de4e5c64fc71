"""The journal of accepted messages, in files that outlast the process.

Records are appended, each with its length and checksum, and each is written before the act that it describes.
Files are small segments. The oldest is deleted once none of the messages accepted in it is open; since messages live
for seconds, nothing is ever compacted. Where a clock is given, it is kept until the deadlines of its messages have
passed as well, as long as there is room, so that a later incarnation knows their ids.

A record that cannot be written is either refused or queued. An accepted message or an attempt is refused, and the act
does not take place. An outcome, an end or a close has already happened: its record is queued, and pending records are
written in order, before any other, as soon as the disk accepts writes.

Each segment starts with the time at which it was created, by the clock that its times refer to and by the machine's
monotonic clock, so that a later incarnation can convert them to its own clock even if the wall clock was set meanwhile.

A damaged range of a segment costs the records in it and nothing else (`recovery/repair.py`). Messages that were open
there are `doubtful`: an attempt, or an end, may be missing. A damaged segment is quarantined once it is no longer
needed.
"""

from __future__ import annotations

import json
import math
import os
import re
import struct
import zlib
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from enum import IntEnum
from pathlib import Path
from typing import TypeVar

from .clock import Clock
from .core.files import write_all
from .core.system_errors import Retry, Step, trouble
from .recovery import clocks
from .recovery.clocks import Moment, between
from .recovery.problems import FolderNewer, FolderProblem
from .recovery.repair import FRAME, Lost, Record, records

FORMAT = 2  # format 1 had no headers; a reader of format 1 skips them
_HEAD = struct.Struct(">BQ")  # kind of record, number of the message
_TAKEN = struct.Struct(">dH")  # deadline, length of the JSON before the body
_ATTEMPT = struct.Struct(">HdH")  # attempt, time sent, zone
_UNTIL = struct.Struct(">Hd")  # attempt, time until which it may be in progress
_OUTCOME = struct.Struct(">HB")  # attempt, whether it may have run
_END = struct.Struct(">Bd")  # whether it is refused (else failed), advised retry delay in ms
_HEADER = struct.Struct(">HQI")  # format, incarnation, number of the segment; then _MOMENT and the boot id
_MOMENT = struct.Struct(">dd")  # by the clock that all times of the segment refer to, and by the monotonic clock
_BLOCK_BYTES = 512  # the platform's disk accounting counts each file in whole blocks of this size
_RESERVE_PER_MESSAGE_BYTES = 640  # for each open message: eight attempts, their outcomes, its end
DISK_SHARE = 0.7  # upper bound of the share of the disk that the journal uses; the rest is a margin
_STAMP_INTERVAL_MS = 15_000.0  # after so long without a record the next one begins a segment, whose header has the time
_SEGMENT = re.compile(r"journal-(\d{8,18})\.log")
_RETAINED_SHARE = 0.5  # of the journal's disk budget, above which segments without open messages are not kept
_QUARANTINE_PREFIX = "damaged-"  # of the name of a segment that is quarantined for inspection
_MAX_QUARANTINED_FILES, _QUARANTINE_SHARE = 4, 0.05  # share: of the journal's disk budget


class JournalFull(Exception):
    """The record was not written, and nothing of it is left on disk: the disk is full or failing, or another process
    owns the folder."""


class _Kind(IntEnum):
    TAKEN = 1
    ATTEMPT = 2
    OUTCOME = 3
    END = 4
    CLOSED = 5
    CALL = 7  # like TAKEN, for a client's open call, without its body; a reader that does not know it skips it
    TRACE = 6  # opaque to the journal; a reader that does not know it skips it
    HEADER = 8  # the first record of a segment, of message 0; a reader that does not know it skips it
    UNTIL = 10  # until when an attempt may be in progress, where failover is possible; skipped like ORIGIN
    ORIGIN = 9  # the relay that a message was taken over from; a reader that does not know it skips it


_MESSAGE_KINDS = frozenset(_Kind) - {_Kind.HEADER}


@dataclass(slots=True)
class Attempt:
    """One attempt to deliver a message; until its outcome is known it may have run. Times are Unix milliseconds."""

    sent_at: float
    zone: int
    may_have_run: bool = True
    settled: bool = False  # its outcome is known
    until: float = 0.0  # when its relay stops waiting for it; 0 if unknown


@dataclass(frozen=True, slots=True)
class End:
    """The decided end of an undelivered message; `retry_in` is the advised delay in milliseconds, 0 for none."""

    handed_back: bool
    retry_in: float = 0.0


@dataclass(frozen=True, slots=True)
class Origin:
    """Which relay a message was taken over from. Until `confirmed` it may still belong to that relay."""

    relay: str
    epoch: int
    part: int
    confirmed: bool = False


@dataclass(slots=True)
class Entry:
    """An accepted message, as far as the journal knows it. Times are Unix milliseconds."""

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
    call: bool = False  # a client's open call: a later incarnation remembers its attempts and makes none
    doubtful: bool = False  # an attempt after `complete_until`, or its end, may be missing
    complete_until: float = 0.0  # the latest time that the journal recorded before the damage
    bodiless: bool = False  # its body is damaged: it can only be ended
    origin: Origin | None = None
    on_this_clock: bool = field(default=False, compare=False)  # its times were converted from an earlier clock


@dataclass(frozen=True, slots=True)
class Damage:
    """One range of a segment that differs from what was written; `what` says what became of it, for the log."""

    segment: str
    offset: int
    length: int
    what: str
    repaired: bool = False


@dataclass(slots=True)
class _Segment:
    path: Path
    size: int = 0
    open: int = 0  # number of open messages
    needed_until: float = 0.0  # the latest deadline of its messages, by this process's clock
    damaged: bool = False
    empty_size: int = 0  # its size with nothing but its header
    # Milliseconds, added to its times to convert them to this process's clock; None if unknown.
    clock_offset: float | None = None
    moment: Moment | None = None  # when it was begun, if that is known

    def on_disk(self) -> int:
        return -(-self.size // _BLOCK_BYTES) * _BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class _PendingRecord:
    """A record of something that has happened, which could not be written yet."""

    number: int
    record: bytes


_Read = TypeVar("_Read")
Copier = Callable[[int, bytes, bool], None]  # number of the message, payload of the record, whether it is the last


class Journal:
    """The journal of one relay. After the start, `entries` holds the messages that earlier incarnations left open,
    `damage` the damaged ranges of the files, and `orphans` the number of messages known by later records only.

    Raises FolderProblem if the folder cannot be used. `check` is called before each write, and raises FolderProblem if
    this incarnation no longer owns the folder."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: float,
        incarnation: int = 0,
        check: Callable[[], None] = lambda: None,
        moment: Moment | None = None,
        complete: bool = False,
        own_times: bool = True,
        now: Callable[[], float] | None = None,
    ) -> None:
        """`moment`: the present, by the clock that this incarnation uses. `complete`: raise OSError if a segment cannot
        be read for a reason that may be transient; otherwise the segment is left as it is. `own_times`: the records'
        times are by this relay's clock, and are converted if that clock was set meanwhile; the times of replicas are by
        their owner's clock, and are not converted. `now`: the clock by which closed messages are kept, in Unix
        milliseconds; without it they are not."""
        self._budget = int(disk_bytes * DISK_SHARE)
        self._roll_at = max(4096, min(128 << 10, self._budget // 16))
        self._folder, self._incarnation, self._check, self._complete = folder, incarnation, check, complete
        self._moment = moment or clocks.now(Clock().now())
        self._own_times, self._now = own_times, now
        self._opened_at = clocks.now(0.0).mono  # the monotonic clock at `moment`
        self._written_at = 0.0  # the last record, in milliseconds since then
        self._segments: deque[_Segment] = deque()
        self._segment_of: dict[int, _Segment] = {}  # open message -> the segment in which it was accepted
        self._pending: deque[_PendingRecord] = deque()
        self._fd = -1
        self._write_failed = False  # a write to the newest segment failed: the next write starts another
        self._newest_number = 0  # number of the newest segment
        self._quarantined_bytes = 0  # on disk
        self.refusing = False  # the last write failed
        self.on_refused: Callable[[], None] = lambda: None
        self.entries: dict[int, Entry] = {}
        self.closed_ids: dict[str, float] = {}  # id -> deadline, of closed messages whose time still runs
        self.damage: list[Damage] = []
        self.orphans = 0
        self.next_number = 1
        self.written_until = 0.0  # the latest time of an attempt on record, in Unix milliseconds
        self._since_accepted_ms = math.inf  # at most since the last message was accepted by an earlier incarnation
        self._closed: set[int] = set()  # closed messages, while segments are read
        # Also while segments are read: records of messages whose first record has not been read.
        self._unmatched: dict[int, list[tuple[int, bytes, float]]] = {}
        self.copier: Copier | None = None  # called with each record that is written or queued
        folder.mkdir(parents=True, exist_ok=True)
        self._load_all()
        # Numbers lost in a damaged range are not used again.
        self.next_number = max(self.next_number, incarnation << 32)
        self._delete_unneeded()

    def close(self) -> None:
        self.write_pending()
        self._close_newest()

    def _close_newest(self) -> None:
        fd, self._fd = self._fd, -1
        if fd >= 0:
            with suppress(OSError):  # Linux frees the descriptor even so, and what was written stays
                os.close(fd)

    def may_act(self) -> bool:
        """Whether this incarnation still owns the folder; checked before a send that has no record of its own."""
        try:
            self._check()
        except FolderProblem:
            return False
        return True

    def used(self) -> int:
        return self._quarantined_bytes + sum(segment.on_disk() for segment in self._segments)

    def has_room(self, body: int) -> bool:
        """Whether one more message fits, with the space reserved for later records of all open ones."""
        reserved = _RESERVE_PER_MESSAGE_BYTES * (len(self._segment_of) + 1)
        needed = reserved + body + 2 * _BLOCK_BYTES
        while self.used() + needed >= self._budget:
            if not (self._is_first_unused() and self._delete_first()):
                return False
        return True

    def record_accepted(self, entry: Entry) -> None:
        trace = self._record(_Kind.TRACE, entry.number, entry.trace) if entry.trace else b""
        segment = self._append(_Kind.CALL if entry.call else _Kind.TAKEN, entry.number, _taken_data(entry), trace)
        self._segment_of[entry.number] = segment
        segment.open += 1
        segment.needed_until = max(segment.needed_until, entry.deadline)
        self.next_number = max(self.next_number, entry.number + 1)

    def record_complete(self, entry: Entry) -> None:
        """Record a message with its whole state, which includes how long each attempt may be in progress: a relay that
        takes the message over later has to know it."""
        self.record_accepted(entry)
        for kind, number, data in map(read_head, payloads(entry)):
            if kind not in (_Kind.TAKEN, _Kind.TRACE):
                self._append(_Kind(kind), number, data)

    def record_origin(self, number: int, origin: Origin) -> None:
        """Record that the message comes from another relay, or that it is now confirmed to belong to this one."""
        self._append(_Kind.ORIGIN, number, _origin_data(origin))

    def append_replica(self, payload: bytes) -> int:
        """Write a record of another relay's journal unchanged and return the number of its message. Raises ValueError
        if it is not a record of a message."""
        if len(payload) < _HEAD.size or payload[0] not in _MESSAGE_KINDS:
            raise ValueError("it is not a record of a message")
        kind, number = _HEAD.unpack_from(payload)
        data = payload[_HEAD.size :]
        if kind in (_Kind.TAKEN, _Kind.CALL):
            _decode_entry(number, data, call=kind == _Kind.CALL)
            if number not in self._segment_of:
                segment = self._segment_of[number] = self._append(_Kind(kind), number, data)
                segment.open += 1
        elif number in self._segment_of:
            self._append(_Kind(kind), number, data)
            if kind == _Kind.CLOSED:
                self._forget(number)
                self._delete_unneeded()
        return int(number)

    def is_open(self, number: int) -> bool:
        """Whether a message is accepted and not closed."""
        return number in self._segment_of

    def record_attempt(self, number: int, attempt: int, sent_at: float, zone: int) -> None:
        self._append(_Kind.ATTEMPT, number, _ATTEMPT.pack(attempt, sent_at, zone))

    def record_attempt_deadline(self, number: int, attempt: int, until: float) -> None:
        """Record the time, in Unix milliseconds, by which an attempt is given up at the latest."""
        self._append(_Kind.UNTIL, number, _UNTIL.pack(attempt, until))

    def record_outcome(self, number: int, attempt: int, may_have_run: bool) -> None:
        """Record how an attempt ended; an attempt that certainly never ran needs no earlier record. Queued if the write
        fails."""
        self._append_or_queue(_Kind.OUTCOME, number, _OUTCOME.pack(attempt, may_have_run))

    def record_end(self, number: int, end: End) -> None:
        """Record a decided end. Queued if the write fails: while `has_pending` is true a later incarnation would not
        know of it."""
        self._append_or_queue(_Kind.END, number, _END.pack(end.handed_back, end.retry_in))

    def record_closed(self, number: int) -> None:
        """Record that nothing more is to be done: the message was delivered, has ended elsewhere, or its notice was
        acknowledged. Queued if the write fails."""
        if number in self._segment_of:
            self._append_or_queue(_Kind.CLOSED, number, b"")
            self._forget(number)
            if self._now is None:  # else `delete_expired` does it, not at each message
                self._delete_unneeded()

    def has_pending(self, number: int) -> bool:
        """Whether a record of this message is still to be written."""
        return any(pending.number == number for pending in self._pending)

    def write_pending(self) -> bool:
        """Try to write the pending records, and return whether the disk accepts writes again."""
        if not self.refusing:
            return True
        try:
            self._check()
            self._write_pending()
            if self.refusing:
                self._roll()  # nothing was pending: creating a segment shows whether writes work
        except (OSError, FolderProblem):
            return False
        self.refusing = False
        return True

    def _write_pending(self) -> None:
        while self._pending:
            self._write(self._pending[0].record)
            self._pending.popleft()
            self.refusing = False

    def _forget(self, number: int) -> None:
        self._segment_of.pop(number).open -= 1
        self.entries.pop(number, None)

    @staticmethod
    def _record(kind: _Kind, number: int, data: bytes) -> bytes:
        payload = _HEAD.pack(kind, number) + data
        return FRAME.pack(len(payload), zlib.crc32(payload)) + payload

    def _append(self, kind: _Kind, number: int, data: bytes, companion: bytes = b"") -> _Segment:
        """Write a record, and `companion` in the same write: all of it or nothing. Raises JournalFull if that fails, or
        if an earlier pending record cannot be written."""
        try:
            self._check()
            self._write_pending()
            segment = self._write(self._record(kind, number, data) + companion)
        except OSError as err:
            self.refusing = True
            self.on_refused()
            raise JournalFull(str(err)) from err
        except FolderProblem as err:
            raise JournalFull(str(err)) from err
        self.refusing = False
        self._copy(kind, number, data, companion)
        return segment

    def _append_or_queue(self, kind: _Kind, number: int, data: bytes) -> None:
        """Write a record of something that has happened, now or as soon as the disk accepts writes. Raises JournalFull
        if this incarnation no longer owns the folder."""
        try:
            self._append(kind, number, data)
        except JournalFull:
            if not self.refusing:
                raise
            self._pending.append(_PendingRecord(number, self._record(kind, number, data)))
            self._copy(kind, number, data)

    def _copy(self, kind: _Kind, number: int, data: bytes, companion: bytes = b"") -> None:
        if self.copier:
            self.copier(number, _HEAD.pack(kind, number) + data, kind == _Kind.CLOSED)
            if companion:
                self.copier(number, companion[FRAME.size :], False)

    def _write(self, record: bytes) -> _Segment:
        newest = self._segments[-1] if self._fd >= 0 else None
        elapsed_ms = self._elapsed_ms()
        was_quiet = elapsed_ms - self._written_at > _STAMP_INTERVAL_MS
        full = newest is not None and newest.empty_size < newest.size > self._roll_at - len(record)
        if newest is None or full or was_quiet or self._write_failed:
            self._roll()
        segment = self._segments[-1]
        self._write_or_truncate(segment, record)
        segment.size += len(record)
        self._written_at = elapsed_ms
        return segment

    def _elapsed_ms(self) -> float:
        """Milliseconds since `moment`."""
        return clocks.now(0.0).mono - self._opened_at

    @property
    def since_written_ms(self) -> float | None:
        """At most how long before this incarnation the folder was last written to by one that had completed its
        recovery, in milliseconds; None if no record tells. Only such a one accepts messages and makes attempts."""
        since_attempt_ms = self._moment.wall - self.written_until if self.written_until else math.inf
        since_ms = max(0.0, min(since_attempt_ms, self._since_accepted_ms))
        return since_ms if math.isfinite(since_ms) else None

    def _write_or_truncate(self, segment: _Segment, record: bytes) -> None:
        """Write a record, or truncate the segment to its size before. A disk that fails in the middle of a write would
        otherwise leave half a record in front of later ones. A segment that holds records is not written to again after
        a failure, since the cause may be the file itself."""
        try:
            write_all(self._fd, record)
        except OSError:
            self._write_failed = segment.size > segment.empty_size
            try:
                os.ftruncate(self._fd, segment.size)
            except OSError:  # the partial record stays: a reader skips it as damage, and no record follows it
                self._write_failed = True
            raise

    def _roll(self) -> None:
        elapsed_ms = self._elapsed_ms()
        moment = replace(self._moment, wall=self._moment.wall + elapsed_ms, mono=self._moment.mono + elapsed_ms)
        path = self._folder / f"journal-{self._newest_number + 1:08d}.log"
        header = self._record(_Kind.HEADER, 0, _header_data(self._incarnation, self._newest_number + 1, moment))
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_all(fd, header)
        except OSError:
            with suppress(OSError):
                os.close(fd)
            with suppress(OSError):  # the next segment takes this number and truncates the file
                path.unlink(missing_ok=True)
            raise
        self._close_newest()
        self._fd = fd
        self._write_failed = False
        self._newest_number += 1
        self._segments.append(_Segment(path, len(header), empty_size=len(header), clock_offset=0.0))

    def delete_expired(self) -> None:
        """Delete the segments that are needed no more. To be called at intervals where a clock is given."""
        self._delete_unneeded()

    def _delete_unneeded(self) -> None:
        while self._is_first_unused() and not self._is_first_retained():
            if not self._delete_first():
                return  # retried when the next message is closed

    def _is_first_unused(self) -> bool:
        """Whether there is an oldest segment that is not written to and has no open message."""
        return bool(self._segments) and not self._segments[0].open and (len(self._segments) > 1 or self._fd < 0)

    def _is_first_retained(self) -> bool:
        if self._now is None or self._segments[0].damaged or self.used() > self._budget * _RETAINED_SHARE:
            return False
        return self._segments[0].needed_until > self._now()

    def _delete_first(self) -> bool:
        """Delete the oldest segment; False if that fails."""
        segment = self._segments[0]
        try:
            if not (segment.damaged and self._quarantine(segment)):
                segment.path.unlink(missing_ok=True)
        except OSError:
            return False
        self._segments.popleft()
        return True

    def _quarantine(self, segment: _Segment) -> bool:
        """Rename a damaged segment to keep it for inspection, and delete the oldest quarantined ones to stay within the
        bounds. Returns False if the segment alone is over them."""
        quarantined = sorted(self._folder.glob(f"{_QUARANTINE_PREFIX}*"))
        capacity = int(self._budget * _QUARANTINE_SHARE)
        while quarantined and (
            len(quarantined) >= _MAX_QUARANTINED_FILES or self._quarantined_bytes + segment.on_disk() > capacity
        ):
            size = _Segment(quarantined[0], quarantined[0].stat().st_size).on_disk()
            quarantined.pop(0).unlink()
            self._quarantined_bytes -= size
        if segment.on_disk() > capacity:
            return False
        segment.path.rename(self._folder / f"{_QUARANTINE_PREFIX}{segment.path.name}")
        self._quarantined_bytes += segment.on_disk()
        return True

    def _load_all(self) -> None:
        """Read all segments, in the order in which they were written."""
        found: list[tuple[int, Path]] = []
        for path in sorted(self._folder.iterdir()):
            match = _SEGMENT.fullmatch(path.name.removeprefix(_QUARANTINE_PREFIX))
            if match is None:
                continue
            number = int(match[1])
            if path.name.startswith(_QUARANTINE_PREFIX):
                self._quarantined_bytes += _Segment(path, path.stat().st_size).on_disk()
            elif (header_number := self._read_or_report(path, self._header_number)) is not None:
                number = header_number or number
                found.append((number, path))
            self._newest_number = max(self._newest_number, int(match[1]), number)
        for _, path in sorted(found):
            if (data := self._read_or_report(path, Path.read_bytes)) is not None:
                self._load_segment(path, data)
        self.orphans = sum(
            any(kind != _Kind.TRACE for kind, _, _ in unmatched)
            for number, unmatched in self._unmatched.items()
            if number not in self._closed
        )
        self._unmatched.clear()
        self._closed.clear()

    def _read_or_report(self, path: Path, read: Callable[[Path], _Read]) -> _Read | None:
        """What `read` returns for a segment; None if the segment cannot be read, which is added to `damage`."""
        try:
            return read(path)
        except OSError as err:
            if self._complete and trouble(err, Step.FILE).retry is not Retry.NEVER:
                raise
            self.damage.append(Damage(path.name, 0, 0, f"it cannot be read ({err.strerror}) and is left as it is"))
            return None

    def _load_segment(self, path: Path, data: bytes) -> None:
        """Replay the records of a segment. A torn record at its end belongs to an act that did not take place, and
        stays in the file: after a damaged record, a later incarnation could read the bytes differently without their
        end."""
        segment = _Segment(path, len(data), clock_offset=self._segments[-1].clock_offset if self._segments else None)
        self._segments.append(segment)
        for record in records(data):
            if isinstance(record, Lost):
                if not record.torn:
                    self._report_lost(record, segment)
                continue
            if record.repaired:
                segment.damaged = True
                self._report_damage(
                    segment, record.offset, len(record.payload), f"{record.repaired} was repaired", repaired=True
                )
            self._replay(record, segment)

    def _report_damage(self, segment: _Segment, offset: int, length: int, what: str, repaired: bool = False) -> None:
        self.damage.append(Damage(segment.path.name, offset, length, what, repaired))

    @staticmethod
    def _header_number(path: Path) -> int:
        """The number in a segment's header; 0 if the segment has format 1 or a damaged header."""
        with path.open("rb") as file:
            first = next(records(file.read(_BLOCK_BYTES)), None)  # the header of a newer format may be longer
        if not isinstance(first, Record) or first.payload[0] != _Kind.HEADER:
            return 0
        file_format, _, number = _HEADER.unpack_from(first.payload, _HEAD.size)
        if file_format > FORMAT:
            raise FolderNewer(
                f"{path} was written by a newer program, in format {file_format}; this one reads up to "
                f"{FORMAT}: start that program again, or give it time to end its work"
            )
        return int(number)

    def _report_lost(self, lost: Lost, segment: _Segment) -> None:
        """Report a range that cannot be read. Marks the messages that are open so far as doubtful: an attempt or
        an end of theirs may be missing."""
        segment.damaged = True
        bodiless = self._read_without_body(lost.payload, segment)
        self._report_damage(
            segment,
            lost.offset,
            lost.length,
            "it is lost" if bodiless is None else f"the body of message {bodiless.id} is lost, and it ends undelivered",
        )
        for entry in self.entries.values():
            if not entry.doubtful:
                entry.doubtful, entry.complete_until = True, self.written_until

    def _read_without_body(self, payload: bytes, segment: _Segment) -> Entry | None:
        """The message of a damaged record, if all but its body can be read; its client still waits for its end."""
        if len(payload) < _HEAD.size + _TAKEN.size or payload[0] != _Kind.TAKEN:
            return None
        number = _HEAD.unpack_from(payload)[1]
        if number in self._segment_of or number in self._closed or not number:
            return None
        try:
            entry = self._first_record(number, payload[_HEAD.size :], False, segment)
        except (ValueError, TypeError, struct.error):
            return None
        entry.body, entry.bodiless = b"", True
        self._add_open(entry, segment)
        return entry

    def _add_open(self, entry: Entry, segment: _Segment) -> None:
        self.entries[entry.number] = entry
        self._segment_of[entry.number] = segment
        segment.open += 1
        segment.needed_until = max(segment.needed_until, entry.deadline)
        for kind, data, clock_offset in self._unmatched.pop(entry.number, ()):
            self._apply(kind, entry, data, clock_offset)

    def _first_record(self, number: int, data: bytes, call: bool, segment: _Segment) -> Entry:
        """A message from its first record in this segment, its deadline converted to this process's clock."""
        entry = _decode_entry(number, data, call)
        if segment.clock_offset is not None:
            entry.deadline += segment.clock_offset
            entry.on_this_clock = True
        return entry

    def _replay(self, record: Record, segment: _Segment) -> None:
        kind, number = _HEAD.unpack_from(record.payload)
        data = record.payload[_HEAD.size :]
        self.next_number = max(self.next_number, number + 1)
        try:
            if kind in (_Kind.TAKEN, _Kind.CALL):
                if number in self._segment_of or number in self._closed:
                    segment.damaged = True
                    self._report_damage(
                        segment,
                        record.offset,
                        len(record.payload),
                        "the message has two first records; the first counts",
                    )
                    return
                self._add_open(self._first_record(number, data, kind == _Kind.CALL, segment), segment)
                if segment.moment is not None:
                    since_ms = between(segment.moment, self._moment).passed
                    self._since_accepted_ms = min(self._since_accepted_ms, since_ms)
            elif kind == _Kind.HEADER:
                segment.moment = _header_moment(data) if self._own_times else None
                segment.clock_offset = self._clock_offset(data, segment)
            elif kind == _Kind.CLOSED:
                self._closed.add(number)
                if number in self._segment_of:
                    self._remember_closed(self.entries[number])
                    self._forget(number)
            elif (entry := self.entries.get(number)) is not None:
                self._apply(kind, entry, data, segment.clock_offset or 0.0)
            elif number not in self._closed:  # the segment of its message is deleted, or is read later
                self._unmatched.setdefault(number, []).append((kind, data, segment.clock_offset or 0.0))
        except (ValueError, TypeError, struct.error) as err:  # an intact record that this program does not write
            segment.damaged = True
            self._report_damage(segment, record.offset, len(record.payload), f"it cannot be understood: {err}")

    def _remember_closed(self, entry: Entry) -> None:
        """Keep the id of a message that was accepted; one that its client withdrew has neither an attempt nor an
        end."""
        was_accepted = not entry.call and (entry.attempts or entry.end)
        if self._now is not None and was_accepted and entry.deadline > self._now():
            self.closed_ids[entry.id] = entry.deadline

    def _clock_offset(self, header: bytes, segment: _Segment) -> float | None:
        """Milliseconds to add to the times of a segment; that of the segment before if the moment in its header is
        damaged, and None if the header has none."""
        if segment.moment is not None:
            return between(segment.moment, self._moment).set_by
        return None if not self._own_times or len(header) == _HEADER.size else segment.clock_offset

    def _apply(self, kind: int, entry: Entry, data: bytes, clock_offset: float) -> None:
        """Apply a later record to an open message; `clock_offset`, in milliseconds, converts its times to this
        process's clock."""
        if kind == _Kind.ATTEMPT:
            attempt, sent_at, zone = _ATTEMPT.unpack(data)
            sent_at += clock_offset
            self.written_until = max(self.written_until, sent_at)
            if attempt < len(entry.attempts):
                return  # a repeated record
            # An attempt whose record could not be written was not made; one whose record is lost may have been.
            while len(entry.attempts) < attempt:
                entry.attempts.append(
                    Attempt(entry.complete_until, zone)
                    if entry.doubtful
                    else Attempt(sent_at, zone, may_have_run=False, settled=True)
                )
            entry.attempts.append(Attempt(sent_at, zone))
        elif kind == _Kind.OUTCOME:
            attempt, may_have_run = _OUTCOME.unpack(data)
            if attempt == len(entry.attempts) and not may_have_run:  # never connected: this is its only record
                entry.attempts.append(Attempt(self.written_until, 0))
            if attempt < len(entry.attempts):
                entry.attempts[attempt].may_have_run = bool(may_have_run)
                entry.attempts[attempt].settled = True
        elif kind == _Kind.UNTIL:
            attempt, until = _UNTIL.unpack(data)
            if attempt < len(entry.attempts) and math.isfinite(until):
                entry.attempts[attempt].until = until + clock_offset if until else until
        elif kind == _Kind.END:
            handed_back, retry_in = _END.unpack(data)
            entry.end = End(bool(handed_back), retry_in if math.isfinite(retry_in) and retry_in > 0 else 0.0)
        elif kind == _Kind.TRACE:
            entry.trace = data
        elif kind == _Kind.ORIGIN:
            relay, epoch, part, confirmed = json.loads(data)
            entry.origin = Origin(str(relay), int(epoch), int(part), bool(confirmed))


def _header_moment(header: bytes) -> Moment | None:
    """The moment in a segment's header; None if it has none or a damaged one."""
    if len(header) < _HEADER.size + _MOMENT.size:
        return None
    wall, mono = _MOMENT.unpack_from(header, _HEADER.size)
    return Moment(wall, mono, header[_HEADER.size + _MOMENT.size :].decode("ascii", "replace"))


def _header_data(incarnation: int, number: int, moment: Moment) -> bytes:
    return _HEADER.pack(FORMAT, incarnation, number) + _MOMENT.pack(moment.wall, moment.mono) + moment.boot.encode()


def _taken_data(entry: Entry) -> bytes:
    text = json.dumps([entry.id, entry.class_name, entry.dest, entry.key]).encode()
    return _TAKEN.pack(entry.deadline, len(text)) + text + (b"" if entry.call else entry.body)


def _origin_data(origin: Origin) -> bytes:
    return json.dumps([origin.relay, origin.epoch, origin.part, origin.confirmed]).encode()


def payloads(entry: Entry) -> list[bytes]:
    """The whole state of an open message, as payloads of journal records."""
    contents = [(_Kind.TAKEN, _taken_data(entry))]
    if entry.trace:
        contents.append((_Kind.TRACE, entry.trace))
    if entry.origin:
        contents.append((_Kind.ORIGIN, _origin_data(entry.origin)))
    for n, attempt in enumerate(entry.attempts):
        contents.append((_Kind.ATTEMPT, _ATTEMPT.pack(n, attempt.sent_at, attempt.zone)))
        if attempt.until:
            contents.append((_Kind.UNTIL, _UNTIL.pack(n, attempt.until)))
        if attempt.settled or not attempt.may_have_run:
            contents.append((_Kind.OUTCOME, _OUTCOME.pack(n, attempt.may_have_run)))
    if entry.end:
        contents.append((_Kind.END, _END.pack(entry.end.handed_back, entry.end.retry_in)))
    return [_HEAD.pack(kind, entry.number) + data for kind, data in contents]


Kinds = _Kind  # for readers that do not own the journal


def read_head(payload: bytes) -> tuple[int, int, bytes]:
    """The kind of a record, the number of its message, and its data."""
    kind, number = _HEAD.unpack_from(payload)
    return kind, number, payload[_HEAD.size :]


def read_taken(number: int, data: bytes) -> Entry:
    """A message from the data of its first record. Raises ValueError, TypeError or struct.error if that is invalid."""
    return _decode_entry(number, data, call=False)


def _decode_entry(number: int, data: bytes, call: bool) -> Entry:
    """A message from the data of a TAKEN or CALL record. Raises ValueError, TypeError or struct.error if that is
    invalid."""
    deadline, length = _TAKEN.unpack_from(data)
    start = _TAKEN.size + length
    wire_id, class_name, dest, key = json.loads(data[_TAKEN.size : start])
    if not (
        isinstance(wire_id, str)
        and isinstance(class_name, str)
        and type(dest) is int
        and math.isfinite(deadline)
        and (key is None or isinstance(key, str))
    ):
        raise TypeError("a field is of the wrong type")
    return Entry(number, wire_id, class_name, dest, deadline, key, data[start:], call=call)
