"""One member of a fleet, whole: membership and facts, bytes in, bytes out. No I/O.

The same class runs in the daemon on a UDP socket and in the emulator on fake time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from hollyport.fleet import wire
from hollyport.fleet.facts import Facts, Held
from hollyport.fleet.membership import Membership, Own, Rules, Send, Told
from hollyport.fleet.view import Universe
from hollyport.fleet.wire import HEIR, Datagram, Refused, Status

HEADER = 40  # bytes of CBOR around the texts of a datagram, at the most
OLDS = 4  # states that are no news in each datagram: what a rumour has missed is mended by them
FACT_NEWS = 3  # times log2 of the fleet's size that a fact goes out as news
REFRESH_S = 0.2


class Out(NamedTuple):
    """Bytes to be sent."""

    address: str
    data: bytes


class Member:
    """Holds one member's state. `handle` and `tick` are called with the time; then `out` and `events` are
    taken."""

    def __init__(
        self,
        fleet: str,
        own: Own,
        universe: Universe,
        keys: Sequence[bytes],
        rules: Rules,
        draw: random.Random,
        most: int = wire.MOST,
        also: Sequence[str] = (),
        facts: int = 1024,
    ) -> None:
        """`most`: bytes of a datagram. `also`: other names of the fleet that are taken in while it is
        renamed. The first key signs, all verify."""
        self.fleet, self.fleets, self.keys, self._most = fleet, (fleet, *also), tuple(keys), most
        self.membership = Membership(own, universe, rules, draw)
        self.facts = Facts(own.name, facts)
        self.refused: dict[str, int] = dict.fromkeys(wire.WHYS, 0)
        self.sent = self.received = self.sent_bytes = self.received_bytes = 0
        self._number = 0
        self._next_refresh = -math.inf
        self.out: list[Out] = []
        self.events: list[Told] = []

    @property
    def own(self) -> Own:
        return self.membership.own

    # --- events in

    def start(self, now: float) -> None:
        """Begin."""
        self.membership.start(now)
        self._next_refresh = now + REFRESH_S
        self._flush(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_S
            self.facts.refresh(now, self.own.incarnation, self._times())
        self.membership.tick(now)
        self._flush(now)

    def due(self) -> float:
        """When `tick` is wanted next."""
        if self.own.left:
            return math.inf
        return min(self._next_refresh if len(self.facts) else math.inf, self.membership.due())

    def handle(self, now: float, data: bytes) -> str:
        """Take in a datagram; the cause where it is dropped, which is counted, too."""
        self.received += 1
        self.received_bytes += len(data)
        try:
            said = wire.decode(data, self.keys, self.fleets)
        except Refused as error:
            self.refused[error.why] += 1
            return error.why
        why = self.membership.receive(now, said)
        if why:
            self.refused[why] += 1
        elif self._believed(now, said):
            for fact in said.facts:
                if fact.owner in self.membership.universe.hall and self._owner_lives(now, fact):
                    self.facts.hear(now, fact, self._times())
        self._flush(now)
        return why

    def _believed(self, now: float, said: Datagram) -> bool:
        peer = self.membership.peers.get(said.sender)
        return peer is None or (
            peer.status is Status.ALIVE and peer.process == said.process and now >= peer.twins
        )

    def _owner_lives(self, now: float, fact: wire.Fact) -> bool:
        """Facts of one that has left, of a process that another has replaced, or of two under one name are
        none. An owner tells all of its own anew under each incarnation, so none is lost."""
        peer = self.membership.peers.get(fact.owner)
        if peer is None or peer.status is None:
            return True  # out of view: its facts end by their time
        if now < peer.twins:
            return False
        if peer.status in (Status.ALIVE, Status.SUSPECT):
            return fact.incarnation >= peer.first
        return fact.incarnation > peer.incarnation

    def take(self, now: float, universe: Universe) -> None:
        """Hold to another universe of names: those that it doesn't have are forgotten, with their facts."""
        self.membership.take(universe)
        for owner in {held.owner for held in self.facts.all(now)} - universe.hall.keys():
            self.facts.retire(now, owner)

    def leave(self, now: float, said: bool = True) -> None:
        """Say that this member goes; without a word where an heir goes on under its name."""
        self.membership.leave(now, said)
        self._flush(now)

    # --- facts

    def tell(self, now: float, key: str, value: bytes, life_s: float) -> None:
        """Tell all a fact, kept alive until it is withdrawn; ValueError on one that is too large."""
        self.facts.tell(now, self.own.incarnation, key, value, life_s, self._times())

    def withdraw(self, now: float, key: str) -> None:
        """End a fact of one's own everywhere."""
        self.facts.withdraw(now, self.own.incarnation, key, self._times())

    def told(self, now: float, key: str) -> Iterator[Held]:
        """What members tell under a key, own word included."""
        return self.facts.of(now, key)

    def _times(self) -> int:
        return FACT_NEWS * max(1, math.ceil(math.log2(len(self.membership.peers) + 2)))

    # --- out

    def _flush(self, now: float) -> None:
        membership = self.membership
        while membership.sends:
            sends, membership.sends = membership.sends, []
            for send in sends:
                self.out.append(Out(send.address, self._encode(now, send)))
        if membership.events:
            events, membership.events = membership.events, []
            for event in events:
                if event.name in ("dead", "left", "twins", "restarted"):
                    self.facts.retire(now, event.fields["member"])
            self.events += events

    def _encode(self, now: float, send: Send) -> bytes:
        own = self.own
        left = (
            self._most
            - wire.DIGEST
            - HEADER
            - len(self.fleet)
            - len(own.name)
            - len(own.address)
            - len(send.target)
        )
        states: dict[str, wire.State] = {}

        def fill(source: Iterator[wire.State], most: float = math.inf) -> None:
            nonlocal left
            taken = 0
            while taken < most:
                room = left
                # A state is taken from its queue only while there is surely room: 64 characters of name and
                # address each would make it some 220 bytes; what doesn't fit goes by the next datagram.
                if room < 80:
                    return
                state = next(source, None)
                if state is None:
                    return
                size = wire.size(state)
                if size > room:
                    return
                if state.name not in states:
                    states[state.name] = state
                    left -= size
                taken += 1

        facts: list[wire.Fact] = []

        def fill_facts() -> None:
            nonlocal left
            for fact in self.facts.news(now):
                if (size := wire.size(fact)) > left:
                    return
                left -= size
                facts.append(fact)
                if left < 120:
                    return

        fill(iter(send.first))
        if now >= own.retired:
            # In turn, so that in small datagrams neither waits until all of the other is told.
            if self._number % 2 and left > 120:
                fill_facts()
            fill(self.membership.news())
            if not self._number % 2 and left > 120:
                fill_facts()
            if send.asker:
                fill(self.membership.olds(send.asker))
            fill(self.membership.olds(), OLDS)
        self._number += 1
        data = wire.encode(
            Datagram(
                wire.FORMAT, self.fleet, own.name, own.process, own.incarnation, self._number, own.address,
                int(send.kind), send.seq, send.target, send.flags | (HEIR if own.heir else 0),
                tuple(states.values()), tuple(facts),
            ),
            self.keys[0],
        )  # fmt: skip
        self.sent += 1
        self.sent_bytes += len(data)
        return data


