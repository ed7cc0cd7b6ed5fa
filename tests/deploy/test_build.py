"""The build of the deploy file: several at once in one fresh folder, and one cut off at each of its steps."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
BUILD = ROOT / "deploy" / "build.py"
SPEC = importlib.util.spec_from_file_location("deploy_build", BUILD)
assert SPEC is not None and SPEC.loader is not None
build = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(build)

# The build as it is, but for pip: it takes its time over a package of two files and asks no registry.
DRIVER = f"""
import importlib.util, os, subprocess, sys, time
from pathlib import Path
spec = importlib.util.spec_from_file_location("build", {str(BUILD)!r})
build = importlib.util.module_from_spec(spec)
spec.loader.exec_module(build)
root, cut = Path(sys.argv[1]), sys.argv[2]
real_run, real_create = subprocess.run, build.venv.create

def stop(step):
    if step == cut:
        os._exit(9)

def create(target, **told):
    stop("nothing made yet")
    target.mkdir(exist_ok=True)
    stop("an empty folder")
    (target / "bin").mkdir(exist_ok=True)
    (target / "bin" / "python").touch()
    stop("an interpreter that can't be run")
    real_create(target, **{{**told, "with_pip": False}})
    stop("an interpreter and no packages")

def run(command, **told):
    if "pip" not in command:
        return real_run(command, **told)
    with (root / "pips").open("a") as log:
        log.write("1")
    site = next((root / ".venv" / "lib").glob("python3*")) / "site-packages"
    info = site / "needed-1.0.dist-info"
    info.mkdir()
    (info / "METADATA").write_text("Metadata-Version: 2.1\\nName: needed\\nVersion: 1.0\\n")
    stop("a package that is not there yet")
    time.sleep(0.3)
    (site / "needed.py").write_text("WHOLE = True\\n")
    stop("all but the stamp")
    return subprocess.CompletedProcess(command, 0)

build.venv.create, build.subprocess.run = create, run
sys.exit(build.build(root))
"""
CUTS = [
    "nothing made yet",
    "an empty folder",
    "an interpreter that can't be run",
    "an interpreter and no packages",
    "a package that is not there yet",
    "all but the stamp",
]


def start(root: Path, cut: str = "") -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-c", DRIVER, str(root), cut])


def starts(root: Path) -> bool:
    """Whether what the build left can be run."""
    command = [str(root / ".venv" / "bin" / "python"), "-c", "import needed; assert needed.WHOLE"]
    return subprocess.run(command, check=False).returncode == 0


@pytest.fixture
def root(tmp_path: Path) -> Path:
    (tmp_path / "requirements.txt").write_text("# the pins\nneeded==1.0\n")
    for name in build.CODE:
        (tmp_path / name).mkdir()
        (tmp_path / name / "__init__.py").write_text("")
    return tmp_path


@pytest.mark.parametrize("cut", CUTS)
def test_a_build_that_was_cut_off_is_made_again(root: Path, cut: str) -> None:
    assert start(root, cut).wait(60) == 9
    pips = root / "pips"
    before = len(pips.read_text()) if pips.exists() else 0
    assert start(root).wait(60) == 0
    assert starts(root)
    assert len(pips.read_text()) == before + 1  # what was not finished is not trusted, whatever it holds


def test_builds_begun_at_once_each_leave_what_can_be_started(root: Path) -> None:
    for running in [start(root) for _ in range(4)]:
        assert running.wait(60) == 0
        assert starts(root)
    assert (root / "pips").read_text() == "1"


def test_an_environment_of_older_pins_is_made_anew(root: Path) -> None:
    assert start(root).wait(60) == 0
    (root / ".venv" / build.STAMP).write_text("needed==0.9\n")
    assert start(root).wait(60) == 0
    assert (root / "pips").read_text() == "11"


def test_an_environment_made_by_hand_is_kept(root: Path) -> None:
    assert start(root).wait(60) == 0
    (root / ".venv" / build.STAMP).unlink()
    (root / ".venv" / "mine").touch()
    assert start(root).wait(60) == 0
    assert (root / ".venv" / "mine").exists()


def test_the_deploy_file_builds_with_it() -> None:
    assert 'build = "python3 deploy/build.py"' in (ROOT / "deploy" / "balancer.toml").read_text()
    assert [pin.split("==")[0] for pin in build.pins((ROOT / "requirements.txt").read_text())] == [
        "httptools",
        "uvloop",
    ]
