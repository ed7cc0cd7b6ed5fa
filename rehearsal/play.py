"""The conductor: starts the rig and the daemons, plays the plan, ends everything, and gathers the records."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from rehearsal import settings, thrift
from rehearsal.daemon import Daemon, default_command, environment
from rehearsal.fabric import Fabric
from rehearsal.fleet import Members, events
from rehearsal.judge import Records
from rehearsal.listing.eureka import EurekaPart
from rehearsal.listing.server import ListServer
from rehearsal.listing.telling import Telling
from rehearsal.plan import FOREVER, Event, News, Plan
from rehearsal.worker import Clock, Lateness

AHEAD_S = 0.4  # from the word to the start
LOOK_S = 0.25  # between looks at the daemons
WORKER_S = 30.0  # a process of the rig that takes longer to start or to write its records is broken
PLAN = "plan.jsonl"
RECORDS = "records.jsonl"


class Progress(NamedTuple):
    """How far a play is."""

    t_s: float
    of_s: float
    calls: int
    asked: float
    served: float


@dataclass(slots=True)
class Played:
    """What a play left behind, judged by others."""

    records: Records
    troubles: list[str] = field(default_factory=list)
    void: list[str] = field(default_factory=list)
    late_ms: dict[str, float] = field(default_factory=dict)
    until_us: int = FOREVER
    list_calls: int = 0


class WorkerError(RuntimeError):
    """A process of the rig is broken: the play is void."""


def last_words(log: list[str]) -> str:
    """What a process's log says of its end: the line that names the error comes first, as a reader may cut
    the rest off, and whatever an ending interpreter adds comes behind it."""
    named = [line for line in log if re.match(r"[\w.]+(Error|Exception|Interrupt|Exit)\b", line)]
    places = [line.strip() for line in log if line.startswith("  File ")]
    return " | ".join([*named[-1:], *places[-1:], *log[-3:]])


class _Worker:
    """One process of the rig, seen from here."""

    def __init__(self, name: str, module: str, folder: Path, config: dict[str, Any]) -> None:
        self.name, self._module, self._folder = name, module, folder
        self.records = folder / f"{name}.records"
        self.config = folder / f"{name}.config"
        self.config.write_text(json.dumps({**config, "records": str(self.records)}), encoding="utf-8")
        self.opened: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.stopped: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.heard: Callable[[dict[str, Any]], None] = lambda line: None
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                str(self.config),
                str(os.getpid()),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environment(),
                limit=1 << 22,
            )
        self._reading = asyncio.ensure_future(self._read())

    def tell(self, line: dict[str, Any]) -> None:
        assert self._process is not None and self._process.stdin is not None
        with contextlib.suppress(OSError, RuntimeError):
            self._process.stdin.write((json.dumps(line) + "\n").encode())

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while text := await self._process.stdout.readline():
            line = json.loads(text)
            if "opened" in line:
                self.opened.set_result(line["opened"])
            elif "stopped" in line:
                self.stopped.set_result(line)
            else:
                self.heard(line)
        log = (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        error = WorkerError(f"the rig's process {self.name} ended: {last_words(log)}")
        for future in (self.opened, self.stopped):
            if not future.done():
                future.set_exception(error)
                future.exception()  # whoever waits gets it; where nobody does, it is no news

    async def end(self) -> None:
        if self._process is not None:
            if self._process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            await self._reading


class Conductor:
    """One play."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        against: str | None = None,
        command: list[str] | None = None,
        progress: Callable[[Progress], None] = lambda progress: None,
    ) -> None:
        self._plan, self._folder, self._against = plan, folder, against
        self._command = command or default_command()
        self._progress = progress
        self._clock = Clock(time.monotonic_ns() + 10**15)  # nothing has begun
        self._late = Lateness()
        self._loop = asyncio.get_running_loop()
        self._interrupted = asyncio.Event()
        self._workers: list[_Worker] = []
        self._callers: list[_Worker] = []
        self._daemons: list[Daemon] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._list: ListServer | None = None
        self._eureka: EurekaPart | None = None
        self._fabric: Fabric | None = None
        self._members: Members | None = None
        self._owners: dict[str, str] = {}
        self._told: dict[str, dict[str, Any]] = {}
        self._played = Played(Records())

    def interrupt(self) -> None:
        """End early: what was played is reported, and void."""
        self._interrupted.set()

    async def play(self) -> Played:
        """Play it all. Whatever happens, what was started is ended."""
        try:
            await self._open()
            if not self._played.troubles:
                await self._run()
        except WorkerError as error:
            self._played.void.append(str(error))
        finally:
            await self._end()
        return self._played

    # --- opening

    async def _open(self) -> None:
        plan, size = self._plan, self._plan.size
        path = self._folder / PLAN
        path.write_bytes(plan.dumps())
        prefix = plan.digest()[:8]
        common = {"plan": str(path), "prefix": prefix}
        hosts = [
            _Worker(
                f"host{i}", "rehearsal.nodes.host", self._folder, {**common, "first": i, "step": size.hosts}
            )
            for i in range(size.hosts)
        ]
        self._workers += hosts
        await asyncio.gather(*(worker.start() for worker in hosts))
        addresses: dict[int, list[tuple[str, int]]] = {}
        for worker in hosts:
            worker.heard = self._heard
            for node, doors in (await self._wait(worker.opened)).items():
                addresses[int(node)] = [(host, port) for host, port in doors]
        running = {n: ("SERVING", 0) for n, node in enumerate(plan.nodes) if node.born_us < 0}
        telling = Telling(len(plan.daemons), running)
        self._list = ListServer(plan, self._clock, self._late, addresses, telling)
        await self._list.open()
        if "eureka" in plan.scenario.list.sources and self._against is None:
            self._eureka = EurekaPart(plan, self._clock, self._late, addresses, telling)
            await self._eureka.open()
        if self._against is None:
            told = {event.what for event in plan.events if event.target == "daemon"}
            self._daemons = [
                Daemon(
                    n,
                    self._command,
                    self._folder,
                    self._clock,
                    plan.scenario.daemon.sockets,
                    "evacuate" in told,
                    "upgrade" in told,
                )
                for n in range(len(plan.daemons))
            ]
            if plan.scenario.fleet is not None:
                self._fabric = Fabric(plan, self._clock)
                self._members = Members(plan, self._folder, self._fabric)
                await self._members.open()
            for daemon in self._daemons:
                self._configure(daemon)
            await asyncio.gather(*(daemon.start() for daemon in self._daemons))
        lists = [f"127.0.0.1:{port}" for port in self._list.ports]
        for i in range(size.callers):
            self._callers.append(
                _Worker(
                    f"caller{i}",
                    "rehearsal.clients.caller",
                    self._folder,
                    {
                        **common,
                        "first": i,
                        "step": size.callers,
                        "against": self._against,
                        "lists": lists,
                        "daemons": [daemon.address for daemon in self._daemons],
                        "thrift": [daemon.thrift for daemon in self._daemons],
                    },
                )
            )
        self._workers += self._callers
        await asyncio.gather(*(worker.start() for worker in self._callers))
        for worker in self._callers:
            worker.heard = lambda line, name=worker.name: self._heard(line, name)  # type: ignore[misc]
            await self._wait(worker.opened)
        limit = plan.scenario.daemon.ready_s
        if self._daemons and not all(
            await asyncio.gather(*(daemon.ready(limit) for daemon in self._daemons))
        ):
            self._played.until_us = 0
            self._gather_troubles()

    def _configure(self, daemon: Daemon) -> None:
        assert self._list is not None
        n = daemon.number
        tables = [] if self._eureka is None else [self._eureka.options(n, self._owners)]
        if self._plan.scenario.thrift is not None:
            tables.append(thrift.options(daemon.thrift, self._plan.scenario.classes))
        if self._members is not None:
            tables.append(self._members.options(n))
        if tables:
            daemon.write_options("\n".join(tables))
        daemon.write(
            settings.config(
                self._plan,
                n,
                daemon.life,
                daemon.address,
                f"127.0.0.1:{self._list.ports[n]}",
                self._list.known(n),
            )
        )

    async def _wait(self, future: asyncio.Future[dict[str, Any]]) -> dict[str, Any]:
        try:
            async with asyncio.timeout(WORKER_S):
                return await asyncio.shield(future)
        except TimeoutError:
            raise WorkerError(f"a process of the rig said nothing for {WORKER_S:g} s") from None

    # --- playing

    async def _run(self) -> None:
        plan = self._plan
        assert self._list is not None
        self._clock.start_ns = time.monotonic_ns() + int(AHEAD_S * 1e9)
        for worker in self._workers:
            worker.tell({"start_ns": self._clock.start_ns})
        self._list.start()
        if self._eureka is not None:
            self._eureka.start()
        self._task(self._faults())
        end_s = plan.seconds + plan.scenario.tail_s
        while (left := end_s - self._clock() / 1e6) > 0 and not self._interrupted.is_set():
            for daemon in self._daemons:
                daemon.look()
                self._check_memory(daemon)
            self._tell_progress()
            before = time.monotonic()
            wait = min(LOOK_S, left)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._interrupted.wait(), wait)
            self._late.beat(int((time.monotonic() - before - wait) * 1e6), int(LOOK_S * 1e6))
            if any(worker.stopped.done() for worker in self._workers):
                break  # one has died
        if self._interrupted.is_set():
            self._played.until_us = max(0, self._clock())
            self._played.void.append(f"interrupted after {max(0, self._clock()) / 1e6:.1f} s")
        self._tell_progress()
        await self._gather()

    def _check_memory(self, daemon: Daemon) -> None:
        most = self._plan.scenario.daemon.memory_mb
        if daemon.samples and daemon.samples[-1].memory_mb > most and not daemon.troubles:
            daemon.trouble(
                f"holds {daemon.samples[-1].memory_mb:.0f} MB, {most:g} are allowed, and was killed"
            )
            self._task(daemon.kill())

    def _task(self, what: Any) -> None:
        task = asyncio.ensure_future(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _faults(self) -> None:
        """The part of the plan that befalls daemons, and moves of the list."""
        assert self._list is not None
        for event in self._plan.events:
            if event.target not in ("daemon", "owner", "fabric") and event.what != "move":
                continue
            if (left := event.t_us - self._clock()) > 0:
                await asyncio.sleep(left / 1e6)
            self._late.add(self._clock() - event.t_us)
            if event.target == "owner":
                self._owners[self._plan.halls[event.which]] = event.what
                for daemon in self._daemons:
                    self._configure(daemon)
                    daemon.hang_up()
            elif event.target == "fabric":
                assert self._fabric is not None
                self._fabric.switch(event.which, event.value > 0)
            elif event.what == "move":
                await self._list.move()
                for daemon in self._daemons:
                    self._configure(daemon)
                    daemon.hang_up()
            elif self._daemons:
                self._task(self._befall(self._daemons[event.which], event))

    async def _befall(self, daemon: Daemon, event: Event) -> None:
        scenario = self._plan.scenario
        if event.what == "stall":
            await daemon.stall(event.value)
            return
        if event.what == "twin":
            assert self._members is not None
            await self._members.twin(daemon, event.value)
            return
        if event.what == "upgrade":
            if self._members is not None:
                await self._members.renew(daemon.number)
            self._configure(daemon)
            await daemon.upgrade(event.value, scenario.daemon.stop_s)
            return
        if event.what == "evacuate":
            await daemon.evacuate(event.value)
            return
        if event.what == "rejoin":
            await daemon.rejoin(event.value)
            return
        if event.what == "kill":
            await daemon.kill()
            await asyncio.sleep(event.value)
        else:
            await daemon.stop(scenario.daemon.stop_s, "restart")
        self._configure(daemon)
        await daemon.start()
        await daemon.ready(scenario.daemon.ready_s)

    def _heard(self, line: dict[str, Any], name: str = "") -> None:
        if "fell" in line:
            assert self._list is not None
            notice = self._plan.scenario.list.notice_s[0]
            news = News(line["t_us"] + int(notice * 1e6), line["fell"], "DELETED", 0)
            self._list.tell(news)
            if self._eureka is not None:
                self._eureka.tell(news)
        elif "trouble" in line:
            self._played.void.append(line["trouble"])
        else:
            self._told[name] = line

    def _tell_progress(self) -> None:
        rows = list(self._told.values())
        self._progress(
            Progress(
                max(0.0, self._clock() / 1e6),
                self._plan.seconds + self._plan.scenario.tail_s,
                sum(row["calls"] for row in rows),
                sum(row["asked"] for row in rows),
                sum(row["served"] for row in rows),
            )
        )

    # --- the end

    async def _gather(self) -> None:
        """Clients end first, then the daemons, then the nodes: nothing that is owed is cut off."""
        assert self._list is not None
        await self._stop(self._callers)
        for daemon in self._daemons:
            daemon.look()
        await asyncio.gather(*(d.stop(self._plan.scenario.daemon.stop_s, "stopped") for d in self._daemons))
        await self._stop([worker for worker in self._workers if worker not in self._callers])
        records = self._played.records
        with open(self._folder / RECORDS, "w", encoding="utf-8") as merged:
            for worker in self._workers:
                with open(worker.records, encoding="utf-8") as file:
                    rows = []
                    for text in file:
                        merged.write(text)
                        rows.append(json.loads(text))
                records.take(rows)
            own: list[list[Any]] = [*self._list.board.records]
            own += [["outage", *outage] for outage in self._list.outages]
            if self._eureka is not None:
                own += [["outage", *outage] for outage in self._eureka.outages]
            if self._fabric is not None:
                own += self._fabric.records
            for daemon in self._daemons:
                own += [["life", *life] for life in daemon.lives]
                if self._fabric is not None:
                    told = events(daemon.log, daemon.number, self._clock.start_ns)
                    own += [["fleet", *row] for row in told]
                own += [["sample", *sample] for sample in daemon.samples]
            for row in own:
                merged.write(json.dumps(row, separators=(",", ":")) + "\n")
            records.take(own)
        self._played.list_calls = self._list.calls
        self._played.late_ms["conductor"] = self._late.quantile(0.99)
        self._gather_troubles()

    def _gather_troubles(self) -> None:
        self._played.troubles = [text for daemon in self._daemons for text in daemon.troubles]

    async def _stop(self, workers: list[_Worker]) -> None:
        for worker in workers:
            worker.tell({"stop": True})
        for worker in workers:
            said = await self._wait(worker.stopped)
            self._played.late_ms[worker.name] = said["late_ms_p99"]

    async def _end(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*list(self._tasks), return_exceptions=True)
        for daemon in self._daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                await daemon.kill()
            daemon.close()
        await asyncio.gather(*(worker.end() for worker in self._workers))
        if self._list is not None:
            await self._list.close()
        if self._eureka is not None:
            await self._eureka.close()
        if self._fabric is not None:
            self._fabric.close()
        for worker in self._workers:
            for path in (worker.records, worker.config):
                path.unlink(missing_ok=True)
