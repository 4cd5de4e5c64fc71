"""The interface between a relay and its `DecisionEngine`: settings, events, actions and outcomes.

All times and durations are integers in microseconds, by the relay's own clock. The types hold data only; every
decision is made in `decisions.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """The effect that a repeated attempt at a message would have at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How one attempt ended."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    FULL = 8
    MOOT = 9
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt took no effect."""
        return self in (Outcome.FULL, Outcome.MOOT, Outcome.CONNECT_FAILED)


class Hold(Enum):
    """Why a message is held and not sent."""

    SLOT = "slot"  # all slots of this relay are taken, or a message of a higher rank goes first
    RETRY_AFTER = "told_wait"  # the destination answered with a retry-after
    REST = "rest"  # backoff: calls there are rare, and failed or were refused
    PACE = "pace"  # pacing: calls are spaced to stay below the destination's limit
    TRIAL = "trial"  # the route is unhealthy: only spaced trials go there
    SILENT = "silent"  # none of the recent calls was answered
    RAMP = "ramp"  # slow start: the route has recovered from an outage
    ORDER = "order"  # another message of its key goes first, or a call of the key may still run
    RISK = "risk"  # no usable endpoint is suitable for a retry, or for a message that a failure would end
    NO_ENDPOINT = "no_endpoint"


@dataclass(frozen=True, slots=True)
class Held:
    """The reason why a message is held; `until` is when that can end, 0 where only an event can end it."""

    why: Hold
    until: int = 0


class Phase(Enum):
    """The phase of an endpoint in the endpoint list, which is independent of its health."""

    READY = 1
    GONE = 2
    DRAINING = 3


class ListKind(Enum):
    """The kind of a discovery update: a change, the full list, a cached list, or a failed call."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of messages, as defined in the settings."""

    effect: Effect
    aim: int
    deadline: int
    worth: float = 1.0
    late_worth: float = 0.0
    group: str = "all"
    window: int = 0
    in_order: bool = False
    streamed: bool = False

    @property
    def harmless_again(self) -> bool:
        """Whether a client may submit a message of this class again, whatever its outcome was."""
        return self.effect is Effect.SAFE or self.effect is Effect.KEYED and self.group == "all"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination: the maximum of messages in one call, and whether each endpoint is a separate route."""

    batch: int = 1
    routes_apart: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's quota over all relays. Messages above it count for less."""

    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that the simulator subtracts from the score, for each unit."""

    cross_zone: float = 0.0
    handshake: float = 0.0
    waste: float = 0.0
    refused: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    zone_fee: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Report:
    """One value of the load report in an answer or a probe: its name and a description of it."""

    name: str
    meaning: str = ""


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the delivery rules."""

    answer_slack: int = 0
    drain_grace: int = 0
    ask_within: int = 0
    cold_from: float = 1.0
    ramp_time: int = 0
    tip_multiple: float = 1.0
    fall: int = 1_000_000
    key_quiet: int = 0


PROTOCOLS = ("http", "grpc")  # index: the bit in `Listed.speaks`, the number in `Arrived.protocol`


@dataclass(frozen=True, slots=True)
class Listed:
    """One entry of the endpoint list."""

    endpoint: int
    dest: int
    phase: Phase = Phase.READY
    kind: int = 0
    zone: int = 0
    weight: float = 1.0
    since: int = 0
    speaks: int = 1  # one bit for each protocol that it accepts, the lowest for HTTP/1.1


FEW_RELAYS = 4  # so many may retry at the usual backoff where no answer reports a limit


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a relay gets at its start."""

    classes: tuple[MessageClass, ...]
    slots: int
    open_cap: int
    max_attempts: int
    kinds: tuple[Kind, ...] = (Kind(),)
    tenants: tuple[Tenant, ...] = ()
    couriers: int = 1
    number: int = 0
    tick: int = 1_000
    zone: int = 0
    weights: str = "none"
    asks_for_list: bool = False
    late_by_half: bool = False
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    retries_marked: bool = False
    reports: tuple[Report, ...] = ()
    reports_in_answers: bool = False
    idle_time: int = 0
    streams: int = 1
    retry_after: bool = True
    max_retry_after: int = 0
    connect_timeout: int = 1_000_000
    over_share_worth: float = 1.0
    prices: Prices = field(default_factory=Prices)
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        for name in ("slots", "open_cap", "max_attempts", "couriers", "tick"):
            if not isinstance(getattr(self, name), int) or getattr(self, name) < 1:
                raise ValueError(f"{name} must be a whole number of at least 1, not {getattr(self, name)!r}")
        if not self.classes:
            raise ValueError("classes must name at least one class of messages")
        if self.weights not in ("none", "nominal", "rough"):
            raise ValueError(f"weights must be none, nominal or rough, not {self.weights!r}")
        for index, item in enumerate(self.classes):
            if not 0 < item.aim <= item.deadline:
                raise ValueError(f"classes[{index}].aim must be above 0 and at most the deadline")
            if item.worth < 0:
                raise ValueError(f"classes[{index}].worth must not be negative")
        for index, kind in enumerate(self.kinds):
            if kind.batch < 1:
                raise ValueError(f"kinds[{index}].batch must be at least 1, not {kind.batch!r}")
        for name in (f.name for f in fields(Rules)):
            if getattr(self.rules, name) < 0:
                raise ValueError(f"rules.{name} must not be negative")

    def first_backoff(self, pause: int) -> float:
        """The first backoff after a refusal, where that of a few relays is `pause`. Refused calls may use up a limit,
        so where answers do not report limits, many relays together retry no more often than `FEW_RELAYS` would."""
        return pause * (1.0 if self.reports else max(1.0, self.couriers / FEW_RELAYS))

    def kind(self, entry: Listed) -> Kind:
        """The kind of a listed endpoint; the default one if the settings do not define it."""
        return self.kinds[entry.kind] if entry.kind < len(self.kinds) else Kind()


# Events: what the relay has observed.


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An attempt by an earlier run of this relay at a message that it had accepted."""

    sent_at: int
    zone: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Arrived:
    """A new message, which the `DecisionEngine` has to end exactly once. `earlier`: the attempts before it arrived, by
    an earlier run, or for a client whose call broke and that submitted it again. `restored`: an earlier run accepted
    it."""

    message: int
    class_index: int
    dest: int
    time_left: int
    tenant: int = 0
    key: int = 0
    work: int = 0
    handed_in_again: bool = False
    from_dead_courier: bool = False
    earlier: tuple[EarlierAttempt, ...] = ()
    protocol: int = 0
    restored: bool = False


