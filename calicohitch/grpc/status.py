"""The one table of what a gRPC call's end means for the decisions. No I/O.

Whether a call may have run decides whether it may be repeated, so every row leans to "may have run" unless the
protocol proves the contrary. A status that is the endpoint's own word on the call (not found, denied, ...) is its
answer: it is passed on, and trying again would ask the same question.
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
    """`answered`: the endpoint's own final word, to be passed on as it is. `outcome` is what the decisions hear;
    `wait` in milliseconds, for the whole partner system."""

    outcome: Outcome
    answered: bool = False
    wait: float = 0.0


_ANSWERS = frozenset(
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
_TELL_TO_WAIT = frozenset({Status.RESOURCE_EXHAUSTED, Status.UNAVAILABLE})
LONGEST_WAIT_MS = 3_600_000.0


def meaning(status: Status, begun: bool, pushback: float | None, retry_info: float | None) -> Meaning:
    """What an end with a status means. `begun`: headers or messages of an answer came before it, so it ran at least
    in part. `pushback` is `grpc-retry-pushback-ms` (below 0: do not come again), `retry_info` the delay of RetryInfo,
    both in milliseconds."""
    if status in _ANSWERS:
        return Meaning(Outcome.OK, answered=True)
    if status in _TELL_TO_WAIT:
        if pushback is not None and pushback < 0:
            return Meaning(Outcome.ERROR, answered=True)  # the endpoint's word that nobody is to try again
        told = pushback if pushback is not None else retry_info
        wait = min(told or 0.0, LONGEST_WAIT_MS)
        if begun:
            return Meaning(Outcome.ERROR, wait=wait)
        if wait or status is Status.RESOURCE_EXHAUSTED:
            return Meaning(Outcome.FULL, wait=wait)  # turned away before anything ran
        return Meaning(Outcome.ERROR)  # UNAVAILABLE alone proves nothing
    return Meaning(Outcome.ERROR)


def of_http(code: int) -> Status:
    """The status of an answer without `grpc-status`, by gRPC's own mapping of HTTP codes."""
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


def read_status(text: bytes | None) -> Status:
    """One that cannot be read, or is not known, is UNKNOWN."""
    if text is None or not text.isdigit() or len(text) > 3 or int(text) > 16:
        return Status.UNKNOWN
    return Status(int(text))


def read_pushback(text: bytes | None) -> float | None:
    """Milliseconds; by the specification a value that cannot be read means: do not come again."""
    if text is None:
        return None
    try:
        return float(int(text)) if len(text) <= 12 else -1.0
    except ValueError:
        return -1.0


def read_retry_info(details: bytes) -> float | None:
    """Milliseconds of a `google.rpc.RetryInfo` in a `google.rpc.Status`, the value of `grpc-status-details-bin`; None
    where there is none that can be read."""
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
