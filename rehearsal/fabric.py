"""The lines between daemons of a fleet: every datagram passes through here, and is lost, doubled or late
by plan.

Each process advertises a socket of the fabric in place of its own, so whoever sends to it sends here; who
sent is known by the address that each daemon alone binds. What is drawn comes from the plan's seed.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import cbor2

from rehearsal.plan import Plan
from rehearsal.scenario import Links
from rehearsal.worker import Clock


class Rule(NamedTuple):
    """What befalls datagrams from some daemons to others while it is on."""

    here: frozenset[int]
    there: frozenset[int]
    both: bool
    fault: Links

    def meets(self, sender: int, target: int) -> bool:
        """Whether it is on this way."""
        return (sender in self.here and target in self.there) or (
            self.both and sender in self.there and target in self.here
        )


def rules(plan: Plan) -> dict[int, Rule]:
    """The rules of a plan, by the number of their fault."""
    made, count = {}, len(plan.daemons)
    for number, (key, fault) in enumerate(plan.scenario.fault.items()):
        if not isinstance(fault, Links):
            continue
        draw = random.Random(f"{plan.seed} fabric {key}")
        here = _chosen(plan, fault.members)
        if fault.part is not None:
            here = frozenset(draw.sample(range(count), max(1, round(fault.part * count))))
        there = _chosen(plan, fault.to) if fault.to else frozenset(range(count)) - here
        made[number] = Rule(here, there or here, fault.both, fault)
    return made


def _chosen(plan: Plan, names: tuple[str, ...]) -> frozenset[int]:
    halls = list(plan.halls)
    return frozenset(
        n for n, hall in enumerate(plan.daemons) if not names or f"d{n}" in names or halls[hall] in names
    )


def forged(data: bytes) -> bytes:
    """What somebody without the key makes of a datagram: its sender says that everybody has left. The
    digest is the old one; a datagram has its states at place 11, each with name, status and incarnation in
    front."""
    digest, body = data[:16], cbor2.loads(data[16:])
    body[11] = [[name, 3, incarnation + 1000, *rest] for name, _, incarnation, *rest in body[11]]
    return digest + cbor2.dumps(body)


class _Front(asyncio.DatagramProtocol):
    """One socket that stands for a daemon's own."""

    def __init__(self, came: Callable[[bytes, str], None]) -> None:
        self._came = came
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._came(data, addr[0])


class Fabric:
    """All lines of a play."""

    def __init__(self, plan: Plan, clock: Clock) -> None:
        self._clock = clock
        self._draw = random.Random(f"{plan.seed} fabric")
        self._rules = rules(plan)
        self.on: list[Rule] = []
        self._owner: dict[str, int] = {}  # by the address that a daemon binds
        self._fronts: list[_Front] = []
        self.records: list[list[Any]] = []
        self.counts: Counter[str] = Counter()  # datagrams by what became of them

    async def front(self, daemon: int, real: str) -> str:
        """Open a socket that stands for a process of a daemon; return its address."""
        host, _, port = real.rpartition(":")
        self._owner[host] = daemon
        target = (host, int(port))

        def came(data: bytes, sender: str) -> None:
            self._carry(daemon, made, target, data, sender)

        _, made = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Front(came), local_addr=("127.0.0.1", 0)
        )
        self._fronts.append(made)
        assert made.transport is not None
        at = made.transport.get_extra_info("sockname")
        return f"{at[0]}:{at[1]}"

    def switch(self, number: int, on: bool) -> None:
        """A rule begins or ends."""
        rule = self._rules[number]
        if on and rule not in self.on:
            self.on.append(rule)
        elif not on and rule in self.on:
            self.on.remove(rule)
        self.records.append(["fabric", self._clock(), number, int(on)])

    def _carry(self, target: int, front: _Front, real: tuple[str, int], data: bytes, host: str) -> None:
        sender = self._owner.get(host)
        assert front.transport is not None
        if sender is None:
            self.counts["unknown"] += 1
            return
        delay, copies, draw = 0.0, 1, self._draw.random
        for rule in self.on:
            if not rule.meets(sender, target):
                continue
            fault = rule.fault
            if draw() < fault.lost:
                self.counts["lost"] += 1
                return
            delay += self._draw.uniform(*fault.delay_ms) / 1000
            if fault.reordered and draw() < fault.reordered:
                delay += draw() * 0.5
            if fault.doubled and draw() < fault.doubled:
                copies += 1
            if fault.forged and draw() < fault.forged:
                self.counts["forged"] += 1
                front.transport.sendto(forged(data), real)
        self.counts["carried"] += copies
        for _ in range(copies):
            if delay > 0:
                asyncio.get_running_loop().call_later(delay, front.transport.sendto, data, real)
            else:
                front.transport.sendto(data, real)

    def close(self) -> None:
        """Let go of all sockets."""
        for front in self._fronts:
            if front.transport is not None:
                front.transport.close()
