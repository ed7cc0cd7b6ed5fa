"""An operator's calls, and what is asked of the answers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from mesh.state import configuration
from mesh.state.configuration import Item

if TYPE_CHECKING:
    from mesh_world import World


class InvariantViolation(AssertionError):
    """A rule that did not hold."""


def service(name: str, version: int, most: int = 8) -> dict[str, Any]:
    return {"name": name, "health_path": "/health", "max_conns": most, "revision": f"r{version}"}


def route(name: str, version: int, prefix: str, to: str = "berths", timeout: str = "2s") -> dict[str, Any]:
    return {
        "name": name,
        "variant": "pure",
        "revision": f"r{version}",
        "matcher": {"path_prefix": prefix},
        "effect": {"service": to, "timeout": timeout},
    }


def change(
    services: Iterable[Any] = (), routes: Iterable[Any] = (), dropped: Iterable[tuple[str, int]] = ()
) -> bytes:
    """An operator's call."""
    found: dict[str, Any] = {"upserts": {"cluster_list": list(services)}}
    if routes:
        found["upserts"]["listener_list"] = [{"hostname": "ferry.example", "rule_set": list(routes)}]
    if dropped:
        gone = [{"name": name, "revision": f"r{version}"} for name, version in dropped]
        found["removals"] = {"route_list": gone}
    return json.dumps(found).encode()


def standing(body: bytes) -> dict[str, int]:
    """Versions by name, of what GET answered."""
    whole = json.loads(body)
    found = {f"service/{entry['name']}": entry for entry in whole["cluster_list"]}
    for listener in whole["listener_list"]:
        found |= {f"route/{rule['name']}": rule for rule in listener["rule_set"]}
    return {name: int(entry["revision"][1:]) for name, entry in found.items()}


def contents(body: bytes) -> dict[str, Item]:
    """What GET answered, as items."""
    return {
        item.name: item
        for item in configuration.parse_change(json.dumps({"upserts": json.loads(body)}).encode()).ok
    }


def read_back(world: World, body: bytes) -> None:
    """Every acknowledged item at its newest acknowledged version, with the content that was acknowledged, or
    at one sent later; and of no version were two contents acknowledged."""
    there, stands = standing(body), contents(body)
    for name, items in world.acked.items():
        newest = max(items, key=lambda item: item.version)
        same = {item for item in items if item.version == newest.version}
        if len(same) > 1:
            raise InvariantViolation(f"two contents of {name} r{newest.version} were acknowledged")
        if name in there and there[name] == newest.version and stands[name] != newest:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged, and another content is read back"
            )
        later = [item for item in world.sent[name] if item.version >= newest.version]
        dropped = any(not item.content for item in later)
        if name in there and there[name] < newest.version:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged, and r{there[name]} is read back"
            )
        if name not in there and not dropped:
            raise InvariantViolation(f"{name} r{newest.version} was acknowledged, and is not read back")
        if name in there and there[name] not in {item.version for item in later if item.content}:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged as dropped, and is read back"
            )
