"""The files of the cached state: two, written alternately and in place, so that a kill damages only the older one.

No file is renamed or truncated: some file systems, ext4 with `auto_da_alloc` among them, begin to write a file out when
another one is renamed over it or when it is truncated to nothing. With a busy disk that blocked the relay's only thread
for up to 1.2 s.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ..core.files import write_all
from .cached_state import MAX_STATE_BYTES, CachedState, InvalidCachedState, decode

_FILE_NAMES = ("beliefs-0", "beliefs-1")
_HEADER_BYTES = 26  # the number of the write and the length of what follows, in hexadecimal


class StateFiles:
    def __init__(self, folder: Path) -> None:
        self._paths = [folder / name for name in _FILE_NAMES]
        self._last_number = 0  # of the last successful write

    def read(self) -> CachedState | None:
        """The state that was stored last; None if there is none, InvalidCachedState if no file is valid."""
        found: list[tuple[int, CachedState]] = []
        problem: InvalidCachedState | None = None
        for path in self._paths:
            try:
                with path.open("rb") as file:
                    number, length = _parse_header(file.read(_HEADER_BYTES))
                    found.append((number, decode(file.read(length))))
            except FileNotFoundError:
                continue
            except OSError as err:
                problem = InvalidCachedState(f"{path.name} cannot be read: {err.strerror}")
            except InvalidCachedState as err:
                problem = err
        if found:
            self._last_number, newest = max(found, key=lambda numbered: numbered[0])
            return newest
        if problem:
            raise problem
        return None

    def write(self, data: bytes) -> None:
        """Store the encoded state in the file that does not hold the last one; OSError if that fails. A failed write
        may have damaged its file, so the next write goes to the same file and the last stored state is kept."""
        number = self._last_number + 1
        fd = os.open(self._paths[number % 2], os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            write_all(fd, b"%016x %08x " % (number, len(data)) + data)
        finally:
            with suppress(OSError):  # Linux closes the descriptor even if it reports an error, and the data is written
                os.close(fd)
        self._last_number = number


def _parse_header(header: bytes) -> tuple[int, int]:
    """The number of the write and the length in bytes of the data."""
    try:
        number, length = (int(part, 16) for part in header.split())
    except ValueError as err:
        raise InvalidCachedState("the file header cannot be read") from err
    if not 0 <= length <= 2 * MAX_STATE_BYTES or number < 0:
        raise InvalidCachedState("the file header is out of bounds")
    return number, length
