"""HTTP/2 connections by h2 over a `Link`, with prior knowledge, as server or as client.

Flow control is by stream: what a stream's reader has not taken yet is not acknowledged there, so a slow reader holds
one stream's window at most, and stalls nobody else on the connection, whose own window is given back at once.
Sending waits for the peer's windows and for the socket, so a slow peer holds one chunk a stream here.
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
from .conduct import TINY, Act, Conduct
from ..core.change_notifier import ChangeNotifier

Headers = Sequence[tuple[bytes, bytes]]
Codes = h2.errors.ErrorCodes
_MOST_UNSENT = 2 << 20
_READS_A_TURN = 8  # of one connection, before the others have theirs
_LAST_WORD_S = 0.1  # for a reset to reach a peer that may not be reading


@dataclass(frozen=True, slots=True)
class Http2Limits:
    """Bounds of one connection; sizes in bytes, times in milliseconds."""

    streams: int = 100  # that the peer may have open
    stream_window: int = 64 << 10
    connection_window: int = 1 << 20
    header_list: int = 16 << 10
    frame: int = 16 << 10
    quiet_ms: float = 300_000.0  # a peer that says nothing for so long, with streams open, is asked; 0: never
    answer_ms: float = 20_000.0  # and given up where it does not answer within this


class StreamReset(Exception):
    """A stream ended without its rest. `code` is the peer's error code, or what fits best where the connection
    went; `never_ran`: the peer has said that it took no notice of the stream."""

    def __init__(self, code: int, never_ran: bool = False, text: str = "") -> None:
        super().__init__(text or f"the stream was reset: {Codes(code).name if code in list(Codes) else code}")
        self.code, self.never_ran = code, never_ran


class Http2Stream:
    """One stream. `headers` comes first, then `receive` until it gives None, then `trailers` if there are any."""

    def __init__(self, connection: Http2Connection, number: int) -> None:
        self._connection, self.number = connection, number
        self.headers: Headers | None = None
        self.trailers: Headers | None = None
        self._chunks: deque[tuple[bytes, int]] = deque()  # data, and what it took of the window
        self.changes = ChangeNotifier()  # of what the peer sent, or that the stream is over
        self._room = ChangeNotifier()  # that sending may go on
        self.remote_ended = self.local_ended = False
        self.reset: StreamReset | None = None
        self.owed = 0  # bytes of its window that were taken and are not given back yet

    def _tell(self) -> None:
        self.changes.notify()
        self._room.notify()

    @property
    def over(self) -> bool:
        """Nothing more comes or goes on it."""
        return self.reset is not None or self.local_ended and self.remote_ended

    async def wait_headers(self) -> Headers:
        """The peer's headers (trailers-only answers have `remote_ended` set); StreamReset where none come."""
        while self.headers is None:
            if self.reset:
                raise self.reset
            await self.changes.wait()
        return self.headers

    async def receive(self) -> bytes | None:
        """The next data, None at the end. Taking it opens the window for as much again."""
        while not self._chunks:
            if self.reset:
                raise self.reset
            if self.remote_ended:
                return None
            await self.changes.wait()
        data, size = self._chunks.popleft()
        if not self.remote_ended:
            await self._connection.taken(self, size)
        return data

    @property
    def all_taken(self) -> bool:
        """The peer has sent its last, and all data of it was taken."""
        return self.remote_ended and not self._chunks

    async def send_headers(self, headers: Headers, end: bool = False, more: bool = False) -> None:
        """`more`: what is sent next on this stream takes them along, in one write with it."""
        self._check()
        self._connection.state.send_headers(self.number, list(headers), end_stream=end)
        self.local_ended = end
        if not more:
            await self._connection.flush()

    async def send(self, data: bytes, end: bool = False, more: bool = False) -> None:
        """Returns once the last byte was handed to the kernel (with `more`: to whoever sends next on this stream), in
        pieces that the peer's windows allow."""
        left = memoryview(data)
        while True:
            self._check()
            room = min(
                self._connection.state.local_flow_control_window(self.number),
                self._connection.state.max_outbound_frame_size,
            )
            if room <= 0 and len(left):
                await self._room.wait()
                continue
            piece, left = left[:room], left[room:]
            last = end and not len(left)
            self._connection.state.send_data(self.number, bytes(piece), end_stream=last)
            self.local_ended = last
            if not (more and not len(left)):
                await self._connection.flush()
            if not len(left):
                return

    def takes_at_once(self, size: int) -> bool:
        """Whether the peer's windows allow so many bytes on a stream whose headers are not sent yet."""
        state = self._connection.state
        return size <= min(state.remote_settings.initial_window_size, state.outbound_flow_control_window)

    async def end(self) -> None:
        await self.send(b"", end=True)

    async def cancel(self, code: int = Codes.CANCEL) -> None:
        """Give the stream up; nothing happens where it is over."""
        self._chunks.clear()
        if not self.over:
            self.reset = StreamReset(code, text="given up here")
            self._connection.reset(self, code)
            with anyio.move_on_after(_LAST_WORD_S):
                await self._connection.flush()
        self._connection.forget(self)
        self._tell()

    def drop(self) -> None:
        """Forget a stream that is over."""
        self._chunks.clear()
        self._connection.forget(self)

    def _check(self) -> None:
        if self.reset:
            raise self.reset
        if self._connection.gone:
            raise StreamReset(Codes.CONNECT_ERROR, text="the connection is gone")


