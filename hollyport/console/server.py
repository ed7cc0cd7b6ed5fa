"""The sockets of the second address: a small ring of callers, each answered at once and let go.

On the daemon's own loop: the figures are then whole without a lock. Callers are strangers to the listener's
promises; what counts here is that the next honest call is answered in 1 s, whoever else has come. So each
caller is read as soon as it is accepted (its call has mostly come by then), and where the ring is full the
one that has waited longest goes.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import sys
import traceback
from collections.abc import Callable, Mapping
from typing import Any

from hollyport.console import calls
from hollyport.settings.config import Address

MOST = 24  # callers at a time: descriptors of the console's own
BACKLOG = 4096
BATCH = 32  # callers taken in one go; requests go on between
SLACK_S = 0.005  # one that came so lately may still send: it is not put out for another
WAIT_S = 3.0  # how long a call may take to come whole; 2 s for a head are the promise elsewhere
LINGER_S = 1.0  # how long the end of an answered caller is waited for, so that the close does not reset it
SWEEP_S = 0.25
READ = 16 * 1024
READS = 8  # of one caller in a row: a flood of bytes must not hold the loop

Answer = tuple[int, Any]
Handler = Callable[[], Answer]


class Caller:
    """One connection."""

    __slots__ = ("sock", "reader", "since", "rest", "answered")

    def __init__(self, sock: socket.socket, since: float) -> None:
        self.sock, self.since = sock, since
        self.reader = calls.Reader()
        self.rest = b""  # of the answer, where the kernel would not take it at once
        self.answered = False


class Console:
    """Answers calls by `handlers`, by path. The ring holds `MOST` callers at the most."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handlers: Mapping[bytes, Handler]) -> None:
        self._loop, self._handlers = loop, handlers
        self._ring: dict[int, Caller] = {}  # by descriptor, the one that came first in front
        self._socket: socket.socket | None = None
        self._watching = False

    def start(self, at: Address) -> int:
        """Listen; return the port."""
        family = socket.AF_INET6 if ":" in at.host else socket.AF_INET
        self._socket = socket.create_server((at.host, at.port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._watch()
        self._loop.call_later(SWEEP_S, self._sweep)
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Answer no more."""
        if self._socket is not None:
            if self._watching:
                self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        for caller in list(self._ring.values()):
            self._end(caller)

    @property
    def callers(self) -> int:
        """Connections held now."""
        return len(self._ring)

    # --- letting in

    def _watch(self) -> None:
        if self._socket is not None and not self._watching:
            self._loop.add_reader(self._socket.fileno(), self._accept)
            self._watching = True

    def _pause(self, seconds: float) -> None:
        if self._socket is not None and self._watching:
            self._loop.remove_reader(self._socket.fileno())
            self._watching = False
            self._loop.call_later(seconds, self._watch)

    def _accept(self) -> None:
        now = self._loop.time()
        for _ in range(BATCH):
            if len(self._ring) >= MOST and not self._put_out(now):
                self._pause(SLACK_S)
                return
            assert self._socket is not None
            try:
                made, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                wanting = error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
                if wanting and not self._put_out(now, 0.0):
                    self._pause(4 * SLACK_S)
                    return
                continue  # or that one caller is gone already
            caller = Caller(made, now)
            self._ring[made.fileno()] = caller
            try:
                made.setblocking(False)
                self._read(caller)
                if made.fileno() >= 0:
                    self._loop.add_reader(made.fileno(), self._read, caller)
            except OSError:
                self._end(caller)  # it can't be watched: no place is held for it, and the next ones go on

    def _put_out(self, now: float, slack: float = SLACK_S) -> bool:
        """End the caller that came first, unless it only just came."""
        for caller in self._ring.values():
            if now - caller.since < slack:
                return False
            self._read(caller)  # what has come since is answered first
            self._end(caller)
            return True
        return False

    # --- one caller

    def _read(self, caller: Caller) -> None:
        for _ in range(READS):
            if caller.sock.fileno() < 0:
                return
            try:
                data = caller.sock.recv(READ)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if not data:
                if caller.rest:
                    self._loop.remove_reader(caller.sock.fileno())  # it has said all, and still reads
                else:
                    self._end(caller)
                return
            if not caller.answered:
                verdict = caller.reader.feed(data)
                if verdict is not None:
                    self._answer(caller, verdict)

    def _answer(self, caller: Caller, verdict: calls.Verdict) -> None:
        if verdict.status:
            made = calls.answer(verdict.status, allow=verdict.allow)
        else:
            try:
                made = calls.answer(*self._handlers[verdict.path]())
            except Exception:
                traceback.print_exc(file=sys.stderr)
                made = calls.answer(500)
        self._send(caller, made)

    def _send(self, caller: Caller, data: bytes) -> None:
        """What the kernel does not take at once follows as the caller reads, until it is put out."""
        caller.answered = True
        caller.rest = data
        self._go_on(caller)
        if caller.rest and caller.sock.fileno() >= 0:
            self._loop.add_writer(caller.sock.fileno(), self._go_on, caller)

    def _go_on(self, caller: Caller) -> None:
        try:
            caller.rest = caller.rest[caller.sock.send(caller.rest) :]
            if not caller.rest:
                self._loop.remove_writer(caller.sock.fileno())
                # A close while something is unread would reset the answer.
                caller.sock.shutdown(socket.SHUT_WR)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._end(caller)

    def _end(self, caller: Caller) -> None:
        number = caller.sock.fileno()
        if number >= 0 and self._ring.pop(number, None) is not None:
            self._loop.remove_reader(number)
            self._loop.remove_writer(number)
            caller.sock.close()

    def _sweep(self) -> None:
        if self._socket is None:
            return
        now = self._loop.time()
        for caller in list(self._ring.values()):
            age = now - caller.since
            if age >= (LINGER_S if caller.answered else WAIT_S):
                if not caller.answered:
                    self._send(caller, calls.answer(408))
                self._end(caller)
        self._loop.call_later(SWEEP_S, self._sweep)
