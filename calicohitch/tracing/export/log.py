"""Export to the log: one line a trace on standard error, at a bounded rate."""

from __future__ import annotations

from collections import defaultdict

import anyio
from loguru import logger

from ...clock import Clock
from ..spans import CLIENT, Span
from .queue import ExportQueue, LineRate


def summary(spans: list[Span]) -> str:
    """A trace in one line: where its time went, by kinds of hold, by attempts, in milliseconds."""
    root, *children = spans
    told = root.attributes
    spent: dict[str, float] = defaultdict(float)
    attempts = []
    for span in children:
        took = (span.end_ns - span.start_ns) / 1e6
        if span.kind == CLIENT:
            outcome = (
                "cut"
                if span.attributes.get("calicohitch.cut")
                else span.attributes.get("calicohitch.outcome", "unknown")
            )
            attempts.append(f"{outcome}:{took:.0f}")
        else:
            spent[str(span.attributes.get("calicohitch.hold.reason", span.name))] += took
    held = ",".join(f"{why}:{took:.0f}" for why, took in spent.items() if took >= 0.5)
    return (
        f"trace={root.trace_id.hex()} id={told['messaging.message.id']} class={told['calicohitch.class']} "
        f"dest={told['messaging.destination.name']} cause={told['calicohitch.cause']} "
        f"end={told['calicohitch.end']} ms={(root.end_ns - root.start_ns) / 1e6:.0f} "
        f"held={held or '-'} attempts={','.join(attempts) or '-'} "
        f"stands_for={told['calicohitch.adjusted_count']:.6g}"
    )


class LogExporter:
    """Lines are written at once: there is nothing to wait for, and nothing to lose at a stop."""

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._clock, self._rate = clock, LineRate(per_s)
        self.queue = ExportQueue(0)
        self.stopping = False

    def offer(self, spans: list[Span]) -> None:
        if not self._rate.allows(self._clock.now()):
            self.queue.counts.dropped_full += 1
            return
        left_out, self._rate.left_out = self._rate.left_out, 0
        root = spans[0]
        line = logger.bind(
            event="trace", trace_id=root.trace_id.hex(), message_id=str(root.attributes["messaging.message.id"])
        )
        line.info("{}{}", summary(spans), f" lines_left_out={left_out}" if left_out else "")
        self.queue.counts.sent += 1

    async def run(self) -> None:
        await anyio.sleep_forever()
