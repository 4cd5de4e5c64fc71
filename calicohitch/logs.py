"""The log on standard error: plain text, or one JSON object per line.

Lines that tools may rely on carry a stable `event` name, and `message_id` or `trace_id` where there is one; everything
else in a line may change. Bind these fields: `logger.bind(event="relay.ready").info(...)`.
"""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from loguru import logger

_TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def json_line(record: Any) -> str:
    """A loguru record as one line of JSON."""
    fields: dict[str, Any] = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "event": record["extra"].get("event", "log"),
        "text": record["message"],
    }
    fields |= {key: value for key, value in record["extra"].items() if key not in fields}
    if exception := record["exception"]:
        fields["exception"] = f"{exception.type.__name__}: {exception.value}" if exception.type else ""
    return json.dumps(fields, default=str)


def set_up(format: str, level: str, target: TextIO | None = None) -> None:
    """Replace all sinks of loguru by one in this format, `json` or text, on `target` (default: standard error)."""
    stream = target or sys.stderr
    logger.remove()
    if format == "json":
        logger.add(lambda message: print(json_line(message.record), file=stream, flush=True), level=level)
    else:
        logger.add(stream, level=level, format=_TEXT_FORMAT)
