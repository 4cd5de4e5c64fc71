"""What a relay has taken on, in files that outlast its process.

Records are appended, each with its length and checksum, and each is written before the act that it speaks of.
Files are small segments; the oldest goes once none of the messages taken on in it is open, and since messages
live for seconds, nothing is ever compacted.

A record that the disk refuses is refused or owed. What nothing has come of yet, a message or an attempt, is refused,
and the act is not made. What has happened already, an outcome, an end or a close, is owed: it is kept in order and
written before anything else is, as soon as the disk takes it.

Each segment begins with the moment at which it was begun, on the clock that its times are told by and on the machine's
monotonic clock, so that a later life can have them on its own clock whatever the wall clock was set to meanwhile.

A damaged stretch of a segment costs what stood in it and nothing else (`recovery/repair.py`). Who was open there is
`doubtful`: an attempt, or an end, may be missing. A segment with damage is kept aside once it is no longer needed.
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
from dataclasses import dataclass, field
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

FORMAT = 2  # 1 had no headers; a reader of 1 skips them
_HEAD = struct.Struct(">BQ")  # kind of record, message
_TAKEN = struct.Struct(">dH")  # deadline, length of the JSON before the body
_ATTEMPT = struct.Struct(">HdH")  # attempt, time sent, zone
_UNTIL = struct.Struct(">Hd")  # attempt, until when it may be out
_OUTCOME = struct.Struct(">HB")  # attempt, whether it may have run
_END = struct.Struct(">Bd")  # handed back or given up, advice
_HEADER = struct.Struct(">HQI")  # format, life, number of the segment; then a moment, and the name of its boot
_MOMENT = struct.Struct(">dd")  # by the clock that all times of the segment are told by, and by the monotonic one
_BLOCK = 512  # the platform counts each file in whole blocks of this size
_AFTERWARDS = 640  # bytes kept free for each open message: eight attempts, their outcomes, its end
DISK_SHARE = 0.7  # of the disk that the journal uses at most; the rest is a margin
_SEGMENT = re.compile(r"journal-(\d{8,18})\.log")
_ASIDE = "damaged-"  # before the name of a segment that is kept for inspection
_MOST_ASIDE, _ASIDE_SHARE = 4, 0.05  # files, and share of the disk's budget


class JournalFull(Exception):
    """The record was not written, and nothing of it is left on disk: there is no room, or the folder is another's."""


class _Kind(IntEnum):
    TAKEN = 1
    ATTEMPT = 2
    OUTCOME = 3
    END = 4
    CLOSED = 5
    CALL = 7  # like TAKEN, of a client's open call, whose body is not kept: a reader that does not know it skips it
    TRACE = 6  # opaque to the journal; a reader that does not know it skips it
    HEADER = 8  # of message 0: the first of a segment; a reader that does not know it skips it
    UNTIL = 10  # for how long an attempt may be out, where others may take over; skipped like ORIGIN
    ORIGIN = 9  # whose work it was before it was taken over; a reader that does not know it skips it


_OF_MESSAGES = frozenset(_Kind) - {_Kind.HEADER}


@dataclass(slots=True)
class Attempt:
    """One attempt at a message; until its outcome is known it may have run."""

    sent_at: float
    zone: int
    may_have_run: bool = True
    settled: bool = False  # its outcome is known
    until: float = 0.0  # its relay waits no longer for it; 0 where that is not known


@dataclass(frozen=True, slots=True)
class End:
    """The decided end of an undelivered message; `retry_in` is advice in milliseconds, 0 for none."""

    handed_back: bool
    retry_in: float = 0.0


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a message that was taken over comes from. Until `confirmed` it may still be another relay's."""

    relay: str
    epoch: int
    part: int
    confirmed: bool = False


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
    doubtful: bool = False  # an attempt after `complete_until`, or its end, may be missing
    complete_until: float = 0.0  # the last time, before the damage, that the journal tells
    bodiless: bool = False  # its body is damaged: it can be ended and no more
    origin: Origin | None = None
    on_this_clock: bool = field(default=False, compare=False)  # its times were moved from the clock of an earlier life


