"""A process ends within its grace after SIGTERM, even if its disk hangs. Real processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from controller_process import SETTINGS, START_S, fetched, free_ports
from plays import room

GRACE_S = 6.0
HANG_S = 30.0
HANGING_DISK = f"""
import os, runpy, sys, time
sync = os.fsync
def hang(handle):
    if os.path.exists(os.environ["DISK_HANGS"]):
        time.sleep({HANG_S})
    sync(handle)
os.fsync = hang
sys.argv = ["mesh", "controller"]
runpy.run_module("mesh", run_name="__main__", alter_sys=True)
"""
CHANGE = b'{"upserts":{"cluster_list":[{"name":"a","health_path":"/health","max_conns":8,"revision":"r1"}]}}'


def test_a_process_with_a_hanging_disk_ends_within_its_grace(tmp_path: Path) -> None:
    peer, control = free_ports(2)
    path, hangs = tmp_path / "settings.toml", tmp_path / "hangs"
    path.write_text(SETTINGS.format(peer=peer, control=control, folder=tmp_path / "disk"))
    environment = {**os.environ, "HOLLYPORT_NODE_FILE": str(path), "DISK_HANGS": str(hangs)}
    with room():
        process = subprocess.Popen([sys.executable, "-c", HANGING_DISK], env=environment)
        try:
            assert "epoch" in fetched(f"http://127.0.0.1:{control}/-/status", START_S)
            hangs.touch()
            change = subprocess.Popen(
                [sys.executable, "-c", _patch(control)], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
            change.wait(START_S)
            process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            assert process.wait(HANG_S) == 0
            assert time.monotonic() - began < GRACE_S
        finally:
            process.kill()
            process.wait()


def _patch(control: int) -> str:
    """Returns a program that sends a change and waits up to a second for the response."""
    return (
        "import urllib.request as r;"
        f"r.urlopen(r.Request('http://127.0.0.1:{control}/-/config', {CHANGE!r}, method='PATCH'), timeout=1)"
    )
