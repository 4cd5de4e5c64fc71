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
from ..core.descriptor_budget import DescriptorUse, DescriptorBudget
from .http import PersistentConnection

_BATCH = 200  # notices in one request: well under 64 KiB
# An agent answers at once, and a message has to be ended 300 ms after its time: a hung connection leaves room for one
# more. Each further silence doubles the wait.
_ANSWER_S, _ANSWER_MAX_S = 0.1, 1.0
_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Notice:
    number: int
    id: str
    end: End

    def line(self) -> str:
        told: dict[str, str | int] = {
            "message": self.id,
            "outcome": "handed_back" if self.end.handed_back else "given_up",
        }
        if self.end.handed_back and self.end.retry_in > 0:
            told["retry_in_ms"] = round(self.end.retry_in)
        return json.dumps(told, separators=(",", ":"))


class Notices:
    """Sends notices in order until each is acknowledged; open messages bound how many can wait."""

    def __init__(
        self,
        address: Address,
        acknowledged: Callable[[int], None],
        descriptors: DescriptorBudget | None = None,
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        """`may_act`: asked before each request; while it says no, nothing is sent."""
        descriptor = (descriptors, DescriptorUse.NOTICES) if descriptors else None
        self._agent, self._acknowledged = PersistentConnection(address, descriptor=descriptor), acknowledged
        self._may_act = may_act
        self._waiting: deque[Notice] = deque()
        self._news = anyio.Event()
        self._failures = 0

    def move(self, address: Address) -> None:
        """What is not acknowledged yet goes there: a notice that comes twice does no harm."""
        self._agent.move(address)

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
            if not self._may_act():
                await anyio.sleep(_PAUSE_S)
                continue
            batch = [self._waiting[n] for n in range(min(most, len(self._waiting)))]
            try:
                status = await self._post("".join(notice.line() + "\n" for notice in batch).encode())
            except OSError as err:
                if not self._failures:
                    logger.warning("notices: {}: {}; they are sent again", type(err).__name__, err)
                self._failures += 1
                if not isinstance(err, TimeoutError):  # which was a pause
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
        headers = [(b"Content-Type", b"application/x-ndjson")]
        limit = min(_ANSWER_S * 2 ** min(self._failures, 8), _ANSWER_MAX_S)
        return (await self._agent.request("POST", "/reports", limit, headers, body)).status
