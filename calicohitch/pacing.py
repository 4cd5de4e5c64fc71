"""When a relay may call a destination again: backoff after bad calls, and slow start after an outage.

No relay sees what the others send, so each pause is drawn with jitter and scaled by how often this relay calls the
destination and by how many relays there are: what all of them send together has to stay below what a destination that
comes back cold can serve. No I/O, no clock; times are microseconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from .decision_state import Destination, Route
from .interface import Hold, Settings

SECOND = 1_000_000  # microseconds
MAX_BACKOFF_GAPS = 3  # mean gaps between a relay's messages: in that time a used-up limit can recover
BACKOFF_FACTOR = 4  # growth for each bad call in a row, so that few attempts cover a message's lifetime
MAX_OVERLOAD_DOUBLINGS = 8  # half a second becomes two minutes: longer than any message lives
TRIAL_INTERVAL_US, MAX_TRIAL_INTERVAL_US = SECOND // 2, 2 * SECOND  # first, longest pause between trials
OUTAGE_US = 5 * SECOND // 2  # refusals or a retry-after beyond the span of a rate limit mean an outage
DUE_CALL_SPAN = 0.95  # part of a message's time left in which a call is made despite backoff
PACE_CUT = 0.85  # share of the accepted rate at which a refused route is paced
OVERLOAD_MARGIN = 0.8  # share of the load that overloads a route in slow start, where its limit is reported


class Pacing:
    """The pauses of one relay. `jitter`: its source of random numbers."""

    def __init__(self, settings: Settings, jitter: random.Random) -> None:
        self._settings, self._random = settings, jitter

    def calls_are_rare(self, dest: Destination, now: int) -> bool:
        """Whether this relay calls the destination so rarely that other relays see most of its changes."""
        return self.max_backoff(dest, now) > MAX_TRIAL_INTERVAL_US

    def max_backoff(self, dest: Destination, now: int) -> float:
        """The longest backoff: all relays together retry no more often than a part of the arrival rate, or a
        few times a second."""
        return max(
            MAX_TRIAL_INTERVAL_US,
            min(MAX_BACKOFF_GAPS * dest.arrival_gap(now), self._settings.couriers * TRIAL_INTERVAL_US),
        )

    def backoff(self, dest: Destination, now: int, run: int, first: float = TRIAL_INTERVAL_US) -> int:
        """The backoff after `run` bad calls in a row; `first` is that after one. Drawn with jitter."""
        growth = BACKOFF_FACTOR ** min(max(0, run - 1), 7)
        return self.jittered(min(first * growth, self.max_backoff(dest, now)))

    def gap_after_failures(self, dest: Destination, now: int) -> int:
        """The pause of a relay that has seen an outage: it tries no more often than those that have not seen it."""
        return self.jittered(min(dest.arrival_gap(now), self._settings.rules.ramp_time))

    def trial_pause(self, bad_run: int) -> int:
        """The pause between trials of an unhealthy route after `bad_run` bad calls in a row."""
        return min(TRIAL_INTERVAL_US << max(0, min(bad_run - 3, 7)), MAX_TRIAL_INTERVAL_US)

    def jittered(self, pause: float) -> int:
        """The pause with random jitter of half its length either way, so that relays spread."""
        return int(pause * (0.5 + self._random.random()))

    def slow_start_spread(self, dest: Destination, now: int) -> int:
        """A random pause after an outage whose end a retry-after announced. The first trials of all relays,
        each at its usual call rate times what a destination in slow start can serve, stay below its capacity;
        later times are drawn more often than early ones."""
        return int(self._cold_gap(dest, now) * max(self._random.random(), self._random.random()))

    def _cold_gap(self, dest: Destination, now: int) -> float:
        """The gap between this relay's calls at which all relays together send what a cold destination can serve."""
        rules = self._settings.rules
        return min(rules.ramp_time, dest.arrival_gap(now) / max(rules.cold_from, 0.01))

    def assumed_gap(self, weights: Iterable[float]) -> float:
        """The gap between this relay's messages for a destination before any has come: that of one of all relays, which
        know as little and together fill the destination. `weights`: of its routes in the endpoint list. A longer gap
        than slow start takes protects nothing."""
        capacity = sum(weights) if self._settings.weights != "none" else 0.0
        if not 0 < capacity < math.inf:
            capacity = SECOND / (TRIAL_INTERVAL_US / MAX_BACKOFF_GAPS)
        return min(self._settings.couriers * SECOND / capacity, self._settings.rules.ramp_time)

    def spread_backlog(self, dest: Destination, now: int) -> None:
        """Begins the backlog of a destination after a random pause, when relays may begin together: after a restart, or
        after the process stood still. In that time each has one message to send in the mean, or as few as a cold
        destination can serve if this one is known to fail. There is no pause if the destination served a call so
        recently that no outage can have come since. A message for whose call too little time is left when the pause
        ends is called in it, unless the destination is known to fail."""
        known_to_fail = dest.known_to_fail()
        if dest.served_at > now - OUTAGE_US and not known_to_fail:
            return
        usual_gap = min(dest.arrival_gap(now), self._settings.rules.ramp_time)
        gap = self._cold_gap(dest, now) if known_to_fail else usual_gap
        begin, others = max(now, dest.backoff_until), 1 - 1 / self._settings.couriers
        if dest.backlog_at <= now:  # else more of the same backlog, as in a takeover
            dest.backlog_at = begin + int(self._random.random() * others * gap)
        dest.back_off(dest.backlog_at)
        if known_to_fail:
            return
        for message in dest.held.values():
            until = message.callable_until()
            if begin < until and begin + DUE_CALL_SPAN * (until - begin) < dest.backlog_at:
                dest.due_calls.setdefault(message.id, self.within_time_left(begin, until))

    def within_time_left(self, begin: int, until: int) -> int:
        """A random time for a call that has to be made between two times, so that relays spread."""
        return begin + int(max(0, until - begin) * self._random.uniform(0, DUE_CALL_SPAN))

    def next_call_at(self, route: Route, now: int) -> int:
        """When the route may get its next call, if no outcome comes before; a time in the past if at once."""
        due_at = route.due()
        if self.in_slow_start(route, now):
            due_at = max(due_at, route.slow_start_due)
        if route.calls and route.failing:
            due_at = max(due_at, route.calls[-1].sent_at + self.trial_pause(route.bad_run + 1))
        elif route.calls and route.silent(now):
            due_at = max(due_at, route.calls[-1].sent_at + TRIAL_INTERVAL_US)
        return due_at

    def in_slow_start(self, route: Route, now: int) -> bool:
        """Whether the route has recovered from an outage so recently that it may still be cold."""
        return 0 <= route.slow_start_at and now < route.slow_start_at + self._settings.rules.ramp_time

    def cut_pace(self, route: Route, sent_at: int, weighted_share: float, wait: int, now: int) -> None:
        """Paces a route that refused a call sent at `sent_at` below the rate that it accepted. `wait`: the retry-after
        of the refusal, 0 without one."""
        if sent_at > route.cut_at:
            share = weighted_share or 1.0  # without weights: a call a second
            accepted = max(route.accepted_rate(now), share)
            route.pace = max(PACE_CUT * min(route.paced(now) or accepted, accepted), share / 2)
            route.cut_at = now
        pause = min(int(SECOND / (route.pace or 1.0)) << min(route.bad_run - 1, 3), MAX_TRIAL_INTERVAL_US)
        route.back_off(now + (wait or pause), Hold.PACE)

    def call_started(self, dest: Destination, route: Route, weighted_share: float, now: int) -> None:
        """Spaces the next call of a route that is paced or in slow start. `weighted_share`: this relay's part of the
        weight in the endpoint list, 0 without weights."""
        if paced := route.paced(now):
            interval = int(SECOND / paced)
            route.back_off(max(route.backoff_until, now - interval) + interval, Hold.PACE)
        if self.in_slow_start(route, now):
            interval = self._slow_start_interval(dest, route, weighted_share, now)
            route.slow_start_due = max(route.slow_start_due, now) + interval

    def _slow_start_interval(self, dest: Destination, route: Route, weighted_share: float, now: int) -> int:
        """The time between two calls in slow start: this relay's usual calls a second, or its share of the calls that
        the route can serve, times the share of its capacity that the route has by now."""
        rules = self._settings.rules
        ramp = rules.cold_from + (1 - rules.cold_from) * (now - route.slow_start_at) / rules.ramp_time
        usual = SECOND / min(max(dest.arrival_gap(now), 1.0), self.max_backoff(dest, now))
        reported = route.share.part * OVERLOAD_MARGIN  # what it can serve, where it reports its limit
        share = (reported or weighted_share / 2) * rules.tip_multiple
        return int(SECOND / (ramp * max(usual, share)))
