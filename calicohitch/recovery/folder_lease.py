"""The lease on the state folder: one incarnation at a time owns it.

Each start of the process is an incarnation, with a number that only grows: the Unix time of its start in seconds, or
the last number plus one. An incarnation has a file `life-NUMBER`, holds an advisory lock on it (flock(2), which the
kernel releases with the process), and increments a counter in it twice a second. The highest number owns the folder:

- its lock is free: its process is dead, and the next incarnation may begin at once;
- its lock is held and its counter changes: it is alive. A second process waits for it, and exits if it does not end;
- its lock is held and its counter has not changed for `EXPIRED_S`, by the clock of the process that monitors it: it is
  stalled, and a later incarnation may begin. When the stalled one resumes, its next check shows that it was replaced.

The file also proves the lease. A later incarnation removes the earlier files before it acts, so an owner whose open
file has no link has been replaced. `check` asks the kernel for just that by fstat(2). This needs no new descriptor, no
write and no read, so a failing disk ends no lease. What remains is a pause between the check and the act;
`docs/design/recovery.md` says what limits its harm. Each look of a monitor and each change of owner is made under a
second lock, `claim.lock`, held for microseconds.
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
WAIT_S = 10.0  # for a process that is shutting down: longer than a drain on the platform, 3.7 s, and than EXPIRED_S
_POLL_INTERVAL_S = 0.05
_LOCK_NAME = "claim.lock"
_INCARNATION_NAME = re.compile(r"life-(\d{1,19})")
_RECORD_BYTES = 64  # fixed length of an incarnation's file: rewritten in place, so that a full disk ends no lease
_LOCKED_ERRNOS = (errno.EAGAIN, errno.EACCES)  # of flock, if another process holds the lock


class _Busy(Exception):
    """Another process holds `claim.lock`."""


def _try_flock(fd: int) -> bool:
    """Whether this process has the lock now; OSError if the file cannot be locked at all."""
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as err:
        if err.errno in _LOCKED_ERRNOS:
            return False
        raise
    return True


class FolderLease:
    """This process's lease on a folder. `begin` starts an incarnation; `check` is called before each act, and `renew`
    twice a second."""

    def __init__(self, folder: Path, incarnation: int, fd: int) -> None:
        self.folder, self.incarnation = folder, incarnation
        self._fd = fd
        self._counter = 0
        self.lost: str = ""  # the reason, once the lease is lost
        self.on_lost: Callable[[], None] = lambda: None

    def close(self) -> None:
        """Release the lock. The file stays, so that the next number is higher."""
        fd, self._fd = self._fd, -1
        if fd >= 0:
            with suppress(OSError):  # Linux closes the descriptor even if it reports an error
                os.close(fd)

    def check(self) -> None:
        """FolderLost if the lease is lost; FolderInUse if the kernel cannot tell whether it is."""
        if not self.lost:
            self._check_link()
        if self.lost:
            raise FolderLost(self.lost)

    def _check_link(self) -> None:
        try:
            replaced = os.fstat(self._fd).st_nlink == 0
        except OSError as err:
            raise FolderInUse(f"the claim on {self.folder} cannot be proved: {err}") from err
        if replaced:
            self._set_lost(self._loss_reason())

    def _loss_reason(self) -> str:
        later = [incarnation for incarnation in _incarnations_or_empty(self.folder) if incarnation > self.incarnation]
        if later:
            return f"life {later[-1]} has the folder {self.folder} now; life {self.incarnation} ends"
        return f"the folder {self.folder} was emptied or replaced under life {self.incarnation}; it ends"

    def renew(self) -> None:
        """Increment the counter, by which monitors see that this process is alive. A disk error does not end the lease,
        since `check` does not depend on the disk."""
        if self.lost or self._fd < 0:
            return
        try:
            self.check()
            if self.incarnation not in _incarnations(self.folder):  # the folder was replaced by another one
                self._set_lost(self._loss_reason())
            else:
                self._write_counter()
        except FolderProblem:
            pass  # a lost lease is recorded in `lost`; if `check` could not tell, the next renewal tries again
        except OSError as err:
            logger.bind(event="claim.error").warning("the lease on {} was not renewed: {}", self.folder, err)

    def _set_lost(self, reason: str) -> None:
        self.lost = reason
        self.on_lost()

    def _write_counter(self) -> None:
        self._counter += 1
        content = f"{self.incarnation} {os.getpid()} {self._counter}\n".ljust(_RECORD_BYTES)
        os.pwrite(self._fd, content.encode(), 0)

    @classmethod
    def begin(cls, folder: Path, after: int, wall: Callable[[], float]) -> FolderLease:
        """Create and lock the file of the next incarnation, and remove the earlier files; called under `claim.lock`. If
        a step fails the new file is removed, and an earlier incarnation whose file still exists keeps the folder."""
        incarnation = max(after + 1, int(wall()))
        path = folder / f"life-{incarnation}"
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        lease = cls(folder, incarnation, fd)
        try:
            if not _try_flock(fd):
                raise FolderInUse(f"the folder {folder}: another process locked the file of a life that just began")
            lease._write_counter()
            for earlier in _incarnations(folder):
                if earlier < incarnation:
                    (folder / f"life-{earlier}").unlink(missing_ok=True)
        except BaseException:
            lease.close()
            with suppress(OSError):
                path.unlink(missing_ok=True)
            raise
        return lease


class _LeaseLock:
    """`claim.lock`, held for one look or one change of owner; _Busy if another process holds it."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / _LOCK_NAME

    def __enter__(self) -> None:
        self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if not _try_flock(self._fd):
                raise _Busy
        except BaseException:
            with suppress(OSError):
                os.close(self._fd)
            raise

    def __exit__(self, *_: object) -> None:
        with suppress(OSError):
            os.close(self._fd)


