"""The program under rehearsal, as processes: started, watched, signalled, and ended whatever comes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import psutil

from rehearsal.judge import Life, Sample
from rehearsal.worker import Clock

LEASH = Path(__file__).parent / "leash.py"
ROOT = Path(__file__).parent.parent
LOG_LINES = 12
LOOK_S = 0.02


def default_command() -> list[str]:
    """The daemon as the platform starts it, by the interpreter that runs the kit."""
    return [sys.executable, "-m", "hollyport"]


def environment() -> dict[str, str]:
    """What the kit's processes inherit; the packages are found wherever the kit is called from."""
    paths = [str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
    kept = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "HOLLYPORT_"))}
    return {**kept, "PYTHONPATH": os.pathsep.join(paths)}


def own_address(draw: random.Random) -> str:
    """A loopback address and port that nobody else is likely to pick: a daemon keeps its address over
    restarts, so the port cannot be held open for it in between."""
    host = f"127.{draw.randrange(1, 255)}.{draw.randrange(256)}.{draw.randrange(1, 255)}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Daemon:
    """One daemon, over all its lives."""

    def __init__(
        self,
        number: int,
        command: list[str],
        folder: Path,
        clock: Clock,
        sockets: int,
        staffed: bool = False,
        shared: bool = False,
    ) -> None:
        """`staffed`: it has a second address. `shared`: its listening socket is held here, for upgrades."""
        self.number, self._command, self._folder, self._clock = number, command, folder, clock
        self._sockets = sockets
        self.address, self.thrift = (own_address(random.SystemRandom()) for _ in range(2))
        self._staffed = staffed or shared
        self.console = ""  # of the process that was started last
        self._socket: socket.socket | None = None
        if shared:
            host, _, port = self.address.rpartition(":")
            self._socket = socket.create_server((host, int(port)), backlog=1024)
        self.life = 0
        self.process: asyncio.subprocess.Process | None = None
        self._watched: psutil.Process | None = None
        self._ending = False  # its end is wanted
        self._cpu_before = 0.0
        self._cpu_s = 0.0
        self.options = ""  # the operators' file, where there is one
        self.lives: list[Life] = []
        self.samples: list[Sample] = []
        self.troubles: list[str] = []

    @property
    def name(self) -> str:
        return f"d{self.number}"

    @property
    def config(self) -> Path:
        return self._folder / f"{self.name}.json"

    @property
    def log(self) -> Path:
        return self._folder / f"{self.name}.log"

    def write(self, config: dict[str, Any]) -> None:
        """Put the configuration in place, whole or not at all."""
        fresh = self.config.with_suffix(".new")
        fresh.write_text(json.dumps(config), encoding="utf-8")
        fresh.replace(self.config)

    def write_options(self, text: str) -> None:
        """Put the operators' file in place, whole or not at all."""
        path = self._folder / f"{self.name}.toml"
        fresh = path.with_suffix(".new-toml")
        fresh.write_text(text, encoding="utf-8")
        fresh.replace(path)
        self.options = str(path)

    async def start(self) -> None:
        """Start a process."""
        self.life += 1
        self._ending = False
        self._cpu_before += self._cpu_s
        self._cpu_s = 0.0
        environ = {**environment(), "NODE_CONFIG": str(self.config), "TMPDIR": str(self._folder)}
        passed: tuple[int, ...] = ()
        if self._staffed:
            environ["NODE_CONSOLE"] = self.console = own_address(random.SystemRandom())
        if self._socket is not None:
            passed = (self._socket.fileno(),)
            environ["NODE_ACCEPT_FD"] = str(passed[0])
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                "-E",
                str(LEASH),
                str(os.getpid()),
                str(self._sockets),
                *self._command,
                *(["--options", self.options] if self.options else []),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environ,
                pass_fds=passed,
            )
        with contextlib.suppress(psutil.Error):
            self._watched = psutil.Process(self.process.pid)
        self._note("start")

    async def ready(self, limit_s: float) -> bool:
        """Wait until it says that it can serve; False, and a trouble, if it does not."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        process = self.process
        assert process is not None
        while loop.time() < until and process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    try:
                        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                        if b" 200 " in await reader.readuntil(b"\r\n"):
                            self._note("ready")
                            return True
                    finally:
                        writer.transport.abort()
            await asyncio.sleep(LOOK_S)
        if process.returncode is None:
            self.trouble(f"was not ready within {limit_s:g} s")
        else:
            self.trouble(f"ended with {process.returncode} before it was ready")
        return False

    # --- the second address

    async def asked(self, path: str, method: str = "GET") -> int:
        """The status of an answer at the second address; 0 where there is none in 1 s."""
        host, _, port = self.console.rpartition(":")
        with contextlib.suppress(OSError, ValueError, TimeoutError, IndexError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(f"{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n".encode())
                    return int((await reader.readline()).split()[1])
                finally:
                    writer.transport.abort()
        return 0

    async def upgrade(self, yes_s: float, stop_s: float) -> None:
        """Start a process beside the running one, and end that once the new one says yes."""
        old, watched = self.process, self._watched
        self._note("upgrade")
        await self.start()
        new, loop = self.process, asyncio.get_running_loop()
        assert new is not None and old is not None
        until = loop.time() + yes_s
        while await self.asked("/api/ready") != 200:
            if new.returncode is not None or loop.time() > until:
                what = f"ended with {new.returncode}" if new.returncode is not None else "did not say yes"
                self.trouble(f"was to be replaced, and the new process {what}")
                with contextlib.suppress(ProcessLookupError):
                    new.kill()
                await new.wait()
                self.process, self._watched = old, watched
                return
            await asyncio.sleep(LOOK_S)
        with contextlib.suppress(ProcessLookupError):
            old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(stop_s):
                code = await old.wait()
        except TimeoutError:
            old.kill()
            await old.wait()
            self.trouble(f"was replaced, and had not ended {stop_s:g} s after SIGTERM")
            return
        if code != 0:
            self.trouble(f"was replaced, and ended with {code} after SIGTERM")

    async def stall(self, seconds: float) -> None:
        """Stop it in the middle of whatever it does, and let it go on."""
        self._note("stalled")
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._signal(signal.SIGCONT)
            self._note("woke")

    def clients(self) -> set[tuple[str, int]]:
        """The clients' ends of the connections that it holds."""
        host, _, port = self.address.rpartition(":")
        found: set[tuple[str, int]] = set()
        with contextlib.suppress(psutil.Error, OSError):
            assert self._watched is not None
            for row in self._watched.net_connections("tcp"):
                if row.raddr and row.laddr == (host, int(port)) and row.status == psutil.CONN_ESTABLISHED:
                    found.add((row.raddr.ip, row.raddr.port))
        return found

    async def evacuate(self, gone_s: float) -> None:
        """Send its clients away. Clients of the kit know no front and go on coming, so what is looked for is
        a connection that stays: one that was there half way must be gone at the end."""
        if await self.asked("/api/evacuate", "PUT") != 200:
            self.trouble("did not take the call to evacuate")
            return
        await asyncio.sleep(gone_s / 2)
        held = self.clients()
        await asyncio.sleep(gone_s / 2)
        if await self.asked("/api/ready") == 200:
            self.trouble(f"was told to evacuate, and says yes {gone_s:g} s later")
        if stay := held & self.clients():
            self.trouble(f"was told to evacuate, and {len(stay)} clients were still on it {gone_s:g} s later")

    async def rejoin(self, back_s: float) -> None:
        """Back to work."""
        if await self.asked("/api/rejoin", "PUT") != 200:
            self.trouble("did not take the call to rejoin")
            return
        if not await self.ready(back_s):
            self.trouble("did not come back after an evacuation")

    def close(self) -> None:
        """Let go of the listening socket, where it is held here."""
        if self._socket is not None:
            self._socket.close()

    def look(self) -> None:
        """Note what it holds and uses; an end that nobody asked for is a trouble."""
        process = self.process
        if process is None:
            return
        if process.returncode is not None:
            if not self._ending:
                self._ending = True
                self._note("crashed")
                self.trouble(f"ended with {process.returncode} in mid-play")
            return
        with contextlib.suppress(psutil.Error, OSError):
            assert self._watched is not None
            with self._watched.oneshot():
                memory = self._watched.memory_info().rss / 1e6
                times = self._watched.cpu_times()
            self._cpu_s = times.user + times.system
            self.samples.append(
                Sample(
                    self._clock(),
                    self.number,
                    memory,
                    self._watched.num_fds(),
                    self._cpu_before + self._cpu_s,
                )
            )

    def hang_up(self) -> None:
        """Ask it to read its file again."""
        self._signal(signal.SIGHUP)

    async def kill(self) -> None:
        """End it outright."""
        self._ending = True
        self._note("killed")
        self._signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self, limit_s: float, note: str) -> None:
        """SIGTERM, and a trouble if it has not ended in time or ends badly."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        self._ending = True
        self._note(note)
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(limit_s):
                code = await process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await process.wait()
            self.trouble(f"had not ended {limit_s:g} s after SIGTERM, and was killed")
            return
        if code != 0:
            self.trouble(f"ended with {code} after SIGTERM")

    def trouble(self, what: str) -> None:
        """Something that fails the play, with the last lines of the log."""
        lines = []
        with contextlib.suppress(OSError):
            lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-LOG_LINES:]
        self.troubles.append(f"daemon {self.name} {what}" + "".join(f"\n    {line[:300]}" for line in lines))

    def _signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def _note(self, what: str) -> None:
        self.lives.append(Life(self.number, self._clock(), what))
