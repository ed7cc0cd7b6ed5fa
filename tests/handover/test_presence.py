"""Seeing the other process of an upgrade, and what each may take meanwhile."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from hollyport.console.server import MOST
from hollyport.handover.budget import CONSOLE, UNSURE_S, budget, processes
from hollyport.handover.presence import Presence

ROOT = Path(__file__).parent.parent.parent
LIVES = """
import sys, time
from hollyport.handover.presence import Presence
p = Presence(sys.argv[1], "n0"); p.enter(); print("in", flush=True); time.sleep(60)
"""


def partner(folder):
    made = subprocess.Popen([sys.executable, "-c", LIVES, str(folder)], cwd=ROOT, stdout=subprocess.PIPE)
    assert made.stdout.readline() == b"in\n"
    return made


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_a_process_is_seen_while_it_lives_and_its_leftovers_go(tmp_path, end):
    own = Presence(str(tmp_path), "n0")
    own.enter()
    assert own.others() == 0
    other = partner(tmp_path)
    assert own.others() == 1 and Presence(str(tmp_path), "n1").others() == 0
    other.send_signal(end)
    other.wait()
    assert own.others() == 0 and len(os.listdir(tmp_path)) == 1
    own.leave()
    assert not os.listdir(tmp_path)


def test_torn_foreign_and_odd_files_neither_count_nor_stay_in_the_way(tmp_path):
    own = Presence(str(tmp_path), "n0")
    prefix = own._prefix
    (tmp_path / f"{prefix}1-aa.live").write_bytes(b"")  # torn, of a process that is gone
    (tmp_path / f"{prefix}2-bb.born").write_bytes(b'{"format": 0')
    (tmp_path / f"{prefix}3-cc.other").write_bytes(b"a later version's")
    (tmp_path / f"{prefix}4-dd.live").mkdir()
    (tmp_path / f"{prefix}5-ee.live").symlink_to(tmp_path / "nowhere")
    os.mkfifo(tmp_path / f"{prefix}6-ff.live")
    (tmp_path / "someone-elses.live").write_bytes(b"x")
    own.enter()
    assert own.others() == 0
    left = sorted(os.listdir(tmp_path))
    assert "someone-elses.live" in left and f"{prefix}3-cc.other" in left
    assert f"{prefix}1-aa.live" not in left and f"{prefix}2-bb.born" not in left
    own.leave()


def test_a_folder_full_of_leftovers_costs_a_bounded_look_and_empties_in_the_end(tmp_path):
    own = Presence(str(tmp_path), "n0")
    for number in range(500):
        (tmp_path / f"{own._prefix}{number}-x.live").write_bytes(b"")
    own.enter()
    for _ in range(10):
        own.others()
    assert len(os.listdir(tmp_path)) == 1
    own.leave()


def test_a_folder_that_cannot_be_written_is_said_and_costs_nothing_else(tmp_path):
    own = Presence(str(tmp_path / "nosuch"), "n0")
    with pytest.raises(OSError):
        own.enter()
    assert own.others() == 0
    own.leave()


@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_two_halves_are_no_more_than_the_whole(sockets):
    one, two = budget(sockets, 80, 1), budget(sockets, 80, 2)
    assert 2 * (two.clients + two.servers) <= one.clients + one.servers or sockets == 64
    assert 2 * two.memory_mb <= 80 and two.clients > 0 and two.servers > 0


def test_a_partner_that_does_not_show_itself_is_reckoned_with_in_the_beginning():
    assert processes(0, 0.0, shared=False) == 1
    assert processes(0, 1.0, shared=True) == 2
    assert processes(0, UNSURE_S, shared=True) == 1
    assert processes(1, UNSURE_S, shared=True) == 2


def test_the_second_address_has_descriptors_of_its_own():
    """Found on reading: its ring was not taken from anybody's part."""
    plain, staffed = budget(384, 80, 2), budget(384, 80, 2, staffed=True)
    assert CONSOLE == MOST + 1
    assert plain.clients + plain.servers - staffed.clients - staffed.servers == CONSOLE
