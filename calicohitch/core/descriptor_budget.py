"""The process's budget of file descriptors: how many each use holds, and whether it may have another. No I/O."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from .discovery_timeouts import MAX_AGENT_REQUESTS


class DescriptorUse(Enum):
    """What descriptors are used for, in order of precedence: deliveries before intakes."""

    RELAY = "relay"  # listeners, the journal, the folder lease, epoll, the interpreter
    NOTICES = "notices"
    DISCOVERY = "discovery"
    CALLS = "calls"
    TRACING = "tracing"
    GRPC = "gRPC"
    CLIENTS = "clients"


_FIXED = 21  # for the listener, notes between relays, the journal, the folder lease, epoll and the interpreter


def divide_descriptors(sockets: int, grpc: int = 0) -> DescriptorBudget:
    """The budget of a relay with `sockets` descriptors, `grpc` of them for gRPC: half are for clients, one each for
    notices and tracing, some for discovery, and the remainder for calls."""
    clients, others = sockets // 2, _FIXED + 2 + MAX_AGENT_REQUESTS + grpc
    calls = max(1, sockets - clients - others)
    reserved = {
        DescriptorUse.RELAY: _FIXED,
        DescriptorUse.NOTICES: 1,
        DescriptorUse.DISCOVERY: MAX_AGENT_REQUESTS,
        DescriptorUse.TRACING: 1,
        DescriptorUse.GRPC: grpc,
        DescriptorUse.CALLS: calls,
        DescriptorUse.CLIENTS: clients,
    }
    descriptors = DescriptorBudget(sum(reserved.values()), reserved)
    descriptors.held.update({DescriptorUse.RELAY: _FIXED, DescriptorUse.GRPC: grpc})  # never released
    return descriptors


class DescriptorBudget:
    """`total` descriptors, of which `reserved` are for one use each and not available to others."""

    def __init__(self, total: int, reserved: dict[DescriptorUse, int]) -> None:
        if sum(reserved.values()) > total:
            raise ValueError(f"{sum(reserved.values())} descriptors are reserved of {total}")
        self.total, self._reserved = total, dict(reserved)
        self.held: Counter[DescriptorUse] = Counter()
        self.refused: Counter[DescriptorUse] = Counter()

    def free_for(self, holder: DescriptorUse) -> int:
        """How many more `holder` may have: the free ones, less those reserved for other uses and not held yet."""
        unavailable = sum(
            max(0, count - self.held[other]) for other, count in self._reserved.items() if other is not holder
        )
        return max(0, self.total - self.held.total() - unavailable)

    def acquire(self, holder: DescriptorUse) -> bool:
        if not self.free_for(holder):
            self.refused[holder] += 1
            return False
        self.held[holder] += 1
        return True

    def release(self, holder: DescriptorUse) -> None:
        if not self.held[holder]:
            raise ValueError(f"{holder.value} holds no descriptor to release")
        self.held[holder] -= 1

    def summary(self) -> str:
        """The descriptors held by each use, in one line for the log."""
        parts = ", ".join(f"{holder.value} {self.held[holder]}" for holder in DescriptorUse if self.held[holder])
        return f"{self.held.total()} of {self.total} descriptors: {parts or 'none'}"
