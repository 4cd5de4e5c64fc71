"""The file of what a relay believes: replaced as a whole, so that a kill leaves the old one or the new one."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from .beliefs import MOST_BYTES, Beliefs, Unbelievable, decode

_NAME, _NEW = "beliefs", "beliefs.new"


class Keeper:
    def __init__(self, folder: Path) -> None:
        self._path, self._new = folder / _NAME, folder / _NEW
        self._written = b""

    def read(self) -> Beliefs | None:
        """What the earlier life stored; None where it stored nothing, Unbelievable where that cannot be read."""
        try:
            with self._path.open("rb") as file:
                data = file.read(2 * MOST_BYTES)
        except FileNotFoundError:
            return None
        except OSError as err:
            raise Unbelievable(f"it cannot be read: {err.strerror}") from err
        return decode(data)

    def write(self, data: bytes) -> None:
        """Replace it; OSError where that cannot be done, with the old one as it was."""
        fd = os.open(self._new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            written = os.write(fd, data)
        finally:
            os.close(fd)
        if written < len(data):
            with suppress(OSError):
                os.unlink(self._new)
            raise OSError("the disk is full")
        os.replace(self._new, self._path)
