"""Faults inside a relay's own process, switched by a file: its disk refuses, system calls fail, its wall clock is set.

Run in a relay's process before the program:

    Rig(...).begin(name, "from fleet.shims import install; install('/path/of/the/switch')")

The switch is a line of JSON, `{"disk": 5, "share": 0.02, "clock_s": 3600.0}`: the errno that writes to files end with
(0: none), the share of the calls on sockets and polls that fail for want of memory or descriptors, and by how much the
wall clock is off. A file that is not there switches nothing on.
"""

from __future__ import annotations

import errno
import json
import os
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from faults.system import SHORT, Failing

_LOOK_S = 0.02  # between two looks at the switch
_OF_THE_DISK = ("write", "pwrite", "ftruncate", "unlink", "rename")
# What this machine may lack for a moment. Errors of the network are made by links, where both sides see them.
_OF_SOCKETS = {
    "socket": (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE),
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    "send": (errno.ENOBUFS, errno.ENOMEM, SHORT),
    "recv": (errno.ENOMEM, errno.ENOBUFS),
    "setsockopt": (errno.ENOBUFS,),
    "epoll_ctl": (errno.ENOMEM, errno.ENOSPC),
}


@dataclass(frozen=True, slots=True)
class Switch:
    """What fails now."""

    disk: int = 0
    share: float = 0.0
    clock_s: float = 0.0

    def write(self, path: Path) -> None:
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"disk": self.disk, "share": self.share, "clock_s": self.clock_s}))
        new.replace(path)


class _Plan:
    def __init__(self, path: str, seed: int) -> None:
        self._path, self._random = path, random.Random(seed)
        self._open = open
        self._switch, self._looked_at = Switch(), -1.0

    def switch(self) -> Switch:
        now = time.monotonic()
        if now - self._looked_at > _LOOK_S:
            self._looked_at = now
            try:
                with self._open(self._path) as file:
                    self._switch = Switch(**json.load(file))
            except (OSError, ValueError):
                pass
        return self._switch

    def __call__(self, kind: str, _number: int) -> int:
        switch = self.switch()
        if kind in _OF_THE_DISK:
            return switch.disk
        if kind in _OF_SOCKETS and switch.share and self._random.random() < switch.share:
            return self._random.choice(_OF_SOCKETS[kind])
        return 0


def install(path: str, state: str, seed: int = 0) -> None:
    """For the rest of the process. `state`: the folder whose files are the disk's."""
    plan = _Plan(path, seed ^ os.getpid())
    failing: Any = Failing(plan, about=lambda name: str(name).startswith(state))
    failing.__enter__()
    wall = time.time
    time.time = lambda: wall() + plan.switch().clock_s  # type: ignore[method-assign]
