"""The request and the response of the `grpc.health.v1` protocol. No I/O."""

from __future__ import annotations

from .codec import PREFIX_SIZE, Request

SERVICE = "grpc.health.v1.Health"
SERVING, NOT_SERVING = b"\x08\x01", b"\x08\x02"  # HealthCheckResponse.status = 1, as a varint


def is_health(request: Request) -> bool:
    return request.service == SERVICE


def answer(body: bytes, services: set[str], serving: bool) -> bytes | None:
    """Returns the HealthCheckResponse for a framed HealthCheckRequest (field 1 is the service name; "" is the whole
    server), or None for an unknown service."""
    message = body[PREFIX_SIZE:]
    name = ""
    if message[:1] == b"\x0a" and len(message) >= 2 and len(message) == 2 + message[1]:
        name = message[2:].decode("utf-8", "replace")
    if name not in services | {"", SERVICE}:
        return None
    return SERVING if serving else NOT_SERVING
