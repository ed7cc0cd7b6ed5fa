"""Make the sidecar's environment and byte code, once, from the project's root: `python3 deploy/build.py`.

An environment counts by what is in it, never by its folder: one that was cut off, or that another build is
still making, is there as well. Builds of one folder wait for each other; the kernel lets go of the lock of
one that is killed. It is made in place, as the scripts in it name the folder.
"""

from __future__ import annotations

import compileall
import fcntl
import subprocess
import sys
import venv
from pathlib import Path

NAME = ".venv"  # what `run` and `sim` of the deploy file start from
STAMP = "built-from"  # in it: empty while it is made, and last of all what it was made of
CODE = ("hollyport", "dunefield")
PROBE = """
import importlib, importlib.metadata, sys
for pin in sys.argv[1:]:
    name, version = pin.split("==")
    assert importlib.metadata.version(name) == version
    importlib.import_module(name)
"""


def pins(requirements: str) -> list[str]:
    """The pinned packages of a requirements file, as `name==version`."""
    lines = (line.partition("#")[0].strip() for line in requirements.splitlines())
    return [line for line in lines if line]


def whole(environment: Path, requirements: str) -> bool:
    """Whether an environment has what is needed. One that was made here says whether it was finished; each is
    asked for the packages, as the interpreter that it leans on may be another one by now."""
    python = environment / "bin" / "python"
    try:
        stamp: str | None = (environment / STAMP).read_text(encoding="utf-8")
    except OSError:
        stamp = None
    if stamp is not None and stamp != requirements:
        return False
    try:
        asked = [str(python), "-c", PROBE, *pins(requirements)]
        done = subprocess.run(asked, stderr=subprocess.DEVNULL, check=False)
    except OSError:
        return False  # no interpreter, or one whose own installation is gone
    return done.returncode == 0


def make(environment: Path, requirements: str) -> None:
    """An environment with the pinned packages in it, in place of what was there."""
    venv.create(environment, clear=True, symlinks=True, with_pip=True)
    (environment / STAMP).touch()
    pip = [str(environment / "bin" / "python"), "-m", "pip", "-q", "install", *pins(requirements)]
    subprocess.run(pip, check=True)
    (environment / STAMP).write_text(requirements, encoding="utf-8")


def build(root: Path) -> int:
    """Make what is missing; return the exit status."""
    requirements = (root / "requirements.txt").read_text(encoding="utf-8")
    if not whole(root / NAME, requirements):
        with (root / f"{NAME}.lock").open("w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            if not whole(root / NAME, requirements):  # else another build made it while this one waited
                make(root / NAME, requirements)
    # The file system is read-only later, and restarts are on the clock.
    return int(not all(compileall.compile_dir(root / name, quiet=1) for name in CODE))


if __name__ == "__main__":
    sys.exit(build(Path(__file__).resolve().parent.parent))
