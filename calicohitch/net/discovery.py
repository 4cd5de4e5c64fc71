"""The list of endpoints: what discovery's answers say, and the watch that keeps them coming."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from loguru import logger

from ..clock import to_micros
from ..config import Address
from ..interface import Listed, ListKind, ListTold, Phase
from ..settings import Names
from .http import ClientConnection

WATCH_MS = 20_000
_ANSWER_S = 3.0  # discovery answers at once, or at the end of a watch; it is silent after that
_PAUSE_S = 0.1
_MAX_LIST = 16 << 20
_PHASES = {"Ready": Phase.READY, "Terminating": Phase.DRAINING, "Gone": Phase.GONE}


class ListError(Exception):
    """An answer of discovery that cannot be read."""


@dataclass(frozen=True, slots=True)
class Update:
    """One answer of discovery."""

    version: int
    complete: bool
    entries: tuple[Listed, ...]

    def told(self, cached: bool = False) -> ListTold:
        kind = ListKind.FULL if self.complete else ListKind.DELTA
        return ListTold(ListKind.CACHED if cached else kind, self.version, self.entries)


class Directory:
    """The numbers under which the decisions know endpoints, and where each is reached."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}
        self._zones: dict[int, int] = {}

    def address(self, endpoint: int) -> Address:
        return self._addresses[endpoint]

    def zone(self, endpoint: int) -> int:
        return self._zones[endpoint]

    def read(self, told: Any) -> Update:
        """An answer in discovery's form. Nothing of it is kept unless all of it can be read."""
        try:
            members = [self._member(item) for item in told["members"]]
            entries = tuple(entry for entry, _ in members)
            update = Update(int(told["revision"]), bool(told["complete"]), entries)
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise ListError(f"the list cannot be read: {type(err).__name__}: {err}") from err
        for entry, address in members:
            self._zones[entry.endpoint] = entry.zone
            if address:
                self._addresses[entry.endpoint] = address
        return update

    def _member(self, item: dict[str, Any]) -> tuple[Listed, Address | None]:
        phase = _PHASES[item["phase"]]
        address = None
        if phase is Phase.READY or item.get("host_port"):
            try:
                address = Address.parse(item["host_port"], "host_port")
            except Exception as err:
                raise ValueError(str(err)) from err
        number = self._numbers.setdefault(str(item["id"]), len(self._numbers) + 1)
        entry = Listed(
            endpoint=number,
            dest=int(item["cell"]),
            phase=phase,
            kind=Names.number(self._names.kinds, item.get("flavor")),
            zone=Names.number(self._names.zones, item.get("locality")),
            weight=float(item.get("size", 1.0)),
            since=to_micros(item.get("up_since_ms", 0)),
        )
        return entry, address


class Discovery:
    """Asks for the whole list, then watches it; while discovery is silent the list stays as it is."""

    def __init__(self, address: Address, directory: Directory, tell: Callable[[ListTold], None]) -> None:
        self._address, self._directory, self._tell = address, directory, tell
        self._version: int | None = None
        self._connection: ClientConnection | None = None
        self.heard = anyio.Event()  # set by the first answer

    async def run(self) -> None:
        while True:
            try:
                await self._ask()
            except (OSError, TimeoutError, ListError, ValueError) as err:
                logger.warning("discovery: {}: {}", type(err).__name__, err)
                self._close()
                await anyio.sleep(_PAUSE_S)

    async def _ask(self) -> None:
        target, limit = "/registry/instances", _ANSWER_S
        if self._version is not None:
            target, limit = f"{target}?index={self._version}&wait={WATCH_MS}", _ANSWER_S + WATCH_MS / 1e3
        with anyio.fail_after(limit):
            if self._connection is None or not self._connection.reusable:
                self._close()
                self._connection = await ClientConnection.open(self._address, _MAX_LIST, needs_body=True)
            host = [(b"Host", str(self._address).encode())]
            response = await self._connection.request("GET", target, host)
        if response.status != 200:
            raise ListError(f"the answer is {response.status}")
        update = self._directory.read(json.loads(response.body))
        if update.complete or update.entries:
            self._tell(update.told())
        self._version = update.version
        self.heard.set()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


