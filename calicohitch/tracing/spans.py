"""Spans of one message, made of its facts. No I/O and no clock.

Attribute names are those of OpenTelemetry's semantic conventions where there is one, `calicohitch.*` otherwise.
Times are Unix nanoseconds. A clock that stepped back between two lives does not show: a span never ends before
it starts, and no child starts before its parent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from opentelemetry.semconv.attributes import error_attributes, http_attributes, network_attributes, server_attributes

from ..interface import Hold, Outcome
from .context import derived
from .facts import AttemptFacts, End, Facts, HoldFacts, Timeline
from .sampling import Cause

MESSAGE_ID = "messaging.message.id"
BODY_SIZE = "messaging.message.body.size"
DESTINATION = "messaging.destination.name"
_STEP, _ALL = 0x9E3779B97F4A7C15, (1 << 64) - 1  # odd, so that no two attempts of a message share an id
_SLOW_JOURNAL_MS = 1.0  # a write that took less is not told as a span of its own

INTERNAL, SERVER, CLIENT = 1, 2, 3  # kinds, by OTLP's numbers
UNSET, OK, ERROR = 0, 1, 2  # status codes, by OTLP's numbers

Value = str | int | float | bool


@dataclass(slots=True)
class Span:
    """One span; ids are raw bytes, `parent_id` empty at a root. `links` are (trace id, span id, reason)."""

    trace_id: bytes
    span_id: bytes
    parent_id: bytes
    name: str
    kind: int
    start_ns: int
    end_ns: int
    attributes: dict[str, Value] = field(default_factory=dict)
    status: int = UNSET
    message: str = ""
    state: str = ""
    flags: int = 0
    links: tuple[tuple[bytes, bytes, str], ...] = ()
    events: tuple[tuple[int, str], ...] = ()


def attempt_span_id(root: bytes, attempt: int) -> bytes:
    """Derived, not drawn: a later life knows it from the journal's root span and the attempt's number, and the
    endpoint was told it before the first byte of the call."""
    made = (int.from_bytes(root, "big") + (attempt + 1) * _STEP) & _ALL
    return (made or 1).to_bytes(8, "big")


def cost(facts: Facts) -> tuple[int, int]:
    """Spans and bytes that a message's trace will need, roughly and rather too much."""
    spans = 3 + len(facts.attempts) + 2 * len(facts.holds)
    return spans, 420 * spans + len(facts.id) + len(facts.context.state)


class _Maker:
    def __init__(self, facts: Facts) -> None:
        self.facts = facts
        self.root_id = facts.context.span_id
        self.low = max(0, round(facts.taken_at * 1e6))
        ends = [
            facts.ended_at,
            facts.decided_at,
            facts.taken_at,
            facts.recovered_at,
            *(a.ended_at for a in facts.attempts),
            *(h.until for h in facts.holds),
        ]
        self.high = max(self.low, *(round(at * 1e6) for at in ends))

    def span(self, what: str, name: str, kind: int, since: float, until: float) -> Span:
        start = min(max(round(since * 1e6), self.low), self.high)
        end = min(max(round(until * 1e6), start), self.high)
        return Span(
            self.facts.context.trace_id,
            derived(self.root_id, what, 8),
            self.root_id,
            name,
            kind,
            start,
            end,
            flags=self.facts.context.flags,
        )


def spans_of(facts: Facts, timeline: Timeline | None, cause: Cause, adjusted: float) -> list[Span]:
    """The root span first, then holds, attempts, journal and recovery by their start."""
    make = _Maker(facts)
    children = [*_holds(facts, timeline, make), *_attempts(facts, make), *_work(facts, make)]
    children.sort(key=lambda span: (span.start_ns, span.end_ns))
    return [_root(facts, cause, adjusted, make), *children]


def _root(facts: Facts, cause: Cause, adjusted: float, make: _Maker) -> Span:
    links: tuple[tuple[bytes, bytes, str], ...] = ()
    if facts.again and facts.story and facts.story != facts.context.trace_id:
        # The client began a new trace; what it handed in before is found by the story that both name.
        links = ((facts.story, derived(facts.story, "story", 8), "handed in again"),)
    root = Span(
        facts.context.trace_id,
        make.root_id,
        facts.parent,
        f"relay {facts.class_name}",
        SERVER,
        make.low,
        make.high,
        state=facts.context.state,
        flags=facts.context.flags,
        links=links,
    )
    root.attributes = {
        MESSAGE_ID: facts.id,
        DESTINATION: str(facts.dest),
        BODY_SIZE: facts.body_size,
        "calicohitch.class": facts.class_name,
        "calicohitch.end": facts.end.name.lower() if facts.end is not None else "open",
        "calicohitch.cause": cause.value,
        "calicohitch.adjusted_count": adjusted,
        "calicohitch.attempts": len(facts.attempts),
        "calicohitch.late": facts.late,
        "calicohitch.aim_ms": round(max(0.0, facts.aim_at - facts.taken_at), 3),
        "calicohitch.deadline_ms": round(max(0.0, facts.deadline - facts.taken_at), 3),
    }
    if facts.story:
        root.attributes["calicohitch.story"] = facts.story.hex()
    if facts.refusal:
        root.attributes["calicohitch.refusal"] = facts.refusal
    if facts.retry_in:
        root.attributes["calicohitch.retry_in_ms"] = facts.retry_in
    if facts.again:
        root.attributes["calicohitch.handed_in_again"] = True
    if facts.recovered_at:
        root.attributes["calicohitch.recovered"] = True
    if facts.holds_left_out:
        root.attributes["calicohitch.holds_left_out"] = facts.holds_left_out
    if facts.end in (End.FAILED, End.REFUSED, End.TURNED_AWAY):
        root.status, root.message = ERROR, facts.refusal or facts.end.name.lower().replace("_", " ")
        root.attributes[error_attributes.ERROR_TYPE] = facts.end.name.lower()
    elif facts.end is End.DELIVERED:
        root.status = OK
    if facts.decided_at:
        at = min(max(round(facts.decided_at * 1e6), make.low), make.high)
        root.events = ((at, "end decided"),)
    return root


