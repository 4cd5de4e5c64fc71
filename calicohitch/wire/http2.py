"""HTTP/2 connections on h2 and a `Link`, with prior knowledge, as server or as client.

Flow control is by stream: data is acknowledged on its stream when the reader takes it, so a slow reader buffers one
stream window at most. The connection window is acknowledged on receipt, so that reader does not stall other streams.
Sending waits for the peer's windows and for the socket, so a slow peer makes this side buffer one chunk per stream.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from loguru import logger

from ..clock import Clock
from ..net.http import Link
from .peer_limits import TINY_DATA_BYTES, PeerAction, PeerLimiter
from ..core.change_notifier import ChangeNotifier

Headers = Sequence[tuple[bytes, bytes]]
Codes = h2.errors.ErrorCodes
_MAX_UNSENT_BYTES = 2 << 20
_READS_PER_YIELD = 8  # reads of one connection before other tasks run
_RESET_FLUSH_TIMEOUT_S = 0.1  # the peer may not be reading


@dataclass(frozen=True, slots=True)
class Http2Limits:
    """Bounds of one connection; sizes in bytes, times in milliseconds."""

    streams: int = 100  # that the peer may have open
    stream_window: int = 64 << 10
    connection_window: int = 1 << 20
    header_list: int = 16 << 10
    frame: int = 16 << 10
    quiet_ms: float = 300_000.0  # silence with streams open after which a ping is sent; 0: never
    answer_ms: float = 20_000.0  # the connection is closed if the ping is not answered in time


class StreamReset(Exception):
    """A stream ended early. `code` is the peer's error code, or the nearest one if the connection was lost.
    `never_ran`: the peer guarantees that it did not process the stream."""

    def __init__(self, code: int, never_ran: bool = False, text: str = "") -> None:
        super().__init__(text or f"the stream was reset: {Codes(code).name if code in list(Codes) else code}")
        self.code, self.never_ran = code, never_ran


class Http2Stream:
    """One stream. Read `headers` first, then call `receive` until it returns None, then read `trailers` if any."""

    def __init__(self, connection: Http2Connection, number: int) -> None:
        self._connection, self.number = connection, number
        self.headers: Headers | None = None
        self.trailers: Headers | None = None
        self._chunks: deque[tuple[bytes, int]] = deque()  # data, and its flow-controlled size in bytes
        self.changes = ChangeNotifier()  # the peer sent something, or the stream ended
        self._send_ready = ChangeNotifier()  # a window may have opened
        self.remote_ended = self.local_ended = False
        self.reset: StreamReset | None = None
        self.unacknowledged_bytes = 0  # read, but not yet returned to the peer's stream window

    def _notify(self) -> None:
        self.changes.notify()
        self._send_ready.notify()

    @property
    def finished(self) -> bool:
        """Nothing more is sent or received on it."""
        return self.reset is not None or self.local_ended and self.remote_ended

    async def wait_headers(self) -> Headers:
        """The peer's headers; `remote_ended` is set for a trailers-only answer. Raises StreamReset if none come."""
        while self.headers is None:
            if self.reset:
                raise self.reset
            await self.changes.wait()
        return self.headers

    async def receive(self) -> bytes | None:
        """Returns the next data, or None at the end, and opens the stream window by its size."""
        while not self._chunks:
            if self.reset:
                raise self.reset
            if self.remote_ended:
                return None
            await self.changes.wait()
        data, size = self._chunks.popleft()
        if not self.remote_ended:
            await self._connection.acknowledge(self, size)
        return data

    @property
    def all_received(self) -> bool:
        """The peer has ended the stream, and all of its data was read."""
        return self.remote_ended and not self._chunks

    async def send_headers(self, headers: Headers, end: bool = False, more: bool = False) -> None:
        """`more`: the headers are written together with what is sent next on this stream."""
        self._check_open()
        self._connection.state.send_headers(self.number, list(headers), end_stream=end)
        self.local_ended = end
        if not more:
            await self._connection.flush()

    async def send(self, data: bytes, end: bool = False, more: bool = False) -> None:
        """Sends data in pieces that the peer's windows allow. Returns once the kernel has the last byte; with `more`,
        the last piece is written together with what is sent next on this stream."""
        remaining = memoryview(data)
        while True:
            self._check_open()
            sendable_bytes = min(
                self._connection.state.local_flow_control_window(self.number),
                self._connection.state.max_outbound_frame_size,
            )
            if sendable_bytes <= 0 and len(remaining):
                await self._send_ready.wait()
                continue
            piece, remaining = remaining[:sendable_bytes], remaining[sendable_bytes:]
            last = end and not len(remaining)
            self._connection.state.send_data(self.number, bytes(piece), end_stream=last)
            self.local_ended = last
            if not (more and not len(remaining)):
                await self._connection.flush()
            if not len(remaining):
                return

    def fits_send_window(self, size: int) -> bool:
        """Whether the peer's windows allow `size` bytes on a stream whose headers are not sent yet."""
        state = self._connection.state
        return size <= min(state.remote_settings.initial_window_size, state.outbound_flow_control_window)

    async def end(self) -> None:
        await self.send(b"", end=True)

    async def cancel(self, code: int = Codes.CANCEL) -> None:
        """Resets the stream unless it has finished, and removes it from the connection."""
        self._chunks.clear()
        if not self.finished:
            self.reset = StreamReset(code, text="given up here")
            self._connection.reset(self, code)
            with anyio.move_on_after(_RESET_FLUSH_TIMEOUT_S):
                await self._connection.flush()
        self._connection.remove(self)
        self._notify()

    def discard(self) -> None:
        """Removes a finished stream from the connection."""
        self._chunks.clear()
        self._connection.remove(self)

    def _check_open(self) -> None:
        if self.reset:
            raise self.reset
        if self._connection.closed:
            raise StreamReset(Codes.CONNECT_ERROR, text="the connection is gone")


