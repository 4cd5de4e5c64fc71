"""Copy links on TCP: one from each owner to each relay that holds copies of its work. Bytes in and out, with bounds."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator

import anyio
from anyio.abc import ByteStream

from ..core.change_notifier import ChangeNotifier
from . import frames

_READ = 64 << 10
_WRITE = 256 << 10  # bytes of frames that are written at once


class Outbox:
    """What is to be written to a link. Full past `most` bytes: who adds to it then is told so."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._waiting: deque[bytes] = deque()
        self.size = 0
        self._changes = ChangeNotifier()
        self.closed = False

    def put(self, frame: frames.Frame) -> bool:
        data = frames.encode(frame)
        if self.closed or self.size + len(data) > self._most:
            self.close()
            return False
        self._waiting.append(data)
        self.size += len(data)
        self._changes.notify()
        return True

    def close(self) -> None:
        self.closed = True
        self._changes.notify()

    async def drain(self, stream: ByteStream) -> None:
        """Write what comes, until it is closed."""
        while not self.closed:
            if not self._waiting:
                await self._changes.wait()
                continue
            batch, length = [], 0
            while self._waiting and length < _WRITE:
                batch.append(self._waiting.popleft())
                length += len(batch[-1])
            await stream.send(b"".join(batch))
            self.size -= length


async def incoming(stream: ByteStream) -> AsyncIterator[list[frames.Frame]]:
    """Frames as they come, together what came together; BadFrame for what is none."""
    reader = frames.Reader()
    while True:
        try:
            data = await stream.receive(_READ)
        except anyio.EndOfStream:
            return
        if found := reader.feed(data):
            yield found
