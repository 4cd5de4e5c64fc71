"""gRPC on HTTP/2, as bytes and header lists: framing, time-outs, messages, metadata. No I/O.

Messages pass through as they came, their compression flag and encoding included: nothing is ever decompressed here,
so a compressed bomb is a few bytes like any other.
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
_LONGEST_MS = 10 * 365 * 86_400_000.0
_KEY = re.compile(rb"[0-9a-z_.\-]{1,256}")
_PLAIN = re.compile(rb"[ -~]*")
_PATH = re.compile(rb"/([A-Za-z0-9_.\-]{1,255})/([A-Za-z0-9_.\-]{1,255})")


class CodecError(Exception):
    """What a peer sent breaks the protocol; `status` is what it is told."""

    def __init__(self, status: Status, text: str) -> None:
        super().__init__(text)
        self.status = status


class Deframer:
    """Finds the messages in a stream's data, each given whole with its prefix. Holds one message at most, and a
    length prefix that promises more than that is refused before its first byte."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are whole by now. CodecError: RESOURCE_EXHAUSTED for one that is too long, INTERNAL
        for a flag that is none."""
        self._buffer += data
        found = []
        while len(self._buffer) >= PREFIX_SIZE:
            flag, length = _PREFIX.unpack_from(self._buffer)
            if flag > 1:
                raise CodecError(Status.INTERNAL, f"a message begins with the flag {flag}, which is neither 0 nor 1")
            if length > self._most:
                raise CodecError(
                    Status.RESOURCE_EXHAUSTED, f"a message of {length} bytes; {self._most} are passed through at most"
                )
            if len(self._buffer) < PREFIX_SIZE + length:
                break
            found.append(bytes(self._buffer[: PREFIX_SIZE + length]))
            del self._buffer[: PREFIX_SIZE + length]
        return found

    def end(self) -> None:
        """The stream ended: CodecError where that was in the middle of a message."""
        if self._buffer:
            raise CodecError(Status.INTERNAL, "the stream ended in the middle of a message")


def frame(message: bytes, compressed: bool = False) -> bytes:
    return _PREFIX.pack(compressed, len(message)) + message


def read_timeout(text: bytes) -> float:
    """Milliseconds of a `grpc-timeout`; CodecError for anything but at most 8 digits and a unit."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        raise CodecError(Status.INVALID_ARGUMENT, f"grpc-timeout {text[:40]!r} is not 1 to 8 digits and one of HMSmun")
    return min(int(match[1]) * _UNITS_MS[match[2]], _LONGEST_MS)


def timeout(ms: float) -> bytes:
    """A `grpc-timeout` that is never longer than `ms`, but at least a nanosecond."""
    for unit, scale in ((b"n", 1e-6), (b"u", 1e-3), (b"m", 1.0), (b"S", 1e3), (b"M", 6e4), (b"H", 3.6e6)):
        count = math.floor(ms / scale + 1e-9)
        if count < 100_000_000:
            return str(max(1, count)).encode() + unit
    return b"99999999H"


def encode_message(text: str) -> bytes:
    """A `grpc-message`: percent-encoded UTF-8."""
    return b"".join(bytes([c]) if 0x20 <= c <= 0x7E and c != 0x25 else b"%%%02X" % c for c in text.encode())


def decode_message(data: bytes) -> str:
    """What a `grpc-message` says. By the specification nothing is lost to a broken encoding: it is kept as it is."""
    out, at = bytearray(), 0
    while at < len(data):
        if data[at] == 0x25 and re.fullmatch(rb"[0-9A-Fa-f]{2}", data[at + 1 : at + 3]):
            out.append(int(data[at + 1 : at + 3], 16))
            at += 3
        else:
            out.append(data[at])
            at += 1
    return out.decode("utf-8", "replace")


def decode_binary(value: bytes) -> list[bytes]:
    """The values of a `-bin` key: base64 with or without padding, several joined by commas."""
    try:
        return [
            base64.b64decode(part + b"=" * (-len(part) % 4), validate=True)
            for part in (it.strip() for it in value.split(b","))
        ]
    except (binascii.Error, ValueError) as err:
        raise CodecError(Status.INTERNAL, f"a -bin value is no base64: {err}") from err


def encode_binary(value: bytes) -> bytes:
    return base64.b64encode(value).rstrip(b"=")


# Metadata. What belongs to one hop stays there; the relay adds its own.

_OF_A_HOP = frozenset(
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


def metadata(headers: Headers, also: Iterable[bytes] = ()) -> list[tuple[bytes, bytes]]:
    """What is passed on of a peer's headers or trailers: custom metadata and the content's own headers, in order."""
    left_out = _OF_A_HOP | set(also)
    return [(name, value) for name, value in headers if not name.startswith(b":") and name not in left_out]


@dataclass(frozen=True, slots=True)
class Request:
    """What a call's headers say. `timeout_ms` is None where the client sets none."""

    service: str
    method: str
    timeout_ms: float | None
    headers: Headers

    @property
    def path(self) -> bytes:
        return f"/{self.service}/{self.method}".encode()

    def first(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


def read_request(headers: Headers) -> Request:
    """CodecError tells the client what is wrong with its call."""
    told = {name: value for name, value in headers if name.startswith(b":")}
    path = _PATH.fullmatch(told.get(b":path", b""))
    if told.get(b":method") != b"POST" or path is None:
        raise CodecError(Status.UNIMPLEMENTED, "calls are POST /service/method")
    content = next((value for name, value in headers if name == b"content-type"), b"")
    if not content.startswith(b"application/grpc") or content[16:17] not in (b"", b"+", b";"):
        raise CodecError(Status.INVALID_ARGUMENT, "the content type is not application/grpc")
    for name, value in headers:
        if not name.startswith(b":") and not (_KEY.fullmatch(name) and _PLAIN.fullmatch(value)):
            raise CodecError(Status.INTERNAL, f"the metadata {name[:40]!r} cannot be passed on")
    given = [value for name, value in headers if name == b"grpc-timeout"]
    return Request(path[1].decode(), path[2].decode(), read_timeout(given[0]) if given else None, headers)


def trailers(status: Status, text: str = "", more: Headers = ()) -> list[tuple[bytes, bytes]]:
    made = [(b"grpc-status", str(int(status)).encode())]
    if text:
        made.append((b"grpc-message", encode_message(text)))
    return [*made, *more]


def trailers_only(status: Status, text: str = "", more: Headers = ()) -> list[tuple[bytes, bytes]]:
    """A whole answer in one block of headers."""
    return [(b":status", b"200"), (b"content-type", b"application/grpc"), *trailers(status, text, more)]
