"""The message that a client's request hands in, and what the client is told. No I/O."""

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
    """A request that cannot be taken on; `status` is what its client is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_submission(request: Request, classes: tuple[str, ...]) -> Submission:
    """The message that a client's request hands in."""
    headers = request.headers
    class_name = request.path.split("/")[1] if request.path.startswith("/") else ""
    if class_name not in classes:  # a name may hold what a path cannot as it is
        class_name = unquote(class_name)
    if class_name not in classes:
        raise BadRequest(404, f"there is no class {class_name!r}")
    if request.method != "POST":
        raise BadRequest(405, "messages are handed in by POST")
    if twice := request.repeated & _SINGLE:
        raise BadRequest(400, f"{min(twice).decode()} comes twice")
    wire_id = _token(headers, b"req-id")
    key = _token(headers, b"idempotency-key") if b"idempotency-key" in headers else None
    again = headers.get(b"req-retry", b"").strip().lower()
    return Submission(
        id=wire_id,
        class_index=classes.index(class_name),
        dest=_dest(headers.get(b"envelope", b"")),
        time_left=_whole(headers.get(b"req-deadline-ms", b""), "Req-Deadline-Ms"),
        key=key,
        body=request.body,
        handed_in_again=again in (b"1", b"again"),
        from_dead_relay=again == b"again",
        headers=request.raw,
    )


def _token(headers: Mapping[bytes, bytes], name: bytes) -> str:
    """A value that is passed on as it is: every endpoint has to be able to read it."""
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
    """An answer to a client. `close`: the connection is closed behind it."""

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False


ACCEPTED = SubmissionAnswer(202, [])


def refusal(why: Refusal, drawn: float = 0.0) -> SubmissionAnswer:
    """What a client is told whose message is not taken on, or is already. `drawn`: a number from 0 to 1, which spreads
    those that are refused together over half as long again, since they would come again together."""
    if why is Refusal.ALREADY_ACCEPTED:
        return ACCEPTED
    if why is Refusal.NO_KEY:
        return SubmissionAnswer(400, [], why.value.encode(), close=True)
    headers: Headers = [(b"Retry-After", f"{why.retry_after_ms * (1 + drawn / 2) / 1e3:.3g}".encode())]
    return SubmissionAnswer(503, headers, why.value.encode(), close=why not in (Refusal.FULL, Refusal.BUSY))
