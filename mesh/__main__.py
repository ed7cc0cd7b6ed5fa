"""`python3 -m mesh ROLE`: one program, the role is a subcommand."""

from __future__ import annotations

import gc
import signal

# SIGHUP says that the settings have changed: until they are read, it must not kill.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
if __name__ == "__main__":  # whoever imports this module keeps its collector
    gc.disable()  # nothing that is imported is garbage; collected is from when a role has started

import asyncio
import contextlib
import os
import sys
from typing import Any

import uvloop
from loguru import logger

from mesh import settings

FILE = "HOLLYPORT_NODE_FILE"
ROLES = ("sidecar", "controller")
LOOK_S = 1.0  # how often the settings file is looked at


def _settings(path: str = "") -> settings.Settings:
    """The checked settings, or the end of the process with 2."""
    path = path or os.environ.get(FILE, "")
    try:
        with open(path, encoding="utf-8") as file:
            read = settings.read(file.read())
    except OSError as error:
        print(f"{path or FILE}: {error.strerror}", file=sys.stderr)
        sys.exit(2)
    if read.is_error():
        print(f"{path}: {read.error}", file=sys.stderr)
        sys.exit(2)
    return read.ok


async def _follow(part: Any, path: str, again: asyncio.Event) -> None:
    """Take over the settings file whenever it has changed, told by SIGHUP or not. One that can't be used
    leaves the old in force."""
    seen = _stamp(path)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(again.wait(), LOOK_S)
        stamp = _stamp(path)
        if not again.is_set() and stamp == seen:
            continue
        again.clear()
        seen = stamp
        try:
            with open(path, encoding="utf-8") as file:
                read = settings.read(file.read())
        except OSError as error:
            logger.warning("settings stay: {}", error.strerror)
            continue
        if read.is_error():
            logger.warning("settings stay: {}", read.error)
        elif read.ok != part.settings:
            part.reload_settings(read.ok)
            logger.info("settings taken over")


def _stamp(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


async def _serve(role: str, told: settings.Settings, path: str, metrics: str) -> None:
    loop = asyncio.get_running_loop()
    ending, again = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, again.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    part: Any
    if role == "controller":
        from mesh.control.controller import Controller

        part = Controller(told)
    else:
        from mesh.proxy.sidecar import Sidecar

        part = Sidecar(told)
    await part.start()
    if metrics:
        from mesh.transport.metrics_server import start_metrics_server

        await start_metrics_server(told.ip, metrics, part.metrics)
    gc.freeze()
    gc.enable()
    following = loop.create_task(_follow(part, path, again))
    await ending.wait()
    following.cancel()
    await part.stop()


def _run(role: str, file: str, metrics: str) -> None:
    from mesh import logs

    told = _settings(file)
    if metrics:
        from mesh.transport.metrics_server import parse_port_path

        try:
            parse_port_path(metrics)
        except ValueError as error:
            print(f"--metrics: {error}", file=sys.stderr)
            sys.exit(2)
    logs.start(told.name)
    uvloop.run(_serve(role, told, file or os.environ[FILE], metrics))
    _end_process()


def _end_process() -> None:
    """End at once, with 0. An ordinary end would wait for the thread that writes to the disk, and a disk that
    hangs would keep it beyond its grace."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


class Commands:
    """The mesh's one program; each role is a subcommand."""

    def sidecar(self, file: str = "", metrics: str = "") -> None:
        """Carry requests beside a server. `file`: settings, by default the one the environment names.
        `metrics`: PORT/PATH where its figures are told."""
        _run("sidecar", file, metrics)

    def controller(self, file: str = "", metrics: str = "") -> None:
        """Hold configuration, records and keys on a core machine. `file` and `metrics` as above."""
        _run("controller", file, metrics)

    def plan(self, file: str, json: bool = False) -> None:
        """What a fleet asks of each process and which losses it bears. `file`: the fleet in TOML
        (docs/operators/mesh-plan.md). Needs requirements-kit.txt."""
        from mesh import planner, planner_report

        try:
            with open(file, encoding="utf-8") as opened:
                read = planner.read(opened.read())
        except (OSError, UnicodeDecodeError) as error:
            print(f"{file}: {error}", file=sys.stderr)
            sys.exit(2)
        if read.is_error():
            print(f"{file}: {read.error}", file=sys.stderr)
            sys.exit(2)
        plan = planner.plan(read.ok)
        if json:
            print(planner_report.as_json(plan))
        else:
            planner_report.print_table(plan)

    def check(self, file: str = "") -> None:
        """Read a settings file and say whether it can be used."""
        print(f"{_settings(file).name}: can be used")


def main(words: list[str]) -> None:
    """Run the command line. A role as platforms start it, with no more than `--metrics`, is not parsed by
    fire, whose import is a tenth of the time until a process that was killed listens again."""
    role, *more = words or [""]
    if role in ROLES and (not more or (len(more) == 2 and more[0] == "--metrics")):
        _run(role, "", more[1] if more else "")
        return
    import fire

    fire.Fire(Commands(), command=words, name="mesh")


if __name__ == "__main__":
    main(sys.argv[1:])
