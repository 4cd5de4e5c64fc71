"""Reads the settings that a relay is told, in the words of its configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import interface as i
from .places import Place, PlaceError, shown

_LONGEST_NAME = 256  # bytes of a class's name, which each record of a message holds


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
    told = Place(info, "settings")
    classes: list[str] = []
    for item in told.each("services", needed=True):
        name = item.text("name")
        if not 1 <= len(name.encode()) <= _LONGEST_NAME or name in classes:
            raise PlaceError(
                f"{item.where}.name must be a text of its own of 1 to {_LONGEST_NAME} bytes, not {shown(name)}"
            )
        classes.append(name)
    return Names(
        classes=tuple(classes),
        zones=tuple(map(str, told.list("zones"))),
        kinds=tuple(map(str, told.list("flavors"))),
    )


def settings_from(info: dict[str, Any]) -> i.Settings:
    """The settings of one instance; keys that this version does not know are skipped. PlaceError (a ValueError)
    names the first that cannot be used."""
    told = Place(info, "settings")
    family, caps, rules = told.part("family_info"), told.part("caps"), told.part("obligations")
    prices, reports = told.part("prices"), told.part("load_report")
    batch, apart = family.numbers("batch_by_kind", 1) or (1,), family.list("routes_apart")
    return told.made(
        lambda: i.Settings(
            classes=tuple(_class_from(item) for item in told.each("services", needed=True)),
            slots=family.whole("call_slots", least=1),
            open_cap=caps.whole("open_cap", least=1),
            max_attempts=caps.whole("send_cap", least=1),
            kinds=tuple(i.Kind(size, n < len(apart) and bool(apart[n])) for n, size in enumerate(batch)),
            tenants=tuple(i.Tenant(item.number("quota_per_s", 0.0)) for item in told.each("tenants")),
            couriers=told.whole("balancers", 1, least=1),
            number=told.whole("self_index", 0),
            tick=max(1, told.number("tick", 1_000)),
            zone=told.whole("locality", 0),
            weights=told.text("weights", "none", ("none", "nominal", "rough")),
            asks_for_list=told.raw("discovery") == "on_request",
            late_by_half=family.raw("late") == "by_half",
            second_copies=caps.flag("second_copies"),
            may_cancel=caps.flag("cancel"),
            may_probe=caps.flag("may_probe"),
            may_tell=caps.flag("peer_messages"),
            retries_marked=told.part("client_habits").flag("marks_retry"),
            reports=tuple(i.Report(it, str(family.raw(f"report_{it}") or "")) for it in reports.list("names")),
            reports_in_answers=reports.raw("via") == "answers",
            idle_time=caps.number("conn_idle", 0),
            streams=caps.whole("streams_per_conn", 1, least=1),
            retry_after=caps.flag("retry_after"),
            max_retry_after=caps.number("max_retry_after", 0),
            connect_timeout=caps.number("connect_timeout", 1_000_000),
            over_share_worth=told.number("over_share_worth", 1.0),
            prices=i.Prices(
                cross_zone=prices.number("cross_zone", 0.0),
                handshake=prices.number("handshake", 0.0),
                waste=prices.number("waste", 0.0),
                refused=family.number("refused_price", 0.0),
                late_fail=prices.number("late_fail", 0.0),
                probe=prices.number("probe", 0.0),
                peer=prices.number("peer", 0.0),
                zone_fee=family.numbers("toll"),
            ),
            rules=i.Rules(
                answer_slack=rules.number("answer_slack", 0),
                drain_grace=rules.number("stop_sending_within", 0),
                ask_within=rules.number("must_ask_in", 0),
                cold_from=rules.number("cold_from", 1.0),
                ramp_time=rules.number("ramp_time", 0),
                tip_multiple=rules.number("tip_multiple", 1.0),
                fall=rules.number("fall", 1_000_000),
                key_quiet=rules.number("key_quiet", 0),
            ),
        )
    )


def _class_from(item: Place) -> i.MessageClass:
    deadline = item.number("hard_limit", least=1)
    return i.MessageClass(
        effect=i.Effect(item.text("effect", among=[effect.value for effect in i.Effect])),
        aim=item.number("on_time", least=1, most=deadline),
        deadline=deadline,
        worth=item.number("importance", 1.0),
        late_worth=item.number("late_worth", 0.0),
        group=item.text("group", "all"),
        window=item.number("window", 0),
        in_order=item.flag("by_arrival"),
        streamed=item.flag("streamed"),
    )
