"""Plays of the rehearsal kit as tests start them: in a process of its own, on a daemon that may be broken."""

from __future__ import annotations

import fcntl
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent
LIMIT_S = 120
ROOM = max(2, (os.cpu_count() or 2) // 2)  # plays side by side, over all workers of one run of the tests


@contextmanager
def room() -> Iterator[None]:
    """Room for one play of real processes. Judges measure time: with a dozen plays at once a sound daemon was
    kept from a processor for a quarter of a second and failed. Places are taken in turn, and waited for."""
    run = os.environ.get("PYTEST_XDIST_TESTRUNUID", str(os.getpid()))
    folder = Path(tempfile.gettempdir()) / f"plays-{run}"
    folder.mkdir(exist_ok=True)
    with open(folder / "turn", "a+") as turn:
        fcntl.flock(turn, fcntl.LOCK_EX)
        turn.seek(0)
        number = len(turn.read())
        turn.write("x")
        turn.flush()
        fcntl.flock(turn, fcntl.LOCK_UN)
    with open(folder / f"place-{number % ROOM}", "a") as place:
        fcntl.flock(place, fcntl.LOCK_EX)
        yield


def played(scenario: str, folder: Path, daemon: str = "", words: tuple[str, ...] = ()) -> tuple[int, dict]:
    """Play a scenario, by name or path; exit code and report. `daemon`: a program of these tests and its
    words."""
    out = folder / f"{Path(scenario).stem}-{daemon.rpartition(' ')[2]}.json"
    told = [sys.executable, "-m", "rehearsal", "run", scenario, "--quiet", "--json", str(out), *words]
    if daemon:
        told += ["--daemon", f"{sys.executable} {daemon}"]
    with room():
        done = subprocess.run(told, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S)
    assert out.exists(), done.stdout + done.stderr
    return done.returncode, json.loads(out.read_text())
