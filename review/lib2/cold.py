"""An endpoint with a limit that fails for a while and comes back cold, and the rule on what it may get then."""

from __future__ import annotations

import asyncio
import math
import random

from stage import Clients, Endpoint, Record, response


class Slots:
    """The calls that each relay has out: above the slots of its settings a call is not sent on, and told so."""

    def __init__(self, clients: Clients, slots: int) -> None:
        self._clients, self._slots = clients, slots
        self._out: dict[str, int] = {}

    def take(self, wire_id: str) -> bool:
        relay = self._clients.sent[wire_id][0]
        if self._out.get(relay, 0) >= self._slots:
            return False
        self._out[relay] = self._out.get(relay, 0) + 1
        return True

    def free(self, wire_id: str) -> None:
        self._out[self._clients.sent[wire_id][0]] -= 1


class ColdEndpoint(Endpoint):
    """Takes `limit` calls a second, and can do `capacity`. Calls above what it takes are turned away, most of them with
    a time to wait while it is warm. While it fails, most calls are answered 500 at once. Then it is cold: it can do
    `cold_from` of its capacity, and all of it after `ramp_s`. If in a span of `fall_s` more comes than `multiple` times
    what it can do, it falls over and stays down."""

    def __init__(
        self,
        name: str,
        cell: int,
        record: Record,
        clients: Clients,
        slots: Slots,
        limit: float,
        capacity: float,
        cold_from: float,
        ramp_s: float,
        multiple: float,
        fall_s: float,
    ) -> None:
        super().__init__(name, cell, record, lambda *_: None)
        self._clients, self._slots = clients, slots
        self.limit, self.capacity, self.cold_from, self.ramp_s = limit, capacity, cold_from, ramp_s
        self._multiple, self._fall_ms = multiple, fall_s * 1e3
        self.work_s, self.fail_share = 0.3, 0.0
        self._random = random.Random(7)
        self._tokens, self._filled_at = limit * 0.7, 0.0
        self.back_at = math.inf  # milliseconds
        self.told: set[str] = set()  # relays that saw a call fail during the outage
        self.fallen = ""

    def fails(self, share: float) -> None:
        self.fail_share = share
        self._record.add("out", endpoint=self.name, fails=share)

    def comes_back(self) -> None:
        self.fail_share, self._tokens = 0.0, 0.0
        self.back_at = self._filled_at = self._record.add("back", endpoint=self.name, told=",".join(sorted(self.told)))

    def share(self, at: float) -> float:
        """Of its capacity, at a time in milliseconds."""
        if at < self.back_at:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (at - self.back_at) / 1e3 / self.ramp_s)

    def allowed(self, begin: float) -> float:
        """The calls that may come in a span that begins then; the second part is the slack for chance."""
        steps = 60
        step_ms = self._fall_ms / steps
        n = sum(
            self._multiple * self.capacity * self.share(begin + step_ms * (step + 0.5)) * step_ms / 1e3
            for step in range(steps)
        )
        return n + 3 * math.sqrt(n + 3) if n < 30 else n + 2 * math.sqrt(n) + 2

    def _falls(self, at: float) -> bool:
        """Whether this call is one too many for any span that ends with it."""
        span = [call for call in self.calls if call[0] >= self.back_at and call[0] > at - self._fall_ms]
        for first, (begin, _) in enumerate(span):
            if len(span) - first > (allowed := self.allowed(begin)):
                told = sum(self._clients.sent[wire_id][0] in self.told for _, wire_id in span[first:])
                count = len(span) - first
                self._record.add(
                    "falls", endpoint=self.name, calls=count, allowed=round(allowed, 1), of_relays_that_were_told=told
                )
                if 3 * told > 2 * count:
                    self.fallen = (
                        f"{self.name} fell over: {count} calls within {(at - begin) / 1e3:.1f} s, {allowed:.1f} "
                        f"allowed in {self._fall_ms / 1e3:.0f} s, {told} of them from relays that had seen it fail"
                    )
                return True
        return False

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes | None:
        wire_id = headers.get("req-id", "")
        if not self._slots.take(wire_id):
            self._record.add("no-slot", endpoint=self.name, id=wire_id)
            return response(503, Slots_Taken="1")
        try:
            return await self._served(wire_id)
        finally:
            self._slots.free(wire_id)

    def _answered(self, wire_id: str, status: int, **headers: str) -> bytes:
        self._record.add("answer", endpoint=self.name, id=wire_id, status=status)
        return response(status, **headers)

    async def _served(self, wire_id: str) -> bytes | None:
        at = self._record.add("call", endpoint=self.name, id=wire_id)
        self.calls.append((at, wire_id))
        if self._random.random() < self.fail_share:
            await asyncio.sleep(0.05)
            self.told.add(self._clients.sent[wire_id][0])
            return self._answered(wire_id, 500)
        if self._falls(at):
            await self.close()
            return None
        rate = min(self.limit, self.capacity * self.share(at))
        self._tokens = min(max(1.0, 0.7 * rate), self._tokens + rate * (at - self._filled_at) / 1e3)
        self._filled_at = at
        if self._tokens < 1.0:
            if self.share(at) >= 1.0 and self._random.random() < 0.8:
                return self._answered(wire_id, 429, Wait_Ms="400")
            return self._answered(wire_id, 503)
        self._tokens -= 1.0
        await asyncio.sleep(self.work_s)
        return self._answered(wire_id, 200)
