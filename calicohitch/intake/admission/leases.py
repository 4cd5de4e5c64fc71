"""Descriptors as one budget: who holds how many, and who may have one more. No I/O."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class Holder(Enum):
    """Who holds descriptors, in the order in which they may have one: what delivers goes before what comes in."""

    RELAY = "relay"  # listeners, the journal, the poll, what the interpreter holds
    NOTICES = "notices"
    DISCOVERY = "discovery"
    CALLS = "calls"
    TRACING = "tracing"
    CLIENTS = "clients"


class Leases:
    """`total` descriptors. `kept` are set aside for a holder: nobody else can take them."""

    def __init__(self, total: int, kept: dict[Holder, int]) -> None:
        if sum(kept.values()) > total:
            raise ValueError(f"{sum(kept.values())} descriptors are set aside of {total}")
        self.total, self._kept = total, dict(kept)
        self.held: Counter[Holder] = Counter()
        self.refused: Counter[Holder] = Counter()

    def free_for(self, holder: Holder) -> int:
        """How many more it may have: what is free, less what is set aside for others and not in use."""
        aside = sum(max(0, kept - self.held[other]) for other, kept in self._kept.items() if other is not holder)
        return max(0, self.total - self.held.total() - aside)

    def take(self, holder: Holder) -> bool:
        if not self.free_for(holder):
            self.refused[holder] += 1
            return False
        self.held[holder] += 1
        return True

    def give_back(self, holder: Holder) -> None:
        if not self.held[holder]:
            raise ValueError(f"{holder.value} holds no descriptor to give back")
        self.held[holder] -= 1

    def told(self) -> str:
        """The ledger in one line."""
        parts = ", ".join(f"{holder.value} {self.held[holder]}" for holder in Holder if self.held[holder])
        return f"{self.held.total()} of {self.total} descriptors: {parts or 'none'}"
