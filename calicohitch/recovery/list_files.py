"""The files of the stored endpoint list: two, of which the newer one is in use.

A file holds a snapshot and the changes behind it. Changes are appended; once they take more than a share of the
snapshot, or after a failed write, a new snapshot goes to the other file, so that a kill at any time leaves the list as
it was before the write or behind it. As with the cached state (`state_files`), no file is renamed or truncated: the
records of an earlier use that follow the present ones have another number.
"""

from __future__ import annotations

import os
import zlib
from contextlib import suppress
from pathlib import Path

from ..core.files import write_all
from .endpoint_list import (
    InvalidListRecord,
    ListChange,
    StoredList,
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
)

_FILE_NAMES = ("endpoints-0", "endpoints-1")
_HEADER_BYTES = 35  # the number of the snapshot, the length of the data and its checksum, in hexadecimal
MAX_SNAPSHOT_BYTES = 256 << 10  # 3,200 members of which nothing compresses; the journal leaves room for both files
_MIN_CHANGES_BYTES = 16 << 10  # behind one snapshot
_CHANGES_SHARE = 0.25  # of the snapshot


class ListTooLong(OSError):
    """The list takes more space than the folder has for it."""


class EndpointListFiles:
    def __init__(self, folder: Path) -> None:
        self._paths = [folder / name for name in _FILE_NAMES]
        self._number = 0  # of the last snapshot
        self._end: int | None = None  # where the next change goes; None: a snapshot is due
        self._changes_end = 0  # where the changes behind the snapshot have taken their space

    def read(self) -> StoredList | None:
        """The list that was stored last; None if there is none, InvalidListRecord if no file is valid."""
        found: list[tuple[int, StoredList]] = []
        problem: InvalidListRecord | None = None
        for path in self._paths:
            try:
                found.append(_read_file(path.read_bytes()))
            except FileNotFoundError:
                continue
            except OSError as err:
                problem = InvalidListRecord(f"{path.name} cannot be read: {err.strerror}")
            except InvalidListRecord as err:
                problem = err
        if found:
            self._number, newest = max(found, key=lambda numbered: numbered[0])
            return newest
        if problem:
            raise problem
        return None

    @property
    def needs_snapshot(self) -> bool:
        """Whether the next write has to be a snapshot: the first one of a process, one behind a failed write, and one
        that replaces many changes."""
        return self._end is None or self._end > self._changes_end

    def write_snapshot(self, stored: StoredList) -> None:
        """Store a whole list; OSError if that fails, ListTooLong if it does not fit."""
        data = encode_snapshot(stored)
        if len(data) > MAX_SNAPSHOT_BYTES:
            raise ListTooLong(f"{len(stored.members)} endpoints take {len(data)} bytes of {MAX_SNAPSHOT_BYTES}")
        number, self._end = self._number + 1, None
        end = self._write(number, 0, data)
        self._number, self._end = number, end
        self._changes_end = end + max(_MIN_CHANGES_BYTES, int(len(data) * _CHANGES_SHARE))

    def append(self, change: ListChange) -> None:
        """Store a change of the list; OSError if that fails. Not while `needs_snapshot`."""
        assert self._end is not None
        start, self._end = self._end, None
        self._end = self._write(self._number, start, encode_change(change))

    def _write(self, number: int, start: int, data: bytes) -> int:
        """Write a record; returns where it ends."""
        record = b"%016x %08x %08x " % (number, len(data), _checksum(number, data)) + data
        fd = os.open(self._paths[number % 2], os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.lseek(fd, start, os.SEEK_SET)
            write_all(fd, record)
        finally:
            with suppress(OSError):  # Linux closes the descriptor even if it reports an error, and the data is written
                os.close(fd)
        return start + len(record)


def _checksum(number: int, data: bytes) -> int:
    return zlib.crc32(data, number & 0xFFFFFFFF)


def _read_file(content: bytes) -> tuple[int, StoredList]:
    """The number of the snapshot in a file, and the list behind its changes, up to the first record that is not
    whole."""
    number, data, end = _read_record(content, 0)
    stored = decode_snapshot(data)
    while True:
        try:
            later_number, data, end = _read_record(content, end)
            if later_number != number:
                break
            stored = stored.changed(decode_change(data))
        except InvalidListRecord:
            break
    return number, stored


def _read_record(content: bytes, start: int) -> tuple[int, bytes, int]:
    """The number, data and end of the record at an offset."""
    try:
        number, length, checksum = (int(part, 16) for part in content[start : start + _HEADER_BYTES].split())
    except ValueError as err:
        raise InvalidListRecord("a record's header cannot be read") from err
    end = start + _HEADER_BYTES + length
    data = content[start + _HEADER_BYTES : end]
    if number < 0 or length < 0 or len(data) != length or _checksum(number, data) != checksum:
        raise InvalidListRecord("a record is incomplete or damaged")
    return number, data, end
