"""Short notes between relays: one UDP datagram each, which may be late or lost."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
from loguru import logger

from ..config import Address

MAX_NOTE = 256


class Peers:
    def __init__(self, listen: Address, peers: tuple[Address, ...], everyone: Address | None,
                 heard: Callable[[int, bytes], None]) -> None:
        self._peers, self._everyone, self._heard = peers, everyone, heard
        self._numbers = {(peer.host, peer.port): n for n, peer in enumerate(peers)}
        family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        self._sock.bind((listen.host, listen.port))
        self._sock.setblocking(False)

    def tell(self, peer: int | None, data: bytes) -> None:
        """Send a note to one relay, or to all where `peer` is None; one that cannot be sent is lost."""
        to = self._everyone if peer is None else self._peers[peer] if peer < len(self._peers) else None
        if to is None or len(data) > MAX_NOTE:
            return
        try:
            self._sock.sendto(data, (to.host, to.port))
        except OSError as err:
            logger.debug("a note was lost: {}", err)

    async def run(self) -> None:
        while True:
            await anyio.wait_readable(self._sock)
            try:
                data, sender = self._sock.recvfrom(MAX_NOTE + 1)
            except OSError:  # nothing there after all, or word that an earlier note was not delivered
                await anyio.sleep(0)
                continue
            number = self._numbers.get(sender[:2])
            if number is not None and len(data) <= MAX_NOTE:
                self._heard(number, data)

    def close(self) -> None:
        self._sock.close()
