"""Who of the fleet lives: SWIM with suspicion and Lifeguard's local health, as a state machine. No I/O.

Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002), for probes, indirect asking, suspicion and incarnations;
Dadgar, Phillips, Currey, "Lifeguard" (2017), for local health, negative answers and suspicion that
shortens with independent confirmations. `docs/design/0010-fleet.md` tells where this departs from them,
and what a lost, late, doubled, forged or old message does.

Times are seconds of the caller's monotonic clock, which may run at any rate and stand still; no wall clock is
trusted. Events go in by `start`, `tick`, `receive`; what is to be sent and told comes out by `sends` and
`events`, which the caller empties.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from hollyport.fleet.view import Universe
from hollyport.fleet.wire import HEIR, MORE, Datagram, Kind, State, Status, Window


@dataclass(frozen=True, slots=True)
class Rules:
    """How a member behaves; times in seconds."""

    period: float = 0.25  # from probe to probe, and how long one may take
    timeout: float = 0.1  # until a second try, and the help of others
    indirect: int = 3  # members asked to help
    suspicion_min: float = 0.8  # how long a suspect has to refute once enough others confirm
    suspicion_max: float = 4.0  # and where nobody does
    confirmations: int = 3
    again: int = 8  # members that ask a suspect again each period, over the whole fleet
    health_most: int = 8
    stall: float = 0.6  # a member that runs so much later than it wanted to was itself stalled
    sober: float = 1.0  # for so long it says nothing bad of others then
    quiet: float = 2.0  # without any answer for so long, a member holds itself for cut off
    ask: float = 0.5  # how often one that is dead or unknown is asked
    eager: float = 0.1  # the same, until the first answer
    eager_for: float = 2.0
    gossip: float = 0.1  # extra datagrams while there is news: at most `fanout` each
    fanout: int = 2
    retransmit: int = 4  # times log2 of the fleet's size
    replies: float = 200.0  # answers a second at the most
    upgrade: float = 120.0  # for so long the process that an heir replaces is no mistake
    twins: float = 10.0  # for so long a name is not believed after two processes were last seen under it
    refute: float = 0.1  # at least so long between two new incarnations of one's own
    view: int = 256  # members kept in view

    @classmethod
    def of(cls, period: float, view: int = 256) -> Rules:
        """All times in proportion to the period, but for the least that a busy machine stalls by itself."""
        plain = cls()
        times = ("timeout", "suspicion_min", "suspicion_max", "sober", "quiet", "ask", "eager", "eager_for")
        scale = period / plain.period
        scaled = {name: getattr(plain, name) * scale for name in (*times, "gossip", "refute")}
        return cls(period=period, stall=plain.stall * max(1.0, scale), view=view, **scaled)


class Send(NamedTuple):
    """A datagram to be filled up and sent. `first` are states that have to be in it."""

    address: str
    kind: Kind
    seq: int
    target: str = ""
    flags: int = 0
    first: tuple[State, ...] = ()
    asker: str = ""  # whoever knows few: states of its view are wanted


class Told(NamedTuple):
    """Something that staff may want to know: an event of `events.EVENTS` with its fields."""

    name: str
    fields: dict[str, Any]


class Peer:
    """What is held of one other member: 1.3 kB with all that belongs to it, measured over 20,000 members."""

    __slots__ = (
        "name",
        "status",
        "incarnation",
        "process",
        "address",
        "heir",
        "since",
        "proof",
        "window",
        "former",
        "replaced",
        "twins",
        "suspicion",
        "late",
        "checked",
        "first",
    )

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.status: Status | None = None  # None: nothing is known
        self.incarnation = self.process = 0
        self.first = 0  # the lowest incarnation that is known of the process
        self.heir = False
        self.since = -math.inf  # of the status
        self.proof = -math.inf  # when an answer came from it to a question of mine
        self.window: Window | None = None  # of datagrams that came from it itself
        self.former = 0  # the process that the present one has replaced
        self.replaced = -math.inf
        self.twins = -math.inf  # until then two processes are at work under its name
        self.suspicion: Suspicion | None = None
        self.late = 0  # fresh signs of life of the former process, well after it was replaced
        self.checked = -math.inf  # when the former process was last asked for one

    def state(self, by: str = "") -> State:
        assert self.status is not None
        suspicion = self.suspicion
        said = by or (suspicion.said if suspicion is not None else "")
        return State(
            self.name, int(self.status), self.incarnation, self.process, self.address, said, self.heir
        )


class Suspicion:
    """How long a suspect has left. Lifeguard: from the longest time down to the shortest, by the logarithm of
    the independent confirmations."""

    __slots__ = ("began", "by", "said")

    def __init__(self, now: float, by: str) -> None:
        self.began, self.by, self.said = now, {by}, by

    def ends(self, rules: Rules, known: int) -> float:
        want = max(1, min(rules.confirmations, known - 2))
        part = min(1.0, math.log(len(self.by)) / math.log(want + 1))
        return self.began + rules.suspicion_max - (rules.suspicion_max - rules.suspicion_min) * part


class Probe:
    """A question on its way."""

    __slots__ = ("name", "sent", "second", "ends", "asked", "nacks", "failed", "counts")

    def __init__(self, name: str, now: float, second: float, ends: float, counts: bool) -> None:
        self.name, self.sent, self.second, self.ends = name, now, second, ends
        self.asked = self.nacks = 0
        self.failed = False
        self.counts = counts  # its failure is evidence; False: only a look whether somebody is back


class Relay(NamedTuple):
    """A question asked on behalf of another."""

    address: str
    seq: int
    name: str
    nack: float
    ends: float


@dataclass(slots=True)
class Own:
    """The member itself."""

    name: str
    process: int
    incarnation: int
    address: str
    heir: bool = False
    left: bool = False
    retired: float = -math.inf  # until then an heir is held to have taken over
    twins: float = -math.inf  # until then another process is known to use the name
    namesakes: int = 0  # how often one was met of late
    last_namesake: float = -math.inf
    refuted: float = -math.inf


@dataclass(slots=True)
class Membership:
    """The state machine."""

    own: Own
    universe: Universe
    rules: Rules
    draw: random.Random
    peers: dict[str, Peer] = field(default_factory=dict)
    sends: list[Send] = field(default_factory=list)
    events: list[Told] = field(default_factory=list)
    health: int = 0  # Lifeguard's score: 0 is well
    alone: bool = False  # nobody has answered for a while
    _probes: dict[int, Probe] = field(default_factory=dict)
    _relays: dict[int, Relay] = field(default_factory=dict)
    _news: dict[str, list[Any]] = field(default_factory=dict)  # by name: state, times it may still go out
    _order: list[str] = field(default_factory=list)
    _live: list[str] | None = None  # a cache: alive, with an address
    _suspects: dict[str, Peer] = field(default_factory=dict)
    _unknown: int = 0
    _idle: list[str] = field(default_factory=list)  # for the round of old states
    _seq: int = 0
    _last: float = 0.0
    _due: float = 0.0  # when it wanted to run next
    _next_probe: float = 0.0
    _next_ask: float = 0.0
    _next_gossip: float = 0.0
    _began: float = 0.0
    _heard: float = -math.inf  # the last answer of anybody
    _asked: int = 0  # questions since
    _sober: float = -math.inf
    _looked: float = -math.inf
    _replies: float = 0.0
    _replied: float = 0.0

    # --- life

    def start(self, now: float) -> None:
        """Begin; nothing is known but names and some addresses."""
        self._seq = self.draw.getrandbits(31)
        self._last = self._due = self._began = self._heard = self._replied = now
        self._replies = self.rules.replies
        self._next_probe = now + self.rules.period * self.draw.random()
        self._next_ask = now + self.rules.eager * self.draw.random()
        self._next_gossip = now + self.rules.gossip
        self.take(self.universe)

    def take(self, universe: Universe) -> None:
        """Hold to another universe of names: those that it doesn't have are forgotten."""
        self.universe = universe
        seen = universe.view(self.own.name, self.rules.view)
        for name in [name for name in self.peers if name not in seen]:
            self._forget(name)
        for name in sorted(seen):
            peer = self.peers.setdefault(name, Peer(name, ""))
            if peer.status not in (Status.ALIVE, Status.SUSPECT):  # whoever lives has told where it is
                peer.address = universe.address.get(name, peer.address)
        self._unknown = sum(peer.status is None for peer in self.peers.values())
        self._order.clear()
        self._live = None

    def _forget(self, name: str) -> None:
        del self.peers[name]
        self._live = None
        self._suspects.pop(name, None)
        self._news.pop(name, None)
        for seq in [seq for seq, probe in self._probes.items() if probe.name == name]:
            del self._probes[seq]

    def leave(self, now: float, said: bool = True) -> None:
        """Say that this member goes. What it says goes out at once, to several. Without a word where an
        heir goes on under the name: others may hear of the leaving before they hear of the heir."""
        self._pass(now)
        own = self.own
        if own.left:
            return
        own.left = True
        if not said or now < own.retired:
            return
        last = self.state()
        for name in self._some(4 * self.rules.fanout):
            self._send(self.peers[name], Kind.TELL, 0, first=(last,))

    def state(self) -> State:
        """What this member says of itself."""
        own = self.own
        status = Status.LEFT if own.left else Status.ALIVE
        return State(own.name, status, own.incarnation, own.process, own.address, "", own.heir)

    def due(self) -> float:
        """When `tick` is wanted next."""
        if self.own.left:
            return math.inf
        self._due = self._next()
        return self._due

    def _next(self) -> float:
        # Nobody is to be asked whether it is back while all are there.
        ask = self._next_ask if len(self._alive()) < len(self.peers) else math.inf
        gossip = self._next_gossip if self._news else math.inf
        return min(self._next_probe, ask, gossip, self._first_end())

    def _first_end(self) -> float:
        first = math.inf
        for probe in self._probes.values():
            if not probe.failed:
                first = min(first, probe.second if not probe.asked and probe.counts else probe.ends)
        for relay in self._relays.values():
            first = min(first, relay.nack)
        return first

    # --- time

    def _pass(self, now: float) -> None:
        """Time has gone on. If this member was not run when it wanted to, what it holds is not evidence."""
        gap, self._last = now - max(self._last, self._due), now
        if gap <= self.rules.stall:
            return
        self.events.append(Told("stalled", {"seconds": round(gap, 3)}))
        self._sober = now + self.rules.sober
        self.health = min(self.rules.health_most, self.health + 3)
        self._heard, self._asked = now, 0
        self._doubt_anew(now)
        self._probes.clear()
        self._relays.clear()
        # Whoever was taken for dead hears of it by asking: not one by one, as others wait for its answers.
        self._next_probe = now + self.rules.period * self.draw.random()
        self._next_ask = now

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._pass(now)
        if self.own.left:
            return
        self._end_probes(now)
        self._end_relays(now)
        if now >= self._next_probe:
            self._next_probe = now + self.rules.period * (1 + self.health) * self._pace(now)
            self._round(now)
        if now >= self._next_ask:
            eager = self._heard <= self._began and now - self._began < self.rules.eager_for
            step = self.rules.eager if eager else self.rules.ask
            self._next_ask = now + step * (0.5 + self.draw.random()) * self._pace(now)
            self._ask_gone(now)
        self._end_suspicions(now)
        self._look_alone(now)
        if now >= self._next_gossip:
            self._next_gossip = now + self.rules.gossip
            if self._news and now >= self.own.retired:
                for name in self._some(self.rules.fanout):
                    self._send(self.peers[name], Kind.TELL, 0)

    def _pace(self, now: float) -> float:
        """A process that its heir replaces still looks whether the heir lives, and takes little part."""
        return 4.0 if now < self.own.retired else 1.0

    def _round(self, now: float) -> None:
        name = self._next_target()
        if name is not None:
            self._ask(now, self.peers[name], True)
        suspects = [p for p in self._suspects.values() if p.name != name and p.address]
        # Each suspect is asked again by a few of those who hold it so, however many they are.
        if suspects and self.draw.random() * max(1, len(self._alive())) < self.rules.again:
            self._ask(now, self.draw.choice(suspects), True)

    def _next_target(self) -> str | None:
        """Round robin in a random order, drawn anew each time: SWIM's bound for the time to detect."""
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                peer = self.peers.get(name)
                if peer is not None and peer.address and peer.status in (Status.ALIVE, Status.SUSPECT):
                    return name
            self._order = [n for n, p in self.peers.items() if p.status in (Status.ALIVE, Status.SUSPECT)]
            self.draw.shuffle(self._order)
        return None

    def _ask_gone(self, now: float) -> None:
        """Whether one that is dead or unknown is there: so a cut heals, and a fleet finds itself at the
        start."""
        if len(self._alive()) == len(self.peers):
            return
        gone = [p for p in self.peers.values() if p.status in (None, Status.DEAD) and p.address]
        if not gone:
            gone = [p for p in self.peers.values() if p.status is Status.LEFT and p.address]
        if gone:
            self._ask(now, self.draw.choice(gone), False)

    def _ask(self, now: float, peer: Peer, counts: bool) -> None:
        self._seq = (self._seq + 1) & 0x7FFFFFFF
        scale = 1 + self.health
        self._probes[self._seq] = Probe(
            peer.name, now, now + self.rules.timeout * scale, now + self.rules.period * scale, counts
        )
        self._asked += 1
        # Whoever is held for suspect or worse is told so first of all: it alone can refute.
        first = (peer.state(),) if peer.status not in (None, Status.ALIVE) else ()
        self._send(peer, Kind.PING, self._seq, first=first)

    def _end_probes(self, now: float) -> None:
        for seq, probe in list(self._probes.items()):
            peer = self.peers.get(probe.name)
            if probe.failed:
                if now >= probe.ends + 8 * self.rules.period:  # a late answer would still be proof
                    del self._probes[seq]
            elif now >= probe.ends:
                probe.failed = True
                if probe.counts and peer is not None:
                    self._failed(now, probe, peer)
            elif now >= probe.second and not probe.asked and probe.counts and peer is not None:
                helpers = [n for n in self._some(self.rules.indirect + 1) if n != probe.name]
                helpers = helpers[: self.rules.indirect]
                probe.asked = len(helpers) or -1
                self._send(peer, Kind.PING, seq)
                for name in helpers:
                    self._send(self.peers[name], Kind.ASK, seq, probe.name)

    def _failed(self, now: float, probe: Probe, peer: Peer) -> None:
        if probe.asked > probe.nacks:
            self._feel(1)  # helpers said nothing at all: it may be me
        if now < self._sober or self.alone:
            return
        if peer.status is Status.ALIVE or peer.suspicion is not None:
            self._suspect(now, peer, peer.incarnation, self.own.name)

    def _end_relays(self, now: float) -> None:
        for seq, relay in list(self._relays.items()):
            if now >= relay.ends:
                del self._relays[seq]
            elif now >= relay.nack:
                self.sends.append(Send(relay.address, Kind.NACK, relay.seq, relay.name))
                self._relays[seq] = relay._replace(nack=math.inf)

    def _end_suspicions(self, now: float) -> None:
        if now < self._sober or self.alone:
            return
        known = len(self._alive()) + len(self._suspects) + 1
        for peer in list(self._suspects.values()):
            suspicion = peer.suspicion
            if suspicion is None or now < suspicion.ends(self.rules, known):
                continue
            if peer.proof >= suspicion.began:
                # It has answered me since: I can't bury it. Others may; then it hears of it and refutes.
                peer.suspicion = Suspicion(now, suspicion.said)
                continue
            self._set(now, peer, Status.DEAD, peer.incarnation, peer.process, peer.address, peer.heir)

    def _look_alone(self, now: float) -> None:
        gone = now - self._heard > self.rules.quiet and self._asked >= 6
        if gone != self.alone and (gone or self._heard > self._began):
            self.alone = gone
            self.events.append(Told("alone" if gone else "together", {}))
            if not gone:
                self._doubt_anew(now)

    def _doubt_anew(self, now: float) -> None:
        """Each suspect has the whole time once more: what this member held meanwhile was its own fault."""
        for peer in self._suspects.values():
            assert peer.suspicion is not None
            peer.suspicion = Suspicion(now, peer.suspicion.said)

    def _feel(self, step: int) -> None:
        self.health = max(0, min(self.rules.health_most, self.health + step))

    # --- what comes

    def receive(self, now: float, said: Datagram) -> str:
        """Take in a message that verified; the cause where it is dropped, else an empty text."""
        self._pass(now)
        own = self.own
        if said.sender == own.name:
            if said.process == own.process:
                return "echo"
            self._namesake(now, said.process, said.incarnation, bool(said.flags & HEIR))
            return ""
        peer = self.peers.get(said.sender)
        if peer is None:
            if said.sender not in self.universe.hall:
                return "stranger"
            # Somebody out of view: it gets answers, and its word on others is not needed.
            return "" if self._answer(now, said, said.address, None) else "flood"
        if said.process == peer.process or peer.window is None:
            peer.window = peer.window or Window()
            why = peer.window.take(said.number)
            if why:
                return why
        current = self._sender(now, peer, said)
        if own.left:
            return ""
        if self.alone and said.kind != Kind.ACK and peer.address and now - self._looked > self.rules.timeout:
            self._looked = now  # I hear somebody: whether the way there is open, too, shows at once
            self._ask(now, peer, False)
        if current and peer.status is Status.ALIVE and now >= peer.twins:
            # Whoever is held for dead, suspect or double has no say about others.
            for state in said.states:
                self.hear(now, state, said.sender)
        else:
            for state in said.states:
                if state.name == own.name:
                    self.hear(now, state, said.sender)
        well = peer.status is None or (current and peer.status is Status.ALIVE)
        notice = None if well else peer.state()
        if said.kind in (Kind.ACK, Kind.NACK):
            self._answered(now, said, peer, current)
        elif not self._answer(now, said, said.address or peer.address, notice):
            return "flood"
        return ""

    def _sender(self, now: float, peer: Peer, said: Datagram) -> bool:
        """What its own datagram tells of a member; whether it is the process that the name stands for."""
        heir = bool(said.flags & HEIR)
        if peer.status is None or said.incarnation > peer.incarnation:
            self._set(now, peer, Status.ALIVE, said.incarnation, said.process, said.address, heir)
            assert peer.window is not None
            peer.window.take(said.number)
            return True
        if said.process == peer.process:
            if said.incarnation == peer.incarnation and said.address and peer.status is Status.ALIVE:
                peer.address = said.address
            return said.incarnation == peer.incarnation
        if said.process == peer.former and said.address and now - peer.checked > 1.0:
            # It may be a replay: whether that process lives shows by its answer to a question of now.
            peer.checked = now
            self._seq = (self._seq + 1) & 0x7FFFFFFF
            self._probes[self._seq] = Probe(peer.name, now, now, now + self.rules.period, False)
            self.sends.append(Send(said.address, Kind.PING, self._seq, first=(peer.state(),)))
        return False

    def _late(self, now: float, peer: Peer) -> None:
        """A process that was replaced shows that it lives: an upgrade, or a mistake."""
        since = now - peer.replaced
        if since < 0.3 or (peer.heir and since < self.rules.upgrade):
            return
        peer.late = peer.late + 1 if since < self.rules.twins else 1
        if peer.late < 2:
            return
        if now >= peer.twins:
            self.events.append(Told("twins", {"member": peer.name}))
        peer.twins = now + self.rules.twins

    def _answer(self, now: float, said: Datagram, address: str, notice: State | None) -> bool:
        """Answer a question; False where there are too many of them to answer."""
        if said.kind not in (Kind.PING, Kind.ASK):
            if notice is not None and address and self._may_reply(now):
                self.sends.append(Send(address, Kind.TELL, 0, first=(notice,)))
            return True
        if not self._may_reply(now):
            return False
        if not address:
            return True
        first = (notice,) if notice is not None else ()
        asker = said.sender if said.flags & MORE else ""
        if said.kind == Kind.PING:
            self.sends.append(Send(address, Kind.ACK, said.seq, self.own.name, first=first, asker=asker))
            return True
        if said.target == self.own.name:
            self.sends.append(Send(address, Kind.ACK, said.seq, self.own.name, first=first))
            return True
        peer = self.peers.get(said.target)
        if peer is None or not peer.address or len(self._relays) >= 256:
            self.sends.append(Send(address, Kind.NACK, said.seq, said.target, first=first))
            return True
        self._seq = (self._seq + 1) & 0x7FFFFFFF
        self._relays[self._seq] = Relay(
            address, said.seq, said.target, now + self.rules.timeout, now + 8 * self.rules.period
        )
        told = (peer.state(),) if peer.status not in (None, Status.ALIVE) else ()
        self._send(peer, Kind.PING, self._seq, first=told)
        return True

    def _may_reply(self, now: float) -> bool:
        rate = self.rules.replies
        self._replies = min(rate, self._replies + (now - self._replied) * rate)
        self._replied = now
        if self._replies < 1:
            return False
        self._replies -= 1
        return True

    def _answered(self, now: float, said: Datagram, peer: Peer, current: bool) -> None:
        if current:
            self._heard, self._asked = now, 0
        relay = self._relays.get(said.seq)
        if relay is not None and relay.name == said.sender:
            if said.kind == Kind.ACK and current:
                del self._relays[said.seq]
                self.sends.append(Send(relay.address, Kind.ACK, relay.seq, relay.name, first=(peer.state(),)))
            return
        probe = self._probes.get(said.seq)
        if probe is None or said.target != probe.name:
            return
        if said.kind == Kind.NACK:
            probe.nacks += 1
            return
        if said.sender == probe.name and not current:
            if said.process == peer.former:
                self._late(now, peer)
            return  # it has to take a new incarnation first
        asked = self.peers.get(probe.name)
        if asked is None:
            return
        asked.proof = max(asked.proof, probe.sent)  # it lived after it was asked, not only now
        if not probe.failed:
            self._feel(-1)
        del self._probes[said.seq]

    # --- what is told of others

    def hear(self, now: float, state: State, sender: str) -> None:
        """Somebody tells what it holds of a member."""
        if state.name == self.own.name:
            self._of_me(now, state)
            return
        peer = self.peers.get(state.name)
        if peer is None:
            return
        status = Status(state.status)
        if peer.status is None or state.incarnation > peer.incarnation:
            if status is Status.SUSPECT:
                self._set(
                    now, peer, Status.ALIVE, state.incarnation, state.process, state.address, state.heir
                )
                self._hear_suspect(now, peer, state, sender)
            elif status is Status.DEAD and peer.status is Status.ALIVE:
                self._set(
                    now, peer, Status.ALIVE, state.incarnation, state.process, state.address, state.heir
                )
                self._hear_dead(now, peer, sender)
            else:
                self._set(now, peer, status, state.incarnation, state.process, state.address, state.heir)
            return
        if state.incarnation < peer.incarnation or state.process != peer.process:
            return
        if status is Status.SUSPECT:
            self._hear_suspect(now, peer, state, sender)
        elif status is Status.DEAD:
            self._hear_dead(now, peer, sender)
        elif status is Status.LEFT and peer.status is not Status.LEFT:
            self._set(now, peer, Status.LEFT, peer.incarnation, peer.process, peer.address, peer.heir)

    def _hear_suspect(self, now: float, peer: Peer, state: State, sender: str) -> None:
        by = self.peers.get(state.by or sender)
        if by is None or by is peer or by.status is not Status.ALIVE:
            return  # the word of one that is itself doubted, or not known
        self._suspect(now, peer, state.incarnation, by.name)

    def _hear_dead(self, now: float, peer: Peer, sender: str) -> None:
        """A death by hearsay needs a suspicion of my own first: it may come from behind a cut that has
        healed."""
        if peer.status is Status.ALIVE:
            self._suspect(now, peer, peer.incarnation, sender)
            if peer.suspicion is not None:
                peer.suspicion.by.update(f"dead {i}" for i in range(self.rules.confirmations))
        elif (
            peer.suspicion is not None and peer.proof < peer.suspicion.began <= now - self.rules.suspicion_min
        ):
            self._set(now, peer, Status.DEAD, peer.incarnation, peer.process, peer.address, peer.heir)

    def _suspect(self, now: float, peer: Peer, incarnation: int, by: str) -> None:
        if incarnation != peer.incarnation or peer.status not in (Status.ALIVE, Status.SUSPECT):
            return
        if peer.suspicion is None:
            peer.status, peer.since, peer.suspicion = Status.SUSPECT, now, Suspicion(now, by)
            self._suspects[peer.name], self._live = peer, None
            self.events.append(Told("suspect", {"member": peer.name, "by": by, "incarnation": incarnation}))
            self._spread(peer.name, peer.state())
        elif by not in peer.suspicion.by and len(peer.suspicion.by) <= self.rules.confirmations:
            peer.suspicion.by.add(by)
            self._spread(peer.name, peer.state(by))  # independent confirmations travel on, too

    def _of_me(self, now: float, state: State) -> None:
        """Somebody tells of me. What is wrong is refuted by a new incarnation, but not one a message."""
        own = self.own
        if state.process != own.process:
            self._namesake(now, state.process, state.incarnation, state.heir, state.status)
            return
        if own.left or state.status == Status.ALIVE or state.incarnation < own.incarnation:
            return
        if now - own.refuted < self.rules.refute:
            return
        own.refuted = now
        own.incarnation = state.incarnation + 1
        self._feel(1)
        self.events.append(
            Told("refuted", {"held": Status(state.status).name.lower(), "incarnation": own.incarnation})
        )
        self._spread(own.name, self.state())

    def _namesake(
        self, now: float, process: int, incarnation: int, heir: bool, status: int = Status.ALIVE
    ) -> None:
        """Another process has my name: the one before me, one that takes over from me, or a mistake."""
        own = self.own
        if own.left or incarnation < own.incarnation:
            return
        if heir and not own.heir and status in (Status.ALIVE, Status.SUSPECT):
            if now >= own.retired:
                self.events.append(Told("retired", {"heir": process}))
            own.retired = now + 8 * self.rules.period * 4
            return
        if now - own.refuted < max(0.5, self.rules.refute):
            return
        own.refuted = now
        own.incarnation = incarnation + 1
        # Once is what a restart finds; again and again is somebody who lives.
        own.namesakes = own.namesakes + 1 if now < own.last_namesake + self.rules.twins else 1
        own.last_namesake = now
        if own.namesakes >= 4 and status == Status.ALIVE:
            if now >= own.twins:
                self.events.append(Told("name_in_use", {"process": process}))
            own.twins = now + self.rules.twins
        own.retired = -math.inf
        self._spread(own.name, self.state())

    def _set(
        self, now: float, peer: Peer, status: Status, incarnation: int, process: int, address: str, heir: bool
    ) -> None:
        """Hold something new of a member, and pass it on."""
        before = peer.status
        if process != peer.process:
            if process == peer.former and status is Status.ALIVE:
                self._late(now, peer)  # no replay: nobody could have seen this incarnation before
            if before is not None:
                peer.former, peer.replaced = peer.process, now
                if before in (Status.ALIVE, Status.SUSPECT) and now >= peer.twins:
                    self.events.append(Told("restarted", {"member": peer.name, "incarnation": incarnation}))
            peer.process, peer.window, peer.first = process, Window(), incarnation
        peer.window = peer.window or Window()
        peer.incarnation, peer.heir = incarnation, heir
        if address:
            peer.address = address
        peer.suspicion = None
        self._suspects.pop(peer.name, None)
        self._live = None
        if before is None:
            self._unknown -= 1
        if status is not before:
            peer.status, peer.since = status, now
            self.events.append(Told(status.name.lower(), {"member": peer.name, "incarnation": incarnation}))
        self._spread(peer.name, peer.state())

    # --- what goes out

    def _spread(self, name: str, state: State) -> None:
        if not self._news:
            self._next_gossip = min(self._next_gossip, self._last + self.rules.gossip * self.draw.random())
        times = self.rules.retransmit * max(1, math.ceil(math.log2(len(self.peers) + 2)))
        self._news[name] = [state, times]

    def news(self) -> Iterator[State]:
        """What is new, the least told first; a state that is taken counts as told once."""
        for name, entry in sorted(self._news.items(), key=lambda item: -item[1][1]):
            yield entry[0]
            entry[1] -= 1
            if entry[1] <= 0:
                del self._news[name]

    def olds(self, asker: str = "") -> Iterator[State]:
        """What is held of all, in turn: so that what a rumour has missed is mended at a steady cost. With an
        asker, of its view only."""
        if asker:
            wanted = self.universe.view(asker, self.rules.view)
            known = [p for n, p in self.peers.items() if n in wanted and p.status is not None]
            self.draw.shuffle(known)
            yield from (peer.state() for peer in known)
            return
        for _ in range(len(self.peers)):
            if not self._idle:
                self._idle = list(self.peers)
                self.draw.shuffle(self._idle)
            peer = self.peers.get(self._idle.pop())
            if peer is not None and peer.status not in (None, Status.SUSPECT):
                yield peer.state()

    def _send(
        self, peer: Peer, kind: Kind, seq: int, target: str = "", first: tuple[State, ...] = ()
    ) -> None:
        if not peer.address:
            return
        flags = MORE if kind is Kind.PING and self._unknown * 2 > len(self.peers) else 0
        self.sends.append(Send(peer.address, kind, seq, target, flags, first))

    def _some(self, count: int) -> list[str]:
        """Random members that are held for alive."""
        live = self._alive()
        return list(live) if len(live) <= count else self.draw.sample(live, count)

    def _alive(self) -> list[str]:
        if self._live is None:
            self._live = [n for n, p in self.peers.items() if p.status is Status.ALIVE and p.address]
        return self._live

    # --- what is known

    def live(self) -> list[str]:
        """Members in view that are held for alive, and are believed."""
        return [n for n, p in self.peers.items() if p.status is Status.ALIVE and p.twins < self._last]
