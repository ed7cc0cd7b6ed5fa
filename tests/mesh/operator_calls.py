"""Admin calls of an operator, and checks of their responses."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from mesh.state import configuration
from mesh.state.configuration import Item

if TYPE_CHECKING:
    from mesh_world import World


class InvariantViolation(AssertionError):
    """Raised when an invariant does not hold."""


def service(name: str, version: int, max_conns: int = 8) -> dict[str, Any]:
    return {"name": name, "health_path": "/health", "max_conns": max_conns, "revision": f"r{version}"}


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
    """Returns the body of an admin call."""
    found: dict[str, Any] = {"upserts": {"cluster_list": list(services)}}
    if routes:
        found["upserts"]["listener_list"] = [{"hostname": "ferry.example", "rule_set": list(routes)}]
    if dropped:
        gone = [{"name": name, "revision": f"r{version}"} for name, version in dropped]
        found["removals"] = {"route_list": gone}
    return json.dumps(found).encode()


def versions_in(body: bytes) -> dict[str, int]:
    """Returns the versions by name in a response to GET."""
    whole = json.loads(body)
    found = {f"service/{entry['name']}": entry for entry in whole["cluster_list"]}
    for listener in whole["listener_list"]:
        found |= {f"route/{rule['name']}": rule for rule in listener["rule_set"]}
    return {name: int(entry["revision"][1:]) for name, entry in found.items()}


def items_in(body: bytes) -> dict[str, Item]:
    """Returns the items in a response to GET."""
    return {
        item.name: item
        for item in configuration.parse_change(json.dumps({"upserts": json.loads(body)}).encode()).ok
    }


def read_back(world: World, body: bytes) -> None:
    """Checks a response to GET against what was acknowledged.

    Every item must have its newest acknowledged version with the acknowledged content, or a version that was
    sent later; and no version may have two acknowledged contents.
    """
    found_versions, found_items = versions_in(body), items_in(body)
    for name, items in world.acknowledged.items():
        newest = max(items, key=lambda item: item.version)
        acknowledged_contents = {item for item in items if item.version == newest.version}
        if len(acknowledged_contents) > 1:
            raise InvariantViolation(f"two contents of {name} r{newest.version} were acknowledged")
        if name in found_versions and found_versions[name] == newest.version and found_items[name] != newest:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged, but another content is read back"
            )
        possible = [item for item in world.sent[name] if item.version >= newest.version]
        dropped = any(not item.content for item in possible)
        if name in found_versions and found_versions[name] < newest.version:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged, but r{found_versions[name]} is read back"
            )
        if name not in found_versions and not dropped:
            raise InvariantViolation(f"{name} r{newest.version} was acknowledged, but is not read back")
        if name in found_versions and found_versions[name] not in {
            item.version for item in possible if item.content
        }:
            raise InvariantViolation(
                f"{name} r{newest.version} was acknowledged as removed, but is read back"
            )
