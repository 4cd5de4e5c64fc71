"""Reads nested settings and says, of what cannot be used, where it stands, what it is and what would do."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeVar

Made = TypeVar("Made")


class PlaceError(ValueError):
    """A value that cannot be used; the text begins with its place, as in `settings.services[0].effect`."""


def shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def near(word: str, words: Sequence[str]) -> str:
    """A hint at what a mistyped word may have meant, or nothing."""
    from difflib import get_close_matches  # only where something is wrong

    close = get_close_matches(word, words, 1)
    return f"; did you mean {close[0]}?" if close else ""


class Place:
    """One object of the settings, and where it stands. What is null counts as not told."""

    def __init__(self, value: Any, where: str) -> None:
        if not isinstance(value, Mapping):
            raise PlaceError(f"{where} must be an object, not {shown(value)}")
        self._told, self.where = value, where

    def _fail(self, key: str, must: str, value: object) -> PlaceError:
        return PlaceError(f"{self.where}.{key} must be {must}, not {shown(value)}")

    def _get(self, key: str, default: Any, must: str) -> Any:
        value = self._told.get(key)
        if value is None:
            if default is None:
                raise PlaceError(f"{self.where}.{key} is missing: it must be {must}")
            return default
        return value

    def raw(self, key: str) -> Any:
        return self._told.get(key)

    def number(self, key: str, default: float | None = None, least: float = 0, most: float = math.inf) -> Any:
        """A number within bounds, whole or not as it is told; an integer stays one."""
        must = f"a number from {least:g} to {most:g}" if most < math.inf else f"a number of at least {least:g}"
        value = self._get(key, default, must)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not least <= value <= most
            or not math.isfinite(value)
        ):
            raise self._fail(key, must, value)
        return value

    def whole(self, key: str, default: int | None = None, least: int = 0) -> int:
        must = f"a whole number of at least {least}"
        value = self._get(key, default, must)
        if isinstance(value, bool) or not isinstance(value, int) or value < least:
            raise self._fail(key, must, value)
        return value

    def text(self, key: str, default: str | None = None, among: Sequence[str] = ()) -> str:
        must = f"one of {', '.join(among)}" if among else "a text"
        value = self._get(key, default, must)
        if not isinstance(value, str) or among and value not in among:
            hint = near(value, among) if isinstance(value, str) else ""
            raise PlaceError(str(self._fail(key, must, value)) + hint)
        return value

    def flag(self, key: str, default: bool = False) -> bool:
        value = self._get(key, default, "true or false")
        if not isinstance(value, bool | int):
            raise self._fail(key, "true or false", value)
        return bool(value)

    def part(self, key: str) -> Place:
        """An object inside this one; one that is not told is empty."""
        return Place(self._told.get(key) or {}, f"{self.where}.{key}")

    def list(self, key: str, needed: bool = False) -> list[Any]:
        value = self._told.get(key)
        if value is None and needed:
            raise PlaceError(f"{self.where}.{key} is missing: it must be a list")
        if not isinstance(value or [], list | tuple):
            raise self._fail(key, "a list", value)
        return list(value or [])

    def each(self, key: str, needed: bool = False) -> Iterator[Place]:
        for n, item in enumerate(self.list(key, needed)):
            yield Place(item, f"{self.where}.{key}[{n}]")

    def numbers(self, key: str, least: float = 0) -> tuple[Any, ...]:
        values = self.list(key)
        for n, value in enumerate(values):
            if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < math.inf:
                raise self._fail(f"{key}[{n}]", f"a number of at least {least:g}", value)
        return tuple(values)

    def made(self, make: Callable[[], Made]) -> Made:
        """What a constructor with checks of its own makes; its complaint gets this place."""
        try:
            return make()
        except ValueError as err:
            raise err if isinstance(err, PlaceError) else PlaceError(f"{self.where}: {err}") from err
