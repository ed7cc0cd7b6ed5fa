"""A keyed request that a standing process reads late, by real processes: its key still runs once."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from plays import room
from small_mesh import SmallMesh, send, small_mesh

from mesh.state.idempotency import MAX_REQUEST_AGE_S
from rehearsal.mesh import wire
from rehearsal.mesh.field import Machine

KEY_WINDOW_S = 3.0
REPEAT_AFTER_S = 2.5  # within the window
FROZEN_BEFORE_S = 0.1  # the repeats are sent so long after the freeze has begun
SHORT_FREEZE_S = 1.5  # until after the window's end
LONG_FREEZE_S = KEY_WINDOW_S + MAX_REQUEST_AGE_S  # until after all grants have expired
READ_S = 2.0  # time for the thawed processes to run what they read
DEADLINE_S = 30.0
KEYS = 6
ROUNDS = 20  # a claim is refused if the disks of a busy machine take longer than 80 ms
ROUND_PAUSE_S = 0.3


async def send_all(machine: Machine, keys: list[str], attempt: str) -> list[wire.Message]:
    """Sends one request for each key, all at once."""
    return await asyncio.gather(*(send(machine, f"{attempt}-{key}", DEADLINE_S, key) for key in keys))


async def run_all(machine: Machine) -> tuple[float, list[str]]:
    """Runs some keys; returns when their requests were sent, and the keys. Each round has keys of its own."""
    for number in range(ROUNDS):
        keys = [f"k{number}-{n}" for n in range(KEYS)]
        sent_at = time.monotonic()
        if all(answer.status == 200 for answer in await send_all(machine, keys, "first")):
            return sent_at, keys
        await asyncio.sleep(ROUND_PAUSE_S)
    raise AssertionError(f"in none of {ROUNDS} rounds all keys were run")


async def repeat_at_frozen(
    mesh: SmallMesh, frozen: list[Machine], freeze_s: float
) -> tuple[list[str], asyncio.Task[list[wire.Message]]]:
    """Runs some keys, and repeats them within the window while some machines stand still."""
    first, second = mesh.callers
    sent_at, keys = await run_all(first)
    await asyncio.sleep(sent_at + REPEAT_AFTER_S - FROZEN_BEFORE_S - time.monotonic())
    for machine in frozen:
        mesh.field.freeze(machine)
    await asyncio.sleep(FROZEN_BEFORE_S)
    assert time.monotonic() < sent_at + KEY_WINDOW_S, "the repeats are not sent within the window"
    repeats = asyncio.create_task(send_all(second, keys, "second"))
    await asyncio.sleep(freeze_s)
    for machine in frozen:
        mesh.field.freeze(machine, False)
    await asyncio.sleep(READ_S)
    return keys, repeats


async def play(folder: Path, at_entry: bool, freeze_s: float) -> None:
    """Plays a freeze of the sidecar that the clients send to, or of all those beside the servers."""
    async with small_mesh(folder, KEY_WINDOW_S) as mesh:
        frozen = mesh.callers[1:] if at_entry else mesh.called
        keys, repeats = await repeat_at_frozen(mesh, frozen, freeze_s)
        answers = await asyncio.wait_for(repeats, READ_S)
        runs = [arrival for arrival in mesh.history.arrivals if arrival.ran and arrival.key in keys]
        assert sorted(run.key for run in runs) == sorted(keys)
        if at_entry and freeze_s == SHORT_FREEZE_S:
            given = {(answer.status, answer.body) for answer in answers if answer.status != 503}
            assert given and given <= {(200, run.body) for run in runs}, "not the first answers"


@pytest.mark.parametrize("freeze_s", [SHORT_FREEZE_S, LONG_FREEZE_S])
@pytest.mark.parametrize("at_entry", [True, False])
def test_a_repeat_sent_within_the_window_runs_nothing_however_late_it_is_read(
    tmp_path: Path, at_entry: bool, freeze_s: float
) -> None:
    # guards against keys that run twice, as a repeat waited in the kernel until its key was forgotten
    with room():
        asyncio.run(play(tmp_path, at_entry, freeze_s))
