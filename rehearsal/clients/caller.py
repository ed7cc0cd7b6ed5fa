"""A process that stands in for many clients: open loop, by due time, whatever the answers do.

Latency counts from when a call was due, not from when it could be sent. Connections are kept and opened as
needed. A call's client retries, waits and leaves as the plan has drawn for it. With a textbook policy the
calls go to the nodes themselves, with no sidecar between.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, cast

import httptools

from hollyport.thrift.stream import Messages
from hollyport.thrift.wire import Malformed
from rehearsal import bulk, thrift, worker
from rehearsal.clients import policy
from rehearsal.clients.flood import BadClient
from rehearsal.plan import Call, Plan, loads

MOST_FRAME = 1 << 20
GRACE_US = 50_000  # how much longer an answer may take on sockets before it counts as missing
TELL_S = 0.5
TRIES = "0123456789abcdef"


class Try:
    """One try of one call."""

    __slots__ = (
        "call",
        "number",
        "rid",
        "target",
        "sent",
        "connection",
        "over",
        "overdue",
        "timer",
        "again",
        "row",
        "seqid",
    )

    def __init__(self, call: int, number: int, rid: bytes, target: str) -> None:
        self.call, self.number, self.rid, self.target = call, number, rid, target
        self.sent = -1
        self.connection: ClientConnection | None = None
        self.over = False  # the client has gone on
        self.overdue = False  # it has, and an answer may still be on its way
        self.timer: asyncio.TimerHandle | None = None
        self.again = False  # sent once more, as the connection had been closed before it was read
        self.row: list[Any] | None = None
        self.seqid = call & 0x7FFFFFFF


class ClientConnection(asyncio.Protocol):
    """One kept connection: one try at a time."""

    def __init__(self, caller: Caller, target: str) -> None:
        self._caller, self.target = caller, target
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self.current: Try | None = None
        self.used = 0
        self._status = 0
        self._line = b""  # the first of the answer, by which it is known
        self._rest: bulk.Check | None = None  # what follows it
        self._retry_after: int | None = None
        self._complete = False
        self._last = b""  # id of the try before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, asked: Try, data: bytes) -> None:
        """Write one request."""
        assert self._transport is not None
        self.current, asked.connection = asked, self
        self._parser = httptools.HttpResponseParser(self)
        self._status, self._line, self._retry_after, self._complete = 0, b"", None, False
        self._rest = None
        self._transport.write(data)
        self.used += 1

    @property
    def alive(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """End it; what was open on it is no longer waited for."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.current is None:
            # Nothing is owed here: a second answer to the try before, or noise.
            self._caller.surplus(self._last, data)
            self.close()
            return
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._complete:
                self._caller.surplus(self._last, data)
            else:
                asked, self.current = self.current, None
                self._caller.ended(asked, policy.BROKEN, self._status)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._caller.forget(self)
        asked, self.current = self.current, None
        if asked is not None:
            with contextlib.suppress(httptools.HttpParserError):
                # An answer without a length ends with its connection.
                if self._status and self._parser is not None:
                    self.current = asked
                    self._parser.feed_data(b"")
            if self.current is not None or not self._complete:
                self.current = None
                self._caller.broken(asked, self.used, self._status)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self._caller.surplus(self._last, b"a second answer")
            raise ValueError("a second answer")

    def on_status(self, status: bytes) -> None:
        assert self._parser is not None
        self._status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self._retry_after = max(0, int(float(value) * 1e6))
            except (ValueError, OverflowError):
                self._retry_after = None

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if self._rest is None and len(self._line) < 65536:
            line, end, body = body.partition(b"\n")
            self._line += line + end
            if end and self.current is not None:
                self._rest = bulk.Check(self.current.rid, self._caller.answer_kb(self.current))
        if self._rest is not None and body:
            self._rest.feed(body)

    def on_message_complete(self) -> None:
        assert self._parser is not None
        if self._status < 200:
            return
        asked, self.current, self._complete = self.current, None, True
        if asked is None:
            return
        self._last = asked.rid
        kept = self._parser.should_keep_alive()
        if self._status == 200:
            own = self._line.startswith(asked.rid + b" ran on ")
            own = own and self._rest is not None and self._rest.whole
            outcome = policy.SERVED if own else policy.WRONG
        elif self._status in (429, 503) or self._caller.direct and self._status == 504:
            outcome = policy.REFUSED
        else:
            outcome = policy.FAILED
        if kept:
            self._caller.keep(self)
        else:
            self.close()
        self._caller.ended(asked, outcome, self._status, self._retry_after)


