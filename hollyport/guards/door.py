"""A listener's guard: asks `admission`, counts what it turns away, keeps a descriptor to turn away with."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable
from typing import Any

from hollyport.guards.admission import Admission, Rules, Verdict

READ = 65536  # of what a refused client has sent already, so that the answer is not lost with it
Answer = Callable[[bytes, float, bool], bytes]
"""What a front says to a client that is turned away: given what it has sent, when to come back (seconds), and
whether it is the source's own doing; b"" where nothing can be said."""


class Door:
    """The guard of one listener."""

    def __init__(self, rules: Rules, answer: Answer, count: Callable[[str, str, str], None]) -> None:
        self._admission = Admission(rules)
        self._answer, self._count = answer, count
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def ask(self, host: str, now: float) -> Verdict:
        """Whether a connection from there may come in."""
        return self._admission.ask(host, now)

    def known(self, host: str, now: float) -> bool:
        """Whether it is a known client's."""
        return self._admission.known(host, now)

    def opened(self, host: str, now: float) -> None:
        """It has."""
        self._admission.opened(host, now)

    def closed(self, host: str, now: float) -> None:
        """It has ended."""
        self._admission.closed(host, now)

    def served(self, host: str, now: float) -> None:
        """A request from there was answered."""
        self._admission.served(host, now)

    def turn_away(self, made: socket.socket, verdict: Verdict) -> None:
        """Answer a connection that is not let in, if it has begun a request, and close it. Never waits."""
        self._count("door", "", verdict.reason)
        with contextlib.suppress(OSError):
            made.setblocking(False)
            begun = made.recv(READ)
            if begun:
                said = self._answer(begun, verdict.wait_s, verdict.reason != "full")
                if said:
                    made.send(said)
                    made.shutdown(socket.SHUT_WR)
        made.close()

    def without_descriptors(self, listening: socket.socket) -> bool:
        """The process has no descriptor left: give up the spare one for as long as it takes to turn away the
        next in the listen queue, which would else wait there in silence. False where none could be."""
        if self._spare < 0:
            self._spare = self._another()
            return False
        os.close(self._spare)
        self._spare = -1
        try:
            made, _ = listening.accept()
        except OSError:
            return False
        else:
            self.turn_away(made, Verdict(False, "descriptors", 1.0))
            return True
        finally:
            self._spare = self._another()

    @staticmethod
    def _another() -> int:
        try:
            return os.open(os.devnull, os.O_RDONLY)
        except OSError:
            return -1

    def sizes(self) -> Any:
        """Sources in the table, with connections and without."""
        return self._admission.sizes()
