"""What a relay stores of the world beside its messages, and for how long that is believed. No I/O, no clock.

What is stored is a starting point: the first fresh word replaces it. Each part has an age beyond which it is not
believed; the ages and their reasons are in `docs/design/recovery.md`. A told wait ends by a restart, as the
platform's protocol has it, unless the operators' file says that it outlasts one.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from .clocks import Moment, between

FORMAT = 1
MOST_BYTES = 64 << 10
MOST_MEMBERS = MOST_BYTES // 100  # none takes fewer bytes: a longer list is left out before it is written down
LIST_MS = 600_000.0  # discovery is asked anyway; an older list names too few that are still there
LIMIT_MS = 30_000.0  # the first answer replaces it; destinations change limits within a minute
HEALTH_MS = 10_000.0  # the longest ramp on the platform
SHARE_MS = 60_000.0  # 100 endings of a class take about as long
ROLLED_BACK_MS = 30_000.0  # a folder is written every second while work is open: one that old may be a copy
_LARGEST = 1e9  # of a rate or limit a second; a larger one can only be damage


class InvalidCachedState(Exception):
    """What is stored cannot be read; the text says why."""


@dataclass(frozen=True, slots=True)
class KnownRoute:
    """One route as it was. `endpoint` names it where endpoints are routes apart. `limit` in calls a second, `times` and
    `came` as in `core/shared_limit.py`; `cold_since` and `wait_until` in wall milliseconds, 0 for none."""

    dest: int
    endpoint: str = ""
    limit: float = 0.0
    times: float = 1.0
    came: float = 0.0
    failing: bool = False
    cold_since: float = 0.0
    wait_until: float = 0.0


@dataclass(frozen=True, slots=True)
class CachedState:
    """All that is stored. `members` in discovery's form; `on_time` by class: how many of how many were in time."""

    written: Moment
    incarnation: int = 0
    discovery: str = ""
    revision: int = -1
    members: tuple[Mapping[str, Any], ...] = ()
    routes: tuple[KnownRoute, ...] = ()
    on_time: Mapping[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ValidatedState:
    """What of it holds now, times moved to the wall clock as it is. `left_out`: parts with their ages in milliseconds
    and why. `rolled_back`: the folder may be a copy from before its relay's last acts."""

    passed: float
    set_by: float
    members: tuple[Mapping[str, Any], ...] = ()
    revision: int = -1
    routes: tuple[KnownRoute, ...] = ()
    on_time: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    left_out: tuple[tuple[str, float, str], ...] = ()
    rolled_back: bool = False


def encode(beliefs: CachedState) -> bytes:
    """One line of JSON behind its checksum. A list too long for the bound is left out."""
    told = {
        "format": FORMAT,
        "life": beliefs.incarnation,
        "written": [beliefs.written.wall, beliefs.written.mono, beliefs.written.boot],
        "discovery": beliefs.discovery,
        "revision": beliefs.revision,
        "members": list(beliefs.members),
        "routes": [
            [
                r.dest,
                r.endpoint,
                round(r.limit, 3),
                round(r.times, 4),
                round(r.came, 4),
                int(r.failing),
                round(r.cold_since),
                round(r.wait_until),
            ]
            for r in beliefs.routes
        ],
        "on_time": beliefs.on_time,
    }
    data = json.dumps(told, separators=(",", ":")).encode()
    if len(data) > MOST_BYTES:
        data = json.dumps(told | {"members": [], "revision": -1}, separators=(",", ":")).encode()
    return b"%08x " % zlib.crc32(data) + data


def decode(data: bytes) -> CachedState:
    """What was stored; InvalidCachedState where it is not whole, or says what cannot be."""
    if data[8:9] != b" " or data[:8] != b"%08x" % zlib.crc32(data[9:]):
        raise InvalidCachedState("its checksum is wrong")
    try:
        told = json.loads(data[9:])
        if told["format"] != FORMAT:
            raise InvalidCachedState(f"it is of format {told['format']!r}, and this program reads {FORMAT}")
        wall, mono, boot = told["written"]
        return CachedState(
            Moment(_number(wall, 1e15), _number(mono, 1e15), str(boot)),
            int(told["life"]),
            str(told["discovery"]),
            int(told["revision"]),
            tuple(item for item in told["members"] if isinstance(item, dict)),
            tuple(route for item in told["routes"] if (route := _route(item))),
            {
                str(name): (int(good), int(of))
                for name, (good, of) in told["on_time"].items()
                if 0 <= int(good) <= int(of) <= 1_000_000
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as err:
        raise InvalidCachedState(f"it cannot be understood: {type(err).__name__}: {err}") from err


def _number(told: Any, most: float, least: float = 0.0) -> float:
    value = float(told)
    if not (math.isfinite(value) and least <= value <= most):
        raise ValueError(f"{told!r} is out of bounds")
    return value


def _route(item: Any) -> KnownRoute | None:
    """One that says what cannot be is left out alone."""
    try:
        dest, endpoint, limit, times, came, failing, cold, wait = item
        return KnownRoute(
            int(dest),
            str(endpoint),
            _number(limit, _LARGEST),
            _number(times, 100.0),
            _number(came, _LARGEST),
            bool(failing),
            _number(cold, 1e15),
            _number(wait, 1e15),
        )
    except (TypeError, ValueError, OverflowError):
        return None


def validate(
    beliefs: CachedState,
    now: Moment,
    discovery: str,
    known_revision: int,
    classes: Sequence[str],
    waits_outlast: bool = False,
) -> ValidatedState:
    """What of it holds at `now`, by its age and what the configuration says: `known_revision` is that of the list
    there, -1 for none."""
    gap = between(beliefs.written, now)
    age, left_out = gap.passed, []
    members, revision = beliefs.members, beliefs.revision
    if members and (beliefs.discovery != discovery or revision <= known_revision or age > LIST_MS):
        why = (
            "it is of another discovery"
            if beliefs.discovery != discovery
            else "it is too old"
            if age > LIST_MS
            else "the configuration's is as new"
        )
        left_out.append(("the list", age, why))
        members, revision = (), -1
    routes = []
    for route in beliefs.routes:
        fresh, healthy = age <= LIMIT_MS, age <= HEALTH_MS
        wait = route.wait_until + gap.set_by if waits_outlast and route.wait_until else 0.0
        cold = route.cold_since + gap.set_by if healthy and route.cold_since else 0.0
        kept = KnownRoute(
            route.dest,
            route.endpoint,
            route.limit if fresh else 0.0,
            route.times if fresh else 1.0,
            route.came if fresh else 0.0,
            route.failing and healthy,
            cold,
            wait if wait > now.wall else 0.0,
        )
        if kept != KnownRoute(route.dest, route.endpoint):
            routes.append(kept)
    for part, limit_ms, there in (
        ("limits", LIMIT_MS, any(r.limit for r in beliefs.routes)),
        ("health", HEALTH_MS, any(r.failing or r.cold_since for r in beliefs.routes)),
        ("on-time shares", SHARE_MS, bool(beliefs.on_time)),
    ):
        if there and age > limit_ms:
            left_out.append((part, age, "too old"))
    on_time = {name: of for name, of in beliefs.on_time.items() if name in classes} if age <= SHARE_MS else {}
    return ValidatedState(
        age,
        gap.set_by,
        tuple(members),
        revision,
        tuple(routes),
        on_time,
        tuple(left_out),
        rolled_back=age > ROLLED_BACK_MS,
    )
