"""Reads KDL nodes with checks, and gathers all that is wrong, so that operators mend a file in one go.

`ckdl` parses and tells no line numbers; a place is named by its path of nodes, as in `tracing > budget`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, TypeVar

from .places import near, shown
from .platform import ConfigError

Made = TypeVar("Made")


class Node:
    """One node, its arguments, properties and children; each complaint goes to `problems` and a default is
    given instead, so that reading goes on. `done` complains of what nobody asked for."""

    def __init__(self, told: Any, where: str, problems: list[str], count: int = 0) -> None:
        self._told, self._problems = told, problems
        self.where = where
        self._args_read = count
        self._known: set[str] = set()
        self._known_children: set[str] = set()

    def complain(self, text: str) -> None:
        self._problems.append(f"{self.where}: {text}")

    def _value(self, name: str, must: str, needed: bool) -> Any:
        self._known.add(name)
        if name not in self._told.properties:
            if needed:
                self.complain(f"{name} is missing; it must be {must}")
            return None
        value = self._told.properties[name]
        return getattr(value, "value", value) if value is not None else None

    def number(self, name: str, default: float, least: float = 0, most: float = math.inf) -> float:
        must = f"a number from {least:g} to {most:g}" if most < math.inf else f"a number of at least {least:g}"
        value = self._value(name, must, False)
        if name not in self._told.properties:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            self.complain(f"{name} must be {must}, not {shown(value)}")
            return default
        return value

    def whole(self, name: str, default: int, least: int = 0, most: int = 1 << 40) -> int:
        value = self.number(name, default, least, most)
        if value != int(value):
            self.complain(f"{name} must be a whole number, not {shown(value)}")
            return default
        return int(value)

    def text(self, name: str, default: str | None = None, among: Sequence[str] = ()) -> str:
        must = f"one of {', '.join(among)}" if among else "a text"
        value = self._value(name, must, default is None)
        if name not in self._told.properties:
            return default or ""
        return self._checked(name, value, among, must, default)

    def _checked(self, name: str, value: Any, among: Sequence[str], must: str, default: str | None) -> str:
        if not isinstance(value, str) or among and value not in among:
            hint = near(value, among) if isinstance(value, str) else ""
            self.complain(f"{name} must be {must}, not {shown(value)}{hint}")
            return default or ""
        return value

    def argument(self, what: str, default: str | None = None, among: Sequence[str] = ()) -> str:
        """The next argument, which is a text; `what` names it in complaints."""
        must = f"one of {', '.join(among)}" if among else "a text"
        if self._args_read >= len(self._told.args):
            if default is None:
                self.complain(f"{what} is missing; it must be {must}, behind the node's name")
            return default or ""
        value = self._told.args[self._args_read]
        self._args_read += 1
        return self._checked(what, value, among, must, default)

    def parsed(self, what: str, text: str, make: Callable[[str], Made]) -> Made | None:
        """What `make` reads in a text; its ValueError or ConfigError becomes a complaint."""
        try:
            return make(text)
        except (ValueError, ConfigError) as err:
            self.complain(f"{what}: {err}")
            return None

    def children(self, name: str) -> Iterator[Node]:
        """All children of that name."""
        self._known_children.add(name)
        for child in self._told.children:
            if child.name == name:
                yield Node(child, f"{self.where} > {name}" if self.where else name, self._problems)

    def child(self, name: str) -> Node | None:
        """The one child of that name; a second one is complained of."""
        found = list(self.children(name))
        if len(found) > 1:
            found[1].complain("it is there twice; it may be there once")
        return found[0] if found else None

    def done(self) -> None:
        if len(self._told.args) > self._args_read:
            self.complain(f"nothing is known of the argument {shown(self._told.args[self._args_read])}")
        for name in self._told.properties:
            if name not in self._known:
                self.complain(f"nothing is known of {name}{near(name, sorted(self._known))}")
        for child in self._told.children:
            if child.name not in self._known_children:
                place = f"{self.where} > {child.name}" if self.where else child.name
                known = ", ".join(sorted(self._known_children)) or "none"
                hint = near(child.name, sorted(self._known_children))
                self._problems.append(f"{place}: there is no such node here (known: {known}){hint}")


class _Root:
    args: list[Any] = []
    properties: dict[str, Any] = {}

    def __init__(self, nodes: list[Any]) -> None:
        self.children = nodes


def read(path: Path, problems: list[str]) -> Node:
    """The nodes of a KDL 2 file under one nameless node; ConfigError where it is none."""
    import ckdl

    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise ConfigError(f"the operators' file {path} cannot be read: {err}") from err
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as err:
        raise ConfigError(f"the operators' file {path} is no KDL 2: {err}{_where(text)}") from err
    return Node(_Root(document.nodes), "", problems)


def _where(text: str) -> str:
    """The line up to which a broken file can be read: the first whose prefix, closed up, does not parse."""
    import ckdl

    lines = text.splitlines()
    for n in range(1, len(lines) + 1):
        part = "\n".join(lines[:n])
        for closed in range(6):
            try:
                ckdl.parse(part + "\n" + "}\n" * closed, version=2)
                break
            except ckdl.ParseError:
                continue
        else:
            return f" (at or near line {n}: {lines[n - 1].strip()[:60]!r})"
    return ""
