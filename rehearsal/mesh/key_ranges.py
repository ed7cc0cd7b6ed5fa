"""A map from ranges of shard keys to values. No I/O, no clock."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

LAST_KEY = 65_535  # the highest shard key; the lowest is 0

Value = TypeVar("Value")


class KeyRange(NamedTuple):
    """The shard keys from `first` to `last`, both included."""

    first: int
    last: int

    def __contains__(self, key: object) -> bool:
        return isinstance(key, int) and self.first <= key <= self.last

    def overlaps(self, other: KeyRange) -> bool:
        """Whether any key is in both ranges."""
        return self.first <= other.last and other.first <= self.last

    def intersection(self, other: KeyRange) -> KeyRange:
        """Returns the keys that are in both ranges, which must overlap."""
        return KeyRange(max(self.first, other.first), min(self.last, other.last))

    def without(self, other: KeyRange) -> list[KeyRange]:
        """Returns the keys of this range that are not in the other one, as up to two ranges."""
        if not self.overlaps(other):
            return [self]
        below = KeyRange(self.first, other.first - 1)
        above = KeyRange(other.last + 1, self.last)
        return [part for part in (below, above) if part.first <= part.last]


ALL_KEYS = KeyRange(0, LAST_KEY)


class Row(NamedTuple, Generic[Value]):
    """A range of keys and the value that all of them have."""

    keys: KeyRange
    value: Value


class KeyRangeMap(Generic[Value]):
    """Values by key. Each key has one value or none; neighbouring keys with equal values share a row."""

    def __init__(self) -> None:
        self._rows: list[Row[Value]] = []  # in the order of their keys, without overlaps

    def __bool__(self) -> bool:
        return bool(self._rows)

    def rows(self) -> list[Row[Value]]:
        """Returns all rows, in the order of their keys."""
        return list(self._rows)

    def get(self, key: int) -> Value | None:
        """Returns the value of a key, or None if it has none."""
        for row in self._rows:
            if key in row.keys:
                return row.value
        return None

    def overlapping(self, keys: KeyRange) -> list[Row[Value]]:
        """Returns the rows within a range; rows that reach beyond it are cut to it."""
        return [Row(row.keys.intersection(keys), row.value) for row in self._rows if row.keys.overlaps(keys)]

    def remove(self, keys: KeyRange) -> None:
        """Removes the values of all keys of a range."""
        self._rows = [Row(part, row.value) for row in self._rows for part in row.keys.without(keys)]

    def assign(self, keys: KeyRange, value: Value) -> None:
        """Gives all keys of a range a value, in place of any that they had."""
        self.remove(keys)
        self._rows = _joined(sorted([*self._rows, Row(keys, value)], key=lambda row: row.keys))


def _joined(rows: list[Row[Value]]) -> list[Row[Value]]:
    """Returns ordered rows with equal neighbours made into one."""
    found: list[Row[Value]] = []
    for row in rows:
        before = found[-1] if found else None
        if before is not None and before.keys.last + 1 == row.keys.first and before.value == row.value:
            found[-1] = Row(KeyRange(before.keys.first, row.keys.last), row.value)
        else:
            found.append(row)
    return found
