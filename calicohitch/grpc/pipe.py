"""One call, between the client's stream and the attempts to deliver it.

The client's messages are buffered up to a limit, so that a call can be retried. Beyond the limit the stream continues
without the messages that were already sent, and can no longer be retried. Data is read from the client only while the
buffer has capacity, and from the endpoint only as the client reads it; HTTP/2 flow control does the rest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ..wire.http2 import Http2Stream
from ..core.change_notifier import ChangeNotifier
from .codec import Deframer, Headers, Request, forwarded_metadata


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of the endpoint's response: the trailers to forward, and its headers if they were not forwarded yet."""

    trailers: Headers
    initial: Headers = ()  # of a response that ended without a message


@dataclass(eq=False)
class Pipe:
    """`buffer_limit_bytes` limits what is buffered of the client's messages, `max_message_bytes` each message."""

    request: Request
    stream: Http2Stream
    buffer_limit_bytes: int
    max_message_bytes: int
    deadline: float  # of the whole call, in the clock's milliseconds
    streams: bool = False  # the client may send more than one message
    answer_started: bool = False  # a part of the response was forwarded
    cancelled: bool = False
    ended: bool = False  # the client has sent everything
    incomplete: bool = False  # sent messages were removed from the buffer
    _buffered: deque[bytes] = field(default_factory=deque)
    _buffered_bytes: int = 0
    _attempt_position: int = 0  # buffered messages that the current attempt has read
    _attempt: object | None = None
    _changes: ChangeNotifier = field(default_factory=ChangeNotifier)
    on_cancel: Callable[[], None] | None = None  # ends the current attempt

    @property
    def can_repeat(self) -> bool:
        return not self.answer_started and not self.incomplete and not self.cancelled

    async def read(self) -> None:
        """Buffers what the client sends until it ends. Raises StreamReset if the client resets the stream, CodecError
        if it breaks the protocol."""
        deframer = Deframer(self.max_message_bytes)
        while (data := await self.stream.receive()) is not None:
            for message in deframer.feed(data):
                await self._put(message)
        deframer.end()
        self.ended = True
        self._changes.notify()

    async def _put(self, message: bytes) -> None:
        while self._buffered_bytes and self._buffered_bytes + len(message) > self.buffer_limit_bytes:
            if self._attempt is not None and self._attempt_position:
                self.incomplete = True  # sent messages are dropped to free capacity, so no retry is possible
                while self._attempt_position:
                    self._buffered_bytes -= len(self._buffered.popleft())
                    self._attempt_position -= 1
                continue
            await self._changes.wait()
        self._buffered.append(message)
        self._buffered_bytes += len(message)
        self._changes.notify()

    async def messages(self) -> AsyncIterator[tuple[bytes, bool]]:
        """Yields the client's messages from the first for one attempt, each with whether it is the last."""
        self._attempt = token = object()
        self._attempt_position = 0
        while self._attempt is token:
            if self._attempt_position < len(self._buffered):
                message = self._buffered[self._attempt_position]
                self._attempt_position += 1
                self._changes.notify()
                yield message, self.ended and self._attempt_position == len(self._buffered)
            elif self.ended:
                return
            else:
                await self._changes.wait()

    def release(self) -> None:
        """Detaches the current attempt, which has ended."""
        self._attempt = self.on_cancel = None

    def complete_body(self) -> bytes | None:
        """Returns all messages if all are buffered, else None, for an attempt that sends them in one write."""
        if not self.ended or self.incomplete:
            return None
        self._attempt_position = len(self._buffered)
        return b"".join(self._buffered)

    def cancel(self) -> None:
        """Cancels the call, whose client has given up."""
        self.cancelled = True
        if self.on_cancel:
            self.on_cancel()

    async def pass_headers(self, headers: Headers) -> None:
        """Forwards the headers of the response; its first data must follow, and is written together with them."""
        self.answer_started = True
        await self.stream.send_headers([(b":status", b"200"), *forwarded_metadata(headers)], more=True)

    async def pass_data(self, data: bytes, last: bool) -> None:
        """Forwards data. `last`: the end of the response has arrived, and is written together with it."""
        await self.stream.send(data, more=last)


def first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Returns the first error of nested groups: among the tasks of a call, the one that ended the others."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
