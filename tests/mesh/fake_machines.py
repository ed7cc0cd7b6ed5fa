"""Simulated machines, processes, disks and connections, on which the roles' own code runs.

`mesh_world.World` holds the clock and runs the event loops; nothing here waits by itself.
"""

from __future__ import annotations

import asyncio
import sys
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import cbor2

from hollyport.http.message import Message
from mesh.storage.record_store import decode_batches, encode_batch
from mesh.transport import messages
from mesh.transport.messages import kind_of

if TYPE_CHECKING:
    from mesh_world import World

VOTER_ANSWERS = frozenset(
    {
        kind_of(messages.FetchAnswer),
        kind_of(messages.PrepareAnswer),
        kind_of(messages.AcceptAnswer),
        kind_of(messages.GrantsAnswer),
        kind_of(messages.ClaimAnswer),
    }
)
HEARTBEATS = frozenset({kind_of(messages.Heartbeat), kind_of(messages.HeartbeatAnswer)})
# deliveries that are no fault points
LIVENESS_KINDS = HEARTBEATS | {kind_of(messages.Ping), kind_of(messages.Pong)}


def message_kind(packed: bytes) -> int:
    """Returns the kind of a packed message, the first entry of its array."""
    return packed[6] if packed[5] == 24 else packed[5]


class Loop(asyncio.BaseEventLoop):
    """The event loop of one process. The world runs its iterations; it never waits."""

    def __init__(self, process: Process) -> None:
        super().__init__()
        self.process = process
        self._selector = self
        self.set_exception_handler(self._failed)

    def time(self) -> float:
        return self.process.world.now

    def select(self, timeout: float | None) -> list[Any]:
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        if self.process.alive:
            self.process.world.errors.append(repr(context))

    def due(self) -> float:
        """Returns when the next iteration is due."""
        if self._ready:
            return 0.0
        return self._scheduled[0]._when if self._scheduled else float("inf")

    def turn(self) -> None:
        events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            events._set_running_loop(None)

    async def create_connection(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        """Opens a connection; as in TCP, nothing comes back from a machine that is off or partitioned."""
        world, me = self.process.world, self.process
        made: asyncio.Future[Any] = self.create_future()
        near = world.end_of(port)(me)

        def refused() -> None:
            if me.alive and not made.done():
                made.set_exception(ConnectionRefusedError())

        def arrived() -> None:
            machine = world.machines[host]
            if not machine.up or world.blocked(me.host, host):
                return
            listening = machine.listening.get(port)
            if listening is None:
                world.after(world.delay(), refused)
                return
            process, make = listening
            far = world.end_of(port)(process)
            near.other, far.other = far, near
            process.soon(lambda: far.begin(make()))
            world.after(world.delay(), back)

        def back() -> None:
            if me.alive and not made.done():
                made.set_result(None)
            else:
                near.abort()

        world.after(world.delay(), arrived)
        await made
        if near.closed:
            raise ConnectionResetError
        protocol = factory()
        near.begin(protocol)
        return near, protocol

    async def create_server(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 0) -> Any:
        self.process.machine.listening[port] = (self.process, factory)
        return None


class End:
    """One end of a connection, as the transport of a protocol. Data arrives in order, possibly delayed."""

    def __init__(self, process: Process) -> None:
        self.process, self.world = process, process.world
        self.other: End | None = None
        self.protocol: Any = None
        self.closed = False
        self._way: deque[tuple[float, bytes | None]] = deque()  # data in transit; None: end of stream
        self._last = 0.0
        self.lost = False  # data written here arrived at a machine that was off
        process.ends[self] = None

    def begin(self, protocol: Any) -> None:
        if not self.closed:
            self.protocol = protocol
            protocol.connection_made(self)

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: bytes) -> None:
        at = 0
        while at < len(data):
            size = 4 + int.from_bytes(data[at : at + 4], "big")
            self._ship(data[at : at + size])
            at += size

    def _ship(self, packed: bytes | None) -> None:
        if packed is not None and message_kind(packed) in VOTER_ANSWERS:
            self.world.told(self.process, cbor2.loads(packed[4:]))
        self._last = max(self._last, self.world.now + self.world.delay())
        self._way.append((self._last, packed))
        if len(self._way) == 1:
            self.world.at(self._last, self._pump)

    def _pump(self) -> None:
        """Delivers what is due; during a partition, once that has ended."""
        other = self.other
        assert other is not None
        until = self.world.blocked(self.process.host, other.process.host)
        if until:
            self.world.at(until + self.world.delay(), self._pump)
            return
        _, packed = self._way.popleft()
        if self._way:
            self.world.at(self._way[0][0], self._pump)
        if packed is None:
            other.ended()
            return
        if self._counts(packed):
            self.world.point(other.process, self.process)
        if not other.process.machine.up:
            self.lost = True
        elif not other.process.alive or other.closed:
            self.world.after(self.world.delay(), self.ended)
        else:
            self._deliver(other, packed)

    def _counts(self, packed: bytes) -> bool:
        """Whether the delivery of a message is a fault point."""
        return message_kind(packed) not in LIVENESS_KINDS

    def _deliver(self, other: End, packed: bytes) -> None:
        """Delivers one message, possibly twice or after later ones."""
        if self.world.trace:
            self.world.say(f"{self.process.name} -> {other.process.name}", cbor2.loads(packed[4:]))
        self.world.heard(other.process, self.process, packed)
        duplicated, delayed = self.world.draw_reordering(packed)
        if not delayed:
            other.process.soon(lambda: other.take(packed))
        if duplicated or delayed:
            self.world.after(
                self.world.random.uniform(0, 0.1), lambda: other.process.soon(lambda: other.take(packed))
            )

    def take(self, packed: bytes) -> None:
        if not self.closed and self.protocol is not None:
            self.protocol.data_received(self.world.corrupt(packed))

    def ended(self) -> None:
        """Handles a close by the other side, or a reset by a machine that does not know this connection."""

        def close() -> None:
            if not self.closed:
                self.closed = True
                self.process.ends.pop(self, None)
                if self.protocol is not None:
                    self.protocol.connection_lost(None)

        self.process.soon(close)

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.process.ends.pop(self, None)
            if self.other is not None:
                self._ship(None)


