"""One instance as a source tells it, whatever the source's own words for it are."""

from __future__ import annotations

from typing import NamedTuple

from hollyport.settings.config import Address

UP = "up"  # takes requests
DRAINING = "draining"  # told to be down, out of service or draining: finishes what it has
WAITING = "waiting"  # starting, or nothing is known: gets nothing new, and nobody has said that it drains


class Record(NamedTuple):
    """One instance. `identity` is unique within its source and new with each process, as far as the source
    knows."""

    identity: str
    address: Address
    status: str
    hall: int = -1  # number in the settings, -1 where it is none of them
    kind: int = -1
    group: int = 0
    weight: float = 1.0
    started_ns: int = 0  # Unix time; 0: long ago, or not told
    protocol: str = ""  # what it speaks, as hollyport.lists.pools names it; "" where that is not told


class Change(NamedTuple):
    """What a source has to say of one instance: its record, or that it is gone."""

    identity: str
    record: Record | None
