"""The list of endpoints: what discovery's answers say, and the watch that keeps them coming."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from loguru import logger

from ..clock import to_micros, to_ms
from ..config import Address, ConfigError
from ..interface import Listed, ListKind, ListTold, Phase
from ..config.settings import Names
from ..core.descriptor_budget import DescriptorUse, DescriptorBudget
from ..core.discovery_timeouts import DiscoveryTimeouts
from ..core.system_errors import RETRY_PAUSE_S, Step, of_this_machine
from .http import PersistentConnection, Moved

_MAX_LIST = 16 << 20
_CATCHES_UP_S = 6.5  # news counts as told after 6 s: a discovery that is behind for longer has lost its own
_SLICE = 100  # lines that are read in one turn of the loop: under 3 ms
_MOST_LEFT = 4_096  # endpoints of which it is remembered that they were told to go
_PHASES = {"Ready": Phase.READY, "Terminating": Phase.DRAINING, "Gone": Phase.GONE}


class ListError(Exception):
    """An answer of discovery that cannot be read."""


@dataclass(frozen=True, slots=True)
class Update:
    """One answer of discovery. `changes`, of a whole list that follows another: all that differs from it, what has
    gone included."""

    version: int
    complete: bool
    entries: tuple[Listed, ...]
    behind: bool = False  # it is older than what was told before
    changes: tuple[Listed, ...] | None = None

    def event(self, cached: bool = False) -> ListTold:
        """For the decisions, which take as long over a list as it has entries: no more of them than are needed."""
        if cached:
            return ListTold(ListKind.CACHED, self.version, self.entries)
        if self.changes is not None:
            return ListTold(ListKind.DELTA, self.version, self.changes)
        return ListTold(ListKind.FULL if self.complete else ListKind.DELTA, self.version, self.entries)


@dataclass(frozen=True, slots=True)
class Member:
    """One endpoint of the list, and where it is reached; one that goes may be told without an address."""

    id: str
    listed: Listed
    address: Address | None
    line: Mapping[str, Any] | None = field(default=None, compare=False, repr=False)  # as discovery told it last


class Directory:
    """The numbers under which the decisions know endpoints, and where each is reached. What has gone is
    forgotten: one that comes back under its old id gets a new number."""

    def __init__(self, names: Names, speaks: Callable[[str, str, int], int] = lambda *_: 1) -> None:
        self._names, self._speaks = names, speaks
        self._numbers: dict[str, int] = {}
        self._members: dict[int, Member] = {}
        self._last = 0
        self._dests: set[int] = set()
        self._newest = -1
        self._ahead: dict[str, Member] = {}  # lines of the next list that were read ahead, by name
        self._stored: list[dict[str, Any]] | None = None  # what `storable_members` gives, until the list changes
        self._left: dict[str, int] = {}  # who was told to drain or to be gone -> its last start, in microseconds

    def knows(self, dest: int) -> bool:
        """Whether the list has named an endpoint for a destination; true of all while there is no list."""
        return not self._dests or dest in self._dests

    def get(self, endpoint: int) -> Member | None:
        """What the list last said of an endpoint that is not gone."""
        return self._members.get(endpoint)

    def read(self, told: Any, anew: bool = False) -> Update:
        """An answer in discovery's form. One that is older than what was told comes of a discovery that is behind:
        nobody whom a newer one told to go comes back by it, unless `anew`: then it is how things are.

        A line that cannot be read is left out where it names nobody who is known; who is known stays as it was, since
        what cannot be read is unknown and not gone. Of such a line the word that its endpoint drains or is gone is
        believed all the same: it costs less to stop than not to."""
        try:
            version, complete, items = int(told["revision"]), bool(told["complete"]), told["members"]
            if not isinstance(items, list):  # of which nothing could be read: nobody is gone by it
                raise TypeError(f"members is no list but {type(items).__name__}")
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ListError(f"the list cannot be read: {type(err).__name__}: {err}") from err
        behind = version < self._newest and not anew
        if anew:
            self._left.clear()
        if not behind:
            self._newest = version
        follows = complete and not behind and not anew and bool(self._members)
        entries, changes = [], []
        for item in items:
            if (known := self._unchanged(item)) is not None:
                entries.append(known.listed)
                self._left.pop(known.id, None)
                continue
            try:
                member = self._read_ahead(item) or self._member(item)
            except (ConfigError, KeyError, TypeError, ValueError, OverflowError, AttributeError) as err:
                logger.warning("a line of the list cannot be read: {}: {} in {}", type(err).__name__, err, item)
                number = self._numbers.get(str(item.get("id"))) if isinstance(item, dict) else None
                if number is None:
                    continue
                member = self._members[number]
            if member.listed.phase is Phase.READY and self._left.get(member.id) == member.listed.since and behind:
                if (number := self._numbers.get(member.id)) is None:
                    continue
                member = self._members[number]  # which drains
            entries.append(member.listed)
            changes.append(member.listed)
            self._stored = None
            if member.listed.phase is Phase.READY:
                self._left.pop(member.id, None)
            else:
                self._goes(member)
            if member.listed.phase is Phase.GONE:
                self._forget(member.listed.endpoint)
            else:
                self._numbers[member.id] = member.listed.endpoint
                self._members[member.listed.endpoint] = member
        self._dests |= {entry.dest for entry in entries}
        if complete:  # what a whole list does not name is gone
            self._dests = {entry.dest for entry in entries}
            for endpoint in self._members.keys() - {entry.endpoint for entry in entries}:
                if not behind:  # one that is behind may not know it yet
                    self._goes(self._members[endpoint])
                changes.append(replace(self._members[endpoint].listed, phase=Phase.GONE))
                self._forget(endpoint)
        return Update(version, complete, tuple(entries), behind, tuple(changes) if follows else None)

    def read_ahead(self, items: Sequence[Any]) -> None:
        """Read some lines of the list that comes next: a long list is read in slices, between which others have their
        turn. What cannot be read is met again by `read`."""
        for item in items:
            with suppress(ConfigError, KeyError, TypeError, ValueError, OverflowError, AttributeError):
                if self._unchanged(item) is None:
                    member = self._member(item)
                    self._ahead[member.id] = member

    def _read_ahead(self, item: Any) -> Member | None:
        member = self._ahead.pop(str(item.get("id")), None) if self._ahead and isinstance(item, dict) else None
        return member if member and member.line is item else None

    def _unchanged(self, item: Any) -> Member | None:
        """The endpoint that is ready, and was told by just this line before."""
        if not isinstance(item, dict) or not isinstance(name := item.get("id"), str):
            return None
        member = self._members.get(self._numbers.get(name, 0))
        return member if member and member.line == item else None

    def _goes(self, member: Member) -> None:
        self._left.pop(member.id, None)
        self._left[member.id] = member.listed.since
        if len(self._left) > _MOST_LEFT:
            del self._left[next(iter(self._left))]

    def storable_members(self) -> list[dict[str, Any]]:
        """What is known of all endpoints that are not gone, in discovery's form; made anew where that has changed."""
        if self._stored is None:
            self._stored = self._made_told()
        return self._stored

    def __len__(self) -> int:
        return len(self._members)

    def _made_told(self) -> list[dict[str, Any]]:
        phases = {phase: word for word, phase in _PHASES.items()}
        return [
            {
                "id": m.id,
                "host_port": str(m.address) if m.address else "",
                "locality": m.listed.zone,
                "flavor": m.listed.kind,
                "cell": m.listed.dest,
                "phase": phases[m.listed.phase],
                "size": m.listed.weight,
                "up_since_ms": to_ms(m.listed.since),
            }
            for m in self._members.values()
        ]

    def number(self, name: str) -> int | None:
        """The number of an endpoint that the list has named."""
        return self._numbers.get(name)

    def _forget(self, endpoint: int) -> None:
        if member := self._members.pop(endpoint, None):
            del self._numbers[member.id]
            self._stored = None

    def _member(self, item: dict[str, Any]) -> Member:
        phase, name = _PHASES[item["phase"]], str(item["id"])
        address = Address.parse(item["host_port"], "host_port") if phase is Phase.READY else None
        number = self._numbers.get(name)
        if phase is not Phase.READY and number is not None:  # what goes may be told by its id alone
            known = self._members[number]
            return replace(known, listed=replace(known.listed, phase=phase), line=None)
        if not (math.isfinite(weight := float(item.get("size", 1.0))) and weight >= 0):
            raise ValueError(f"size is {weight}")
        if number is None:
            self._last = number = self._last + 1
        entry = Listed(
            endpoint=number,
            dest=int(item["cell"]),
            phase=phase,
            kind=Names.number(self._names.kinds, item.get("flavor")),
            zone=Names.number(self._names.zones, item.get("locality")),
            weight=weight,
            since=to_micros(item.get("up_since_ms", 0)),
            speaks=self._speaks(name, str(item.get("flavor", "")), int(item["cell"])),
        )
        return Member(name, entry, address, item if phase is Phase.READY else None)


