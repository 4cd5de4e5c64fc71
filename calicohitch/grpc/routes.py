"""Selects the message class and the destination of a gRPC call by its service and method. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import CodecError, Request
from .status import Status


@dataclass(frozen=True, slots=True)
class Route:
    """`method` "*" matches any method. The destination is `dest`, or the number in the metadata `dest_key`. `id_key`
    and `key_key` name the metadata with the message id and the idempotency key. `streams`: the client may send
    more than one message; other calls are read completely before they are submitted."""

    service: str
    method: str
    class_index: int
    dest: int | None = None
    dest_key: str = ""
    id_key: str = "req-id"
    key_key: str = "idempotency-key"
    streams: bool = False


@dataclass(frozen=True, slots=True)
class RoutedCall:
    route: Route
    dest: int
    id: str | None
    key: str | None


class Routes:
    """Finds the route of a call; a route for the method takes precedence over one for the whole service."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = {(route.service, route.method): route for route in routes}

    def find(self, request: Request) -> RoutedCall:
        """Raises CodecError: UNIMPLEMENTED if there is no route, INVALID_ARGUMENT if required metadata is invalid."""
        route = self._routes.get((request.service, request.method)) or self._routes.get((request.service, "*"))
        if route is None:
            raise CodecError(Status.UNIMPLEMENTED, f"there is no route for {request.path.decode()}")
        dest = route.dest
        if dest is None:
            text = request.first(route.dest_key.encode()) or b""
            if not text.isdigit() or len(text) > 12:
                raise CodecError(
                    Status.INVALID_ARGUMENT, f"the metadata {route.dest_key} must be the number of a destination"
                )
            dest = int(text)
        return RoutedCall(
            route, dest, self._metadata_value(request, route.id_key), self._metadata_value(request, route.key_key)
        )

    @staticmethod
    def _metadata_value(request: Request, name: str) -> str | None:
        values = [value for key, value in request.headers if key == name.encode()]
        if not values:
            return None
        if len(values) > 1 or not 1 <= len(values[0]) <= 256 or not values[0].isascii() or b" " in values[0]:
            raise CodecError(Status.INVALID_ARGUMENT, f"the metadata {name} must be 1 to 256 visible characters, once")
        return values[0].decode()


def clashes(routes: tuple[Route, ...]) -> list[str]:
    """Returns the paths of methods that have more than one route."""
    seen: set[tuple[str, str]] = set()
    duplicates = []
    for route in routes:
        if (route.service, route.method) in seen:
            duplicates.append(f"/{route.service}/{route.method}")
        seen.add((route.service, route.method))
    return duplicates
