"""Clients on the machines of the sidecars. They try again only as a client of the protocol may."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from rehearsal.mesh import wire
from rehearsal.mesh.field import Machine
from rehearsal.mesh.judge import PROMISES, History, Try
from rehearsal.mesh.key_ranges import LAST_KEY, KeyRange
from rehearsal.mesh.operator import HOST, PATHS
from rehearsal.mesh.server import summary

DEADLINE_S = 1.5
MISSED_S = 1.0  # beyond the deadline: then no answer will come
TRIES = 4
LEAST_S = 0.05  # with less time left nobody tries again
PACE_S = 0.02
KINDS = ("pure", "effectful", "idempotent", "idempotent")
CLOSED = frozenset({400, 401, 404, 413, 431})
BUSY, BUSY_KEYS = 0.3, KeyRange(20_000, 20_015)  # this part of the requests is for these shard keys
OLD, TWICE = 0.3, 0.1  # parts of the keyed calls that repeat an old one, or go out from two machines at once


@dataclass(frozen=True, slots=True)
class Operation:
    """What a client wants done; each of its tries has an id of its own."""

    kind: str
    method: str
    target: str
    body: bytes
    key: str = ""
    shard_key: int | None = None  # where its service is divided by key


def draw_shard_key(draw: random.Random) -> int:
    """A key as clients use them: many requests are about a few that sit close together."""
    if draw.random() < BUSY:
        return BUSY_KEYS.first + draw.randrange(BUSY_KEYS.last - BUSY_KEYS.first + 1)
    return draw.randrange(LAST_KEY + 1)


class Caller:
    """One client at a machine. `keyed` holds the keyed operations of all of them, for repeats."""

    def __init__(
        self,
        machine: Machine,
        others: list[Machine],
        history: History,
        draw: random.Random,
        keyed: list[Operation],
    ) -> None:
        self.machine, self._others, self._history, self._draw = machine, others, history, draw
        self._keyed = keyed
        self._line: wire.Line | None = None
        self.stopping = self.asking = False

    async def run(self) -> None:
        """One operation after the other, while clients are sent here."""
        while not self.stopping:
            if self.machine.in_use:
                await self._one()
            await asyncio.sleep(self._draw.expovariate(1 / PACE_S))
        if self._line is not None:
            self._line.close()

    def _made(self) -> Operation:
        draw = self._draw
        kind = draw.choice(KINDS)
        name = f"{draw.getrandbits(40):010x}"
        body = b"" if kind == "pure" else draw.randbytes(draw.choice((10, 500, 8000)))
        key = f"k-{name}" if kind == "idempotent" else ""
        method = "GET" if kind == "pure" else "POST"
        prefix, service = PATHS[kind]
        target = f"{prefix}{name}?n={draw.randrange(9)}"
        shard_key = draw_shard_key(draw) if service in self.machine.sharding.services else None
        made = Operation(kind, method, target, body, key, shard_key)
        if key:
            self._keyed.append(made)
        return made

    async def _one(self) -> None:
        draw = self._draw
        if self._keyed and draw.random() < OLD:
            await self.insist(draw.choice(self._keyed))
            return
        made = self._made()
        if made.key and draw.random() < TWICE:
            other = draw.choice(self._others)
            if other.in_use:
                await asyncio.gather(self.insist(made), self._fresh(other, made, DEADLINE_S))
                return
        await self.insist(made)

    async def insist(self, made: Operation) -> Try | None:
        """Try until it is done, the time is up or nothing more may be tried; the last try."""
        until = time.monotonic() + DEADLINE_S
        last: Try | None = None
        for number in range(TRIES):
            left = until - time.monotonic()
            if left < LEAST_S or (number and not self.machine.in_use):
                break
            last, after = await (self._fresh(self.machine, made, left) if number else self._kept(made, left))
            if not self._again(last):
                break
            left = until - time.monotonic()
            await asyncio.sleep(max(0.0, min(after or 0.03, left / 3)))
        return last

    @staticmethod
    def _again(one: Try) -> bool:
        if one.good or (one.how == "answered" and one.status in CLOSED):
            return False
        if one.kind != "effectful" or one.how == "unconnected":
            return True
        return one.how == "answered" and one.status in PROMISES

    async def _kept(self, made: Operation, left_s: float) -> tuple[Try, float]:
        """A try on the kept connection, or on a new one that is then kept."""
        line, self._line = self._line, None
        if line is not None and not line.open_ended:
            line.close()
            line = None
        one, after, self._line = await self._try(self.machine, made, left_s, line)
        return one, after

    async def _fresh(self, machine: Machine, made: Operation, left_s: float) -> tuple[Try, float]:
        one, after, line = await self._try(machine, made, left_s, None)
        if line is not None:
            line.close()
        return one, after

    async def _try(
        self, machine: Machine, made: Operation, left_s: float, line: wire.Line | None
    ) -> tuple[Try, float, wire.Line | None]:
        """One try: what became of it, when to come again, and the connection where it can be kept."""
        one = Try(
            f"{self._draw.getrandbits(64):016x}",
            made.kind,
            machine.name,
            machine.service,
            summary(made.method, made.target, made.body),
            made.key,
            time.monotonic(),
            how="unconnected",
        )
        headers = {
            "Host": HOST,
            "X-Attempt-Id": one.attempt,
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "X-Caller-Service": "nobody",
            "Accept-Encoding": "identity",
        }
        if made.key:
            headers["X-Operation-Key"] = made.key
        if made.shard_key is not None:
            headers["X-Shard-Key"] = str(made.shard_key)
        raw = wire.request(made.method, made.target, headers, made.body, self._draw.random() < 0.2)
        after = 0.0
        try:
            line = line or await wire.Line.open(machine.at("outbound"))
            one.sent, one.how, self.asking = time.monotonic(), "silent", True
            async with asyncio.timeout(left_s + MISSED_S):
                answer = await line.ask(raw)
            one.how, one.status, one.body = "answered", answer.status, answer.body
            one.echo, one.seal = answer.header("x-attempt-id"), answer.header("x-server-seal")
            after = float(answer.header("retry-after") or 0)
        except TimeoutError:
            pass
        except (wire.Broken, OSError):
            one.how = "cut" if one.how == "silent" else one.how
        one.ended, self.asking = time.monotonic(), False
        self._history.tries.append(one)
        if line is not None and (one.how != "answered" or not line.open_ended):
            line.close()
            line = None
        return one, after, line
