"""A connection from a client, served one request at a time by a scripted party."""

from __future__ import annotations

from calicohitch.net.http import Headers, Link, Request
from calicohitch.net.server_exchange import Progress, ServerExchange


class ServerConnection:
    def __init__(self, link: Link) -> None:
        self._link, self._exchange = link, ServerExchange()

    def client_left(self) -> bool:
        return self._link.has_ended()

    async def started(self) -> bool:
        """Wait for the first bytes of the next request; False if the client ended the connection instead."""
        if not self._exchange.has_data:
            data = await self._link.receive()
            self._exchange.receive(data)
            return bool(data)
        return True

    async def request(self) -> Request | None:
        """The request that has started, once complete; None if the client closed. Raises if it is invalid."""
        while not isinstance(request := self._exchange.poll(), Request):
            if request is Progress.CLOSED:
                return None
            if request is Progress.NEEDS_DATA:
                if self._exchange.awaits_continue:
                    await self._link.send(self._exchange.interim_response())
                self._exchange.receive(await self._link.receive())
        return request

    async def respond(
        self, status: int, headers: Headers | None = None, body: bytes = b"", close: bool = False
    ) -> None:
        await self._link.send(self._exchange.response(status, headers, body, close))

    def next(self) -> bool:
        """Prepare for one more request; False if the connection has to be closed."""
        return self._exchange.next()

    def close(self) -> None:
        self._link.close()
