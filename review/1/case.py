"""Case 1: a sidecar freezes for 3 s, and repeats of keys come to it just before `key_window` ends.

Clients send booking holds, each with a key, and all are answered. In another zone the same keys are sent
again 58.5 s later, at a machine which has just frozen, and which wakes again before their deadline. The rule
TWICE is broken if a key runs twice. Exit codes: 1 broken, 0 held, 2 void. With TROUBLE=0 no machine freezes.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins
from stand_ins import Deployment, Machine, Record, Server, Try

SITE_ZONES, SITE_REGION = ("dewan-a", "dewan-b", "dewan-c"), "lembah-klang"
SITE_RETRY_SLACK = "58"
KEY_WINDOW_S = 60.0  # of the site, as in the settings
SETTLE_S = 4.0  # longer than `contact`, 3 s
REPEAT_AFTER_S = 58.5  # shorter than `key_window`
FROZEN_BEFORE_S = 0.2  # the repeats come so long after the machine has frozen
FREEZE_S = 3.0
WORK_S = 0.21  # of a booking hold on the site
DEADLINE_S = 4.0  # of a booking hold on the site
KEYS = 12
SERVERS = {"tahan": 3, "carian": 4, "manifes": 3}  # ten machines: one is the share of `node_freeze`, 0.1
HOLD = "/hold/"


def breaches(servers: list[Server], tries: list[Try]) -> list[str]:
    """Returns the keys which ran twice, though the second try was sent within the window after the first."""
    sent = {one.attempt: one for one in tries}
    runs = defaultdict(list)
    for run in sorted((run for server in servers for run in server.runs), key=lambda run: run["at"]):
        runs[run["key"]].append(run)
    made = []
    for key, found in runs.items():
        if len(found) < 2:
            continue
        first, second = sent[found[0]["attempt"]], sent[found[1]["attempt"]]
        gap_s = second.sent_at - first.sent_at
        if gap_s < KEY_WINDOW_S:
            made.append(
                f"key {key} ran twice: {first.attempt} and, sent {gap_s:.1f} s later, {second.attempt}; the "
                f"clients got {first.status} {first.seal} and {second.status} {second.seal}"
            )
    return made


async def send_holds(machine: Machine, record: Record) -> list[Try]:
    """Sends one booking hold for each key, all at once."""
    return await asyncio.gather(
        *(
            stand_ins.send_request(
                machine, record, "POST", f"{HOLD}{number}", DEADLINE_S, f"k-{number}", b"seat 12"
            )
            for number in range(KEYS)
        )
    )


async def configure(made: Deployment, record: Record) -> None:
    """Sends the first configuration, and waits until the sidecars are ready."""
    rules = [stand_ins.rule("hold", "idempotent", HOLD, "tahan", 7, "4s", "600ms")]
    change = stand_ins.first_call(rules, list(SERVERS))
    if await stand_ins.send_configuration(made.controllers, record, change) != 200:
        raise stand_ins.Void("the first configuration was not acknowledged")
    await made.wait_until_ready(*made.sidecars)


async def send_twice(made: Deployment, record: Record, trouble: bool) -> list[Try]:
    """Sends the holds at one machine, and again at a machine of another zone, which is frozen by then."""
    first_machine, second_machine = made.sidecars[:2]
    sent_at = time.monotonic()
    tries = await send_holds(first_machine, record)
    if any(one.status != 200 for one in tries):
        raise stand_ins.Void("a hold was not served")
    await asyncio.sleep(sent_at + REPEAT_AFTER_S - FROZEN_BEFORE_S - time.monotonic())
    if trouble:
        made.signal(second_machine, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_BEFORE_S)
    repeats = asyncio.create_task(send_holds(second_machine, record))
    await asyncio.sleep(FREEZE_S - FROZEN_BEFORE_S)
    if trouble:
        made.signal(second_machine, signal.SIGCONT)
    return tries + await repeats


async def play(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Plays the case and returns the breaches of TWICE."""
    made = Deployment(folder, record, SERVERS, zones=SITE_ZONES, region=SITE_REGION)
    try:
        machines = [*made.controllers, *made.sidecars]
        for machine in machines:
            machine.bounds["retry_slack"] = SITE_RETRY_SLACK
        await made.start(*machines)
        await made.wait_until_ready(*made.controllers)
        servers = [Server(machine, record, work_s=WORK_S) for machine in made.sidecars]
        for server in servers:
            await server.start()
        await configure(made, record)
        await asyncio.sleep(SETTLE_S)
        tries = await send_twice(made, record, trouble)
        for server in servers:
            await server.end()
    finally:
        await made.kill(*made.controllers, *made.sidecars)
    return breaches(servers, tries)


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(Path(__file__).resolve().parent, play))
