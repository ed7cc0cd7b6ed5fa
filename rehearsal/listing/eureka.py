"""The Eureka registry in a play: it learns what the plan says, tells each daemon, and misbehaves on time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Any

from rehearsal.listing.eureka_model import Registry
from rehearsal.listing.eureka_server import EurekaServer
from rehearsal.listing.telling import DELETED, DRAINING, SERVING, Telling
from rehearsal.plan import Event, News, Plan
from rehearsal.worker import Clock, Lateness

APP = "CHANNEL-NODE"
OLD_MS = 3_600_000  # how long ago a node started that runs from the start of the play
BLINDING = frozenset({
    "silent", "refuse", "error", "reset", "half", "garbage", "huge", "bomb", "empty", "shrunken", "stale",
})  # fmt: skip


class EurekaPart:
    """One registry, with addresses of its own for each daemon, as each sees nodes at other addresses."""

    def __init__(
        self,
        plan: Plan,
        clock: Clock,
        late: Lateness,
        addresses: dict[int, list[tuple[str, int]]],
        telling: Telling,
    ) -> None:
        self._plan, self._clock, self._late, self._addresses = plan, clock, late, addresses
        self._telling = telling
        self.registry = Registry()
        self.outages: list[list[int]] = []
        self._lives: dict[int, int] = {}
        self._dying = {event.which for event in plan.events if event.what == "die"}
        self._node_of: dict[str, tuple[int, int]] = {}  # node and life by identity
        self._heard: list[dict[int, tuple[int, str]]] = [
            {} for _ in plan.daemons
        ]  # the latest life told, its status
        self.servers: list[list[EurekaServer]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Listen, and register what runs."""
        for daemon in range(len(self._plan.daemons)):
            row = []
            for _ in range(self._plan.scenario.list.eureka_addresses):
                server = EurekaServer(
                    self.registry,
                    rewrite=partial(self._seen_from, daemon),
                    answered=partial(self._told, daemon),
                )
                await server.open()
                row.append(server)
            self.servers.append(row)
        for number, node in enumerate(self._plan.nodes):
            if node.born_us < 0:
                self._register(number, 0)

    def start(self) -> None:
        """Play the plan."""
        self._tasks = [asyncio.ensure_future(self._news()), asyncio.ensure_future(self._events())]

    async def close(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for row in self.servers:
            for server in row:
                await server.close()

    def options(self, daemon: int, owners: Mapping[str, str]) -> str:
        """The operators' file of one daemon."""
        told = self._plan.scenario.list
        lines = ["[registries]", f"sources = {list(told.sources)!r}".replace("'", '"')]
        if owners:
            lines += ["[registries.halls]", *(f'{hall} = "{owner}"' for hall, owner in owners.items())]
        urls = ", ".join(f'"{server.url}"' for server in self.servers[daemon])
        lines += [
            "[registries.eureka]", f"addresses = [{urls}]", f'apps = ["{APP}"]',
            f'format = "{told.eureka_format}"', f"interval_s = {told.eureka_interval_s}", "timeout_s = 1.0",
            "[registries.eureka.map]", 'hall = "zone"', 'kind = "type"', 'group = "cell"',
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    def tell(self, news: News) -> None:
        """Something that was not planned: a node fell over."""
        self._tasks.append(asyncio.ensure_future(self._later(news)))

    # --- the timeline

    async def _until(self, t_us: int) -> None:
        while (left := t_us - self._clock()) > 0:
            await asyncio.sleep(left / 1e6)
        self._late.add(-left)

    async def _later(self, news: News) -> None:
        await self._until(news.t_us)
        self._learn(news)

    async def _news(self) -> None:
        for news in self._plan.news:
            await self._until(news.t_us)
            self._learn(news)

    def _learn(self, news: News) -> None:
        identity, now = self._identity(news.node), self._now_ms()
        if news.status == SERVING:
            if (APP, identity) in self.registry.leases and news.since_us <= 0:
                self.registry.override(APP, identity, "UNKNOWN", now)
            else:
                self._register(news.node, news.since_us)
        elif news.status == DRAINING:
            self.registry.override(APP, identity, "OUT_OF_SERVICE", now)
        elif news.node in self._dying and (lingers := self._plan.scenario.list.eureka_lingers_s):
            # Nobody cancels the lease of a process that died: it stands until it is evicted.
            self._tasks.append(asyncio.ensure_future(self._evict(identity, news.t_us + int(lingers * 1e6))))
        else:
            self.registry.cancel(APP, identity, now)

    async def _evict(self, identity: str, t_us: int) -> None:
        await self._until(t_us)
        self.registry.cancel(APP, identity, self._now_ms())

    async def _events(self) -> None:
        for event in self._plan.events:
            if event.target == "registry":
                await self._until(event.t_us)
                self._misbehave(event)
            elif event.target == "flap":
                await self._until(event.t_us)
                status = "OUT_OF_SERVICE" if event.what == "out" else "UNKNOWN"
                self.registry.override(APP, self._identity(event.which), status, self._now_ms())

    def _misbehave(self, event: Event) -> None:
        for row in self.servers:
            for server in row if event.which < 0 else row[:1]:
                server.misbehave, server.kept = event.what, event.value
        if event.what in BLINDING and event.which < 0:
            self.outages.append([self._clock(), 1 << 50])
        elif not event.what and self.outages and self.outages[-1][1] == 1 << 50:
            self.outages[-1][1] = self._clock()

    # --- instances

    def _now_ms(self) -> int:
        return self.servers[0][0].now_ms()

    def _identity(self, node: int) -> str:
        """A node that comes back does so under a new identity."""
        return f"{self._plan.nodes[node].name}:{self._lives.get(node, 0)}"

    def _register(self, node: int, since_us: int) -> None:
        self._lives[node] = self._lives.get(node, 0) + 1
        identity, spec, now = self._identity(node), self._plan.nodes[node], self._now_ms()
        self._node_of[identity] = (node, self._lives[node])
        up = now - self._clock() // 1000 + since_us // 1000 if since_us > 0 else now - OLD_MS
        self.registry.register(APP, {
            "instanceId": identity, "app": APP, "hostName": "127.0.0.1", "ipAddr": "127.0.0.1",
            "status": "UP", "port": {"$": 1, "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "vipAddress": "channel-node",
            "leaseInfo": {"durationInSecs": 90, "serviceUpTimestamp": up},
            "metadata": {"zone": self._plan.halls[spec.hall], "type": "std-1c", "cell": str(spec.cell)},
        }, now)  # fmt: skip

    def _seen_from(self, daemon: int, document: Mapping[str, Any]) -> dict[str, Any]:
        node, _ = self._node_of[document["instanceId"]]
        host, port = self._addresses[node][self._plan.daemons[daemon]]
        return {**document, "ipAddr": host, "port": {"$": port, "@enabled": "true"}}

    # --- what daemons were told

    def _told(self, daemon: int, kind: str, instances: list[dict[str, Any]]) -> None:
        """Explicit words count, and what a whole answer leaves out that has really gone. What a registry
        leaves out by mistake was told to nobody: that is for the daemon to doubt."""
        now, heard, seen = self._clock(), self._heard[daemon], set()
        # A delta repeats all of its window: the last word on an instance is what was told.
        for row in {row["instanceId"]: row for row in instances}.values():
            node, life = self._node_of[row["instanceId"]]
            seen.add(row["instanceId"])
            if life < heard.get(node, (0, ""))[0]:
                continue  # of a process before
            status = SERVING if row["status"] == "UP" else DRAINING
            if row["actionType"] == "DELETED":
                status = DELETED
            self._say(daemon, now, node, life, status)
        if kind == "whole":
            for node, (life, status) in list(heard.items()):
                identity = f"{self._plan.nodes[node].name}:{life}"
                if identity not in seen and status != DELETED and (APP, identity) not in self.registry.leases:
                    self._say(daemon, now, node, life, DELETED)

    def _say(self, daemon: int, now: int, node: int, life: int, status: str) -> None:
        self._heard[daemon][node] = (life, status)
        self._telling.say(daemon, now, "eureka", node, status, max(0, self._plan.nodes[node].born_us))
