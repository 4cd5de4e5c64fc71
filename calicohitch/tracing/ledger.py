"""How many wanted traces are in memory, in a small mapped file: what a SIGKILL costs is known at the next start.

The file is one block of the platform's disk count. A mapped page outlasts the process without a system call for
each change. Layout: 8 bytes of magic, then a big-endian 64-bit count.
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

_MAGIC = b"chtrace1"
_SIZE = 512
_COUNT = struct.Struct(">Q")
_MOST = 10_000_000  # a larger count can only be damage


class Ledger:
    """`lost` is what the life before this one had in memory when it ended without a stop."""

    def __init__(self, path: Path) -> None:
        fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            known = os.read(fd, _SIZE)
            count = _COUNT.unpack_from(known, len(_MAGIC))[0] if len(known) >= 16 else 0
            self.lost: int = count if known[:8] == _MAGIC and count <= _MOST else 0
            os.lseek(fd, 0, os.SEEK_SET)
            # Written, not only sized: a hole would be filled by a fault in the map, which a full disk makes fatal.
            if os.write(fd, _MAGIC + bytes(_SIZE - len(_MAGIC))) < _SIZE:
                raise OSError("the disk is full")
            self._map = mmap.mmap(fd, _SIZE)
        finally:
            os.close(fd)

    def owe(self, traces: int) -> None:
        _COUNT.pack_into(self._map, len(_MAGIC), traces)

    def close(self) -> None:
        self._map.close()
