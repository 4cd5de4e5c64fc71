"""Links between parties, with faults: a TCP proxy and a UDP proxy on the loopback, each between two addresses.

A fault holds from when it is set until it is taken back, on the connections that are open as on new ones. `up` is
from who connects to who listens.
"""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress
from dataclasses import dataclass

_READ = 16 << 10


@dataclass(slots=True)
class Fault:
    """What a link does to what it carries. `stall`: nothing moves and nothing is lost. `drop`: bytes vanish, as on a
    cut line whose ends do not know. `cut_after`: so many more bytes, then both ends are reset. `refuse`: new
    connections are reset at once. `silent`: new connections come up and lead nowhere (half open)."""

    stall_up: bool = False
    stall_down: bool = False
    drop_up: bool = False
    drop_down: bool = False
    cut_after: int | None = None
    refuse: bool = False
    silent: bool = False
    delay_s: float = 0.0


def one_way_up() -> Fault:
    """What the caller sends arrives; what is answered does not."""
    return Fault(drop_down=True)


def cut_off() -> Fault:
    """Nothing passes and nobody is told."""
    return Fault(drop_up=True, drop_down=True, silent=True)


class Listener:
    """Listens on the loopback from `start` to `stop`, which ends what it has open as well."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._entered, "127.0.0.1", 0, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _entered(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        try:
            await self._accepted(reader, writer)
        finally:
            self._tasks.discard(task)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class TcpLink(Listener):
    """Listens at `port` and leads to an address. `names` maps the port of a connection onward to the link's name, so
    that the party behind it knows who calls."""

    def __init__(self, name: str, to: tuple[str, int], names: dict[int, str] | None = None) -> None:
        super().__init__()
        self.name, self._to, self._names = name, to, names if names is not None else {}
        self.fault = Fault()
        self.opened = 0

    @property
    def port(self) -> int:
        return self.address[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        onward: asyncio.StreamWriter | None = None
        try:
            if self.fault.refuse:
                return
            while self.fault.silent:
                await asyncio.sleep(0.05)
            back, onward = await asyncio.open_connection(*self._to)
            self._names[onward.get_extra_info("sockname")[1]] = self.name
            pumps = [
                asyncio.ensure_future(self._pump(reader, onward, True)),
                asyncio.ensure_future(self._pump(back, writer, False)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, onward):
                if each is not None:
                    _reset(each)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool) -> None:
        while data := await reader.read(_READ):
            if self.fault.delay_s:
                await asyncio.sleep(self.fault.delay_s)
            while self.fault.stall_up if up else self.fault.stall_down:
                await asyncio.sleep(0.01)
            if self.fault.drop_up if up else self.fault.drop_down:
                continue
            left = self.fault.cut_after
            if left is not None:
                data, self.fault.cut_after = data[:left], max(0, left - len(data))
            writer.write(data)
            await writer.drain()
            if self.fault.cut_after == 0 and left is not None:
                return


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close so that the other end is told by a reset."""
    with suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
    writer.close()


class UdpLink(asyncio.DatagramProtocol):
    """Carries datagrams to an address: `loss` of them vanish, `delay_s` holds each, and `reorder` of them are held as
    long again, so that later ones pass. Seeded, so that the same datagrams meet the same fate."""

    def __init__(self, to: tuple[str, int], seed: int = 0) -> None:
        self._to, self._random = to, random.Random(seed)
        self.loss = self.reorder = self.delay_s = 0.0
        self.carried = self.lost = 0
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    async def stop(self) -> None:
        if self._transport:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        if self._random.random() < self.loss:
            self.lost += 1
            return
        late = self.delay_s * (2 if self._random.random() < self.reorder else 1)
        asyncio.get_running_loop().call_later(late, self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self.carried += 1
            self._transport.sendto(data, self._to)
