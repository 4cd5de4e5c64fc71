"""An endpoint drains, goes, and an endpoint of another destination takes over its address."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from stage import Endpoint, Registry, Relay, Stage, member

OLD_CELL, NEW_CELL = 3, 5
GRACE_MS = 300.0  # 250 ms, and the 50 ms by which every limit is longer on sockets


class Move:
    """Two endpoints for one destination, one for another. `drain` tells that the first is draining; `replace` ends it,
    and an endpoint of the other destination begins at its address."""

    def __init__(self, stage: Stage, registry: Registry) -> None:
        self._stage, self.registry = stage, registry
        self.old: Endpoint
        self.new: Endpoint | None = None
        self.foreign: list[tuple[float, str]] = []  # calls at the new endpoint of messages for the old destination
        self.known = registry.whole()

    async def begin(self, fill: int = 0) -> None:
        """`fill`: further endpoints in the list, of other destinations."""
        self.old = await self._stage.endpoint("s-old", OLD_CELL)
        stays = await self._stage.endpoint("s-stays", OLD_CELL)
        stays.work_s = 0.2  # slower, so that the first one is preferred
        other = await self._stage.endpoint("s-other", NEW_CELL)
        first = [(self.old, OLD_CELL), (stays, OLD_CELL), (other, NEW_CELL)]
        members = [member(endpoint.name, endpoint.address, cell) for endpoint, cell in first]
        members += [member(f"s-fill-{n:04d}", f"127.0.0.1:{20_000 + n}", 100 + n // 2) for n in range(fill)]
        self.registry.set(*members)
        self.known = self.registry.whole()

    def drain(self) -> float:
        self.registry.set(member(self.old.name, self.old.address, OLD_CELL, "Terminating"))
        return self._stage.record.add("drains", endpoint=self.old.name, revision=self.registry.revision)

    async def replace(self) -> float:
        await self.old.close()
        self.new = await self._stage.endpoint("s-new", NEW_CELL, self._called, self.old.port)
        self.registry.set(
            member(self.old.name, self.old.address, OLD_CELL, "Gone"),
            member(self.new.name, self.new.address, NEW_CELL),
        )
        return self._stage.record.add("replaced", address=self.old.address, revision=self.registry.revision)

    def _called(self, _endpoint: Endpoint, wire_id: str, at: float) -> None:
        if wire_id in self._stage.clients.sent and self._stage.clients.sent[wire_id][2] != NEW_CELL:
            self.foreign.append((at, wire_id))

    async def traffic(self, relays: Sequence[Relay], for_s: float, per_s: float = 12.0) -> None:
        """Messages for both destinations, to each relay in turn."""
        until = self._stage.record.now() + for_s * 1e3
        turn = 0
        while self._stage.record.now() < until:
            for relay in relays:
                turn += 1
                cell = NEW_CELL if turn % 4 == 0 else OLD_CELL
                cls, time_ms = ("score-updates", 5_000) if turn % 5 == 0 else ("entry-orders", 24_000)
                asyncio.ensure_future(self._stage.clients.hand_in(relay, cls, cell, time_ms, key=cls == "entry-orders"))
            await asyncio.sleep(1 / per_s)

    def verdict(self, told: float) -> str:
        """What broke the rule. `told`: from when on the drain counts as told at the latest."""
        late = [at for at, _ in self.old.calls if at > told + GRACE_MS]
        self._stage.record.add(
            "judged", told_at_the_latest=round(told), to_the_drained=len(late), foreign=len(self.foreign)
        )
        if self.foreign:
            ids = " ".join(wire_id for _, wire_id in self.foreign[:5])
            return (
                f"{len(self.foreign)} messages for destination {OLD_CELL} were sent to an endpoint of destination "
                f"{NEW_CELL} ({ids} ...); {len(late)} to the drained one"
            )
        if late:
            return f"{len(late)} messages were sent to a draining endpoint over {GRACE_MS:.0f} ms after it was told"
        return ""
