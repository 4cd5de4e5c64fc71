"""What a courier tells its DecisionEngine and what that answers: settings, events, actions, outcomes.

All times are integers in microseconds of the courier's own clock, durations included.
The types carry facts only; every decision is made in `decisions.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """What a repeated attempt at a message would do at its destination."""

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
    """Why a message that is held is not out."""

    SLOT = "slot"  # all of this courier's slots are taken, or a message of a higher rank goes first
    RETRY_AFTER = "told_wait"  # the destination told to wait
    REST = "rest"  # calls there are rare, and failed or were refused
    PACE = "pace"  # calls are spaced below the destination's limit
    TRIAL = "trial"  # the route is sick: only spaced trials go there
    SILENT = "silent"  # nothing is answered there
    RAMP = "ramp"  # the destination is cold
    ORDER = "order"  # another message of its key goes first, or the key rests
    RISK = "risk"  # no open endpoint suits a repeat, or a message that a failure would end
    NO_ENDPOINT = "no_endpoint"


@dataclass(frozen=True, slots=True)
class Held:
    """The answer to why a message is held; `until` is when that can end, 0 where only an event tells."""

    why: Hold
    until: int = 0


class Phase(Enum):
    """What the list says of an endpoint; nothing of its health."""

    READY = 1
    GONE = 2
    DRAINING = 3


class ListKind(Enum):
    """How a list event relates to the list that the courier already has."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of messages, as the settings tell it."""

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
        """Whether its client may hand in a message of this class again, whatever became of it."""
        return self.effect is Effect.SAFE or self.effect is Effect.KEYED and self.group == "all"


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination: messages in one call at most, and whether its endpoints are routes apart."""

    batch: int = 1
    routes_apart: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer's share: requests a second over all couriers that are worth their full worth."""

    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the result, for each unit."""

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
    """One value of a report that an answer or a probe may bring: its name, and its meaning in plain words."""

    name: str
    meaning: str = ""


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the six rules."""

    answer_slack: int = 0
    drain_grace: int = 0
    ask_within: int = 0
    cold_from: float = 1.0
    ramp_time: int = 0
    tip_multiple: float = 1.0
    fall: int = 1_000_000
    key_quiet: int = 0


PROTOCOLS = ("http", "grpc")  # by their numbers


@dataclass(frozen=True, slots=True)
class Listed:
    """One line of the list of endpoints."""

    endpoint: int
    dest: int
    phase: Phase = Phase.READY
    kind: int = 0
    zone: int = 0
    weight: float = 1.0
    since: int = 0
    speaks: int = 1  # a bit for each protocol that it takes calls in, the lowest for HTTP/1.1


FEW = 4  # couriers


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a courier is told at its start."""

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
                raise ValueError(f"classes[{index}].aim must lie above 0 and not past the deadline")
            if item.worth < 0:
                raise ValueError(f"classes[{index}].worth must not be negative")
        for index, kind in enumerate(self.kinds):
            if kind.batch < 1:
                raise ValueError(f"kinds[{index}].batch must be at least 1, not {kind.batch!r}")
        for name in (f.name for f in fields(Rules)):
            if getattr(self.rules, name) < 0:
                raise ValueError(f"rules.{name} must not be negative")

    def first_rest(self, pause: int) -> float:
        """The first rest after a refusal, of couriers of whom a few rest for `pause`. Where no answer tells its limit
        and they are many, all that are refused come again no more often together than `FEW` of them: refused calls may
        use the limit up."""
        return pause * (1.0 if self.reports else max(1.0, self.couriers / FEW))

    def kind(self, entry: Listed) -> Kind:
        """The kind of a listed endpoint; one that the settings do not tell is an ordinary one."""
        return self.kinds[entry.kind] if entry.kind < len(self.kinds) else Kind()


# Events: what the courier has seen.


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An attempt that an earlier life of this courier made at a message which it took on."""

    sent_at: int
    zone: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Arrived:
    """A new message, the DecisionEngine's to end exactly once; `earlier` is what was tried at it before: by a life that
    ended, or for a client whose call broke and who comes again. `restored`: an earlier life took it on."""

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
    """The one outcome of an attempt. `ended`: the message is over and no answer is owed. `stale`: it broke
    before any answer on a connection kept from an earlier call, which says nothing of the endpoint."""

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


@dataclass(frozen=True, slots=True)
class Flowing:
    """A streamed answer has started."""

    message: int
    attempt: int
    endpoint: int
    took: int


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody wants the message any more; no answer is owed."""

    message: int


@dataclass(frozen=True, slots=True)
class ListTold:
    """The list of endpoints, a change of it, or word that it could not be had."""

    kind: ListKind
    version: int = 0
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class Rang:
    """A timer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """What one probe found."""

    endpoint: int
    outcome: Outcome
    took: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """Bytes from another courier."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RestoredRoute:
    """What an earlier life knew of a route; `endpoint` names it where endpoints are routes apart, else None. `share`:
    limit, times and messages a second, as `core/shared_limit.py` counts them. `cold_at`, `wait_until`: on this
    clock. `wait_only`: all that is known of it is that it told to wait."""

    dest: int
    endpoint: int | None = None
    share: tuple[float, float, float] = (0.0, 1.0, 0.0)
    failing: bool = False
    cold_at: int = -1
    wait_until: int = 0
    wait_only: bool = False


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What an earlier life of this courier knew, told before anything else but the list: the first fresh word replaces
    it. `on_time`: by class, how many of how many endings were in time."""

    routes: tuple[RestoredRoute, ...] = ()
    on_time: tuple[tuple[int, int], ...] = ()


Event = Arrived | Settled | Flowing | Withdrawn | ListTold | Rang | Probed | PeerSaid | RestoredState

# Actions: what the courier is to do, in this order.


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with the message. `timeout` 0: until the client quits.
    `not_after`: where a connection comes up later than this, the call is moot; 0: no such limit. `attempt`: which
    attempt at the message it is; exactly one `Settled` has to answer it."""

    message: int
    endpoint: int
    timeout: int = 0
    not_after: int = 0
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: undelivered, and it is harmless to hand the message in again."""

    message: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up, with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Quit waiting on one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Rang` after this time."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list, or end that."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Shut the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a check to an endpoint, where that is allowed."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to another courier, where that is allowed; `peer` None is every one."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Watch | Fetch | CloseIdle | Probe | Tell | Log
