"""The connections between real processes, through sockets of the rig: any two machines can be cut off.

Where `rehearsal.fabric` carries datagrams, this carries TCP. A machine's connection address is held by a
socket here, and its process listens behind it (`behind.py`); who dials is known by the address that each
process binds. Nothing passes a cut, neither bytes nor a connection's end, and nothing of what was sent before
is lost: it comes when the cut is over, as TCP would send it again. A connection made through a cut stands
here unanswered and is reset when the cut ends; in a real one the dial itself would go unanswered. The probes
between sidecars (UDP) do not pass here and are never cut.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

BLOCK = 1 << 16


class Relay:
    """All connections of one field."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()  # pairs of hosts
        self._healed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def front(self, host: str, port: int, behind: int) -> None:
        """Listen for a machine in its place. OSError where the address is taken."""

        async def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            self._open.add(writer)
            try:
                await self._carry(reader, writer, host, behind)
            finally:
                self._open.discard(writer)
                self._tasks.discard(task)
                writer.transport.abort()

        self._servers.append(await asyncio.start_server(came, host, port))

    def cut(self, here: Iterable[str], there: Iterable[str]) -> None:
        """From now on nothing passes between any of these hosts and any of those."""
        others = set(there)
        self._cut |= {frozenset((one, other)) for one in here for other in others if one != other}

    def heal(self) -> None:
        """All cuts are over."""
        self._cut.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _through(self, pair: frozenset[str]) -> bool:
        """Wait until nothing is cut between two; whether something was."""
        was = pair in self._cut
        while pair in self._cut:
            await self._healed.wait()
        return was

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, behind: int
    ) -> None:
        pair = frozenset((writer.get_extra_info("peername")[0], host))
        if await self._through(pair):
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(host, behind)
        except OSError:
            return
        self._open.add(far_writer)
        ways = [
            asyncio.ensure_future(self._pump(pair, reader, far_writer)),
            asyncio.ensure_future(self._pump(pair, far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            self._open.discard(far_writer)
            far_writer.transport.abort()

    async def _pump(
        self, pair: frozenset[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(BLOCK):
                await self._through(pair)
                writer.write(data)
                await writer.drain()
        await self._through(pair)  # an end does not pass a cut either

    async def close(self) -> None:
        """Let go of all sockets."""
        for server in self._servers:
            server.close()
        for writer in list(self._open):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
