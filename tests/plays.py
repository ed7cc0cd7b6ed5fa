"""Plays of the rehearsal kit as tests start them: in a process of its own, on a daemon that may be broken."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
LIMIT_S = 120


def played(scenario: str, folder: Path, daemon: str = "", words: tuple[str, ...] = ()) -> tuple[int, dict]:
    """Play a scenario, by name or path; exit code and report. `daemon`: a program of these tests and its
    words."""
    out = folder / f"{Path(scenario).stem}-{daemon.rpartition(' ')[2]}.json"
    told = [sys.executable, "-m", "rehearsal", "run", scenario, "--quiet", "--json", str(out), *words]
    if daemon:
        told += ["--daemon", f"{sys.executable} {daemon}"]
    done = subprocess.run(told, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S)
    assert out.exists(), done.stdout + done.stderr
    return done.returncode, json.loads(out.read_text())