class ThriftClientConnection(ClientConnection):
    """The same over Thrift."""

    def __init__(self, caller: Caller, target: str, form: str) -> None:
        super().__init__(caller, target)
        self._messages = Messages(thrift.form(form), MOST_FRAME)

    def send(self, asked: Try, data: bytes) -> None:
        """Write one call."""
        assert self._transport is not None
        self.current, asked.connection = asked, self
        self._transport.write(data)
        self.used += 1

    def data_received(self, data: bytes) -> None:
        asked = self.current
        if asked is None:
            self._caller.surplus(self._last, data)
            self.close()
            return
        self._messages.feed(data)
        try:
            message = self._messages.next()
        except Malformed:
            self.current = None
            self._caller.ended(asked, policy.BROKEN, 0)
            self.close()
            return
        if message is None:
            return
        self.current, self._last = None, asked.rid
        status, body, again = thrift.told(message)
        if message.head.seqid != asked.seqid:
            outcome = policy.WRONG
        elif status == 200:
            outcome = policy.SERVED if body.startswith(asked.rid + b" ran on ") else policy.WRONG
        else:
            outcome = policy.REFUSED if status == 503 else policy.FAILED
        if self._messages.held:
            self._caller.surplus(asked.rid, b"a second answer")
            self.close()
        else:
            self._caller.keep(self)
        self._caller.ended(asked, outcome, status, again)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._caller.forget(self)
        asked, self.current = self.current, None
        if asked is not None:
            self._caller.broken(asked, self.used, 0)


