"""The deployment file of the mesh: the packages that a clean machine needs, and the roles."""

from __future__ import annotations

import gc
import re
import shlex
import tomllib
from pathlib import Path

from mesh.__main__ import Commands

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PROVIDERS = {"python3": "python3", "pip": "python3-pip", "[": "coreutils"}
PREINSTALLED = {"coreutils"}  # on every Debian system


def called_programs(command: str) -> set[str]:
    """Returns the programs that a shell command calls, and the modules that it runs by `-m`."""
    found = set()
    for part in re.split(r"\|\||&&|;|\|", command):
        words = shlex.split(part)
        found.add(words[0])
        if "-m" in words:
            found.add(words[words.index("-m") + 1])
    return found


def test_the_packages_cover_the_programs_that_build_and_start_call() -> None:
    programs = called_programs(DEPLOY["build"]) | {
        role["run"].split()[0] for role in DEPLOY["roles"].values()
    }
    assert {PROVIDERS[program] for program in programs} - PREINSTALLED == set(DEPLOY["packages"])


def test_the_roles_are_subcommands() -> None:
    for role in DEPLOY["roles"].values():
        assert role["run"].split()[:3] == ["python3", "-m", "mesh"]
        assert callable(getattr(Commands, role["run"].split()[3]))
        assert role["run"].split()[4:] == ["--metrics", role["metrics"]]


def test_importing_the_program_leaves_garbage_collection_on() -> None:
    # Commands is imported above. When the import turned garbage collection off, tests that ran later in the
    # same worker failed.
    assert gc.isenabled()
