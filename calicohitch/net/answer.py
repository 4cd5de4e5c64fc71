"""A fast parser for common responses, tried before h11 (see `net.head`). No I/O."""

from __future__ import annotations

from .head import Look, content_length, pattern, read_body, read_head

_HEAD = pattern(rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\t -~]*)?")
_STATUSES_WITHOUT_BODY = frozenset({b"204", b"304"})


def read(data: bytes, max_body: int) -> tuple[int, dict[bytes, bytes], bytes] | Look:
    """Status, headers (names in lower case) and body of the one response in `data`. `max_body`: in bytes."""
    head = read_head(data, _HEAD, data[:9] == b"HTTP/1.1 "[: len(data)])
    if isinstance(head, Look):
        return head
    (status,), headers = head.first, head.headers
    if (
        status in _STATUSES_WITHOUT_BODY
        or b"transfer-encoding" in headers
        or headers.get(b"connection", b"keep-alive") != b"keep-alive"
    ):
        return Look.UNCOMMON
    length = content_length(headers.get(b"content-length", b""), max_body)
    if length is None:
        return Look.UNCOMMON
    body = read_body(data, head, length)
    return body if isinstance(body, Look) else (int(status), headers, body)
