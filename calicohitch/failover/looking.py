"""Where a message is, from relays' folders: read without a claim on them and without changing anything, also while
their relays run.
"""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import unquote

from ..journal import Kinds, read_head, read_taken
from ..recovery.repair import Record, records


@dataclass
class Trace:
    """One message in one folder. `owner` is empty for the relay's own, else whose copy it is, with its epoch."""

    folder: str
    owner: str
    epoch: int
    number: int
    class_name: str
    dest: int
    deadline: float
    attempts: int = 0
    end: str = ""
    closed: bool = False
    origin: str = ""
    outcomes: dict[int, bool] = field(default_factory=dict, repr=False)

    def as_dict(self) -> dict[str, object]:
        never = sum(not ran for ran in self.outcomes.values())
        return {
            "folder": self.folder,
            "owner": self.owner or None,
            "epoch": self.epoch or None,
            "number": self.number,
            "class": self.class_name,
            "dest": self.dest,
            "deadline_ms": round(self.deadline),
            "attempts": self.attempts,
            "may_have_run": self.attempts - never,
            "end": self.end or None,
            "closed": self.closed,
            "origin": self.origin or None,
        }


def traces(folder: Path, wire_id: str) -> list[Trace]:
    """All that a relay's folder, and the copies in it, tell of a message; OSError where it cannot be read."""
    found = _in(folder, wire_id, str(folder), "", 0)
    copies = folder / "copies"
    if copies.is_dir():
        for held in sorted(copies.iterdir()):
            owner, _, epoch = held.name.rpartition(".")
            if epoch.isdecimal():
                found += _in(held, wire_id, str(folder), unquote(owner), int(epoch))
    return found


def _in(place: Path, wire_id: str, folder: str, owner: str, epoch: int) -> list[Trace]:
    known: dict[int, Trace] = {}
    for path in sorted(path for path in place.iterdir() if path.name.startswith("journal-")):
        for record in records(path.read_bytes()):
            if isinstance(record, Record):
                _add(known, record.payload, wire_id, folder, owner, epoch)
    return list(known.values())


def _add(known: dict[int, Trace], payload: bytes, wire_id: str, folder: str, owner: str, epoch: int) -> None:
    kind, number, rest = read_head(payload)
    try:
        if kind in (Kinds.TAKEN, Kinds.CALL):
            entry = read_taken(number, rest)
            if entry.id == wire_id:
                known.setdefault(
                    number, Trace(folder, owner, epoch, number, entry.class_name, entry.dest, entry.deadline)
                )
        elif (trace := known.get(number)) is None:
            return
        elif kind == Kinds.ATTEMPT:
            trace.attempts = max(trace.attempts, int.from_bytes(rest[:2], "big") + 1)
        elif kind == Kinds.OUTCOME:
            trace.outcomes[int.from_bytes(rest[:2], "big")] = bool(rest[2])
        elif kind == Kinds.END:
            trace.end = "handed_back" if rest[0] else "given_up"
        elif kind == Kinds.CLOSED:
            trace.closed = True
        elif kind == Kinds.ORIGIN:
            relay, origin_epoch, part, confirmed = json.loads(rest)
            trace.origin = f"{relay} epoch {origin_epoch} part {part}" + ("" if confirmed else ", not adopted yet")
    except (ValueError, TypeError, IndexError, struct.error):
        return  # whole, and not what this program writes