class Process:
    """One process of a role on a machine."""

    def __init__(self, world: World, machine: Machine, wiped: bool = False) -> None:
        self.world, self.machine, self.host = world, machine, machine.name
        self.alive = True
        self.frozen = False
        self.wiped = wiped  # started again on a disk that does not record that it had caught up
        self.began = world.now
        # by kind of answer: who answered as a voter
        self.heard: dict[int, set[str]] = {
            kind_of(messages.FetchAnswer): set(),
            kind_of(messages.GrantsAnswer): set(),
        }
        self.ends: dict[End, None] = {}  # in the order in which they were opened
        self.role: Any = None
        machine.lives += 1
        self.name = f"{machine.name}#{machine.lives}"
        self.loop = Loop(self)
        world.processes.append(self)

    def soon(self, work: Callable[[], Any]) -> None:
        if self.alive:
            self.loop.call_soon(work)

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return self.loop.create_task(work)

    def end(self, quietly: bool) -> None:
        """Kills the process; with `quietly` its machine fails too, so peers are not notified."""
        if not self.alive:
            return
        self.alive = False
        taken = self.machine.listening
        self.machine.listening = {port: told for port, told in taken.items() if told[0] is not self}
        self.world.processes.remove(self)
        for end in list(self.ends) if not quietly else ():
            if not end.closed and end.other is not None:
                end.abort()
        self.loop.close()


