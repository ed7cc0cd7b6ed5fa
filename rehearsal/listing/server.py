"""The node list on loopback sockets: one address for each daemon, one service behind them all.

Whole lists and watches as the platform's protocol has them, of finite capacity (calls wait in turn, and fail
when they have waited too long), with outages, and moves to another address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

from rehearsal.listing.board import Board
from rehearsal.listing.telling import Telling
from rehearsal.plan import News, Plan
from rehearsal.worker import Clock, Lateness

MOST_WAIT_MS = 60_000
CUT_LOOK_S = 0.05
CLOSE_AFTER_S = 1.5  # connections to an address that was left


class ListServer:
    """Answers daemons; plays the list's part of the plan."""

    def __init__(
        self,
        plan: Plan,
        clock: Clock,
        late: Lateness,
        addresses: dict[int, list[tuple[str, int]]],
        telling: Telling | None = None,
    ) -> None:
        self._plan, self._clock, self._late = plan, clock, late
        self._addresses = addresses
        self.board = Board(plan, telling)
        self.down = False
        self.outages: list[list[int]] = []
        self.calls = 0
        self._cost = plan.scenario.list
        self._free_us = 0  # when the service is through with what it has been asked
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._serving: set[asyncio.Task[Any]] = set()
        self._closing = False
        self._cut: set[int] = set()  # halls that can't reach the list
        self.ports: list[int] = []

    async def open(self) -> None:
        """Listen at new addresses, one for each daemon."""
        self.ports = []
        for daemon in range(len(self._plan.daemons)):
            server = await asyncio.start_server(partial(self._serve, daemon), "127.0.0.1", 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    def start(self) -> None:
        """Play the plan from the start of the clock."""
        self._task(self._news())
        self._task(self._outages())
        self._task(self._unlisting())

    async def move(self) -> None:
        """Listen elsewhere. The old addresses take no new connection, and close the open ones after a
        while."""
        old, writers = self._servers, set(self._writers)
        self._servers = []
        await self.open()
        for server in old:
            server.close()

        async def end() -> None:
            await asyncio.sleep(CLOSE_AFTER_S)
            for writer in writers:
                writer.close()

        self._task(end())

    async def close(self) -> None:
        """End everything."""
        # Calls that wait look up and end by themselves: a cancelled one would be logged as a fault.
        self._closing = True
        self._changed.set()
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*list(self._tasks), *list(self._serving), return_exceptions=True)

    def tell(self, news: News) -> None:
        """Something that was not planned: a node fell over."""
        self._task(self._later(news))

    def known(self, daemon: int) -> dict[str, Any]:
        """What a daemon that starts now has as its last list."""
        return self.board.known(daemon, self._unix_ms(), self._seen_from(daemon))

    # --- the timeline

    def _task(self, what: Any) -> None:
        task = asyncio.ensure_future(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _unix_ms(self) -> int:
        return int(time.time() * 1000) - self._clock() // 1000

    async def _until(self, t_us: int) -> None:
        while (left := t_us - self._clock()) > 0:
            await asyncio.sleep(left / 1e6)
        self._late.add(-left)

    async def _news(self) -> None:
        for news in self._plan.news:
            await self._until(news.t_us)
            self._learn(news)

    async def _later(self, news: News) -> None:
        await self._until(news.t_us)
        self._learn(news)

    async def _unlisting(self) -> None:
        """Nodes that this list no longer has, though they run: another source has them."""
        for event in self._plan.events:
            if event.target == "unlist":
                await self._until(event.t_us)
                status = "DELETED" if event.what == "drop" else "SERVING"
                self._learn(News(event.t_us, event.which, status, 0))

    def _learn(self, news: News) -> None:
        self.board.learn(news)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _outages(self) -> None:
        for event in self._plan.events:
            if event.target == "hall":
                await self._until(event.t_us)
                (self._cut.add if event.value else self._cut.discard)(event.which)
            if event.target != "list" or event.what == "move":
                continue
            await self._until(event.t_us)
            if event.what == "down":
                self.down = True
                self.outages.append([self._clock(), 1 << 50])
                for writer in list(self._writers):
                    writer.transport.abort()
            else:
                self.down = False
                self.outages[-1][1] = self._clock()
                if event.value:
                    self.board.forget()

    # --- answers

    def _seen_from(self, daemon: int) -> dict[int, str]:
        hall = self._plan.daemons[daemon]
        return {node: f"{doors[hall][0]}:{doors[hall][1]}" for node, doors in self._addresses.items()}

    async def _serve(self, daemon: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while not self._closing:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("latin-1")
                status, after = await self._answer(daemon, target)
                # A hall that is cut off hears nothing, and nothing tells it so.
                while self._plan.daemons[daemon] in self._cut and not self._closing:
                    await asyncio.sleep(CUT_LOOK_S)
                if reader.at_eof() or writer.transport.is_closing():
                    break  # nobody is left to be told
                # Made and written in one go: what is recorded as told has gone out.
                body = self._list_for(daemon, after) if status == 200 else b"{}"
                top = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
                writer.write(top.encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # the caller has gone, or is none
        finally:
            self._writers.discard(writer)
            self._serving.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, daemon: int, target: str) -> tuple[int, int | None]:
        """Wait as long as the call may and the service takes: the status, and the version it asks from."""
        parts = urlsplit(target)
        if parts.path != "/api/targets":
            return 404, None
        asked = parse_qs(parts.query)
        after = int(asked["after"][0]) if "after" in asked else None
        wait_ms = min(int(asked.get("wait_ms", ["0"])[0]), MOST_WAIT_MS)
        until = self._clock() + wait_ms * 1000
        self.calls += 1
        while not self.board.newer(after) and not self._closing and (left := until - self._clock()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left / 1e6)
        whole = after is None or after > self.board.version
        now = self._clock()
        wait = max(0, self._free_us - now)
        if self.down or wait > self._cost.timeout_s * 1e6:
            return 503, None
        self._free_us = now + wait + int((self._cost.whole_ms if whole else self._cost.change_ms) * 1000)
        await asyncio.sleep((self._free_us - now) / 1e6)
        return (503, None) if self.down else (200, after)

    def _list_for(self, daemon: int, after: int | None) -> bytes:
        addresses = self._seen_from(daemon)
        return json.dumps(
            self.board.answer(after, daemon, self._clock(), self._unix_ms(), addresses)
        ).encode()
