"""Operator settings for client connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from .load import LoadLimits
from .shares import Caps


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """The defaults cap no source, and refuse messages only while the relay itself is overloaded."""

    caps: Caps = field(default_factory=Caps)
    load: LoadLimits = field(default_factory=LoadLimits)
    backlog: int = 1024  # connections that the kernel queues until they are accepted
    told_every_s: float = 10.0  # between two log lines about shed connections
