"""What the server beside this sidecar tells of itself, the record that others get of it, and readiness."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result
from loguru import logger

from dunefield.budget import MAX_STEPS
from hollyport.http.message import Message as Request
from mesh.errors import ANSWERS, ErrorKind
from mesh.proxy.context import ProxyContext
from mesh.proxy.server_queue import ServerQueue
from mesh.settings import seconds
from mesh.transport.messages import VERSION, SidecarRecord

JSON = [(b"Content-Type", b"application/json")]
INSTANCES = b"/-/instances/"


class Beat(NamedTuple):
    """One call of a server, checked."""

    service: str
    ready: bool
    slots: int
    warm_up_s: float  # how much longer it is slow
    call_number: int  # rises with each call of one instance


def read_beat(body: bytes) -> Result[Beat, str]:
    """A server's call, or why it can't be read."""
    try:
        told = json.loads(body)
        return Ok(
            Beat(
                service=str(told["service"]),
                ready=str(told.get("state", "ready")) == "ready",
                slots=max(1, int(told.get("slots", 1))),
                warm_up_s=seconds(told.get("cold_left", "0ms")),
                call_number=int(told.get("call_seq", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Error(str(error))


class ServerHeartbeats:
    """The control address of one sidecar, and its record.

    `changed` is called whenever others have to hear of another record.
    """

    def __init__(self, context: ProxyContext, queue: ServerQueue, changed: Callable[[], None]) -> None:
        self._context, self._queue, self._changed = context, queue, changed
        self._number = 1  # of the record that stands, in this life
        queue.replaced = self.adopt_instance

    def serve(self, message: Request) -> None:
        """A call on the control address."""
        path = message.target.partition(b"?")[0]
        named = path.startswith(INSTANCES) and len(path) > len(INSTANCES)
        if not named or message.method not in (b"PUT", b"DELETE"):
            message.answer(ANSWERS[ErrorKind.NOT_HERE].status)
            return
        instance = path[len(INSTANCES) :].decode("latin-1")
        error = None
        if message.method == b"DELETE":
            self._end(instance)
        else:
            error = self._take(instance, message.body)
        if error is not None:
            message.answer(ANSWERS[error].status)
        else:
            message.answer(200, b"{}", JSON)

    def _end(self, instance: str) -> None:
        """A server's life is over: nothing more is sent to it, and a late beat of it says nothing."""
        queue = self._queue
        queue.ended_instances.add(instance)
        if queue.instance == instance:
            queue.gone()
            self._changed()

    def _take(self, instance: str, body: bytes) -> ErrorKind | None:
        """One beat; why it is refused, if it is."""
        queue = self._queue
        read = read_beat(body)
        if read.is_error():
            return ErrorKind.BAD
        beat = read.ok
        if beat.call_number <= queue.lives.get(instance, -1) or instance in queue.ended_instances:
            return None  # a late one: what it says is known, or of a life that has ended
        if beat.service != self._context.settings.service:
            logger.warning("a server of another service beats here", service=beat.service)
            return ErrorKind.BAD
        queue.lives[instance] = beat.call_number
        before = (queue.instance, queue.open)
        queue.update_server(instance, beat.slots, beat.warm_up_s, beat.ready)
        if (queue.instance, queue.open) != before:  # nobody picks by the slots that a record tells
            self._changed()
        return None

    def adopt_instance(self, instance: str) -> None:
        """A server's id that no beat has told yet: a sidecar that started anew need not wait for the next."""
        queue = self._queue
        if instance and not queue.instance and instance not in queue.ended_instances:
            logger.info("the server says who it is", instance=instance)
            queue.update_server(instance, MAX_STEPS, 0.0, True)
            self._changed()

    def next_record(self) -> SidecarRecord:
        """The record of something that has changed: it takes the place of the one before everywhere."""
        self._number += 1
        return self.record()

    def record(self) -> SidecarRecord:
        """What can be had here, as it stands. Whoever is told it again knows it by its number."""
        queue, context, settings = self._queue, self._context, self._context.settings
        return SidecarRecord(
            node=context.me,
            address=settings.peer_address.text,
            zone=settings.zone,
            service=settings.service,
            instance=queue.instance,
            slots=queue.slots,
            is_open=queue.open and not context.leaving,
            warm_up_s=max(0.0, queue.cold_until - context.now()),
            incarnation=context.life,
            number=self._number,
            version=VERSION,
        )

    def ensure_newer_than(self, life: int) -> None:
        """A later life of this sidecar is known: a clock has stepped back since the process before."""
        if life >= self._context.life:
            self._context.life = life + 1
            self._changed()
