"""One large body on its way from the side that reads it to the side that writes it. No I/O.

What the sink has not been given yet lies here, and the source is told to stop until it is gone: a source
that stands still is what bounds the memory. The beginning is kept for another attempt, where that is wanted;
once a sink has been given more than it, it is dropped and the flow is spent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hollyport.bodies.ledger import Ledger


class Source(Protocol):
    """Whoever reads the body."""

    def hold(self) -> None:
        """Read no more for now."""

    def go_on(self) -> None:
        """Read on."""

    def unwanted(self) -> None:
        """Nobody takes the rest."""


class Sink(Protocol):
    """Whoever writes it on. It calls the flow's `hold` and `go_on` as it can take more."""

    def more(self, data: bytes) -> None:
        """The next piece."""

    def ended(self, whole: bool) -> None:
        """All has come; or what has come is all there will be, and it is not whole."""


class Flow:
    """One body. `replay`: whether its beginning is kept for another sink until more has been given."""

    __slots__ = ("size", "whole", "spent", "on_spent", "_source", "_ledger", "_granted", "_sink", "_kept",
                 "_replay", "_over", "_held")  # fmt: skip

    def __init__(self, source: Source, ledger: Ledger, replay: bool = False) -> None:
        self._source, self._ledger, self._replay = source, ledger, replay
        self.size = 0  # bytes that have come
        self.whole: bool | None = None  # None: more is to come
        self.spent = False  # no further sink can have it whole
        self.on_spent: Callable[[], None] | None = None
        self._sink: Sink | None = None
        self._kept: list[bytes] = []  # not given yet; with replay, given and kept
        self._over = self._held = False
        self._granted = False
        source.hold()
        ledger.ask(self, self._grant)

    def _grant(self) -> None:
        self._granted = True
        self._move()

    # --- the source's side

    def put(self, data: bytes) -> None:
        """The next piece has come."""
        if self._over or self.whole is not None:
            return
        self.size += len(data)
        sink = self._sink
        if sink is None:
            self._kept.append(data)
            return
        if not self.spent:
            # From here on the beginning is not all that the sink has been given.
            self.spent = True
            self._kept = []
            if self.on_spent is not None:
                self.on_spent()
        sink.more(data)

    def end(self, whole: bool) -> None:
        """Nothing more comes."""
        if self.whole is None:
            self.whole = whole
            if self._sink is not None:
                self._close()
            elif not whole:
                self._finish()

    # --- the sink's side

    def attach(self, sink: Sink) -> None:
        """Give a sink what has come, and all that will. Only one at a time, and none once it is spent."""
        assert self._sink is None and not self.spent
        self._sink = sink
        for piece in self._kept:
            sink.more(piece)
        if not self._replay:
            self.spent, self._kept = True, []
        if self.whole is not None:
            self._close()
        else:
            self._move()

    def detach(self, sink: Sink) -> None:
        """The sink takes no more. Where the beginning is kept, another may come; else it is over."""
        if self._sink is sink:
            self._sink, self._held = None, False
            if self.spent:
                self.drop()
            elif self.whole is None:
                self._source.hold()

    def hold(self) -> None:
        """The sink can't take more for now."""
        self._held = True
        if self.whole is None and not self._over:  # else the source is with its next message
            self._source.hold()

    def go_on(self) -> None:
        """It can."""
        self._held = False
        self._move()

    def drop(self) -> None:
        """Nobody wants it any more."""
        if not self._over:
            unread = self.whole is None
            self._finish()
            if unread:
                self._source.unwanted()

    @property
    def held(self) -> bool:
        """Whether the source is to stand still."""
        return self._held or self._sink is None or not self._granted

    # --- both

    def _move(self) -> None:
        if not self.held and self.whole is None:
            self._source.go_on()

    def _close(self) -> None:
        sink, whole = self._sink, bool(self.whole)
        assert sink is not None
        if self.spent or not whole:  # else its owner drops it, when no other sink can come any more
            self._finish()
        sink.ended(whole)

    def _finish(self) -> None:
        if not self._over:
            self._over = True
            self._sink, self._kept, self.on_spent = None, [], None
            self._ledger.give_back(self, self._granted)
