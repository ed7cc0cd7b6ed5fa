"""Import contracts: a forbidden import added to a copy of the tree breaks its contract."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FUTURE_IMPORT = "from __future__ import annotations\n"
FORBIDDEN_IMPORTS = [
    ("hollyport/core/ids.py", "import hollyport.nodes.upstream", "Rooms of the daemon"),
    ("hollyport/nodes/carrier.py", "import hollyport.http.heads", "Rooms of the daemon"),
    ("hollyport/bodies/ledger.py", "import hollyport.bodies.flow", "No circles"),
    ("dunefield/server_subset.py", "import dunefield.server_selection", "Each decision knows"),
    ("dunefield/idle_connections.py", "import dunefield.latency_model", "Each decision knows"),
    ("dunefield/client_timeouts.py", "import time", "What decides does no I/O"),
    ("emulator/worth.py", "import hollyport.core.tally", "The emulator plays the decisions"),
    ("hollyport/fleet/membership.py", "import time", "What the fleet decides"),
    ("emulator/members.py", "import hollyport.fleet.part", "The emulator plays the decisions"),
    ("mesh/state/idempotency.py", "import time", "What the mesh decides"),
    ("mesh/proxy/server_queue.py", "import mesh.proxy.sidecar", "The sidecar's arrows"),
    ("mesh/state/quorum.py", "import mesh.control.ballot", "The mesh stands above"),
    ("hollyport/core/ids.py", "import mesh.proxy.endpoints", "Nothing beneath"),
    ("rehearsal/judge.py", "import hollyport.core.tally", "The kit shares wire codecs"),
    ("verify/search.py", "import verify.claims", "The explorer's own arrows"),
    ("verify/claims.py", "import mesh.transport.connection", "The explorer plays"),
    ("mesh/proxy/server_queue.py", "import verify.search", "Nothing but the command"),
    ("mesh/control/ballot.py", "import time", "What the mesh decides"),
    ("mesh/proxy/request_age.py", "import time", "What the mesh decides"),
]


def run_lint(tree: Path) -> subprocess.CompletedProcess[str]:
    executable = Path(sys.executable).parent / "lint-imports"
    env = {**os.environ, "PYTHONPATH": str(tree), "COLUMNS": "200"}
    command = [str(executable), "--no-cache"]
    return subprocess.run(command, cwd=tree, env=env, capture_output=True, text=True, timeout=120)


def copy_tree(folder: Path) -> Path:
    for name in ("command", "dunefield", "hollyport", "mesh", "emulator", "rehearsal", "verify"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / ".importlinter", folder)
    return folder


def test_the_tree_keeps_the_import_contracts(tmp_path):
    done = run_lint(copy_tree(tmp_path))
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.parametrize(("file", "line", "contract"), FORBIDDEN_IMPORTS)
def test_a_forbidden_import_is_found(tmp_path, file, line, contract):
    tree = copy_tree(tmp_path)
    path = tree / file
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace(FUTURE_IMPORT, f"{FUTURE_IMPORT}{line}\n"))
    done = run_lint(tree)
    broken = [row for row in done.stdout.splitlines() if row.endswith("BROKEN")]
    assert done.returncode == 1 and any(contract in row for row in broken), done.stdout
