"""Tasks that last as long as their relay does."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

_PAUSE_S = 0.1


async def restart_on_failure(run: Callable[[], Awaitable[None]]) -> None:
    """Run a task again whenever it breaks off or ends: a fault in one of them is not to end the relay."""
    while True:
        try:
            await run()
        except Exception:
            logger.exception("a task broke off and is started again")
        await anyio.sleep(_PAUSE_S)
