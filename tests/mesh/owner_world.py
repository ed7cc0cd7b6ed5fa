"""Controllers, whole sidecars and stand-in servers of one sharded service, on simulated time.

Extends `mesh_world` by servers that hold keys (`key_server`), by byte streams between them and their
sidecars, and by clocks that run at different rates. `OwnerJudge` checks each grant as a server takes it.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

from calls_world import Stream, open_http_server
from fake_machines import End, Process, message_kind
from key_server import CONTROL_PORT, SERVER_PORT, KeyServer
from mesh_world import SETTINGS, World

from hollyport.http import back
from mesh import settings
from mesh.proxy import grant_calls, server_queue
from mesh.proxy import sidecar as sidecars
from mesh.proxy.server_holds import GRANT_TRANSIT_S
from mesh.state.key_leases import CLOCK_DRIFT
from mesh.state.shards import ITEM_PREFIX, NOBODY, ShardTable
from mesh.storage.record_store import decode_batches
from mesh.transport import messages
from mesh.transport.http_server import HttpServer
from mesh.transport.messages import kind_of
from rehearsal.mesh.key_holds import HoldEvent, HoldRow, KeyStates
from rehearsal.mesh.key_ranges import ALL_KEYS, KeyRangeMap

SERVICE = "berths"
START = 100.0  # simulated time at the start of a round
LATEST_HEARTBEAT_S = 1.5  # on its way, while the heartbeats of a server are disturbed; also their answers
LATEST_CALL_S = GRANT_TRANSIT_S - 0.05  # the rest is left to the usual delay
REORDERED_SHARE = 0.3  # of the rounds: messages of some kinds are duplicated or delayed
REORDERED_KINDS = tuple(
    map(
        kind_of,
        (
            messages.RenewLease,
            messages.LeaseAnswer,
            messages.RangesReleased,
            messages.ShardLoad,
            messages.Items,
            messages.Commit,
            messages.Register,
            messages.CurrentVoters,
        ),
    )
)
HOT_WORK_FACTOR = 4.0  # of the work that is reported while few keys get all requests
JOINERS = 2  # machines that are there from the start, and join later
SERVER_SETTINGS = SETTINGS.replace('service = "none"', 'service = "{service}"\nbeat = "{beat_ms}ms"')


class OwnerJudge:
    """Checks that no two servers that are up hold one key at the same time."""

    def __init__(self, world: OwnerWorld) -> None:
        self._world = world
        self._held: dict[str, KeyRangeMap[float]] = {}  # by server: until when it holds which keys
        self.grants = 0

    def on_hold(self, event: HoldEvent) -> None:
        """Takes over what a server holds now. An overlap begins with a grant, so it is looked for there."""
        held = self._held.setdefault(event.server, KeyRangeMap())
        held.remove(event.keys)
        if event.until <= event.at:
            return
        held.assign(event.keys, event.until)
        self.grants += 1
        for other, others in self._held.items():
            for row in others.overlapping(event.keys) if other != event.server else ():
                if row.value > event.at:
                    self._world.errors.append(
                        f"OWNER: {event.server} and {other} hold {tuple(row.keys)} at"
                        f" {event.at:.3f}, until {event.until:.3f} and {row.value:.3f}"
                    )

    def held_by(self, server: str, now: float) -> KeyRangeMap[float]:
        """Returns what a server holds now."""
        result: KeyRangeMap[float] = KeyRangeMap()
        for row in self._held.get(server, KeyRangeMap()).rows():
            if row.value > now:
                result.assign(row.keys, row.value)
        return result


class HeartbeatStream(Stream):
    """A connection that carries a heartbeat, which may be late."""

    world: OwnerWorld

    def delay(self) -> float:
        return super().delay() + self.world.extra_delay_s(self.process.host, LATEST_HEARTBEAT_S)


class CallStream(Stream):
    """A connection that carries calls to a server. Its kernel has them within the time that is allowed."""

    world: OwnerWorld

    def delay(self) -> float:
        return super().delay() + self.world.extra_delay_s(self.process.host, LATEST_CALL_S)


STREAMS: dict[int, type[End]] = {CONTROL_PORT: HeartbeatStream, SERVER_PORT: CallStream}


class OwnerWorld(World):
    """A world whose sidecars have servers of a sharded service beside them.

    `way` is how the servers are given keys. What the world is like depends on the seed.
    """

    service = SERVICE

    def __init__(self, seed: int, way: str, trace: bool = False) -> None:
        self.draw = draw = random.Random(f"owner {way} {seed}")
        self.way = way
        self.hold_max_s = draw.choice((4.0, 4.0, 10.0))
        self.beat_s = draw.choice((0.4, 0.4, 1.5))
        spares = draw.choice((0, 0, 1, 2))
        self.hold_bound = f'"hold_max={self.hold_max_s * 1000:.0f}ms"'
        bounds = self.hold_bound + (', "catch_up=1s", "contact=1s"' if spares else "")
        size = draw.choice((3, 3, 4, 5))
        claimants = draw.choice((2, 3, 4)) + JOINERS
        super().__init__(seed, size, claimants, trace, spares, bounds)
        self.losses = 1
        self.joiners, self.sidecars = self.sidecars[-JOINERS:], self.sidecars[:-JOINERS]
        self.delay_s = (0.001, draw.choice((0.004, 0.004, 0.02, 0.045)))
        if draw.random() < REORDERED_SHARE:
            self.reordered_kinds = frozenset(draw.sample(REORDERED_KINDS, 4))
        self.clock_rates = {name: draw.choice((1.0, 1.0 - CLOCK_DRIFT)) for name in self.machines}
        self.judge = OwnerJudge(self)
        self.key_states = KeyStates()
        self.servers: dict[str, KeyServer] = {}  # by machine: its latest life
        self.disturbed_until: dict[str, float] = {}  # by machine: its heartbeats and calls are late
        # By kind of message: what happens when the next such message arrives, to whom and from whom.
        self.traps: dict[int, Callable[[Process, Process], float]] = {}
        self.hot_until = 0.0
        self.hot_keys = ALL_KEYS  # that all requests are for until then
        self.trouble_until = 0.0
        self.troubles: list[str] = []
        self.counts: Counter[str] = Counter()
        self.wiped: set[str] = set()  # controllers that lost their disk and have not caught up

    def __enter__(self) -> OwnerWorld:
        super().__enter__()
        http_servers = SimpleNamespace(open_http_server=open_http_server, HttpServer=HttpServer)
        self._patch.setattr(sidecars, "http_server", http_servers)
        self._patch.setattr(server_queue, "random", self.random)
        self._patch.setattr(back, "time", SimpleNamespace(monotonic=lambda: self.now))
        self._patch.setattr(grant_calls, "logger", sidecars.logger)
        return self

    # --- clocks and connections

    def monotonic(self) -> float:
        """The clock of each machine runs at a rate of its own."""
        loop = asyncio._get_running_loop()
        return self.now * (self.clock_rates[loop.process.host] if loop is not None else 1.0)  # type: ignore[attr-defined]

    def end_of(self, port: int) -> type[End]:
        return STREAMS.get(port, End)

    def blocked(self, one: str, other: str) -> float:
        """A machine is never partitioned from itself."""
        return 0.0 if one == other else super().blocked(one, other)

    def is_disturbed(self, host: str) -> bool:
        """Whether data between a server and its sidecar may be late, and heartbeats lost."""
        return self.now < self.disturbed_until.get(host, 0.0)

    def extra_delay_s(self, host: str, most_s: float) -> float:
        """Returns how much later than usual data within a machine arrives."""
        return self.random.uniform(0.0, most_s) if self.is_disturbed(host) else 0.0

    def heard(self, process: Process, by: Process, packed: bytes) -> None:
        """Springs a trap that was set for the message that arrives."""
        super().heard(process, by, packed)
        trap = self.traps.pop(message_kind(packed), None)
        if trap is not None:
            self.note_trouble(trap.__name__, trap(process, by))

    def note_trouble(self, name: str, lasts_s: float) -> None:
        """Notes a trouble that has begun, for the report of a failure, and until when it lasts."""
        self.counts[f"trouble {name}"] += 1
        self.troubles.append(f"{self.now - START:.2f} {name} {lasts_s:.2f} s")
        self.trouble_until = max(self.trouble_until, self.now + lasts_s)
        if self.trace:
            self.say("TROUBLE", self.troubles[-1])

    # --- load

    def draw_key(self, held: list[HoldRow]) -> int | None:
        """Returns the key of a request that comes to a server now, if it holds one that is in demand."""
        hot = self.hot_keys if self.now < self.hot_until else ALL_KEYS
        wanted = [row.keys.intersection(hot) for row in held if row.keys.overlaps(hot)]
        return self.random.randint(*self.random.choice(wanted)) if wanted else None

    def count_work(self, host: str, key: int, work_s: float) -> None:
        """Tells the sidecar of a machine of a request that its server has worked on."""
        process = self.machines[host].process
        if process is not None and process.alive and process.role is not None:
            factor = HOT_WORK_FACTOR if self.now < self.hot_until else 1.0
            role = process.role
            process.soon(lambda: role.key_ranges.reports.on_key_work(key, work_s * factor))

    # --- machines

    def settings_of(self, name: str, first: bool = False) -> settings.Settings:
        if name in self.controllers + self.spares:
            return super().settings_of(name, first)
        text = SERVER_SETTINGS.format(
            name=name,
            seeds=", ".join(f'"{seed}:82"' for seed in self.seeds),
            first="false",
            bounds=self.hold_bound,
            losses=1,
            service=SERVICE,
            beat_ms=int(self.beat_s * 1000),
        )
        return settings.read(text).ok

    def start(self) -> None:
        super().start()
        for name in self.sidecars:
            self.after(self.random.uniform(0, 1.0), lambda name=name: self.start_server(name))

    def start_sidecar(self, name: str) -> None:
        """Switches a machine on, or starts the next process of its sidecar."""
        process = self.machines[name].process
        if process is None or not process.alive:
            self.switch_on(name)
            super().start_sidecar(name)

    def start_server(self, name: str) -> None:
        """Starts the next life of the server of a machine, once its present one has ended."""
        if name in self.servers:
            self.servers[name].end()
        self.servers[name] = KeyServer(self, name)
        self.servers[name].start()

    def kill_sidecar(self, name: str, back_s: float) -> None:
        """Kills the sidecar of a machine, and starts it again; the server beside it goes on."""
        process = self.machines[name].process
        if process is not None and process.alive:
            self.kill(name)
            self.after(back_s, lambda: self.start_sidecar(name))

    def stop_sidecar(self, name: str, back_s: float) -> None:
        """Sends SIGTERM to the sidecar of a machine, and starts it again later."""
        process = self.machines[name].process
        if process is not None and process.alive and process.role is not None:
            self.term(name)
            self.after(back_s, lambda: self.start_sidecar(name))

    def lose(self, name: str, back_s: float) -> bool:
        """Wipes a controller unless that exceeds the losses to be borne; returns whether it did."""
        self.wiped -= {one for one in self.caught_up_controllers() if self._has_whole_disk(one)}
        if len(self.wiped | {name}) > self.losses:
            return False
        self.wiped.add(name)
        self.wipe(name, back_s)
        return True

    def _has_whole_disk(self, name: str) -> bool:
        return any(["whole"] in decode_batches(batch) for batch in self.machines[name].disk.synced)

    # --- what is to hold

    def sharded_service(self, version: int) -> bytes:
        """Returns the body of an operator's change that makes the service a sharded one."""
        cluster = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 8,
            "revision": f"r{version}",
            "sharded": True,
            "grants": self.way,
        }
        return json.dumps({"upserts": {"cluster_list": [cluster]}}).encode()

    def newest_table(self) -> ShardTable:
        """Returns the newest table that any controller knows to be chosen."""
        newest = ShardTable(SERVICE)
        for name in self.controllers + self.spares:
            controller = self.controller(name)
            item = controller.items.get(ITEM_PREFIX + SERVICE) if controller is not None else None
            if item is not None and item.version > newest.version:
                newest = ShardTable.decode(item.name, item.version, item.content)
        return newest

    def keys_without_server(self) -> list[str]:
        """Returns the keys that no open server holds, and the ranges that nobody owns."""
        free: KeyRangeMap[str] = KeyRangeMap()
        free.assign(ALL_KEYS, "not held")
        for server in self.servers.values():
            if server.process.alive and server.is_ready:
                for row in self.judge.held_by(f"{server.host}/{server.instance}", self.now).rows():
                    free.remove(row.keys)
        found = [f"{tuple(row.keys)} {row.value}" for row in free.rows()]
        for shard in self.newest_table().shards:
            if shard.owner == NOBODY or shard.revoked:
                found.append(f"{tuple(shard.range)} of {shard.owner}, revoked {shard.revoked}")
        return found
