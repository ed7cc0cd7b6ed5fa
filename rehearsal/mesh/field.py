"""The field: machines of the mesh on loopback, an address each, and the processes that run on them.

As on the platform a port number means the same on all machines. Only what was started here is ever ended,
each by its own process id.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from rehearsal.daemon import LEASH, environment
from rehearsal.mesh import wire
from rehearsal.mesh.judge import History
from rehearsal.mesh.relay import Relay

SOCKETS = 1024
GRACE_S = 4.0  # from SIGTERM to the end
BOUNDS = [f"grace={GRACE_S:g}s", "retry_ratio=0.2", "retry_window=10s", "retry_slack=5"]
KEY_WINDOW_S = 600.0
HOLD_MAX_S = 10.0
BY_HEARTBEAT, BY_INVOCATION = "heartbeat", "invocation"  # how servers are given shard keys
SERVICES = ("ferry", "till")
ERRORS = ("Traceback", "could not be handled")  # in a log: a fault of the program
DOORS = ("connection", "control", "outbound", "ready", "app", "behind")


def hosts(draw: random.Random, count: int) -> list[str]:
    """Loopback addresses of a net that nobody else is likely to pick."""
    net = f"127.{draw.randrange(1, 255)}.{draw.randrange(256)}"
    return [f"{net}.{number}" for number in range(1, count + 1)]


def free_ports(where: list[str], count: int) -> list[int]:
    """Ports that are free at all of these addresses."""
    found: list[int] = []
    with contextlib.ExitStack() as held:
        while len(found) < count:
            first = held.enter_context(socket.socket())
            first.bind((where[0], 0))
            port = int(first.getsockname()[1])
            with contextlib.suppress(OSError):
                for host in where[1:]:
                    held.enter_context(socket.socket()).bind((host, port))
                found.append(port)
    return found


class Sharding(NamedTuple):
    """Which services are divided by key, and how their servers are given keys."""

    grants: str = ""
    services: tuple[str, ...] = ()
    warm_s: float = 1.0  # for so long keys are slow that came without a handover


NO_SHARDING = Sharding()


class Machine:
    """One machine, and its process over all lives."""

    def __init__(
        self,
        name: str,
        role: str,
        host: str,
        ports: dict[str, int],
        service: str = "",
        sharding: Sharding = NO_SHARDING,
    ) -> None:
        self.name, self.role, self.host, self.service = name, role, host, service
        self.sharding = sharding
        self._ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self.in_use = role == "sidecar"  # whether clients send here

    def at(self, door: str) -> str:
        """An address of it."""
        return f"{self.host}:{self._ports[door]}"

    def port(self, door: str) -> int:
        """The port of it."""
        return self._ports[door]

    @property
    def runs(self) -> bool:
        """Whether its process does."""
        return self.process is not None and self.process.returncode is None

    async def ready(self) -> bool:
        """Whether it says so, as the platform asks."""
        told = await wire.ask(
            self.at("ready" if self.role == "sidecar" else "control"), "GET", "/-/readiness"
        )
        return told is not None and told.status == 200


class Field:
    """All machines."""

    def __init__(
        self,
        folder: Path,
        history: History,
        controllers: int = 3,
        pairs: int = 2,
        relayed: bool = False,
        key_window_s: float = KEY_WINDOW_S,
        sharding: Sharding = NO_SHARDING,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """`limits`: what the settings of each process tell of its machine, by name."""
        self._folder, self._history = folder, history
        self.sharding = sharding
        self._limits = dict(limits or {})
        self._bounds = [*BOUNDS, f"key_window={key_window_s:g}s"]
        if sharding.services:
            self._bounds.append(f"hold_max={HOLD_MAX_S:g}s")
        self._first = True
        self._struck: list[asyncio.subprocess.Process] = []
        self.relay = Relay() if relayed else None
        where = hosts(random.SystemRandom(), controllers + pairs * len(SERVICES))
        ports = dict(zip(DOORS, free_ports(where, len(DOORS)), strict=True))
        self.controllers = [
            Machine(f"controller{n}", "controller", where[n], ports) for n in range(controllers)
        ]
        self.sidecars = [
            Machine(f"sidecar{n}", "sidecar", host, ports, SERVICES[n % len(SERVICES)], sharding)
            for n, host in enumerate(where[controllers:])
        ]

    def _settings(self, machine: Machine) -> str:
        number = int(machine.name[-1])
        told: dict[str, object] = {
            "node_name": machine.name,
            "ip": machine.host,
            "zone": f"pier-{number % 2}",
            "port_range": [machine.port("connection")] * 2,
            "seed_list": [controller.at("control") for controller in self.controllers],
            "first_start": self._first,
            "bound_set": self._bounds,
        }
        if self.sharding.grants:
            told["grants"] = self.sharding.grants
        doors = ["control"]
        if machine.role == "controller":
            told["data_dir"] = str(self.data(machine))
        else:
            told |= {"app_addr": machine.at("app"), "service": machine.service}
            doors += ["outbound", "ready"]
        lines = [f"{name} = {json.dumps(value)}" for name, value in told.items()]
        lines += ["[listen_map]", *(f'{door} = "{machine.at(door)}"' for door in doors)]
        lines += ["[limit_set]", *(f"{name} = {value}" for name, value in self._limits.items())]
        return "\n".join([*lines, ""])

    async def start_all(self) -> None:
        """The first start of the whole system; the machines' settings say so this once."""
        if self.relay is not None:
            for machine in (*self.controllers, *self.sidecars):
                await self.relay.front(machine.host, machine.port("connection"), machine.port("behind"))
        for machine in (*self.controllers, *self.sidecars):
            await self.start(machine)
        self._first = False

    async def start(self, machine: Machine) -> None:
        """Start a machine's process; it may take a while to be ready."""
        path = self._folder / f"{machine.name}.toml"
        path.write_text(self._settings(machine), encoding="utf-8")
        environ = {**environment(), "HOLLYPORT_NODE_FILE": str(path), "TMPDIR": str(self._folder)}
        program = [sys.executable, "-m", "mesh", machine.role]
        if self.relay is not None:
            ports = [str(machine.port(door)) for door in ("connection", "behind")]
            program[2:3] = ["rehearsal.mesh.behind", machine.host, *ports]
        with open(self._folder / f"{machine.name}.log", "ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                "-E",
                str(LEASH),
                str(os.getpid()),
                str(SOCKETS),
                *program,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environ,
            )
        if machine.role == "sidecar":
            machine.in_use = True

    def strike(self, *machines: Machine) -> None:
        """End processes without a word, all at once and in this very turn; `kill` waits for their ends."""
        self.watch()
        for machine in machines:
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.kill()
                self._struck.append(machine.process)
            machine.process = None

    async def kill(self, *machines: Machine) -> None:
        """The same, and wait until they have ended."""
        self.strike(*machines)
        struck, self._struck = self._struck, []
        for process in struck:
            await process.wait()

    def freeze(self, machine: Machine, still: bool = True) -> None:
        """Have a process stand still, or go on."""
        assert machine.process is not None
        machine.process.send_signal(signal.SIGSTOP if still else signal.SIGCONT)

    def cut(self, *machines: Machine) -> None:
        """Nothing passes between these and all others, until `heal`; wants a relayed field."""
        assert self.relay is not None
        here = {machine.host for machine in machines}
        self.relay.cut(here, {one.host for one in (*self.controllers, *self.sidecars)} - here)

    def cut_from_peers(self, controller: Machine) -> None:
        """Nothing passes between a control machine and the other control machines; sidecars reach it."""
        assert self.relay is not None
        self.relay.cut({controller.host}, {one.host for one in self.controllers if one is not controller})

    def heal(self) -> None:
        """All is joined again."""
        assert self.relay is not None
        self.relay.heal()

    async def term(self, machine: Machine) -> None:
        """SIGTERM; a trouble if it has not ended well within the grace."""
        process = machine.process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await process.wait()
        except TimeoutError:
            await self.kill(machine)
            self._history.troubles.append(f"{machine.name} had not ended {GRACE_S:g} s after SIGTERM")
            return
        machine.process = None
        if code:
            self._history.troubles.append(f"{machine.name} ended with {code} after SIGTERM")

    def wipe(self, machine: Machine) -> None:
        """Empty the disk of a controller that does not run."""
        assert not machine.runs
        shutil.rmtree(self.data(machine))

    def data(self, machine: Machine) -> Path:
        """The folder that is a controller's disk."""
        return self._folder / f"{machine.name}-data"

    def watch(self) -> None:
        """Note whatever ended by itself."""
        for machine in (*self.controllers, *self.sidecars):
            if machine.process is not None and machine.process.returncode is not None:
                told = f"{machine.process.returncode}: {self.log(machine)[-3:]}"
                self._history.troubles.append(f"{machine.name} ended by itself with {told}")
                machine.process = None

    def log(self, machine: Machine) -> list[str]:
        """What its processes have said."""
        path = self._folder / f"{machine.name}.log"
        return path.read_text(encoding="utf-8", errors="replace").splitlines()

    def read_logs(self) -> None:
        """Note the errors that processes told."""
        for machine in (*self.controllers, *self.sidecars):
            for line in self.log(machine):
                if any(word in line for word in ERRORS):
                    self._history.troubles.append(f"{machine.name}: {line[:400]}")

    async def close(self) -> None:
        """End all that is left."""
        await self.kill(*self.controllers, *self.sidecars)
        if self.relay is not None:
            await self.relay.close()
