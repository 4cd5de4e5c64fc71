"""Answers about traces that were read: whose hands a message's time went through, and where it was lost. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .reading import Message, Seen

# In whose hands the time of each kind of span is. A partner's told wait, its limit's pace, its ramp after an
# outage are its own doing; a slot is the relay's, and so is what the relay waits for by its own rules.
_PARTNER = frozenset({"told_wait", "rest", "pace", "trial", "silent", "ramp"})
HANDS = ("partner", "relay", "list", "notice")


@dataclass(frozen=True, slots=True)
class Share:
    """A stretch of a message's life that one thing took; times in nanoseconds."""

    what: str
    hands: str
    start: int
    end: int

    @property
    def ms(self) -> float:
        return (self.end - self.start) / 1e6


def what_of(span: Seen) -> tuple[str, str]:
    """What a child span stands for, and in whose hands that is."""
    if span.is_attempt:
        cut = span.attribute("calicohitch.cut")
        outcome = "cut by a death" if cut else str(span.attribute("calicohitch.outcome", "unknown"))
        return f"call: {outcome}", "relay" if cut else "partner"
    reason = str(span.attribute("calicohitch.hold.reason"))
    if reason:
        hands = "partner" if reason in _PARTNER else "list" if reason == "no_endpoint" else "relay"
        return f"held: {reason}", hands
    return span.name, "relay"


def shares(message: Message) -> list[Share]:
    """The whole life of a message, each moment in one share: the child that began last owns it; a moment in no
    child is the relay's own, or after the decided end the notice's."""
    root = message.root
    decided = next((at for at, name in root.events if name == "end decided"), root.end)
    edges = sorted(
        {
            root.start,
            root.end,
            min(max(decided, root.start), root.end),
            *(min(max(at, root.start), root.end) for span in message.children for at in (span.start, span.end)),
        }
    )
    made: list[Share] = []
    for low, high in zip(edges, edges[1:], strict=False):
        owners = [span for span in message.children if span.start <= low and span.end >= high]
        if owners:
            what, hands = what_of(max(owners, key=lambda span: (span.is_attempt, span.start)))
        else:
            what, hands = ("notice", "notice") if low >= decided else ("own work", "relay")
        if made and made[-1].what == what and made[-1].end == low:
            made[-1] = Share(what, hands, made[-1].start, high)
        else:
            made.append(Share(what, hands, low, high))
    return made


def by_hands(message: Message) -> dict[str, float]:
    """Milliseconds by whose hands they were in."""
    spent = dict.fromkeys(HANDS, 0.0)
    for share in shares(message):
        spent[share.hands] += share.ms
    return spent


def find(messages: Sequence[Message], wanted: str) -> list[Message]:
    """The whole story of a message that is named by its id, or by the start of its trace's or story's id: every
    part of it, at all relays and in all lives, also under the traces that are linked."""
    wanted_hex = wanted.lower()
    hits = [
        m
        for m in messages
        if str(m.root.attribute("messaging.message.id")) == wanted
        or len(wanted_hex) >= 6
        and (m.root.trace_id.startswith(wanted_hex) or m.story.startswith(wanted_hex))
    ]
    traces = {m.root.trace_id for m in hits} | {trace for m in hits for trace in m.root.links}
    stories = {m.story for m in hits if m.story}
    return [m for m in messages if m.root.trace_id in traces or m.story in stories]


@dataclass(frozen=True, slots=True)
class Filter:
    """Which messages a question is about; what is empty asks for nothing."""

    class_name: str = ""
    dest: str = ""
    cause: str = ""
    late: bool = False
    end: str = ""

    def matches(self, message: Message) -> bool:
        told = message.root.attribute
        return (
            (not self.class_name or told("calicohitch.class") == self.class_name)
            and (not self.dest or told("messaging.destination.name") == self.dest)
            and (not self.cause or told("calicohitch.cause") == self.cause)
            and (not self.end or told("calicohitch.end") == self.end)
            and (not self.late or bool(told("calicohitch.late", False)))
        )


@dataclass(slots=True)
class Lost:
    """One row of the table of causes, weighted by what each trace stands for."""

    what: str
    hands: str
    ms: float = 0.0
    messages: float = 0.0
    worst_ms: float = 0.0
    worst_id: str = ""


def lost_time(messages: Iterable[Message]) -> list[Lost]:
    """What took the time of these messages, the largest share first."""
    rows: dict[str, Lost] = {}
    for message in messages:
        spent: dict[tuple[str, str], float] = defaultdict(float)
        for share in shares(message):
            spent[share.what, share.hands] += share.ms
        for (what, hands), took in spent.items():
            row = rows.setdefault(what, Lost(what, hands))
            row.ms += took * message.weight
            row.messages += message.weight
            if took > row.worst_ms:
                row.worst_ms, row.worst_id = took, str(message.root.attribute("messaging.message.id"))
    return sorted(rows.values(), key=lambda row: -row.ms)
