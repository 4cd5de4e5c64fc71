"""The log lines on what a start found damaged in the journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from ..journal import Journal

_MAX_LOGGED_DAMAGED_REGIONS = 20  # one log line each; the summary counts all


def log_damage(journal: Journal) -> None:
    """Log the first damaged regions of the journal by segment and offset, and how many messages are affected."""
    if not journal.damage and not journal.orphans:
        return
    for region in journal.damage[:_MAX_LOGGED_DAMAGED_REGIONS]:
        logger.bind(
            event="recovery.damage",
            segment=region.segment,
            offset=region.offset,
            length=region.length,
            mended=region.repaired,
        ).warning(
            "journal: {} at {}: {} bytes are damaged: {}", region.segment, region.offset, region.length, region.what
        )
    entries = journal.entries.values()
    counts = {
        "stretches": len(journal.damage),
        "mended": sum(region.repaired for region in journal.damage),
        "doubtful": sum(entry.doubtful for entry in entries),
        "bodiless": sum(open_entry.bodiless for open_entry in entries),
        "orphans": journal.orphans,
    }
    logger.bind(event="recovery.damaged", **counts).error(
        "journal: {stretches} damaged regions, {mended} of them repaired; {doubtful} open messages may lack the "
        "record of an attempt or of their end and are retried only as their class allows; {bodiless} lost their "
        "bodies and are ended; {orphans} are known from later records only, so that no notice can be sent for them",
        **counts,
    )
