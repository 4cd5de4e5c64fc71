"""What the operators say of clients' connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from .load import LoadLimits
from .shares import Caps


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """The defaults cap no source, and refuse work only where the relay itself is late."""

    caps: Caps = field(default_factory=Caps)
    load: LoadLimits = field(default_factory=LoadLimits)
    backlog: int = 1024  # connections that the kernel holds until they are accepted
    told_every_s: float = 10.0  # between two lines of the log on who was shed
