"""What the operators say of traces. Times in milliseconds, sizes in bytes."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config import Address


@dataclass(frozen=True, slots=True)
class Budget:
    """The bounds of one window of a second."""

    spans: int = 200
    bytes: int = 200_000
    ordinary: float = 0.01  # share of the ordinary that is wanted
    asked: int = 5  # traces a window, of each destination, that are wanted for their client's flag alone
    strata: int = 256  # causes at destinations told apart in one window; what is past that shares one a cause


@dataclass(frozen=True, slots=True)
class CollectorSettings:
    """Where OTLP goes to, and how; a batch that found no taker for `give_up_ms` is dropped."""

    address: Address
    path: str = "/v1/traces"
    compression: str = "gzip"
    timeout_ms: float = 2_000.0
    batch_bytes: int = 32 << 10
    queue_bytes: int = 128 << 10
    give_up_ms: float = 60_000.0


@dataclass(frozen=True, slots=True)
class FileSettings:
    """`most_bytes` bounds each file; the present one and `keep` older ones (`.1` the newest) are on disk."""

    path: Path
    most_bytes: int = 10_000_000
    keep: int = 3
    queue_bytes: int = 1 << 20


@dataclass(frozen=True, slots=True)
class TracingSettings:
    service: str = "calicohitch"
    budget: Budget = field(default_factory=Budget)
    collector: CollectorSettings | None = None
    file: FileSettings | None = None
    log_lines_per_s: float | None = None
