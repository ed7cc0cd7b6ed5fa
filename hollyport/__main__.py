"""Start, signals and exit code of the sidecar."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from hollyport.config import ConfigError, load
from hollyport.sidecar import Sidecar


async def serve(sidecar_env: dict[str, str]) -> None:
    """Run one sidecar until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config = load(sidecar_env)
    sidecar = Sidecar(config, loop)
    await sidecar.start()
    gc.freeze()  # what is loaded by now stays: no collection needs to walk through it again
    print(f"{config.name}: listening on {':'.join(map(str, config.listen))}", file=sys.stderr, flush=True)
    await stop.wait()
    await sidecar.stop()


def main() -> int:
    """Entry point of `python -m hollyport`."""
    try:
        uvloop.run(serve(dict(os.environ)))
    except ConfigError as error:
        print(f"hollyport: configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"hollyport: listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
