"""What goes over copy links: frames of MessagePack, each behind its length. Without I/O.

A frame is an array that begins with its kind. Numbers that a frame's sender counts (`seq`) only grow on a link. What is
longer, cut off, of an unknown kind or not as it should be ends the link with `BadFrame`, which says why; fields that a
newer program adds behind the known ones are skipped.
"""

from __future__ import annotations

import struct

import msgspec

VERSION = 1
LONGEST = 128 << 10  # a message's record is 64 KiB and its head at most
_LENGTH = struct.Struct(">I")


class BadFrame(ValueError):
    """What came is no frame of this protocol."""


class Hello(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """The first frame of an owner. `sent` by the owner's clock, in milliseconds."""

    version: int
    fleet: str
    relay: str
    epoch: int
    parts: int
    to: str
    sent: float


class Welcome(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """A holder's answer. `holding` names the set of copies; `epoch` is the holder's."""

    version: int
    relay: str
    epoch: int
    holding: str


class Denied(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The link ends, and why."""

    why: str


class Begin(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """All that is open in a part follows, up to `Whole`."""

    seq: int
    part: int


class Whole(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """That was all: what else is held of the part is over."""

    seq: int
    part: int


class Record(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """One record of the owner's journal."""

    seq: int
    part: int
    payload: bytes


class Drop(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """The holder need not hold a part any more."""

    seq: int
    part: int


class Wait(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """A destination, or a route below zero, told to wait until then, by the owner's clock."""

    seq: int
    route: int
    until: float


class Beat(msgspec.Struct, tag=9, array_like=True, frozen=True):
    """The owner is there. `sent` by its clock; `answered`: `at` of the last acknowledgement that it had by then."""

    sent: float
    answered: float = 0.0


class Ack(msgspec.Struct, tag=10, array_like=True, frozen=True):
    """All up to `seq` is on the holder's disk; `heard`: `sent` of the last beat or hello; `at`: the holder's clock."""

    seq: int
    heard: float
    at: float


class Full(msgspec.Struct, tag=11, array_like=True, frozen=True):
    """The holder has no room for a part, which it does not hold from now on."""

    part: int
    why: str


Frame = Hello | Welcome | Denied | Begin | Whole | Record | Drop | Wait | Beat | Ack | Full
_decoder = msgspec.msgpack.Decoder(Frame)
_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    data = _encoder.encode(frame)
    return _LENGTH.pack(len(data)) + data


class Reader:
    """Frames from bytes as they come; holds one unfinished frame at most."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._last_seq = 0

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that are whole now; BadFrame, after which the link is of no use."""
        self._data += data
        frames: list[Frame] = []
        at = 0
        while len(self._data) - at >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._data, at)
            if not 0 < length <= LONGEST:
                raise BadFrame(f"a frame of {length} bytes; {LONGEST} at most")
            if len(self._data) - at - _LENGTH.size < length:
                break
            at += _LENGTH.size
            frames.append(self._one(bytes(self._data[at : at + length])))
            at += length
        del self._data[:at]
        return frames

    def _one(self, data: bytes) -> Frame:
        try:
            frame = _decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
            raise BadFrame(f"it cannot be read: {err}") from err
        seq = getattr(frame, "seq", None)
        if seq is not None and not isinstance(frame, Ack):
            if seq <= self._last_seq:
                raise BadFrame(f"frame {seq} came after {self._last_seq}: it is doubled, or out of order")
            self._last_seq = seq
        return frame
