"""Judges a story by the rules of the protocol, from what clients were told, what endpoints got and what notices said.

It shares no code with the relay. Each finding has the rule, the time, the ids, and what was seen; `Report.text` adds
the whole stories of the ids. All times are those at which the party outside the relay saw it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from fleet.story import Event, Story

SLACK_S = 0.05  # every time limit is so much longer
END_S = 0.3  # from a message's deadline to its end
STALL_AFTER_S = 0.2  # what waited for a stall of the machine to end comes within so long of it
AFTER_RESTART_S = 1.5  # from ready again to the end of what was overdue
WAIT_GRACE_S = 0.1  # calls on their way when a wait is told
BUCKET_S = 0.1
FALL_S = 2.0  # the span over which calls push a cold destination over
NEVER_RAN = (429, 503, 504, 410)


@dataclass(frozen=True, slots=True)
class Class:
    """`effect`: safe, keyed or unsafe; `window_s` for keyed ones."""

    effect: str
    window_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Finding:
    rule: str
    at: float
    ids: tuple[str, ...]
    seen: str


@dataclass
class Report:
    """What the auditor found, and what it counted; `calls` and `above` by destination and tenth of a second."""

    seed: int
    findings: list[Finding] = field(default_factory=list)
    delivered: int = 0
    ended: int = 0
    taken: int = 0
    on_time: int = 0
    calls: dict[int, Counter[int]] = field(default_factory=dict)
    above: int = 0  # calls refused above a limit
    story: Story = field(default_factory=Story)

    def peak(self, since: float, until: float, *kinds: str, span_s: float = BUCKET_S, **facts: object) -> int:
        """The most events of some kinds, with these facts, that any span of such a length in the time has."""
        times = [
            event.at
            for event in self.story.of(*kinds)
            if since <= event.at <= until and all(event.facts.get(name) == value for name, value in facts.items())
        ]
        first, most = 0, 0
        for n, at in enumerate(times):
            while times[first] <= at - span_s:
                first += 1
            most = max(most, n + 1 - first)
        return most

    def stampede(self, since: float, until: float, limits: dict[int, float], relays: int) -> None:
        """Relays came back at `since`: what all of them do together in any second stays within each destination's
        limit, but for a burst of 0.3 s and a call of each; and nobody opens connections or asks the list in a crowd."""
        for dest, limit in limits.items():
            most = self.peak(since, until, "call", span_s=1.0, dest=dest)
            if most > 1.3 * limit + relays + 1:
                self.findings.append(
                    Finding(
                        "stampede", since, (), f"{most} calls in a second at destination {dest}, whose limit is {limit}"
                    )
                )
            opened = self.peak(since, until, "connected", dest=dest)
            if opened > relays + 0.4 * limit:
                self.findings.append(Finding("stampede", since, (), f"{opened} connections in 100 ms at {dest}"))
        if (asked := self.peak(since, until, "asked")) > 2 * relays:
            self.findings.append(Finding("stampede", since, (), f"{asked} questions to discovery in 100 ms"))

    def rules(self) -> set[str]:
        return {finding.rule for finding in self.findings}

    def text(self, most: int = 5) -> str:
        lines = [
            f"seed {self.seed}: {len(self.findings)} findings, {self.taken} taken, {self.delivered} delivered, "
            f"{self.ended} ended by notice"
        ]
        for found in self.findings[:most]:
            lines += [
                f"[{found.rule}] {found.at:.3f} s {' '.join(found.ids)}: {found.seen}",
                self.story.about(set(found.ids)),
            ]
        return "\n".join(lines)


class Auditor:
    """`classes` by name; `drain_s`: after the list told a relay that an endpoint drains, no call of it begins there."""

    def __init__(self, classes: dict[str, Class], drain_s: float = 0.25, taken_over_s: float | None = None) -> None:
        self._classes, self._drain_s, self._taken_over_s = classes, drain_s, taken_over_s
        self._stalls: list[tuple[float, float]] = []

    def _stalled(self, since: float, until: float) -> float:
        """For how long the machine, or the process of all parties, stood still in a span, which nobody can be blamed
        for: the rig looks at its own clock all the time."""
        return sum(lasted for at, lasted in self._stalls if since <= at <= until + lasted + STALL_AFTER_S)

    def judge(self, story: Story) -> Report:
        report = Report(story.seed, story=story)
        self._stalls = [(event.at, event.lasted) for event in story.of("stall")]
        handed = {event.id: event for event in story.of("handed")}
        taken = {event.id: event for event in story.of("client") if event.status in (200, 202)}
        calls, answers = story.by_id("call"), {event.call: event for event in story.of("answer", "unanswered")}
        notices = story.by_id("notice")
        self._ends(story, report, handed, taken, calls, answers, notices)
        for wire_id, made in calls.items():
            self._one_message(report, handed.get(wire_id), wire_id, made, answers, wire_id in taken)
        self._drains(story, report)
        self._waits(story, report)
        self._stopped(story, report)
        self._falls(story, report)
        report.calls = defaultdict(Counter)
        for event in story.of("call"):
            report.calls[event.dest][int(event.at / BUCKET_S)] += 1
        report.above = sum(event.status in (429, 503) for event in story.of("answer"))
        report.findings.sort(key=lambda finding: finding.at)
        return report

    def _ends(
        self,
        story: Story,
        report: Report,
        handed: dict[str, Event],
        taken: dict[str, Event],
        calls: dict[str, list[Event]],
        answers: dict[int, Event],
        notices: dict[str, list[Event]],
    ) -> None:
        """Each message that a client was told is taken on has one end, in time."""
        ready: dict[str, list[float]] = defaultdict(list)
        for event in story.of("ready"):
            ready[event.relay].append(event.at)
        gone: dict[str, list[Event]] = defaultdict(list)  # relays that were away, and folders that were lost
        for event in story.of("fault"):
            if "relay" in event.facts:
                gone[event.relay].append(event)
        for wire_id, told in taken.items():
            report.taken += 1
            deadline = handed[wire_id].at + handed[wire_id].left_s
            good = [
                answers[call.call]
                for call in calls.get(wire_id, ())
                if call.call in answers and answers[call.call].facts.get("status") == 200
            ]
            ends = notices.get(wire_id, [])
            due = deadline + END_S + SLACK_S
            due += self._stalled(told.at, due)
            away = [event for event in gone[told.relay] if event.at < due]
            if self._taken_over_s is not None:
                due = max([due, *(event.at + self._taken_over_s + SLACK_S for event in away)])
            elif any(
                event.what in ("lost", "left")
                for event in away
                if event.at >= self._written(handed[wire_id], told, away)
            ):
                continue  # its folder is gone, or its relay was not started again before the end
            if away:
                heirs = [told.relay, *(event.to for event in away if event.what == "handed on")]
                due = max([due, *(at + AFTER_RESTART_S + SLACK_S for name in heirs for at in ready[name])])
            if good:
                report.delivered += 1
                report.on_time += good[0].at <= handed[wire_id].at + handed[wire_id].aim_s
            elif ends:
                report.ended += 1
            if not good and not ends and due < story.now_at_end():
                report.findings.append(Finding("lost", due, (wire_id,), "taken on, and neither delivered nor ended"))
            elif not good and ends and min(event.at for event in ends) > due:
                report.findings.append(Finding("late end", ends[0].at, (wire_id,), f"due at {due:.3f} s"))
            outcomes = {event.outcome for event in ends}
            if len(outcomes) > 1:
                report.findings.append(Finding("two ends", ends[-1].at, (wire_id,), " and ".join(sorted(outcomes))))
            if good and "handed_back" in outcomes and self._classes[handed[wire_id].cls].effect == "unsafe":
                report.findings.append(Finding("two ends", ends[-1].at, (wire_id,), "delivered, and handed back"))

    @staticmethod
    def _written(handed: Event, told: Event, away: list[Event]) -> float:
        """When a 202 was written, at the latest: what a client reads behind a kill of its relay came before that."""
        kills = [event.at for event in away if event.what == "SIGKILL" and handed.at <= event.at <= told.at]
        return min([told.at, *kills])

    def _one_message(
        self,
        report: Report,
        handed: Event | None,
        wire_id: str,
        made: list[Event],
        answers: dict[int, Event],
        taken: bool,
    ) -> None:
        """Two attempts are never out at once, and one that may have run is repeated only as its class allows."""
        if handed is None:
            report.findings.append(Finding("unknown", made[0].at, (wire_id,), "no client handed this in"))
            return
        cls = self._classes[handed.cls]
        first_ran: float | None = None
        for call in made:
            if call.dest != handed.dest:
                seen = f"handed in for {handed.dest}, called at an endpoint of {call.dest}"
                report.findings.append(Finding("wrong destination", call.at, (wire_id,), seen))
        for n, call in enumerate(made):
            for earlier in made[:n]:
                over = answers.get(earlier.call)
                if over is None or over.at > call.at + SLACK_S:  # the end of a connection is heard a little later
                    report.findings.append(
                        Finding("two out", call.at, (wire_id,), f"the call of {earlier.at:.3f} s is still out")
                    )
            if first_ran is not None and cls.effect == "unsafe":
                report.findings.append(Finding("repeat", call.at, (wire_id,), "it may have run, and may not again"))
            forgotten = (first_ran or 0.0) + cls.window_s + SLACK_S
            if (
                first_ran is not None
                and cls.effect == "keyed"
                and call.at > forgotten + self._stalled(forgotten, call.at)
            ):
                report.findings.append(
                    Finding("repeat", call.at, (wire_id,), f"its key of {first_ran:.3f} s is forgotten")
                )
            answer = answers.get(call.call)
            if first_ran is None and not (answer and answer.facts.get("status") in NEVER_RAN):
                first_ran = call.at

    def _drains(self, story: Story, report: Report) -> None:
        since: dict[tuple[str, str], float] = {}
        for event in story.of("told", "call", "life"):
            if event.kind == "life":
                since = {key: at for key, at in since.items() if key[0] != event.relay}
            elif event.kind == "told":
                ready = [key for key in since if key[0] == event.relay and key[1] not in event.draining]
                for key in ready:  # it is listed as ready again
                    del since[key]
                for name in event.draining:
                    since.setdefault((event.relay, name), event.at)
            elif (at := since.get((event.relay, event.endpoint))) and (
                event.at > at + self._drain_s + SLACK_S + self._stalled(at, event.at)
            ):
                report.findings.append(
                    Finding(
                        "drain",
                        event.at,
                        (event.id,),
                        f"{event.endpoint} drains since {at:.3f} s, and {event.relay} was told",
                    )
                )

    def _falls(self, story: Story, report: Report) -> None:
        """Each fall, and how many of its calls came from relays that had had a bad answer of the destination before."""
        for fall in story.of("fell"):
            since = fall.at - FALL_S
            calls = [call for call in story.of("call") if call.dest == fall.dest and since < call.at <= fall.at]
            answers = [answer for answer in story.of("answer") if answer.dest == fall.dest]
            told = {answer.relay for answer in answers if answer.at <= since and answer.status != 200}
            told |= {
                answer.relay for answer in story.of("unanswered") if answer.dest == fall.dest and answer.at <= since
            }
            share = sum(call.relay in told for call in calls) / max(1, len(calls))
            seen = f"destination {fall.dest} fell over: {len(calls)} calls in {FALL_S} s, {share:.2f} of them told"
            report.findings.append(Finding("fall-back", fall.at, (), seen))

    def _waits(self, story: Story, report: Report) -> None:
        until: dict[tuple[str, int], tuple[float, float]] = {}
        for event in story.of("answer", "call", "life"):
            if event.kind == "life":  # a restart ends a wait
                until = {key: span for key, span in until.items() if key[0] != event.relay}
            elif event.kind == "answer":
                if event.wait_ms:
                    until[event.relay, event.dest] = (event.at, event.at + event.wait_ms / 1e3)
            elif span := until.get((event.relay, event.dest)):
                told = span[0] + WAIT_GRACE_S + SLACK_S
                if told + self._stalled(span[0], event.at) < event.at < span[1] - SLACK_S:
                    report.findings.append(
                        Finding(
                            "wait",
                            event.at,
                            (event.id,),
                            f"{event.relay} was told at {span[0]:.3f} s to wait until {span[1]:.3f} s",
                        )
                    )

    def _stopped(self, story: Story, report: Report) -> None:
        """Once a relay was replaced, nothing comes from its earlier life: told by the links, which are a life's own."""
        replaced: dict[str, float] = {}
        for event in story.of("replaced", "call", "client", "notice"):
            if event.kind == "replaced":
                replaced[event.relay] = event.at
            elif (at := replaced.get(event.facts.get("relay", ""))) and event.facts.get("status", 202) in (200, 202):
                report.findings.append(
                    Finding("earlier life", event.at, (event.id,), f"{event.relay} was replaced at {at:.3f} s")
                )
