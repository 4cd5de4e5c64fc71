"""Whose trouble a failed system call is, and what to do about it. No I/O.

An errno alone does not say it: ENETUNREACH from `connect` itself is this machine's routing table, and the same code as
the socket's later error came over the network. So callers name the step at which the call failed. Sources: the Linux
manual pages accept(2), connect(2), socket(2), send(2), recv(2), epoll_ctl(2), open(2) and write(2).
"""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum, auto

RETRY_PAUSE_S = 0.01  # before a call that failed for want of something on this machine is made again


class Party(Enum):
    """Whose trouble it is."""

    MACHINE = auto()  # the relay's own machine: memory, descriptors, ports, routes, its disk
    NETWORK = auto()
    PEER = auto()


class Step(Enum):
    """The call that failed. CONNECT is the call itself, CONNECTED the socket's error once the connect had its end."""

    SOCKET = auto()
    CONNECT = auto()
    CONNECTED = auto()
    ACCEPT = auto()
    TRANSFER = auto()  # send, recv and the options of a socket that was connected
    POLL = auto()
    FILE = auto()


class Retry(Enum):
    """Whether the same call may be made again."""

    AT_ONCE = auto()
    LATER = auto()  # after `RETRY_PAUSE_S`
    NEVER = auto()


@dataclass(frozen=True, slots=True)
class Trouble:
    """What a failed call means. `may_have_left`: bytes that were handed over before may have reached the peer."""

    party: Party
    retry: Retry
    may_have_left: bool = False


class MachineError(OSError):
    """A call failed for this machine's own reasons: nothing left it, and the same call may work a little later."""


OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})

# Of descriptors, memory or ports: only the caller's own machine says these.
_EXHAUSTED = OUT_OF_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
_NO_WAY_OUT = frozenset(
    {errno.EAGAIN, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM}
)  # said by connect itself: no port, route or permission here
_NETWORK = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ENONET}
)
# accept(2) passes on errors of the connection that it would have given: it is gone, and the next one may be there.
_GONE_UNACCEPTED = frozenset(
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
# Of a file or folder: no waiting mends these.
_LASTING = frozenset(
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

_AGAIN = Trouble(Party.MACHINE, Retry.AT_ONCE)
_SHORTAGE = Trouble(Party.MACHINE, Retry.LATER)


def trouble(error: OSError, step: Step) -> Trouble:
    """What a call that failed at this step means."""
    code = error.errno
    if code == errno.EINTR:
        return _AGAIN
    if isinstance(error, MachineError):
        return _SHORTAGE
    if step is Step.FILE:
        return Trouble(Party.MACHINE, Retry.NEVER if code in _LASTING else Retry.LATER)
    if code in _EXHAUSTED or step is Step.SOCKET or step is Step.POLL and code == errno.ENOSPC:
        return _SHORTAGE
    if step is Step.CONNECT and code in _NO_WAY_OUT:
        return _SHORTAGE
    if step is Step.ACCEPT:
        return Trouble(Party.PEER, Retry.AT_ONCE if code in _GONE_UNACCEPTED else Retry.LATER)
    party = Party.NETWORK if code in _NETWORK else Party.PEER
    return Trouble(party, Retry.NEVER, may_have_left=step is Step.TRANSFER)


def of_this_machine(error: BaseException, step: Step) -> bool:
    """Whether a call failed for want of something here, and may work a little later."""
    return isinstance(error, OSError) and trouble(error, step).party is Party.MACHINE
