"""Writing files whole."""

from __future__ import annotations

import errno
import os
from pathlib import Path

_NEW = ".new"


def replace_text(path: Path, text: str) -> None:
    """Put this text in place of a file's: a kill or a full disk in the middle leaves the old one. OSError where it
    cannot be done. Not for what is written often: a file system may write the new file out before it takes the name."""
    new = path.with_name(path.name + _NEW)
    new.write_text(text, encoding="utf-8")
    new.replace(path)


def write_all(fd: int, data: bytes) -> None:
    """All of it, however few bytes each write takes; OSError where one takes none, and a part may be written."""
    left = memoryview(data)
    while left:
        if not (written := os.write(fd, left)):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        left = left[written:]
