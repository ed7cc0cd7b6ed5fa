"""A deterministic simulation of controllers and sidecars, with connections and disks that can fail.

Only the code of the roles is real: `Controller`, `Sidecar` (a claimant), `PeerConnection` and `Dialer` run
unchanged, each process on an event loop of its own. All share one simulated clock, which advances only when
no process has anything to do. Every delivery of a message and every sync of a disk is a numbered fault point.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections.abc import Callable, Iterable
from functools import cache
from types import SimpleNamespace
from typing import Any

import cbor2
import pytest
from fake_machines import (
    Disk,
    End,
    HttpServer,
    Log,
    Machine,
    NoFailureDetector,
    Process,
    ResponseCallback,
    Store,
    message_kind,
    open_http_server,
)
from operator_calls import InvariantViolation

from hollyport.http.message import Message
from mesh import settings
from mesh.control import agreement, context, elections, heartbeats, peers, recovery, shard_assigner
from mesh.control import controller as controllers
from mesh.control.controller import Controller
from mesh.errors import ErrorKind
from mesh.proxy import context as proxy_context
from mesh.proxy import control_client, directory, server_heartbeats
from mesh.proxy import sidecar as sidecars
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.quorum import Voters
from mesh.transport import connection, messages
from mesh.transport.messages import kind_of

DAY = 1_900_000_000.0  # time of day at the start of a simulation
SETTINGS = """
node_name = "{name}"
ip = "{name}"
port_range = [7000, 7001]
data_dir = "{name}"
seed_list = [{seeds}]
first_start = {first}
app_addr = "{name}:9000"
service = "none"
listen_map = {{ outbound = "{name}:80", ready = "{name}:81", control = "{name}:82" }}
bound_set = [{bounds}]
fault_budget = {{ machine_loss = {losses} }}
"""


@cache
def read_settings(
    name: str, seeds: tuple[str, ...], first: bool, bounds: str = "", losses: int = 1
) -> settings.Settings:
    """Returns the settings of a process."""
    listed = ", ".join(f'"{seed}:82"' for seed in seeds)
    return settings.read(
        SETTINGS.format(name=name, seeds=listed, first=str(first).lower(), bounds=bounds, losses=losses)
    ).ok


class Key:
    """The history of one key: who granted it to whom, and who ran it."""

    def __init__(self) -> None:
        self.grants: dict[str, set[str]] = {}  # by token, over all incarnations
        self.counted: dict[tuple[str, int], set[str]] = {}  # by token and epoch
        self.ran: list[str] = []


class World:
    """Controllers and claimants on simulated machines, an operator, and a record of what was acknowledged."""

    def __init__(
        self,
        seed: int = 1,
        size: int = 3,
        claimants: int = 2,
        trace: bool = False,
        spares: int = 0,
        bounds: str = "",
        losses: int = 1,
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.trace = trace
        self.errors: list[str] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._blocked_until: dict[tuple[str, str], float] = {}
        self.processes: list[Process] = []
        self.machines: dict[str, Machine] = {}
        self.points = self.workload_points = 0  # all so far; those of the workload
        self.faults_at: dict[int, Callable[[str], None]] = {}
        self.delay_s = (0.001, 0.004)
        self.sync_s = (0.002, 0.006)
        self.corrupt: Callable[[bytes], bytes] = lambda packed: packed  # applied to each message in transit
        self.reordered_kinds: frozenset[int] = frozenset()  # message kinds that may be duplicated or delayed
        self.sent: dict[str, list[Item]] = {}
        self.acknowledged: dict[str, list[Item]] = {}
        self.acknowledged_at: list[tuple[float, Item]] = []
        self.keys: dict[str, Key] = {}
        self.tokens: dict[str, str] = {}  # by token: its key
        self.log_lines: list[tuple[int, str, str]] = []
        self.voter_sets: dict[int, tuple[str, ...]] = {}  # by epoch: its voters, as any controller knows them
        self._settings_options = {"bounds": bounds, "losses": losses}
        self.controllers = [f"10.0.0.{1 + at}" for at in range(size)]
        self.spares = [f"10.0.0.{1 + size + at}" for at in range(spares)]
        self.seeds = tuple(self.controllers)
        self.sidecars = [f"10.0.1.{1 + at}" for at in range(claimants)]
        for name in [*self.controllers, *self.spares, *self.sidecars, "10.0.2.1"]:
            self.machines[name] = Machine(name)
        self.operator = Process(self, self.machines["10.0.2.1"])
        self._patch = pytest.MonkeyPatch()

    def __enter__(self) -> World:
        clock = SimpleNamespace(
            time=lambda: DAY + self.now,
            time_ns=lambda: int((DAY + self.now) * 1e9),
            monotonic=lambda: self.monotonic(),
        )
        http_servers = SimpleNamespace(open_http_server=open_http_server, HttpServer=HttpServer)
        for module in (context, heartbeats, proxy_context, connection):
            self._patch.setattr(module, "time", clock)
        for module in (controllers, sidecars):
            self._patch.setattr(module, "http_server", http_servers)
        for module in (agreement, controllers, elections, heartbeats, connection, proxy_context):
            self._patch.setattr(module, "random", self.random)
        log = Log(self)
        control = (agreement, controllers, elections, heartbeats, peers, recovery, shard_assigner, connection)
        proxy = (control_client, directory, server_heartbeats, sidecars)
        for module in (*control, *proxy):
            self._patch.setattr(module, "logger", log)
        count = iter(range(1 << 30))  # gives sets of connections the same order in every run
        born = lambda made: made.__dict__.setdefault("_born", next(count))  # noqa: E731
        self._patch.setattr(connection.PeerConnection, "__hash__", born)
        self._patch.setattr(context, "RecordStore", Store)
        self._patch.setattr(directory, "FailureDetector", NoFailureDetector)
        return self

    def __exit__(self, *_: object) -> None:
        self._patch.undo()
        for process in list(self.processes):
            process.end(quietly=True)
        for machine in self.machines.values():
            machine.process = None

    # --- time

    def at(self, when: float, work: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, work))

    def after(self, wait: float, work: Callable[[], None]) -> None:
        self.at(self.now + wait, work)

    def monotonic(self) -> float:
        """Returns the monotonic clock of the process that runs now."""
        return self.now

    def delay(self) -> float:
        return self.random.uniform(*self.delay_s)

    def sync_delay(self) -> float:
        return self.random.uniform(*self.sync_s)

    def run(self, limit_s: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Advances time until a condition holds or a limit is reached; returns whether it holds."""
        end = self.now + limit_s
        heap = self._heap
        while not until():
            turned = False
            for process in list(self.processes):
                if process.loop._ready and process.alive and not process.frozen:
                    process.loop.turn()
                    turned = True
            if self.errors:
                raise InvariantViolation(self.errors[0])
            if turned:
                continue
            due = min([process.loop.due() for process in self.processes if not process.frozen])
            due = max(self.now, min(due, heap[0][0]) if heap else due)
            if due > end:
                self.now = end
                break
            self.now = due
            while heap and heap[0][0] <= due:
                heapq.heappop(heap)[2]()
            for process in list(self.processes):
                if process.alive and not process.frozen and process.loop.due() <= due:
                    process.loop.turn()
        return until()

    def say(self, who: str, what: Any) -> None:
        if isinstance(what, list):
            what = [messages.KINDS[what[0]].__name__, *what[1:]]
        print(f"{self.now - 100:8.4f} {self.points:4} {who}: {what}")

    # --- machines

    def end_of(self, port: int) -> type[End]:
        """Returns the class of the ends of connections to a port."""
        return End

    def settings_of(self, name: str, first: bool = False) -> settings.Settings:
        """Returns the settings of the process of a machine; `first` if the whole system starts."""
        return read_settings(name, self.seeds, first, **self._settings_options)

    def switch_on(self, name: str) -> None:
        """Switches a machine on, if it is off: data for earlier processes is answered with a reset."""
        self.machines[name].up = True
        for other in self.processes:
            for end in list(other.ends):
                if end.lost and end.other is not None and end.other.process.host == name:
                    self.after(self.delay(), end.ended)

    def start_controller(self, name: str, first: bool = False) -> None:
        """Switches a machine on, or starts its next process."""
        machine = self.machines[name]
        if machine.process is not None and machine.process.alive:
            return
        self.switch_on(name)
        whole = first or any(record[0] == "whole" for record in machine.disk.records())
        process = machine.process = Process(self, machine, not whole)

        async def main() -> None:
            process.role = Controller(self.settings_of(name, first))
            await process.role.start()

        process.run(main())

    def start_sidecar(self, name: str) -> None:
        machine = self.machines[name]
        process = machine.process = Process(self, machine)

        async def main() -> None:
            process.role = Sidecar(self.settings_of(name))
            await process.role.start()

        process.run(main())

    def start(self) -> None:
        """Starts the whole system for the first time."""
        for name in self.controllers:
            self.after(self.random.uniform(0, 0.1), lambda name=name: self.start_controller(name, True))
        for name in self.sidecars:
            self.after(self.random.uniform(0, 0.1), lambda name=name: self.start_sidecar(name))

    def controller(self, name: str) -> Controller | None:
        process = self.machines[name].process
        return process.role if process is not None and process.alive else None

    def caught_up_controllers(self) -> list[str]:
        """Returns the controllers that know the voters and have caught up."""
        found = [(name, self.controller(name)) for name in self.controllers + self.spares]
        return [
            name
            for name, controller in found
            if controller is not None and controller.caught_up and controller.voters.epoch
        ]

    # --- faults

    def point(self, at: Process, by: Process) -> None:
        """Counts a fault point, and injects the fault that is scheduled there."""
        self.points += 1
        strike = self.faults_at.pop(self.points, None)
        if strike is not None:
            names = self.controllers + self.spares
            name = at.host if at.host in names else by.host
            strike(name if name in names else self.controllers[0])

    def power_off(self, name: str, back_s: float | None = None) -> None:
        """Cuts power: only synced data is left."""
        machine = self.machines[name]
        if machine.process is not None:
            machine.process.end(quietly=True)
        machine.up = False
        machine.disk.written = []
        if self.trace:
            self.say(name, "POWER LOST")
        if back_s is not None:
            self.after(back_s, lambda: self.start_controller(name))

    def kill(self, name: str, back_s: float | None = None) -> None:
        """Kills the process: all written data is left."""
        machine = self.machines[name]
        if machine.process is not None:
            machine.process.end(quietly=False)
        if self.trace:
            self.say(name, "KILLED")
        if back_s is not None:
            self.after(back_s, lambda: self.start_controller(name))

    def term(self, name: str, grace_s: float = 6.0) -> None:
        """Sends SIGTERM: the role stops by itself, or is killed after its grace period."""
        process = self.machines[name].process
        assert process is not None

        def over() -> None:
            if self.machines[name].process is process and process.alive:
                self.kill(name)

        async def ends() -> None:
            await process.role.stop()
            self.after(0.0, over)

        if self.trace:
            self.say(name, "SIGTERM")
        process.run(ends())
        self.after(grace_s, over)

    def wipe(self, name: str, back_s: float | None = None) -> None:
        """Kills the process and wipes its disk."""
        machine = self.machines[name]
        self.kill(name)
        machine.disk = Disk()
        if back_s is not None:
            self.after(back_s, lambda: self.start_controller(name))

    def freeze(self, name: str, for_s: float) -> None:
        """Suspends a process, which does not notice."""
        process = self.machines[name].process
        assert process is not None
        process.frozen = True
        if self.trace:
            self.say(name, "FROZEN")
        self.after(for_s, lambda: setattr(process, "frozen", False))

    def reseed(self, seeds: Iterable[str]) -> None:
        """Changes the seeds in all settings, also of running processes."""
        self.seeds = tuple(seeds)
        for process in self.processes:
            if process.role is not None:
                told = self.settings_of(process.host)
                process.soon(lambda role=process.role, told=told: role.reload_settings(told))

    def cut(self, name: str, for_s: float, others: Iterable[str] = ()) -> None:
        """Partitions a machine from others, by default all; data sent meanwhile arrives afterwards."""
        for other in others or self.machines:
            self._blocked_until[name, other] = self._blocked_until[other, name] = self.now + for_s
        if self.trace:
            self.say(name, f"CUT {others or 'off'} for {for_s} s")

    def cut_one_way(self, name: str, for_s: float, others: Iterable[str], outward: bool) -> None:
        """Blocks one direction between a machine and others."""
        for other in others:
            self._blocked_until[(name, other) if outward else (other, name)] = self.now + for_s

    def blocked(self, one: str, other: str) -> float:
        """Returns until when a direction is blocked; 0 if it is not."""
        until = self._blocked_until.get((one, other), 0.0)
        return until if until > self.now else 0.0

    def draw_reordering(self, packed: bytes) -> tuple[bool, bool]:
        """Returns whether a message is duplicated, and whether it is delayed."""
        if message_kind(packed) not in self.reordered_kinds:
            return False, False
        draw = self.random.random()
        return draw < 0.2, 0.1 < draw < 0.3

    # --- invariants that are checked during the run

    def heard(self, process: Process, by: Process, packed: bytes) -> None:
        kind = message_kind(packed)
        if kind not in process.heard or not process.wiped:
            return
        message = messages.decode(cbor2.loads(packed[4:]))
        assert isinstance(message, messages.FetchAnswer | messages.GrantsAnswer)
        if message.yes and not getattr(message, "more", False):  # grants arrive in parts
            process.heard[kind].add(by.host)

    def told(self, process: Process, message: list[Any]) -> None:
        """Checks a message that only a controller that has caught up may send."""
        kind = message[0]
        self.check_voters(process.role.voters)
        if kind == kind_of(messages.ClaimAnswer) and message[2] == 1:
            key = self._key_of(process, message)
            if key is not None:
                key.grants.setdefault(message[3], set()).add(process.host)
                voters = process.role.voters
                counted = key.counted.setdefault((message[3], voters.epoch), set())
                counted.add(process.host)
                for ran in key.ran:
                    if ran != message[3] and len(counted) >= voters.write_quorum:
                        self.errors.append(f"a key that {ran} ran was granted to {message[3]} by enough")
        yes = message[2] >= 0 if kind == kind_of(messages.ClaimAnswer) else message[2]
        if yes and process.wiped:
            # It must have heard the read quorum of the epoch in which it caught up, or of an earlier one.
            until = max(1, process.role.context.member.caught_up_epoch)
            need = min(
                (Voters(*told).read_quorum for told in self.voter_sets.items() if told[0] <= until), default=1
            )
            few = [messages.KINDS[kind].__name__ for kind, by in process.heard.items() if len(by) < need]
            if few or not process.role.voters.epoch:
                self.errors.append(f"{process.name}, wiped, tells {message} before it has recovered: {few}")
            self._check_recovered(process)

    def check_voters(self, voters: Voters) -> None:
        """Checks that each epoch has one set of voters."""
        if voters.epoch and self.voter_sets.setdefault(voters.epoch, voters.names) != voters.names:
            self.errors.append(f"{voters} beside {self.voter_sets[voters.epoch]}")

    def _key_of(self, process: Process, message: list[Any]) -> Key | None:
        name = self.tokens.get(message[3])
        return self.keys[name] if name is not None else None

    def _check_recovered(self, process: Process) -> None:
        """Checks that a wiped controller that has caught up holds everything acknowledged before its start.

        An acknowledged item is among its items, or in a draft that it has adopted.
        """
        open_ = process.role.agreement.replica.open_draft
        drafted = {item.name: item for item in open_.items} if open_ is not None else {}
        for when, item in self.acknowledged_at:
            mine = drafted.get(item.name) or process.role.items.get(item.name)
            if when < process.began and (mine is None or mine.version < item.version):
                self.errors.append(f"{process.name} caught up without {item.name} r{item.version}")

    # --- the operator

    def call(self, name: str, method: bytes, body: bytes, then: Callable[[int, bytes], None]) -> None:
        """Sends one request to a controller's control address."""
        machine = self.machines[name]

        def arrive() -> None:
            process = machine.process
            if process is None or not process.alive or process.role is None or self.blocked(name, "10.0.2.1"):
                return

            def serve() -> None:
                message = Message(ResponseCallback(then))  # type: ignore[arg-type]
                message.method, message.target, message.body = method, b"/-/config", body
                process.role.api.serve(message)

            process.soon(serve)

        self.after(self.delay(), arrive)

    async def ask(
        self, name: str, method: bytes, body: bytes = b"", wait_s: float = 1.2
    ) -> tuple[int, bytes]:
        """Sends a request from the operator's process; the status is 0 if no response arrives."""
        loop = self.operator.loop
        heard: asyncio.Future[tuple[int, bytes]] = loop.create_future()

        def then(status: int, answer: bytes) -> None:
            if method == b"PATCH" and status == 200:
                self._acknowledge(body)
            if not self.blocked(name, "10.0.2.1"):
                self.after(self.delay(), lambda: heard.done() or heard.set_result((status, answer)))

        if method == b"PATCH":
            for item in configuration.parse_change(body).ok:
                if item not in self.sent.setdefault(item.name, []):
                    self.sent[item.name].append(item)
        self.call(name, method, body, then)
        if self.trace:
            self.say("operator", f"{method.decode()} {name} {body.decode()}")
        try:
            answer = await asyncio.wait_for(heard, wait_s)
        except TimeoutError:
            answer = (0, b"")
        if self.trace:
            self.say("operator", f"{method.decode()} {name}: {answer[0]}")
        return answer

    def _acknowledge(self, body: bytes) -> None:
        for item in configuration.parse_change(body).ok:
            self.acknowledged.setdefault(item.name, []).append(item)
            self.acknowledged_at.append((self.now, item))

    async def patch(self, first: int, body: bytes, tries: int = 12) -> int:
        """Sends a change to one controller after the other until it gets 200 or 400."""
        for at in range(tries):
            status, _ = await self.ask(self.controllers[(first + at) % len(self.controllers)], b"PATCH", body)
            if status in (200, 400):
                return status
            await asyncio.sleep(0.1)
        return 0

    # --- claimants

    def claim(self, name: str, key: str, left_s: float = 8.0, age_s: float = 0.0) -> list[str]:
        """Claims a key with a claimant's real code for a request that was sent `age_s` ago; the outcome is
        appended to the returned list."""
        process = self.machines[name].process
        assert process is not None
        sidecar = process.role
        tokens = self.tokens
        token = f"{name}/{len(tokens)}"
        tokens[token] = key
        self.keys.setdefault(key, Key())
        outcome: list[str] = []

        def submit(job: Any) -> None:
            key_of = tokens[job.token]
            if self.trace:
                self.say(job.token, f"RUN {key_of}")
            found = self.keys[key_of]
            found.ran.append(job.token)
            if len(found.ran) > 1:
                self.errors.append(f"{key_of} ran twice: {found.ran}")
            found.counted.clear()
            found.grants.clear()  # earlier grants to others were not enough to run
            job.outcome.append("RUN")

        def tell(told: messages.ForwardAnswer) -> None:
            outcome.append(ErrorKind(told.error).name if told.error else "REPEAT")

        def begin() -> None:
            sidecar.server_queue.submit = submit
            job = SimpleNamespace(token=token, outcome=outcome)
            sidecar.calls.claim(0, key, token, left_s, 1.0, job, tell, self.now - age_s)

        if self.trace:
            self.say(token, f"claims {key}")
        process.soon(begin)
        return outcome

    def record(self, name: str, key: str) -> None:
        """Has the claimant that ran a key report its answer."""
        process = self.machines[name].process
        token = self.keys[key].ran[0]
        reply = SimpleNamespace(status=200, headers=[], body=b"done")
        assert process is not None and token.startswith(name)
        process.soon(lambda: process.role.calls.close_key(key, token, None, reply))
