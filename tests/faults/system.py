"""Failing system calls, in this process: files, sockets and polls that fail as Linux documents, where a plan says so.

    with Failing(plan):
        ...

A plan is asked before each call, by its kind, and answers what to do in its place: nothing, an errno, or a short count.
The calls are patched where the program looks them up; the program itself is not changed.
"""

from __future__ import annotations

import errno
import io
import os
import select
import selectors
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any
from unittest import mock

SHORT = -1  # in place of an errno: a short count

ERRORS: dict[str, tuple[int, ...]] = {
    "open": (errno.EMFILE, errno.ENFILE, errno.ENOSPC, errno.EIO, errno.ENOMEM, errno.EDQUOT),
    "read": (errno.EIO, errno.ENOMEM),
    "write": (errno.EIO, errno.ENOSPC, errno.EDQUOT, SHORT),
    "pwrite": (errno.EIO, errno.ENOSPC, SHORT),
    "ftruncate": (errno.EIO, errno.EPERM),
    "unlink": (errno.EIO, errno.ENOMEM, errno.EBUSY),
    "rename": (errno.EIO, errno.ENOSPC),
    "stat": (errno.EIO, errno.ENOMEM),
    "listdir": (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO),
    "close": (errno.EIO, errno.EINTR, errno.ENOSPC),
    "flock": (errno.ENOLCK, errno.EINTR),
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "accept": (
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.EPERM,
        errno.ETIMEDOUT,
    ),
    "connect": (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.EAGAIN,
        errno.ENOMEM,
        errno.ECONNREFUSED,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
    ),
    "so_error": (errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH),
    "send": (errno.ENOBUFS, errno.ENOMEM, errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH, SHORT),
    "recv": (errno.ENOMEM, errno.ENOBUFS, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    "setsockopt": (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL),
    "shutdown": (errno.ENOTCONN, errno.ENOBUFS),
    "socket close": (errno.EIO, errno.ECONNRESET),
    "epoll_ctl": (errno.ENOMEM, errno.ENOSPC),
}
FILES = ("open", "read", "write", "pwrite", "ftruncate", "unlink", "rename", "stat", "listdir", "close", "flock")
MOMENTARY = {errno.ENOBUFS, errno.ENOMEM}  # of a socket's call: the same call works a little later

Plan = Callable[[str, int], int]  # kind and number of the call -> errno, SHORT, or 0 to let it through


def nothing(_kind: str, _number: int) -> int:
    return 0


@dataclass
class Nth:
    """The n-th call of one kind fails, and so do the next ones, `times` in all."""

    kind: str
    number: int
    error: int
    times: int = 1
    failed: int = 0

    def __call__(self, kind: str, number: int) -> int:
        if kind == self.kind and self.number <= number < self.number + self.times:
            self.failed += 1
            return self.error
        return 0


class Failing:
    """Patches the calls while it is entered. `calls` counts them by kind; `open_fds` are those that `os.open` gave and
    `os.close` has not had; `closed_twice` counts closes of others."""

    def __init__(self, plan: Plan = nothing, about: Callable[[str], bool] = lambda _path: True) -> None:
        """`about`: whether calls on this path are the plan's; calls on descriptors that came of other paths are let
        through as well."""
        self.plan, self._about = plan, about
        self.calls: Counter[str] = Counter()
        self.open_fds: set[int] = set()
        self.closed_twice = 0
        self._stack = ExitStack()

    def error(self, kind: str) -> int:
        """What the plan has for the next call of this kind: 0 to let it through, or SHORT; an errno is raised."""
        self.calls[kind] += 1
        found = self.plan(kind, self.calls[kind])
        if found > 0:
            raise OSError(found, os.strerror(found))
        return found

    def __enter__(self) -> Failing:
        for patch in (*self._files(), *self._sockets()):
            self._stack.enter_context(patch)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    # Files.

    def _files(self) -> list[Any]:
        import fcntl

        return [
            mock.patch.object(os, "open", self._opening(os.open)),
            mock.patch.object(os, "close", self._closing(os.close)),
            mock.patch.object(os, "write", self._writing("write", os.write)),
            mock.patch.object(os, "pwrite", self._writing("pwrite", os.pwrite)),
            mock.patch.object(os, "ftruncate", self._on_fd("ftruncate", os.ftruncate)),
            mock.patch.object(os, "unlink", self._on_path("unlink", os.unlink)),
            mock.patch.object(os, "rename", self._on_path("rename", os.rename)),
            mock.patch.object(os, "stat", self._on_path("stat", os.stat)),
            mock.patch.object(os, "listdir", self._on_path("listdir", os.listdir)),
            mock.patch.object(os, "scandir", self._on_path("listdir", os.scandir)),
            mock.patch.object(fcntl, "flock", self._on_fd("flock", fcntl.flock)),
            mock.patch.object(io, "open", self._reading(io.open)),
        ]

    def _on_path(self, kind: str, real: Any) -> Any:
        def call(path: Any = ".", *rest: Any, **more: Any) -> Any:
            if not isinstance(path, int) and self._about(os.fspath(path)):
                self.error(kind)
            return real(path, *rest, **more)

        return call

    def _on_fd(self, kind: str, real: Any) -> Any:
        def call(fd: Any, *rest: Any) -> Any:
            if fd in self.open_fds:
                self.error(kind)
            return real(fd, *rest)

        return call

    def _opening(self, real: Any) -> Any:
        def call(path: Any, *rest: Any, **more: Any) -> int:
            ours = self._about(os.fspath(path))
            if ours:
                self.error("open")
            fd: int = real(path, *rest, **more)
            if ours:
                self.open_fds.add(fd)
            return fd

        return call

    def _closing(self, real: Any) -> Any:
        def call(fd: int) -> None:
            if fd not in self.open_fds:
                try:
                    real(fd)
                except OSError as err:
                    self.closed_twice += err.errno == errno.EBADF
                    raise
                return
            self.open_fds.discard(fd)
            real(fd)  # Linux gives the descriptor back whatever close says
            self.error("close")

        return call

    def _writing(self, kind: str, real: Any) -> Any:
        def call(fd: int, data: bytes, *rest: Any) -> int:
            if fd in self.open_fds and self.error(kind) == SHORT:
                return int(real(fd, bytes(data)[: len(data) // 2], *rest))
            return int(real(fd, data, *rest))

        return call

    def _reading(self, real: Any) -> Any:
        def call(path: Any, *rest: Any, **more: Any) -> Any:
            if not isinstance(path, int) and self._about(os.fspath(path)):
                self.error("read")
            return real(path, *rest, **more)

        return call

    # Sockets and polls.

    def _sockets(self) -> list[Any]:
        return [
            mock.patch.object(socket, "socket", self._socket_class()),
            mock.patch.object(selectors.EpollSelector, "_selector_cls", self._poll_class()),
        ]

    def _socket_class(self) -> Any:
        """Sockets of the Internet families fail; those between threads of one process are let through."""
        ours, real = self, socket.socket
        untouched = Failing()

        def failing(sock: socket.socket) -> Failing:
            return ours if sock.family == socket.AF_INET else untouched

        class Socket(real):  # type: ignore[misc, valid-type]
            def __init__(self, *args: Any, **more: Any) -> None:
                family = args[0] if args else more.get("family", socket.AF_INET)
                if more.get("fileno") is None and (len(args) < 4 or args[3] is None) and family == socket.AF_INET:
                    ours.error("socket")
                super().__init__(*args, **more)

            def accept(self) -> Any:
                failing(self).error("accept")
                return super().accept()

            def connect_ex(self, address: Any) -> int:
                try:
                    failing(self).error("connect")
                except OSError as err:
                    assert err.errno
                    return err.errno
                return int(super().connect_ex(address))

            def getsockopt(self, level: int, name: int, *rest: Any) -> Any:
                if (level, name) == (socket.SOL_SOCKET, socket.SO_ERROR):
                    try:
                        failing(self).error("so_error")
                    except OSError as err:
                        return err.errno
                return super().getsockopt(level, name, *rest)

            def setsockopt(self, *args: Any) -> None:
                failing(self).error("setsockopt")
                super().setsockopt(*args)

            def send(self, data: Any, *rest: Any) -> int:
                if failing(self).error("send") == SHORT:
                    return super().send(bytes(data)[: max(1, len(data) // 2)], *rest)
                return super().send(data, *rest)

            def recv(self, *args: Any) -> bytes:
                failing(self).error("recv")
                return super().recv(*args)

            def shutdown(self, how: int) -> None:
                failing(self).error("shutdown")
                super().shutdown(how)

            def close(self) -> None:
                was_open, plan = self.fileno() >= 0, failing(self)
                super().close()
                if was_open:
                    plan.error("socket close")

        return Socket

    def _poll_class(self) -> Any:
        failing = self

        class Poll:
            def __init__(self, *args: Any) -> None:
                self._poll = select.epoll(*args)

            def register(self, *args: Any) -> None:
                failing.error("epoll_ctl")
                self._poll.register(*args)

            def __getattr__(self, name: str) -> Any:
                return getattr(self._poll, name)

        return Poll