class Disk:
    """The disk of a machine: synced batches, and one that is written but not synced."""

    def __init__(self) -> None:
        self.synced: list[bytes] = []
        self.written: list[bytes] = []
        self.healthy = True
        self.stalled_until = 0.0
        self.slow = 1.0  # multiple of the usual duration of a sync

    def records(self) -> list[Any]:
        return [record for batch in self.synced + self.written for record in decode_batches(batch)]


class Machine:
    """A host: whether it is up, its disk, and its listeners."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.up = True
        self.disk = Disk()
        self.listening: dict[int, tuple[Process, Callable[[], Any]]] = {}  # by port
        self.process: Process | None = None
        self.lives = 0


class Store:
    """`mesh.storage.record_store.RecordStore` on a simulated disk: one batch at a time, and a new generation
    in each process."""

    def __init__(self, folder: str, state: Callable[[], Iterable[Any]]) -> None:
        self._process = asyncio.get_running_loop().process  # type: ignore[attr-defined]
        self._world, self._disk = self._process.world, self._process.machine.disk
        self._state = state
        self._waiting: list[Any] = []
        self._busy = self._due = self._begun = False
        self.healthy = True

    def load(self) -> list[Any]:
        self._disk.synced += self._disk.written
        self._disk.written = []
        return self._disk.records()

    def put(self, record: Any, done: Callable[[bool], None] | None = None) -> None:
        self._waiting.append((record, done))
        if not self._busy and not self._due:
            self._due = True
            self._process.loop.call_soon(self._begin)

    def _begin(self) -> None:
        self._due = False
        if self._busy or not self._waiting:
            return
        self._busy = True
        batch, self._waiting = self._waiting, []
        fresh = not self._begun
        data = [encode_batch(list(self._state()))] if fresh else []
        data.append(encode_batch([record for record, _ in batch]))
        if self._disk.healthy:
            self._disk.written = data
        wait = max(0.0, self._disk.stalled_until - self._world.now)
        sync_s = self._world.sync_delay() * self._disk.slow
        self._world.after(wait + sync_s, lambda: self._synced(batch, data, fresh))

    def _synced(self, batch: list[Any], data: list[bytes], fresh: bool) -> None:
        if not self._process.alive:
            return
        if self._disk.healthy:
            self._disk.synced = data if fresh else self._disk.synced + data
        self._disk.written = []
        self._begun = self.healthy = self._disk.healthy
        self._world.point(self._process, self._process)
        self._process.soon(lambda: self._tell(batch))

    def _tell(self, batch: list[Any]) -> None:
        self._busy = False
        for _, done in batch:
            if done is not None:
                done(self.healthy)
        self._begin()


class HttpServer:
    """Stands in for a role's HTTP server; tests pass requests to the role directly."""

    def __init__(self) -> None:
        self.listener = SimpleNamespace(last_requests=lambda: None, shut=lambda: None)

    def update_limits(self, *figures: float) -> None:
        pass


async def open_http_server(*told: Any, memory: Any) -> HttpServer:
    return HttpServer()


class NoFailureDetector:
    """Stands in for the failure detector between sidecars, and does nothing."""

    def __init__(self, *told: Any) -> None:
        self.start = self.stop = self.update_member = self.remove_member = lambda *told: None


class Log:
    """Stands in for the log: records each line with its fault point and host, and exceptions as errors."""

    def __init__(self, world: World) -> None:
        self._world = world

    def info(self, text: str, *values: Any, **fields: Any) -> None:
        host = asyncio.get_running_loop().process.host  # type: ignore[attr-defined]
        self._world.log_lines.append((self._world.points, host, text))

    warning = info

    def exception(self, text: str) -> None:
        self._world.errors.append(f"{text}: {sys.exc_info()[1]!r}")


class ResponseCallback:
    """Passes the response to an admin call to a callback."""

    def __init__(self, then: Callable[[int, bytes], None]) -> None:
        self._then = then

    def answer(self, message: Message, status: int, body: bytes = b"", headers: Any = ()) -> None:
        self._then(status, bytes(body))
