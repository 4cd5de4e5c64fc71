"""Which of many sockets have something to read, told by the event loop itself.

An epoll of its own within the loop's would save a callback each, but not every host that a relay runs under wakes a
poll by what another poll within it sees: there the relay would never hear of a client.
"""

from __future__ import annotations

import asyncio
import socket

from ..core.change_notifier import ChangeNotifier


class Readiness:
    """Sockets that are waited for without a task each, for as long as they are registered."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._came: dict[int, None] = {}
        self._changes = ChangeNotifier()

    def register(self, sock: socket.socket) -> None:
        self._loop.add_reader(fd := sock.fileno(), self._tell, fd)

    def unregister(self, sock: socket.socket) -> None:
        """Before it is closed: its number may be another's at once."""
        self._loop.remove_reader(fd := sock.fileno())
        self._came.pop(fd, None)

    def _tell(self, fd: int) -> None:
        self._came[fd] = None
        self._changes.notify()

    async def wait(self) -> None:
        """Until some of them have something to read."""
        if not self._came:
            await self._changes.wait()

    def take(self, most: int) -> list[int]:
        """So many of those that have, in the order in which they came."""
        taken = list(self._came)[:most]
        for fd in taken:
            del self._came[fd]
        return taken
