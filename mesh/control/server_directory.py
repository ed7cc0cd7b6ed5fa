"""The servers that sidecars have registered with one controller, and since when each is missing. No I/O.

Times are seconds of one process's monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from mesh.state.shards import Owner
from mesh.transport.messages import SidecarRecord


class ServerNode(NamedTuple):
    """What is known of the server beside one sidecar."""

    service: str
    owner: Owner  # without an instance if the sidecar knows of no server
    is_open: bool  # whether it accepts requests, by its sidecar's last record
    slots: int
    open_since: float  # meaningless while it is closed
    missing_since: float | None = None  # without a connection of the sidecar, or without an instance

    def is_open_for(self, service: str) -> bool:
        """Whether it is a server of a service that can be given keys."""
        return self.is_open and self.missing_since is None and self.service == service


class ServerDirectory:
    """The nodes of all registered sidecars."""

    def __init__(self) -> None:
        self.nodes: dict[str, ServerNode] = {}

    def register(self, now: float, record: SidecarRecord) -> bool:
        """Handles a record that came on a sidecar's connection; returns whether anything has changed."""
        owner = Owner(record.node, record.instance)
        known = self.nodes.get(record.node)
        is_open = record.is_open and bool(record.instance)
        was_open = known is not None and known.owner == owner and known.is_open
        missing_since = None
        if not record.instance:
            missing_since = now if known is None or known.missing_since is None else known.missing_since
        self.nodes[record.node] = ServerNode(
            record.service,
            owner,
            is_open,
            max(1, record.slots),
            known.open_since if known is not None and (was_open or not is_open) else now,
            missing_since,
        )
        return self.nodes[record.node] != known

    def disconnect(self, now: float, name: str) -> None:
        """Handles the end of a sidecar's last connection."""
        node = self.nodes.get(name)
        if node is not None and node.missing_since is None:
            self.nodes[name] = node._replace(missing_since=now)

    def remove(self, name: str) -> None:
        """Forgets a sidecar that has been without a connection for long."""
        self.nodes.pop(name, None)
