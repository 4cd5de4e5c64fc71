"""Clients that cost a relay more than they bring, in a process of their own:

    python tests/intake/rude_clients.py KIND PORT CLIENTS SECONDS

Each client opens another connection as soon as its own is closed. Prints as JSON how many connections were opened, and
the longest time for which one that had stopped in the middle of a request stayed open.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

_REQUEST_LINE = b"POST /orders HTTP/1.1\r\nHost: r\r\n"
_COMMON_FIELDS = b"Req-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\nEnvelope: dest=7\r\n"
_LARGEST_BODY = 64 << 10
_PAUSE_S = 0.1
_ANSWER_PAUSE_S = 0.01  # in which a request is answered
_REOPEN_PAUSE_S = 0.01
_FOREVER_S = 3_600.0

Bytes = AsyncIterator[bytes]  # what a client writes, piece by piece


def _head(length: int, more: bytes = b"") -> bytes:
    wire_id = b"Req-Id: %016x\r\n" % random.getrandbits(64)
    return _REQUEST_LINE + wire_id + _COMMON_FIELDS + more + b"Content-Length: %d\r\n\r\n" % length


def _short_fields(size: int) -> bytes:
    """Fields of five bytes each, as many as fit."""
    names = [b"%c%c" % (first, second) for first in range(97, 123) for second in range(97, 123)]
    return b"".join(names[n % len(names)] + b":\r\n" for n in range(size // 5))


async def many_fields() -> Bytes:
    yield _head(_LARGEST_BODY, _short_fields(15_000)) + bytes(60_000)


async def many_fields_only() -> Bytes:
    yield _head(_LARGEST_BODY, _short_fields(15_000))


async def half_a_body() -> Bytes:
    yield _head(_LARGEST_BODY) + bytes(_LARGEST_BODY // 2)


async def almost_a_body() -> Bytes:
    yield _head(_LARGEST_BODY) + bytes(_LARGEST_BODY - 1)


async def half_a_body_after_an_answer() -> Bytes:
    yield _of_health(0)
    await asyncio.sleep(_ANSWER_PAUSE_S)
    yield _head(_LARGEST_BODY) + bytes(_LARGEST_BODY // 2)


async def one_byte_chunks() -> Bytes:
    yield _REQUEST_LINE + b"Req-Id: c\r\n" + _COMMON_FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"1\r\nx\r\n" * 2_000
    while True:
        await asyncio.sleep(_PAUSE_S)
        yield b"1\r\nx\r\n" * 20


async def slow_head() -> Bytes:
    for byte in _head(0) * 10:
        yield bytes([byte])
        await asyncio.sleep(_PAUSE_S)


async def quick_bytes_of_a_head() -> Bytes:
    for byte in _head(0, _short_fields(6_000)):
        yield bytes([byte])
        await asyncio.sleep(0)


async def quick_bytes_of_a_body() -> Bytes:
    yield _head(_LARGEST_BODY) + bytes(60_000)
    for _ in range(_LARGEST_BODY - 60_000 - 1):
        yield b"x"
        await asyncio.sleep(0)


def _at_full_speed(make: Callable[[int], bytes]) -> Callable[[], Bytes]:
    async def requests() -> Bytes:
        for n in range(1_000_000):
            yield make(n)
            await asyncio.sleep(0)

    return requests


def _name() -> bytes:
    return b"%016x" % random.getrandbits(64)


def _to_unknown_destination(n: int) -> bytes:
    return (
        _REQUEST_LINE
        + b"Req-Id: %s\r\nReq-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\nEnvelope: dest=%d\r\n"
        % (
            _name(),
            100 + n,
        )
        + b"Content-Length: 0\r\n\r\n"
    )


def _of_unknown_class(_n: int) -> bytes:
    return b"POST /%s HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n" % _name()


def _unsound_id(_n: int) -> bytes:
    return _REQUEST_LINE + b"Req-Id: \x80%s\r\n" % _name() + _COMMON_FIELDS + b"Content-Length: 0\r\n\r\n"


def _new_field(_n: int) -> bytes:
    return b"GET /health/live HTTP/1.1\r\nHost: r\r\nX-%s: 1\r\n\r\n" % _name()


def _of_health(_n: int) -> bytes:
    return b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n"


def _empty_lines(_n: int) -> bytes:
    return b"\r\n" * 100


def _sound(_n: int) -> bytes:
    return _head(0).replace(b"/orders", b"/scores")


def _pipelined(_n: int) -> bytes:
    return _head(0) * 20


MANY: dict[str, Callable[[], Bytes]] = {
    kind.__name__: kind
    for kind in (
        many_fields,
        many_fields_only,
        half_a_body,
        almost_a_body,
        half_a_body_after_an_answer,
        one_byte_chunks,
        slow_head,
        quick_bytes_of_a_head,
        quick_bytes_of_a_body,
    )
}
ONE: dict[str, Callable[[], Bytes]] = {
    "unknown_destinations": _at_full_speed(_to_unknown_destination),
    "unknown_classes": _at_full_speed(_of_unknown_class),
    "unsound_ids": _at_full_speed(_unsound_id),
    "new_field_names": _at_full_speed(_new_field),
    "health": _at_full_speed(_of_health),
    "empty_lines": _at_full_speed(_empty_lines),
    "sound_messages": _at_full_speed(_sound),
    "pipelined": _at_full_speed(_pipelined),
}
KINDS = MANY | ONE
ANSWERED = "_answered"  # suffix of a kind: each piece is written once the one before is answered


class RudeClients:
    def __init__(self, kind: str, port: int, source: str = "127.0.0.1") -> None:
        self._kind, self._port, self._source = KINDS[kind.removesuffix(ANSWERED)], port, source
        self._awaits_answers = kind.endswith(ANSWERED)
        self.opened = 0
        self.longest_standing_s = 0.0  # from the last byte that a client wrote until it saw an end or an answer

    async def run(self, clients: int, seconds: float) -> None:
        tasks = [asyncio.create_task(self._client()) for _ in range(clients)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _client(self) -> None:
        while True:
            with suppress(OSError):
                await self._connection()
            await asyncio.sleep(0.0 if self._awaits_answers else _REOPEN_PAUSE_S)

    async def _connection(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, local_addr=(self._source, 0))
        self.opened += 1
        if self._awaits_answers:
            return await self._request_and_answer(reader, writer)
        ended = asyncio.create_task(self._read_to_end(reader))
        try:
            async for piece in self._kind():
                if ended.done():
                    return
                writer.write(piece)
                await writer.drain()
            stopped_at = time.monotonic()
            await ended
            self.longest_standing_s = max(self.longest_standing_s, time.monotonic() - stopped_at)
        finally:
            ended.cancel()
            writer.transport.abort()

    async def _request_and_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One request after another as fast as they are answered, until the connection is closed."""
        try:
            async for piece in self._kind():
                writer.write(piece)
                if not await reader.read(1 << 16):
                    return
        finally:
            writer.transport.abort()

    async def _read_to_end(self, reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            while await reader.read(1 << 16):
                pass


async def main(kind: str, port: int, clients: int, seconds: float) -> None:
    rude = RudeClients(kind, port)
    await rude.run(clients, seconds)
    print(json.dumps({"opened": rude.opened, "longest_standing_s": rude.longest_standing_s}))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
