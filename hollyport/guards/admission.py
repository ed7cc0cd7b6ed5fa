"""Who may connect: caps by source address and prefix, a reserve for known clients, and who goes when all is
full. No I/O; times are seconds on the caller's clock.

Whatever is thrown at it, the table holds a bounded number of sources: those with connections (no more than
connections), and of the rest the latest seen. Every step costs the same, however many there are.

A **known** source stands on the operators' list, or has lately been served about as often as it connected: a
client that keeps asking is told from one that only connects, also where both have just begun.

Rates are token buckets (as in RFC 2697, without colours): `rate` a second, `burst` at once.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network

Network = IPv4Network | IPv6Network
Address = IPv4Address | IPv6Address
LOOK = 32  # sources looked at to find one that is not known
HALVED = 64  # connections after which a source's score is halved: what it did long ago counts less


@dataclass(frozen=True, slots=True)
class Caps:
    """What one source, or one prefix of sources, may do."""

    connections: int
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Rules:
    """What the operators decide. The parts of `most` are for unknown sources; known ones may take all."""

    most: int  # connections in all
    address: Caps
    prefix: Caps
    reserve: int = 0  # connections that only known sources may take
    known: tuple[Network, ...] = ()
    known_s: float = 60.0  # how long after an answer a source is known for it
    sources: int = 4096  # in the table without a connection
    prefix_v4: int = 24
    prefix_v6: int = 48


class _Source:
    """An address or a prefix."""

    __slots__ = ("open", "tokens", "at", "connected", "served", "served_at")

    def __init__(self, burst: float, now: float) -> None:
        self.open = 0
        self.tokens, self.at = burst, now
        self.connected = self.served = 0
        self.served_at = -1e9

    def refill(self, caps: Caps, now: float) -> None:
        self.tokens = min(caps.burst, self.tokens + max(0.0, now - self.at) * caps.rate)
        self.at = max(self.at, now)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a connection may come in; `reason` and `wait_s` (when one more may) where not. `evict`: it may
    if one of these goes first, which the caller finds, or it is refused as `full`."""

    admitted: bool
    reason: str = ""
    wait_s: float = 0.0
    evict: str = ""

    def full(self) -> Verdict:
        """It would be admitted, but there is no room after all."""
        return Verdict(False, "full", 1.0)


ADMITTED = Verdict(True)


