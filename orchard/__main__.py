"""`python3 -m orchard ROLE`: one program, the role is a subcommand."""

from __future__ import annotations

import signal

# SIGHUP says that the settings have changed: until they are read, it must not kill.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import gc
import os
import sys
from typing import Any

import fire
import uvloop

from orchard import settings

FILE = "HOLLYPORT_NODE_FILE"


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


async def _serve(role: str, told: settings.Settings) -> None:
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    part: Any
    if role == "barn":
        from orchard.barn import Barn

        part = Barn(told)
    else:
        from orchard.stile import Stile

        part = Stile(told)
    await part.start()
    gc.freeze()
    await ending.wait()
    await part.stop()


def _run(role: str, file: str) -> None:
    from orchard import log

    told = _settings(file)
    log.start(told.name)
    uvloop.run(_serve(role, told))


class Orchard:
    """The mesh's one program; each role is a subcommand."""

    def stile(self, file: str = "") -> None:
        """Carry requests beside a server. `file`: settings, by default the one the environment names."""
        _run("stile", file)

    def barn(self, file: str = "") -> None:
        """Hold configuration, records and keys on a core machine."""
        _run("barn", file)

    def check(self, file: str = "") -> None:
        """Read a settings file and say whether it can be used."""
        print(f"{_settings(file).name}: can be used")


if __name__ == "__main__":
    fire.Fire(Orchard(), name="orchard")
