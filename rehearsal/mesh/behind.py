"""The mesh's own program behind a relay: `python -m rehearsal.mesh.behind HOST PORT BEHIND ROLE`.

Its connection is told to all as HOST:PORT, where the rig's relay listens; the process itself listens at
BEHIND, and dials others from HOST, by which the relay knows it. All else is `python -m mesh ROLE` as it is.
"""

from __future__ import annotations

import asyncio
import runpy
import sys
from typing import Any

import uvloop


def main() -> None:
    """Run the program on a loop that moves its connection."""
    host, port, behind = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])

    async def create_connection(loop: Any, factory: Any, *where: Any, **how: Any) -> Any:
        if where[1:] == (port,):
            how["local_addr"] = host, 0
        return await uvloop.Loop.create_connection(loop, factory, *where, **how)

    async def create_server(loop: Any, factory: Any, *where: Any, **how: Any) -> Any:
        if where == (host, port):
            where = host, behind
        return await uvloop.Loop.create_server(loop, factory, *where, **how)

    moved = {"create_connection": create_connection, "create_server": create_server}

    def run(work: Any) -> None:
        with asyncio.Runner(loop_factory=type("Loop", (uvloop.Loop,), moved)) as runner:
            runner.run(work)

    vars(uvloop)["run"] = run
    sys.argv = ["mesh", *sys.argv[4:]]
    runpy.run_module("mesh", run_name="__main__")


if __name__ == "__main__":
    main()
