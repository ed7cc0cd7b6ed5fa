"""Heartbeats of a sidecar's local server, and the record that the sidecar publishes."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result
from loguru import logger

from dunefield.budget import MAX_STEPS
from hollyport.http.message import Message as Request
from mesh.errors import ERROR_RESPONSES, ErrorKind
from mesh.proxy.context import ProxyContext
from mesh.proxy.server_queue import ServerQueue
from mesh.settings import parse_duration
from mesh.transport.messages import VERSION, SidecarRecord

JSON = [(b"Content-Type", b"application/json")]
INSTANCES_PATH = b"/-/instances/"


class ServerHeartbeat(NamedTuple):
    """A validated heartbeat of a server."""

    service: str
    ready: bool
    slots: int
    warm_up_s: float  # how much longer the server is warming up
    call_number: int  # increases with each heartbeat of an instance


def parse_heartbeat(body: bytes) -> Result[ServerHeartbeat, str]:
    """Parses the body of a heartbeat request; returns the reason if it is invalid."""
    try:
        fields = json.loads(body)
        return Ok(
            ServerHeartbeat(
                service=str(fields["service"]),
                ready=str(fields.get("state", "ready")) == "ready",
                slots=max(1, int(fields.get("slots", 1))),
                warm_up_s=parse_duration(fields.get("cold_left", "0ms")),
                call_number=int(fields.get("call_seq", 0)),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Error(str(error))


class ServerHeartbeats:
    """Handles requests to the control address of a sidecar, and maintains the sidecar's record.

    `on_change` is called whenever a new record has to be published.
    """

    def __init__(self, context: ProxyContext, queue: ServerQueue, on_change: Callable[[], None]) -> None:
        self._context, self._queue, self._on_change = context, queue, on_change
        self._number = 1  # of the current record within this incarnation
        queue.on_replaced = self.adopt_instance

    def serve(self, message: Request) -> None:
        """Handles a request to the control address."""
        path = message.target.partition(b"?")[0]
        has_instance = path.startswith(INSTANCES_PATH) and len(path) > len(INSTANCES_PATH)
        if not has_instance or message.method not in (b"PUT", b"DELETE"):
            message.answer(ERROR_RESPONSES[ErrorKind.NOT_HERE].status)
            return
        instance = path[len(INSTANCES_PATH) :].decode("latin-1")
        error = None
        if message.method == b"DELETE":
            self._handle_end(instance)
        else:
            error = self._handle_heartbeat(instance, message.body)
        if error is not None:
            message.answer(ERROR_RESPONSES[error].status)
        else:
            message.answer(200, b"{}", JSON)

    def _handle_end(self, instance: str) -> None:
        """Handles the end of an instance: it gets no further calls, and late heartbeats of it are ignored."""
        queue = self._queue
        queue.ended_instances.add(instance)
        if queue.instance == instance:
            queue.on_server_gone()
            self._on_change()

    def _handle_heartbeat(self, instance: str, body: bytes) -> ErrorKind | None:
        """Applies a heartbeat; returns the error if it is rejected."""
        queue = self._queue
        parsed = parse_heartbeat(body)
        if parsed.is_error():
            return ErrorKind.BAD
        heartbeat = parsed.ok
        if (
            heartbeat.call_number <= queue.heartbeat_numbers.get(instance, -1)
            or instance in queue.ended_instances
        ):
            return None  # arrived late: superseded by a newer heartbeat, or its instance has ended
        if heartbeat.service != self._context.settings.service:
            logger.warning("rejected a heartbeat of another service", service=heartbeat.service)
            return ErrorKind.BAD
        queue.heartbeat_numbers[instance] = heartbeat.call_number
        before = (queue.instance, queue.open)
        queue.update_server(instance, heartbeat.slots, heartbeat.warm_up_s, heartbeat.ready)
        if (queue.instance, queue.open) != before:  # a change of slots alone affects no other sidecar
            self._on_change()
        return None

    def adopt_instance(self, instance: str) -> None:
        """Adopts an instance id learned from the server, so that a restarted sidecar need not wait for a
        heartbeat."""
        queue = self._queue
        if instance and not queue.instance and instance not in queue.ended_instances:
            logger.info("learned the instance id from the server", instance=instance)
            queue.update_server(instance, MAX_STEPS, 0.0, True)
            self._on_change()

    def next_record(self) -> SidecarRecord:
        """Returns the current record under a new number, which supersedes the previous record everywhere."""
        self._number += 1
        return self.record()

    def record(self) -> SidecarRecord:
        """Returns the current record. Receivers recognise a repeated record by its number."""
        queue, context, settings = self._queue, self._context, self._context.settings
        return SidecarRecord(
            node=context.node_name,
            address=settings.peer_address.text,
            zone=settings.zone,
            service=settings.service,
            instance=queue.instance,
            slots=queue.slots,
            is_open=queue.open and not context.draining,
            warm_up_s=max(0.0, queue.warming_up_until - context.now()),
            incarnation=context.incarnation,
            number=self._number,
            version=VERSION,
        )

    def ensure_newer_than(self, incarnation: int) -> None:
        """Raises the incarnation above one that is already known, as after the clock has stepped back."""
        if incarnation >= self._context.incarnation:
            self._context.incarnation = incarnation + 1
            self._on_change()
