"""A fair queue between sources: each has its turn, however much one of them sends. No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Items by source; `take` goes round the sources, one item each, and inside one first in first out."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, deque[tuple[Item, float]]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def put(self, source: str, item: Item, now: float) -> None:
        self._waiting.setdefault(source, deque()).append((item, now))
        self._size += 1

    def take(self, most: int) -> list[tuple[Item, float]]:
        """So many at most, each with the time at which it was put."""
        found: list[tuple[Item, float]] = []
        while self._waiting and len(found) < most:
            source, items = self._waiting.popitem(last=False)
            found.append(items.popleft())
            if items:
                self._waiting[source] = items  # at the end
        self._size -= len(found)
        return found