class Http2Connection:
    """One connection. `run` reads it until it ends; `on_stream` is called for each stream that a client opens."""

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
            # What is sent was read by h2 from the other side, or is made here in the form that it is to have.
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
        self._conduct = Conduct()
        self._lock = anyio.Lock()
        self._owed = 0  # bytes of the connection's window that are not given back yet
        self._out = bytearray()  # what the kernel has not taken yet
        self._reading = anyio.CancelScope()
        self.gone = False  # nothing can be sent any more
        self.draining = False  # no new streams, by a GOAWAY of either side
        self.fault: str = ""  # what the peer broke
        self.idle_since = self._heard_at = clock.now()
        self._asked_at = 0.0

    async def start(self) -> None:
        self.state.initiate_connection()
        self.state.increment_flow_control_window(self._limits.connection_window)
        await self.flush()

    @property
    def can_open(self) -> bool:
        """Whether one more stream may be opened here, by the peer's word."""
        if self.draining or self.gone:
            return False
        return self.state.open_outbound_streams < min(
            self.state.remote_settings.max_concurrent_streams, self._limits.streams
        )

    def open(self) -> Http2Stream:
        """A new stream of this side."""
        stream = Http2Stream(self, self.state.get_next_available_stream_id())
        self.streams[stream.number] = stream
        return stream

    async def run(self) -> None:
        """Read until the connection ends; every stream hears of that."""
        try:
            with self._reading:
                await self._read()
        except OSError:
            pass
        except h2.exceptions.ProtocolError as err:  # this side's state and the peer's have parted
            self.fault = f"{type(err).__name__}: {err}"[:200]
        finally:
            self.gone = self.draining = True
            for stream in list(self.streams.values()):
                self._break(stream, StreamReset(Codes.CONNECT_ERROR, text=self.fault or "the connection broke"))
            self.streams.clear()
            # Guards against a descriptor that is closed while a sender still waits on it: the number may be another
            # socket's by then. The shutdown ends such a wait.
            self._link.shut_down()
            with anyio.CancelScope(shield=True):
                async with self._lock:
                    self._link.close()

    async def _read(self) -> None:
        """Until the peer ends the connection, or breaks its rules."""
        reads = 0
        while not self.gone:
            data = await self._link.receive()
            if not data:
                break
            self._heard_at = self._clock.now()
            if (reads := reads + 1) % _READS_A_TURN == 0:
                await anyio.sleep(0)
            try:
                events = self.state.receive_data(data)
            except h2.exceptions.ProtocolError as err:
                self.fault = f"{type(err).__name__}: {err}"[:200]
                await self._last_flush()
                break
            if any(isinstance(event, h2.events.ConnectionTerminated) for event in events):
                self._reopen()  # before the events that came with it are acted upon
            for event in events:
                self._handle(event)
            if self.fault:
                self.state.close_connection(Codes.ENHANCE_YOUR_CALM, self.fault.encode()[:100])
                await self._last_flush()
                break
            await self.flush()

    async def _last_flush(self) -> None:
        with anyio.move_on_after(0.5):
            await self.flush()

    async def flush(self) -> None:
        """Hand to the kernel what is ready, in order; waits while the peer does not read."""
        if not self._lock.locked() and self._push():
            return
        async with self._lock:
            while True:
                self._out += self.state.data_to_send()
                if self.gone or not self._out:
                    return
                try:
                    # Guards the connection against a sender that is cancelled in the middle of a frame: what the
                    # kernel has not taken stays here for whoever sends next.
                    if sent := self._link.send_some(self._out):
                        del self._out[:sent]
                    elif len(self._out) > _MOST_UNSENT:
                        raise ConnectionResetError("the peer does not read what it makes this side answer")
                    else:
                        await self._link.wait_writable()
                except OSError:
                    self._lose()
                    return

    def _push(self) -> bool:
        """Hand to the kernel what it takes at once; whether nothing is left. Only while nobody else is at it."""
        self._out += self.state.data_to_send()
        if not self.gone and self._out:
            try:
                del self._out[: self._link.send_some(self._out)]
            except OSError:
                self._lose()
        return self.gone or not self._out

    def _lose(self) -> None:
        self.gone = self.draining = True
        self._reading.cancel()

    def look_alive(self) -> None:
        """Guards streams against a peer that is gone without a word: one that was long quiet is asked whether it is
        there, and its streams break where it does not answer. To be called now and then."""
        now = self._clock.now()
        if self.gone or not self.streams or not self._limits.quiet_ms:
            return
        if self._asked_at > self._heard_at:
            if now - self._asked_at > self._limits.answer_ms:
                self.fault = "the peer does not answer a ping"
                self.close()
        elif now - self._heard_at > self._limits.quiet_ms:
            self._asked_at = now
            self.state.ping(b"is there")
            if not self._lock.locked():  # else whoever holds it takes the ping along
                self._push()

    async def goaway(self) -> None:
        """No new streams from the peer: what it opens from now on never runs. Open ones go on."""
        if not self.gone and not self.draining:
            self.draining = True
            # Streams that cross this on the wire are refused one by one.
            self.state.close_connection(last_stream_id=self.state.highest_inbound_stream_id)
            self._reopen()
            await self.flush()

    def _reopen(self) -> None:
        """h2 counts a connection as closed from a GOAWAY on; by the protocol its open streams go on."""
        states = h2.connection.ConnectionState
        self.state.state_machine.state = states.CLIENT_OPEN if self.state.config.client_side else states.SERVER_OPEN

    def close(self) -> None:
        self.gone = self.draining = True
        for stream in list(self.streams.values()):
            self._break(stream, StreamReset(Codes.CANCEL, text="the connection is closed"))
        self._reading.cancel()  # `run` closes the socket: only who waits on it may

    async def taken(self, stream: Http2Stream, size: int) -> None:
        stream.owed += size
        if stream.reset or self.gone or stream.owed < self._limits.stream_window // 2:
            return  # guards the CPU: half a window at a time keeps the peer going, with a frame for many
        owed, stream.owed = stream.owed, 0
        try:
            self.state.increment_flow_control_window(owed, stream.number)
        except h2.exceptions.ProtocolError:
            return
        await self.flush()

    def reset(self, stream: Http2Stream, code: int) -> None:
        try:
            self.state.reset_stream(stream.number, code)
        except h2.exceptions.ProtocolError:
            pass

    def forget(self, stream: Http2Stream) -> None:
        if self.streams.pop(stream.number, None) and not self.streams:
            self.idle_since = self._clock.now()

    def _break(self, stream: Http2Stream, why: StreamReset) -> None:
        if not stream.reset and not (stream.remote_ended and stream.local_ended):
            stream.reset = why
        stream._tell()

    def _count(self, act: Act) -> None:
        if self._conduct.did(act, self._clock.now()):
            self.fault = f"too many {act.value}"

    def _handle(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived() if event.stream_id is not None:
                self._opened(event)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                if stream := self.streams.get(event.stream_id or 0):
                    told = list(event.headers or ())
                    if isinstance(event, h2.events.TrailersReceived):
                        stream.trailers = told
                    else:
                        stream.headers = told
                    stream._tell()
            case h2.events.DataReceived():
                self._data(event)
            case h2.events.StreamEnded():
                if stream := self.streams.get(event.stream_id or 0):
                    stream.remote_ended = True
                    stream._tell()
            case h2.events.StreamReset():
                if stream := self.streams.get(event.stream_id or 0):
                    if event.remote_reset:
                        self._count(Act.RESET)
                    code = int(event.error_code or 0)
                    self._break(stream, StreamReset(code, never_ran=code == Codes.REFUSED_STREAM))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                if isinstance(event, h2.events.RemoteSettingsChanged):
                    self._count(Act.SETTINGS)
                for stream in list(self.streams.values()):
                    stream._room.notify()
            case h2.events.PingReceived():
                self._count(Act.PING)
            case h2.events.ConnectionTerminated():
                self._terminated(event)
            case _:
                pass

    def _opened(self, event: h2.events.RequestReceived) -> None:
        assert event.stream_id is not None
        stream = Http2Stream(self, event.stream_id)
        if self.draining:  # it crossed our GOAWAY
            self.reset(stream, Codes.REFUSED_STREAM)
            return
        stream.headers = list(event.headers or ())
        stream.remote_ended = event.stream_ended is not None
        self.streams[stream.number] = stream
        if self._on_stream:
            self._on_stream(stream)

    def _data(self, event: h2.events.DataReceived) -> None:
        size, data = event.flow_controlled_length or 0, event.data or b""
        self._owed += size  # the connection's window is given back whoever reads: a slow reader stalls its stream alone
        if self._owed >= self._limits.connection_window // 2:
            owed, self._owed = self._owed, 0
            self.state.increment_flow_control_window(owed)
        if len(data) < TINY and event.stream_ended is None:
            self._count(Act.EMPTY)
        stream = self.streams.get(event.stream_id or 0)
        if stream is None:
            self._count(Act.STRAY)
            return
        if data:
            stream._chunks.append((data, size))
        stream._tell()

    def _terminated(self, event: h2.events.ConnectionTerminated) -> None:
        """The peer's GOAWAY: streams above its last id never ran; the others go on."""
        self.draining = True
        last = event.last_stream_id if event.last_stream_id is not None else 0
        for stream in list(self.streams.values()):
            if self.state.config.client_side and stream.number > last:
                self._break(stream, StreamReset(int(event.error_code or 0), never_ran=True, text="above a GOAWAY"))
        if event.error_code:
            logger.debug("a peer's GOAWAY: {} {}", event.error_code, event.additional_data)
