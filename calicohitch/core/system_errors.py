"""Classification of failed system calls: where the cause lies, and whether to retry. No I/O.

The errno alone is ambiguous: ENETUNREACH from `connect` itself refers to this machine's routing table, while the same
code as a later error of the socket came over the network. So callers name the step at which the call failed. Sources:
the Linux manual pages accept(2), connect(2), socket(2), send(2), recv(2), epoll_ctl(2), open(2) and write(2).
"""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum, auto

RETRY_PAUSE_S = 0.01  # before a call that failed for lack of a local resource is retried


class Party(Enum):
    """Where the cause of an error lies."""

    MACHINE = auto()  # the relay's own machine: memory, descriptors, ports, routes, disk
    NETWORK = auto()
    PEER = auto()


class Step(Enum):
    """The call that failed. CONNECT is the call itself, CONNECTED the socket's error after the connect completed."""

    SOCKET = auto()
    CONNECT = auto()
    CONNECTED = auto()
    ACCEPT = auto()
    TRANSFER = auto()  # send, recv and the options of a connected socket
    POLL = auto()
    FILE = auto()


class Retry(Enum):
    """Whether and when the same call may be retried."""

    AT_ONCE = auto()
    LATER = auto()  # after `RETRY_PAUSE_S`
    NEVER = auto()


@dataclass(frozen=True, slots=True)
class Trouble:
    """What a failed call means. `may_have_left`: bytes of earlier calls may have reached the peer."""

    party: Party
    retry: Retry
    may_have_left: bool = False


class MachineError(OSError):
    """A call failed for a local reason: nothing was sent, and the same call may succeed a little later."""


OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})

# Lack of descriptors, memory or ports: only the local machine reports these.
_EXHAUSTED = OUT_OF_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
_NO_LOCAL_ROUTE = frozenset(
    {errno.EAGAIN, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM}
)  # from connect itself: no local port, route or permission
_NETWORK = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET}
)
# accept(2) reports errors of the connection that it would have returned: that one is lost, and the next may be ready.
_LOST_BEFORE_ACCEPT = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.EPERM,
        errno.ETIMEDOUT,
    }
)
# Errors of a file or folder that no retry resolves.
_PERMANENT = frozenset(
    {
        errno.EROFS,
        errno.EACCES,
        errno.EPERM,
        errno.ENOTDIR,
        errno.EEXIST,
        errno.ELOOP,
        errno.ENAMETOOLONG,
        errno.ENOENT,
        errno.EISDIR,
        errno.EINVAL,
        errno.ENODEV,
        errno.ENXIO,
    }
)

_INTERRUPTED = Trouble(Party.MACHINE, Retry.AT_ONCE)
_SHORTAGE = Trouble(Party.MACHINE, Retry.LATER)


def trouble(error: OSError, step: Step) -> Trouble:
    """Classify an error of a call that failed at `step`."""
    code = error.errno
    if code == errno.EINTR:
        return _INTERRUPTED
    if isinstance(error, MachineError):
        return _SHORTAGE
    if step is Step.FILE:
        return Trouble(Party.MACHINE, Retry.NEVER if code in _PERMANENT else Retry.LATER)
    if code in _EXHAUSTED or step is Step.SOCKET or step is Step.POLL and code == errno.ENOSPC:
        return _SHORTAGE
    if step is Step.CONNECT and code in _NO_LOCAL_ROUTE:
        return _SHORTAGE
    if step is Step.ACCEPT:
        return Trouble(Party.PEER, Retry.AT_ONCE if code in _LOST_BEFORE_ACCEPT else Retry.LATER)
    party = Party.NETWORK if code in _NETWORK else Party.PEER
    return Trouble(party, Retry.NEVER, may_have_left=step is Step.TRANSFER)


def of_this_machine(error: BaseException, step: Step) -> bool:
    """Whether a call failed for a local reason, so that it may succeed a little later."""
    return isinstance(error, OSError) and trouble(error, step).party is Party.MACHINE