@dataclass(frozen=True, slots=True)
class Damage:
    """One stretch of a segment that was not as it was written; `what` became of it, in words for people."""

    segment: str
    offset: int
    length: int
    what: str
    repaired: bool = False


@dataclass(slots=True)
class _Segment:
    path: Path
    size: int = 0
    open: int = 0
    damaged: bool = False
    empty: int = 0  # its size while it holds nothing but its header
    set_by: float | None = None  # to be added to its times, to have them on this life's clock; None where unknown

    def on_disk(self) -> int:
        return -(-self.size // _BLOCK) * _BLOCK


@dataclass(frozen=True, slots=True)
class _PendingRecords:
    """A record of what has happened, which the disk has not taken yet."""

    number: int
    record: bytes


_Read = TypeVar("_Read")
Copier = Callable[[int, bytes, bool], None]  # message, payload of the record, whether it is the last


class Journal:
    """The journal of one relay. `entries` holds what an earlier life left open, after the start, `damage` what of its
    files was not whole, and `orphans` how many messages are known by later records only. FolderProblem where the folder
    cannot be used. `check` is called before each write, and raises where this life may not act."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: float,
        incarnation: int = 0,
        check: Callable[[], None] = lambda: None,
        moment: Moment | None = None,
        complete: bool = False,
        own_times: bool = True,
    ) -> None:
        """`moment`: now, by the clock that this life tells times by. `complete`: OSError where a segment cannot be read
        for a reason that may pass; without it such a segment is left as it is. `own_times`: the records' times are by
        this relay's clock, and moved where that was set meanwhile; those of copies are their owner's."""
        self._budget = int(disk_bytes * DISK_SHARE)
        self._roll_at = max(4096, min(128 << 10, self._budget // 16))
        self._folder, self._incarnation, self._check, self._complete = folder, incarnation, check, complete
        self._moment = moment or clocks.now(Clock().now())
        self._own_times = own_times
        self._segments: deque[_Segment] = deque()
        self._home: dict[int, _Segment] = {}  # open message -> the segment that it was taken on in
        self._owed: deque[_PendingRecords] = deque()
        self._fd = -1
        self._spoilt = False  # a write to the newest segment failed: the next one begins another
        self._last = 0  # number of the newest segment
        self._aside = 0  # bytes on disk of what is kept for inspection
        self.refusing = False  # the disk did not take the last record that it was given
        self.on_refused: Callable[[], None] = lambda: None
        self.entries: dict[int, Entry] = {}
        self.damage: list[Damage] = []
        self.orphans = 0
        self.next_number = 1
        self.written_until = 0.0  # the last time that an attempt was written, in milliseconds of Unix time
        self._over: set[int] = set()  # while segments are read: messages that are closed
        self._early: dict[int, list[tuple[int, bytes, float]]] = {}  # and records of messages that no segment told yet
        self.copier: Copier | None = None  # told of each record that is written, and whether it is a message's last
        folder.mkdir(parents=True, exist_ok=True)
        self._load_all()
        self.next_number = max(self.next_number, incarnation << 32)  # numbers of a damaged stretch are not used again
        self._drop_oldest()

    def close(self) -> None:
        self.write_pending()
        self._close_newest()

    def _close_newest(self) -> None:
        fd, self._fd = self._fd, -1
        if fd >= 0:
            with suppress(OSError):  # Linux gives the descriptor back all the same, and what was written is written
                os.close(fd)

    def may_act(self) -> bool:
        """Whether the folder is still this life's: asked before what goes out without a record of its own."""
        try:
            self._check()
        except FolderProblem:
            return False
        return True

    def used(self) -> int:
        return self._aside + sum(segment.on_disk() for segment in self._segments)

    def has_room(self, body: int) -> bool:
        """Whether one more message can be taken on, with room left for what follows of all open ones."""
        later = _AFTERWARDS * (len(self._home) + 1)
        return self.used() + later + body + 2 * _BLOCK < self._budget

    def record_accepted(self, entry: Entry) -> None:
        trace = self._record(_Kind.TRACE, entry.number, entry.trace) if entry.trace else b""
        segment = self._append(_Kind.CALL if entry.call else _Kind.TAKEN, entry.number, _taken_data(entry), trace)
        self._home[entry.number] = segment
        segment.open += 1
        self.next_number = max(self.next_number, entry.number + 1)

    def record_complete(self, entry: Entry) -> None:
        """A message with all that is known of it: also for how long each attempt may be out, which whoever takes it
        over from here has to know."""
        self.record_accepted(entry)
        for kind, number, rest in map(read_head, payloads(entry)):
            if kind not in (_Kind.TAKEN, _Kind.TRACE):
                self._append(_Kind(kind), number, rest)

    def record_origin(self, number: int, origin: Origin) -> None:
        """The message was another relay's, or surely is this one's now."""
        self._append(_Kind.ORIGIN, number, _origin_data(origin))

    def append_replica(self, payload: bytes) -> int:
        """Write a record of another relay's journal as it came; the number of its message. ValueError where it is none
        of a message."""
        if len(payload) < _HEAD.size or payload[0] not in _OF_MESSAGES:
            raise ValueError("it is no record of a message")
        kind, number = _HEAD.unpack_from(payload)
        data = payload[_HEAD.size :]
        if kind in (_Kind.TAKEN, _Kind.CALL):
            _entry(number, data, call=kind == _Kind.CALL)
            if number not in self._home:
                segment = self._home[number] = self._append(_Kind(kind), number, data)
                segment.open += 1
        elif number in self._home:
            self._append(_Kind(kind), number, data)
            if kind == _Kind.CLOSED:
                self._forget(number)
                self._drop_oldest()
        return int(number)

    def is_open(self, number: int) -> bool:
        """Whether a message is taken on and not closed."""
        return number in self._home

    def record_attempt(self, number: int, attempt: int, sent_at: float, zone: int) -> None:
        self._append(_Kind.ATTEMPT, number, _ATTEMPT.pack(attempt, sent_at, zone))

    def record_attempt_deadline(self, number: int, attempt: int, until: float) -> None:
        """An attempt is given up by then at the latest."""
        self._append(_Kind.UNTIL, number, _UNTIL.pack(attempt, until))

    def record_outcome(self, number: int, attempt: int, may_have_run: bool) -> None:
        """How an attempt ended; one that surely never ran needs no record before this. Owed where it is refused."""
        self._append_or_queue(_Kind.OUTCOME, number, _OUTCOME.pack(attempt, may_have_run))

    def record_end(self, number: int, end: End) -> None:
        """Owed where it is refused: until `owes` says no, a later life would not know of it."""
        self._append_or_queue(_Kind.END, number, _END.pack(end.handed_back, end.retry_in))

    def record_closed(self, number: int) -> None:
        """Nothing more is owed: it was delivered, is over elsewhere, or its notice was acknowledged. The record of it
        is owed where it is refused."""
        if number in self._home:
            self._append_or_queue(_Kind.CLOSED, number, b"")
            self._forget(number)
            self._drop_oldest()

    def has_pending(self, number: int) -> bool:
        """Whether a record of this message waits for the disk."""
        return any(owed.number == number for owed in self._owed)

    def write_pending(self) -> bool:
        """Write what waits for the disk, if it takes it, and see whether it takes records again; whether it does."""
        if not self.refusing:
            return True
        try:
            self._check()
            self._write_pending()
            if self.refusing:
                self._roll()  # nothing was owed: a segment of its own shows it
        except (OSError, FolderProblem):
            return False
        self.refusing = False
        return True

    def _write_pending(self) -> None:
        while self._owed:
            self._write(self._owed[0].record)
            self._owed.popleft()
            self.refusing = False

    def _forget(self, number: int) -> None:
        self._home.pop(number).open -= 1
        self.entries.pop(number, None)

    @staticmethod
    def _record(kind: _Kind, number: int, data: bytes) -> bytes:
        payload = _HEAD.pack(kind, number) + data
        return FRAME.pack(len(payload), zlib.crc32(payload)) + payload

    def _append(self, kind: _Kind, number: int, data: bytes, behind: bytes = b"") -> _Segment:
        """Write a record, and what goes with it in the same write; all of it or nothing. JournalFull where it is
        refused, or where what is owed before it is."""
        try:
            self._check()
            self._write_pending()
            segment = self._write(self._record(kind, number, data) + behind)
        except OSError as err:
            self.refusing = True
            self.on_refused()
            raise JournalFull(str(err)) from err
        except FolderProblem as err:
            raise JournalFull(str(err)) from err
        self.refusing = False
        self._copy(kind, number, data, behind)
        return segment

    def _append_or_queue(self, kind: _Kind, number: int, data: bytes) -> None:
        """Write a record of what has happened, now or as soon as the disk takes it. JournalFull where this life may
        not write any more."""
        try:
            self._append(kind, number, data)
        except JournalFull:
            if not self.refusing:
                raise
            self._owed.append(_PendingRecords(number, self._record(kind, number, data)))
            self._copy(kind, number, data)

    def _copy(self, kind: _Kind, number: int, data: bytes, behind: bytes = b"") -> None:
        if self.copier:
            self.copier(number, _HEAD.pack(kind, number) + data, kind == _Kind.CLOSED)
            if behind:
                self.copier(number, behind[FRAME.size :], False)

    def _write(self, record: bytes) -> _Segment:
        newest = self._segments[-1] if self._fd >= 0 else None
        full = newest is not None and newest.empty < newest.size > self._roll_at - len(record)
        if newest is None or full or self._spoilt:
            self._roll()
        segment = self._segments[-1]
        self._written(segment, record)
        segment.size += len(record)
        return segment

    def _written(self, segment: _Segment, record: bytes) -> None:
        """Guards what follows against a disk that fails in the middle: half a record is cut off, and a segment that
        holds something is not written to again, since what failed once may be the file's own trouble."""
        try:
            write_all(self._fd, record)
        except OSError:
            self._spoilt = segment.size > segment.empty
            try:
                os.ftruncate(self._fd, segment.size)
            except OSError:  # it stays: a reader skips it as damage, and nothing is written behind it
                self._spoilt = True
            raise

    def _roll(self) -> None:
        path = self._folder / f"journal-{self._last + 1:08d}.log"
        header = self._record(_Kind.HEADER, 0, _header_data(self._incarnation, self._last + 1, self._moment))
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_all(fd, header)
        except OSError:
            with suppress(OSError):
                os.close(fd)
            with suppress(OSError):  # the next one under its number cuts it to nothing
                path.unlink(missing_ok=True)
            raise
        self._close_newest()
        self._fd = fd
        self._spoilt = False
        self._last += 1
        self._segments.append(_Segment(path, len(header), empty=len(header), set_by=0.0))

    def _drop_oldest(self) -> None:
        while self._segments and not self._segments[0].open and (len(self._segments) > 1 or self._fd < 0):
            segment = self._segments[0]
            try:
                if not (segment.damaged and self._keep_aside(segment)):
                    segment.path.unlink(missing_ok=True)
            except OSError:
                return  # tried again with the next message that is closed
            self._segments.popleft()

    def _keep_aside(self, segment: _Segment) -> bool:
        """Keep a damaged segment for inspection; the oldest of those make room for it."""
        kept = sorted(self._folder.glob(f"{_ASIDE}*"))
        room = int(self._budget * _ASIDE_SHARE)
        while kept and (len(kept) >= _MOST_ASIDE or self._aside + segment.on_disk() > room):
            size = _Segment(kept[0], kept[0].stat().st_size).on_disk()
            kept.pop(0).unlink()
            self._aside -= size
        if segment.on_disk() > room:
            return False
        segment.path.rename(self._folder / f"{_ASIDE}{segment.path.name}")
        self._aside += segment.on_disk()
        return True

    def _load_all(self) -> None:
        """Read every segment, in the order in which they were written."""
        found: list[tuple[int, Path]] = []
        for path in sorted(self._folder.iterdir()):
            name = _SEGMENT.fullmatch(path.name.removeprefix(_ASIDE))
            if name is None:
                continue
            number = int(name[1])
            if path.name.startswith(_ASIDE):
                self._aside += _Segment(path, path.stat().st_size).on_disk()
            elif (told := self._readable(path, self._number)) is not None:
                number = told or number
                found.append((number, path))
            self._last = max(self._last, int(name[1]), number)
        for _, path in sorted(found):
            if (data := self._readable(path, Path.read_bytes)) is not None:
                self._load(path, data)
        self.orphans = sum(
            any(kind != _Kind.TRACE for kind, _, _ in told)
            for number, told in self._early.items()
            if number not in self._over
        )
        self._early.clear()
        self._over.clear()

    def _readable(self, path: Path, read: Callable[[Path], _Read]) -> _Read | None:
        """What is read of a segment; None where it cannot be, which is noted."""
        try:
            return read(path)
        except OSError as err:
            if self._complete and trouble(err, Step.FILE).retry is not Retry.NEVER:
                raise
            self.damage.append(Damage(path.name, 0, 0, f"it cannot be read ({err.strerror}) and is left as it is"))
            return None

    def _load(self, path: Path, data: bytes) -> None:
        """Read a segment to its end; a torn end, of an act that was not made, is left where it is. Guards what the next
        life reads: behind a damaged record the same bytes less their end can be read in another way."""
        segment = _Segment(path, len(data), set_by=self._segments[-1].set_by if self._segments else None)
        self._segments.append(segment)
        for one in records(data):
            if isinstance(one, Lost):
                if not one.torn:
                    self._lost(one, segment)
                continue
            if one.repaired:
                segment.damaged = True
                self._note(segment, one.offset, len(one.payload), f"{one.repaired} was mended", mended=True)
            self._replay(one, segment)

    def _note(self, segment: _Segment, offset: int, length: int, what: str, mended: bool = False) -> None:
        self.damage.append(Damage(segment.path.name, offset, length, what, mended))

    @staticmethod
    def _number(path: Path) -> int:
        """The number in a segment's header; 0 for one of the first format, or whose header is damaged."""
        with path.open("rb") as file:
            first = next(records(file.read(_BLOCK)), None)  # a newer header may be longer
        if not isinstance(first, Record) or first.payload[0] != _Kind.HEADER:
            return 0
        told, _, number = _HEADER.unpack_from(first.payload, _HEAD.size)
        if told > FORMAT:
            raise FolderNewer(
                f"{path} was written by a newer program, in format {told}; this one reads up to "
                f"{FORMAT}: start that program again, or give it time to end its work"
            )
        return int(number)

    def _lost(self, lost: Lost, segment: _Segment) -> None:
        """A stretch that cannot be read: an attempt or an end of any message that is open by then may be missing."""
        segment.damaged = True
        salvaged = self._salvaged(lost.payload, segment)
        self._note(
            segment,
            lost.offset,
            lost.length,
            "it is lost" if salvaged is None else f"the body of message {salvaged.id} is lost, and it ends undelivered",
        )
        for entry in self.entries.values():
            if not entry.doubtful:
                entry.doubtful, entry.complete_until = True, self.written_until

    def _salvaged(self, payload: bytes, segment: _Segment) -> Entry | None:
        """A message whose record is damaged, if all but its body can be read: it is owed its end."""
        if len(payload) < _HEAD.size + _TAKEN.size or payload[0] != _Kind.TAKEN:
            return None
        number = _HEAD.unpack_from(payload)[1]
        if number in self._home or number in self._over or not number:
            return None
        try:
            entry = self._told(number, payload[_HEAD.size :], False, segment)
        except (ValueError, TypeError, struct.error):
            return None
        entry.body, entry.bodiless = b"", True
        self._open(entry, segment)
        return entry

    def _open(self, entry: Entry, segment: _Segment) -> None:
        self.entries[entry.number] = entry
        self._home[entry.number] = segment
        segment.open += 1
        for kind, rest, set_by in self._early.pop(entry.number, ()):
            self._more(kind, entry, rest, set_by)

    def _told(self, number: int, rest: bytes, call: bool, segment: _Segment) -> Entry:
        """A message as its first record in this segment tells it, its time moved to this life's clock."""
        entry = _entry(number, rest, call)
        if segment.set_by is not None:
            entry.deadline += segment.set_by
            entry.on_this_clock = True
        return entry

    def _replay(self, record: Record, segment: _Segment) -> None:
        kind, number = _HEAD.unpack_from(record.payload)
        rest = record.payload[_HEAD.size :]
        self.next_number = max(self.next_number, number + 1)
        try:
            if kind in (_Kind.TAKEN, _Kind.CALL):
                if number in self._home or number in self._over:
                    segment.damaged = True
                    self._note(segment, record.offset, len(record.payload), "it is there twice; the first counts")
                    return
                self._open(self._told(number, rest, kind == _Kind.CALL, segment), segment)
            elif kind == _Kind.HEADER:
                segment.set_by = self._set_by(rest, segment.set_by)
            elif kind == _Kind.CLOSED:
                self._over.add(number)
                if number in self._home:
                    self._forget(number)
            elif (entry := self.entries.get(number)) is not None:
                self._more(kind, entry, rest, segment.set_by or 0.0)
            elif number not in self._over:  # the segment of its message is gone, or comes later
                self._early.setdefault(number, []).append((kind, rest, segment.set_by or 0.0))
        except (ValueError, TypeError, struct.error) as err:  # whole, and yet not what this program writes
            segment.damaged = True
            self._note(segment, record.offset, len(record.payload), f"it cannot be understood: {err}")

    def _set_by(self, header: bytes, before: float | None) -> float | None:
        """What is to be added to the times of a segment; where its header tells no moment, what held `before` it."""
        if not self._own_times:
            return None
        if len(header) < _HEADER.size + _MOMENT.size:
            return None if len(header) == _HEADER.size else before
        wall, mono = _MOMENT.unpack_from(header, _HEADER.size)
        boot = header[_HEADER.size + _MOMENT.size :].decode("ascii", "replace")
        return between(Moment(wall, mono, boot), self._moment).set_by

    def _more(self, kind: int, entry: Entry, rest: bytes, set_by: float) -> None:
        """What a later record tells of a message that is open; `set_by` moves its times to this life's clock."""
        if kind == _Kind.ATTEMPT:
            attempt, sent_at, zone = _ATTEMPT.unpack(rest)
            sent_at += set_by
            self.written_until = max(self.written_until, sent_at)
            if attempt < len(entry.attempts):
                return  # told already
            while len(entry.attempts) < attempt:  # one that could not be written was not made, a lost one may have been
                entry.attempts.append(
                    Attempt(entry.complete_until, zone)
                    if entry.doubtful
                    else Attempt(sent_at, zone, may_have_run=False, settled=True)
                )
            entry.attempts.append(Attempt(sent_at, zone))
        elif kind == _Kind.OUTCOME:
            attempt, may_have_run = _OUTCOME.unpack(rest)
            if attempt == len(entry.attempts) and not may_have_run:  # its connection never came up: this is all of it
                entry.attempts.append(Attempt(self.written_until, 0))
            if attempt < len(entry.attempts):
                entry.attempts[attempt].may_have_run = bool(may_have_run)
                entry.attempts[attempt].settled = True
        elif kind == _Kind.UNTIL:
            attempt, until = _UNTIL.unpack(rest)
            if attempt < len(entry.attempts) and math.isfinite(until):
                entry.attempts[attempt].until = until + set_by if until else until
        elif kind == _Kind.END:
            handed_back, retry_in = _END.unpack(rest)
            entry.end = End(bool(handed_back), retry_in if math.isfinite(retry_in) and retry_in > 0 else 0.0)
        elif kind == _Kind.TRACE:
            entry.trace = rest
        elif kind == _Kind.ORIGIN:
            relay, epoch, part, confirmed = json.loads(rest)
            entry.origin = Origin(str(relay), int(epoch), int(part), bool(confirmed))


def _header_data(incarnation: int, number: int, moment: Moment) -> bytes:
    return _HEADER.pack(FORMAT, incarnation, number) + _MOMENT.pack(moment.wall, moment.mono) + moment.boot.encode()


def _taken_data(entry: Entry) -> bytes:
    text = json.dumps([entry.id, entry.class_name, entry.dest, entry.key]).encode()
    return _TAKEN.pack(entry.deadline, len(text)) + text + (b"" if entry.call else entry.body)


def _origin_data(origin: Origin) -> bytes:
    return json.dumps([origin.relay, origin.epoch, origin.part, origin.confirmed]).encode()


def payloads(entry: Entry) -> list[bytes]:
    """All that is to be known of an open message, as records of a journal."""
    told = [(_Kind.TAKEN, _taken_data(entry))]
    if entry.trace:
        told.append((_Kind.TRACE, entry.trace))
    if entry.origin:
        told.append((_Kind.ORIGIN, _origin_data(entry.origin)))
    for n, attempt in enumerate(entry.attempts):
        told.append((_Kind.ATTEMPT, _ATTEMPT.pack(n, attempt.sent_at, attempt.zone)))
        if attempt.until:
            told.append((_Kind.UNTIL, _UNTIL.pack(n, attempt.until)))
        if attempt.settled or not attempt.may_have_run:
            told.append((_Kind.OUTCOME, _OUTCOME.pack(n, attempt.may_have_run)))
    if entry.end:
        told.append((_Kind.END, _END.pack(entry.end.handed_back, entry.end.retry_in)))
    return [_HEAD.pack(kind, entry.number) + data for kind, data in told]


Kinds = _Kind  # for those who read a journal without owning it


def read_head(payload: bytes) -> tuple[int, int, bytes]:
    """A record's kind, its message's number, and the rest."""
    kind, number = _HEAD.unpack_from(payload)
    return kind, number, payload[_HEAD.size :]


def read_taken(number: int, rest: bytes) -> Entry:
    """A message as its first record tells it; ValueError, TypeError or struct.error where it cannot be."""
    return _entry(number, rest, call=False)


def _entry(number: int, rest: bytes, call: bool) -> Entry:
    """A message as its TAKEN record tells it; ValueError, TypeError or struct.error where it cannot be."""
    deadline, length = _TAKEN.unpack_from(rest)
    start = _TAKEN.size + length
    wire_id, class_name, dest, key = json.loads(rest[_TAKEN.size : start])
    if not (
        isinstance(wire_id, str)
        and isinstance(class_name, str)
        and type(dest) is int
        and math.isfinite(deadline)
        and (key is None or isinstance(key, str))
    ):
        raise TypeError("a field is of the wrong type")
    return Entry(number, wire_id, class_name, dest, deadline, key, rest[start:], call=call)
