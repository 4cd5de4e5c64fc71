"""A folder that one life owns.

Each start is a **life** with a number that only grows: the second of its start in Unix time, or one more than the
last. A life has a file `life-NUMBER`, holds an advisory lock on it (flock(2), which the kernel drops with the process),
and counts up in it twice a second. The highest number owns the folder:

- its lock is free: its process is dead, and the next life may begin at once;
- its lock is held and its count moves: it is alive, and a second process waits for it, then ends;
- its lock is held and its count has stood still for `EXPIRED_S`, by the clock of the process that watches: it is
  stalled, and a later life may begin. When it goes on it finds the later life's file before its next act.

The file of a life is also what proves it: whoever begins a later life removes the earlier files before it acts, so an
owner whose open file has no name left has been replaced. `check` asks the kernel for just that, by fstat(2): it needs
no descriptor, no write and no reading, so a disk that refuses ends no claim. What is left is a pause between the check
and the act; `docs/design/recovery.md` says what bounds its harm. Each look of a watcher, and each change, is made under
a second lock, `claim.lock`, held for microseconds.
"""

from __future__ import annotations

import errno
import fcntl
import os
import re
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
from loguru import logger

from .problems import FolderFailing, FolderInUse, FolderLost, FolderProblem, unusable

EXPIRED_S = 5.0
RENEW_S = 0.5
WAIT_S = 10.0  # for a process that is still ending: longer than a drain on the platform, 3.7 s, and than EXPIRED_S
_LOOK_S = 0.05
_LOCK = "claim.lock"
_LIFE = re.compile(r"life-(\d{1,19})")
_LINE = 64  # bytes of a life's file: written in place, so that a full disk does not end a claim
_NOT_NOW = (errno.EAGAIN, errno.EACCES)  # what flock says of a lock that another holds


class _Busy(Exception):
    """Another process is at the claim's own lock."""


def _flock(fd: int) -> bool:
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as err:
        if err.errno in _NOT_NOW:
            return False
        raise
    return True


class FolderLease:
    """This process's hold on a folder. `take` begins a life; `check` before each act; `renew` twice a second."""

    def __init__(self, folder: Path, incarnation: int, fd: int) -> None:
        self.folder, self.incarnation = folder, incarnation
        self._fd = fd
        self._count = 0
        self.lost: str = ""  # why, once a later life has the folder
        self.on_lost: Callable[[], None] = lambda: None

    def close(self) -> None:
        """End the life: its lock is free, and its file stays, so that the next number is higher."""
        fd, self._fd = self._fd, -1
        if fd >= 0:
            with suppress(OSError):  # Linux gives the descriptor back all the same
                os.close(fd)

    def check(self) -> None:
        """FolderLost where this life has ended; FolderInUse where the kernel does not say that it has not."""
        if not self.lost:
            self._look()
        if self.lost:
            raise FolderLost(self.lost)

    def _look(self) -> None:
        try:
            replaced = os.fstat(self._fd).st_nlink == 0
        except OSError as err:
            raise FolderInUse(f"the claim on {self.folder} cannot be proved: {err}") from err
        if replaced:
            self._lose(self._why())

    def _why(self) -> str:
        later = [incarnation for incarnation in _incarnations_or_none(self.folder) if incarnation > self.incarnation]
        if later:
            return f"life {later[-1]} has the folder {self.folder} now; life {self.incarnation} ends"
        return f"the folder {self.folder} was emptied or replaced under life {self.incarnation}; it ends"

    def renew(self) -> None:
        """Count up, so that watchers see this life move. An error of the disk does not end it: it is proved without."""
        if self.lost or self._fd < 0:
            return
        try:
            self.check()
            if self.incarnation not in _incarnations(self.folder):  # another folder was put in its place
                self._lose(self._why())
            else:
                self._write()
        except FolderProblem:
            pass  # `lost` says it
        except OSError as err:
            logger.bind(event="claim.error").warning("the claim on {} was not renewed: {}", self.folder, err)

    def _lose(self, why: str) -> None:
        self.lost = why
        self.on_lost()

    def _write(self) -> None:
        self._count += 1
        line = f"{self.incarnation} {os.getpid()} {self._count}\n".ljust(_LINE)
        os.pwrite(self._fd, line.encode(), 0)

    @classmethod
    def begin(cls, folder: Path, after: int, wall: Callable[[], float]) -> FolderLease:
        """Make the next life's file, lock it, and remove the earlier ones; under `claim.lock`. What was begun in vain
        is taken back: an earlier life whose file is still there goes on."""
        incarnation = max(after + 1, int(wall()))
        path = folder / f"life-{incarnation}"
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        lease = cls(folder, incarnation, fd)
        try:
            if not _flock(fd):
                raise FolderInUse(f"the folder {folder}: another process locked the file of a life that just began")
            lease._write()
            for earlier in _incarnations(folder):
                if earlier < incarnation:
                    (folder / f"life-{earlier}").unlink(missing_ok=True)
        except BaseException:
            lease.close()
            with suppress(OSError):
                path.unlink(missing_ok=True)
            raise
        return lease


