"""What paces a relay's calls, exported by one run and restored by the next. No I/O, no clock; times are microseconds.

What limits a relay's calls is there for the sake of all relays, so it must not end with a process: a restart allows no
call that the run before it would not have allowed.
"""

from __future__ import annotations

from collections.abc import Mapping

from .decision_state import SHARED_ROUTE, Destination, Route
from .interface import Hold, RestoredDestination, RestoredRoute, RestoredState, RoutePacing
from .pacing import Pacing

_MAX_RESTORED_ARRIVALS = 20  # the weight of an earlier run's arrival gap, so that a new rate shows soon


def export_routes(dests: Mapping[int, Destination], pacing: Pacing, now: int) -> tuple[RestoredRoute, ...]:
    """The state of all routes that a later run restores."""
    return tuple(
        RestoredRoute(
            name,
            None if key == SHARED_ROUTE else key,
            route.share.state(),
            route.failing,
            route.slow_start_at,
            route.backoff_until if route.backoff_reason is Hold.RETRY_AFTER else 0,
            pacing=_route_pacing(route, pacing, now),
        )
        for name, dest in dests.items()
        for key, route in dest.routes.items()
    )


def export_destinations(dests: Mapping[int, Destination], now: int) -> tuple[RestoredDestination, ...]:
    """The state of all destinations that have had a message, or a call for one of an earlier run or another relay."""
    return tuple(
        RestoredDestination(
            name,
            dest.arrival_gap(now),
            dest.arrivals,
            dest.overload,
            dest.fails,
            dest.backoff_until if dest.backoff_until > now else 0,
            dest.served_at,
        )
        for name, dest in dests.items()
        if dest.arrivals or dest.known_to_fail() or dest.backoff_until > now
    )


def restore_listed(dests: Mapping[int, Destination], state: RestoredState, now: int) -> RestoredState:
    """Restores the state from an earlier run of destinations and routes that are listed; returns that of the others.
    A retry-after that came in this run is for a listed route or for none."""
    unlisted_routes = [route for route in state.routes if not _restore_route(dests, route) and not route.wait_only]
    unlisted = [dest for dest in state.destinations if not _restore_destination(dests, dest, now)]
    return RestoredState(tuple(unlisted_routes), destinations=tuple(unlisted))


def joined(first: RestoredState, second: RestoredState) -> RestoredState:
    """The routes and destinations of both."""
    return RestoredState(first.routes + second.routes, destinations=first.destinations + second.destinations)


def _route_pacing(route: Route, pacing: Pacing, now: int) -> RoutePacing | None:
    next_call_at = pacing.next_call_at(route, now)
    known = RoutePacing(
        next_call_at if next_call_at > now else 0,
        route.bad_run,
        route.bad_since if route.bad_run else 0,
        route.fail_share,
        route.failed_at,
        route.pace if route.paced(now) else 0.0,
        route.cut_at if route.paced(now) else 0,
        route.mean or 0.0,
    )
    return None if known == RoutePacing() else known


def _restore_route(dests: Mapping[int, Destination], state: RestoredRoute) -> bool:
    """Whether the route is listed and has its state now. The first answer replaces it."""
    dest, key = dests.get(state.dest), SHARED_ROUTE if state.endpoint is None else state.endpoint
    if dest is None or (route := dest.routes.get(key)) is None:
        return False
    route.back_off(state.wait_until, Hold.RETRY_AFTER)
    if not state.wait_only:
        route.share.recall(*state.share)
        route.failing, route.slow_start_at = state.failing, state.cold_at
        if state.pacing:
            _restore_pacing(dest, route, state.pacing)
    return True


def _restore_destination(dests: Mapping[int, Destination], state: RestoredDestination, now: int) -> bool:
    """Whether the destination is listed and has its state now."""
    dest = dests.get(state.dest)
    if dest is None or not dest.endpoints:
        return False
    if state.arrival_gap and state.arrivals:
        dest.arrivals = min(state.arrivals, _MAX_RESTORED_ARRIVALS)
        dest.created_at = now - int(dest.arrivals * state.arrival_gap)
    dest.overload, dest.fails = state.refusals, state.failures
    dest.served_at = state.served_at
    dest.back_off(state.next_call_at)
    return True


def _restore_pacing(dest: Destination, route: Route, state: RoutePacing) -> None:
    """A shared route's next call is held by the destination, where a message that was never tried may pass in time."""
    route.bad_run, route.bad_since = state.bad_run, state.bad_since
    route.fail_share, route.failed_at = state.fail_share, state.failed_at
    route.pace, route.cut_at = state.pace, state.pace_cut_at
    route.mean = state.latency or None
    if dest.routes.get(SHARED_ROUTE) is route:
        dest.back_off(state.next_call_at)
    else:
        route.back_off(state.next_call_at, Hold.TRIAL)
