"""What stands in the coordination store, below one prefix for each fleet. Without I/O.

| key | value | goes with |
| --- | --- | --- |
| `generation` | an id, drawn whenever the store was found empty or gone back | nothing |
| `epoch/RELAY` | the highest epoch that it ever had | nothing |
| `member/RELAY` | `Member`: it is alive, where it takes copies | its lease |
| `work/RELAY/EPOCH` | `Work`: who holds copies of which part of its work | nothing |
| `claim/RELAY/EPOCH/PART` | `FailoverClaim`: who takes the part over | the claimer's lease, until it is adopted |

An epoch is one relay's tenure, from its registration until it is passed. A part is a fixed share of its messages, by
their ids; it is what a successor claims.
"""

from __future__ import annotations

import zlib
from enum import Enum
from typing import TypeVar
from urllib.parse import quote, unquote

import msgspec


class State(Enum):
    """`owned`: its relay's, as long as that proves its lease. `handed`: its relay has let go of it for good. `left`:
    its relay's lease has ended, and it is to be claimed."""

    OWNED = "owned"
    HANDED = "handed"
    LEFT = "left"


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """`copies`: HOST:PORT of its copy links. `life`: of its folder."""

    epoch: int
    life: int
    copies: str
    zone: str = ""
    version: int = 1


class ReplicaHolder(msgspec.Struct, frozen=True, array_like=True):
    """A relay that holds copies; `holding` names the set of copies, so that one that lost them is not taken for it."""

    relay: str
    holding: str


class Work(msgspec.Struct, frozen=True):
    """`parts[n]`: the holders of all that must be known of part n, in the order in which they claim. `generation`: of
    the store when this was last said by its relay."""

    state: State
    generation: str
    parts: tuple[tuple[ReplicaHolder, ...], ...]


class FailoverClaim(msgspec.Struct, frozen=True):
    """`adopted`: its messages are the claimer's, journaled and copied on; until then it has acted on none of them."""

    relay: str
    epoch: int
    adopted: bool = False


class Bad(ValueError):
    """A record that cannot be read; it is left alone."""


def part_of(wire_id: str, parts: int) -> int:
    return zlib.crc32(wire_id.encode("utf-8", "surrogateescape")) % parts


T = TypeVar("T")


def read_record(data: bytes, kind: type[T]) -> T:
    """Bad where it cannot be read."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise Bad(f"{kind.__name__}: {err}") from err


def write_record(record: Member | Work | FailoverClaim) -> bytes:
    return msgspec.json.encode(record)


class Keys:
    """The names of all keys of one fleet. Relays' names are quoted, since they come from configurations."""

    def __init__(self, fleet: str) -> None:
        self.prefix = f"/calicohitch/{_quoted(fleet)}/"
        self.generation = f"{self.prefix}generation"

    def epoch(self, relay: str) -> str:
        return f"{self.prefix}epoch/{_quoted(relay)}"

    def member(self, relay: str) -> str:
        return f"{self.prefix}member/{_quoted(relay)}"

    def work(self, relay: str, epoch: int) -> str:
        return f"{self.prefix}work/{_quoted(relay)}/{epoch}"

    def claim(self, relay: str, epoch: int, part: int) -> str:
        return f"{self.prefix}claim/{_quoted(relay)}/{epoch}/{part}"

    def parse(self, key: str) -> tuple[str, ...]:
        """Kind, relay, epoch and part, as far as the key has them; () where it is none of ours."""
        if not key.startswith(self.prefix):
            return ()
        kind, *rest = key[len(self.prefix) :].split("/")
        length = {"generation": 0, "epoch": 1, "member": 1, "work": 2, "claim": 3}.get(kind)
        if length != len(rest) or not all(part.isdecimal() for part in rest[1:]):
            return ()
        return (kind, *(unquote(part) if n == 0 else part for n, part in enumerate(rest)))


def _quoted(name: str) -> str:
    return quote(name, safe="")
