"""The process's budget of memory: how much each use holds, and whether it may have more. No I/O.

The amounts are estimates of what an object takes with everything that belongs to it. What the interpreter takes besides
is the reason that only a share of the memory limit is given out.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class MemoryUse(Enum):
    """What memory is held for. Messages take precedence over requests: these may have a part of the budget only."""

    MESSAGES = "messages"  # accepted, until nothing is owed for them any more
    REQUESTS = "requests"  # of clients, until they are complete


_USABLE_SHARE = 0.5  # of the memory that is left beside the process and its files; the rest is for fragmentation
_LEAST_SHARE = 0.125  # of the limit, that is given out however much the process takes
_REQUESTS_SHARE = 0.5  # of the budget
_LOW_WATER_SHARE = 0.875  # of what requests may have: down to this, requests are ended when they have too much
OPEN_MESSAGE_BYTES = 8 << 10  # beside its body: its records, its task and its call
ENDED_MESSAGE_BYTES = 2 << 10  # until its end is told or certain


def divide_memory(limit_bytes: float, process_bytes: float, files_bytes: float) -> MemoryBudget:
    """The budget of a process that may have `limit_bytes`, takes `process_bytes` without any client, and keeps
    `files_bytes` in files that count as memory."""
    usable = (limit_bytes - process_bytes - files_bytes) * _USABLE_SHARE
    return MemoryBudget(int(max(limit_bytes * _LEAST_SHARE, usable)))


class MemoryBudget:
    """`total` bytes, shared by all uses."""

    def __init__(self, total: int) -> None:
        self.total = total
        self._held: dict[MemoryUse, Callable[[], int]] = dict.fromkeys(MemoryUse, lambda: 0)

    def register(self, use: MemoryUse, held: Callable[[], int]) -> None:
        """`held()` tells the bytes that are held for this use."""
        self._held[use] = held

    def held(self, use: MemoryUse) -> int:
        return self._held[use]()

    def has_room(self, size: int) -> bool:
        """Whether so many more bytes may be held for messages."""
        return sum(held() for held in self._held.values()) + size <= self.total

    def excess_of_requests(self) -> int:
        """How many bytes of unfinished requests have to be freed; 0 if they are within their part."""
        allowed = max(0, min(int(self.total * _REQUESTS_SHARE), self.total - self.held(MemoryUse.MESSAGES)))
        held = self.held(MemoryUse.REQUESTS)
        return held - int(allowed * _LOW_WATER_SHARE) if held > allowed else 0