class Http2Connection:
    """One connection. `run` reads it until it ends; `on_stream` is called for each stream that the peer opens."""

    def __init__(
        self,
        link: Link,
        clock: Clock,
        limits: Http2Limits,
        client: bool,
        on_stream: Callable[[Http2Stream], None] | None = None,
    ) -> None:
        self._link, self._clock, self._limits, self._on_stream = link, clock, limits, on_stream
        config = h2.config.H2Configuration(
            client_side=client,
            header_encoding=False,
            # Outbound headers were validated by h2 on receipt or are built in normal form by this program.
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
        self.state = h2.connection.H2Connection(config)
        self.state.decoder.max_header_list_size = limits.header_list
        self.state.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: limits.stream_window,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_list,
                h2.settings.SettingCodes.MAX_FRAME_SIZE: limits.frame,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.streams: dict[int, Http2Stream] = {}
        self._limiter = PeerLimiter()
        self._lock = anyio.Lock()
        self._unacknowledged_bytes = 0  # not yet returned to the peer's connection window
        self._unsent = bytearray()  # not yet accepted by the kernel
        self._read_scope = anyio.CancelScope()
        self.closed = False  # nothing can be sent
        self.draining = False  # a GOAWAY of either side forbids new streams
        self.close_reason: str = ""  # for the GOAWAY and the log
        self.idle_since = self._received_at = clock.now()
        self._ping_sent_at = 0.0

    async def start(self) -> None:
        self.state.initiate_connection()
        self.state.increment_flow_control_window(self._limits.connection_window)
        await self.flush()

    @property
    def can_open(self) -> bool:
        """Whether this side may open another stream within the limits of the peer and its own."""
        if self.draining or self.closed:
            return False
        return self.state.open_outbound_streams < min(
            self.state.remote_settings.max_concurrent_streams, self._limits.streams
        )

    def open(self) -> Http2Stream:
        """Opens a stream from this side."""
        stream = Http2Stream(self, self.state.get_next_available_stream_id())
        self.streams[stream.number] = stream
        return stream

    async def run(self) -> None:
        """Reads until the connection ends, then fails every open stream."""
        try:
            with self._read_scope:
                await self._read()
        except OSError:
            pass
        except h2.exceptions.ProtocolError as err:  # this side's state is out of step with the peer's
            self.close_reason = f"{type(err).__name__}: {err}"[:200]
        finally:
            self.closed = self.draining = True
            for stream in list(self.streams.values()):
                self._fail_stream(
                    stream, StreamReset(Codes.CONNECT_ERROR, text=self.close_reason or "the connection broke")
                )
            self.streams.clear()
            # Shutting down wakes a sender that waits for the socket. Closing the descriptor under that wait would let
            # it continue on another socket that was given the same number.
            self._link.shut_down()
            with anyio.CancelScope(shield=True):
                async with self._lock:
                    self._link.close()

    async def _read(self) -> None:
        """Reads until the peer ends the connection or breaks the protocol."""
        reads = 0
        while not self.closed:
            data = await self._link.receive()
            if not data:
                break
            self._received_at = self._clock.now()
            if (reads := reads + 1) % _READS_PER_YIELD == 0:
                await anyio.sleep(0)
            try:
                events = self.state.receive_data(data)
            except h2.exceptions.ProtocolError as err:
                self.close_reason = f"{type(err).__name__}: {err}"[:200]
                await self._final_flush()
                break
            if any(isinstance(event, h2.events.ConnectionTerminated) for event in events):
                self._restore_open_state()  # before the events of the same read are handled
            for event in events:
                self._handle(event)
            if self.close_reason:
                self.state.close_connection(Codes.ENHANCE_YOUR_CALM, self.close_reason.encode()[:100])
                await self._final_flush()
                break
            await self.flush()

    async def _final_flush(self) -> None:
        with anyio.move_on_after(0.5):
            await self.flush()

    async def flush(self) -> None:
        """Writes pending frames to the socket in order; waits while the peer does not read."""
        if not self._lock.locked() and self._send_available():
            return
        async with self._lock:
            while True:
                self._unsent += self.state.data_to_send()
                if self.closed or not self._unsent:
                    return
                try:
                    # A sender may be cancelled in the middle of a frame: bytes that the kernel did not
                    # accept stay buffered for the next sender, else the peer would read a corrupt frame.
                    if sent := self._link.send_some(self._unsent):
                        del self._unsent[:sent]
                    elif len(self._unsent) > _MAX_UNSENT_BYTES:
                        raise ConnectionResetError("the peer does not read what it makes this side answer")
                    else:
                        await self._link.wait_writable()
                except OSError:
                    self._mark_lost()
                    return

    def _send_available(self) -> bool:
        """Writes what the kernel accepts without waiting; returns whether nothing remains. The lock must be free."""
        self._unsent += self.state.data_to_send()
        if not self.closed and self._unsent:
            try:
                del self._unsent[: self._link.send_some(self._unsent)]
            except OSError:
                self._mark_lost()
        return self.closed or not self._unsent

    def _mark_lost(self) -> None:
        self.closed = self.draining = True
        self._read_scope.cancel()

    def check_liveness(self) -> None:
        """Detects a peer that disappeared without closing the connection, whose streams would otherwise never end.

        Pings a peer that was silent for `quiet_ms`, and closes the connection if no answer comes. To be called
        periodically."""
        now = self._clock.now()
        if self.closed or not self.streams or not self._limits.quiet_ms:
            return
        if self._ping_sent_at > self._received_at:
            if now - self._ping_sent_at > self._limits.answer_ms:
                self.close_reason = "the peer does not answer a ping"
                self.close()
        elif now - self._received_at > self._limits.quiet_ms:
            self._ping_sent_at = now
            self.state.ping(b"is there")
            if not self._lock.locked():  # else the holder of the lock sends the ping
                self._send_available()

    async def goaway(self) -> None:
        """Refuses new streams from the peer, which are never processed. Open streams continue."""
        if not self.closed and not self.draining:
            self.draining = True
            # Streams that the peer opens before it reads the GOAWAY are refused one by one.
            self.state.close_connection(last_stream_id=self.state.highest_inbound_stream_id)
            self._restore_open_state()
            await self.flush()

    def _restore_open_state(self) -> None:
        """Undoes h2's change to the closed state at a GOAWAY: by the protocol, open streams continue."""
        states = h2.connection.ConnectionState
        self.state.state_machine.state = states.CLIENT_OPEN if self.state.config.client_side else states.SERVER_OPEN

    def close(self) -> None:
        self.closed = self.draining = True
        for stream in list(self.streams.values()):
            self._fail_stream(stream, StreamReset(Codes.CANCEL, text="the connection is closed"))
        self._read_scope.cancel()  # `run` closes the socket, since only the task that reads from it may

    async def acknowledge(self, stream: Http2Stream, size: int) -> None:
        stream.unacknowledged_bytes += size
        if stream.reset or self.closed or stream.unacknowledged_bytes < self._limits.stream_window // 2:
            return  # one WINDOW_UPDATE per half window saves CPU and does not stall the peer
        unacknowledged_bytes, stream.unacknowledged_bytes = stream.unacknowledged_bytes, 0
        try:
            self.state.increment_flow_control_window(unacknowledged_bytes, stream.number)
        except h2.exceptions.ProtocolError:
            return
        await self.flush()

    def reset(self, stream: Http2Stream, code: int) -> None:
        try:
            self.state.reset_stream(stream.number, code)
        except h2.exceptions.ProtocolError:
            pass

    def remove(self, stream: Http2Stream) -> None:
        if self.streams.pop(stream.number, None) and not self.streams:
            self.idle_since = self._clock.now()

    def _fail_stream(self, stream: Http2Stream, error: StreamReset) -> None:
        if not stream.reset and not (stream.remote_ended and stream.local_ended):
            stream.reset = error
        stream._notify()

    def _count_action(self, action: PeerAction) -> None:
        if self._limiter.exceeds_limit(action, self._clock.now()):
            self.close_reason = f"too many {action.value}"

    def _handle(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived() if event.stream_id is not None:
                self._request_received(event)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                if stream := self.streams.get(event.stream_id or 0):
                    received_headers = list(event.headers or ())
                    if isinstance(event, h2.events.TrailersReceived):
                        stream.trailers = received_headers
                    else:
                        stream.headers = received_headers
                    stream._notify()
            case h2.events.DataReceived():
                self._data_received(event)
            case h2.events.StreamEnded():
                if stream := self.streams.get(event.stream_id or 0):
                    stream.remote_ended = True
                    stream._notify()
            case h2.events.StreamReset():
                if stream := self.streams.get(event.stream_id or 0):
                    if event.remote_reset:
                        self._count_action(PeerAction.RESET)
                    code = int(event.error_code or 0)
                    self._fail_stream(stream, StreamReset(code, never_ran=code == Codes.REFUSED_STREAM))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                if isinstance(event, h2.events.RemoteSettingsChanged):
                    self._count_action(PeerAction.SETTINGS)
                for stream in list(self.streams.values()):
                    stream._send_ready.notify()
            case h2.events.PingReceived():
                self._count_action(PeerAction.PING)
            case h2.events.ConnectionTerminated():
                self._goaway_received(event)
            case _:
                pass

    def _request_received(self, event: h2.events.RequestReceived) -> None:
        assert event.stream_id is not None
        stream = Http2Stream(self, event.stream_id)
        if self.draining:  # opened before the peer read the GOAWAY
            self.reset(stream, Codes.REFUSED_STREAM)
            return
        stream.headers = list(event.headers or ())
        stream.remote_ended = event.stream_ended is not None
        self.streams[stream.number] = stream
        if self._on_stream:
            self._on_stream(stream)

    def _data_received(self, event: h2.events.DataReceived) -> None:
        size, data = event.flow_controlled_length or 0, event.data or b""
        self._unacknowledged_bytes += (
            size  # returned whether or not it is read, so that a slow reader stalls its own stream only
        )
        if self._unacknowledged_bytes >= self._limits.connection_window // 2:
            unacknowledged_bytes, self._unacknowledged_bytes = self._unacknowledged_bytes, 0
            self.state.increment_flow_control_window(unacknowledged_bytes)
        if len(data) < TINY_DATA_BYTES and event.stream_ended is None:
            self._count_action(PeerAction.EMPTY)
        stream = self.streams.get(event.stream_id or 0)
        if stream is None:
            self._count_action(PeerAction.STRAY)
            return
        if data:
            stream._chunks.append((data, size))
        stream._notify()

    def _goaway_received(self, event: h2.events.ConnectionTerminated) -> None:
        """Handles the peer's GOAWAY: streams above its last id were not processed; the others continue."""
        self.draining = True
        last = event.last_stream_id if event.last_stream_id is not None else 0
        for stream in list(self.streams.values()):
            if self.state.config.client_side and stream.number > last:
                self._fail_stream(
                    stream, StreamReset(int(event.error_code or 0), never_ran=True, text="above a GOAWAY")
                )
        if event.error_code:
            logger.debug("the peer sent GOAWAY with error {}: {}", event.error_code, event.additional_data)
