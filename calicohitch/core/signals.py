"""What a process is told by signals, from the first moment of its service to the last.

A signal whose handler is not there yet, or not any more, ends the process with whatever is open. So the three are
blocked outside of `heeded` (by the program's first line, and again before the handlers go): one that comes then is
pending, and is heard or goes with the process.
"""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from loguru import logger

HEARD = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


class SignalState:
    """`stop` is set by the first SIGTERM or SIGINT; more of them change nothing. SIGHUP calls `on_reload`, at any time
    until the end; one that came before it was set is made up for."""

    def __init__(self) -> None:
        self.stop = anyio.Event()
        self.on_stop: Callable[[], None] = lambda: None
        self._on_reload: Callable[[], None] | None = None
        self._reload_due = False

    def set_reload_handler(self, on_reload: Callable[[], None]) -> None:
        self._on_reload = on_reload
        if self._reload_due:
            self._reload_due = False
            on_reload()

    def receive(self, number: int) -> None:
        if number != signal.SIGHUP:
            if self.stop.is_set():
                logger.bind(event="relay.stopping_already").info("told to stop again: it is stopping")
            self.stop.set()
            self.on_stop()
        elif self._on_reload:
            self._on_reload()
        else:
            self._reload_due = True


@asynccontextmanager
async def handling_signals() -> AsyncIterator[SignalState]:
    """Hear signals for as long as this lasts. The mask of the calling thread is as before when it is over, and from
    before the handlers go: where the program blocked them, nothing ends it on the way out."""
    told = SignalState()
    before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    with anyio.open_signal_receiver(*HEARD) as signals:

        async def listen() -> None:
            async for number in signals:
                told.receive(number)

        failed: BaseException | None = None  # what ended the service, as it is: a task group would wrap it
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listen)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
            try:
                yield told
            except Exception as err:
                failed = err
            finally:
                signal.pthread_sigmask(signal.SIG_SETMASK, before)
                tasks.cancel_scope.cancel()
        if failed:
            raise failed
