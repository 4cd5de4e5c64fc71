"""What a relay is told at its start: the NODE_* variables, and a JSON file that says the same and more."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..interface import Settings
from .places import PlaceError
from .settings import Names, names_from, settings_from


_VARIABLES = ("name", "listen", "discovery", "state")  # what NODE_NAME, NODE_LISTEN and so on tell


class ConfigError(Exception):
    """A configuration that a relay cannot start with; the text says which part and why."""


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Where a socket listens or connects: a numeric host and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, what: str) -> Address:
        host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        host = host.removeprefix("[").removesuffix("]")
        if not (colon and host and port.isascii() and port.isdigit() and int(port) < 65_536):
            raise ConfigError(f"{what} must be HOST:PORT, not {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the machine allows; the defaults are what a small machine has."""

    sockets: int = 1024
    disk_mb: float = 3.0
    memory_mb: float = 192.0


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of one relay."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    settings: Settings
    names: Names
    limits: Limits = field(default_factory=Limits)
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    known: Mapping[str, Any] | None = None
    in_file: Mapping[str, Any] = field(default_factory=dict)  # what the file said, before the variables


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment names; a variable outweighs the file."""
    return _outweighed(_read(env), env)


def reload(before: Config, env: Mapping[str, str]) -> Config:
    """The configuration, read afresh by a process that runs already. Its environment is that of its start, so
    a variable outweighs the file only where the file still says what it then said beside it."""
    told = _read(env)
    stale = {_variable(key) for key in _VARIABLES if told.get(key) != before.in_file.get(key)}
    return _outweighed(told, {name: value for name, value in env.items() if name not in stale})


def _variable(key: str) -> str:
    return f"NODE_{key.upper()}"


def _outweighed(told: dict[str, Any], env: Mapping[str, str]) -> Config:
    in_file = {key: told.get(key) for key in _VARIABLES}
    return replace(parse(told | {key: env.get(_variable(key)) or in_file[key] for key in _VARIABLES}), in_file=in_file)


def _read(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG must name the configuration file")
    try:
        told = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as err:
        raise ConfigError(f"the configuration {path} cannot be read: {err}") from err
    if not isinstance(told, dict):
        raise ConfigError(f"the configuration {path} must be a JSON object")
    return told


def parse(told: Mapping[str, Any]) -> Config:
    """Check a configuration and give it its types."""
    if not told.get("state"):
        raise ConfigError("state (NODE_STATE) must name the folder that lasts")
    info = told.get("settings")
    if not isinstance(info, dict):
        raise ConfigError("settings must be an object")
    try:
        settings, names = settings_from(info), names_from(info)
    except PlaceError as err:
        raise ConfigError(str(err)) from err
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise ConfigError(f"settings cannot be used: {type(err).__name__}: {err}") from err
    known, peers = told.get("known"), told.get("peers") or []
    if known is not None and not isinstance(known, dict):
        raise ConfigError("known must be an object in discovery's form")
    if not isinstance(peers, list):
        raise ConfigError("peers must be a list of addresses")
    return Config(
        name=str(told.get("name") or "relay"),
        listen=Address.parse(told.get("listen"), "listen"),
        discovery=Address.parse(told.get("discovery"), "discovery"),
        state=Path(str(told["state"])),
        seed=_seed(told.get("seed", 0)),
        settings=settings,
        names=names,
        limits=_limits(told.get("limits") or {}),
        peer_listen=_optional(told, "peer_listen"),
        peers=tuple(Address.parse(item, "peers") for item in peers),
        peers_all=_optional(told, "peers_all"),
        known=known,
    )


def _optional(told: Mapping[str, Any], key: str) -> Address | None:
    return Address.parse(told[key], key) if told.get(key) else None


def _seed(told: object) -> int:
    try:
        return told if isinstance(told, int) else int(str(told), 16)
    except ValueError as err:
        raise ConfigError(f"seed must be a number or hexadecimal digits, not {told!r}") from err


def _limits(told: Any) -> Limits:
    if not isinstance(told, dict):
        raise ConfigError("limits must be an object")
    defaults = Limits()
    sockets, disk_mb = told.get("sockets", defaults.sockets), told.get("disk_mb", defaults.disk_mb)
    memory_mb = told.get("memory_mb", defaults.memory_mb)
    for name, value, least in (("sockets", sockets, 64), ("disk_mb", disk_mb, 0.5), ("memory_mb", memory_mb, 1)):
        if isinstance(value, bool) or not isinstance(value, int | float) or value < least:
            raise ConfigError(f"limits.{name} must be a number of at least {least}, not {value!r}")
    return Limits(int(sockets), float(disk_mb), float(memory_mb))
