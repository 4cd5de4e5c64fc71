"""Reads the settings that a relay is told, in the words of its configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import interface as i


@dataclass(frozen=True, slots=True)
class Names:
    """What the configuration calls the things that the decisions know by number."""

    classes: tuple[str, ...]
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()

    @staticmethod
    def number(names: tuple[str, ...], told: object) -> int:
        """The number of a name, or of a number told as such; the unknown comes behind all that is known."""
        if isinstance(told, int):
            return told if 0 <= told < len(names) else len(names)
        return names.index(told) if isinstance(told, str) and told in names else len(names)


def names_from(info: dict[str, Any]) -> Names:
    """The names in the settings; the decisions know these things by their positions."""
    return Names(
        classes=tuple(str(item["name"]) for item in info["services"]),
        zones=tuple(map(str, info.get("zones") or ())),
        kinds=tuple(map(str, info.get("flavors") or ())),
    )


def settings_from(info: dict[str, Any]) -> i.Settings:
    """The settings of one instance; keys that this version does not know are skipped."""
    family, caps, told = info.get("family_info", {}), info.get("caps", {}), info.get("obligations", {})
    prices, reports = info.get("prices", {}), info.get("load_report", {})
    batch, apart = family.get("batch_by_kind", [1]), family.get("routes_apart", [])
    return i.Settings(
        classes=tuple(_class_from(item) for item in info["services"]),
        slots=family["call_slots"],
        open_cap=caps["open_cap"],
        max_attempts=caps["send_cap"],
        kinds=tuple(i.Kind(size, n < len(apart) and bool(apart[n])) for n, size in enumerate(batch)),
        tenants=tuple(i.Tenant(item.get("quota_per_s", 0.0)) for item in info.get("tenants") or ()),
        couriers=info.get("balancers", 1),
        number=info.get("self_index", 0),
        tick=max(1, info.get("tick", 1_000)),
        zone=info.get("locality", 0),
        weights=info.get("weights", "none"),
        asks_for_list=info.get("discovery") == "on_request",
        late_by_half=family.get("late") == "by_half",
        second_copies=caps.get("second_copies", False),
        may_cancel=caps.get("cancel", False),
        may_probe=caps.get("may_probe", False),
        may_tell=caps.get("peer_messages", False),
        retries_marked=info.get("client_habits", {}).get("marks_retry", False),
        reports=tuple(i.Report(it, family.get(f"report_{it}", "")) for it in reports.get("names") or ()),
        reports_in_answers=reports.get("via") == "answers",
        idle_time=caps.get("conn_idle", 0),
        streams=caps.get("streams_per_conn", 1),
        retry_after=caps.get("retry_after", False),
        max_retry_after=caps.get("max_retry_after", 0),
        connect_timeout=caps.get("connect_timeout", 1_000_000),
        over_share_worth=info.get("over_share_worth", 1.0),
        prices=i.Prices(
            cross_zone=prices.get("cross_zone", 0.0),
            handshake=prices.get("handshake", 0.0),
            waste=prices.get("waste", 0.0),
            refused=family.get("refused_price", 0.0),
            late_fail=prices.get("late_fail", 0.0),
            probe=prices.get("probe", 0.0),
            peer=prices.get("peer", 0.0),
            zone_fee=tuple(family.get("toll", ())),
        ),
        rules=i.Rules(
            answer_slack=told.get("answer_slack", 0),
            drain_grace=told.get("stop_sending_within", 0),
            ask_within=told.get("must_ask_in", 0),
            cold_from=told.get("cold_from", 1.0),
            ramp_time=told.get("ramp_time", 0),
            tip_multiple=told.get("tip_multiple", 1.0),
            fall=told.get("fall", 1_000_000),
            key_quiet=told.get("key_quiet", 0),
        ),
    )


def _class_from(item: dict[str, Any]) -> i.MessageClass:
    return i.MessageClass(
        effect=i.Effect(item["effect"]),
        aim=item["on_time"],
        deadline=item["hard_limit"],
        worth=item.get("importance", 1.0),
        late_worth=item.get("late_worth", 0.0),
        group=item.get("group", "all"),
        window=item.get("window", 0),
        in_order=bool(item.get("by_arrival", False)),
        streamed=bool(item.get("streamed", False)),
    )
