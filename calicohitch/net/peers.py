"""Short messages between relays, one UDP datagram each; they may arrive late or be lost."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

import anyio
from loguru import logger

from ..config import Address

MAX_DATAGRAM_BYTES = 256
_BIND_RETRY_INTERVAL_S = 0.05


class Peers:
    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self._peers, self._broadcast, self._on_message = peers, broadcast, on_message
        self._numbers = {(peer.host, peer.port): number for number, peer in enumerate(peers)}
        self._listen = listen
        self._sock: socket.socket | None = None
        with suppress(OSError):  # the address may still be in use: `run` retries
            self._sock = self._open_socket()

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one relay, or to all if `peer` is None; one that cannot be sent is lost."""
        address = self._broadcast if peer is None else self._peers[peer] if peer < len(self._peers) else None
        if self._sock is None or address is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self._sock.sendto(data, (address.host, address.port))
        except OSError as err:
            logger.debug("a message to another relay was lost: {}", err)

    async def run(self) -> None:
        sock = self._sock or await self._wait_until_bound()
        while True:
            await anyio.wait_readable(sock)
            try:
                data, sender_address = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # spurious wake-up, or the ICMP error of an earlier datagram
                await anyio.sleep(0)
                continue
            number = self._numbers.get(sender_address[:2])
            if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
                self._on_message(number, data)

    async def _wait_until_bound(self) -> socket.socket:
        """Retry to bind while a terminating earlier process still holds the address. Until then the relay serves
        without messages from its peers."""
        warned = False
        while True:
            try:
                self._sock = self._open_socket()
                return self._sock
            except OSError as err:
                if not warned:
                    warned = True
                    logger.warning("cannot receive messages from other relays on {} yet: {}", self._listen, err)
                await anyio.sleep(_BIND_RETRY_INTERVAL_S)

    def _open_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.bind((self._listen.host, self._listen.port))
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return sock

    def close(self) -> None:
        if self._sock:
            self._sock.close()
