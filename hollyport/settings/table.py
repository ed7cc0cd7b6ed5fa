"""Typed access to the tables of the operators' file."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from hollyport.settings.options import BadValue


class Table:
    """Typed access to one table: what is wrong or unknown is named by its path."""

    def __init__(self, raw: Any, path: tuple[str | int, ...]) -> None:
        if not isinstance(raw, Mapping):
            raise BadValue(path, f"must be a table, is {raw!r}")
        self._raw, self.path = dict(raw), path

    def _take(self, key: str, kinds: tuple[type, ...], default: Any, what: str) -> Any:
        value = self._raw.pop(key, default)
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise BadValue((*self.path, key), f"must be {what}, is {value!r}")
        return value

    def number(self, key: str, default: float, least: float, most: float = math.inf) -> float:
        value = float(self._take(key, (int, float), default, "a number"))
        if not least <= value <= most or not math.isfinite(value):
            raise BadValue((*self.path, key), f"must be from {least:g} to {most:g}, is {value:g}")
        return value

    def text(self, key: str, default: str = "", among: tuple[str, ...] = ()) -> str:
        value = str(self._take(key, (str,), default, "a text"))
        if among and value not in among:
            raise BadValue((*self.path, key), f"must be one of {', '.join(among)}, is {value!r}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        return bool(self._take(key, (bool,), default, "true or false"))

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._take(key, (list,), [], "a list of texts")
        if not all(isinstance(item, str) and item for item in value):
            raise BadValue((*self.path, key), f"must be a list of texts, is {value!r}")
        return tuple(value)

    def numbers(self, key: str, least: int, most: int) -> tuple[int, ...]:
        """A list of whole numbers."""
        value = self._take(key, (list,), [], "a list of whole numbers")
        if not all(isinstance(n, int) and not isinstance(n, bool) and least <= n <= most for n in value):
            raise BadValue((*self.path, key), f"must be whole numbers from {least} to {most}, is {value!r}")
        return tuple(value)

    def tables(self, key: str) -> list[Table]:
        """A list of tables."""
        return [Table(item, (*self.path, key, number)) for number, item in enumerate(self.items(key))]

    def items(self, key: str) -> list[Any]:
        return list(self._take(key, (list,), [], "a list"))

    def table(self, key: str) -> Table | None:
        return Table(self._raw.pop(key), (*self.path, key)) if key in self._raw else None

    def names(self) -> list[str]:
        """The keys that are yet to be read."""
        return list(self._raw)

    def pairs(self, key: str) -> dict[str, str]:
        raw = self._take(key, (dict,), {}, "a table")
        for name, value in raw.items():
            if not isinstance(value, str):
                raise BadValue((*self.path, key, name), f"must be a text, is {value!r}")
        return dict(raw)

    def done(self) -> None:
        for key in self._raw:
            raise BadValue((*self.path, key), "no such key")

    def must(self, good: bool, key: str, what: str) -> None:
        if not good:
            raise BadValue((*self.path, key), what)
