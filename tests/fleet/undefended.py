"""The daemon's fleet part without one of its defences: `python undefended.py KIND`."""

from __future__ import annotations

import os
import random
import sys
import time

import hollyport.__main__ as program
from hollyport.fleet import part, wire
from hollyport.fleet.membership import Membership


def never_refutes() -> None:
    Membership._of_me = lambda self, now, state: None


def forgets_incarnations() -> None:
    """A restart begins anew, and whatever the others know of the name is no reason to exceed it."""
    part.wall_ms = lambda: 1
    Membership._namesake = lambda *told, **more: None


def reads_unsigned() -> None:
    wire.hmac.compare_digest = lambda one, other: True


def takes_every_fleet() -> None:
    plain = wire.decode

    def decode(data, keys, fleets):
        return plain(data, keys, ("rehearsed-0", "rehearsed-1"))

    wire.decode = decode


def runs_by_wrong_clocks() -> None:
    """No defence is out: every second process's clock runs 5% fast, the others' 5% slow, and each
    process's wall clock is wrong by up to a day."""
    rate, back = (1.05 if os.getpid() % 2 else 0.95), random.randrange(86_400_000)
    part.clock = lambda: time.monotonic() * rate
    plain = part.wall_ms
    part.wall_ms = lambda: plain() - back


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.exit(program.main(sys.argv[2:]))
