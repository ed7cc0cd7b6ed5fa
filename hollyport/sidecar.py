"""One sidecar: the module's clock, timers, events and actions, and the table of requests and attempts.

Nothing is decided here. What happens on sockets becomes an event for `dunefield.rules`, and what that
answers is carried out.
"""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from dunefield.interface import (
    NEVER_RAN,
    Accept,
    Action,
    Alarm,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Event,
    Fail,
    Fetch,
    Hangup,
    How,
    Note,
    Probe,
    Refuse,
    Response,
    Retract,
    Submit,
    Subscribe,
    Tell,
)
from dunefield.rules import Balancer
from hollyport.admission import Gate
from hollyport.client import Message
from hollyport.config import Address, Config
from hollyport.connection import Reply
from hollyport.contract import Asked
from hollyport.discovery import Discovery, Listing, read_listing
from hollyport.http import heads
from hollyport.listener import Listener
from hollyport.options import Options
from hollyport.upstream import Exchange, Upstream

if TYPE_CHECKING:
    from hollyport.registries.feed import Feed

MARGIN_NS = 10_000_000  # the module's deadline comes this much before the client's: answers take their way
GUARD_NS = 5_000_000  # and the last guard between the two
KEEP_ACCEPTING_S = 0.45  # after SIGTERM; new connections go on coming for 0.4 s
LOOK_S = 0.02  # how often a stopping sidecar looks whether all is answered
BEAT_S = 0.02  # how often the loop shows that it runs
STALL_S = 0.1  # from when on a standstill is worth a line in the log
RESERVE = 32  # descriptors for the program itself: loop, signals, log, discovery old and new, files


