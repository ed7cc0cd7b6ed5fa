"""The servers that sidecars have registered, which a sidecar is told of when it starts again.

A server names its service only in its heartbeats. A sidecar that has just started, and has had none yet, can
ask the server beside it for its instance id, but not whether that is a server of its service: other services
use the addresses of servers that have ended. An earlier incarnation of the sidecar knew. As each start of a
server has an id of its own, what was true of an id once remains true.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from mesh.control.context import Context
from mesh.transport.messages import FIRST_RECORD_NUMBER, KnownServer, SidecarRecord

RECORD_KIND = "server"  # on disk
MIN_VERSION = 5  # older sidecars may have registered a server of another service
MAX_SIDECARS = 4096  # for which a server is remembered; those that registered one longest ago are forgotten


class KnownServers:
    """The last server that each sidecar has registered. It is on disk, as all processes may end at once."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._servers: OrderedDict[str, KnownServer] = OrderedDict()  # by sidecar

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, sidecar: str) -> KnownServer | None:
        """Returns the last server that a sidecar has registered, if any."""
        return self._servers.get(sidecar)

    def learn(self, record: SidecarRecord) -> None:
        """Remembers the server that a sidecar registers, or that its server has ended.

        A sidecar's first record names no server: it may still be the one that is remembered.
        """
        if record.version < MIN_VERSION:
            return
        server = KnownServer(record.service, record.instance)
        is_news = (
            server != self._servers.get(record.node) if record.instance else record.node in self._servers
        )
        if is_news and (record.instance or record.number > FIRST_RECORD_NUMBER):
            self._put(record.node, server)
            self._context.write(_row(record.node, server))

    def load(self, record: list[Any]) -> None:
        """Applies one record from disk. Records are loaded oldest first."""
        _, sidecar, service, instance = record
        self._put(sidecar, KnownServer(service, instance))

    def records(self) -> list[list[Any]]:
        """Returns the records of all servers."""
        return [_row(sidecar, server) for sidecar, server in self._servers.items()]

    def _put(self, sidecar: str, server: KnownServer) -> None:
        self._servers.pop(sidecar, None)
        if server.instance:
            self._servers[sidecar] = server
        while len(self._servers) > MAX_SIDECARS:
            self._servers.popitem(last=False)


def _row(sidecar: str, server: KnownServer) -> list[Any]:
    return [RECORD_KIND, sidecar, server.service, server.instance]
