"""The log on standard error: text for people, or a JSON object a line for machines.

Lines that others may rely on carry a stable `event` name, and `message_id` or `trace_id` where there is one; all
else in them may change. Bind them: `logger.bind(event="relay.ready").info(...)`.
"""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from loguru import logger

_TEXT = "{time:HH:mm:ss.SSS} {level} {message}"


def json_line(record: Any) -> str:
    """One log record of loguru as a line of JSON."""
    told: dict[str, Any] = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "event": record["extra"].get("event", "log"),
        "text": record["message"],
    }
    told |= {key: value for key, value in record["extra"].items() if key not in told}
    if problem := record["exception"]:
        told["exception"] = f"{problem.type.__name__}: {problem.value}" if problem.type else ""
    return json.dumps(told, default=str)


def set_up(format: str, level: str, target: TextIO | None = None) -> None:
    """Replaces whatever loguru wrote to before."""
    out = target or sys.stderr
    logger.remove()
    if format == "json":
        logger.add(lambda message: print(json_line(message.record), file=out, flush=True), level=level)
    else:
        logger.add(out, level=level, format=_TEXT)
