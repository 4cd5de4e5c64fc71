"""How much memory this process has in use, as the system counts it."""

from __future__ import annotations

import os
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1_000_000  # the platform gives `memory_mb` in decimal megabytes


def resident_bytes() -> int:
    """The resident memory of this process; 0 where the system does not tell."""
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
