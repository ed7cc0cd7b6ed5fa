"""Clients that don't keep to the rules: what they send, at which address, and what a process must bear."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from small_mesh import SERVICE, SETTLE_S, SmallMesh, send

from rehearsal.mesh import wire
from rehearsal.mesh.field import Machine
from rehearsal.mesh.operator import HOST, PATHS, rule

LIMITS = {"memory_mb": 128, "max_fds": 256}  # of each process of the mesh that crowds try
SMALL_MACHINE_LIMITS = {"memory_mb": 200, "max_fds": 4100}  # the smallest machine of the deployments
GREATEST_BODY_BYTES = 64 << 20  # the greatest that deployments allow
BULK_PATH, BULK_TIMEOUT = "/bulk/", "20s"
MAX_BODY_BYTES = 8 << 20
CROWD = 24
SMALL_CHUNKS_BODY_BYTES = 512 * 1024  # each chunk of two bytes costs a parser's callback
SMALL_CHUNK, LARGE_CHUNK_BYTES = b"ab", 65_000
PIECE_BYTES = 16 * 1024
PIECE_PAUSE_S = 0.001
WRITE_BYTES = 256 * 1024
ENDLESS_CROWD = 12
ENDLESS_BYTES = 56 << 20  # more than any address takes
ANNOUNCED_BYTES = 1 << 30
NARROW_LIMITS = {"memory_mb": 80, "max_fds": 2400}  # for crowds whose requests are small
HEAD_FIELDS = 3000  # four bytes each, and an object or two here
SMALL_BODY_BYTES = 60_000  # below what counts as a larger body
SENT_AHEAD = 40  # requests on each connection
SEND_S = 15.0  # a client that still isn't through is stopped by the process, as it may be
ASK_S = 60.0  # only keeps a test from hanging
RETRY_S = 0.1

_attempts = itertools.count(1)


@dataclass(frozen=True)
class Door:
    """An address that clients reach."""

    name: str
    at: str  # as the settings call it
    role: str
    method: str
    path: str

    def machine(self, mesh: SmallMesh) -> Machine:
        """Returns the machine whose process is tried."""
        return mesh.callers[0] if self.role == "sidecar" else mesh.field.controllers[0]

    def head(self, framing: str) -> bytes:
        """Returns the head of a request whose body is framed like this."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"crowd-{next(_attempts)}",
            "X-Deadline-Ms": "60000",
            "Content-Type": "application/json",
        }
        lines = [f"{self.method} {self.path} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        return "\r\n".join([*lines, framing, "", ""]).encode()


DOORS = (
    Door("outbound", "outbound", "sidecar", "POST", f"{PATHS['effectful'][0]}crowd"),
    Door("sidecar-control", "control", "sidecar", "PUT", "/-/instances/i-crowd"),
    Door("controller-control", "control", "controller", "PATCH", "/-/config"),
    Door("ready", "ready", "sidecar", "POST", "/-/readiness"),
)


@dataclass(frozen=True)
class Form:
    """One kind of client: what each sends, and how many there are."""

    name: str
    framing: str
    pieces: Callable[[], Iterator[bytes]]
    crowd: int = CROWD
    pause_s: float = 0.0  # between two pieces
    ends_head: bool = True


def _repeated(piece: bytes, size: int) -> Iterator[bytes]:
    """Yields a piece again and again, `size` bytes in all."""
    left = size
    while left:
        part = piece[:left]
        left -= len(part)
        yield part


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _small_chunks() -> Iterator[bytes]:
    chunk = _chunk(SMALL_CHUNK)
    per_write = WRITE_BYTES // len(chunk)
    chunks = SMALL_CHUNKS_BODY_BYTES // len(SMALL_CHUNK)
    return _repeated(chunk * per_write, (chunks - 1) * len(chunk))


def _large_chunks(size: int) -> Iterator[bytes]:
    chunk = _chunk(b"x" * LARGE_CHUNK_BYTES)
    return itertools.repeat(chunk, size // LARGE_CHUNK_BYTES)


CHUNKED = "Transfer-Encoding: chunked"
WHOLE_LENGTH = f"Content-Length: {MAX_BODY_BYTES}"
FORMS = (
    Form("whole", WHOLE_LENGTH, lambda: _repeated(b"x" * WRITE_BYTES, MAX_BODY_BYTES - 1)),
    Form(
        "piece-by-piece",
        WHOLE_LENGTH,
        lambda: _repeated(b"x" * PIECE_BYTES, MAX_BODY_BYTES - 1),
        pause_s=PIECE_PAUSE_S,
    ),
    Form("small-chunks", CHUNKED, _small_chunks),
    Form("large-chunks", CHUNKED, lambda: _large_chunks(MAX_BODY_BYTES)),
    Form(
        "announced-too-long",
        f"Content-Length: {ANNOUNCED_BYTES}",
        lambda: _repeated(b"x" * WRITE_BYTES, 1 << 20),
    ),
    Form("endless", CHUNKED, lambda: _large_chunks(ENDLESS_BYTES), ENDLESS_CROWD),
)


def _many_fields() -> Iterator[bytes]:
    """Yields header fields of a head that doesn't end."""
    yield b"a:b\r\n" * HEAD_FIELDS


def _small_body() -> Iterator[bytes]:
    """Yields a small body, but for its last byte."""
    yield b"x" * (SMALL_BODY_BYTES - 1)


def _sent_ahead() -> Iterator[bytes]:
    """Yields the body of a request, and whole requests after it."""
    body = b"x" * SMALL_BODY_BYTES
    yield body
    for _ in range(SENT_AHEAD):
        yield DOORS[0].head(SMALL_LENGTH) + body


SMALL_LENGTH = f"Content-Length: {SMALL_BODY_BYTES}"
SMALL_FORMS = (
    Form("many-fields", "X-First: 1", _many_fields, crowd=200, ends_head=False),
    Form("small-bodies", SMALL_LENGTH, _small_body, crowd=900),
    Form("sent-ahead", SMALL_LENGTH, _sent_ahead, crowd=150),
)


async def _send_all(writer: asyncio.StreamWriter, form: Form, head: bytes) -> None:
    """Sends a client's request as far as the process takes it."""
    writer.write(head if form.ends_head else head.removesuffix(b"\r\n"))
    for piece in form.pieces():
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(form.pause_s)


@asynccontextmanager
async def crowd(mesh: SmallMesh, door: Door, form: Form) -> AsyncIterator[None]:
    """Has a crowd of clients send what they do at one address, and stay open afterwards."""
    address = door.machine(mesh).at(door.at)
    host, _, port = address.rpartition(":")
    writers: list[asyncio.StreamWriter] = []

    async def join() -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                _, writer = await asyncio.open_connection(host, int(port))
                writers.append(writer)
                await _send_all(writer, form, door.head(form.framing))

    try:
        await asyncio.gather(*(join() for _ in range(form.crowd)))
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


async def _until_answered(what: str, ask: Callable[[], Awaitable[bool]]) -> None:
    """Asks until there is an answer with success, as callers do that are told to come back."""
    ends = time.monotonic() + ASK_S
    while not await ask():
        assert time.monotonic() < ends, f"{what}: no answer"
        await asyncio.sleep(RETRY_S)


async def check_ordinary_callers(mesh: SmallMesh, role: str) -> None:
    """Checks that one ordinary request is answered at each address of the process that is tried."""
    if role == "controller":
        controller = mesh.field.controllers[0]

        async def read_back() -> bool:
            told = await wire.ask(controller.at("control"), "GET", "/-/config")
            return told is not None and told.status == 200

        await _until_answered("control", read_back)
        await _until_answered("readiness", controller.ready)
        return
    machine = mesh.callers[0]

    async def request() -> bool:
        try:
            async with asyncio.timeout(5.0):
                return (await send(machine, f"ordinary-{next(_attempts)}", 4.0)).status == 200
        except (wire.Broken, OSError, TimeoutError):
            return False

    await _until_answered("outbound", request)
    server = next(server for server in mesh.servers.values() if server.machine is machine)
    await _until_answered("control", server.beat)
    await _until_answered("readiness", machine.ready)


async def add_bulk_route(mesh: SmallMesh) -> None:
    """Adds a route whose requests have the time that a large body takes."""
    version = 1000
    bulk = rule("bulk", "effectful", BULK_PATH, SERVICE, version, BULK_TIMEOUT)
    upserts = {"listener_list": [{"hostname": HOST, "rule_set": [bulk]}]}
    assert await mesh.operator.change(upserts, [], version) == 200
    await asyncio.sleep(SETTLE_S)


async def send_body(machine: Machine, body: bytes, chunked: bool = False) -> wire.Message:
    """Sends a request with a body on the bulk route; returns the answer."""
    line = await wire.Line.open(machine.at("outbound"))
    headers = {"Host": HOST, "X-Attempt-Id": f"bulk-{next(_attempts)}", "X-Deadline-Ms": "20000"}
    try:
        return await line.ask(wire.request("POST", BULK_PATH, headers, body, chunked))
    finally:
        line.close()


def check_processes(mesh: SmallMesh, limits: Mapping[str, int]) -> None:
    """Checks that each process lives, within the memory and the descriptors of its machine."""
    mesh.field.watch()
    mesh.field.read_logs()
    assert mesh.history.troubles == []
    for machine in (*mesh.field.controllers, *mesh.field.sidecars):
        assert machine.process is not None
        folder = Path(f"/proc/{machine.process.pid}")
        status = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
        peak_kib = int(status["VmHWM"].split()[0])
        assert peak_kib * 1024 <= limits["memory_mb"] * 1_000_000, f"{machine.name} held {peak_kib} KiB"
        descriptors = len(list((folder / "fd").iterdir()))
        assert descriptors <= limits["max_fds"], f"{machine.name} has {descriptors} descriptors"
