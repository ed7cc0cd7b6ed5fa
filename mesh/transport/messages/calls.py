"""Calls from sidecar to sidecar, their bodies, and load at servers."""

from __future__ import annotations

import msgspec

from mesh.errors import ErrorKind
from mesh.state.shards import NO_KEY
from mesh.transport.messages.base import Message


class Call(msgspec.Struct, frozen=True, array_like=True):
    """A request for the local server of another sidecar. Times are seconds counted from sending."""

    service: str
    caller: str  # the service of the sending sidecar's machine
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: float
    target_s: float
    attempt_id: bytes
    key: str
    route: str
    is_retry: bool = False  # whether its client has already spent time on it
    repeatable: bool = False
    past_target: bool = False  # whether its target latency has passed
    size: int = 0  # bytes of a body that is sent separately, in chunks
    priority: int = 0  # of its route; 0 is the highest
    # Only with a key: the most time since the client sent the request, and the time of sending, by a lower
    # bound on the receiver's monotonic clock, if its clock is known. None from older versions.
    age_s: float | None = None
    sent_at: float | None = None
    shard_key: int = NO_KEY  # of a request to a sharded service


class Forward(Message, frozen=True, tag=50):
    """Sidecar to the sidecar of a server: a call to run there."""

    number: int
    call: Call


class ForwardAnswer(Message, frozen=True, tag=51):
    """Response to `Forward`."""

    number: int
    error: int  # an `ErrorKind`, or 0 if the server has answered
    arrived: bool  # whether the call has reached a server
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    wait_s: float = 0.0  # current queueing time at the server
    work_s: float = 0.0  # service time of calls of this route
    failure_rate: float = 0.0  # recent fraction of failed calls

    @classmethod
    def failed(cls, number: int, error: ErrorKind, arrived: bool = False) -> ForwardAnswer:
        """Returns the response to a call that has no answer; `arrived` tells whether it reached a server."""
        return cls(number, int(error), arrived, 0, [], b"")


class Overdue(Message, frozen=True, tag=53):
    """Response to `Forward`: the server takes unusually long for a call, which is still running."""

    number: int


class Cancel(Message, frozen=True, tag=59):
    """Sidecar to the sidecar of a server: the client of a call has disconnected."""

    number: int


class SendBody(Message, frozen=True, tag=54):
    """Response to `Forward`: permits sending the body of a call up to an offset."""

    number: int
    end_offset: int  # from the beginning of the body


class BodyChunk(Message, frozen=True, tag=55):
    """The next chunk of the body of a call."""

    number: int
    data: bytes


class BodyDropped(Message, frozen=True, tag=56):
    """The call is abandoned; the rest of its body will not be sent."""

    number: int


class LoadQuery(Message, frozen=True, tag=57):
    """Sidecar to sidecars: requests the load at their servers."""

    number: int
    route: str
    size: int  # bytes of the body of the call


class LoadReport(Message, frozen=True, tag=58):
    """Response to `LoadQuery`."""

    number: int
    is_open: bool  # whether a call would be accepted
    wait_s: float = 0.0
    work_s: float = 0.0
    transfer_s: float = 0.0  # time to transfer its body
    failure_rate: float = 0.0