def _incarnations(folder: Path) -> list[int]:
    return sorted(int(found[1]) for name in os.listdir(folder) if (found := _INCARNATION_NAME.fullmatch(name)))


def _incarnations_or_empty(folder: Path) -> list[int]:
    """For an error message only: empty if the folder cannot be listed."""
    with suppress(OSError):
        return _incarnations(folder)
    return []


class LeaseMonitor:
    """Monitors a folder until its lease is free. `try_acquire` returns the lease, or None and sets `wait_reason`."""

    def __init__(
        self, folder: Path, monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time
    ) -> None:
        self._folder, self._monotonic, self._wall = folder, monotonic, wall
        self._seen: tuple[int, bytes] | None = None  # the owner's number and the content of its file
        self._seen_at = 0.0  # when this content was first seen
        self.wait_reason = ""

    def try_acquire(self) -> FolderLease | None:
        """The lease, if the folder has no live owner; FolderProblem if the folder cannot be used at all."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            with _LeaseLock(self._folder):
                return self._acquire_if_free()
        except _Busy:
            self.wait_reason = "another process is at its lock"
        except OSError as err:
            raise unusable(self._folder, err) from err
        return None

    def _acquire_if_free(self) -> FolderLease | None:
        incarnations = _incarnations(self._folder)
        owner = self._find_owner(incarnations)
        if owner is None:
            return self._begin(incarnations)
        incarnation, content = owner
        now = self._monotonic()
        if owner != self._seen:
            self._seen, self._seen_at = owner, now
        unchanged_s = now - self._seen_at
        if unchanged_s >= EXPIRED_S:
            logger.bind(event="claim.expired", life=incarnation).warning(
                "incarnation {} holds the folder {} but has not renewed its lease for {:.1f} s: replacing it",
                incarnation,
                self._folder,
                unchanged_s,
            )
            return self._begin(incarnations)
        parts = content.decode("ascii", "replace").split()
        pid = parts[1] if len(parts) > 1 else "unknown"
        self.wait_reason = f"life {incarnation} (process {pid}) has it and is alive"
        return None

    def _begin(self, incarnations: list[int]) -> FolderLease:
        return FolderLease.begin(self._folder, incarnations[-1] if incarnations else 0, self._wall)

    def _find_owner(self, incarnations: list[int]) -> tuple[int, bytes] | None:
        """The incarnation whose lock is held, and the content of its file. Not only the last one is looked at: an
        incarnation that failed to begin leaves its file if the disk fails to remove it."""
        for incarnation in reversed(incarnations):
            if (content := self._locked_content(incarnation)) is not None:
                return incarnation, content
        return None

    def _locked_content(self, incarnation: int) -> bytes | None:
        """The content of the incarnation's file if its lock is held; None if its process is dead. OSError if the file
        cannot be opened or read."""
        try:
            fd = os.open(self._folder / f"life-{incarnation}", os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            return None if _try_flock(fd) else os.pread(fd, _RECORD_BYTES, 0)
        finally:
            with suppress(OSError):
                os.close(fd)  # which also releases the lock, if it was acquired here


async def acquire_folder(folder: Path, wait_s: float = WAIT_S) -> FolderLease:
    """Begin an incarnation on the folder. While the owner is alive or the disk fails, retry for up to `wait_s` seconds.
    FolderProblem if the folder is not available by then, or at once if a retry cannot help."""
    monitor = LeaseMonitor(folder)
    deadline = time.monotonic() + wait_s
    waiting = False
    while True:
        problem: FolderProblem
        try:
            if lease := monitor.try_acquire():
                return lease
            problem = FolderInUse(
                f"the folder {folder} is in use: {monitor.wait_reason}. Stop that process, or give this "
                "relay a folder of its own (NODE_STATE)"
            )
        except FolderFailing as err:
            problem = err
        if time.monotonic() >= deadline:
            raise problem
        if not waiting:
            waiting = True
            logger.bind(event="claim.waiting").info(
                "waiting for the folder {}: {}", folder, monitor.wait_reason or problem
            )
        await anyio.sleep(_POLL_INTERVAL_S)
