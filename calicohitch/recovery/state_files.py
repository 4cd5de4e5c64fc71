"""The files of what a relay believes: two, written in turn and in place, so that a kill damages the older one at most.

Nothing is renamed or truncated: ext4, among others, starts to write a file out when another is renamed over it or it
is cut to nothing (`auto_da_alloc`), and with a busy disk that held the relay's one thread for up to 1.2 s.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ..core.files import write_all
from .cached_state import MOST_BYTES, CachedState, InvalidCachedState, decode

_NAMES = ("beliefs-0", "beliefs-1")
_HEAD = 26  # bytes: the number of the write and the length of what follows, in hexadecimal


class StateFiles:
    def __init__(self, folder: Path) -> None:
        self._paths = [folder / name for name in _NAMES]
        self._number = 0  # of the last write

    def read(self) -> CachedState | None:
        """What the earlier life stored last; None where it stored nothing, InvalidCachedState where none is whole."""
        found: list[tuple[int, CachedState]] = []
        problem: InvalidCachedState | None = None
        for path in self._paths:
            try:
                with path.open("rb") as file:
                    number, length = _parsed(file.read(_HEAD))
                    found.append((number, decode(file.read(length))))
            except FileNotFoundError:
                continue
            except OSError as err:
                problem = InvalidCachedState(f"{path.name} cannot be read: {err.strerror}")
            except InvalidCachedState as err:
                problem = err
        if found:
            self._number, newest = max(found, key=lambda one: one[0])
            return newest
        if problem:
            raise problem
        return None

    def write(self, data: bytes) -> None:
        """Store it beside what was stored before; OSError where that cannot be done. Guards what was stored last: a
        write that failed may have spoilt its file, so the next one goes to the same."""
        number = self._number + 1
        fd = os.open(self._paths[number % 2], os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            write_all(fd, b"%016x %08x " % (number, len(data)) + data)
        finally:
            with suppress(OSError):  # Linux gives the descriptor back all the same, and what was written is written
                os.close(fd)
        self._number = number


def _parsed(head: bytes) -> tuple[int, int]:
    try:
        number, length = (int(part, 16) for part in head.split())
    except ValueError as err:
        raise InvalidCachedState("its head cannot be read") from err
    if not 0 <= length <= 2 * MOST_BYTES or number < 0:
        raise InvalidCachedState("its head is out of bounds")
    return number, length
