"""Which relays hold copies of a part: rendezvous hashing over zones (Thaler and Ravishankar 1998), so that one that
comes or goes moves no more parts than its own. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from clandestined import RendezvousHash


def ranked(key: str, zones: Mapping[str, str]) -> list[str]:
    """All relays (name -> zone) in the order in which they should hold `key`: the first of each zone in turn, so that
    the first few lie in as many zones as there are."""
    by_zone: dict[str, list[str]] = {}
    for relay in _in_order(key, sorted(zones)):
        by_zone.setdefault(zones[relay], []).append(relay)
    order: list[str] = []
    while by_zone:
        for zone in list(by_zone):
            order.append(by_zone[zone].pop(0))
            if not by_zone[zone]:
                del by_zone[zone]
    return order


def _in_order(key: str, names: list[str]) -> list[str]:
    ring, order = RendezvousHash(nodes=list(names)), []
    while ring.nodes:
        first = ring.find_node(key)
        ring.remove_node(first)
        order.append(first)
    return order


def chosen(key: str, me: str, zones: Mapping[str, str], count: int) -> list[str]:
    """The holders of one part of `me`'s work, away from its own zone first where there are others."""
    order = ranked(key, {relay: zone for relay, zone in zones.items() if relay != me})
    here = zones.get(me, "")
    return sorted(order, key=lambda relay: bool(here) and zones[relay] == here)[:count]
