"""Maps the end of a gRPC call to an outcome for the decision engine. No I/O.

Whether a call may have run decides whether it may be retried, so each status counts as "may have run" unless the
protocol proves that it did not. A status that is the endpoint's own result for the call (not found, denied, ...) is
passed on to the client, since a retry would get the same result.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from ..interface import Outcome


class Status(IntEnum):
    """gRPC's status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


@dataclass(frozen=True, slots=True)
class Meaning:
    """`outcome` goes to the decision engine. `answered`: a final result of the endpoint, passed on unchanged. `wait` is
    the retry-after time in milliseconds, for the whole partner system."""

    outcome: Outcome
    answered: bool = False
    wait: float = 0.0


_FINAL_STATUSES = frozenset(
    {
        Status.OK,
        Status.INVALID_ARGUMENT,
        Status.NOT_FOUND,
        Status.ALREADY_EXISTS,
        Status.PERMISSION_DENIED,
        Status.FAILED_PRECONDITION,
        Status.OUT_OF_RANGE,
        Status.UNIMPLEMENTED,
        Status.UNAUTHENTICATED,
    }
)
_RETRY_AFTER_STATUSES = frozenset({Status.RESOURCE_EXHAUSTED, Status.UNAVAILABLE})
MAX_RETRY_AFTER_MS = 3_600_000.0


def interpret_status(status: Status, answer_started: bool, pushback: float | None, retry_info: float | None) -> Meaning:
    """Interprets the final status of a call. `answer_started`: headers or messages of the response came before it, so
    the call ran at least in part. `pushback` is `grpc-retry-pushback-ms` (below 0: do not retry), `retry_info` the
    delay of RetryInfo, both in milliseconds."""
    if status in _FINAL_STATUSES:
        return Meaning(Outcome.OK, answered=True)
    if status in _RETRY_AFTER_STATUSES:
        if pushback is not None and pushback < 0:
            return Meaning(Outcome.ERROR, answered=True)  # the endpoint forbids retries
        retry_after = pushback if pushback is not None else retry_info
        wait = min(retry_after or 0.0, MAX_RETRY_AFTER_MS)
        if answer_started:
            return Meaning(Outcome.ERROR, wait=wait)
        if wait or status is Status.RESOURCE_EXHAUSTED:
            return Meaning(Outcome.FULL, wait=wait)  # refused before it ran
        return Meaning(Outcome.ERROR)  # UNAVAILABLE alone does not prove that the call did not run
    return Meaning(Outcome.ERROR)


def status_of_http(code: int) -> Status:
    """Returns the status of a response without `grpc-status`, by the HTTP mapping of the gRPC specification."""
    return {
        400: Status.INTERNAL,
        401: Status.UNAUTHENTICATED,
        403: Status.PERMISSION_DENIED,
        404: Status.UNIMPLEMENTED,
        429: Status.UNAVAILABLE,
        502: Status.UNAVAILABLE,
        503: Status.UNAVAILABLE,
        504: Status.UNAVAILABLE,
    }.get(code, Status.UNKNOWN)


def parse_status(text: bytes | None) -> Status:
    """Parses `grpc-status`; a missing, invalid or unassigned value is UNKNOWN."""
    if text is None or not text.isdigit() or len(text) > 3 or int(text) > 16:
        return Status.UNKNOWN
    return Status(int(text))


def parse_pushback(text: bytes | None) -> float | None:
    """Parses milliseconds. By the specification an invalid value means: do not retry, which is -1."""
    if text is None:
        return None
    try:
        return float(int(text)) if len(text) <= 12 else -1.0
    except ValueError:
        return -1.0


def parse_retry_info(details: bytes) -> float | None:
    """Parses the delay, in milliseconds, of a `google.rpc.RetryInfo` in a `google.rpc.Status`, the value of
    `grpc-status-details-bin`. None if there is no valid one."""
    from google.protobuf.message import DecodeError
    from google.rpc import error_details_pb2, status_pb2

    try:
        for detail in status_pb2.Status.FromString(details).details:
            info = error_details_pb2.RetryInfo()
            if detail.Is(info.DESCRIPTOR) and detail.Unpack(info):
                wait = info.retry_delay.seconds * 1e3 + info.retry_delay.nanos / 1e6
                return wait if math.isfinite(wait) and wait >= 0 else None
    except DecodeError:
        return None
    return None
