"""Why a message is held, in words of `interface.Hold`: for those who watch. No decision: it asks those of
`rules.py`."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .interface import Held, Hold
from .state import TRIAL, Route

if TYPE_CHECKING:
    from .rules import Sender


def why_held(sender: Sender, number: int) -> Held | None:
    """None where it is not held. Asking changes nothing."""
    message, now = sender._open.get(number), sender._now
    dest = sender._dests.get(message.dest) if message else None
    if message is None or dest is None or number not in dest.held:
        return None
    if dest.rest_until > now:
        return Held(dest.rest_why, dest.rest_until)
    shut = [(_opens(e.route, why, now), why) for e in dest.ends.values() if (why := sender._shut(e.route))]
    if len(shut) == len(dest.ends):
        until, why = min(shut, key=lambda at: at[0] or math.inf, default=(0, Hold.NO_ENDPOINT))
        return Held(why, until)
    if not sender._in_turn(message):
        return Held(Hold.ORDER, sender._key_rest.get(message.told.key, 0))
    suited = any(sender._suits(message, e) and not sender._shut(e.route) for e in dest.ends.values())
    return Held(Hold.SLOT if suited else Hold.RISK)


def _opens(route: Route, why: Hold, now: int) -> int:
    last = route.calls[-1].sent_at if route.calls else 0
    at = {Hold.RAMP: route.cold_due, Hold.SILENT: last + TRIAL}.get(why, route.due())
    return at if at > now else 0
