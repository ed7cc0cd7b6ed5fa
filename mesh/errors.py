"""The closed list of what can go wrong for a caller, and the answer to each kind."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ErrorKind(enum.IntEnum):
    """One kind of failure; the numbers also travel between sidecars."""

    REFUSED = 1  # has not run and never will: come back
    FULL = 2  # likewise, as the server's queue is full
    LEAVING = 3  # likewise, as that server leaves
    NO_SERVER = 4  # likewise, as no server is known
    BROKEN = 5  # it may have run; the answer is lost
    LATE = 6  # it may have run; time is up
    AT_WORK = 7  # another request with its key runs
    LOST_KEY = 8  # one with its key ran, or may have, and left no answer
    NO_ROUTE = 9
    BAD = 10
    TOO_LARGE = 11
    INVALID = 12  # a configuration that can't be taken
    NO_QUORUM = 13  # too few controllers could be asked
    NOT_HERE = 14
    OWN = 15


class Answer(NamedTuple):
    """What the caller is told."""

    status: int
    not_executed: bool  # whether the status says that nothing ran
    text: bytes


ERROR_RESPONSES: dict[ErrorKind, Answer] = {
    ErrorKind.REFUSED: Answer(503, True, b"refused\n"),
    ErrorKind.FULL: Answer(503, True, b"full\n"),
    ErrorKind.LEAVING: Answer(503, True, b"leaving\n"),
    ErrorKind.NO_SERVER: Answer(503, True, b"no server\n"),
    ErrorKind.BROKEN: Answer(502, False, b"failed\n"),
    ErrorKind.LATE: Answer(504, False, b"late\n"),
    ErrorKind.AT_WORK: Answer(409, False, b"at work\n"),
    ErrorKind.LOST_KEY: Answer(502, False, b"its answer is lost\n"),
    ErrorKind.NO_ROUTE: Answer(404, False, b"no route\n"),
    ErrorKind.BAD: Answer(400, False, b"bad request\n"),
    ErrorKind.TOO_LARGE: Answer(413, False, b"too large\n"),
    ErrorKind.INVALID: Answer(400, False, b"invalid\n"),
    ErrorKind.NO_QUORUM: Answer(503, True, b"no quorum\n"),
    ErrorKind.NOT_HERE: Answer(404, False, b"not here\n"),
    ErrorKind.OWN: Answer(500, False, b"own error\n"),
}
NOT_EXECUTED_ERRORS = frozenset(kind for kind, answer in ERROR_RESPONSES.items() if answer.not_executed)
"""Kinds that are told only where nothing has run and nothing will."""
