"""A partner's endpoint at the other end of a network that takes a while, whose answers may come twice, and which may
hang."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from stage import Record, Server, read_message, response


class FarEndpoint(Server):
    """Answers 200 after its work. All that it reads or writes takes `one_way_s` to get across, in order. Times are
    milliseconds of the record. From `copies_from` on a second copy of each answer is written `copy_after_s` behind it,
    if no call has reached the endpoint on that connection by then. From `hangs_from` to `hangs_to` it takes calls and
    answers none of them."""

    def __init__(self, name: str, cell: int, record: Record, one_way_s: float, work_s: float) -> None:
        super().__init__()
        self.name, self.cell = name, cell
        self._record, self._one_way_s, self._work_s = record, one_way_s, work_s
        self.copies_from = self.hangs_from = math.inf
        self.hangs_to, self.copy_after_s = math.inf, 0.02
        self.answered: dict[str, float] = {}  # id -> when its 200 was written
        self.calls: list[tuple[float, str]] = []
        self.copies = 0

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        self._writers.add(writer)
        loop = asyncio.get_running_loop()
        arrived = 0  # calls that have reached the endpoint on this connection

        def across(act: Callable[[], None]) -> None:
            loop.call_later(self._one_way_s, act)

        def write(data: bytes) -> None:
            def put() -> None:
                if not writer.is_closing():
                    writer.write(data)

            across(put)

        def run(wire_id: str) -> None:
            nonlocal arrived
            arrived += 1
            at = self._record.add("call", endpoint=self.name, cell=self.cell, id=wire_id)
            self.calls.append((at, wire_id))
            if self.hangs_from <= at < self.hangs_to:
                self._record.add("hangs", endpoint=self.name, id=wire_id)
                return
            loop.call_later(self._work_s, answer, wire_id, arrived)

        def answer(wire_id: str, number: int) -> None:
            at = self._record.add("answer", endpoint=self.name, id=wire_id, status=200)
            self.answered[wire_id] = at
            write(response(200))
            if at >= self.copies_from:
                loop.call_later(self.copy_after_s, copy, number)

        def copy(number: int) -> None:
            if arrived == number:
                self.copies += 1
                self._record.add("copy", endpoint=self.name)
                write(response(200))

        try:
            while True:
                _, headers, _ = await read_message(reader)
                wire_id = headers.get("req-id", "")
                across(lambda wire_id=wire_id: run(wire_id))  # type: ignore[misc]
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            await asyncio.sleep(0)
            writer.close()
