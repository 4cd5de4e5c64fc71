"""Notices to the platform: the outcomes of accepted messages that were not delivered."""

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
from .server_client import ServerClient

_MAX_BATCH_SIZE = 200  # notices per request, well under 64 KiB
# The platform's agent normally answers at once. A notice has to arrive within 300 ms after the message's deadline, so
# the first time-out is short enough for a second attempt after a hung connection. Each further failure doubles it.
_RESPONSE_TIMEOUT_S, _MAX_RESPONSE_TIMEOUT_S = 0.1, 1.0
_RETRY_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class Notice:
    """The outcome of one message; `number` is its number in the journal."""

    number: int
    id: str
    end: End

    def line(self) -> str:
        """The notice as a JSON object, without the line end."""
        fields: dict[str, str | int] = {
            "message": self.id,
            "outcome": "handed_back" if self.end.handed_back else "given_up",
        }
        if self.end.handed_back and self.end.retry_in > 0:
            fields["retry_in_ms"] = round(self.end.retry_in)
        return json.dumps(fields, separators=(",", ":"))


class Notices:
    """Sends notices in order until each is acknowledged. The limit of open messages bounds how many can wait."""

    def __init__(
        self,
        address: Address,
        acknowledged: Callable[[int], None],
        descriptors: DescriptorBudget | None = None,
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        """`acknowledged`: called with the number of each acknowledged notice. `may_act`: checked before each request;
        nothing is sent while it is False."""
        descriptor = (descriptors, DescriptorUse.NOTICES) if descriptors else None
        self._agent, self._acknowledged = ServerClient(address, descriptor=descriptor), acknowledged
        self._may_act = may_act
        self._unacknowledged: deque[Notice] = deque()
        self._notice_added = anyio.Event()
        self._failures = 0

    def move(self, address: Address) -> None:
        """Send to this address from now on, also what is not acknowledged yet: a duplicate notice does no harm."""
        self._agent.move(address)

    def add(self, notice: Notice) -> None:
        self._unacknowledged.append(notice)
        self._notice_added.set()

    def __len__(self) -> int:
        return len(self._unacknowledged)

    async def run(self) -> None:
        batch_limit = _MAX_BATCH_SIZE
        while True:
            while not self._unacknowledged:
                self._notice_added = anyio.Event()
                await self._notice_added.wait()
            if not self._may_act():
                await anyio.sleep(_RETRY_PAUSE_S)
                continue
            batch = [self._unacknowledged[position] for position in range(min(batch_limit, len(self._unacknowledged)))]
            try:
                status = await self._post("".join(notice.line() + "\n" for notice in batch).encode())
            except OSError as err:
                if not self._failures:
                    logger.warning("notices: {}: {}; the request is retried", type(err).__name__, err)
                self._failures += 1
                if not isinstance(err, TimeoutError):  # the time-out itself was a pause
                    await anyio.sleep(_RETRY_PAUSE_S)
                continue
            self._failures = 0
            if status == 400 and len(batch) > 1:
                batch_limit = 1  # send them one by one to find the one that is rejected
                continue
            if status not in (200, 202, 204, 400):
                await anyio.sleep(_RETRY_PAUSE_S)
                continue
            if status == 400:
                logger.error("notices: {!r} was rejected as invalid and is dropped", batch[0].line())
            batch_limit = _MAX_BATCH_SIZE
            for notice in batch:
                self._unacknowledged.popleft()
                self._acknowledged(notice.number)

    async def _post(self, body: bytes) -> int:
        headers = [(b"Content-Type", b"application/x-ndjson")]
        timeout_s = min(_RESPONSE_TIMEOUT_S * 2 ** min(self._failures, 8), _MAX_RESPONSE_TIMEOUT_S)
        return (await self._agent.request("POST", "/reports", timeout_s, headers, body)).status
