"""Notes between relays as the platform carries them: each relay has an address for every other and one for all, and
hears a note from the address that it knows its sender by. Any link can lose, delay or reorder."""

from __future__ import annotations

import asyncio

from fleet.links import UdpLink


class _All(asyncio.DatagramProtocol):
    """Where one relay sends what is for all."""

    def __init__(self, carry: list[UdpLink]) -> None:
        self.carry = carry

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        for link in self.carry:
            link.datagram_received(data, addr)


class Notes:
    """Links between `count` relays whose ports for notes are given. `peers[j]` and `everyone[j]` go into the
    configuration of relay j; `links[i, j]` carries what i says to j."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports, self._seed = ports, seed
        self.links: dict[tuple[int, int], UdpLink] = {}
        self.peers: list[list[str]] = []
        self.everyone: list[str] = []
        self._transports: list[asyncio.DatagramTransport] = []

    async def start(self) -> None:
        loop, count = asyncio.get_running_loop(), len(self.ports)
        for i in range(count):
            for j in range(count):
                if i != j:
                    link = self.links[i, j] = UdpLink(("127.0.0.1", self.ports[j]), self._seed + i * count + j)
                    await link.start()
        for j in range(count):
            self.peers.append([f"127.0.0.1:{self.links[i, j].port if i != j else self.ports[j]}" for i in range(count)])
            carry = [self.links[j, other] for other in range(count) if other != j]
            transport, _ = await loop.create_datagram_endpoint(
                lambda carry=carry: _All(carry), local_addr=("127.0.0.1", 0)
            )
            self._transports.append(transport)
            self.everyone.append(f"127.0.0.1:{transport.get_extra_info('sockname')[1]}")

    async def stop(self) -> None:
        for transport in self._transports:
            transport.close()
        for link in self.links.values():
            await link.stop()

    @property
    def carried(self) -> int:
        return sum(link.carried for link in self.links.values())
