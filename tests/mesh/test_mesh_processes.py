"""The mesh as real processes on loopback: short runs with one fault each, whose history is checked."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from plays import room

from rehearsal.mesh import play
from rehearsal.mesh.caller import Operation
from rehearsal.mesh.judge import History, judge
from rehearsal.mesh.play import Part, Rig

RECOVERY_TIMEOUT_S = 3.0  # sidecars dial each controller again once a second
MAX_RUNS = 5  # a run that violates something while the test itself runs late is void, and is repeated


async def wait_for_answers(rig: Rig, before: list[Operation]) -> None:
    """Waits until keys from before the fault are answered again.

    A client's four tries are over within half a second, but a sidecar dials a controller that was away only
    once a second, so a controller that is ready may not have been dialled yet.
    """
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while not any(one.good for one in await rig.repeat(before)):
        assert time.monotonic() < deadline, f"no key from before was answered within {RECOVERY_TIMEOUT_S:g} s"
        await asyncio.sleep(0.1)


def run_with_fault(
    folder: Path,
    fault: Callable[[Rig, Part], Awaitable[None]],
    within: Callable[[Rig], Awaitable[None]] = Rig.more,
    relayed: bool = False,
) -> History:
    """Runs the mesh with a fault and an activity during it; no invariant may be violated."""

    async def body(rig: Rig) -> None:
        async with rig:
            await rig.more()
            before = rig.keyed[:20]
            await fault(rig, lambda: within(rig))
            await wait_for_answers(rig, before)
            await rig.more()
            await rig.finish()

    for number in range(MAX_RUNS):
        (run_folder := folder / str(number)).mkdir()
        rig = Rig(run_folder, relayed=relayed)
        try:
            with room():
                asyncio.run(body(rig))
            assert judge(rig.history) == {}, rig.figures()
            assert len(rig.history.readings) == len(rig.field.controllers)
            return rig.history
        except (AssertionError, TimeoutError):
            if rig.late_ms <= play.LATE_MS:
                raise
    raise AssertionError(f"void {MAX_RUNS} times: the test itself ran {rig.late_ms:.0f} ms late")


def test_without_a_fault(tmp_path: Path) -> None:
    history = run_with_fault(tmp_path, play.none, lambda rig: asyncio.sleep(3.0))
    assert {one.kind for one in history.tries if one.good} == {"pure", "effectful", "idempotent"}
    assert any(change.status == 400 for change in history.changes if not change.valid)
    assert sum(one.good for one in history.tries) > len(history.tries) / 2


def test_a_controller_is_killed_and_restarts(tmp_path: Path) -> None:
    run_with_fault(tmp_path, play.kill_controller)  # changes are acknowledged and keys run meanwhile


def test_all_controllers_are_killed_and_restart(tmp_path: Path) -> None:
    run_with_fault(tmp_path, play.kill_controllers, lambda rig: rig.more(served=20, keyed=0, acked=0))


def test_a_controller_loses_its_disk(tmp_path: Path) -> None:
    # During the fault another controller is away, so progress depends on what the wiped one has received.
    run_with_fault(tmp_path, play.wipe_controller)


def test_a_server_is_replaced(tmp_path: Path) -> None:
    assert not run_with_fault(tmp_path, play.roll_server).kills


def test_a_sidecar_is_terminated_under_load(tmp_path: Path) -> None:
    assert not run_with_fault(tmp_path, play.term_sidecar).kills  # so no request that was read may be cut off


def test_all_processes_are_killed_right_after_an_acknowledgement(tmp_path: Path) -> None:
    history = run_with_fault(tmp_path, play.kill_all)
    assert len(history.kills) == 7 and history.backs


def test_the_acknowledging_controller_loses_its_disk_while_all_others_are_killed(
    tmp_path: Path,
) -> None:
    history = run_with_fault(tmp_path, play.wipe_after_ack)
    assert len(history.kills) == 3 and history.backs


def test_a_controller_loses_its_disk_while_another_is_away(tmp_path: Path) -> None:
    run_with_fault(tmp_path, play.overlapping_losses, lambda rig: rig.more(served=20, keyed=0, acked=0))


def test_a_controller_is_paused(tmp_path: Path) -> None:
    run_with_fault(tmp_path, play.freeze_controller)


def test_a_controller_and_a_sidecar_are_partitioned_from_the_others(tmp_path: Path) -> None:
    run_with_fault(tmp_path, play.cut, relayed=True)


def test_a_controller_partitioned_from_its_peers_refuses_while_the_others_continue(tmp_path: Path) -> None:
    async def within(rig: Rig) -> None:
        controller = rig.field.controllers[0]
        for _ in range(100):  # its lease is half of `contact`
            if not await controller.ready():
                break
            await asyncio.sleep(0.05)
        assert not await controller.ready(), "ready without contact to a majority"
        await rig.more(served=50, keyed=10, acked=2)

    run_with_fault(tmp_path, play.cut_peers, within, relayed=True)
