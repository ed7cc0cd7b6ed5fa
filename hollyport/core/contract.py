"""What the core needs of fronts and backs, whatever protocol they speak.

A front takes bytes, reads what is asked for (`Terms`) and hands the core requests (`Asked`); the core gives
each exactly one end. A pool of nodes (`Nodes`) carries attempts and probes (`Carried`) over connections that
its back makes (`hollyport.nodes.back`), and hands the core what a node answered (`Answered`). Neither side
knows the other; what `Asked.wire` makes must be what the pool's back carries.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from dunefield.interface import AttemptOutcome


class Terms(NamedTuple):
    """What a request asks for."""

    rid: bytes  # its id; one that is open or was lately is turned away
    cls: int
    wait_ns: int  # for how long the client waits, from when it sent the request
    cost_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    write: bool = False
    oneway: bool = False  # nobody waits for an answer: it is over once it is written
    growing: bool = False  # its body is still coming: the client's time begins with `Service.whole`


class Asked(Protocol):
    """A request as its front took it. Exactly one of its ends is called; a later one has no effect."""

    request_id: str  # for the core: which request this became
    came: float  # when its last byte was read, by the loop's clock

    def wire(self, left_s: float) -> Any:
        """It as the back is to carry it, with so many seconds left to answer."""

    def served(self, answer: Any) -> None:
        """End: a node has answered. For a oneway call, None: it is written whole."""

    def refused(self, hold_off_ns: int) -> None:
        """End: it has not run, or may run again. Come back in so many nanoseconds; 0: not told."""

    def begun(self, answer: Any) -> None:
        """End: a node has begun a large answer, which is passed on as it comes. `whole` or the break of its
        flow is told to the client by the flow alone."""

    def failed(self, late: bool) -> None:
        """End: it may have run, and there is no answer; `late` where time ran out."""

    def broken(self) -> None:
        """End: an error of our own, and it may have run."""

    def repeated(self) -> None:
        """End: another request with its id is open, or was lately."""


class Service(Protocol):
    """What a front needs of the core."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def request(self, asked: Asked, terms: Terms) -> None:
        """Take a request; one of its ends will be called, perhaps at once."""

    def whole(self, asked: Asked) -> None:
        """The last byte of a request that was growing has come."""

    def spent(self, asked: Asked) -> None:
        """Of a growing request more has gone to a node than is kept: no other attempt can be made."""

    def hangup(self, asked: Asked) -> None:
        """The client has left: nothing more is owed."""


class Answered(Protocol):
    """A node's whole answer."""

    @property
    def how(self) -> AttemptOutcome:
        """What it says of the attempt."""

    @property
    def transfer_s(self) -> float:
        """How long it took from its head to its last byte: the pace of the wire, and no work of the server's.
        0 where that is not told."""

    def riding(self) -> dict[str, float]:
        """The load report that rides along with an answer to a request; empty where there is none."""

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""


Ended = Callable[[AttemptOutcome, Answered | None], None]


class Carried(Protocol):
    """One attempt or probe on its way: written once at the most, ended exactly once."""

    on_begun: Callable[[Any], None] | None
    """Told of an answer that is passed on as it comes."""

    on_written: Callable[[], None] | None
    """Told once the last byte is written, where wanted."""

    def start(self) -> None:
        """Write to a pooled connection, or to a new one once it is up."""

    def grow(self) -> None:
        """Its request is still coming: the time to answer begins with `expire`."""

    def expire(self, at: float) -> None:
        """From here on it has until then, by the loop's clock."""

    def cancel(self) -> None:
        """Nobody waits for it any more."""


class Nodes(Protocol):
    """What the core needs of a pool of nodes."""

    def any_up(self) -> bool:
        """Whether one may be sent to."""

    def exchange(self, name: str, make: Callable[[], Any], limit_s: float, ended: Ended) -> Carried | None:
        """An attempt to be started; None where there is no such node."""

    def probe(self, name: str, limit_s: float, ended: Ended) -> Carried | None:
        """A probe to be started; None where there is no such node, or it can't be probed."""

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a node."""
