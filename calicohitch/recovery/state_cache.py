"""Stores the state of the platform for the next incarnation, and loads what the last one stored.

What is valid of it is decided in `cached_state`; `state_conversion` translates for the decision engine.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from loguru import logger

from ..interface import RestoredState
from ..journal import Entry
from . import cached_state, clocks, state_conversion
from .endpoint_list import MAX_LIST_AGE_MS, NO_REVISION, InvalidListRecord, ListChange, StoredList, reason_against
from .list_files import EndpointListFiles, ListTooLong
from .state_files import StateFiles

_LOGGED_CLOCK_CHANGE_MS = 1_000.0  # synchronised clocks are set by less
_SAVE_INTERVAL_MS = 1_000.0  # while something changes or work is open
_LIST_SAVE_INTERVAL_MS = MAX_LIST_AGE_MS / 4  # while the list does not change


class StateCache:
    """The cached state of one relay: `read` once at the start, `save` at intervals."""

    def __init__(self, folder: Path, incarnation: int, classes: Sequence[str], waits_outlast: bool = False) -> None:
        self._files, self._incarnation, self._classes = StateFiles(folder), incarnation, classes
        self._list_files = EndpointListFiles(folder)
        self._list_tried_at = -_LIST_SAVE_INTERVAL_MS
        self._list_problem, self._list_refused = "", False  # with the last write of the list; by the disk
        self._left_out: set[str] = set()  # parts of the state that did not fit and are logged
        self._waits_outlast = waits_outlast
        self._saved_at = -_SAVE_INTERVAL_MS
        self._save_failed = False
        self.found: cached_state.CachedState | None = None  # as it was stored
        self.validated: cached_state.ValidatedState | None = None  # what of it is valid
        self.endpoint_list: StoredList | None = None  # that an earlier incarnation acted on, if it is valid

    def read(self, wall: float, discovery: str, known_revision: int) -> None:
        """Load what an earlier incarnation stored, as far as it is valid at `wall`; each other part is logged with its
        age. `known_revision`: the revision of the endpoint list in the configuration, -1 for none."""
        self._read_state(wall)
        self._read_list(wall, discovery, known_revision)

    def _read_list(self, wall: float, discovery: str, known_revision: int) -> None:
        try:
            stored = self._list_files.read()
        except InvalidListRecord as err:
            stored = None
            logger.bind(event="recovery.unread").warning(
                "the endpoint list of an earlier incarnation is not used: {}", err
            )
        stored = self._newer_list(stored)
        if stored is None:
            return
        now = clocks.now(wall)
        if (reason := reason_against(stored, now, discovery, known_revision)) is None:
            self.endpoint_list = stored
        else:
            self._log_left_out("the list", clocks.between(stored.written, now).passed, reason)

    def _newer_list(self, stored: StoredList | None) -> StoredList | None:
        """The list of the files or, if it was stored later, the one in the state, where an older program put it."""
        state = self.found
        if state is None or not state.members or stored and stored.written.wall >= state.written.wall:
            return stored
        members = {str(member.get("id")): member for member in state.members}
        return StoredList(state.written, state.discovery, state.revision, members)

    def _read_state(self, wall: float) -> None:
        try:
            self.found = self._files.read()
        except cached_state.InvalidCachedState as err:
            logger.bind(event="recovery.unread").warning(
                "the cached state of an earlier incarnation is not used: {}", err
            )
            return
        if self.found is None:
            return
        now = clocks.now(wall)
        validated = self.validated = cached_state.validate(self.found, now, self._classes, self._waits_outlast)
        for part, age, reason in validated.left_out:
            self._log_left_out(part, age, reason)
        if abs(validated.set_by) > _LOGGED_CLOCK_CHANGE_MS:
            logger.bind(event="recovery.clock", set_by_ms=validated.set_by).warning(
                "the wall clock was set by {:+.1f} s since an earlier incarnation: its times are corrected",
                validated.set_by / 1e3,
            )

    @staticmethod
    def _log_left_out(part: str, age: float, reason: str) -> None:
        logger.bind(event="recovery.old", part=part, age_ms=age).info(
            "cached state not used: {}, {:.1f} s old: {}", part, age / 1e3, reason
        )

    def correct_entries(self, entries: Sequence[Entry], wall: float, journal_since_ms: float | None = None) -> None:
        """Convert the times of messages of an earlier incarnation to the present wall clock. If the folder may be an
        old copy, mark all of them doubtful: attempts made since the copy are missing from it. `journal_since_ms`: how
        long ago the journal was written to, None if it does not tell."""
        if not entries:
            return
        if self.validated and self.validated.set_by:
            self._convert_times(entries, self.validated.set_by)
        state_since_ms = self.validated.passed if self.validated else None
        if (since_ms := cached_state.since_copy_ms(state_since_ms, journal_since_ms)) is not None:
            self._mark_doubtful(entries, wall, since_ms)

    @staticmethod
    def _convert_times(entries: Sequence[Entry], set_by: float) -> None:
        for entry in entries:
            if entry.on_this_clock:
                continue  # the journal has converted its times already
            entry.deadline += set_by
            entry.complete_until += set_by
            for attempt in entry.attempts:
                attempt.sent_at += set_by

    @staticmethod
    def _mark_doubtful(entries: Sequence[Entry], wall: float, since_ms: float) -> None:
        logger.bind(event="recovery.rolled_back", age_ms=since_ms).warning(
            "the folder was last written {:.0f} s ago and may be a copy from then: any of its {} open messages may "
            "have been attempted since",
            since_ms / 1e3,
            len(entries),
        )
        for entry in entries:
            if not entry.doubtful:
                entry.doubtful, entry.complete_until = True, wall - since_ms

    def restored_state(self, number: Callable[[str], int | None], wall: float) -> RestoredState | None:
        """The cached state in the form of the decision engine. `number`: the number of an endpoint by its name, None if
        the endpoint list does not have it."""
        if self.validated is None:
            return None
        return state_conversion.restored_state(self.validated, number, self._classes)

    def due(self, wall: float) -> bool:
        """Whether the save interval has passed; checked before the state is gathered."""
        return wall - self._saved_at >= _SAVE_INTERVAL_MS

    def save(self, wall: float, known: RestoredState, name: Callable[[int], str]) -> bool:
        """Store the present state; False if the disk refuses it. Routes without any known state are left out."""
        self._saved_at = wall
        on_time = dict(zip(self._classes, known.on_time, strict=True))
        state = cached_state.CachedState(
            clocks.now(wall),
            self._incarnation,
            routes=state_conversion.known_routes(known, name),
            on_time=on_time,
            pacing=state_conversion.known_pacing(known, name),
            destinations=state_conversion.known_destinations(known),
            overload_doublings=known.overload_doublings,
        )
        try:
            self._files.write(cached_state.encode(state, self._log_too_long))
            self._save_failed = False
        except OSError as err:  # the journal still works; the next incarnation starts with less
            if not self._save_failed:
                logger.warning("the cached state could not be stored: {}", err)
            self._save_failed = True
        return not self._save_failed

    def _log_too_long(self, part: str, size: int) -> None:
        if part not in self._left_out:
            self._left_out.add(part)
            logger.warning("the state takes {} bytes and is stored without a part: {}", size, part)

    def list_due(self, wall: float) -> bool:
        """Whether the list has to be stored: once more, as the disk refused it, or unchanged, so that it does not count
        as old."""
        return wall - self._list_tried_at >= (_SAVE_INTERVAL_MS if self._list_refused else _LIST_SAVE_INTERVAL_MS)

    def save_list(
        self,
        wall: float,
        discovery: str,
        revision: int | None,
        changes: Sequence[dict[str, Any]],
        members: Callable[[], Sequence[dict[str, Any]]],
        moved: bool = False,
    ) -> None:
        """Store the endpoint list. `changes`: the members that differ since the last call, `members`: all, in the form
        that discovery returns. `moved`: discovery has another address. What fails is logged, and due again if the disk
        refused it; until then the next incarnation has the list from before."""
        self._list_tried_at = wall
        now, stored_revision = clocks.now(wall), NO_REVISION if revision is None else revision
        try:
            if moved or self._list_files.needs_snapshot:
                by_id = {member["id"]: member for member in members()}
                self._list_files.write_snapshot(StoredList(now, discovery, stored_revision, by_id))
            else:
                self._list_files.append(ListChange(now, stored_revision, changes))
            self._list_problem, self._list_refused = "", False
        except OSError as err:
            problem = err.strerror or type(err).__name__  # the size of a list that is too long differs each time
            if self._list_problem != problem:
                logger.warning("the endpoint list could not be stored: {}", err)
            self._list_problem, self._list_refused = problem, not isinstance(err, ListTooLong)
