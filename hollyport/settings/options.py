"""The operators' file, `deploy/hollyport.toml`: which features are on, checked key by key.

The platform's own configuration (`config.py` beside this) tells where a sidecar stands; this file tells what
an operator has switched on beside it. No file, or an empty one, is the daemon as it always was. Every feature
brings a `Section`, whose reader is imported only when its table is there: what is off costs nothing.
"""

from __future__ import annotations

import importlib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

FORMAT = 1
"""Version of the file's layout. A file may state it; one that states another is refused."""


class OptionsError(ValueError):
    """The operators' file cannot be used; the message names file, line and key."""


class BadValue(ValueError):
    """Raised by a section's reader: `path` leads from the section's table to the key at fault."""

    def __init__(self, path: tuple[str | int, ...], what: str) -> None:
        super().__init__(what)
        self.path, self.what = path, what


@dataclass(frozen=True, slots=True)
class Section:
    """One feature's table: its name and where its reader lives, as "module:function".

    The reader takes the decoded table and returns what the feature needs, or raises BadValue.
    """

    name: str
    reader: str

    def read(self, table: Mapping[str, Any]) -> Any:
        """Import the reader and hand it the table."""
        module, _, function = self.reader.partition(":")
        reader: Callable[[Mapping[str, Any]], Any] = getattr(importlib.import_module(module), function)
        return reader(table)


SECTIONS: tuple[Section, ...] = (
    Section("registries", "hollyport.registries.options:read"),
    Section("thrift", "hollyport.thrift.options:read"),
    Section("guards", "hollyport.guards.options:read"),
    Section("fleet", "hollyport.fleet.options:read"),
)
"""The features that can be switched on. Each direction of growth adds its line here."""


@dataclass(frozen=True, slots=True)
class Options:
    """What the operators have switched on, by section; empty where the file is silent."""

    path: str = ""
    sections: Mapping[str, Any] = field(default_factory=dict)


def load(path: str | None, known: tuple[Section, ...] = SECTIONS) -> Options:
    """Read and check the file; without a path, everything is off. Raise OptionsError on what is unusable."""
    if not path:
        return Options()
    import tomllib  # a daemon without the file need not load it

    try:
        with open(path, "rb") as file:
            text = file.read().decode("utf-8")
        raw = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise OptionsError(f"{path}: {' '.join(str(error).split())}") from None

    def refuse(keys: tuple[str | int, ...], what: str) -> OptionsError:
        dotted = ".".join(str(key) for key in keys)
        return OptionsError(f"{path}:{line_of(text, keys)}: {dotted}: {what}")

    version = raw.pop("format", FORMAT)
    if version != FORMAT or isinstance(version, bool):
        raise refuse(("format",), f"this daemon reads format {FORMAT}, the file states {version!r}")
    by_name = {section.name: section for section in known}
    sections: dict[str, Any] = {}
    for name, table in raw.items():
        section = by_name.get(name)
        if section is None:
            names = ", ".join(sorted(by_name)) or "none in this version"
            raise refuse((name,), f"no such key; the features that can be switched on are: {names}")
        if not isinstance(table, dict):
            raise refuse((name,), f"must be a table, is {table!r}")
        try:
            sections[name] = section.read(table)
        except BadValue as error:
            raise refuse((name, *error.path), error.what) from None
    return Options(path, sections)


_NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_KEY = re.compile(rf"\s*({_NAME}(?:\s*\.\s*{_NAME})*)\s*")
_PART = re.compile(_NAME)


def line_of(text: str, keys: tuple[str | int, ...]) -> int:
    """The line, from 1, on which a key of a TOML text stands; of its nearest table where it is not found.

    `tomllib` keeps no positions. This reads headers and the starts of lines only, which is enough to name
    a place: tables (also in arrays, whose numbers are the integers in `keys`), dotted and quoted keys. A key
    inside an inline table is named by the line of that table.
    """
    table: tuple[str | int, ...] = ()
    counts: dict[tuple[str | int, ...], int] = {}
    best, best_length = 1, 0

    def inside(path: tuple[str, ...]) -> tuple[str | int, ...]:
        """Put the number of the latest element behind each name of an array of tables."""
        made: tuple[str | int, ...] = ()
        for part in path:
            made = (*made, part)
            if made in counts:
                made = (*made, counts[made])
        return made

    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        array = stripped.startswith("[[")
        if stripped.startswith("["):
            match = _KEY.match(stripped.lstrip("["))
            if match is None:
                continue
            parts = tuple(part.strip("\"'") for part in _PART.findall(match.group(1)))
            if array:
                above = (*inside(parts[:-1]), parts[-1])
                counts[above] = counts.get(above, -1) + 1
            table = path = inside(parts)
        else:
            match = _KEY.match(line)
            if match is None or not line[match.end() :].startswith("="):
                continue
            path = (*table, *(part.strip("\"'") for part in _PART.findall(match.group(1))))
        shared = 0
        while shared < min(len(path), len(keys)) and path[shared] == keys[shared]:
            shared += 1
        if shared > best_length and (shared == len(path) or shared == len(keys)):
            best, best_length = number, shared
    return best