class Caller:
    """All clients of this process."""

    def __init__(self, config: dict[str, Any], clock: worker.Clock, late: worker.Lateness) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock, self._late = clock, late
        self.plan: Plan = loads(Path(config["plan"]).read_bytes())
        self._prefix: str = config["prefix"]
        self._targets: list[str] = config["daemons"]
        self._thrift: list[str] = config.get("thrift", [])
        self.direct: bool = config["against"] is not None
        first, step = config["first"], config["step"]
        self._mine = [n for n, call in enumerate(self.plan.calls) if call.daemon % step == first]
        self._bad = [b for b in self.plan.bad if b.daemon % step == first]
        self._next = self._next_bad = 0
        self._idle: dict[str, list[ClientConnection]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._tries: list[list[Any]] = []
        self._surplus: list[list[Any]] = []
        self.bad_rows: list[list[Any]] = []
        self._paths = [
            (("GET /%s?q=" if c.repeat == "free" else "POST /%s?q=") % name)
            for name, c in self.plan.scenario.classes.items()
        ]
        self._kinds = list(self.plan.scenario.classes.values())
        self._repeats = [c.repeat for c in self.plan.scenario.classes.values()]
        self._worths = [c.worth for c in self.plan.scenario.classes.values()]
        self._aims = [int(c.aim_ms * 1000) for c in self.plan.scenario.classes.values()]
        self._longest = int(self.plan.scenario.clients.longest_wait_ms * 1000)
        self._asked = self._served = 0.0
        self._finished = 0
        self._books: dict[int, policy.Textbook] = {}
        if self.direct:
            self._lists = config["lists"]
            for daemon in range(len(self.plan.daemons)):
                if daemon % step == first:
                    self._books[daemon] = policy.Textbook(config["against"], f"{self.plan.seed}/{daemon}")

    # --- worker.Role

    def opened(self) -> dict[str, Any]:
        return {}

    def start(self) -> None:
        for daemon, book in self._books.items():
            self._task(self._watch(daemon, book))
        self._arm()
        self._arm_bad()
        self.loop.call_later(TELL_S, self._tell)

    def command(self, told: dict[str, Any]) -> None:
        """A daemon is to be reached elsewhere, for instance."""

    def records(self) -> Iterable[list[Any]]:
        yield from self._tries
        yield from self._surplus
        yield from self.bad_rows

    def _tell(self) -> None:
        worker.say(
            {"asked": self._asked, "served": self._served, "calls": self._finished, "t_us": self.clock()}
        )
        self.loop.call_later(TELL_S, self._tell)

    def _task(self, what: Any) -> None:
        task = self.loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- arrivals

    def _arm(self) -> None:
        if self._next < len(self._mine):
            due = self.plan.calls[self._mine[self._next]].due_us
            self.loop.call_later(max(0, due - self.clock()) / 1e6, self._send_due)

    def _send_due(self) -> None:
        while self._next < len(self._mine):
            number = self._mine[self._next]
            now, due = self.clock(), self.plan.calls[number].due_us
            if due > now + 300:  # timers count whole milliseconds
                break
            self._next += 1
            self._late.add(now - due)
            self._try(number, 1)
        self._arm()

    def _arm_bad(self) -> None:
        if self._next_bad < len(self._bad):
            due = self._bad[self._next_bad].t_us
            self.loop.call_later(max(0, due - self.clock()) / 1e6, self._send_bad)

    def _send_bad(self) -> None:
        bad = self._bad[self._next_bad]
        self._next_bad += 1
        if not self.direct:
            self._task(BadClient(self.loop, self.clock, bad, self._targets[bad.daemon], self.bad_rows).play())
        self._arm_bad()

    # --- one try

    def _try(self, number: int, tries: int) -> None:
        call = self.plan.calls[number]
        rid = f"{self._prefix}{number:07x}{TRIES[tries]}".encode()
        target = (self._books[call.daemon].pick() or "") if self.direct else self._targets[call.daemon]
        if call.speaks:
            target = f"{self._thrift[call.daemon]} {call.speaks}"
        asked = Try(number, tries, rid, target)
        asked.timer = self.loop.call_later(call.patience_us / 1e6, self._impatient, asked)
        if call.leave_us and tries == 1:
            self.loop.call_later(call.leave_us / 1e6, self._leave, asked)
        if not target:
            self.loop.call_soon(self.ended, asked, policy.UNTAKEN, 0)
            return
        self._send(asked)

    def _send(self, asked: Try) -> None:
        idle = self._idle.get(asked.target, [])
        while idle:
            connection = idle.pop()
            if connection.alive:
                self._write(asked, connection)
                return
        self._task(self._connect(asked))

    async def _connect(self, asked: Try) -> None:
        address, _, form = asked.target.partition(" ")
        host, _, port = address.rpartition(":")

        def make() -> ClientConnection:
            if form:
                return ThriftClientConnection(self, asked.target, form)
            return ClientConnection(self, asked.target)

        try:
            _, connection = await self.loop.create_connection(make, host, int(port))
        except OSError:
            self.ended(asked, policy.UNTAKEN, 0)
            return
        if asked.over:
            self.keep(connection)
        elif not connection.alive:
            self.ended(asked, policy.UNTAKEN, 0)
        else:
            self._write(asked, connection)

    def _write(self, asked: Try, connection: ClientConnection) -> None:
        call = self.plan.calls[asked.call]
        if call.speaks:
            self._write_thrift(asked, connection, call)
            return
        repeat = self._repeats[call.cls]
        body = b"" if repeat == "free" else b'{"call":%d}' % asked.call
        if repeat != "free" and self._kinds[call.cls].request_kb:
            body = bulk.body(asked.rid, self._kinds[call.cls].request_kb)
        head = [
            f"{self._paths[call.cls]}{asked.call} HTTP/1.1",
            "Host: app.svc",
            f"X-Request-ID: {asked.rid.decode()}",
            f"X-Tenant-Id: {self.plan.members[call.member]}",
            f"X-Timeout: {call.patience_us / 1e6:.6f}",
        ]
        if repeat == "keyed":
            head.append(f"Idempotency-Key: {self._prefix}{asked.call:024x}")
        if repeat != "free":
            head.append(f"Content-Length: {len(body)}")
        self._begins(asked, call)
        connection.send(asked, "\r\n".join(head).encode() + b"\r\n\r\n" + body)

    def _begins(self, asked: Try, call: Call) -> None:
        if asked.sent < 0:
            asked.sent = self.clock()
            # The client's time for one try counts from when it sends it.
            if asked.timer is not None:
                asked.timer.cancel()
            asked.timer = self.loop.call_later(call.patience_us / 1e6, self._impatient, asked)

    def _write_thrift(self, asked: Try, connection: ClientConnection, call: Call) -> None:
        cls, member = self.plan.classes[call.cls], self.plan.members[call.member]
        data = thrift.call(
            call.speaks, cls, asked.seqid, asked.rid, call.patience_us, member, bool(call.oneway), call.filler
        )
        self._begins(asked, call)
        connection.send(asked, data)
        if call.oneway:
            # Nobody will say anything; the judge asks the nodes.
            connection.current = None
            self.keep(connection)
            self.ended(asked, policy.TOLD, 0)

    def answer_kb(self, asked: Try) -> int:
        """What follows the first line of the answer to a try."""
        return self._kinds[self.plan.calls[asked.call].cls].answer_kb

    def keep(self, connection: ClientConnection) -> None:
        """A connection is free."""
        if connection.alive:
            self._idle.setdefault(connection.target, []).append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        idle = self._idle.get(connection.target, [])
        if connection in idle:
            idle.remove(connection)

    def surplus(self, rid: bytes, data: bytes) -> None:
        """More came than was owed after the answer to a try."""
        self._surplus.append(["surplus", rid.decode("latin-1"), self.clock(), data[:60].decode("latin-1")])

    # --- ends

    def _impatient(self, asked: Try) -> None:
        if not asked.over:
            overdue = asked.connection is not None
            self.ended(asked, policy.SILENT if overdue else policy.UNTAKEN, 0, overdue=overdue)
            if overdue:
                self.loop.call_later(GRACE_US / 1e6, self._miss, asked)

    def _miss(self, asked: Try) -> None:
        if asked.overdue:
            asked.overdue = False
            if asked.connection is not None and asked.connection.current is asked:
                asked.connection.current = None
                asked.connection.close()

    def _leave(self, asked: Try) -> None:
        if not asked.over:
            connection = asked.connection
            self.ended(asked, policy.LEFT, 0)
            if connection is not None and connection.current is asked:
                connection.current = None
                connection.close()

    def broken(self, asked: Try, used: int, status: int) -> None:
        """A connection ended with no whole answer. A kept one may have been closed before it was read."""
        if not asked.over and used > 1 and not asked.again and not status:
            asked.again = True
            asked.connection = None
            self._send(asked)
            return
        self.ended(asked, policy.BROKEN, status)

    def ended(
        self, asked: Try, outcome: str, status: int, retry_after_us: int | None = None, overdue: bool = False
    ) -> None:
        """A try is over; the call may go on."""
        now = self.clock()
        if asked.over:
            if asked.overdue:  # it came, if late, or its connection ended
                asked.overdue = False
                if asked.row is not None:
                    asked.row[7:10] = [outcome, status, now]
            return
        asked.over, asked.overdue = True, overdue
        if asked.timer is not None:
            asked.timer.cancel()
        call = self.plan.calls[asked.call]
        if self.direct and asked.target:
            self._books[call.daemon].ended(asked.target)
        # try, call, number, daemon, sent, end, outcome for the client, what came after all, status, when
        asked.row = [
            "try",
            asked.call,
            asked.number,
            call.daemon,
            asked.sent,
            now,
            outcome,
            outcome,
            status,
            now,
            asked.rid.decode(),
            retry_after_us,
        ]
        self._tries.append(asked.row)
        wait = policy.wait_before_retry(
            call, self._repeats[call.cls], asked.number, outcome, retry_after_us, self._longest
        )
        if wait is None:
            self._finished += 1
            worth = self._worths[call.cls] * (
                self.plan.scenario.arrivals.over_share_worth if call.over else 1.0
            )
            self._asked += worth
            if outcome == policy.SERVED and now - call.due_us <= self._aims[call.cls]:
                self._served += worth
        elif wait == 0:
            self._try(asked.call, asked.number + 1)
        else:
            self.loop.call_later(wait / 1e6, self._try, asked.call, asked.number + 1)

    # --- a textbook client's list

    async def _watch(self, daemon: int, book: policy.Textbook) -> None:
        """Follow the node list for good, as an ordinary client library would."""
        host, _, port = self._lists[daemon].rpartition(":")
        while True:
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
                try:
                    after: int | None = None
                    while True:
                        query = "" if after is None else f"?after={after}&wait_ms=20000"
                        writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: list\r\n\r\n".encode())
                        head = await reader.readuntil(b"\r\n\r\n")
                        fields = head.lower().split(b"content-length:")[1]
                        body = await reader.readexactly(int(fields.split(b"\r\n")[0]))
                        listing = json.loads(body)
                        if b" 200 " not in head.split(b"\r\n")[0]:
                            raise ValueError("the list is down")
                        book.update(listing)
                        after = listing["index"]
                finally:
                    writer.close()
            await asyncio.sleep(0.5)


if __name__ == "__main__":
    worker.main(Caller)