class Clock:
    """Unix time in nanoseconds, anchored once: servers' starts are told in it, and it must not jump."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return self._anchor + time.monotonic_ns()


class Request:
    """A request taken from the application, until it is over and no attempt is out."""

    __slots__ = ("tid", "message", "cls", "attempts", "out", "maybe_ran", "over", "guard", "last")

    def __init__(self, tid: str, message: Asked, cls: int) -> None:
        self.tid, self.message, self.cls = tid, message, cls
        self.attempts = 0
        self.out: dict[int, Exchange] = {}
        self.maybe_ran = False
        self.over = False  # answered, or the client has left
        self.guard: asyncio.TimerHandle | None = None
        self.last: How | None = None


class Sidecar:
    """Wires listener, servers and discovery to one balancer of the decision module."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, options: Options | None = None
    ) -> None:
        self._config, self._loop = config, loop
        self._settings = settings = config.settings
        self._clock = Clock()
        self._gate = Gate(settings)
        self._longest_ns = max(c.deadline_ns for c in settings.classes)
        self._ids: dict[bytes, float] = {}  # ids of requests taken of late, by when
        self._id_life_s = 2 * self._longest_ns / 1e9
        self._requests: dict[str, Request] = {}
        self._count = 0
        self._beat_due = 0.0
        self._beat()
        self._inbox: deque[Event] = deque()
        self._handling = False
        # A probe that takes so long tells of a server that stands still, whatever it would have said.
        self._probe_limit_s = min(c.aim_ns for c in settings.classes) / 6e9
        self._probe_request = heads.probe(settings.reports != "none")
        limits = settings.limits
        # Two budgets: neither a flood of clients nor slow servers may take the other side's descriptors.
        # Clients may hold a third of all for requests; as many again are left to those that send none.
        clients = (config.sockets - RESERVE) * 2 // 3
        self._upstream = Upstream(
            loop, limits.connect_timeout_ns, limits.conn_idle_ns, config.sockets - clients - RESERVE,
            min(c.aim_ns for c in settings.classes) / 2e9,
        )
        self._listener = Listener(self, clients, config.sockets // 4)
        known = read_listing(config.known, settings)
        self._feed = self._open_feed(options, known)
        if self._feed is not None:
            known = known._replace(lines=self._feed.known(known))
        self._discovery: Discovery | Feed = self._feed or Discovery(
            loop, config.discovery, settings, known.version, self._told
        )
        self._module = Balancer(settings, config.seed, self._clock())
        self._take_list(known, "SAVED")
        self._pushed = None if settings.must_ask else loop.create_task(self._discovery.follow())

    # --- life

    async def start(self) -> int:
        """Listen for the application; return the port."""
        listen = self._config.listen
        return await self._listener.start(self._loop, listen.host, listen.port)

    async def stop(self) -> None:
        """Take requests for as long as they may come, answer all of them, and close what is idle.

        Protects requests in the listen queue: the machine has accepted those connections, so the loop must
        have read them before the socket closes.
        """
        self._listener.last_requests()
        if self._feed is not None:
            # Before the socket closes: who reads the registry must not be sent here any more.
            await self._feed.take_off()
        await asyncio.sleep(KEEP_ACCEPTING_S)
        # All that was taken is answered by its deadline; a request that never comes in whole was not taken.
        latest = self._loop.time() + self._longest_ns / 1e9
        self._listener.close()
        while self._listener.busy() and self._loop.time() < latest:
            await asyncio.sleep(LOOK_S)
            self._listener.close()

    def _open_feed(self, options: Options | None, known: Listing) -> Feed | None:
        """More sources than the platform's list, where the operators' file names them; else none of it is
        loaded."""
        table = options.sections.get("registries") if options is not None else None
        if table is None:
            return None
        from hollyport.registries.feed import Feed

        config = self._config
        return Feed(self._loop, table, config.discovery, self._settings, known, config.name, config.seed,
                    self._clock, self._told)

    def take_options(self, options: Options) -> None:
        """The operators' file was read again. What of it can change while running does."""
        table = options.sections.get("registries")
        if self._feed is not None and table is not None:
            self._feed.take_options(table)

    def move_discovery(self, address: Address) -> None:
        """Follow another discovery from now on: its whole list first, and its own version numbers."""
        if self._feed is not None:
            self._feed.move(address)
            if self._pushed is not None:
                self._pushed.cancel()
                self._pushed = self._loop.create_task(self._feed.follow())
            return
        self._discovery.close()
        self._discovery = Discovery(self._loop, address, self._settings, None, self._told)
        if self._pushed is None:
            self._discovery.subscribe(True)
        else:
            self._pushed.cancel()
            self._pushed = self._loop.create_task(self._discovery.follow())

    # --- events in

    def deliver(self, event: Event) -> None:
        """Hand an event to the module; those that its actions bring about wait until these are done."""
        self._inbox.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._inbox:
                self._handle(self._inbox.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self._module.handle(self._clock(), event)
        except Exception:
            self._broken(getattr(event, "tid", ""))
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                self._broken(getattr(action, "tid", ""))

    def _broken(self, tid: str) -> None:
        """An exception costs the request it came from, and nothing else."""
        traceback.print_exc(file=sys.stderr)
        request = self._requests.get(tid)
        if request is not None:
            self._give_up(request, request.message.broken)

    # --- Listener's Service

    def ready(self) -> bool:
        """Whether requests can be served."""
        return self._upstream.any_up() and not self._listener.stopping

    def request(self, message: Message) -> None:
        """Take a request."""
        asked = self._gate.admit(message)
        now = self._loop.time()
        if isinstance(asked, int):
            message.answer(asked)
            return
        if not self._new_id(asked.rid, now):
            message.repeated()
            return
        self._count += 1
        message.tid = tid = str(self._count)
        # It may have waited behind another, or unread while this process stood still for want of CPU.
        wait = asked.wait_ns - int((now - message.came + self._stalled()) * 1e9)
        request = self._requests[tid] = Request(tid, message, asked.cls)
        request.guard = self._loop.call_later((wait - GUARD_NS) / 1e9, self._guard, request)
        self.deliver(Accept(
            tid, asked.cls, wait - MARGIN_NS, asked.cost_ns, asked.tenant, asked.key, asked.retry, asked.write
        ))

    def _new_id(self, rid: bytes, now: float) -> bool:
        """Whether no request with this id is open or was lately.

        Protects unsafe requests: an id is new with every request, so a second one is a copy, and the copy
        must not run beside the first, nor right after it.
        """
        ids = self._ids
        while ids:
            oldest = next(iter(ids))
            if now - ids[oldest] < self._id_life_s:
                break
            del ids[oldest]
        return rid not in ids and ids.setdefault(rid, now) == now

    def _beat(self) -> None:
        stalled = self._stalled()
        if stalled > STALL_S:
            print(f"loop: stood still for {stalled:.3f} s", file=sys.stderr, flush=True)
        self._beat_due = time.monotonic() + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def _stalled(self) -> float:
        """For how long this process may have stood still: what comes in now may have come that much earlier.

        Protects the client's deadline, which counts from its sending: a process short of CPU reads late and
        would count from there.
        """
        return max(0.0, time.monotonic() - self._beat_due) if self._beat_due else 0.0

    def hangup(self, message: Asked) -> None:
        """The client left; what its attempts come to is still told to the module."""
        request = self._requests.get(message.tid)
        if request is not None and not request.over:
            self._finish(request)
            self.deliver(Hangup(request.tid))
            self._forget(request)

    # --- actions out

    def _perform(self, action: Action) -> None:
        match action:
            case Submit(tid, server, abandon_ns):
                self._submit(tid, server, abandon_ns)
            case Probe(server):
                self._probe(server)
            case Defer(in_ns, tag):
                self._defer(self._clock() + in_ns, tag)
            case Refuse(tid, hold_off_ns):
                if (request := self._ended(tid)) is not None:
                    request.message.refused(hold_off_ns)
            case Fail(tid):
                if (request := self._ended(tid)) is not None:
                    request.message.failed(request.last is How.TIMEOUT)
            case Retract(tid, attempt):
                request = self._requests.get(tid)
                if request is not None and attempt in request.out:
                    request.out[attempt].cancel()
            case CloseIdle(server):
                self._upstream.close_idle(server)
            case Subscribe(want):
                self._discovery.subscribe(want)
            case Fetch():
                self._discovery.fetch()
            case Note(text):
                print(f"note: {text}", file=sys.stderr, flush=True)
            case Tell():
                raise NotImplementedError("this deployment has no peers")

    def _submit(self, tid: str, server: str, abandon_ns: int) -> None:
        request = self._requests[tid]
        number, request.attempts = request.attempts, request.attempts + 1
        sent = self._clock()
        abandon = abandon_ns or sent + self._settings.classes[request.cls].deadline_ns

        def ended(how: How, reply: Reply | None) -> None:
            request.out.pop(number, None)
            self._outcome(request, how, reply, sent, server, number)

        exchange = None
        if not request.over:
            exchange = self._upstream.exchange(
                server, lambda: request.message.wire((abandon - self._clock()) / 1e9), (abandon - sent) / 1e9,
                ended,
            )
        if exchange is None:
            ended(How.MOOT, None)
        else:
            request.out[number] = exchange
            exchange.start()

    def _outcome(
        self, request: Request, how: How, reply: Reply | None, sent: int, server: str, number: int
    ) -> None:
        request.maybe_ran = request.maybe_ran or how not in NEVER_RAN
        request.last = how
        if how is How.OK and reply is not None and not request.over:
            self._finish(request)
            request.message.served(reply)
        if self._feed is not None and how is How.CONNECT_FAILED:
            self._feed.broken(server)
        lag = self._clock() - sent
        load = reply.riding() if reply is not None else {}
        self.deliver(Response(request.tid, how, lag, server, number, request.over, load))
        self._forget(request)

    def _probe(self, server: str) -> None:
        sent = self._clock()

        def ended(how: How, reply: Reply | None) -> None:
            load = reply.report() if reply is not None else {}
            self.deliver(Echo(server, how, self._clock() - sent, load))

        exchange = self._upstream.exchange(server, lambda: self._probe_request, self._probe_limit_s, ended)
        if exchange is None:
            ended(How.MOOT, None)
        else:
            exchange.start()

    def _defer(self, due_ns: int, tag: int) -> None:
        self._loop.call_later(max(0.0, (due_ns - self._clock()) / 1e9), self._alarm, due_ns, tag)

    def _alarm(self, due_ns: int, tag: int) -> None:
        if self._clock() < due_ns:
            # The loop's timers count whole milliseconds and may come early; the module compares with its
            # clock and would let an early alarm pass for good.
            self._loop.call_later(0.001, self._alarm, due_ns, tag)
        else:
            self.deliver(Alarm(tag))

    # --- ends of requests

    def _ended(self, tid: str) -> Request | None:
        """The request, if it is still owed its end; whoever asks gives it."""
        request = self._requests.get(tid)
        if request is None or request.over:
            return None
        self._finish(request)
        self._forget(request)
        return request

    def _finish(self, request: Request) -> None:
        request.over = True
        if request.guard is not None:
            request.guard.cancel()

    def _forget(self, request: Request) -> None:
        if request.over and not request.out:
            self._requests.pop(request.tid, None)

    def _guard(self, request: Request) -> None:
        """The client's time is nearly up and nothing has answered: no path may leave a request open."""
        if not request.over:
            print(f"guard: request {request.tid} had no answer in time", file=sys.stderr, flush=True)
            self._give_up(request, lambda: request.message.failed(True))

    def _give_up(self, request: Request, end: Callable[[], None]) -> None:
        """End it without the module, truthfully: with a refusal only if no attempt can have run."""
        free = self._settings.classes[request.cls].repeat == "free"
        ran = request.maybe_ran or bool(request.out)
        if self._ended(request.tid) is not None:
            if ran and not free:
                end()
            else:
                request.message.refused(0)
        self.deliver(Hangup(request.tid))  # for the module it is over, too

    # --- the list

    def _told(self, listing: Listing | None) -> None:
        if listing is None:
            self.deliver(Directory("FAILED"))
        else:
            self._take_list(listing, "FULL" if listing.whole else "INCREMENTAL")

    def _take_list(self, listing: Listing, scope: str) -> None:
        for entry, address in listing.lines:
            if entry.lifecycle == "removed":
                self._upstream.remove(entry.server)
            else:
                self._upstream.update(entry.server, address, entry.started_ns, entry.lifecycle == "up")
        if scope != "INCREMENTAL":
            self._upstream.keep_only({line.entry.server for line in listing.lines})
        self.deliver(Directory(scope, tuple(line.entry for line in listing.lines), listing.version))
