"""The daemon's fleet part without one of its defences: `python undefended.py KIND`."""

from __future__ import annotations

import sys

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


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.exit(program.main(sys.argv[2:]))
