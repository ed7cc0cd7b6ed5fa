"""One sidecar: its fronts, its nodes, its list of them, and the cores between."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
from typing import TYPE_CHECKING, Any

from dunefield.interface import ServerListUpdate
from hollyport.bodies.ledger import Ledger
from hollyport.core.clock import Beat, Clock
from hollyport.core.ids import Ids
from hollyport.core.requests import Core
from hollyport.core.tally import Tally
from hollyport.guests.listener import Listener
from hollyport.handover.budget import budget, processes
from hollyport.http.admission import Gate
from hollyport.http.back import HttpBack
from hollyport.http.front import ClientConnection, turned_away
from hollyport.lifecycle.machine import Effects, Event, Machine
from hollyport.lifecycle.steward import Steward
from hollyport.lists.discovery import HTTP, Discovery, Line, Listing, read_listing
from hollyport.nodes.upstream import Upstream
from hollyport.settings.config import Address, Config, ConfigError
from hollyport.settings.options import BadValue, Options

if TYPE_CHECKING:
    from collections.abc import Callable

    from hollyport.console.server import Console
    from hollyport.core.counters import Counters
    from hollyport.fleet.part import FleetPart
    from hollyport.guards.door import Door
    from hollyport.handover.presence import Presence
    from hollyport.lists.pools import Pools
    from hollyport.nodes.back import Back
    from hollyport.registries.feed import Feed
    from hollyport.thrift.gateway import Gateway

LIST_S = 2.0  # how long a process that takes over from another waits for a list newer than the known one
TELL_S = 1.0  # how often the counters are looked at for what the log is to tell
SHARE_S = 0.2  # how often it is looked whether another process of this sidecar lives


class Sidecar:
    """Wires fronts, nodes and discovery to the decision module."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        options: Options | None = None,
        shared: socket.socket | None = None,
    ) -> None:
        self._config, self._loop, self._shared = config, loop, shared
        self._settings = settings = config.settings
        self._clock = Clock()
        self._longest_ns = max(c.deadline_ns for c in settings.classes)
        limits = settings.limits
        self._parts = processes(0, 0.0, shared is not None)
        part = budget(config.sockets, config.memory_mb, self._parts, config.console is not None)
        clients = part.clients
        self._ledger = ledger = Ledger(part.memory_mb)
        self._presence: Presence | None = None
        self._upstream = Upstream(
            loop,
            limits.connect_timeout_ns,
            limits.connection_idle_ns,
            part.servers,
            min(c.target_ns for c in settings.classes) / 2e9,
            HttpBack(settings.reports != "none", ledger),
        )
        self._beat, self._ids = Beat(loop), Ids(2 * self._longest_ns / 1e9)
        self.tally = Tally([c.name for c in settings.classes])
        self.core = Core(
            loop,
            self._clock,
            self._beat,
            self._ids,
            settings,
            config.seed,
            self._upstream,
            self._refused_by,
            self.tally,
        )
        self.core.closing = True  # until a list is known
        self.ending = asyncio.Event()
        self._started = self._moved = False
        self._cores = {HTTP: self.core}  # by pool; the first asks for the list, all are told
        self._pools: Pools | None = None  # None: all nodes speak HTTP
        self._backs: dict[str, Back] = {}
        self._counters: Counters | None = None
        self._gateway: Gateway | None = None
        self._thrift_clients = 0
        pages: dict[bytes, Callable[[], bytes]] = {}
        self._guards = options.sections.get("guards") if options is not None else None
        self._thrift = options.sections.get("thrift") if options is not None else None
        if self._thrift is not None or self._guards is not None:
            from hollyport.core.counters import Counters

            self._counters = Counters()
            pages[b"/-/counters"] = self._counters.page
        if options is not None and self._thrift is not None:
            most = int(clients * self._thrift.connections)
            clients -= most
            self._thrift_clients = most
            self._open_gateway(options, most)
        admit = Gate(settings).admit
        self._listener = Listener(
            lambda listener: ClientConnection(listener, loop, self.core, admit, pages, ledger),
            clients,
            config.sockets // 4 // self._parts,
            door=self._door(clients, turned_away),
        )
        self._listener.on_lost = self._listener_lost
        self._listeners = [self._listener]
        if self._gateway is not None:
            self._listeners += self._gateway.listeners
        self.steward = Steward(
            loop,
            Machine(loop.time(), shared is not None),
            self._listeners,
            self._longest_ns / 1e9,
            self._changed,
        )
        self._fleet = self._open_fleet(options)
        self._console: Console | None = None
        if config.console is not None:
            from hollyport.console.server import Console

            self._console = Console(loop, self._calls())
        known = read_listing(config.known, settings)
        self._feed = self._open_feed(options, known)
        if self._feed is not None:
            known = known._replace(lines=self._feed.known(known))
        self._discovery: Discovery | Feed = self._feed or Discovery(
            loop, config.discovery, settings, known.version, self._told
        )
        self.core.asks = self._discovery
        self._take_list(known, "SAVED")
        if shared is None:
            self._list_known()
        self._pushed = None if settings.must_subscribe else loop.create_task(self._discovery.follow())

    # --- life

    async def start(self) -> int:
        """Listen for the application; return the port."""
        listen = self._config.listen
        if self._fleet is not None:
            self._fleet.start()
        if self._console is not None and self._config.console is not None:
            self.console_port = self._console.start(self._config.console)
        if self._gateway is not None:
            self.thrift_ports = await self._gateway.start()
        if self._counters is not None:
            self._tell()
        port = await self._listener.start(self._loop, listen.host, listen.port, self._shared)
        if self._shared is not None:
            # What discovery tells binds soon after the yes, and the known list may be old. It has to do in
            # the end.
            self._loop.call_later(LIST_S, self._list_known)
            self._show()
        self._started = True
        return port

    def terminate(self) -> None:
        """SIGTERM has come, for the first time or again."""
        again = self.steward.machine.ending
        self.steward.event(Event.TERM_AGAIN if again else Event.TERM)

    async def stop(self) -> None:
        """Take requests for as long as they may come, answer all of them, and close what is idle.

        Protects requests in the listen queue: the machine has accepted those connections, so the loop must
        have read them before the socket closes.
        """
        if not self.steward.machine.ending:
            self.terminate()
        if self._feed is not None:
            # Before the socket closes: who reads the registry must not be sent here any more.
            await self._feed.take_off()
        await self.steward.over.wait()
        if self._console is not None:
            self._console.close()
        handed_over = self._presence is not None and self._presence.others() > 0
        if self._presence is not None:
            self._presence.leave()
        if self._fleet is not None:
            self._fleet.stop(handed_over)

    def _show(self) -> None:
        """Be seen by the other process of an upgrade, and see it."""
        from hollyport.handover.presence import Presence

        made = Presence(os.environ.get("TMPDIR", "/tmp"), self._config.name)
        self._began = self._loop.time()
        try:
            made.enter()
        except OSError as error:
            print(f"upgrade: not shown to another process: {error}", file=sys.stderr, flush=True)
        self._presence = made
        self._share()

    def _share(self) -> None:
        """Take the part of the limits that is this process's, while there are others."""
        assert self._presence is not None
        parts = processes(self._presence.others(), self._loop.time() - self._began, True)
        if parts != self._parts:
            self._parts = parts
            config = self._config
            part = budget(config.sockets, config.memory_mb, parts, config.console is not None)
            self._listener.resize(part.clients - self._thrift_clients, self._config.sockets // 4 // parts)
            self._upstream.resize(part.servers)
            self._ledger.resize(part.memory_mb)
        self._loop.call_later(SHARE_S, self._share)

    def _changed(self, effects: Effects) -> None:
        """The state of life has moved."""
        for core in self._cores.values():
            core.closing = not effects.ready
        if self._started and (effects.closing or self._moved):
            self._moved = True  # a first yes is no news
            with contextlib.suppress(OSError):  # nobody may read the log any more: no reason not to end
                print(f"life: {self.steward.machine.state.value}", file=sys.stderr, flush=True)
        if self.steward.machine.ending:
            self.ending.set()

    def _listener_lost(self) -> None:
        print("listen: the listening socket has failed", file=sys.stderr, flush=True)
        self.steward.event(Event.LISTENER_LOST)

    def _list_known(self) -> None:
        if self._upstream.any_up():
            self.steward.event(Event.LIST_KNOWN)

    def _calls(self) -> dict[bytes, Callable[[], tuple[int, Any]]]:
        """What is asked at the second address."""
        from hollyport.console.figures import figures

        def ready() -> tuple[int, Any]:
            state = self.steward.machine.state.value
            return (200 if self.core.ready() else 503), {"state": state}

        def telemetry() -> tuple[int, Any]:
            counts = [core.census() for core in self._cores.values()]
            return 200, figures(self.tally, sum(c[0] for c in counts), sum(c[1] for c in counts))

        def move(event: Event) -> tuple[int, Any]:
            self.steward.event(event)
            ending = self.steward.machine.ending
            return (503 if ending else 200), {"state": self.steward.machine.state.value}

        return {
            b"/api/ready": ready, b"/api/telemetry": telemetry,
            b"/api/evacuate": lambda: move(Event.EVACUATE), b"/api/rejoin": lambda: move(Event.REJOIN),
            b"/api/fleet": lambda: (200, self._fleet.page()) if self._fleet is not None else (404, None),
        }  # fmt: skip

    def _door(self, most: int, answer: Callable[[bytes, float, bool], bytes]) -> Door | None:
        """The guard of a listener, where the operators' file has one; else none of it is loaded."""
        if self._guards is None:
            return None
        from hollyport.guards.door import Door

        assert self._counters is not None
        return Door(self._guards.rules(most), answer, self._counters.add)

    def _open_gateway(self, options: Options, most: int) -> None:
        """Thrift, where the operators' file switches it on; else none of it is loaded."""
        from hollyport.thrift import gateway
        from hollyport.thrift.options import POOL

        table, settings, config = options.sections["thrift"], self._settings, self._config
        try:
            gateway.check(table, settings)
        except BadValue as error:
            key = ".".join(map(str, ("thrift", *error.path)))
            raise ConfigError(f"{options.path}: {key}: {error.what}") from None
        assert self._counters is not None
        self._pools = gateway.pools(table, settings)
        self._backs = gateway.backs(table, settings)
        core = Core(
            self._loop,
            self._clock,
            self._beat,
            self._ids,
            gateway.pool_settings(table, settings),
            config.seed + 1,
            self._upstream,
            self._refused_by,
            self.tally,
        )
        self._cores[POOL] = core
        self._gateway = gateway.Gateway(self._loop, table, settings, core, self._counters, most, self._door)

    def _open_fleet(self, options: Options | None) -> FleetPart | None:
        """Other sidecars, where the operators' file switches the fleet on; else none of it is loaded."""
        table = options.sections.get("fleet") if options is not None else None
        if options is None or table is None:
            return None
        from hollyport.fleet.part import FleetPart

        try:
            table = self._fleet_table(table)
            return FleetPart(self._loop, table, self._config.name, self._shared is not None)
        except BadValue as error:
            key = ".".join(map(str, ("fleet", *error.path)))
            raise ConfigError(f"{options.path}: {key}: {error.what}") from None

    def _fleet_takes(self, table: Any) -> bool:
        assert self._fleet is not None
        try:
            return self._fleet.take_options(self._fleet_table(table))
        except BadValue:
            return False

    def _fleet_table(self, table: Any) -> Any:
        """With the platform's own list of sidecars, where the table asks for it."""
        if not table.peers:
            return table
        settings, config = self._settings, self._config
        return table.of_platform(settings.limits.peers, config.peer_listen, config.peers, settings.index)

    def _tell(self) -> None:
        """Say now and then what no client could see."""
        assert self._counters is not None
        self._counters.tell(self._loop.time())
        self._loop.call_later(TELL_S, self._tell)

    def _open_feed(self, options: Options | None, known: Listing) -> Feed | None:
        """More sources than the platform's list, where the operators' file names them; else none of it is
        loaded."""
        table = options.sections.get("registries") if options is not None else None
        if table is None:
            return None
        from hollyport.registries.feed import Feed

        config = self._config
        return Feed(
            self._loop,
            table,
            config.discovery,
            self._settings,
            known,
            config.name,
            config.seed,
            self._clock,
            self._told,
        )

    def take_options(self, options: Options) -> None:
        """The operators' file was read again. What of it can change while running does."""
        table = options.sections.get("registries")
        if self._feed is not None and table is not None:
            self._feed.take_options(table)
        fleet = options.sections.get("fleet")
        if (fleet is None) != (self._fleet is None) or (fleet is not None and not self._fleet_takes(fleet)):
            print("options: a change of the fleet table needs a restart", file=sys.stderr, flush=True)
        for name, now in (("thrift", self._thrift), ("guards", self._guards)):
            if options.sections.get(name) != now:
                print(f"options: a change of the {name} table needs a restart", file=sys.stderr, flush=True)

    def move_discovery(self, address: Address) -> None:
        """Follow another discovery from now on: its whole list first, and its own version numbers."""
        if self._feed is not None:
            self._feed.move(address)
            if self._pushed is not None:
                self._pushed.cancel()
                self._pushed = self._loop.create_task(self._feed.follow())
            return
        self._discovery.close()
        self.core.asks = self._discovery = Discovery(self._loop, address, self._settings, None, self._told)
        if self._pushed is None:
            self._discovery.subscribe(True)
        else:
            self._pushed.cancel()
            self._pushed = self._loop.create_task(self._discovery.follow())

    # --- the list

    def _refused_by(self, server: str) -> None:
        if self._feed is not None:
            self._feed.broken(server)

    def _told(self, listing: Listing | None) -> None:
        if listing is None:
            for core in self._cores.values():
                core.deliver(ServerListUpdate("FAILED"))
        else:
            self._take_list(listing, "FULL" if listing.whole else "INCREMENTAL")
            self._list_known()

    def _take_list(self, listing: Listing, scope: str) -> None:
        if self._pools is None:
            # A node that says it speaks something else gets nothing: it could not read it.
            lines = tuple(map(_only_http, listing.lines))
            shares = {HTTP: listing._replace(lines=lines)}
        else:
            lines, shares = self._pools.deal(listing)
        for entry, address, protocol in lines:
            if entry.lifecycle == "removed":
                self._upstream.remove(entry.server)
            else:
                up, back = entry.lifecycle == "up", self._backs.get(protocol)
                self._upstream.update(entry.server, address, entry.started_ns, up, back)
        if scope != "INCREMENTAL":
            self._upstream.keep_only({line.entry.server for line in lines})
        for pool, share in shares.items():
            entries = tuple(line.entry for line in share.lines)
            self._cores[pool].deliver(ServerListUpdate(scope, entries, share.version))


def _only_http(line: Line) -> Line:
    if line.protocol in ("", HTTP):
        return line
    return line._replace(entry=line.entry._replace(lifecycle="removed"))
