"""Heartbeats of a sidecar's local server, and the record that the sidecar publishes.

Only a heartbeat names the service of a server. An id that a server gives in any other answer is used if a
heartbeat with that id has named this sidecar's service before, possibly to an earlier incarnation.

If the service is sharded and its servers are given keys in the answers to their heartbeats, a heartbeat tells
what the server holds and has let go of, and the answer all that it is to hold (`mesh.proxy.server_holds`).
While ranges are being taken from other servers for this one, the answer is postponed for a while, so that a
range doesn't have to wait for the next heartbeat once it is assigned. No other answer is written meanwhile: a
newer heartbeat ends the wait, and the older one is answered with nothing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from loguru import logger

from dunefield.budget import MAX_STEPS
from hollyport.http.message import Message as Request
from mesh.errors import ERROR_RESPONSES, ErrorKind
from mesh.proxy.context import ProxyContext
from mesh.proxy.server_holds import HandoverRow, HeartbeatGrants, HeartbeatRanges, ServerHolds
from mesh.proxy.server_queue import ServerQueue
from mesh.proxy.server_suspicion import ServerSuspicion
from mesh.settings import parse_duration
from mesh.state.shards import FencedRange, KeyRange
from mesh.transport.memory_account import decoded_json_bytes
from mesh.transport.messages import FIRST_RECORD_NUMBER, VERSION, KnownServer, SidecarRecord

JSON = [(b"Content-Type", b"application/json")]
INSTANCES_PATH = b"/-/instances/"
EMPTY_ANSWER = b"{}"
HEARTBEATS_PER_HOLD = 3  # two in a row may be lost
MAX_ANSWER_DELAY_S = 0.7  # of an answer; a server takes none that comes after a second
DEFAULT_DRAIN_S = 2.0
DRAIN_MARGIN_S = 0.4  # before the end of the bound `drain`, in which a draining server gets no more calls


class ServerHeartbeat(NamedTuple):
    """A validated heartbeat of a server."""

    service: str
    ready: bool
    slots: int
    warm_up_s: float  # how much longer the server is warming up
    call_number: int  # increases with each heartbeat of an instance
    holds: tuple[FencedRange, ...] = ()
    released: tuple[HandoverRow, ...] = ()
    lists_holds: bool = False  # even if it holds nothing

    @property
    def ranges(self) -> HeartbeatRanges:
        """What the heartbeat says of key ranges."""
        return HeartbeatRanges(self.call_number, self.holds, self.released)


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
                holds=tuple(_parse_held(*row) for row in fields.get("holds", ())),
                released=tuple(_parse_released(*row) for row in fields.get("released", ())),
                lists_holds="holds" in fields,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Error(str(error))


def _parse_held(first: Any, last: Any, fence: Any) -> FencedRange:
    return FencedRange(KeyRange(int(first), int(last)), int(fence))


def _parse_released(first: Any, last: Any, handover: Any) -> HandoverRow:
    return HandoverRow(KeyRange(int(first), int(last)), str(handover or ""))


def _encode_grants(grants: HeartbeatGrants) -> bytes:
    answer = {"holds": grants.rows, "hold": f"{grants.hold_ms}ms"}
    return json.dumps(answer, separators=(",", ":")).encode()


class OpenHeartbeat(NamedTuple):
    """A heartbeat that has not been answered yet."""

    message: Request
    instance: str  # that sent it
    ranges: HeartbeatRanges
    received_after: float  # it was sent after this time, by the monotonic clock


class ServerHeartbeats:
    """Handles requests to the control address of a sidecar, and maintains the sidecar's record.

    `on_change` is called whenever a new record has to be published, `on_released` when a heartbeat shows that
    the server has let go of a range, and `on_grants_answered` when an answer tells it what to hold.
    """

    def __init__(
        self, context: ProxyContext, queue: ServerQueue, holds: ServerHolds, on_change: Callable[[], None]
    ) -> None:
        self._context, self._queue, self._holds, self._on_change = context, queue, holds, on_change
        self.is_sharded = False  # the service of the server
        self.grants_by_heartbeat = False
        self.lists_holds: bool | None = None  # whether the latest heartbeat of the server does
        self.suspicion = ServerSuspicion(context.settings.beat_s, context.monotonic())
        self.on_released: Callable[[], None] = lambda: None
        self.on_grants_answered: Callable[[], None] = lambda: None
        self._postponed: OpenHeartbeat | None = None
        self._postponed_timer: asyncio.TimerHandle | None = None
        self.is_server_in_doubt = False  # whether another server may have replaced the one that is used
        # Whether the server seems to be dead, so that its key ranges are to be moved. All that depends on it
        # goes by what was published last, as the time alone changes what the signs of life say.
        self.is_suspected = False
        self._number = FIRST_RECORD_NUMBER  # of the current record within this incarnation
        self._confirmed: set[str] = set()  # ids of servers of this service, as earlier heartbeats have shown
        self._alive: set[str] = set()  # ids whose last heartbeat to this incarnation said that they are ready
        self._found = ""  # the id that a server has given last, other than in a heartbeat
        self.unconfirmed = 0  # number of ids found whose service was not known
        queue.on_replaced = self._on_replaced

    def serve(self, message: Request) -> None:
        """Handles a request to the control address."""
        path = message.target.partition(b"?")[0]
        has_instance = path.startswith(INSTANCES_PATH) and len(path) > len(INSTANCES_PATH)
        if not has_instance or message.method not in (b"PUT", b"DELETE"):
            message.answer(ERROR_RESPONSES[ErrorKind.NOT_HERE].status)
            return
        instance = path[len(INSTANCES_PATH) :].decode("latin-1")
        if message.method == b"DELETE":
            self._handle_end(instance)
            message.answer(200, EMPTY_ANSWER, JSON)
            return
        if not self._context.memory.account.fits(decoded_json_bytes(message.pieces())):
            message.answer(ERROR_RESPONSES[ErrorKind.REFUSED].status)
            return
        handled = self._handle_heartbeat(instance, message.whole_body())
        if handled.is_error():
            message.answer(ERROR_RESPONSES[handled.error].status)
        elif handled.ok is None or not self.grants_by_heartbeat:
            message.answer(200, EMPTY_ANSWER, JSON)
        else:
            self._answer_ranges(message, handled.ok)

    def _handle_end(self, instance: str) -> None:
        """Handles the end of an instance: it gets no further calls, and late heartbeats of it are ignored."""
        queue = self._queue
        self._end_wait_unanswered()
        self._alive.discard(instance)
        queue.ended_instances.add(instance)
        if queue.instance == instance:
            queue.on_server_gone()
            self._publish()

    def _handle_heartbeat(self, instance: str, body: bytes) -> Result[ServerHeartbeat | None, ErrorKind]:
        """Applies a heartbeat; returns it, None if it is superseded, or the error if it is rejected."""
        queue = self._queue
        parsed = parse_heartbeat(body)
        if parsed.is_error():
            return Error(ErrorKind.BAD)
        heartbeat = parsed.ok
        if heartbeat.call_number <= queue.heartbeat_numbers.get(instance, -1):
            return Ok(None)  # it arrived late: it is superseded by a newer heartbeat
        if instance in queue.ended_instances:
            self.is_server_in_doubt = True  # it arrived late, or one of an earlier server did
            return Ok(None)
        if heartbeat.service != self._context.settings.service:
            logger.warning("rejected a heartbeat of another service", service=heartbeat.service)
            return Error(ErrorKind.BAD)
        queue.heartbeat_numbers[instance] = heartbeat.call_number
        self.suspicion.on_contact(self._context.monotonic())
        (self._alive.add if heartbeat.ready else self._alive.discard)(instance)
        before = (queue.instance, queue.open, self.lists_holds)
        self.lists_holds = heartbeat.lists_holds
        if self.is_sharded and not heartbeat.ready and before[:2] == (instance, True):
            drain_s = self._context.settings.bound("drain", DEFAULT_DRAIN_S)
            queue.drain(self._context.now() + drain_s - DRAIN_MARGIN_S)
        queue.update_server(instance, heartbeat.slots, heartbeat.warm_up_s, heartbeat.ready)
        after = (queue.instance, queue.open, self.lists_holds)
        if after != before:  # a change of slots alone affects no other sidecar
            self._publish()
        self.check_suspicion()
        return Ok(heartbeat)

    # --- key ranges in answers

    def _answer_ranges(self, message: Request, heartbeat: ServerHeartbeat) -> None:
        """Learns from a heartbeat what the server holds, and tells it what it is to hold, now or soon."""
        context, holds = self._context, self._holds
        received_after = context.read_clock.received_after()
        opened = OpenHeartbeat(message, self._queue.instance, heartbeat.ranges, received_after)
        self._end_wait_unanswered()
        if holds.on_heartbeat(context.monotonic(), opened.ranges):
            self.on_released()
        is_promised = heartbeat.ready and holds.is_promised_ranges()
        if is_promised and holds.awaits_ranges(context.monotonic(), opened.ranges):
            self._postpone(opened)
        else:
            self._answer(opened)

    def _answer(self, opened: OpenHeartbeat) -> None:
        """Answers a heartbeat with all that the server is to hold, unless another has taken its place."""
        if opened.instance != self._queue.instance or not self.grants_by_heartbeat:
            opened.message.answer(200, EMPTY_ANSWER, JSON)
            return
        grants = self._holds.answer_heartbeat(
            self._context.monotonic(),
            opened.received_after,
            opened.ranges,
            HEARTBEATS_PER_HOLD * self._context.settings.beat_s,
        )
        if grants is None:
            opened.message.answer(200, EMPTY_ANSWER, JSON)
            return
        self.on_grants_answered()
        opened.message.answer(200, _encode_grants(grants), JSON)

    def _postpone(self, opened: OpenHeartbeat) -> None:
        """Keeps a heartbeat open until there is more to tell, for a limited time."""
        self._postponed = opened
        self._postponed_timer = self._context.loop.call_later(self._max_delay_s(), self._answer_postponed)

    def _max_delay_s(self) -> float:
        """Returns how long an answer may wait: what the server holds must not run out meanwhile."""
        beat_s, lease_s = self._context.settings.beat_s, self._holds.lease_s
        return max(0.0, min(MAX_ANSWER_DELAY_S, beat_s / 2, lease_s / 2 - beat_s))

    def check_postponed(self) -> None:
        """Answers the heartbeat that is open unless it is still to wait, after a change of what is leased."""
        opened, now = self._postponed, self._context.monotonic()
        if opened is not None and not self._holds.awaits_ranges(now, opened.ranges):
            self._answer_postponed()

    def _answer_postponed(self) -> None:
        opened = self._take_postponed()
        if opened is not None:
            self._answer(opened)

    def _end_wait_unanswered(self) -> None:
        """Ends the wait of a heartbeat that a newer one, or the end of the server, has superseded."""
        opened = self._take_postponed()
        if opened is not None:
            opened.message.answer(200, EMPTY_ANSWER, JSON)

    def _take_postponed(self) -> OpenHeartbeat | None:
        opened, self._postponed = self._postponed, None
        if self._postponed_timer is not None:
            self._postponed_timer.cancel()
            self._postponed_timer = None
        return opened

    # --- suspicion

    def _seems_dead(self) -> bool:
        """Returns whether the signs of life say now that the server of a sharded service is dead."""
        is_watched = self.is_sharded and bool(self._queue.instance)
        return is_watched and self.suspicion.is_suspected(self._context.monotonic())

    def on_contact(self, answered: bool) -> None:
        """Handles the end of a call to the server: it has answered, or the connection failed."""
        if answered:
            self.suspicion.on_contact(self._context.monotonic())
        else:
            self.suspicion.on_failure()
        self.check_suspicion()

    def check_suspicion(self) -> None:
        """Publishes the record if the server seems to be dead now and did not before, or the reverse."""
        if self._seems_dead() != self.is_suspected:
            self._publish()

    def _publish(self) -> None:
        """Publishes the record, which goes by the signs of life as they are now."""
        is_suspected = self._seems_dead()
        if is_suspected != self.is_suspected:
            logger.info("the server seems to be dead" if is_suspected else "the server is alive")
        self.is_suspected = is_suspected
        self._on_change()

    # --- ids that a server gives in other answers

    def on_instance_found(self, instance: str) -> None:
        """Handles the id, or an empty string, that a server at the local server's address has given.

        The server is used at once if its id is known to be of this service, so that a restarted sidecar need
        not wait for a heartbeat. Another service may use the address by now, so any other id has to wait. One
        that is ready by its own heartbeat is alive after all if a late heartbeat has replaced it.
        """
        self._found = instance
        if instance in self._alive:
            self._queue.ended_instances.discard(instance)
        if instance in self._alive or instance in self._confirmed:
            self._adopt(instance)
        elif instance and not self._queue.instance and instance not in self._queue.ended_instances:
            self.unconfirmed += 1
            logger.info("found a server of an unknown service, awaiting its heartbeat", instance=instance)

    def on_server_answered(self, instance: str) -> None:
        """Handles the id of the server that answers at the address now.

        If a late heartbeat has replaced that server, it is used again.
        """
        self.is_server_in_doubt = False
        if instance != self._queue.instance and instance in self._alive:
            self._queue.on_server_gone()
            self._on_replaced(instance)

    def on_known_server(self, message: KnownServer) -> None:
        """Handles the message that an earlier incarnation of this sidecar has registered a server."""
        if message.service != self._context.settings.service:
            return
        self._confirmed.add(message.instance)
        if message.instance == self._found:
            self._adopt(message.instance)

    def _on_replaced(self, instance: str) -> None:
        """Handles the end of the server, at whose address another one with this id answers."""
        self.on_instance_found(instance)
        if not self._queue.instance:
            self._publish()

    def _adopt(self, instance: str) -> None:
        """Uses a server of this service before its heartbeat, unless it has ended or there is another one."""
        queue = self._queue
        if not queue.instance and instance not in queue.ended_instances:
            logger.info("learned the instance id from the server", instance=instance)
            self.suspicion.on_contact(self._context.monotonic())
            queue.update_server(instance, MAX_STEPS, 0.0, True)
            self._publish()

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
            is_open=queue.open and not context.draining and not self.is_suspected,
            warm_up_s=max(0.0, queue.warming_up_until - context.now()),
            incarnation=context.incarnation,
            number=self._number,
            version=VERSION,
        )

    def ensure_newer_than(self, incarnation: int) -> None:
        """Raises the incarnation above one that is already known, as after the clock has stepped back."""
        if incarnation >= self._context.incarnation:
            self._context.incarnation = incarnation + 1
            self._publish()
