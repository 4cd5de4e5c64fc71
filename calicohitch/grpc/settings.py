"""What the operators say of gRPC. Sizes in bytes, times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .routes import Route

if TYPE_CHECKING:
    from ..config import Address


@dataclass(frozen=True, slots=True)
class Speaker:
    """Endpoints that take gRPC calls: those whose id, flavor and destination are as told; "" and None are any."""

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
    """`keep` bounds what is held of a client's messages for further attempts, `message` each message."""

    listen: Address
    routes: tuple[Route, ...]
    speakers: tuple[Speaker, ...] = ()
    keep: int = 64 << 10
    message: int = 4 << 20
    connections: int = 256
    streams: int = 100
    whole_ms: float = 2_000.0  # a call that is no stream has to be whole by then
    quiet_ms: float = 300_000.0  # a peer with open calls that is silent for so long gets a ping; 0: never
    answer_ms: float = 20_000.0  # and has to answer it by then

    def speaks(self, name: str, flavor: str, dest: int) -> int:
        """The bits of the protocols that an endpoint takes calls in."""
        for speaker in self.speakers:
            if speaker.matches(name, flavor, dest):
                return 3 if speaker.also_http else 2
        return 1
