"""`grpc.health.v1`: the two small messages of the published health protocol. No I/O."""

from __future__ import annotations

from .codec import PREFIX_SIZE, Request

SERVICE = "grpc.health.v1.Health"
SERVING, NOT_SERVING = b"\x08\x01", b"\x08\x02"  # HealthCheckResponse.status = 1, as a varint


def is_health(request: Request) -> bool:
    return request.service == SERVICE


def answer(body: bytes, services: set[str], serving: bool) -> bytes | None:
    """The HealthCheckResponse for a framed HealthCheckRequest (service = 1, a text; "" is the whole server); None for
    a service that is not known."""
    message = body[PREFIX_SIZE:]
    name = ""
    if message[:1] == b"\x0a" and len(message) >= 2 and len(message) == 2 + message[1]:
        name = message[2:].decode("utf-8", "replace")
    if name not in services | {"", SERVICE}:
        return None
    return SERVING if serving else NOT_SERVING
