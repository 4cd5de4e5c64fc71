"""Errors of the state folder, each with its own exit code and a hint for the operator."""

from __future__ import annotations

import errno
from pathlib import Path

from ..core.system_errors import Retry, Step, trouble


class FolderProblem(Exception):
    """The relay cannot run on its folder. The text is one line: what is wrong, and what to do about it."""

    exit_code = 73


class FolderFailing(FolderProblem):
    """The disk fails or the machine lacks a resource, possibly for a moment: a retry may succeed."""


class FolderInUse(FolderProblem):
    """Another live process owns the folder."""

    exit_code = 75


class FolderLost(FolderProblem):
    """This process owned the folder, and a later incarnation owns it now."""

    exit_code = 76


class FolderNewer(FolderProblem):
    """A newer version of the program wrote the folder, in a format that this version cannot read."""

    exit_code = 78


class NameTaken(FolderProblem):
    """Another live process uses this relay's name with a different folder."""

    exit_code = 77


class WorkTaken(FolderProblem):
    """Other relays took over this relay's work; a new start recovers the messages that none of them claimed."""

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
    """The problem that a file system error on the folder amounts to; FolderFailing if a retry may succeed."""
    hint = _HINTS.get(err.errno or 0, "look at its disk, or name another in NODE_STATE")
    kind = FolderProblem if trouble(err, Step.FILE).retry is Retry.NEVER else FolderFailing
    return kind(f"the folder {folder} cannot be used ({err.strerror or err}): {hint}")
