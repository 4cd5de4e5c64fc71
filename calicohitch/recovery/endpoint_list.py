"""The endpoint list that a relay stores for its next start, and when that one uses it. No I/O, no clock.

A list is stored as a snapshot and the changes behind it, each a record of its own: it may have thousands of members, is
told rarely, and changes by few of them.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from .clocks import Moment, between

LIST_FORMAT = 1
MAX_LIST_AGE_MS = 600_000.0  # discovery is polled anyway; an older list names too few endpoints that still exist
NO_REVISION = -1  # of a list that the present discovery has not told: an earlier address of it did
_MAX_RECORD_BYTES = 16 << 20  # uncompressed, as the largest response of discovery
_COMPRESSION_LEVEL = 1

Member = Mapping[str, Any]  # in the form that discovery returns


class InvalidListRecord(Exception):
    """A stored record cannot be read; the text says why."""


@dataclass(frozen=True, slots=True)
class StoredList:
    """`written`: when it was last known to be the list that the relay acts on. `members`: by id, without those that are
    gone. `discovery`: the address that the relay asked."""

    written: Moment
    discovery: str
    revision: int = NO_REVISION
    members: Mapping[str, Member] = field(default_factory=dict)

    def changed(self, change: ListChange) -> StoredList:
        """The list behind a change."""
        members = dict(self.members)
        for member in change.members:
            if member.get("phase") == "Gone":
                members.pop(str(member["id"]), None)
            else:
                members[str(member["id"])] = member
        return replace(self, written=change.written, revision=change.revision, members=members)


@dataclass(frozen=True, slots=True)
class ListChange:
    """`members`: those that differ, with the phase `Gone` where one is no longer listed."""

    written: Moment
    revision: int
    members: Sequence[Member] = ()


def encode_snapshot(stored: StoredList) -> bytes:
    """A compressed record of a whole list."""
    return _encode(stored, list(stored.members.values()), discovery=stored.discovery)


def encode_change(change: ListChange) -> bytes:
    """A compressed record of a change."""
    return _encode(change, list(change.members))


def _encode(stored: StoredList | ListChange, members: list[Member], **more: str) -> bytes:
    moment = stored.written
    record = {
        "format": LIST_FORMAT,
        "written": [moment.wall, moment.mono, moment.boot],
        "revision": stored.revision,
        "members": members,
        **more,
    }
    return zlib.compress(json.dumps(record, separators=(",", ":")).encode(), _COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> StoredList:
    """The encoded list; InvalidListRecord if it is damaged or of another format."""
    record, change = _decode(data)
    if not isinstance(discovery := record.get("discovery"), str):
        raise InvalidListRecord("it names no discovery")
    return StoredList(change.written, discovery).changed(change)


def decode_change(data: bytes) -> ListChange:
    """The encoded change; InvalidListRecord if it is damaged or of another format."""
    return _decode(data)[1]


def _decode(data: bytes) -> tuple[dict[str, Any], ListChange]:
    try:
        record = json.loads(zlib.decompressobj().decompress(data, _MAX_RECORD_BYTES))
        if record["format"] != LIST_FORMAT:
            raise InvalidListRecord(f"it is in format {record['format']!r}, and this program reads {LIST_FORMAT}")
        wall, mono, boot = record["written"]
        members = [member for member in record["members"] if isinstance(member, dict) and "id" in member]
        return record, ListChange(Moment(float(wall), float(mono), str(boot)), int(record["revision"]), members)
    except (zlib.error, KeyError, TypeError, ValueError, OverflowError, RecursionError) as err:
        raise InvalidListRecord(f"it cannot be decoded: {type(err).__name__}: {err}") from err


def reason_against(stored: StoredList, now: Moment, discovery: str, known_revision: int) -> str | None:
    """Why the stored list is not used at `now`; None if it is. `known_revision`: of the list in the configuration, -1
    for none. Revisions of two discoveries cannot be compared: a list that was kept when discovery moved is what the
    relay acted on last."""
    if stored.discovery != discovery:
        return "it is from another discovery service"
    if between(stored.written, now).passed > MAX_LIST_AGE_MS:
        return "it is too old"
    if stored.revision <= known_revision and stored.revision != NO_REVISION:
        return "the configured list is as new"
    return None
