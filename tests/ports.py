"""Ports that a test finds free now and a program of its binds later, and again after kills. They lie below those that
the system gives to connections, so nobody else is given one in between; other processes of tests have others."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import suppress

_ports = itertools.cycle(range(10_000 + os.getpid() % 40 * 500, 10_500 + os.getpid() % 40 * 500))


def free_port() -> int:
    for port in _ports:
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise AssertionError("a cycle has no end")


def free_udp_port() -> int:
    for port in _ports:
        with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
            found.bind(("127.0.0.1", port))
            return port
    raise AssertionError("a cycle has no end")