@dataclass(frozen=True, slots=True)
class Settled:
    """The only outcome of an attempt. `ended`: the message is finished and needs no final answer. `stale`: the attempt
    broke before any answer, on a connection kept alive from an earlier call, which is no sign of the endpoint's health.
    `indeterminate`: the answer may be that to another call, so the attempt may have run, whatever the outcome says."""

    message: int
    attempt: int
    endpoint: int
    outcome: Outcome
    took: int
    ended: bool = False
    wait: int = 0
    slots_taken: bool = False
    report: tuple[float, ...] = ()
    stale: bool = False
    indeterminate: bool = False


@dataclass(frozen=True, slots=True)
class Flowing:
    """A streamed answer has started."""

    message: int
    attempt: int
    endpoint: int
    took: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has withdrawn the message; it needs no final answer."""

    message: int


@dataclass(frozen=True, slots=True)
class ListTold:
    """A discovery update: the endpoint list, a change of it, or the failure of a call for it."""

    kind: ListKind
    version: int = 0
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class Rang:
    """A timer has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    endpoint: int
    outcome: Outcome
    took: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """Bytes from another relay."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Resumed:
    """The process goes on after it stood still, as other relays may do at the same moment."""


@dataclass(frozen=True, slots=True)
class RoutePacing:
    """What paced the calls of an earlier run to a route. `next_call_at`: when it would have allowed the next call.
    `bad_run`: failed or refused calls in a row, the first at `bad_since`. `fail_share`: share of the recent calls that
    failed, as of `failed_at`. `pace`: calls per second at `pace_cut_at`, 0 for none. `latency`: mean latency of served
    calls, 0 if unknown. Times are by this run's clock, 0 for never."""

    next_call_at: int = 0
    bad_run: int = 0
    bad_since: int = 0
    fail_share: float = 0.0
    failed_at: int = 0
    pace: float = 0.0
    pace_cut_at: int = 0
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class RestoredRoute:
    """The state of a route from an earlier run. `endpoint`: set where each endpoint is a separate route, else None.
    `share`: limit, factor and messages a second, as `core/shared_limit.py` keeps them. `cold_at`: when slow start
    began; `wait_until`: the end of a retry-after; both by this run's clock. `wait_only`: only the retry-after is
    known. `pacing`: None if unknown."""

    dest: int
    endpoint: int | None = None
    share: tuple[float, float, float] = (0.0, 1.0, 0.0)
    failing: bool = False
    cold_at: int = -1
    wait_until: int = 0
    wait_only: bool = False
    pacing: RoutePacing | None = None


@dataclass(frozen=True, slots=True)
class RestoredDestination:
    """What an earlier run knew of a destination as a whole. `arrival_gap`: the mean time between its messages for it,
    taken over `arrivals` of them. `refusals`, `failures`: refused and failed calls since one was accepted.
    `next_call_at`: when backoff would have allowed the next call; `served_at`: when a call was last accepted. Both by
    this run's clock, 0 for never."""

    dest: int
    arrival_gap: float = 0.0
    arrivals: int = 0
    refusals: int = 0
    failures: int = 0
    next_call_at: int = 0
    served_at: int = 0


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The state from an earlier run of this relay. It comes before all other events but the endpoint list, and newer
    observations replace it. `on_time`: for each class, how many of its recent messages were in time, and their number.
    `overload_doublings`: kinds of destinations, each with the doublings of its backoff after refused retries.
    """

    routes: tuple[RestoredRoute, ...] = ()
    on_time: tuple[tuple[int, int], ...] = ()
    destinations: tuple[RestoredDestination, ...] = ()
    overload_doublings: tuple[tuple[int, int], ...] = ()


Event = Arrived | Settled | Flowing | Withdrawn | ListTold | Rang | Probed | PeerSaid | RestoredState | Resumed

# Actions: what the relay has to do, in the order given.


@dataclass(frozen=True, slots=True)
class Send:
    """Calls an endpoint with the message. `timeout` 0: until the client leaves. `not_after`: if the connection is ready
    later than this, the call is not made and ends as `MOOT`; 0: no such limit. `attempt`: the number of the attempt
    at the message; exactly one `Settled` has to follow it."""

    message: int
    endpoint: int
    timeout: int = 0
    not_after: int = 0
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the message is undelivered, and it is harmless to submit it again."""

    message: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the message is given up and may have taken effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests a `Rang` event after `delay`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribes to discovery updates, or ends the subscription."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Requests the full endpoint list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Closes the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Sends a health probe to an endpoint, where `Settings.may_probe` allows it."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Sends bytes to another relay, where `Settings.may_tell` allows it; `peer` None: to all."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Watch | Fetch | CloseIdle | Probe | Tell | Log
