"""Notices to the platform: how messages ended that were taken on and not delivered."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from ..config import Address
from ..journal import End
from .http import ClientConnection

_BATCH = 200  # notices in one request: well under 64 KiB
_ANSWER_S = 1.0
_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Notice:
    number: int
    id: str
    end: End

    def line(self) -> str:
        told: dict[str, str | int] = {
            "message": self.id, "outcome": "handed_back" if self.end.handed_back else "given_up"}
        if self.end.handed_back and self.end.retry_in > 0:
            told["retry_in_ms"] = round(self.end.retry_in)
        return json.dumps(told, separators=(",", ":"))


class Notices:
    """Sends notices in order until each is acknowledged; open messages bound how many can wait."""

    def __init__(self, address: Address, acknowledged: Callable[[int], None]) -> None:
        self._address, self._acknowledged = address, acknowledged
        self._waiting: deque[Notice] = deque()
        self._news = anyio.Event()
        self._failures = 0
        self._connection: ClientConnection | None = None

    def add(self, notice: Notice) -> None:
        self._waiting.append(notice)
        self._news.set()

    def __len__(self) -> int:
        return len(self._waiting)

    async def run(self) -> None:
        most = _BATCH
        while True:
            while not self._waiting:
                self._news = anyio.Event()
                await self._news.wait()
            batch = [self._waiting[n] for n in range(min(most, len(self._waiting)))]
            try:
                status = await self._post("".join(notice.line() + "\n" for notice in batch).encode())
            except OSError as err:
                if not self._failures:
                    logger.warning("notices: {}: {}; they are sent again", type(err).__name__, err)
                self._failures += 1
                self._close()
                await anyio.sleep(_PAUSE_S)
                continue
            self._failures = 0
            if status == 400 and len(batch) > 1:
                most = 1  # find the one that cannot be read
                continue
            if status not in (200, 202, 204, 400):
                await anyio.sleep(_PAUSE_S)
                continue
            if status == 400:
                logger.error("notices: {!r} was not understood and is dropped", batch[0].line())
            most = _BATCH
            for notice in batch:
                self._waiting.popleft()
                self._acknowledged(notice.number)

    async def _post(self, body: bytes) -> int:
        with anyio.fail_after(_ANSWER_S):
            if self._connection is None or not self._connection.reusable:
                self._close()
                self._connection = await ClientConnection.open(self._address)
            headers = [(b"Host", str(self._address).encode()), (b"Content-Type", b"application/x-ndjson")]
            return (await self._connection.request("POST", "/reports", headers, body)).status

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
