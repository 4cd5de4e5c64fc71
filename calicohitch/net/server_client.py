"""Requests to one server, each on a connection of its own, so that several may be out at once.

HTTP/1.1 ties a response to its request by their order on the connection alone, so one surplus byte of the server would
make every later response ambiguous. The servers here (the platform's agent, a trace collector) are asked a few times a
second at most, so a connection for each request costs little.
"""

from __future__ import annotations

import anyio

from ..config import Address
from ..core.descriptor_budget import DescriptorBudget, DescriptorUse
from .http import MAX_BODY, ClientConnection, Headers, Response


class Moved(ConnectionResetError):
    """The server has moved to another address: a request to the old one says nothing about it."""


class ServerClient:
    """Sends requests to one server."""

    def __init__(
        self,
        address: Address,
        max_body: int = MAX_BODY,
        needs_body: bool = False,
        descriptor: tuple[DescriptorBudget, DescriptorUse] | None = None,
    ) -> None:
        """`max_body`: of a response, in bytes. `needs_body`: a status line of 200 alone is no response. `descriptor`:
        the budget of descriptors, and the use that a connection is counted under."""
        self._address, self._max_body, self._needs_body, self._descriptor = address, max_body, needs_body, descriptor
        self._requests: set[anyio.CancelScope] = set()

    def move(self, address: Address) -> None:
        """Use this address from now on; requests in flight at the old address are cancelled."""
        if address != self._address:
            self._address = address
            for scope in self._requests:
                scope.cancel()

    async def request(
        self, method: str, target: str, timeout_s: float, headers: Headers | None = None, body: bytes = b""
    ) -> Response:
        """Send a request and return the response; OSError if there is none in time, Moved if the address changed."""
        address = self._address
        headers = [(b"Host", str(address).encode()), *(headers or [])]
        with anyio.fail_after(timeout_s), anyio.CancelScope() as scope:
            self._requests.add(scope)
            try:
                response = await self._exchange(address, method, target, headers, body)
            finally:
                self._requests.discard(scope)
        if scope.cancelled_caught or self._address != address:
            raise Moved(f"the server is at {self._address} now")
        return response

    async def _exchange(self, address: Address, method: str, target: str, headers: Headers, body: bytes) -> Response:
        connection = await ClientConnection.open(address, self._max_body, self._needs_body)
        holds_descriptor = self._descriptor is not None and self._descriptor[0].acquire(self._descriptor[1])
        try:
            return await connection.request(method, target, headers, body)
        finally:
            connection.close()
            if self._descriptor and holds_descriptor:
                self._descriptor[0].release(self._descriptor[1])
