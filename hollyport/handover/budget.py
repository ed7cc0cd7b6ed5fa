"""What one process may take of the limits that hold for all processes of a sidecar together. No I/O."""

from __future__ import annotations

from typing import NamedTuple

RESERVE = 32  # descriptors for the program itself: loop, signals, log, discovery old and new, files
CONSOLE = 25  # the second address: its listening socket and its callers (hollyport.console.server.MOST)
UNSURE_S = 10.0  # a partner of an older version does not show itself; it has 6 s and 3.7 s to live


class Budget(NamedTuple):
    """Descriptors and memory of one process.

    Two budgets of descriptors: neither a flood of clients nor slow servers may take the other side's. Clients
    may hold a third of all for requests; as many again are left to those that send none.
    """

    clients: int
    servers: int
    memory_mb: int


def budget(sockets: int, memory_mb: int, processes: int, staffed: bool = False) -> Budget:
    """The part of one of so many processes; `staffed`: each has a second address with callers of its own."""
    own = max(sockets // processes - RESERVE - (CONSOLE if staffed else 0), 8)
    clients = own * 2 // 3
    return Budget(clients, own - clients, memory_mb // processes)


def processes(others: int, age_s: float, shared: bool) -> int:
    """How many to reckon with: those that are seen, and in the beginning one that may not show itself."""
    if not shared:
        return 1
    return 1 + max(others, 1 if age_s < UNSURE_S else 0)
