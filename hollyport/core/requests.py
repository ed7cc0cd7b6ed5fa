"""One decision module and the requests it has in hand: its clock, timers, events and actions, whatever
protocols are spoken on either side.

Nothing is decided here. What fronts and backs tell becomes an event for `dunefield.balancer`, and what that
answers is carried out.
"""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from dunefield.balancer import Balancer
from dunefield.interface import (
    NEVER_RAN,
    Action,
    AttemptFinished,
    AttemptOutcome,
    BodyCompleted,
    BodyDiscarded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    FailRequest,
    FetchServerList,
    LogMessage,
    ProbeResult,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
    SendPeerMessage,
    Settings,
    StartTimer,
    SubscribeServerList,
    TimerFired,
)
from hollyport.core.clock import Beat, Clock
from hollyport.core.contract import Answered, Asked, Carried, Nodes, Terms
from hollyport.core.ids import Ids
from hollyport.core.tally import End, Tally

MARGIN_NS = 10_000_000  # the module's deadline comes this much before the client's: answers take their way
GUARD_NS = 5_000_000  # and the last guard between the two


class Asks(Protocol):
    """Whoever is asked for the list of nodes."""

    def subscribe(self, want: bool) -> None: ...

    def fetch(self) -> None: ...


class Request:
    """A request taken from the application, until it is over and no attempt is out."""

    __slots__ = ("request_id", "asked", "cls", "attempts", "out", "maybe_ran", "over", "guard", "last",
                 "oneway", "rid", "growing", "wait_ns", "whole_at", "counted", "flowing", "told")  # fmt: skip

    def __init__(self, request_id: str, asked: Asked, terms: Terms) -> None:
        self.request_id, self.asked, self.cls, self.oneway = request_id, asked, terms.cls, terms.oneway
        self.rid, self.growing, self.wait_ns = terms.rid, terms.growing, terms.wait_ns
        self.whole_at = 0  # when its last byte came, where it was taken before that
        self.counted = not terms.growing  # among those taken
        self.flowing = -1  # the attempt whose answer is being passed on
        self.told = -1  # the same, to the end: its outcome has been told to the module
        self.attempts = 0
        self.out: dict[int, Carried] = {}
        self.maybe_ran = False
        self.over = False  # answered, or the client has left
        self.guard: asyncio.TimerHandle | None = None
        self.last: AttemptOutcome | None = None


