"""A fleet's members on fake time: the daemon's own state machine, unchanged, over a network that fails by
plan.

Each datagram is encoded, signed and read as on the wire. Simplified: a member's processor time is nought,
so it runs when its time has come or a datagram arrives, unless it is stalled; the socket of a stalled one
holds `QUEUE` datagrams and loses the rest, and on waking its timers run before it reads, as in the daemon's
loop.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from emulator.clock import SECOND, Clock
from emulator.streams import Streams
from hollyport.fleet.member import Member
from hollyport.fleet.membership import Own, Rules, Told
from hollyport.fleet.view import Universe

QUEUE = 256
KEY = b"emulated fleet's key 0123456789ab"
EPOCH = 1_700_000_000_000  # the wall clock at the start, in milliseconds: incarnations count from it
DELAY_S = (0.0003, 0.0009)

Make = Callable[[str, Own, Universe, Rules, random.Random], Member]


class Seen(NamedTuple):
    """Something that a member told, at a time of the world's."""

    t: float
    who: str
    process: int
    event: Told


def plain(name: str, own: Own, universe: Universe, rules: Rules, draw: random.Random) -> Member:
    """The member as it is in service."""
    return Member("emulated", own, universe, (KEY,), rules, draw)


def universe(size: int, halls: int = 4, known: int = 0) -> Universe:
    """So many names in halls, with addresses; `known`: addresses of the first so many alone (0: of all)."""
    made: dict[str, list[tuple[str, str]]] = {f"hall-{h}": [] for h in range(min(halls, size))}
    for number in range(size):
        name = f"m{number}"
        made[f"hall-{number % len(made)}"].append((name, f"{name}:1" if not known or number < known else ""))
    return Universe(made)


class Process:
    """One process of one name, alive from its making until it is killed."""

    def __init__(self, world: World, name: str, address: str, wall_ms: int, heir: bool) -> None:
        self.world, self.name, self.address = world, name, address
        world.made += 1
        draw = world.streams.of("member", name, world.made)
        own = Own(name, draw.getrandbits(62) | 1, wall_ms, address, heir)
        self.member = world.make(name, own, world.universe, world.rules, draw)
        self.rate, self.offset = world.rates.get(name, 1.0), draw.random() * 1000
        self.alive, self.stalled = True, False
        self.queue: deque[bytes] = deque(maxlen=QUEUE)
        self._tick_at = math.inf

    def now(self) -> float:
        """Its own clock."""
        return self.offset + self.world.now * self.rate

    def after(self) -> None:
        """Send what is to be sent, note what was told, and be there when the next thing is due."""
        member, world = self.member, self.world
        if member.events:
            events, member.events = member.events, []
            for event in events:
                world.seen.append(Seen(world.now, self.name, member.own.process, event))
        if member.out:
            out, member.out = member.out, []
            for address, data in out:
                world.carry(self, address, data)
        at = world.now + max(0.0, (member.due() - self.now()) / self.rate)
        if at < self._tick_at - 1e-9:
            self._tick_at = at
            world.clock.at(max(world.clock.now, int(at * SECOND) + 1), lambda: self._tick(at))

    def _tick(self, at: float) -> None:
        if at != self._tick_at or not self.alive:
            return
        self._tick_at = math.inf
        if self.stalled:
            return  # it runs when it wakes
        self.member.tick(self.now())
        self.after()

    def receive(self, data: bytes) -> None:
        if not self.alive:
            return
        if self.stalled:
            if len(self.queue) < QUEUE:
                self.queue.append(data)
            return
        self.member.handle(self.now(), data)
        self.after()

    def stall(self) -> None:
        """Run no more, as under SIGSTOP."""
        self.stalled = True

    def wake(self) -> None:
        """Run again."""
        if not self.alive or not self.stalled:
            return
        self.stalled = False
        self.member.tick(self.now())
        self.after()
        while self.queue:
            self.member.handle(self.now(), self.queue.popleft())
        self.after()


