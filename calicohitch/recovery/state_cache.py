"""What the relay keeps of the world for its next life, and what it takes over from the last one.

Between the decisions, which know numbers and microseconds of their own clock, and `cached_state`, which knows names and
wall milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from loguru import logger

from ..clock import to_micros, to_ms
from ..interface import RestoredState, RestoredRoute
from ..journal import Entry
from . import cached_state, clocks
from .state_files import StateFiles

_NO_SHARE = (0.0, 1.0, 0.0)  # of a route that no answer told a limit of, and no message came for
_WORTH_A_LINE_MS = 1_000.0  # clocks that are steered differ by less
_EVERY_MS = 1_000.0  # between two writes, while something changes or work is open


class StateCache:
    """One relay's stored beliefs. `read` once at the start, `keep` now and then."""

    def __init__(self, folder: Path, incarnation: int, classes: Sequence[str], waits_outlast: bool = False) -> None:
        self._files, self._incarnation, self._classes = StateFiles(folder), incarnation, classes
        self._waits_outlast = waits_outlast
        self._saved_at = -_EVERY_MS
        self._failed = False
        self.found: cached_state.CachedState | None = None
        self.validated: cached_state.ValidatedState | None = None

    def read(self, wall: float, discovery: str, known_revision: int) -> None:
        """What an earlier life stored, as far as it is believed at `wall`; the rest is logged once with its age."""
        try:
            self.found = self._files.read()
        except cached_state.InvalidCachedState as err:
            logger.bind(event="recovery.unread").warning("what an earlier life knew is not believed: {}", err)
            return
        if self.found is None:
            return
        now = clocks.now(wall)
        told = self.validated = cached_state.validate(
            self.found, now, discovery, known_revision, self._classes, self._waits_outlast
        )
        for part, age, why in told.left_out:
            logger.bind(event="recovery.old", part=part, age_ms=age).info(
                "stored {} of {:.1f} s ago: not believed, {}", part, age / 1e3, why
            )
        if abs(told.set_by) > _WORTH_A_LINE_MS:
            logger.bind(event="recovery.clock", set_by_ms=told.set_by).warning(
                "the wall clock was set by {:+.1f} s since an earlier life: its times are moved", told.set_by / 1e3
            )

    def correct_entries(self, entries: Sequence[Entry]) -> None:
        """Move the times of an earlier life's messages to the wall clock as it is now, and doubt them all where the
        folder may be a copy of long ago: what was tried since is not in it."""
        told, found = self.validated, self.found
        if told is None or found is None or not entries:
            return
        if told.set_by:
            for entry in entries:
                if entry.on_this_clock:
                    continue  # the journal knew its moment
                entry.deadline += told.set_by
                entry.complete_until += told.set_by
                for attempt in entry.attempts:
                    attempt.sent_at += told.set_by
        if told.rolled_back:
            logger.bind(event="recovery.rolled_back", age_ms=told.passed).warning(
                "the folder was last written {:.0f} s ago and may be a copy from then: of {} open messages any may "
                "have been tried since",
                told.passed / 1e3,
                len(entries),
            )
            for entry in entries:
                if not entry.doubtful:
                    entry.doubtful, entry.complete_until = True, found.written.wall + told.set_by

    def restored_state(self, number: Callable[[str], int | None], wall: float) -> RestoredState | None:
        """What the decisions are told; `number` of an endpoint by its name, None where the list does not name it."""
        if (told := self.validated) is None:
            return None
        routes = []
        for route in told.routes:
            endpoint = number(route.endpoint) if route.endpoint else None
            if route.endpoint and endpoint is None:
                continue
            routes.append(
                RestoredRoute(
                    route.dest,
                    endpoint,
                    (route.limit, route.times, route.came),
                    route.failing,
                    to_micros(route.cold_since) if route.cold_since else -1,
                    to_micros(route.wait_until),
                )
            )
        on_time = tuple(told.on_time.get(name, (0, 0)) for name in self._classes)
        return RestoredState(tuple(routes), on_time)

    def due(self, wall: float) -> bool:
        """Whether the last write is a second old: asked before what is known is gathered."""
        return wall - self._saved_at >= _EVERY_MS

    def save(
        self,
        wall: float,
        known: RestoredState,
        name: Callable[[int], str],
        discovery: str,
        revision: int | None,
        members: Callable[[], Sequence[dict[str, Any]]],
    ) -> None:
        """Store what is known now; `members` in discovery's form. Routes of which nothing is known are left out."""
        self._saved_at = wall
        routes = tuple(
            cached_state.KnownRoute(
                was.dest,
                name(was.endpoint) if was.endpoint is not None else "",
                *was.share,
                was.failing,
                max(0.0, to_ms(was.cold_at)),
                to_ms(was.wait_until),
            )
            for was in known.routes
            if was.share != _NO_SHARE or was.failing or was.cold_at > 0 or was.wait_until
        )
        on_time = dict(zip(self._classes, known.on_time, strict=True))
        told = cached_state.CachedState(
            clocks.now(wall),
            self._incarnation,
            discovery,
            -1 if revision is None else revision,
            tuple(members()),
            routes,
            on_time,
        )
        try:
            self._files.write(cached_state.encode(told))
            self._failed = False
        except OSError as err:  # the journal goes on; the next life starts with less
            if not self._failed:
                logger.warning("what is known could not be stored: {}", err)
            self._failed = True
