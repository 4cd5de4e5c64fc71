"""Which of many sockets are readable, as reported by the event loop.

A separate epoll nested in the loop's would save a callback for each socket, but not every host wakes a poll for the
events of a nested poll: on such a host the relay would never notice a client.
"""

from __future__ import annotations

import asyncio
import socket

from ..core.change_notifier import ChangeNotifier


class Readiness:
    """Watches registered sockets without a task for each."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._readable: dict[int, None] = {}
        self._changes = ChangeNotifier()

    def register(self, sock: socket.socket) -> None:
        self._loop.add_reader(fd := sock.fileno(), self._mark_readable, fd)

    def unregister(self, sock: socket.socket) -> None:
        """Has to be called before the socket is closed, since its descriptor number may be reused at once."""
        self._loop.remove_reader(fd := sock.fileno())
        self._readable.pop(fd, None)

    def _mark_readable(self, fd: int) -> None:
        self._readable[fd] = None
        self._changes.notify()

    async def wait(self) -> None:
        """Wait until at least one socket is readable."""
        if not self._readable:
            await self._changes.wait()

    def take_one(self, sock: socket.socket) -> bool:
        """Whether this socket is readable; takes it if so."""
        fd = sock.fileno()
        if fd not in self._readable:
            return False
        del self._readable[fd]
        return True

    def take(self, limit: int) -> list[int]:
        """Take up to `limit` readable descriptors, in the order in which they became readable."""
        taken = list(self._readable)[:limit]
        for fd in taken:
            del self._readable[fd]
        return taken
