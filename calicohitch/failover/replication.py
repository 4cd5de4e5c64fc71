"""An owner's side of copies: what each holder has, which holders a part needs, and when a message is safe. No I/O, no
clock; milliseconds of the owner's clock come in, frames go out through `links`.

`published` is what the store names for a part, `pending` what a transaction of unknown result may have named: what an
act rests on has to be acknowledged by all of both, since any of them may claim. A holder is named only after it has
acknowledged all of a part, so whoever may claim knows every attempt that was made.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.records import ReplicaHolder
from . import frames


@dataclass(slots=True)
class ReplicatedMessage:
    """An open message that is copied."""

    part: int
    waits: bool  # its records are waited for
    payloads: Callable[[], Sequence[bytes]]  # all that is to be known of it, as records
    needs: bool = False  # it is not taken on while too few hold copies
    last: int = 0  # seq of its last record


@dataclass(eq=False)
class Link:
    """What is known of one holder's link. `send` takes a frame, and says whether the link has room for it."""

    relay: str
    holding: str
    send: Callable[[frames.Frame], bool]
    since: float
    acked: int = 0
    parts: dict[int, int] = field(default_factory=dict)  # part -> seq of its Whole
    oldest: float | None = None  # when the oldest unacknowledged record went out
    sent: int = 0
    refused: set[int] = field(default_factory=set)  # parts that it has no room for

    def ready(self, part: int) -> bool:
        """It has all of the part on its disk."""
        return part in self.parts and self.acked >= self.parts[part]


Parts = tuple[tuple[ReplicaHolder, ...], ...]


