"""Why a folder that lasts cannot be used, each with an exit code of its own and what to do about it."""

from __future__ import annotations

import errno
from pathlib import Path

from ..core.system_errors import Retry, Step, trouble


class FolderProblem(Exception):
    """A relay cannot serve from its folder. The text is one line: what is wrong, and what would do."""

    exit_code = 73


class FolderFailing(FolderProblem):
    """Its disk refuses, or this machine lacks something for a moment: the same may work a little later."""


class FolderInUse(FolderProblem):
    """Another process holds the folder, and is alive."""

    exit_code = 75


class FolderLost(FolderProblem):
    """The folder was this process's, and a later life has it now."""

    exit_code = 76


class FolderNewer(FolderProblem):
    """A newer program wrote it, in a format that this one cannot read."""

    exit_code = 78


class NameTaken(FolderProblem):
    """Another process is alive under this relay's name, and it does not have this folder."""

    exit_code = 77


class WorkTaken(FolderProblem):
    """This relay's work was taken over; a new start takes up what nobody has claimed."""

    exit_code = 79


_HINTS = {
    errno.EROFS: "it is on a read-only file system: mount it writable, or name another in NODE_STATE",
    errno.EACCES: "this user may not write there: give it the folder, or name another in NODE_STATE",
    errno.EPERM: "this user may not write there: give it the folder, or name another in NODE_STATE",
    errno.ENOSPC: "its disk is full: make room; nothing that it holds was touched",
    errno.EDQUOT: "its quota is used up: make room; nothing that it holds was touched",
    errno.ENOTDIR: "it is not a folder: move the file away, or name another in NODE_STATE",
    errno.EEXIST: "it is not a folder: move the file away, or name another in NODE_STATE",
    errno.ELOOP: "it is a link that leads to itself: mend it, or name another in NODE_STATE",
}


def unusable(folder: Path, err: OSError) -> FolderProblem:
    """What an error of the file system means for the folder."""
    hint = _HINTS.get(err.errno or 0, "look at its disk, or name another in NODE_STATE")
    kind = FolderProblem if trouble(err, Step.FILE).retry is Retry.NEVER else FolderFailing
    return kind(f"the folder {folder} cannot be used ({err.strerror or err}): {hint}")
