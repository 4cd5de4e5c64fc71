"""What the differential fuzz of requests and answers share: h11's reading, and usual messages that were cut about."""

from __future__ import annotations

from typing import Any

import h11
from hypothesis import strategies as st


def read_by(connection: h11.Connection, data: bytes) -> tuple[Any, bytes] | str:
    """Head and body of the one whole message that the bytes are, or a word on why there is none."""
    head, body = None, b""
    try:
        connection.receive_data(data)
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                return "short"
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return "over"
            if isinstance(event, h11.Request | h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
    except h11.RemoteProtocolError:
        return "broken"
    return (head, body) if head is not None and not connection.trailing_data[0] else "more"


@st.composite
def cut_about(draw: Any, usual: bytes, pieces: Any) -> bytes:
    """The usual message with a few cuts and insertions, most of them in its lines' places."""
    data = usual
    for _ in range(draw(st.integers(0, 3))):
        ends = [n + 2 for n in range(len(data)) if data[n : n + 2] == b"\r\n"]
        at = draw(st.sampled_from(ends) if ends and draw(st.booleans()) else st.integers(0, len(data)))
        data = data[:at] + draw(pieces | st.binary(max_size=3)) + data[at + draw(st.integers(0, 3)) :]
    return data[: draw(st.integers(0, len(data)))] if draw(st.integers(0, 9)) == 0 else data
