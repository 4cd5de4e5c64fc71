"""Word between tasks of one loop that something has changed."""

from __future__ import annotations

import anyio


class ChangeNotifier:
    """Wakes all who wait; each looks for itself what is new. Costs next to nothing while nobody waits."""

    __slots__ = ("_waited_for",)

    def __init__(self) -> None:
        self._waited_for: anyio.Event | None = None

    def notify(self) -> None:
        if event := self._waited_for:
            self._waited_for = None
            event.set()

    async def wait(self) -> None:
        if self._waited_for is None:
            self._waited_for = anyio.Event()
        await self._waited_for.wait()