def _holds(facts: Facts, timeline: Timeline | None, make: _Maker) -> Iterator[Span]:
    for n, hold in enumerate(facts.holds):
        for k, (since, until, why) in enumerate(_stretches(hold, timeline, make)):
            told = why is Hold.RETRY_AFTER
            name = f"wait told by {facts.dest}" if told else f"held: {why.value}"
            span = make.span(f"hold {n}.{k} {facts.recovered_at}", name, INTERNAL, since, until)
            span.attributes = {"calicohitch.hold.reason": why.value, DESTINATION: str(facts.dest)}
            yield span


def _stretches(hold: HoldFacts, timeline: Timeline | None, make: _Maker) -> list[tuple[float, float, Hold]]:
    until = hold.until
    if until <= hold.since:
        return []
    if hold.own is not None:
        return [(hold.since, until, hold.own)]
    found = timeline.between(hold.since, until) if timeline else []
    if not found:
        return [(hold.since, until, Hold.SLOT)] if until - hold.since >= 1.0 else []
    return found


def _attempts(facts: Facts, make: _Maker) -> Iterator[Span]:
    for n, attempt in enumerate(facts.attempts):
        span = make.span("", f"attempt {n + 1}", CLIENT, attempt.started_at, _end_of(facts, attempt, make))
        span.span_id = attempt_span_id(make.root_id, n)
        told = span.attributes
        told[DESTINATION] = str(facts.dest)
        told[http_attributes.HTTP_REQUEST_METHOD] = "POST"
        if n:
            told[http_attributes.HTTP_REQUEST_RESEND_COUNT] = n
        if attempt.endpoint:
            told["calicohitch.endpoint"] = attempt.endpoint
        if attempt.address:
            told[server_attributes.SERVER_ADDRESS] = attempt.address.host
            told[server_attributes.SERVER_PORT] = attempt.address.port
        _tell_marks(attempt, span)
        if attempt.outcome is not None:
            told["calicohitch.outcome"] = attempt.outcome.name.lower()
            if attempt.outcome is not Outcome.OK:
                span.status, span.message = ERROR, attempt.outcome.name.lower().replace("_", " ")
                told[error_attributes.ERROR_TYPE] = str(attempt.status or attempt.outcome.name.lower())
        if attempt.wait:
            told["calicohitch.told_wait_ms"] = attempt.wait
        if attempt.earlier_incarnation:
            told["calicohitch.earlier_life"] = True
        if attempt.cut:
            told["calicohitch.cut"] = True
            told[error_attributes.ERROR_TYPE] = "cut"
            span.status, span.message = ERROR, "the relay died before the outcome was known"
        yield span


def _tell_marks(attempt: AttemptFacts, span: Span) -> None:
    if attempt.earlier_incarnation:
        return  # that life kept them to itself
    span.attributes["calicohitch.connection"] = "warm" if attempt.warm else "new"
    span.attributes[network_attributes.NETWORK_PROTOCOL_NAME] = "http"
    if attempt.status:
        span.attributes[http_attributes.HTTP_RESPONSE_STATUS_CODE] = attempt.status
    peer_reported = (
        ("connected", attempt.connected_at),
        ("request sent", attempt.sent_at),
        ("answer", attempt.answered_at),
    )
    span.events = tuple(
        (min(max(round(at * 1e6), span.start_ns), span.end_ns), name) for name, at in peer_reported if at
    )


def _end_of(facts: Facts, attempt: AttemptFacts, make: _Maker) -> float:
    """An attempt that a death cut, or whose end an earlier life kept to itself, ends where the next begins to
    be known: at the next attempt, else when a later life took the message up."""
    if attempt.ended_at:
        return attempt.ended_at
    later = [a.started_at for a in facts.attempts if a.started_at > attempt.started_at]
    if attempt.earlier_incarnation:
        later.append(facts.recovered_at)
    return min((at for at in later if at), default=make.high / 1e6)


def _work(facts: Facts, make: _Maker) -> Iterator[Span]:
    if facts.journal_ms >= _SLOW_JOURNAL_MS:
        yield make.span("journal", "journal", INTERNAL, facts.taken_at, facts.taken_at + facts.journal_ms)
    if facts.recovered_at:
        before = [a.started_at for a in facts.attempts if a.earlier_incarnation]
        last = max([facts.taken_at, *before])
        span = make.span(f"recovery {facts.recovered_at}", "recovery", INTERNAL, last, facts.recovered_at)
        span.attributes["calicohitch.attempts_of_earlier_lives"] = len(before)
        yield span
