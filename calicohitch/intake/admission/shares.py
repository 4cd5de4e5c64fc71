"""What each source of connections may have: caps, conduct, and who is known. No I/O; time comes as an argument.

A source is an address, or the prefix that operators count as one. Its conduct is a decaying count of messages that were
taken on from it, beside one of its connections. Whoever lately handed in messages is known: what is kept for known
ones is theirs, and a gateway whose connections mostly bring messages is not held to a lone address's cap. The table is
bounded whatever addresses come: sources without a connection are forgotten, the unknown first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import ipaddress  # costs memory, and is loaded only where prefixes are asked for

HALF_LIFE_MS = 60_000.0  # of conduct
KNOWN_FROM = 0.5  # messages, after decay
_GATEWAY_FROM = 8.0  # messages, after decay, from which a source may have more than a lone address
_GATEWAY_USE = 0.5  # messages a connection, from which its conduct is a gateway's


class Verdict(Enum):
    """What becomes of a new connection."""

    ENTER = "enter"
    OPEN_CAP = "too many open connections of its source"
    RATE_CAP = "too many new connections of its source"
    RESERVED = "the rest is kept for known clients"


@dataclass(frozen=True, slots=True)
class Trusted:
    """A prefix that operators vouch for, with an open cap of its own (0: none)."""

    network: ipaddress.IPv4Network | ipaddress.IPv6Network
    each: int = 0


@dataclass(frozen=True, slots=True)
class Caps:
    """What operators allow. `each` open connections and `new_per_s` new ones of a lone source, 0 for no cap; `reserve`
    is the share of all seats that is kept for known sources; prefixes say how many leading bits make a source."""

    each: int = 0
    new_per_s: float = 0.0
    reserve: float = 0.0
    v4_bits: int = 32
    v6_bits: int = 64
    sources: int = 4_096
    trusted: tuple[Trusted, ...] = ()


@dataclass(slots=True)
class Source:
    """One source: `open` connections now; conduct as it was at `at`, milliseconds."""

    open: int = 0
    came: float = 0.0
    messages: float = 0.0
    at: float = 0.0
    tokens: float = 0.0
    refilled_at: float = -math.inf

    def decay(self, now: float) -> None:
        if now > self.at:
            kept = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
            self.came, self.messages, self.at = self.came * kept, self.messages * kept, now

    def known(self, now: float) -> bool:
        self.decay(now)
        return self.messages >= KNOWN_FROM

    def gateway(self, now: float) -> bool:
        self.decay(now)
        return self.messages >= _GATEWAY_FROM and self.messages >= _GATEWAY_USE * self.came


def _network(address: str, bits: int) -> str:
    import ipaddress

    return str(ipaddress.ip_network((address, bits), strict=False))


class Shares:
    """The sources of one listener, for `most` seats."""

    def __init__(self, caps: Caps, most: int) -> None:
        self._caps, self.most = caps, most
        self._sources: OrderedDict[str, Source] = OrderedDict()  # the longest unused first
        self.taken = 0

    def __len__(self) -> int:
        return len(self._sources)

    def name(self, address: str) -> str:
        """The source that an address belongs to."""
        if ":" not in address:
            if self._caps.v4_bits == 32:
                return address
            return _network(address, self._caps.v4_bits)
        return _network(address.partition("%")[0], self._caps.v6_bits)

    def enter(self, address: str, now: float) -> tuple[Verdict, str]:
        """Whether a new connection may come in; it is counted where it may. `leave` must follow."""
        name = self.name(address)
        source = self._sources.get(name)
        if source is None:
            source = self._sources[name] = Source(at=now, tokens=self._caps.new_per_s)
            self._bound()
        verdict = self._judge(address, source, now)
        if verdict is Verdict.ENTER:
            source.decay(now)
            source.came += 1
            source.open += 1
            self.taken += 1
        self._sources.move_to_end(name)
        return verdict, name

    def _judge(self, address: str, source: Source, now: float) -> Verdict:
        caps, each = self._caps, self._caps.each
        if trusted := self._trusted(address):
            return Verdict.OPEN_CAP if trusted.each and source.open >= trusted.each else Verdict.ENTER
        if (each or caps.new_per_s) and source.gateway(now):
            return Verdict.ENTER
        if each and source.open >= each:
            return Verdict.OPEN_CAP
        if self.taken >= (1.0 - caps.reserve) * self.most and not source.known(now):
            return Verdict.RESERVED
        if caps.new_per_s:
            passed = max(0.0, now - source.refilled_at)
            source.tokens = min(max(1.0, caps.new_per_s), source.tokens + passed * caps.new_per_s / 1e3)
            source.refilled_at = now
            if source.tokens < 1.0:
                return Verdict.RATE_CAP
            source.tokens -= 1.0
        return Verdict.ENTER

    def _trusted(self, address: str) -> Trusted | None:
        if not self._caps.trusted:
            return None
        import ipaddress

        ip = ipaddress.ip_address(address.partition("%")[0])
        return next((it for it in self._caps.trusted if ip.version == it.network.version and ip in it.network), None)

    def leave(self, name: str) -> None:
        self.taken -= 1
        if source := self._sources.get(name):
            source.open -= 1

    def took_on(self, name: str, now: float) -> None:
        """A message of this source was taken on."""
        if source := self._sources.get(name):
            source.decay(now)
            source.messages += 1

    def known(self, name: str, now: float) -> bool:
        source = self._sources.get(name)
        return source is not None and source.known(now)

    def weight(self, name: str) -> int:
        """Open connections of a source."""
        source = self._sources.get(name)
        return source.open if source else 0

    def _bound(self) -> None:
        """Forget a source without connections: an unknown one if there is one among the longest unused."""
        while len(self._sources) > max(1, self._caps.sources):
            idle = [name for name, source in self._first(64) if not source.open]
            if not idle:
                return  # as many as there are seats at most
            now = max(source.at for _, source in self._first(64))
            unknown = [name for name in idle if not self._sources[name].known(now)]
            del self._sources[(unknown or idle)[0]]

    def _first(self, count: int) -> list[tuple[str, Source]]:
        return [pair for _, pair in zip(range(count), self._sources.items(), strict=False)]