class Replication:
    """All copies of one relay's work."""

    def __init__(self, parts: int, copies: int) -> None:
        self._copies = copies
        self.links: dict[str, Link] = {}
        self.published: Parts = ((),) * parts
        self.pending: Parts = ((),) * parts
        self._messages: dict[int, ReplicatedMessage] = {}
        self._seq = 0
        self.alone = 0  # messages taken on though too few hold copies
        self.stuck = 0  # links ended because their buffer was full

    def __len__(self) -> int:
        return len(self._messages)

    @property
    def parts(self) -> int:
        return len(self.published)

    # Messages.

    def open(
        self, number: int, part: int, waits: bool, payloads: Callable[[], Sequence[bytes]], needs: bool = False
    ) -> None:
        """From now on its records are copied."""
        self._messages[number] = ReplicatedMessage(part, waits, payloads, needs)

    def record(self, number: int, payload: bytes, now: float, over: bool = False) -> None:
        """One more record of a message; `over`: it is the last."""
        message = self._messages.get(number)
        if message is None:
            return
        message.last = self._next()
        frame = frames.Record(message.last, message.part, payload)
        for link in list(self.links.values()):
            if message.part in link.parts:
                self._send(link, frame, now)
        if over:
            del self._messages[number]

    def abandon(self, number: int) -> None:
        """Nothing of it was journaled, or copied."""
        self._messages.pop(number, None)

    def numbers(self) -> list[int]:
        return list(self._messages)

    def wait(self, route: int, until: float, now: float) -> None:
        """A told wait, for all holders."""
        frame = frames.Wait(self._next(), route, until)
        for link in list(self.links.values()):
            self._send(link, frame, now)

    def is_copied(self, number: int) -> bool:
        return number in self._messages

    def mark(self, number: int) -> tuple[int, int]:
        """The message's part, and the record that is its last by now."""
        message = self._messages[number]
        return message.part, message.last

    def is_safe(self, number: int) -> bool:
        """All that was recorded of it is on the disks of all who may claim it; or it is of a class that does not
        wait."""
        message = self._messages.get(number)
        return message is None or not message.waits or self.has(message.part, message.last)

    def may_be_accepted(self, number: int) -> bool:
        """Its client may be told so: it is safe, and with as many as its class asks for. Guards a message against
        holders that left between its first record and its 202."""
        message = self._messages.get(number)
        return self.is_safe(number) and (message is None or not message.needs or self.enough(message.part))

    def has(self, part: int, seq: int) -> bool:
        """All who may claim the part have acknowledged so much."""
        for holder in self.required(part):
            link = self.links.get(holder.relay)
            if link is None or link.holding != holder.holding or part not in link.parts or link.acked < seq:
                return False
        return True

    def required(self, part: int) -> tuple[ReplicaHolder, ...]:
        return tuple(dict.fromkeys(self.published[part] + self.pending[part]))

    def enough(self, part: int) -> bool:
        """As many hold copies of the part as should."""
        return len(self.published[part]) >= self._copies

    # Links.

    def came_up(self, link: Link) -> None:
        self.links[link.relay] = link

    def went_down(self, relay: str, link: Link) -> None:
        if self.links.get(relay) is link:
            del self.links[relay]

    def acked(self, link: Link, seq: int, now: float) -> None:
        link.acked = max(link.acked, seq)
        link.oldest = None if link.acked >= link.sent else now

    def full(self, link: Link, part: int) -> None:
        """It has no room for the part."""
        link.parts.pop(part, None)
        link.refused.add(part)

    def _send(
        self, link: Link, frame: frames.Begin | frames.Whole | frames.Record | frames.Drop | frames.Wait, now: float
    ) -> bool:
        if not link.send(frame):
            # Guards this relay's memory against a holder that does not read: its link is ended, and the others go on.
            self.stuck += 1
            self.went_down(link.relay, link)
            return False
        link.sent = frame.seq
        if link.oldest is None:
            link.oldest = now
        return True

    def _next(self) -> int:
        self._seq += 1
        return self._seq

    def give(self, link: Link, part: int, now: float) -> None:
        """Send all that is open in a part; what comes after follows by itself."""
        if not self._send(link, frames.Begin(self._next(), part), now):
            return
        for message in list(self._messages.values()):
            if message.part == part:
                for payload in message.payloads():
                    if not self._send(link, frames.Record(self._next(), part, payload), now):
                        return
        whole = self._next()
        link.parts[part] = whole
        self._send(link, frames.Whole(whole, part), now)

    def take_away(self, link: Link, part: int, now: float) -> None:
        link.parts.pop(part, None)
        self._send(link, frames.Drop(self._next(), part), now)

    # Who should hold what.

    def arrange(self, wanted: Sequence[Sequence[str]], late: Callable[[str], bool], now: float) -> Parts:
        """Bring links to hold what they should, and say which holders are to be published now. `late`: a holder that
        has not acknowledged for too long, or has no link for as long; it is left out once it is."""
        target: list[tuple[ReplicaHolder, ...]] = []
        for part, relays in enumerate(wanted):
            for relay in relays:
                link = self.links.get(relay)
                if link and part not in link.parts and part not in link.refused:
                    self.give(link, part, now)
            ready = [
                ReplicaHolder(relay, self.links[relay].holding)
                for relay in relays
                if relay in self.links and self.links[relay].ready(part) and not late(relay)
            ]
            for holder in self.published[part]:  # nobody is left out before another is ready
                link = self.links.get(holder.relay)
                kept = link is None or link.holding == holder.holding and part in link.parts
                if len(ready) < self._copies and holder not in ready and kept and not late(holder.relay):
                    ready.append(holder)
            target.append(tuple(ready[: max(self._copies, 0)]))
        return tuple(target)

    def publishing(self, parts: Parts) -> None:
        """A transaction that names these is on its way."""
        self.pending = parts

    def publish(self, parts: Parts, now: float) -> None:
        """They are named, for certain; who is named no more need not hold the part."""
        before, self.published, self.pending = self.published, parts, ((),) * len(parts)
        for part, holders in enumerate(before):
            for holder in holders:
                link = self.links.get(holder.relay)
                if holder not in parts[part] and link and part in link.parts:
                    self.take_away(link, part, now)

    def holders(self) -> Iterable[str]:
        """All relays that hold something, or should by what is published."""
        return {holder.relay for part in range(self.parts) for holder in self.required(part)}
