"""What the operators' file says of the fleet, checked."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.platform import Address


@dataclass(frozen=True, slots=True)
class CopyMode:
    """How messages of a class are copied. `when`: `first`, before the 202 and before an attempt's first byte; `behind`,
    without waiting; `none`. `without` enough holders, a new one is refused or taken `alone`."""

    when: str = "first"
    without: str = "refuse"


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Milliseconds, bytes. `name` tells fleets in one store apart. `copies`: how many holders a part should have."""

    name: str
    store: Address
    listen: Address
    advertise: Address | None = None  # where others reach `listen`, if not there
    zone: str = ""
    copies: int = 1
    parts: int = 4
    ttl_ms: float = 3_000.0
    renew_ms: float = 800.0
    pause_ms: float = 200.0
    store_timeout_ms: float = 600.0
    copy_timeout_ms: float = 300.0
    beat_ms: float = 150.0
    grace_ms: float = 0.0
    hold_bytes: int = 8 << 20
    queue_bytes: int = 1 << 20
    start_wait_ms: float = 5_000.0
    hand_over: bool = True
    classes: tuple[CopyMode, ...] = ()
