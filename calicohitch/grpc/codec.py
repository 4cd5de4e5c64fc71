"""gRPC on HTTP/2 as bytes and header lists: framing, timeouts, status messages, metadata. No I/O.

Messages are forwarded unchanged, with their compression flag and encoding. Nothing is decompressed, so a
decompression bomb costs no more than its compressed size.
"""

from __future__ import annotations

import base64
import binascii
import math
import re
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .status import Status

Headers = Sequence[tuple[bytes, bytes]]

_PREFIX = struct.Struct(">BI")
PREFIX_SIZE = _PREFIX.size
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_UNITS_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1_000.0, b"m": 1.0, b"u": 1e-3, b"n": 1e-6}
_MAX_TIMEOUT_MS = 10 * 365 * 86_400_000.0
_METADATA_KEY = re.compile(rb"[0-9a-z_.\-]{1,256}")
_PRINTABLE_ASCII = re.compile(rb"[ -~]*")
_PATH = re.compile(rb"/([A-Za-z0-9_.\-]{1,255})/([A-Za-z0-9_.\-]{1,255})")


class CodecError(Exception):
    """A peer broke the protocol; `status` is the status code for it, and the text becomes the `grpc-message`."""

    def __init__(self, status: Status, text: str) -> None:
        super().__init__(text)
        self.status = status


class Deframer:
    """Splits a stream's data into messages, each with its prefix. Buffers one message at most: a length prefix above
    the limit is refused before the message arrives."""

    def __init__(self, max_message_bytes: int) -> None:
        self._max_message_bytes = max_message_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that are complete. Raises CodecError: RESOURCE_EXHAUSTED if a message is too long,
        INTERNAL if its compression flag is invalid."""
        self._buffer += data
        found = []
        while len(self._buffer) >= PREFIX_SIZE:
            flag, length = _PREFIX.unpack_from(self._buffer)
            if flag > 1:
                raise CodecError(Status.INTERNAL, f"a message begins with the flag {flag}, which is neither 0 nor 1")
            if length > self._max_message_bytes:
                raise CodecError(
                    Status.RESOURCE_EXHAUSTED,
                    f"a message of {length} bytes; {self._max_message_bytes} are passed through at most",
                )
            if len(self._buffer) < PREFIX_SIZE + length:
                break
            found.append(bytes(self._buffer[: PREFIX_SIZE + length]))
            del self._buffer[: PREFIX_SIZE + length]
        return found

    def end(self) -> None:
        """Marks the end of the stream; raises CodecError in the middle of a message."""
        if self._buffer:
            raise CodecError(Status.INTERNAL, "the stream ended in the middle of a message")


def frame(message: bytes, compressed: bool = False) -> bytes:
    return _PREFIX.pack(compressed, len(message)) + message


def parse_timeout(text: bytes) -> float:
    """Parses a `grpc-timeout` into milliseconds; CodecError unless it is 1 to 8 digits and a unit."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise CodecError(Status.INVALID_ARGUMENT, f"grpc-timeout {text[:40]!r} is not 1 to 8 digits and one of HMSmun")
    return min(int(match[1]) * _UNITS_MS[match[2]], _MAX_TIMEOUT_MS)


def encode_timeout(ms: float) -> bytes:
    """Encodes milliseconds as a `grpc-timeout`, rounded down, but not below one nanosecond."""
    for unit, scale in ((b"n", 1e-6), (b"u", 1e-3), (b"m", 1.0), (b"S", 1e3), (b"M", 6e4), (b"H", 3.6e6)):
        count = math.floor(ms / scale + 1e-9)
        if count < 100_000_000:
            return str(max(1, count)).encode() + unit
    return b"99999999H"


def encode_message(text: str) -> bytes:
    """Encodes a `grpc-message` as percent-encoded UTF-8."""
    return b"".join(bytes([c]) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text.encode())


def decode_message(data: bytes) -> str:
    """Decodes a `grpc-message`. As the specification requires, an invalid escape is kept unchanged."""
    out, position = bytearray(), 0
    while position < len(data):
        if data[position] == 0x25 and re.fullmatch(rb"[0-9A-Fa-f]{2}", data[position + 1 : position + 3]):
            out.append(int(data[position + 1 : position + 3], 16))
            position += 3
        else:
            out.append(data[position])
            position += 1
    return out.decode("utf-8", "replace")


def decode_binary(value: bytes) -> list[bytes]:
    """Decodes the values of a `-bin` key: base64 with or without padding, separated by commas."""
    try:
        return [
            base64.b64decode(part + b"=" * (-len(part) % 4), validate=True)
            for part in (item.strip() for item in value.split(b","))
        ]
    except (binascii.Error, ValueError) as err:
        raise CodecError(Status.INTERNAL, f"a -bin value is no base64: {err}") from err


def encode_binary(value: bytes) -> bytes:
    return base64.b64encode(value).rstrip(b"=")


# Hop-by-hop headers are not forwarded; the relay sets its own.

_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"te",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"grpc-timeout",
        b"traceparent",
        b"tracestate",
        b"grpc-accept-encoding",
    }
)


def forwarded_metadata(headers: Headers, exclude: Iterable[bytes] = ()) -> list[tuple[bytes, bytes]]:
    """Returns the headers or trailers to forward, in order: custom metadata and headers that describe the content."""
    excluded = _HOP_BY_HOP_HEADERS | set(exclude)
    return [(name, value) for name, value in headers if not name.startswith(b":") and name not in excluded]


@dataclass(frozen=True, slots=True)
class Request:
    """A call's parsed headers. `timeout_ms` is None if the client set no timeout."""

    service: str
    method: str
    timeout_ms: float | None
    headers: Headers

    @property
    def path(self) -> bytes:
        return f"/{self.service}/{self.method}".encode()

    def first(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


def parse_request(headers: Headers) -> Request:
    """Parses a call's headers; raises CodecError, which is sent to the client, if they are invalid."""
    pseudo_headers = {name: value for name, value in headers if name.startswith(b":")}
    path = _PATH.fullmatch(pseudo_headers.get(b":path", b""))
    if pseudo_headers.get(b":method") != b"POST" or path is None:
        raise CodecError(Status.UNIMPLEMENTED, "calls are POST /service/method")
    content = next((value for name, value in headers if name == b"content-type"), b"")
    if not content.startswith(b"application/grpc") or content[16:17] not in (b"", b"+", b";"):
        raise CodecError(Status.INVALID_ARGUMENT, "the content type is not application/grpc")
    for name, value in headers:
        if not name.startswith(b":") and not (_METADATA_KEY.fullmatch(name) and _PRINTABLE_ASCII.fullmatch(value)):
            raise CodecError(Status.INTERNAL, f"the metadata {name[:40]!r} cannot be passed on")
    timeouts = [value for name, value in headers if name == b"grpc-timeout"]
    return Request(path[1].decode(), path[2].decode(), parse_timeout(timeouts[0]) if timeouts else None, headers)


def trailers(status: Status, text: str = "", more: Headers = ()) -> list[tuple[bytes, bytes]]:
    fields = [(b"grpc-status", str(int(status)).encode())]
    if text:
        fields.append((b"grpc-message", encode_message(text)))
    return [*fields, *more]


def trailers_only(status: Status, text: str = "", more: Headers = ()) -> list[tuple[bytes, bytes]]:
    """Builds a complete response in one header block."""
    return [(b":status", b"200"), (b"content-type", b"application/grpc"), *trailers(status, text, more)]
