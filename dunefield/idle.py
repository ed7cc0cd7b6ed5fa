"""Which idle connections are used again, and which are closed first."""

from __future__ import annotations

from dunefield.book import Book
from dunefield.interface import CloseIdleConnections
from dunefield.state import Server


class Idle:
    """For how long connections may have been idle."""

    def __init__(self, book: Book) -> None:
        self._book, self._kept, self._horizon = book, book.kept, book.horizon
        self._most = book.kept  # longest idle time after which a connection is used
        self._doubt = 0  # until when a shorter one than the settings' is believed
        self._proof = (0, 0)  # the longest after which one was answered lately; until when that counts

    def answered(self, now: int, idle: int) -> None:
        """A connection that had been idle for so long has brought an answer."""
        if now >= self._proof[1] or idle > self._proof[0]:
            self._proof = idle, now + 8 * self._horizon

    def stale(self, now: int, idle: int, lag: int) -> bool:
        """Exception "stale connection": a reset that comes sooner after the send than the connection had been
        idle before says that something dropped the idle connection; of the server it says nothing. Idle
        connections are then closed before use from half that idle time on. Covers crashes seen late, too;
        it harms where every connection must be new and handshakes are dear. One that had been idle for less
        than others that were answered lately was not dropped for that: something resets requests, and new
        connections would be reset as well."""
        proven = self._proof[0] if now < self._proof[1] else 0
        if idle <= max(lag, proven):
            return False
        self._most = min(self._most, max(proven, idle // 2))
        self._doubt = now + 8 * self._horizon
        return True

    def touch(self, now: int, server: Server) -> None:
        """Note the use of a connection; one that has been idle for too long is closed first."""
        if now >= self._doubt:
            self._most = self._kept
        server.idle = 0 if server.inflight or not server.used else now - server.used
        if server.idle > self._most:
            if self._most < self._kept:
                self._book.acts.append(CloseIdleConnections(server.name))
            server.idle = server.peak = 0  # the call gets a new one, and its end tells nothing of idling
        server.used = now