class Admission:
    """The connections of one listener, by source."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._sources: OrderedDict[str, _Source] = OrderedDict()  # with no connection; latest seen last
        self._open: dict[str, _Source] = {}  # with connections
        self._by_open: dict[int, OrderedDict[str, None]] = {}  # unknown addresses by how many they hold
        self._prefixes: dict[str, str] = {}  # of addresses with connections
        self._top = 0
        self.total = self.unknown = 0
        self._held: dict[str, list[bool]] = {}  # of each address's connections: whether it came in as known

    # --- what sources are

    def prefix_of(self, address: str) -> str:
        """The prefix that an address lies in, as its own source; an unreadable address is one by itself."""
        try:
            ip: Address = ip_address(address.partition("%")[0])
        except ValueError:
            return f"?{address}"
        mapped = getattr(ip, "ipv4_mapped", None)
        ip = mapped or ip
        length = self._rules.prefix_v4 if ip.version == 4 else self._rules.prefix_v6
        return str(ip_network((ip, length), strict=False))

    def known(self, address: str, now: float) -> bool:
        """Whether a source has a claim to the reserve."""
        source = self._open.get(address) or self._sources.get(address)
        # One answer for every second connection at the least: a flood from a client's own address must not
        # take the reserve on its account.
        return self._listed(address) or (
            source is not None
            and now - source.served_at <= self._rules.known_s
            and 2 * source.served >= source.connected
        )

    def _listed(self, address: str) -> bool:
        if not self._rules.known:
            return False
        try:
            ip = ip_address(address.partition("%")[0])
        except ValueError:
            return False
        ip = getattr(ip, "ipv4_mapped", None) or ip
        return any(ip in network for network in self._rules.known)

    # --- what happens

    def ask(self, address: str, now: float) -> Verdict:
        """A connection comes from an address. If admitted, `opened` must follow; `evict` names the address
        one of whose idle connections is to go first."""
        rules = self._rules
        known = self.known(address, now)
        prefix = self.prefix_of(address)
        if not self._listed(address):
            for name, caps, what in ((address, rules.address, "address"), (prefix, rules.prefix, "prefix")):
                source = self._seen(name, caps, now)
                if source.open >= caps.connections:
                    return Verdict(False, f"{what} full", 1.0)
                if source.tokens < 1.0:
                    return Verdict(False, f"{what} rate", (1.0 - source.tokens) / caps.rate)
        room = rules.most if known else rules.most - rules.reserve
        used = self.total if known else self.unknown
        if used < room and self.total < rules.most:
            return ADMITTED
        return Verdict(False, "full", 1.0, self._victim(address, known, now))

    def _victim(self, address: str, known: bool, now: float) -> str:
        """All is taken: the unknown source that gives way, "" where none should. It is the one that holds the
        most: to a known newcomer always, to another only if that one then holds no more than it does."""
        own = self._open[address].open if address in self._open else 0
        least = 1 if known else own + 2
        looked = 0
        self.heaviest()  # brings the top up to date
        for count in range(self._top, least - 1, -1):
            for other in self._by_open.get(count, ()):
                looked += 1
                if looked > LOOK:
                    return ""  # known ones hold the most: whoever is below them is no threat
                if other != address and not self.known(other, now):
                    return other
        return ""

    def opened(self, address: str, now: float) -> None:
        """It was let in."""
        known = self.known(address, now)
        listed = self._listed(address)
        rules = self._rules
        prefix = self.prefix_of(address)
        for name, caps in ((address, rules.address), (prefix, rules.prefix)):
            source = self._seen(name, caps, now)
            if not listed:
                source.tokens -= 1.0
            source.open += 1
            source.connected += 1
            if source.connected >= HALVED:
                source.connected //= 2
                source.served //= 2
            if name in self._sources:
                self._open[name] = self._sources.pop(name)
        self._prefixes[address] = prefix
        self._held.setdefault(address, []).append(known)
        self.total += 1
        self.unknown += not known
        self._rank(address, -1)

    def closed(self, address: str, now: float) -> None:
        """A connection from there has ended."""
        source = self._open.get(address)
        if source is None:
            return
        held = self._held[address]
        known = held.pop()
        if not held:
            del self._held[address]
        self.total -= 1
        self.unknown -= not known
        before = source.open
        for name in (address, self._prefixes[address]):
            found = self._open[name]
            found.open -= 1
            if not found.open:
                self._sources[name] = self._open.pop(name)
        self._rank(address, before)
        if not source.open:
            del self._prefixes[address]
        while len(self._sources) > self._rules.sources:
            self._sources.popitem(last=False)

    def served(self, address: str, now: float) -> None:
        """A request from there was answered by a node."""
        source = self._open.get(address) or self._sources.get(address)
        if source is not None:
            source.served = min(source.served + 1, 2 * HALVED)
            source.served_at = now

    def heaviest(self) -> str:
        """The address that holds the most connections, the one first to come to hold so many; "" for none."""
        while self._top and not self._by_open.get(self._top):
            self._by_open.pop(self._top, None)
            self._top -= 1
        return next(iter(self._by_open[self._top])) if self._top else ""

    def sizes(self) -> tuple[int, int]:
        """Sources with connections, and without."""
        return len(self._open), len(self._sources)

    # --- tables

    def _seen(self, name: str, caps: Caps, now: float) -> _Source:
        source = self._open.get(name)
        if source is None:
            source = self._sources.get(name)
            if source is None:
                source = self._sources[name] = _Source(caps.burst, now)
                while len(self._sources) > self._rules.sources:
                    self._sources.popitem(last=False)
            else:
                self._sources.move_to_end(name)
        source.refill(caps, now)
        return source

    def _rank(self, address: str, before: int) -> None:
        """Keep the order by connections held; an address moves by one at a time."""
        source = self._open.get(address)
        count = source.open if source is not None else 0
        old = before if before >= 0 else count - 1
        if old > 0 and old in self._by_open:
            self._by_open[old].pop(address, None)
            if not self._by_open[old]:
                del self._by_open[old]
        if count:
            self._by_open.setdefault(count, OrderedDict())[address] = None
            self._top = max(self._top, count)


def networks(texts: Iterable[str]) -> tuple[Network, ...]:
    """Networks by their texts. Raise ValueError on what is none."""
    return tuple(ip_network(text) for text in texts)
