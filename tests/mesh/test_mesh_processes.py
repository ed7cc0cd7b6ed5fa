"""The mesh with real processes on loopback: short plays with a fault each, judged by what they leave."""

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

AGAIN_S = 3.0  # all control machines are dialled again once a second by then, whatever was tried before
PLAYS = 5  # a play that breaks something while the rig itself runs late says nothing, and is played again


async def answered_again(rig: Rig, before: list[Operation]) -> None:
    """Keys from before the fault are answered soon after it.

    A client's four tries are over within half a second; a sidecar dials a control machine that was away once
    a second, and a control machine that is ready may not have been dialled yet.
    """
    ends = time.monotonic() + AGAIN_S
    while not any(one.good for one in await rig.repeat(before)):
        assert time.monotonic() < ends, f"no key from before was answered within {AGAIN_S:g} s"
        await asyncio.sleep(0.1)


def played(
    folder: Path,
    fault: Callable[[Rig, Part], Awaitable[None]],
    within: Callable[[Rig], Awaitable[None]] = Rig.more,
    relayed: bool = False,
) -> History:
    """A play with a fault and something that has to go on within it; nothing may be broken."""

    async def whole(rig: Rig) -> None:
        async with rig:
            await rig.more()
            before = rig.keyed[:20]
            await fault(rig, lambda: within(rig))
            await answered_again(rig, before)
            await rig.more()
            await rig.finish()

    for number in range(PLAYS):
        (home := folder / str(number)).mkdir()
        rig = Rig(home, relayed=relayed)
        try:
            with room():
                asyncio.run(whole(rig))
            assert judge(rig.history) == {}, rig.figures()
            assert len(rig.history.readings) == len(rig.field.controllers)
            return rig.history
        except (AssertionError, TimeoutError):
            if rig.late_ms <= play.LATE_MS:
                raise
    raise AssertionError(f"void {PLAYS} times: the rig itself ran {rig.late_ms:.0f} ms late")


def test_calm(tmp_path: Path) -> None:
    history = played(tmp_path, play.none, lambda rig: asyncio.sleep(3.0))
    assert {one.kind for one in history.tries if one.good} == {"pure", "effectful", "idempotent"}
    assert any(change.status == 400 for change in history.changes if not change.valid)
    assert sum(one.good for one in history.tries) > len(history.tries) / 2


def test_a_controller_is_killed_and_comes_back(tmp_path: Path) -> None:
    played(tmp_path, play.kill_controller)  # changes are acknowledged and keys run without it


def test_all_controllers_are_killed_and_restart(tmp_path: Path) -> None:
    played(tmp_path, play.kill_controllers, lambda rig: rig.more(served=20, keyed=0, acked=0))


def test_a_controller_loses_its_disk(tmp_path: Path) -> None:
    # within: another is away, and nothing goes without what it has heard
    played(tmp_path, play.wipe_controller)


def test_a_server_leaves_and_a_new_one_comes(tmp_path: Path) -> None:
    assert not played(tmp_path, play.roll_server).kills


def test_a_sidecar_is_asked_to_end_under_load(tmp_path: Path) -> None:
    assert not played(tmp_path, play.term_sidecar).kills  # so no try may be cut that was read


def test_all_end_right_after_an_acknowledgement(tmp_path: Path) -> None:
    history = played(tmp_path, play.kill_all)
    assert len(history.kills) == 7 and history.backs


def test_the_controller_that_has_just_acknowledged_loses_its_disk_while_all_others_end(
    tmp_path: Path,
) -> None:
    history = played(tmp_path, play.wipe_after_ack)
    assert len(history.kills) == 3 and history.backs


def test_a_controller_loses_its_disk_while_another_is_away(tmp_path: Path) -> None:
    played(tmp_path, play.overlapping_losses, lambda rig: rig.more(served=20, keyed=0, acked=0))


def test_a_controller_stands_still_for_a_while(tmp_path: Path) -> None:
    played(tmp_path, play.freeze_controller)


def test_a_controller_and_a_sidecar_are_cut_from_the_others(tmp_path: Path) -> None:
    played(tmp_path, play.cut, relayed=True)


def test_a_control_machine_cut_from_its_peers_refuses_while_the_others_go_on(tmp_path: Path) -> None:
    async def within(rig: Rig) -> None:
        controller = rig.field.controllers[0]
        for _ in range(100):  # its lease is half of `contact`
            if not await controller.ready():
                break
            await asyncio.sleep(0.05)
        assert not await controller.ready(), "out of contact, and ready"
        await rig.more(served=50, keyed=10, acked=2)

    played(tmp_path, play.cut_peers, within, relayed=True)
