"""Complete writes of files."""

from __future__ import annotations

import errno
import os
from pathlib import Path

_TEMPORARY_SUFFIX = ".new"


def replace_text(path: Path, text: str) -> None:
    """Replace the text of a file atomically: after a kill or on a full disk the old text remains. Raises OSError if
    that fails. Not for frequent writes: a file system may flush the new file before it renames it."""
    temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)


def write_all(fd: int, data: bytes) -> None:
    """Write all of `data`, also over short writes. Raises OSError if a write fails or writes nothing; a part of `data`
    may then be written."""
    remaining = memoryview(data)
    while remaining:
        if not (written := os.write(fd, remaining)):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        remaining = remaining[written:]