def page(member: Member, now: float) -> dict[str, Any]:
    """What this member knows, for staff and machines: see docs/operators/fleet.md."""
    own, membership = member.own, member.membership

    def row(name: str) -> dict[str, Any]:
        peer = membership.peers[name]
        status = "unknown" if peer.status is None else peer.status.name.lower()
        return {
            "name": name, "hall": membership.universe.hall[name],
            "status": "twins" if now < peer.twins else status,
            "incarnation": peer.incarnation, "address": peer.address,
            "since_s": round(now - peer.since, 1) if math.isfinite(peer.since) else None,
            "answered_s": round(now - peer.proof, 1) if math.isfinite(peer.proof) else None,
        }  # fmt: skip

    return {
        "fleet": member.fleet, "member": own.name, "hall": membership.universe.hall[own.name],
        "incarnation": own.incarnation, "address": own.address, "health": membership.health,
        "alone": membership.alone, "name_in_use": now < own.twins, "retired": now < own.retired,
        "names": len(membership.universe), "in_view": len(membership.peers),
        "members": [row(name) for name in sorted(membership.peers)],
        "facts": [
            {"owner": h.owner, "key": h.key, "value": h.value.hex(), "left_s": round(h.left_s, 1)}
            for h in sorted(member.facts.all(now))
        ],
        "sent": member.sent, "received": member.received, "sent_bytes": member.sent_bytes,
        "received_bytes": member.received_bytes,
        "refused": {why: count for why, count in member.refused.items() if count},
    }  # fmt: skip
