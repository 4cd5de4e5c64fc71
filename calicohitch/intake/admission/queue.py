"""A queue that is fair between sources, however much one of them sends. No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Items by source; `take` is round-robin over the sources, and first in, first out within a source."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, deque[tuple[Item, float]]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def put(self, source: str, item: Item, now: float) -> None:
        self._waiting.setdefault(source, deque()).append((item, now))
        self._size += 1

    def take(self, limit: int) -> list[tuple[Item, float]]:
        """Take up to `limit` items, each with the time at which it was put."""
        taken: list[tuple[Item, float]] = []
        while self._waiting and len(taken) < limit:
            source, items = self._waiting.popitem(last=False)
            taken.append(items.popleft())
            if items:
                self._waiting[source] = items  # behind the other sources
        self._size -= len(taken)
        return taken
