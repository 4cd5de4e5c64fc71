"""Notification between tasks of one event loop that something has changed."""

from __future__ import annotations

import anyio


class ChangeNotifier:
    """Wakes all waiting tasks; each finds out by itself what has changed. Cheap while no task waits."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event: anyio.Event | None = None

    def notify(self) -> None:
        if event := self._event:
            self._event = None
            event.set()

    async def wait(self) -> None:
        if self._event is None:
            self._event = anyio.Event()
        await self._event.wait()
