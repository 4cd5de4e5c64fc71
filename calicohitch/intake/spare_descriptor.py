"""A descriptor held in reserve, so that a client can be refused when no other descriptor is free."""

from __future__ import annotations

import os
from contextlib import suppress

from loguru import logger


class SpareDescriptor:
    def __init__(self) -> None:
        self._descriptor = -1

    @property
    def is_open(self) -> bool:
        return self._descriptor >= 0

    def open(self) -> None:
        try:
            self._descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as err:  # tried again when it is needed
            logger.debug("cannot open the spare descriptor: {}", err)

    def close(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            with suppress(OSError):
                os.close(descriptor)
