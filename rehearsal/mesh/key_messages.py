"""The messages by which servers are given shard keys, as the stand-in servers read and write them. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

from rehearsal.mesh.key_holds import GrantRow, HoldRow, ReleasedRow
from rehearsal.mesh.key_ranges import ALL_KEYS, KeyRange

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


class Grant(NamedTuple):
    """A call that gives keys to a server, or renews them."""

    row: GrantRow
    hold_s: float


class Release(NamedTuple):
    """A call that takes keys back."""

    keys: KeyRange
    fence: int


class HeartbeatGrants(NamedTuple):
    """All that a server is to hold, as the answer to a heartbeat tells it."""

    rows: list[GrantRow]
    hold_s: float


def parse_grant(body: bytes, hold_max_s: float) -> Grant | None:
    """Returns the grant in the body of a call, or None if it is malformed."""
    try:
        raw = json.loads(body)
        keys = _key_range(raw["source"], raw["target_version"])
        row = GrantRow(keys, _whole(raw["fence"]), _text(raw.get("handover", "")))
        return Grant(row, _hold_time(raw["hold"], hold_max_s))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def parse_release(body: bytes) -> Release | None:
    """Returns the release in the body of a call, or None if it is malformed."""
    try:
        raw = json.loads(body)
        return Release(_key_range(raw["source"], raw["target_version"]), _whole(raw["fence"]))
    except (ValueError, KeyError, TypeError):
        return None


def parse_heartbeat_answer(body: bytes, hold_max_s: float) -> HeartbeatGrants | None:
    """Returns what the answer to a heartbeat grants, or None if it has no valid `holds`."""
    try:
        raw = json.loads(body)
        rows = [
            GrantRow(_key_range(first, last), _whole(fence), _text(handover))
            for first, last, fence, handover in raw["holds"]
        ]
        return HeartbeatGrants(rows, _hold_time(raw["hold"], hold_max_s))
    except (ValueError, KeyError, TypeError):
        return None


def heartbeat_lists(held: Iterable[HoldRow], released: Iterable[ReleasedRow]) -> dict[str, Any]:
    """Returns the two lists that each heartbeat of a server that holds keys carries."""
    return {
        "holds": [[*row.keys, row.fence] for row in held],
        "released": [[*row.keys, row.handover] for row in released],
    }


def parse_shard_key(text: str) -> int | None:
    """Returns the number in a request's `X-Shard-Key`, or None if it isn't a key."""
    if not (text.isascii() and text.isdigit()):
        return None
    key = int(text)
    return key if key in ALL_KEYS else None


def _whole(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _key_range(first: Any, last: Any) -> KeyRange:
    keys = KeyRange(_whole(first), _whole(last))
    if not keys.first <= keys.last <= ALL_KEYS.last:
        raise ValueError(f"{keys} is not a range of keys")
    return keys


def _hold_time(value: Any, hold_max_s: float) -> float:
    match = DURATION_PATTERN.fullmatch(value)
    if match is None:
        raise ValueError(f"{value!r} is not a time")
    seconds = float(match[1]) / (1000 if match[2] == "ms" else 1)
    if not 0 < seconds <= hold_max_s:
        raise ValueError(f"{value!r} is not a time for which keys may be held")
    return seconds
