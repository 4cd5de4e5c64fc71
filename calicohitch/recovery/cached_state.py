"""The state of the platform that a relay caches for its next start, and how long it is valid. No I/O, no clock.

The cached state is a starting point: the first new information replaces it. Each part has a maximum age; the ages and
their reasons are in `docs/design/recovery.md`. A retry-after ends with a restart, as the platform's protocol specifies,
unless the operators' file says that it outlasts a restart.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from ..pacing import MAX_OVERLOAD_DOUBLINGS
from .clocks import Moment, between

FORMAT = 1
MAX_STATE_BYTES = 64 << 10
MAX_LIMIT_AGE_MS = 30_000.0  # the first answer replaces it; destinations change their limits within a minute
MAX_HEALTH_AGE_MS = 10_000.0  # the longest slow start on the platform
MAX_ON_TIME_AGE_MS = 60_000.0  # 100 messages of a class end in about that time
ROLLED_BACK_MS = 30_000.0  # something is written every second while work is open: an older folder may be a copy
MAX_ARRIVAL_GAP_AGE_MS = 600_000.0  # traffic changes slowly, and a wrong gap only makes pauses longer or shorter
_MAX_RATE_PER_S = 1e9  # a larger rate or limit can only be damage
_MAX_COUNT = 1e9  # so can a larger count


class InvalidCachedState(Exception):
    """The cached state cannot be read; the text says why."""


@dataclass(frozen=True, slots=True)
class KnownRoute:
    """The last known state of a route. `endpoint`: its name where each endpoint is a route of its own. `limit`: calls a
    second. `arrival_share`: messages that may be sent, as a share of those that arrive; this and `arrivals_per_s` as in
    `core/shared_limit.py`. `cold_since`, `wait_until`: wall-clock milliseconds, 0 for none."""

    dest: int
    endpoint: str = ""
    limit: float = 0.0
    arrival_share: float = 1.0
    arrivals_per_s: float = 0.0
    failing: bool = False
    cold_since: float = 0.0
    wait_until: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownPacing:
    """What paced the calls to a route, as in `interface.RoutePacing`: times in wall-clock milliseconds, 0 for never,
    the latency in milliseconds, the pace in calls a second."""

    dest: int
    endpoint: str = ""
    next_call_at: float = 0.0
    bad_run: int = 0
    bad_since: float = 0.0
    fail_share: float = 0.0
    failed_at: float = 0.0
    pace: float = 0.0
    pace_cut_at: float = 0.0
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownDestination:
    """What was known of a destination, as in `interface.RestoredDestination`: times in wall-clock milliseconds, 0 for
    never, the mean time between two messages in milliseconds."""

    dest: int
    arrival_gap_ms: float = 0.0
    arrivals: int = 0
    refusals: int = 0
    failures: int = 0
    next_call_at: float = 0.0
    served_at: float = 0.0

    @property
    def healthy(self) -> bool:
        """Whether nothing but its traffic is known."""
        return not (self.refusals or self.failures or self.next_call_at)


@dataclass(frozen=True, slots=True)
class CachedState:
    """All that is cached. `discovery`, `revision`, `members`: the endpoint list, in the form that discovery returns, in
    a state that an older program stored; now it has files of its own (`endpoint_list`). `on_time`: by class, the
    number of messages that ended in time and the number of all that ended. `overload_doublings`: by the number of a
    kind of destinations."""

    written: Moment
    incarnation: int = 0
    discovery: str = ""
    revision: int = -1
    members: tuple[Mapping[str, Any], ...] = ()
    routes: tuple[KnownRoute, ...] = ()
    on_time: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    pacing: tuple[KnownPacing, ...] = ()
    destinations: tuple[KnownDestination, ...] = ()
    overload_doublings: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class ValidatedState:
    """What of the cached state is valid now, with times converted to the present wall clock. `passed`: its age in
    milliseconds. `set_by`: how far the wall clock was set since, in milliseconds. `left_out`: each part that is not
    used, with its age in milliseconds and the reason."""

    passed: float
    set_by: float
    routes: tuple[KnownRoute, ...] = ()
    on_time: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    left_out: tuple[tuple[str, float, str], ...] = ()
    pacing: tuple[KnownPacing, ...] = ()
    destinations: tuple[KnownDestination, ...] = ()
    overload_doublings: tuple[tuple[int, int], ...] = ()


def encode(state: CachedState, left_out: Callable[[str, int], None] = lambda _part, _size: None) -> bytes:
    """A checksum and one line of JSON. What does not fit into `MAX_STATE_BYTES` is left out, and `left_out` is told of
    each part and of the size with it: first what is known of healthy destinations, then the endpoint list, then what
    is known of all destinations."""
    record = _record(state)
    sick = [_destination_record(known) for known in state.destinations if not known.healthy]
    reductions: tuple[tuple[str, dict[str, Any]], ...] = (
        ("healthy destinations", {"destinations": sick}),
        ("the list", {"members": [], "revision": -1}),
        ("destinations and pacing", {"destinations": [], "pacing": []}),
    )
    data = _json(record)
    for part, reduction in reductions:
        if len(data) <= MAX_STATE_BYTES:
            break
        left_out(part, len(data))
        record |= reduction
        data = _json(record)
    return b"%08x " % zlib.crc32(data) + data


def _json(record: dict[str, Any]) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()


def _record(state: CachedState) -> dict[str, Any]:
    """The fields as they are stored. An older program ignores those that it does not know, and a newer one does without
    those that are missing: fields are added, and none changes."""
    return {
        "format": FORMAT,
        "life": state.incarnation,
        "written": [state.written.wall, state.written.mono, state.written.boot],
        "discovery": state.discovery,
        "revision": state.revision,
        "members": list(state.members),
        "routes": [
            [
                route.dest,
                route.endpoint,
                round(route.limit, 3),
                round(route.arrival_share, 4),
                round(route.arrivals_per_s, 4),
                int(route.failing),
                round(route.cold_since),
                round(route.wait_until),
            ]
            for route in state.routes
        ],
        "on_time": state.on_time,
        "pacing": [_pacing_record(known) for known in state.pacing],
        "destinations": [_destination_record(known) for known in state.destinations],
        "doublings": [list(pair) for pair in state.overload_doublings],
    }


def _pacing_record(known: KnownPacing) -> list[Any]:
    """Times before which no call is allowed are rounded up."""
    return [
        known.dest,
        known.endpoint,
        math.ceil(known.next_call_at),
        known.bad_run,
        round(known.bad_since),
        round(known.fail_share, 4),
        round(known.failed_at),
        round(known.pace, 3),
        round(known.pace_cut_at),
        round(known.latency_ms, 1),
    ]


def _destination_record(known: KnownDestination) -> list[Any]:
    return [
        known.dest,
        round(known.arrival_gap_ms),
        known.arrivals,
        known.refusals,
        known.failures,
        math.ceil(known.next_call_at),
        round(known.served_at),
    ]


def decode(data: bytes) -> CachedState:
    """The encoded state; InvalidCachedState if it is damaged, of another format, or has impossible values."""
    if data[8:9] != b" " or data[:8] != b"%08x" % zlib.crc32(data[9:]):
        raise InvalidCachedState("the checksum is wrong")
    try:
        record = json.loads(data[9:])
        if record["format"] != FORMAT:
            raise InvalidCachedState(f"it is in format {record['format']!r}, and this program reads format {FORMAT}")
        wall, mono, boot = record["written"]
        return CachedState(
            Moment(_parse_number(wall, 1e15), _parse_number(mono, 1e15), str(boot)),
            int(record["life"]),
            str(record["discovery"]),
            int(record["revision"]),
            tuple(raw for raw in record["members"] if isinstance(raw, dict)),
            tuple(route for raw in record["routes"] if (route := _parse_route(raw))),
            {
                str(name): (int(in_time), int(total))
                for name, (in_time, total) in record["on_time"].items()
                if 0 <= int(in_time) <= int(total) <= 1_000_000
            },
            tuple(known for raw in record.get("pacing", ()) if (known := _parse_pacing(raw))),
            tuple(dest for raw in record.get("destinations", ()) if (dest := _parse_destination(raw))),
            tuple(pair for raw in record.get("doublings", ()) if (pair := _parse_doublings(raw))),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
        raise InvalidCachedState(f"it cannot be decoded: {type(err).__name__}: {err}") from err


def _parse_number(raw: Any, maximum: float, minimum: float = 0.0) -> float:
    value = float(raw)
    if not (math.isfinite(value) and minimum <= value <= maximum):
        raise ValueError(f"{raw!r} is out of bounds")
    return value


def _parse_route(raw: Any) -> KnownRoute | None:
    """The decoded route; None if it has impossible values, so that only this route is left out."""
    try:
        dest, endpoint, limit, arrival_share, arrivals_per_s, failing, cold, wait = raw
        return KnownRoute(
            int(dest),
            str(endpoint),
            _parse_number(limit, _MAX_RATE_PER_S),
            _parse_number(arrival_share, 100.0),
            _parse_number(arrivals_per_s, _MAX_RATE_PER_S),
            bool(failing),
            _parse_number(cold, 1e15),
            _parse_number(wait, 1e15),
        )
    except (TypeError, ValueError, OverflowError):
        return None


def _parse_pacing(raw: Any) -> KnownPacing | None:
    """The decoded pacing of a route; None if it has impossible values."""
    try:
        dest, endpoint, next_call, bad_run, bad_since, fail_share, failed, pace, cut, latency = raw
        return KnownPacing(
            int(dest),
            str(endpoint),
            _parse_number(next_call, 1e15),
            int(_parse_number(bad_run, _MAX_COUNT)),
            _parse_number(bad_since, 1e15),
            _parse_number(fail_share, 1.0),
            _parse_number(failed, 1e15),
            _parse_number(pace, _MAX_RATE_PER_S),
            _parse_number(cut, 1e15),
            _parse_number(latency, 1e9),
        )
    except (TypeError, ValueError, OverflowError):
        return None


def _parse_destination(raw: Any) -> KnownDestination | None:
    """The decoded destination; None if it has impossible values."""
    try:
        dest, gap, arrivals, refusals, failures, next_call, served = raw
        return KnownDestination(
            int(dest),
            _parse_number(gap, 1e12),
            int(_parse_number(arrivals, _MAX_COUNT)),
            int(_parse_number(refusals, _MAX_COUNT)),
            int(_parse_number(failures, _MAX_COUNT)),
            _parse_number(next_call, 1e15),
            _parse_number(served, 1e15),
        )
    except (TypeError, ValueError, OverflowError):
        return None


def _parse_doublings(raw: Any) -> tuple[int, int] | None:
    try:
        kind, count = raw
        return int(_parse_number(kind, _MAX_COUNT)), int(_parse_number(count, MAX_OVERLOAD_DOUBLINGS))
    except (TypeError, ValueError, OverflowError):
        return None


def since_copy_ms(*since_written_ms: float | None) -> float | None:
    """How long ago a folder was copied that may be a copy without the relay's last records; None for any other folder.
    `since_written_ms`: how long ago it was written to, by each thing in it that tells; None where it does not. The
    newest counts: a relay that is quiet stores no state, and one that cannot store it still writes its journal."""
    known = [since_ms for since_ms in since_written_ms if since_ms is not None]
    return min(known) if known and min(known) > ROLLED_BACK_MS else None


def validate(state: CachedState, now: Moment, classes: Sequence[str], waits_outlast: bool = False) -> ValidatedState:
    """What of the cached state is valid at `now`, by its age and the configuration. `waits_outlast`: a retry-after
    outlasts a restart."""
    gap = between(state.written, now)
    age, left_out = gap.passed, []
    routes = []
    for route in state.routes:
        fresh, healthy = age <= MAX_LIMIT_AGE_MS, age <= MAX_HEALTH_AGE_MS
        wait = route.wait_until + gap.set_by if waits_outlast and route.wait_until else 0.0
        cold = route.cold_since + gap.set_by if healthy and route.cold_since else 0.0
        valid = KnownRoute(
            route.dest,
            route.endpoint,
            route.limit if fresh else 0.0,
            route.arrival_share if fresh else 1.0,
            route.arrivals_per_s if fresh else 0.0,
            route.failing and healthy,
            cold,
            wait if wait > now.wall else 0.0,
        )
        if valid != KnownRoute(route.dest, route.endpoint):
            routes.append(valid)
    for part, max_age_ms, present in (
        ("limits", MAX_LIMIT_AGE_MS, any(stored.limit for stored in state.routes)),
        ("health", MAX_HEALTH_AGE_MS, any(stored.failing or stored.cold_since for stored in state.routes)),
        ("on-time shares", MAX_ON_TIME_AGE_MS, bool(state.on_time)),
    ):
        if present and age > max_age_ms:
            left_out.append((part, age, "too old"))
    on_time = (
        {name: counts for name, counts in state.on_time.items() if name in classes} if age <= MAX_ON_TIME_AGE_MS else {}
    )
    return ValidatedState(
        age,
        gap.set_by,
        tuple(routes),
        on_time,
        tuple(left_out),
        pacing=tuple(_moved_pacing(known, gap.set_by) for known in state.pacing) if age <= MAX_HEALTH_AGE_MS else (),
        destinations=tuple(
            known
            for stored in state.destinations
            if (known := _valid_destination(stored, age, gap.set_by)) != KnownDestination(stored.dest)
        ),
        overload_doublings=state.overload_doublings if age <= MAX_HEALTH_AGE_MS else (),
    )


def _moved(time: float, set_by: float) -> float:
    """A stored time by the present wall clock."""
    return time + set_by if time else 0.0


def _moved_pacing(known: KnownPacing, set_by: float) -> KnownPacing:
    return replace(
        known,
        next_call_at=_moved(known.next_call_at, set_by),
        bad_since=_moved(known.bad_since, set_by),
        failed_at=_moved(known.failed_at, set_by),
        pace_cut_at=_moved(known.pace_cut_at, set_by),
    )


def _valid_destination(known: KnownDestination, age: float, set_by: float) -> KnownDestination:
    """Its arrival gap, and what is known of its health while that is valid."""
    gap = replace(KnownDestination(known.dest), arrival_gap_ms=known.arrival_gap_ms, arrivals=known.arrivals)
    if age > MAX_ARRIVAL_GAP_AGE_MS:
        return KnownDestination(known.dest)
    if age > MAX_HEALTH_AGE_MS:
        return gap
    return replace(known, next_call_at=_moved(known.next_call_at, set_by), served_at=_moved(known.served_at, set_by))
