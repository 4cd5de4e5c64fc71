"""Short notes between relays: one UDP datagram each, which may be late or lost."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

import anyio
from loguru import logger

from ..config import Address

MAX_NOTE = 256
_AGAIN_S = 0.05


class Peers:
    def __init__(
        self, listen: Address, peers: tuple[Address, ...], everyone: Address | None, heard: Callable[[int, bytes], None]
    ) -> None:
        self._peers, self._everyone, self._heard = peers, everyone, heard
        self._numbers = {(peer.host, peer.port): n for n, peer in enumerate(peers)}
        self._listen = listen
        self._sock: socket.socket | None = None
        with suppress(OSError):  # its address may not be free yet: `run` tries again
            self._sock = self._opened()

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a note to one relay, or to all where `peer` is None; one that cannot be sent is lost."""
        to = self._everyone if peer is None else self._peers[peer] if peer < len(self._peers) else None
        if self._sock is None or to is None or len(data) > MAX_NOTE:
            return
        try:
            self._sock.sendto(data, (to.host, to.port))
        except OSError as err:
            logger.debug("a note was lost: {}", err)

    async def run(self) -> None:
        sock = self._sock or await self._bound()
        while True:
            await anyio.wait_readable(sock)
            try:
                data, sender = sock.recvfrom(MAX_NOTE + 1)
            except OSError:  # nothing there after all, or word that an earlier note was not delivered
                await anyio.sleep(0)
                continue
            number = self._numbers.get(sender[:2])
            if number is not None and len(data) <= MAX_NOTE:
                self._heard(number, data)

    async def _bound(self) -> socket.socket:
        """Guards a start against an earlier process that is still ending: notes begin a little later, and the relay
        serves without them."""
        warned = False
        while True:
            try:
                self._sock = self._opened()
                return self._sock
            except OSError as err:
                if not warned:
                    warned = True
                    logger.warning("notes cannot be heard at {} yet: {}", self._listen, err)
                await anyio.sleep(_AGAIN_S)

    def _opened(self) -> socket.socket:
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
