"""The rig with a coordination store and copies between relays: links of each relay to the store, and before where it
takes copies, that can fail."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from fleet.links import TcpLink
from fleet.rig import Relay, Rig
from fleet.standins import Destination
from fake_servers.etcd import Etcd
from ports import free_port

TTL_S = 2.0


class FleetRig(Rig):
    """`store[relay]` and `copies[relay]` are links. `classes`: KDL lines for the classes; all are copied first."""

    def __init__(
        self,
        seed: int,
        relays: int,
        dests: Iterable[Destination] = (),
        copies: int = 1,
        code: str = "",
        classes: str = "",
        zones: int = 1,
        grace_ms: int = 0,
        **other: Any,
    ) -> None:
        super().__init__(seed, relays, dests, code=code, **other)
        self.etcd = Etcd()
        self.store: dict[str, TcpLink] = {}
        self.copies: dict[str, TcpLink] = {}
        self._copies, self._classes, self._zones, self._grace_ms = copies, classes, zones, grace_ms

    async def __aenter__(self) -> FleetRig:
        await self.etcd.start()
        await super().__aenter__()
        return self

    async def __aexit__(self, *why: object) -> None:
        self.etcd.down = self.etcd.refusing = False
        await super().__aexit__(*why)
        for link in [*self.store.values(), *self.copies.values()]:
            await link.stop()
        await self.etcd.stop()

    async def add(self, name: str, number: int = 0, state: Path | None = None) -> Relay:
        relay = await super().add(name, number, state)
        listen = free_port()
        self.store[name] = TcpLink(name, ("127.0.0.1", self.etcd.port))
        self.copies[name] = TcpLink(name, ("127.0.0.1", listen))
        await self.store[name].start()
        await self.copies[name].start()
        operator = relay.folder / "operator.kdl"
        operator.write_text(
            f'fleet "rig" zone="z{number % self._zones}" {{\n'
            f'  store "127.0.0.1:{self.store[name].port}" timeout-ms=400\n'
            f'  listen "127.0.0.1:{listen}" advertise="127.0.0.1:{self.copies[name].port}"\n'
            f"  lease ttl-ms={TTL_S * 1e3:.0f} renew-ms=500 pause-ms=200 grace-ms={self._grace_ms}\n"
            f"  copies count={self._copies} parts=3 hold-mb=0.8 timeout-ms=300\n"
            f"  {self._classes}\n}}\n"
        )
        relay.arguments = ["serve", "--operator", str(operator)]
        return relay

    async def settled_in(self, seconds: float = 8.0) -> None:
        """Wait until each relay that is up has copies of all of its parts."""
        import asyncio

        until = self.story.now() + seconds
        while self.story.now() < until:
            up = [relay for relay in self.relays.values() if relay.up]
            if all("copies are held by" in relay.log().rpartition("has the folder")[2] for relay in up):
                return
            await asyncio.sleep(0.05)
        raise AssertionError("copies were never held:\n" + "\n".join(relay.log() for relay in self.relays.values()))