class Discovery:
    """Asks for the whole list, then watches it; while discovery is silent the list stays as it is. With a list at hand
    it begins with the watch of that: news of it is all that is missing, and costs a discovery that all ask less."""

    def __init__(
        self,
        address: Address,
        directory: Directory,
        tell: Callable[[ListTold], None],
        timeouts: DiscoveryTimeouts,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        descriptor = (descriptors, DescriptorUse.DISCOVERY) if descriptors else None
        self._agent = PersistentConnection(address, _MAX_LIST, needs_body=True, descriptor=descriptor)
        self._directory, self._tell = directory, tell
        self._version: int | None = None
        self._at_once = False  # the list at hand may be old
        self._failures = 0
        self._believed_at: float | None = None  # when a discovery that is behind is one that has lost its own
        self._timeouts = timeouts
        self._moved = anyio.Event()  # set by a move
        self.heard = anyio.Event()  # set by the first answer

    @property
    def version(self) -> int | None:
        """Of the list as it is at hand; None where there is none."""
        return self._version

    def has(self, version: int) -> None:
        """The whole list is at hand as it was in this version, which may be old."""
        self._version, self._at_once = version, True

    def move(self, address: Address) -> None:
        """Ask for the whole list there, at once; a watch under way at the old address is left, and a pause ended.
        Only for an address that is another."""
        self._version = self._believed_at = None
        self._moved.set()
        self._agent.move(address)

    async def run(self) -> None:
        while True:
            self._moved = anyio.Event()
            try:
                await self._ask()
                if self._failures:
                    logger.info("discovery answers again, after {} failures", self._failures)
                self._failures = 0
                self._timeouts.answered()
            except Moved:
                # Guards against news that count as told while nobody asks: the old address was left, and the new one
                # has not failed, so there is nothing to stay away from.
                self._timeouts.answered()
            except (OSError, ListError, ValueError, RecursionError) as err:  # silence is a TimeoutError: an OSError
                if not self._failures:
                    logger.warning("discovery: {}: {}; the list stays as it is", type(err).__name__, err)
                self._failures += 1
                with anyio.move_on_after(self._pause_s(err)):
                    await self._moved.wait()
                    self._timeouts.answered()

    async def _read_ahead(self, told: Any) -> None:
        items = told.get("members") if isinstance(told, dict) else None
        if isinstance(items, list) and len(items) > _SLICE:
            for first in range(0, len(items), _SLICE):
                self._directory.read_ahead(items[first : first + _SLICE])
                await anyio.sleep(0)

    def _pause_s(self, err: Exception) -> float:
        """Until the next question. Where this machine could not even ask, discovery has nothing to be spared from."""
        if of_this_machine(err, Step.CONNECTED):
            return RETRY_PAUSE_S
        return self._timeouts.pause_s(silent=isinstance(err, OSError))

    async def _ask(self) -> None:
        target, wait = "/registry/instances", 0
        if anew := self._believed_at is not None and anyio.current_time() >= self._believed_at:
            self._version = None
        if self._version is not None:
            wait = self._timeouts.wait_ms(self._at_once)
            target = f"{target}?index={self._version}&wait={wait}"
        response = await self._agent.request("GET", target, self._timeouts.timeout_s(wait))
        if response.status != 200:
            raise ListError(f"the answer is {response.status}")
        told = json.loads(response.body)
        await self._read_ahead(told)
        update = self._directory.read(told, anew)
        if not update.behind:
            self._believed_at = None
        elif self._believed_at is None:
            self._believed_at = anyio.current_time() + _CATCHES_UP_S
        if update.complete or update.entries:  # always: the directory has read them
            self._tell(update.event())
        if self._version is not None and update.version < self._version and not update.complete:
            # Guards against a list of an earlier life, or of a discovery that lost its own: nothing new would be told.
            logger.warning(
                "discovery is at revision {} and was at {}: all of its list is asked for", update.version, self._version
            )
            self._version = None
            return
        self._version, self._at_once = update.version, False
        self.heard.set()
