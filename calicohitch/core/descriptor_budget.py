"""Descriptors as one budget: who holds how many, and who may have one more. No I/O."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class DescriptorUse(Enum):
    """Who holds descriptors, in the order in which they may have one: what delivers goes before what comes in."""

    RELAY = "relay"  # listeners, the journal, the claim on it, the poll, what the interpreter holds
    NOTICES = "notices"
    DISCOVERY = "discovery"
    CALLS = "calls"
    TRACING = "tracing"
    GRPC = "gRPC"
    CLIENTS = "clients"


_FIXED = 21  # the listener, notes, the journal, the claim on it, the poll, and what the interpreter holds


def divide_descriptors(sockets: int, grpc: int = 0) -> DescriptorBudget:
    """The budget of a relay that may hold so many descriptors, of which gRPC has a part where it is on: half are for
    clients, one each for notices, discovery and tracing, and calls have the rest."""
    clients, others = sockets // 2, _FIXED + 3 + grpc
    calls = max(1, sockets - clients - others)
    kept = {
        DescriptorUse.RELAY: _FIXED,
        DescriptorUse.NOTICES: 1,
        DescriptorUse.DISCOVERY: 1,
        DescriptorUse.TRACING: 1,
        DescriptorUse.GRPC: grpc,
        DescriptorUse.CALLS: calls,
        DescriptorUse.CLIENTS: clients,
    }
    descriptors = DescriptorBudget(sum(kept.values()), kept)
    descriptors.held.update({DescriptorUse.RELAY: _FIXED, DescriptorUse.GRPC: grpc})  # for good
    return descriptors


class DescriptorBudget:
    """`total` descriptors. `kept` are set aside for a holder: nobody else can take them."""

    def __init__(self, total: int, kept: dict[DescriptorUse, int]) -> None:
        if sum(kept.values()) > total:
            raise ValueError(f"{sum(kept.values())} descriptors are set aside of {total}")
        self.total, self._kept = total, dict(kept)
        self.held: Counter[DescriptorUse] = Counter()
        self.refused: Counter[DescriptorUse] = Counter()

    def free_for(self, holder: DescriptorUse) -> int:
        """How many more it may have: what is free, less what is set aside for others and not in use."""
        aside = sum(max(0, kept - self.held[other]) for other, kept in self._kept.items() if other is not holder)
        return max(0, self.total - self.held.total() - aside)

    def acquire(self, holder: DescriptorUse) -> bool:
        if not self.free_for(holder):
            self.refused[holder] += 1
            return False
        self.held[holder] += 1
        return True

    def release(self, holder: DescriptorUse) -> None:
        if not self.held[holder]:
            raise ValueError(f"{holder.value} holds no descriptor to give back")
        self.held[holder] -= 1

    def summary(self) -> str:
        """The ledger in one line."""
        parts = ", ".join(f"{holder.value} {self.held[holder]}" for holder in DescriptorUse if self.held[holder])
        return f"{self.held.total()} of {self.total} descriptors: {parts or 'none'}"
