"""Case 2: a server crashes for good, and its address goes to a server of another service.

Clients send captures, which every configuration allows at `payments` only. One payments server crashes. Later
than `reuse_after` a server of `pricing` starts at its address. The rule ROUTE is broken if that server runs a
capture. Exit codes: 1 broken, 0 held, 2 void. With TROUBLE=0 no server crashes.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins
from stand_ins import Deployment, Machine, Record, Server, Try

REUSE_S = 3.0  # longer than `reuse_after`, 2 s
BEFORE_S, AFTER_S = 3.0, 60.0
PAUSE_S = 0.1  # between two captures of one client
DEADLINE_S = 0.6
CAPTURE, LOOKUP = "/capture/", "/price/"
SERVICE_OF = {CAPTURE: "payments", LOOKUP: "pricing"}  # by path prefix, in every configuration


async def client(machine: Machine, record: Record, tries: list[Try]) -> None:
    """Sends captures with keys, and price lookups, one after the other."""
    number = 0
    while True:
        number += 1
        key = f"k-{machine.name}-{number}"
        tries.append(
            await stand_ins.send_request(
                machine, record, "POST", f"{CAPTURE}{number}", DEADLINE_S, key, b"12.50"
            )
        )
        tries.append(await stand_ins.send_request(machine, record, "GET", f"{LOOKUP}{number}", DEADLINE_S))
        await asyncio.sleep(PAUSE_S)


def breaches(servers: list[Server], tries: list[Try]) -> list[str]:
    """Returns the runs which no configuration allows."""
    answered = {one.attempt: one.status for one in tries}
    return [
        f"at {run['at']:.2f} s a server of {run['service']} ran {run['method']} {run['target']}, "
        "which goes to "
        f"{service}; its client got {answered.get(run['attempt'], 'no answer yet')}"
        for server in servers
        for run in server.runs
        for prefix, service in SERVICE_OF.items()
        if run["target"].startswith(prefix) and run["service"] != service
    ]


async def configure(made: Deployment, record: Record) -> None:
    """Sends the first configuration, and waits until the sidecars are ready."""
    rules = [
        stand_ins.rule("capture", "idempotent", CAPTURE, "payments", 7, "600ms", "250ms"),
        stand_ins.rule("lookup", "pure", LOOKUP, "pricing", 7, "500ms", "200ms"),
    ]
    if (
        await stand_ins.send_configuration(
            made.controllers, record, stand_ins.first_call(rules, ["payments", "pricing"])
        )
        != 200
    ):
        raise stand_ins.Void("the first configuration was not acknowledged")
    await made.wait_until_ready(*made.sidecars)


async def play(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Plays the case and returns the breaches of ROUTE."""
    async with stand_ins.deployment(folder, record, {"payments": 3, "pricing": 3}) as made:
        await made.start(*made.controllers, *made.sidecars)
        await made.wait_until_ready(*made.controllers)
        servers = [Server(machine, record) for machine in made.sidecars]
        for server in servers:
            await server.start()
        await configure(made, record)
        tries: list[Try] = []
        clients = [asyncio.create_task(client(machine, record, tries)) for machine in made.sidecars]
        await asyncio.sleep(BEFORE_S)
        if trouble:
            await servers[0].end()
        await asyncio.sleep(REUSE_S)
        if trouble:
            servers.append(Server(servers[0].machine, record, service="pricing"))
            await servers[-1].start()
        await asyncio.sleep(AFTER_S)
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for server in servers:
            await server.end()
    if not any(one.status == 200 for one in tries):
        raise stand_ins.Void("nothing was served")
    return breaches(servers, tries)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(Path(__file__).resolve().parent, play))
