"""The kinds of errors that the mesh answers requests with, and the HTTP response of each."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ErrorKind(enum.IntEnum):
    """The kind of a failure. The values are sent between sidecars."""

    REFUSED = 1  # the request has not run and will not run: the client may retry
    FULL = 2  # like REFUSED; the server's queue is full
    LEAVING = 3  # like REFUSED; the server or sidecar is shutting down
    NO_SERVER = 4  # like REFUSED; no server is known or reachable
    BROKEN = 5  # the request may have run, and its answer is lost
    LATE = 6  # the request may have run, and its deadline has passed
    AT_WORK = 7  # another request with the same idempotency key is running
    LOST_KEY = 8  # a request with the same idempotency key ran, or may have, and left no answer
    NO_ROUTE = 9
    BAD = 10  # malformed request
    TOO_LARGE = 11
    INVALID = 12  # the configuration is not valid
    NO_QUORUM = 13  # too few controllers answered
    NOT_HERE = 14  # no such resource
    OWN = 15  # internal error
    NOT_OWNER = 16  # like REFUSED; the server does not hold the request's key, or no server does


class ErrorResponse(NamedTuple):
    """The HTTP response for one kind of error."""

    status: int
    not_executed: bool  # whether the status states that the request has not run
    text: bytes


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.REFUSED: ErrorResponse(503, True, b"refused\n"),
    ErrorKind.FULL: ErrorResponse(503, True, b"full\n"),
    ErrorKind.LEAVING: ErrorResponse(503, True, b"leaving\n"),
    ErrorKind.NO_SERVER: ErrorResponse(503, True, b"no server\n"),
    ErrorKind.BROKEN: ErrorResponse(502, False, b"failed\n"),
    ErrorKind.LATE: ErrorResponse(504, False, b"late\n"),
    ErrorKind.AT_WORK: ErrorResponse(409, False, b"at work\n"),
    ErrorKind.LOST_KEY: ErrorResponse(502, False, b"its answer is lost\n"),
    ErrorKind.NO_ROUTE: ErrorResponse(404, False, b"no route\n"),
    ErrorKind.BAD: ErrorResponse(400, False, b"bad request\n"),
    ErrorKind.TOO_LARGE: ErrorResponse(413, False, b"too large\n"),
    ErrorKind.INVALID: ErrorResponse(400, False, b"invalid\n"),
    ErrorKind.NO_QUORUM: ErrorResponse(503, True, b"no quorum\n"),
    ErrorKind.NOT_HERE: ErrorResponse(404, False, b"not here\n"),
    ErrorKind.OWN: ErrorResponse(500, False, b"own error\n"),
    ErrorKind.NOT_OWNER: ErrorResponse(503, True, b"no owner\n"),
}
NOT_EXECUTED_ERRORS = frozenset(kind for kind, response in ERROR_RESPONSES.items() if response.not_executed)
"""Kinds that are reported only if the request has not run and never will."""
