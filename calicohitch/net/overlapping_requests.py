"""Requests for the same thing, of which the first response counts.

A request that has not been answered in time is late and not lost: the server may be slow. It is kept while another one
begins beside it, up to a number of requests; then the oldest is given up.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .http import Response


@dataclass(eq=False, slots=True)
class _Request:
    send: Callable[[], Awaitable[Response]]
    authoritative: bool
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    error: Exception | None = None


@dataclass(frozen=True, slots=True)
class FirstResponse:
    """`authoritative`: as its request was."""

    response: Response
    authoritative: bool


class OverlappingRequests:
    """`tasks`: in which the requests run. `most`: requests that are out at once."""

    def __init__(self, tasks: TaskGroup, most: int) -> None:
        self._tasks, self._most = tasks, most
        self._out: list[_Request] = []  # the oldest first
        self._first: FirstResponse | None = None
        self._awaited: _Request | None = None  # by `first_response`, now or last
        self._changed = anyio.Event()

    async def first_response(
        self, send: Callable[[], Awaitable[Response]], authoritative: bool, due_s: float
    ) -> FirstResponse:
        """The first response of any request that is out; without one already, a further request is sent by `send`.
        TimeoutError if none came for `due_s`: the request is late from then on. An error of this request is raised; one
        of a late request is not."""
        if self._first is None:
            self._awaited = request = self._begin(send, authoritative)
            with anyio.fail_after(due_s):
                while self._first is None and request.error is None:
                    await self._changed.wait()
            if self._first is None and request.error is not None:
                raise request.error
        first = self._first
        assert first
        self._give_up()
        return first

    def abandon(self, error: Exception) -> None:
        """Give up all requests, and a response that came; `first_response` raises the error, if it is waiting."""
        self._give_up()
        if self._awaited:
            self._awaited.error = error
        self._notify()

    def _give_up(self) -> None:
        for request in self._out:
            request.scope.cancel()
        self._out.clear()
        self._first = None

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _begin(self, send: Callable[[], Awaitable[Response]], authoritative: bool) -> _Request:
        while len(self._out) >= self._most:
            self._out.pop(0).scope.cancel()
        request = _Request(send, authoritative)
        self._out.append(request)
        self._tasks.start_soon(self._run, request)
        return request

    async def _run(self, request: _Request) -> None:
        with request.scope:
            try:
                response = await request.send()
            except Exception as error:  # raised by `first_response`, if it still waits for this request
                request.error = error
            if request not in self._out:  # given up meanwhile
                return
            self._out.remove(request)
            if request.error is None and self._first is None:
                self._first = FirstResponse(response, request.authoritative)
            self._notify()
