"""Tasks that run for as long as the relay."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

_RESTART_PAUSE_S = 0.1


async def restart_on_failure(run: Callable[[], Awaitable[None]]) -> None:
    """Restart a task whenever it fails or returns, so that a bug in one task does not end the relay."""
    while True:
        try:
            await run()
        except Exception:
            logger.exception("a task broke off and is started again")
        await anyio.sleep(_RESTART_PAUSE_S)
