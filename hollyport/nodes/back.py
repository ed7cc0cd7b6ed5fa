"""How nodes of one protocol are spoken to: what a pool of nodes needs of a back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from hollyport.nodes.carrier import Carrier


class Beside(NamedTuple):
    """Where and how nodes are probed that can't be on the port of their own."""

    port: int
    back: Back


class Back(Protocol):
    """How nodes of one kind are spoken to."""

    probe: Any
    """What a probe sends; None where these nodes can't be probed here."""

    beside: Beside | None
    """Where they are probed instead; None: nowhere."""

    def connection(self, on_lost: Callable[[Carrier], None], stall_s: float) -> Carrier:
        """A connection to be opened. An answer that has begun may pause for so long, 0: for any time."""
