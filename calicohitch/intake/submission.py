"""Reads the message from a client's request, and makes the response. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote

from ..core.protocols import Refusal, Submission
from ..net.http import Headers, Request

_SINGLE = {b"req-id", b"idempotency-key", b"req-deadline-ms", b"envelope"}
_TOKEN = re.compile(rb"[!-~]{1,256}")


class BadRequest(Exception):
    """A request that cannot be accepted; `status` is the HTTP status of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_submission(request: Request, classes: tuple[str, ...]) -> Submission:
    """The message that a request submits. Raises BadRequest."""
    headers = request.headers
    class_name = request.path.split("/")[1] if request.path.startswith("/") else ""
    if class_name not in classes:  # the name may contain characters that are percent-encoded in a path
        class_name = unquote(class_name)
    if class_name not in classes:
        raise BadRequest(404, f"there is no class {class_name!r}")
    if request.method != "POST":
        raise BadRequest(405, "messages are handed in by POST")
    if repeated := request.repeated & _SINGLE:
        raise BadRequest(400, f"{min(repeated).decode()} comes twice")
    wire_id = _token(headers, b"req-id")
    key = _token(headers, b"idempotency-key") if b"idempotency-key" in headers else None
    retry = headers.get(b"req-retry", b"").strip().lower()
    return Submission(
        id=wire_id,
        class_index=classes.index(class_name),
        dest=_dest(headers.get(b"envelope", b"")),
        time_left=_whole(headers.get(b"req-deadline-ms", b""), "Req-Deadline-Ms"),
        key=key,
        body=request.body,
        handed_in_again=retry in (b"1", b"again"),
        from_dead_relay=retry == b"again",
        headers=request.raw,
    )


def _token(headers: Mapping[bytes, bytes], name: bytes) -> str:
    """A header value that is passed on unchanged, so every endpoint has to be able to read it."""
    value = headers.get(name, b"")
    if not _TOKEN.fullmatch(value):
        raise BadRequest(400, f"{name.decode()} must be 1 to 256 visible characters")
    return value.decode()


def _whole(text: bytes, name: str) -> int:
    text = text.strip()
    if not (text.isdigit() and len(text) <= 12):
        raise BadRequest(400, f"{name} must be a whole number, not {text.decode('latin-1')!r}")
    return int(text)


def _dest(envelope: bytes) -> int:
    fields = dict(part.strip().partition(b"=")[::2] for part in envelope.replace(b";", b",").split(b","))
    return _whole(fields.get(b"dest", b""), "dest in Envelope")


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """A response to a client. `close`: the connection is closed after it."""

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False


ACCEPTED = SubmissionAnswer(202, [])


def refusal(reason: Refusal, jitter: float = 0.0) -> SubmissionAnswer:
    """The response to a message that is refused, or was accepted already. `jitter`: a random number from 0 to 1, which
    lengthens Retry-After by up to a half, so that clients that are refused together do not all retry together."""
    if reason is Refusal.ALREADY_ACCEPTED:
        return ACCEPTED
    if reason is Refusal.NO_KEY:
        return SubmissionAnswer(400, [], reason.value.encode(), close=True)
    headers: Headers = [(b"Retry-After", f"{reason.retry_after_ms * (1 + jitter / 2) / 1e3:.3g}".encode())]
    return SubmissionAnswer(503, headers, reason.value.encode(), close=reason not in (Refusal.FULL, Refusal.BUSY))
