"""One client's call between its stream and the attempts at it.

What the client sent is kept up to a bound, so that an attempt that surely may be repeated can be. Past the bound the
stream goes on with what is yet to be sent, and cannot be repeated any more. Nothing is read from the client that
there is no room for, and nothing from the endpoint that the client does not take: HTTP/2's windows do the rest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ..wire.http2 import Http2Stream
from ..core.change_notifier import ChangeNotifier
from .codec import Deframer, Headers, Request, metadata


@dataclass(frozen=True, slots=True)
class Answer:
    """How the endpoint's answer ended: the trailers as they are passed on, and whether headers went before them."""

    trailers: Headers
    initial: Headers = ()  # of an answer that ended without a message, not passed on yet


@dataclass(eq=False)
class Pipe:
    """`keep` bounds the bytes of the client's messages that are held, and `most` each message."""

    request: Request
    stream: Http2Stream
    keep: int
    most: int
    deadline: float  # of the whole call, in the clock's milliseconds
    streams: bool = False  # the client may send more than one message
    begun: bool = False  # a part of an answer was passed on
    cancelled: bool = False
    ended: bool = False  # the client has sent all
    lost: bool = False  # some of what it sent is no longer kept
    _kept: deque[bytes] = field(default_factory=deque)
    _size: int = 0
    _taken: int = 0  # messages that the present attempt took of those kept
    _attempt: object | None = None
    _changes: ChangeNotifier = field(default_factory=ChangeNotifier)
    on_cancel: Callable[[], None] | None = None  # ends the attempt that is out

    @property
    def can_repeat(self) -> bool:
        return not self.begun and not self.lost and not self.cancelled

    async def read(self) -> None:
        """Take in what the client sends, until it ends. StreamReset where it gives up, CodecError where it breaks
        the protocol."""
        deframer = Deframer(self.most)
        while (data := await self.stream.receive()) is not None:
            for message in deframer.feed(data):
                await self._put(message)
        deframer.end()
        self.ended = True
        self._changes.notify()

    async def _put(self, message: bytes) -> None:
        while self._size and self._size + len(message) > self.keep:
            if self._attempt is not None and self._taken:
                self.lost = True  # what the attempt has is past recall: only the rest is kept from here on
                while self._taken:
                    self._size -= len(self._kept.popleft())
                    self._taken -= 1
                continue
            await self._changes.wait()
        self._kept.append(message)
        self._size += len(message)
        self._changes.notify()

    async def messages(self) -> AsyncIterator[tuple[bytes, bool]]:
        """What the client sent, from the first on, for one attempt; with each whether it is the last that there is."""
        self._attempt = token = object()
        self._taken = 0
        while self._attempt is token:
            if self._taken < len(self._kept):
                message = self._kept[self._taken]
                self._taken += 1
                self._changes.notify()
                yield message, self.ended and self._taken == len(self._kept)
            elif self.ended:
                return
            else:
                await self._changes.wait()

    def let_go(self) -> None:
        """The attempt is over."""
        self._attempt = self.on_cancel = None

    def whole(self) -> bytes | None:
        """All that the client sent, where all of it is here, for an attempt that takes it at once."""
        if not self.ended or self.lost:
            return None
        self._taken = len(self._kept)
        return b"".join(self._kept)

    def cancel(self) -> None:
        """The client has given up."""
        self.cancelled = True
        if self.on_cancel:
            self.on_cancel()

    async def pass_headers(self, headers: Headers) -> None:
        """Headers of an answer; its first data must follow, and takes them along."""
        self.begun = True
        await self.stream.send_headers([(b":status", b"200"), *metadata(headers)], more=True)

    async def pass_data(self, data: bytes, last: bool) -> None:
        """`last`: the answer's end is here as well, and goes out with it."""
        await self.stream.send(data, more=last)


def first_of(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """The first error in a group of groups: of the tasks of one call, the one that ended the others."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
