"""Seeded faults in the relay, each of which the auditor must find. Run in a relay's process before the program:

    Rig(code="from fleet.mutants import plant; plant('deaf to waits')")

A mutant changes one function of the program, in that process alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

MUTANTS: dict[str, tuple[str, Callable[[], None]]] = {}  # name -> the rule that is broken, and how


def _mutant(name: str, rule: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    def keep(plant: Callable[[], None]) -> Callable[[], None]:
        MUTANTS[name] = rule, plant
        return plant

    return keep


def plant(name: str) -> None:
    MUTANTS[name][1]()


@_mutant("deaf to waits", "wait")
def _waits() -> None:
    from calicohitch.net import endpoints

    endpoints.read_wait = lambda _text: 0.0


@_mutant("blind to drains", "drain")
def _drains() -> None:
    from calicohitch.interface import Phase
    from calicohitch.net import discovery

    discovery._PHASES = {"Ready": Phase.READY, "Terminating": Phase.READY}


@_mutant("silent about ends", "lost")
def _notices() -> None:
    from calicohitch.net.notices import Notices

    Notices.add = lambda self, notice: None  # type: ignore[method-assign]


@_mutant("no record of attempts", "repeat")
def _attempts() -> None:
    from calicohitch.journal import Journal

    Journal.record_attempt = lambda self, *_: None  # type: ignore[method-assign]


@_mutant("no record of ends", "repeat")
def _closed() -> None:
    from calicohitch.journal import Journal

    def closed(self: Any, number: int) -> None:
        if number in self._segment_of:
            self._forget(number)

    Journal.record_closed = closed  # type: ignore[method-assign]
    _attempts()


@_mutant("nothing is taken up again", "lost")
def _recover() -> None:
    from calicohitch.net.relay import Relay

    Relay._recover = lambda self: None  # type: ignore[method-assign]


@_mutant("a hidden second call", "two out")
def _twice() -> None:
    import anyio

    from calicohitch.net.endpoints import Endpoints

    once = Endpoints.call

    async def call(self: Any, endpoint: int, address: Any, message: Any, scope: Any, wanted: Any) -> Any:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(once, self, endpoint, address, message, anyio.CancelScope(), wanted)
            return await once(self, endpoint, address, message, scope, wanted)

    Endpoints.call = call  # type: ignore[method-assign]


@_mutant("the folder is anybody's", "earlier life")
def _claim() -> None:
    from calicohitch.recovery.folder_lease import FolderLease

    FolderLease.check = lambda self: None  # type: ignore[method-assign]
    FolderLease.renew = lambda self: None  # type: ignore[method-assign]


@_mutant("a start knows no limit", "stampede")
def _unpaced() -> None:
    from calicohitch.core.limit_share import LimitShare

    LimitShare.assume_limit = lambda self, now, limit: None  # type: ignore[method-assign]


@_mutant("keys are remembered for ever", "repeat")
def _window() -> None:
    """In the decisions, and in the guard before each attempt, which would not let it happen."""
    from calicohitch.core.invariants import Invariants

    Invariants.may_send = lambda self, *_: True  # type: ignore[method-assign]
    _decided_window()


@_mutant("keys are remembered for ever by the decisions alone", "invariant")
def _decided_window() -> None:
    from calicohitch.decision_state import Message

    Message.key_until = lambda self: 1 << 62  # type: ignore[method-assign]


@_mutant("the first bytes are the answer", "lost")
def _first_bytes() -> None:
    """A response is taken for that of the call that is out, for good."""
    from calicohitch.net.connection_pool import ConnectionPool
    from calicohitch.net.endpoints import Endpoints

    answered = Endpoints._answered

    def add_provisional(self: Any, connection: Any, confirmation: Any, *rest: Any) -> None:
        confirmation.resolve(True)

    def certain(self: Any, exchange: Any, *rest: Any) -> Any:
        exchange.certain = exchange.response is not None and exchange.response.status not in (200, 410)
        return answered(self, exchange, *rest)

    ConnectionPool.add_provisional = add_provisional  # type: ignore[method-assign]
    Endpoints._answered = certain  # type: ignore[method-assign]
    ConnectionPool._surplus_received = lambda self, connection, data: None  # type: ignore[method-assign]


@_mutant("an id stands for one process", "wrong destination")
def _one_process() -> None:
    from calicohitch.net.discovery import Directory

    Directory._is_other_incarnation = lambda self, number, item: False  # type: ignore[method-assign]


@_mutant("ended ids are forgotten", "repeat")
def _forgotten_ids() -> None:
    from calicohitch.core.accepted_ids import AcceptedIds

    AcceptedIds.add = lambda self, wire_id, expires_at: None  # type: ignore[method-assign]
