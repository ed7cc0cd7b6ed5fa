"""Start, signals and exit code of the sidecar."""

from __future__ import annotations

import signal

# SIGHUP asks for a fresh look at the file, which is yet to be read: until the loop listens, it must not kill.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse
import asyncio
import gc
import os
import sys
from collections.abc import Sequence

import uvloop

from hollyport.guests import inherit
from hollyport.settings import options
from hollyport.settings.config import Config, ConfigError, load
from hollyport.sidecar import Sidecar

OPTIONS = "HOLLYPORT_OPTIONS"  # names the operators' file where no flag does


async def serve(sidecar_env: dict[str, str], switched: options.Options) -> int:
    """Run one sidecar until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    early = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, early.set)  # until there is something to end
    again = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, again.set)
    config = load(sidecar_env)
    shared = None if config.accept_fd is None else inherit.listening(config.accept_fd, config.listen)
    sidecar = Sidecar(config, loop, switched, shared)
    await sidecar.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.terminate)
    if early.is_set():
        sidecar.terminate()
    gc.freeze()  # what is loaded by now stays: no collection needs to walk through it again
    print(f"{config.name}: listening on {':'.join(map(str, config.listen))}", file=sys.stderr, flush=True)
    reloading = loop.create_task(reload(sidecar, config, sidecar_env, again, switched.path))
    await sidecar.ending.wait()
    reloading.cancel()
    await sidecar.stop()
    return 1 if sidecar.steward.machine.lost else 0


async def reload(
    sidecar: Sidecar, config: Config, env: dict[str, str], again: asyncio.Event, path: str = ""
) -> None:
    """Take over the file at each SIGHUP. One that can't be used leaves in force what was."""
    while True:
        await again.wait()
        again.clear()
        try:
            # In a thread: reading and parsing must not hold up requests.
            new = await asyncio.to_thread(load, env, True)
            switched = await asyncio.to_thread(options.load, path)
        except Exception as error:
            print(f"{config.name}: reload: old configuration kept: {error}", file=sys.stderr, flush=True)
            continue
        rest = [
            key
            for key in ("name", "listen", "console", "sockets", "settings")
            if getattr(new, key) != getattr(config, key)
        ]
        note = f"; a restart is needed for {', '.join(rest)}" if rest else ""
        print(
            f"{config.name}: reload: discovery at {':'.join(map(str, new.discovery))}{note}",
            file=sys.stderr,
            flush=True,
        )
        if new.discovery != config.discovery:
            sidecar.move_discovery(new.discovery)
        sidecar.take_options(switched)
        config = new


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point of `python -m hollyport`."""
    parser = argparse.ArgumentParser(prog="hollyport", description="A sidecar load balancer; see README.md.")
    parser.add_argument(
        "--options",
        metavar="FILE",
        default=os.environ.get(OPTIONS),
        help=f"the operators' file; also by the variable {OPTIONS}",
    )
    parser.add_argument("--check", metavar="FILE", help="check an operators' file, and do nothing else")
    told = parser.parse_args(arguments)
    try:
        found = options.load(told.check or told.options)
    except options.OptionsError as error:
        print(f"hollyport: options: {error}", file=sys.stderr)
        return 2
    if told.check:
        print(f"{told.check}: good; switched on: {', '.join(found.sections) or 'nothing'}")
        return 0
    try:
        return uvloop.run(serve(dict(os.environ), found))
    except ConfigError as error:
        print(f"hollyport: configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"hollyport: listen: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
