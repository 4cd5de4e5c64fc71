"""Connection limits by source: caps, usage history, and which sources are known. No I/O; time is an argument.

A source is an address, or a prefix that operators count as one. Its usage history is a decaying count of the messages
that were accepted from it, and one of its connections. A source that recently submitted messages is known: it may use
the reserve, and a gateway, most of whose connections bring messages, is exempt from the cap of a single address. The
table is bounded whatever addresses connect: sources without a connection are evicted, the unknown ones first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import ipaddress  # costs memory, so it is imported only where prefixes are used

HALF_LIFE_MS = 60_000.0  # of the counts of a source
KNOWN_MIN_MESSAGES = 0.5  # after decay
_GATEWAY_MIN_MESSAGES = 8.0  # after decay; fewer and the source is capped as a single address
_GATEWAY_MESSAGES_PER_CONNECTION = 0.5  # at least, for a source to count as a gateway


class Verdict(Enum):
    """The decision on a new connection."""

    ENTER = "enter"
    OPEN_CAP = "too many open connections of its source"
    RATE_CAP = "too many new connections of its source"
    RESERVED = "the rest is kept for known clients"


@dataclass(frozen=True, slots=True)
class Trusted:
    """A prefix that operators trust, with its own cap on open connections for each source (0: no cap)."""

    network: ipaddress.IPv4Network | ipaddress.IPv6Network
    each: int = 0


@dataclass(frozen=True, slots=True)
class Caps:
    """Limits that operators set. `each`: open connections of one source; `new_per_s`: new connections of one source a
    second; 0 for no cap. `reserve`: the share of all connections that is reserved for known sources. `v4_bits` and
    `v6_bits`: the leading bits of an address that identify a source. `sources`: the size of the table."""

    each: int = 0
    new_per_s: float = 0.0
    reserve: float = 0.0
    v4_bits: int = 32
    v6_bits: int = 64
    sources: int = 4_096
    trusted: tuple[Trusted, ...] = ()


@dataclass(slots=True)
class Source:
    """One source: `open` connections now; `connects` and `messages` are decayed counts as of `at`, milliseconds."""

    open: int = 0
    connects: float = 0.0
    messages: float = 0.0
    at: float = 0.0
    tokens: float = 0.0
    refilled_at: float = -math.inf

    def decay(self, now: float) -> None:
        if now > self.at:
            remaining = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
            self.connects, self.messages, self.at = self.connects * remaining, self.messages * remaining, now

    def known(self, now: float) -> bool:
        self.decay(now)
        return self.messages >= KNOWN_MIN_MESSAGES

    def gateway(self, now: float) -> bool:
        self.decay(now)
        return (
            self.messages >= _GATEWAY_MIN_MESSAGES and self.messages >= _GATEWAY_MESSAGES_PER_CONNECTION * self.connects
        )


def _network(address: str, bits: int) -> str:
    import ipaddress

    return str(ipaddress.ip_network((address, bits), strict=False))


class Shares:
    """The sources of one listener that allows `most` connections."""

    def __init__(self, caps: Caps, most: int) -> None:
        self._caps, self.most = caps, most
        self._sources: OrderedDict[str, Source] = OrderedDict()  # least recently used first
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
        """Decide on a new connection, and count it if it may enter; then `leave` has to be called at its end."""
        name = self.name(address)
        source = self._sources.get(name)
        if source is None:
            source = self._sources[name] = Source(at=now, tokens=self._caps.new_per_s)
            self._evict()
        verdict = self._verdict(address, source, now)
        if verdict is Verdict.ENTER:
            source.decay(now)
            source.connects += 1
            source.open += 1
            self.taken += 1
        self._sources.move_to_end(name)
        return verdict, name

    def _verdict(self, address: str, source: Source, now: float) -> Verdict:
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
            elapsed_ms = max(0.0, now - source.refilled_at)
            source.tokens = min(max(1.0, caps.new_per_s), source.tokens + elapsed_ms * caps.new_per_s / 1e3)
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

    def message_accepted(self, name: str, now: float) -> None:
        """Count a message that was accepted from this source."""
        if source := self._sources.get(name):
            source.decay(now)
            source.messages += 1

    def known(self, name: str, now: float) -> bool:
        source = self._sources.get(name)
        return source is not None and source.known(now)

    def weight(self, name: str) -> int:
        """The number of open connections of a source."""
        source = self._sources.get(name)
        return source.open if source else 0

    def _evict(self) -> None:
        """Evict a source without connections: an unknown one if the least recently used 64 include one."""
        while len(self._sources) > max(1, self._caps.sources):
            idle = [name for name, source in self._least_recent(64) if not source.open]
            if not idle:
                return  # the table exceeds its size by at most the number of connections
            now = max(source.at for _, source in self._least_recent(64))
            unknown = [name for name in idle if not self._sources[name].known(now)]
            del self._sources[(unknown or idle)[0]]

    def _least_recent(self, count: int) -> list[tuple[str, Source]]:
        return [pair for _, pair in zip(range(count), self._sources.items(), strict=False)]
