"""What the core needs of fronts and backs, whatever protocol they speak.

A front takes bytes and hands the core requests (`Asked`); the core gives each exactly one end. A back carries
attempts and probes, and hands the core what a node answered (`Answered`). Neither side knows the other.
"""

from __future__ import annotations

from typing import Any, Protocol


class Asked(Protocol):
    """A request as its front took it. Exactly one of its ends is called; a later one has no effect."""

    tid: str  # for the core: which request this became
    came: float  # when its last byte was read, by the loop's clock

    def wire(self, left_s: float) -> bytes:
        """It as a node gets it, with so many seconds left to answer."""

    def served(self, answer: Any) -> None:
        """End: a node has answered."""

    def refused(self, hold_off_ns: int) -> None:
        """End: it has not run, or may run again. Come back in so many nanoseconds; 0: not told."""

    def failed(self, late: bool) -> None:
        """End: it may have run, and there is no answer; `late` where time ran out."""

    def broken(self) -> None:
        """End: an error of our own, and it may have run."""

    def repeated(self) -> None:
        """End: another request with its id is open, or was lately."""


class Answered(Protocol):
    """A node's whole answer."""

    def riding(self) -> dict[str, float]:
        """The load report that rides along with an answer to a request; empty where there is none."""

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""
