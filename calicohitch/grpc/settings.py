"""gRPC settings from the operator file. Sizes in bytes, times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .routes import Route

if TYPE_CHECKING:
    from ..config import Address


@dataclass(frozen=True, slots=True)
class Speaker:
    """Selects endpoints that accept gRPC calls by id, flavor and destination; "" and None match any."""

    id: str = ""
    flavor: str = ""
    dest: int | None = None
    also_http: bool = False

    def matches(self, name: str, flavor: str, dest: int) -> bool:
        return (
            (not self.id or self.id == name)
            and (not self.flavor or self.flavor == flavor)
            and (self.dest is None or self.dest == dest)
        )


@dataclass(frozen=True, slots=True)
class GrpcSettings:
    """`keep` limits the bytes buffered of a call's messages for retries, `message` the size of each message."""

    listen: Address
    routes: tuple[Route, ...]
    speakers: tuple[Speaker, ...] = ()
    keep: int = 64 << 10
    message: int = 4 << 20
    connections: int = 256
    streams: int = 100
    whole_ms: float = 2_000.0  # a call that is not a stream must be complete within this time
    quiet_ms: float = 300_000.0  # silence with calls open after which a ping is sent; 0: never
    answer_ms: float = 20_000.0  # the connection is closed if the ping is not answered in time

    def speaks(self, name: str, flavor: str, dest: int) -> int:
        """Returns the protocols of an endpoint as bits: 1 is HTTP/1.1, 2 is gRPC."""
        for speaker in self.speakers:
            if speaker.matches(name, flavor, dest):
                return 3 if speaker.also_http else 2
        return 1