class _Short:
    """`claim.lock`, for the time of one look or change; _Busy where another has it."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / _LOCK

    def __enter__(self) -> None:
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if not _flock(self._fd):
                raise _Busy
        except BaseException:
            with suppress(OSError):
                os.close(self._fd)
            raise

    def __exit__(self, *_: object) -> None:
        with suppress(OSError):
            os.close(self._fd)


def _incarnations(folder: Path) -> list[int]:
    return sorted(int(found[1]) for name in os.listdir(folder) if (found := _LIFE.fullmatch(name)))


def _incarnations_or_none(folder: Path) -> list[int]:
    """For a message only: none where the folder cannot be listed."""
    with suppress(OSError):
        return _incarnations(folder)
    return []


class LeaseMonitor:
    """Looks at a folder until it can be claimed. `look` gives the claim, or None and why not in `why`."""

    def __init__(
        self, folder: Path, monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time
    ) -> None:
        self._folder, self._monotonic, self._wall = folder, monotonic, wall
        self._seen: tuple[int, bytes] | None = None  # the owner's number and line
        self._since = 0.0  # it was first seen so
        self.why = ""

    def try_acquire(self) -> FolderLease | None:
        """FolderProblem where the folder cannot be used at all."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            with _Short(self._folder):
                return self._look()
        except _Busy:
            self.why = "another process is at its lock"
        except OSError as err:
            raise unusable(self._folder, err) from err
        return None

    def _look(self) -> FolderLease | None:
        incarnations = _incarnations(self._folder)
        owner = self._owner(incarnations)
        if owner is None:
            return self._begin(incarnations)
        incarnation, line = owner
        now = self._monotonic()
        if owner != self._seen:
            self._seen, self._since = owner, now
        still = now - self._since
        if still >= EXPIRED_S:
            logger.bind(event="claim.expired", life=incarnation).warning(
                "life {} holds the folder {} and has stood still for {:.1f} s: it is replaced",
                incarnation,
                self._folder,
                still,
            )
            return self._begin(incarnations)
        parts = line.decode("ascii", "replace").split()
        pid = parts[1] if len(parts) > 1 else "unknown"
        self.why = f"life {incarnation} (process {pid}) has it and is alive"
        return None

    def _begin(self, incarnations: list[int]) -> FolderLease:
        return FolderLease.begin(self._folder, incarnations[-1] if incarnations else 0, self._wall)

    def _owner(self, incarnations: list[int]) -> tuple[int, bytes] | None:
        """The life whose lock is held, and what it wrote last. Not only the last one: a life that could not be begun
        to its end leaves its file where the disk does not let it go."""
        for incarnation in reversed(incarnations):
            if (line := self._held(incarnation)) is not None:
                return incarnation, line
        return None

    def _held(self, incarnation: int) -> bytes | None:
        """What the owner wrote last; None where its process is dead. A file that cannot be read is not held."""
        try:
            fd = os.open(self._folder / f"life-{incarnation}", os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            return None if _flock(fd) else os.pread(fd, _LINE, 0)
        finally:
            with suppress(OSError):
                os.close(fd)  # and with it the lock, if this look got it


async def acquire_folder(folder: Path, wait_s: float = WAIT_S) -> FolderLease:
    """Begin a life on the folder; while its owner is alive, or its disk refuses, wait for it, so long at most.
    FolderProblem otherwise."""
    monitor = LeaseMonitor(folder)
    until = time.monotonic() + wait_s
    waiting = False
    while True:
        problem: FolderProblem
        try:
            if lease := monitor.try_acquire():
                return lease
            problem = FolderInUse(
                f"the folder {folder} is in use: {monitor.why}. Stop that process, or give this "
                "relay a folder of its own (NODE_STATE)"
            )
        except FolderFailing as err:
            problem = err
        if time.monotonic() >= until:
            raise problem
        if not waiting:
            waiting = True
            logger.bind(event="claim.waiting").info("waiting for the folder {}: {}", folder, monitor.why or problem)
        await anyio.sleep(_LOOK_S)