class Core:
    """The requests of one pool of nodes (hollyport.core.contract.Service)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        beat: Beat,
        ids: Ids,
        settings: Settings,
        seed: int,
        upstream: Nodes,
        refused_by: Callable[[str], None] = lambda server: None,
        tally: Tally | None = None,
    ) -> None:
        self._loop, self._clock, self._settings = loop, clock, settings
        self._upstream, self._stalled, self._ids, self._new_id = upstream, beat.stalled, ids, ids.new
        self._refused_by = refused_by  # told which node could not be connected to
        self.asks: Asks | None = None  # None: another core asks, and this one is told as well
        self.tally = tally or Tally([c.name for c in settings.classes])
        self.closing = False
        self._requests: dict[str, Request] = {}
        self._count = 0
        self._inbox: deque[Event] = deque()
        self._handling = False
        # A probe that takes so long tells of a server that stands still, whatever it would have said.
        self._probe_limit_s = min(c.target_ns for c in settings.classes) / 6e9
        self._module = Balancer(settings, seed, clock())

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
            self._broken(getattr(event, "request_id", ""))
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                self._broken(getattr(action, "request_id", ""))

    def _broken(self, request_id: str) -> None:
        """An exception costs the request it came from, and nothing else."""
        traceback.print_exc(file=sys.stderr)
        request = self._requests.get(request_id)
        if request is not None:
            self._give_up(request, request.asked.broken)

    # --- for fronts

    def ready(self) -> bool:
        """Whether requests can be served."""
        return self._upstream.any_up() and not self.closing

    def census(self) -> tuple[int, int]:
        """Servers in the list, and those of them that the module avoids now."""
        return self._module.server_counts(self._clock())

    def request(self, asked: Asked, terms: Terms) -> None:
        """Take a request."""
        now = self._loop.time()
        if not terms.growing:
            self.tally.take(terms.cls)
        if not self._new_id(terms.rid, now):
            if terms.growing:
                self.tally.take(terms.cls)
            self.tally.end(terms.cls, End.FAILED)
            asked.repeated()
            return
        self._count += 1
        asked.request_id = request_id = str(self._count)
        # It may have waited behind another, or unread while this process stood still for want of CPU.
        wait = terms.wait_ns - int((now - asked.came + self._stalled()) * 1e9)
        request = self._requests[request_id] = Request(request_id, asked, terms)
        if not terms.growing:
            request.guard = self._loop.call_later((wait - GUARD_NS) / 1e9, self._guard, request)
        self.deliver(
            RequestArrived(
                request_id,
                terms.cls,
                wait - MARGIN_NS,
                terms.cost_ns,
                terms.tenant,
                terms.key,
                terms.retry,
                terms.write,
                terms.growing,
            )
        )

    def whole(self, asked: Asked) -> None:
        """The last byte of a request that was growing has come: the client's time begins."""
        request = self._requests.get(asked.request_id)
        if request is None or not request.growing or request.over:
            return
        self._count_in(request)
        request.growing, request.whole_at = False, self._clock()
        self.deliver(BodyCompleted(request.request_id))
        wait = request.wait_ns - int(self._stalled() * 1e9)
        request.guard = self._loop.call_later((wait - GUARD_NS) / 1e9, self._guard, request)
        for exchange in request.out.values():
            exchange.expire(self._loop.time() + (wait - MARGIN_NS) / 1e9)

    def spent(self, asked: Asked) -> None:
        """No other attempt can be made: what has come is not held."""
        if asked.request_id in self._requests:
            self.deliver(BodyDiscarded(asked.request_id))

    def hangup(self, asked: Asked) -> None:
        """The client left; what its attempts come to is still told to the module."""
        request = self._requests.get(asked.request_id)
        if request is not None and request.flowing >= 0:
            exchange = request.out.get(request.flowing)
            if exchange is not None:
                request.flowing = -1
                self.tally.end(request.cls, End.LEFT)
                exchange.cancel()
        elif request is not None and not request.over:
            self._finish(request, End.LEFT)
            self.deliver(ClientDisconnected(request.request_id))
            if request.growing:
                # It was never whole, so no server can have begun it, and none is to wait for the rest.
                for exchange in list(request.out.values()):
                    exchange.cancel()
                self._ids.forget(request.rid)
            self._forget(request)

    # --- actions out

    def _perform(self, action: Action) -> None:
        match action:
            case SendAttempt(request_id, server, deadline_ns):
                self._submit(request_id, server, deadline_ns)
            case ProbeServer(server):
                self._probe(server)
            case StartTimer(delay_ns, tag):
                self._defer(self._clock() + delay_ns, tag)
            case RefuseRequest(request_id, retry_after_ns):
                if (request := self._ended(request_id, End.DROPPED)) is not None:
                    request.asked.refused(retry_after_ns)
            case FailRequest(request_id):
                if (request := self._ended(request_id, End.FAILED)) is not None:
                    request.asked.failed(request.last is AttemptOutcome.TIMEOUT)
            case CancelAttempt(request_id, attempt):
                request = self._requests.get(request_id)
                if request is not None and attempt in request.out:
                    request.out[attempt].cancel()
            case CloseIdleConnections(server):
                self._upstream.close_idle(server)
            case SubscribeServerList(want):
                if self.asks is not None:
                    self.asks.subscribe(want)
            case FetchServerList():
                if self.asks is not None:
                    self.asks.fetch()
            case LogMessage(text):
                print(f"note: {text}", file=sys.stderr, flush=True)
            case SendPeerMessage():
                raise NotImplementedError("this deployment has no peers")

    def _submit(self, request_id: str, server: str, deadline_ns: int) -> None:
        request = self._requests[request_id]
        number, request.attempts = request.attempts, request.attempts + 1
        sent = self._clock()
        abandon = deadline_ns or sent + self._settings.classes[request.cls].deadline_ns

        def ended(how: AttemptOutcome, answer: Answered | None) -> None:
            request.out.pop(number, None)
            self._outcome(request, how, answer, sent, server, number)

        exchange = None
        if not request.over:
            exchange = self._upstream.exchange(
                server,
                lambda: request.asked.wire((abandon - self._clock()) / 1e9),
                (abandon - sent) / 1e9,
                ended,
            )
            if exchange is not None and request.growing:
                exchange.grow()
        if exchange is None:
            ended(AttemptOutcome.MOOT, None)
        else:
            request.out[number] = exchange
            if not request.oneway:
                exchange.on_begun = partial(self._begun, request, number, sent, server)
            exchange.on_written = (lambda: self._delivered(request)) if request.oneway else self.tally.tried
            exchange.start()

    def _begun(self, request: Request, number: int, sent: int, server: str, answer: Any) -> None:
        """A large answer has begun: it is the request's end, and no other attempt starts.

        To the module the attempt is over: the server has done its work, and how long the rest takes is the
        client's pace. The exchange goes on until the last byte, and tells the tally then.
        """
        if request.over:
            request.out[number].cancel()
            return
        request.flowing = request.told = number
        request.maybe_ran = True
        self._close(request)
        lag = self._clock() - max(sent, request.whole_at)
        self.deliver(AttemptFinished(request.request_id, AttemptOutcome.OK, lag, server, number, True, {}))
        request.asked.begun(answer)

    def _flowed(self, request: Request, whole: bool) -> None:
        """The end of a large answer."""
        if request.flowing >= 0:
            request.flowing = -1
            self.tally.end(request.cls, End.PASSED if whole else End.FAILED)
        self._forget(request)

    def _delivered(self, request: Request) -> None:
        """A oneway call is written whole: from here on it must not be sent again, and nobody waits for it.

        To the module that is a client that has left, with the attempt still out: the server stays as busy in
        its books as it is, until the attempt is known to be over.
        """
        self.tally.tried()
        if not request.over:
            self._finish(request, End.PASSED)
            request.asked.served(None)
            self.deliver(ClientDisconnected(request.request_id))

    def _outcome(
        self,
        request: Request,
        how: AttemptOutcome,
        answer: Answered | None,
        sent: int,
        server: str,
        number: int,
    ) -> None:
        if number == request.told:
            self._flowed(request, how is AttemptOutcome.OK)
            return
        request.maybe_ran = request.maybe_ran or how not in NEVER_RAN
        request.last = how
        if how is AttemptOutcome.OK and answer is not None and not request.over:
            self._finish(request, End.PASSED)
            request.asked.served(answer)
        if how is AttemptOutcome.CONNECT_FAILED:
            self._refused_by(server)
        lag = self._clock() - max(sent, request.whole_at)
        if how is AttemptOutcome.OK and answer is not None:
            lag = max(1, lag - int(answer.transfer_s * 1e9))
        load = answer.riding() if answer is not None else {}
        self.deliver(AttemptFinished(request.request_id, how, lag, server, number, request.over, load))
        self._forget(request)

    def _probe(self, server: str) -> None:
        sent = self._clock()

        def ended(how: AttemptOutcome, answer: Answered | None) -> None:
            load = answer.report() if answer is not None else {}
            self.deliver(ProbeResult(server, how, self._clock() - sent, load))

        exchange = self._upstream.probe(server, self._probe_limit_s, ended)
        if exchange is None:
            ended(AttemptOutcome.MOOT, None)
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
            self.deliver(TimerFired(tag))

    # --- ends of requests

    def _ended(self, request_id: str, how: End) -> Request | None:
        """The request, if it is still owed its end; whoever asks gives it."""
        request = self._requests.get(request_id)
        if request is None or request.over:
            return None
        self._finish(request, how)
        self._forget(request)
        return request

    def _finish(self, request: Request, how: End) -> None:
        if request.growing and how is End.LEFT:
            self._close(request)  # of a request that never came whole nothing was taken
            return
        self._count_in(request)
        self.tally.end(request.cls, how)
        self._close(request)

    def _count_in(self, request: Request) -> None:
        if not request.counted:
            request.counted = True
            self.tally.take(request.cls)

    def _close(self, request: Request) -> None:
        """No end but the one that is given now."""
        request.over = True
        if request.guard is not None:
            request.guard.cancel()

    def _forget(self, request: Request) -> None:
        if request.over and not request.out:
            self._requests.pop(request.request_id, None)

    def _guard(self, request: Request) -> None:
        """The client's time is nearly up and nothing has answered: no path may leave a request open."""
        if not request.over:
            print(f"guard: request {request.request_id} had no answer in time", file=sys.stderr, flush=True)
            self._give_up(request, lambda: request.asked.failed(True))

    def _give_up(self, request: Request, end: Callable[[], None]) -> None:
        """End it without the module, truthfully: with a refusal only if no attempt can have run."""
        free = self._settings.classes[request.cls].retry_safety == "free"
        ran = request.maybe_ran or bool(request.out)
        truly = ran and not free
        if self._ended(request.request_id, End.FAILED if truly else End.DROPPED) is not None:
            if truly:
                end()
            else:
                request.asked.refused(0)
        self.deliver(ClientDisconnected(request.request_id))  # for the module it is over, too