class World:
    """Processes, the network between them, and what they told."""

    def __init__(
        self,
        names: Universe,
        seed: int = 1,
        rules: Rules | None = None,
        make: Make = plain,
        rates: Mapping[str, float] | None = None,
    ) -> None:
        self.universe, self.rules, self.make = names, rules or Rules(), make
        self.streams = Streams(seed)
        self.clock = Clock()
        self.rates = rates or {}
        self.loss = 0.0
        self.cut: Callable[[str, str], bool] = lambda here, there: False
        """Whether what the first sends to the second is lost."""
        self.doubled = 0.0
        self.reordered = 0.0  # part that comes up to a second late
        self.seen: list[Seen] = []
        self.stalled: set[str] = set()  # names that stall by plan: what is held of them is no mistake
        self.at: dict[str, Process] = {}  # by address
        self.running: dict[str, Process] = {}  # the latest of each name
        self.carried = self.carried_bytes = self.made = 0
        self._draw = self.streams.of("network")

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.clock.now / SECOND

    def start(self, names: Iterable[str], spread_s: float = 0.0) -> None:
        """Start a process for each name, within so many seconds."""
        draw = self.streams.of("starts")
        for name in names:
            at = self.clock.now + int(draw.random() * spread_s * SECOND)
            self.clock.at(at, lambda name=name: self.begin(name))  # type: ignore[misc]

    def begin(self, name: str, address: str = "", heir: bool = False, set_back_s: float = 0.0) -> Process:
        """Start one; it knows nothing of a process before it."""
        wall = EPOCH + int((self.now - set_back_s) * 1000)
        process = Process(self, name, address or self.universe.address.get(name) or f"{name}:1", wall, heir)
        self.at[process.address] = self.running[name] = process
        process.member.start(process.now())
        process.after()
        return process

    def kill(self, name: str) -> None:
        """End one outright."""
        process = self.running.pop(name)
        process.alive = False
        if self.at.get(process.address) is process:
            del self.at[process.address]

    def leave(self, name: str) -> None:
        """End one in order."""
        process = self.running[name]
        process.member.leave(process.now())
        process.after()
        self.kill(name)

    def carry(self, sender: Process, address: str, data: bytes) -> None:
        """Take a datagram to where it goes, or lose it."""
        self.carried += 1
        self.carried_bytes += len(data)
        target = self.at.get(address)
        draw = self._draw.random
        if target is None or self.cut(sender.name, target.name) or (self.loss and draw() < self.loss):
            return
        low, high = DELAY_S
        for _ in range(2 if self.doubled and draw() < self.doubled else 1):
            delay = low + (high - low) * draw()
            if self.reordered and draw() < self.reordered:
                delay += draw()
            self.clock.after(int(delay * SECOND), lambda: target.receive(data))

    def run(self, seconds: float) -> None:
        """Go on for so long."""
        self.clock.run(self.clock.now + int(seconds * SECOND))

    # --- looking

    def holds(self, name: str, of: str) -> str:
        """What a member holds of another: a status in small letters, or "unknown"."""
        peer = self.running[name].member.membership.peers[of]
        return "unknown" if peer.status is None else peer.status.name.lower()

    def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether each of these that runs holds each other one in its view for alive, and the rest for
        gone."""
        inside = set(self.running if names is None else names)
        for name in inside:
            for other, peer in self.running[name].member.membership.peers.items():
                status = "unknown" if peer.status is None else peer.status.name.lower()
                if (other in inside) != (status == "alive"):
                    return False
        return True

    def until(self, condition: Callable[[], bool], most_s: float, step_s: float = 0.02) -> float:
        """Run until a condition holds; the seconds that it took, or infinity."""
        began = self.now
        while self.now - began < most_s:
            if condition():
                return self.now - began
            self.run(step_s)
        return math.inf
