"""A scripted HTTP/2 peer on a plain socket, kind or rude: it sends whatever frames a test says."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Callable

import h2.config
import h2.connection
import h2.events

from calicohitch.config import Address

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


def raw_frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


class RawClient:
    """Speaks to the relay's front; `closed` waits for the end of the connection and gives the GOAWAY's code."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection((address.host, address.port), 5)
        self.state = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True, header_encoding=None))
        self.state.initiate_connection()
        self.flush()

    def flush(self) -> None:
        self.sock.sendall(self.state.data_to_send())

    def request(self, path: str, end: bool = False, more: tuple[tuple[str, str], ...] = ()) -> int:
        stream = self.state.get_next_available_stream_id()
        self.state.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", path),
                (":authority", "x"),
                ("content-type", "application/grpc"),
                ("te", "trailers"),
                *more,
            ],
            end_stream=end,
        )
        return stream

    def closed(self, limit_s: float = 10.0) -> int | None:
        """The code of the GOAWAY before the end, -1 where the connection ended without one."""
        self.sock.settimeout(0.2)
        until, data = time.monotonic() + limit_s, bytearray()
        while time.monotonic() < until:
            try:
                got = self.sock.recv(65_536)
            except TimeoutError:
                continue
            except OSError:
                got = b""
            if not got:
                break
            data += got
        else:
            return None
        code, at = -1, 0
        while at + 9 <= len(data):
            size = int.from_bytes(data[at : at + 3], "big")
            if data[at + 3] == 7:
                code = int.from_bytes(data[at + 13 : at + 17], "big")
            at += 9 + size
        return code


class RawServer:
    """An endpoint that accepts connections one after the other and hands each event to `act(state, event)`, whose
    effects on `state` are sent."""

    def __init__(self, act: Callable[[h2.connection.H2Connection, h2.events.Event], None]) -> None:
        self.act = act
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.requests: list[tuple[int, int]] = []  # connection, stream
        self._count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self._count += 1
            threading.Thread(target=self._serve, args=(sock, self._count), daemon=True).start()

    def _serve(self, sock: socket.socket, number: int) -> None:
        state = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
        state.initiate_connection()
        state.number = number  # type: ignore[attr-defined]
        sock.sendall(state.data_to_send())
        try:
            while data := sock.recv(65_536):
                for event in state.receive_data(data):
                    if isinstance(event, h2.events.RequestReceived):
                        self.requests.append((number, event.stream_id or 0))
                    self.act(state, event)
                sock.sendall(state.data_to_send())
        except (OSError, h2.exceptions.ProtocolError):
            pass
        finally:
            sock.close()

    def close(self) -> None:
        self.listener.close()
