"""Converts between what the decision engine knows and what is cached of it. No I/O, no clock.

The decision engine uses endpoint numbers and microseconds of its own clock; the cached state uses endpoint names, which
outlast an incarnation, and wall-clock milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..clock import to_micros, to_ms
from ..interface import RestoredDestination, RestoredRoute, RestoredState, RoutePacing
from .cached_state import KnownDestination, KnownPacing, KnownRoute, ValidatedState

_NO_SHARE = (0.0, 1.0, 0.0)  # of a route without a known limit and without messages


def _key(route: RestoredRoute, name: Callable[[int], str]) -> str | None:
    """The name under which a route is cached: its endpoint's, empty for a shared route; None if the endpoint is no
    longer listed."""
    return "" if route.endpoint is None else name(route.endpoint) or None


def known_routes(known: RestoredState, name: Callable[[int], str]) -> tuple[KnownRoute, ...]:
    """The routes as they are cached, without those of which nothing is known. `name`: an endpoint's name by number."""
    return tuple(
        KnownRoute(
            route.dest,
            key,
            *route.share,
            route.failing,
            max(0.0, to_ms(route.cold_at)),
            to_ms(route.wait_until),
        )
        for route in known.routes
        if (route.share != _NO_SHARE or route.failing or route.cold_at > 0 or route.wait_until)
        and (key := _key(route, name)) is not None
    )


def known_pacing(known: RestoredState, name: Callable[[int], str]) -> tuple[KnownPacing, ...]:
    """What paces the calls to routes, as it is cached."""
    return tuple(
        KnownPacing(
            route.dest,
            key,
            to_ms(route.pacing.next_call_at),
            route.pacing.bad_run,
            to_ms(route.pacing.bad_since),
            route.pacing.fail_share,
            to_ms(route.pacing.failed_at),
            route.pacing.pace,
            to_ms(route.pacing.pace_cut_at),
            route.pacing.latency / 1e3,
        )
        for route in known.routes
        if route.pacing and (key := _key(route, name)) is not None
    )


def known_destinations(known: RestoredState) -> tuple[KnownDestination, ...]:
    """What is known of destinations, as it is cached."""
    return tuple(
        KnownDestination(
            dest.dest,
            dest.arrival_gap / 1e3,
            dest.arrivals,
            dest.refusals,
            dest.failures,
            to_ms(dest.next_call_at),
            to_ms(dest.served_at),
        )
        for dest in known.destinations
    )


def restored_state(
    validated: ValidatedState, number: Callable[[str], int | None], classes: Sequence[str]
) -> RestoredState:
    """The valid part of the cached state as the decision engine takes it. `number`: the number of an endpoint by its
    name, None if the endpoint list does not have it. `classes`: the names of the classes in their order."""
    pacing = {(known.dest, known.endpoint): known for known in validated.pacing}
    routes = {(route.dest, route.endpoint): route for route in validated.routes}
    restored = []
    for dest, name in dict.fromkeys((*routes, *pacing)):
        endpoint = number(name) if name else None
        if name and endpoint is None:
            continue
        route, paced = routes.get((dest, name), KnownRoute(dest, name)), pacing.get((dest, name))
        restored.append(
            RestoredRoute(
                dest,
                endpoint,
                (route.limit, route.arrival_share, route.arrivals_per_s),
                route.failing,
                to_micros(route.cold_since) if route.cold_since else -1,
                to_micros(route.wait_until),
                pacing=_restored_pacing(paced) if paced else None,
            )
        )
    on_time = tuple(validated.on_time.get(name, (0, 0)) for name in classes)
    return RestoredState(
        tuple(restored),
        on_time,
        tuple(_restored_destination(known) for known in validated.destinations),
        validated.overload_doublings,
    )


def _restored_pacing(known: KnownPacing) -> RoutePacing:
    return RoutePacing(
        to_micros(known.next_call_at),
        known.bad_run,
        to_micros(known.bad_since),
        known.fail_share,
        to_micros(known.failed_at),
        known.pace,
        to_micros(known.pace_cut_at),
        known.latency_ms * 1e3,
    )


def _restored_destination(known: KnownDestination) -> RestoredDestination:
    return RestoredDestination(
        known.dest,
        known.arrival_gap_ms * 1e3,
        known.arrivals,
        known.refusals,
        known.failures,
        to_micros(known.next_call_at),
        to_micros(known.served_at),
    )
