"""One view of all sources: which process stands at which address, and whether it may be sent anything. No
I/O.

A node is told apart by its address and by its incarnation there. The written rules, in order:

   1. **Drains win.** Whoever says of an address that it drains is believed, whatever others say, until
   whoever said it takes it back or no longer lists it. 2. **The most careful word counts** among sources
   that list an address: draining, then waiting, then up. 3. **A new identity is a new node**: where a
   source names another instance at an address, the one before is gone, with its name and all that was
   learned of it, and the new one is cold. What was in flight belongs to the old one. 4. **One process is
   one node**, however many sources list it: it keeps the name it came by. 5. **A hall belongs to its
   owner** where the operators name one, once that source lists enough of the hall (the same share as in 6)
   for the move to leave no gap. Until then, all sources count; from then on only what its owner lists is
   there, and others can only say that it drains. 6. **A list that shrinks too much at once is doubted.**
   What a whole answer drops without a word stays, if more than a stated share goes missing with it, until
   another address or a later answer has dropped it too, it cannot be connected to, or a source says that it
   drains. What is told explicitly (draining, deleted) is never doubted.

Times are nanoseconds on the core's clock.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Generator, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import TypeVar
from zlib import crc32

from dunefield.interface import SECOND, ServerEntry
from hollyport.lists.discovery import Line
from hollyport.registries.record import DRAINING, UP, WAITING, Change, Record
from hollyport.settings.config import Address

KNOWN = "known"  # the list that a daemon starts with: it counts until every source has been heard
STEP = 200  # records between two yields
SCAN = 2000  # the same where they are only looked at
FEW = 3  # so many may always go at once
MOST_NAMES = 8192  # names that are remembered as used, beside two for each node
T = TypeVar("T")
CAREFUL = {DRAINING: 2, WAITING: 1, UP: 0}


def _parts(items: Sequence[T], size: int) -> Iterator[Sequence[T]]:
    """Slices of a sequence that stays as it is."""
    for at in range(0, len(items), size):
        yield items[at : at + size]


@dataclass(slots=True)
class _Source:
    """What one source has said."""

    name: str
    records: dict[str, Record] = field(default_factory=dict)
    doubts: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # identity: since when, dropped by which address
    replaced: set[str] = field(
        default_factory=set
    )  # listed still, though another came to their address since
    heard: bool = False  # a whole answer was taken and not doubted
    first: bool = True  # what it lists now, it lists for the first time
    good_at: int = -1
    empty: tuple[int, int] | None = None  # first answer, and it held nothing: when, by which address


@dataclass(slots=True)
class _Node:
    """One incarnation at one address."""

    name: str
    address: Address
    aliases: dict[str, str]  # the identity by which each source knows it
    record: Record
    started_ns: int
    status: str
    stale: dict[str, str]  # identities by which sources still name the one before


@dataclass(frozen=True, slots=True)
class Rules:
    """What the operators decide."""

    sources: tuple[str, ...]  # in order of whose word on hall, kind, group and weight comes first
    shrink: float = 0.3  # share of a list that may go missing at once
    confirm_ns: int = 2 * SECOND  # how much later an answer of the same address must be to confirm a loss
    keep_ns: int = 0  # how long the last good list of a source that fails counts; 0: for good
    most: int = 0  # nodes that this daemon takes at most; 0: all
    owners: Mapping[int, str] = field(default_factory=dict)  # hall: source
    doubted: frozenset[str] = frozenset()  # sources whose losses are doubted; of the others all is explicit


class Merger:
    """Takes what sources say, and returns the lines that change for the core."""

    def __init__(self, rules: Rules, me: str) -> None:
        self._rules, self._me = rules, me
        self._sources = {name: _Source(name) for name in (*rules.sources, KNOWN)}
        # Identities by source, the latest last; tuples of texts, which the garbage collector need not walk.
        self._at: dict[Address, dict[str, tuple[str, ...]]] = {}
        self._nodes: dict[Address, _Node] = {}
        self._handed: dict[int, str] = {}  # halls whose owner has taken over
        self._used: dict[str, None] = {}
        self._count = 0
        self._order: list[tuple[int, Address]] = []  # nodes that are up, by this daemon's own draw
        self._told: dict[Address, Line] = {}  # what the core was told last
        self._chosen: set[Address] = set()

    # --- what sources say

    def known(self, records: Sequence[Record], now: int) -> list[Line]:
        """The list that the daemon starts with."""
        source = self._sources[KNOWN]
        touched = set()
        for record in records:
            touched |= self._put(source, record)
        source.heard, source.good_at = True, now
        return self._settle(touched, now)

    def changes(self, name: str, changes: Sequence[Change], now: int) -> list[Line]:
        """Explicit words on single instances: taken to the letter."""
        source = self._sources[name]
        touched: set[Address] = set()
        for change in changes:
            if change.record is None:
                touched |= self._take(source, change.identity)
                touched |= self._take(self._sources[KNOWN], change.identity)  # told to be gone is gone
            else:
                touched |= self._put(source, change.record)
        source.good_at = now
        return self._settle(touched, now)

    def whole(self, name: str, records: Sequence[Record], now: int, by: int = 0) -> list[Line]:
        """A whole list from a source's address number `by`."""
        lines: list[Line] = []
        for part in self.taking_whole(name, records, now, by):
            lines += part
        return lines

    def taking_whole(
        self, name: str, records: Sequence[Record], now: int, by: int = 0
    ) -> Iterator[list[Line]]:
        """The same in steps, for lists that would hold up the loop; each step's lines are to be passed on.

        What the list drains or stops comes first: the second in which nothing more may be sent has begun.
        """
        source = self._sources[name]
        listed: set[str] = set()
        careful: list[Record] = []
        for part in _parts(records, SCAN):
            listed.update(record.identity for record in part)
            careful += [record for record in part if record.status != UP]
            yield []
        missing: list[str] = []
        alive = gone = 0
        for part in _parts(list(source.records.values()), SCAN):
            for record in part:
                alive += record.status == UP
                if record.identity not in listed:
                    missing.append(record.identity)
                    gone += record.status == UP
            yield []
        doubtful = name in self._rules.doubted and (
            gone > max(FEW, self._rules.shrink * alive) or (gone == alive > 0 and not records)
        )
        heard = True
        if name in self._rules.doubted and not source.heard and not records and self._nodes:
            # Nothing at all, as the first word: the registry may well have just started itself.
            since, first_by = source.empty = source.empty or (now, by)
            heard = by != first_by or now - since >= self._rules.confirm_ns
        touched: set[Address] = set()
        for number, identity in enumerate(missing):
            record_held = source.records.get(identity)
            if record_held is None:
                continue  # it could not be connected to, and went since this answer was begun
            since, first_by = source.doubts.get(identity, (now, by))
            confirmed = identity in source.doubts and (
                by != first_by or now - since >= self._rules.confirm_ns
            )
            if record_held.status != UP or confirmed or not (doubtful or identity in source.doubts):
                touched |= self._take(source, identity)
            else:
                source.doubts[identity] = (since, first_by)
            if number % STEP == STEP - 1:
                yield self._settle(touched, now)
                touched = set()
        for number, record in enumerate(chain(careful, records)):
            source.doubts.pop(record.identity, None)
            if source.records.get(record.identity) != record:
                touched |= self._put(source, record)
            if number % STEP == STEP - 1 or number == len(careful) - 1:
                yield self._settle(touched, now)
                touched = set()
        source.good_at = now
        if heard:
            source.heard, source.empty = True, None
        yield self._settle(touched, now)
        yield from self._retire_known(to_the_letter=name not in self._rules.doubted, now=now)
        yield from self._hand_over(now)
        source.first = not source.heard

    def broken(self, name: str, now: int) -> list[Line]:
        """This node cannot be connected to: if it is only kept out of doubt, it goes."""
        for address, node in self._nodes.items():
            if node.name == name:
                touched: set[Address] = set()
                for source in self._sources.values():
                    alias = node.aliases.get(source.name)
                    if alias in source.doubts or (source.name == KNOWN and alias in source.records):
                        assert alias is not None
                        touched |= self._take(source, alias)
                return self._settle(touched & {address} if touched else touched, now)
        return []

    def expire(self, now: int) -> list[Line]:
        """Let go of lists that are older than the operators allow."""
        touched: set[Address] = set()
        if self._rules.keep_ns:
            for source in self._sources.values():
                if source.name != KNOWN and source.records and now - source.good_at > self._rules.keep_ns:
                    for identity in list(source.records):
                        touched |= self._take(source, identity)
        return self._settle(touched, now)

    def own(self, owners: Mapping[int, str], now: int) -> list[Line]:
        """Halls have other owners from now on."""
        return [line for lines in self.taking_owners(owners, now) for line in lines]

    def taking_owners(self, owners: Mapping[int, str], now: int) -> Iterator[list[Line]]:
        """The same in steps."""
        self._rules = replace(self._rules, owners=dict(owners))
        before, self._handed = (
            self._handed,
            {hall: name for hall, name in self._handed.items() if owners.get(hall) == name},
        )
        yield from self._settle_halls(before.keys() - self._handed.keys(), now)
        yield from self._hand_over(now)

    # --- what it looks like

    def doubtful(self, name: str) -> bool:
        """Whether an answer of this source is to be confirmed."""
        source = self._sources[name]
        return bool(source.doubts) or not source.heard

    def records(self) -> list[Record]:
        """One record for each node, by its name, for the list on disk."""
        return [
            node.record._replace(identity=node.name, status=node.status, started_ns=node.started_ns)
            for node in self._nodes.values()
        ]

    def describe(self, now: int) -> dict[str, object]:
        """The state of the sources, for people: sizes, doubts and ages in seconds."""
        return {
            "nodes": len(self._nodes),
            "told": len(self._told),
            "halls_handed": {str(hall): name for hall, name in self._handed.items()},
            "sources": {
                s.name: {
                    "records": len(s.records),
                    "doubtful": len(s.doubts),
                    "heard": s.heard,
                    "age_s": round((now - s.good_at) / SECOND, 1) if s.good_at >= 0 else None,
                }
                for s in self._sources.values()
            },
        }

    def view(self) -> dict[Address, tuple[str, str]]:
        """Name and status of the node at each address."""
        return {address: (node.name, node.status) for address, node in self._nodes.items()}

    # --- records

    def _put(self, source: _Source, record: Record) -> set[Address]:
        touched = set()
        source.doubts.pop(record.identity, None)
        before = source.records.get(record.identity)
        if before is not None and before.address != record.address:
            touched |= self._take(source, record.identity)
        if before is not None and record.started_ns > before.started_ns:
            source.replaced.discard(record.identity)
        source.records[record.identity] = record
        by_source = self._at.setdefault(record.address, {})
        identities = by_source.get(source.name, ())
        if record.identity not in identities:
            identities = by_source[source.name] = (*identities, record.identity)
        if len(identities) > 1:
            # A lease that nobody has ended yet. Whoever came later stands there, and when that one goes, the
            # one before does not come back.
            records = source.records
            latest = max(range(len(identities)), key=lambda i: (records[identities[i]].started_ns, i))
            source.replaced.update(identities)
            source.replaced.discard(identities[latest])
        touched.add(record.address)
        return touched

    def _take(self, source: _Source, identity: str) -> set[Address]:
        record = source.records.pop(identity, None)
        source.doubts.pop(identity, None)
        source.replaced.discard(identity)
        if record is None:
            return set()
        by_source = self._at[record.address]
        left = tuple(other for other in by_source[source.name] if other != identity)
        if left:
            by_source[source.name] = left
        else:
            del by_source[source.name]
        if not by_source:
            del self._at[record.address]
        return {record.address}

    def _retire_known(self, to_the_letter: bool, now: int) -> Iterator[list[Line]]:
        """Once every source has been heard, the list from the start has nothing to add; nor has it once a
        source that is taken to the letter has told everything, for that is where it came from."""
        known = self._sources[KNOWN]
        if known.records and (
            to_the_letter or all(self._sources[name].heard for name in self._rules.sources)
        ):
            for part in _parts(list(known.records), STEP):
                touched: set[Address] = set()
                for identity in part:
                    touched |= self._take(known, identity)
                yield self._settle(touched, now)

    # --- nodes

    def _settle(self, touched: set[Address], now: int) -> list[Line]:
        for address in touched:
            self._resolve(address, now)
        return self._tell(touched)

    def _hand_over(self, now: int) -> Iterator[list[Line]]:
        """Halls go to their owners, where those are ready to be followed alone."""
        for hall, owner in self._rules.owners.items():
            if self._handed.get(hall) != owner and (yield from self._ready(hall, owner)):
                self._handed[hall] = owner
                yield from self._settle_halls({hall}, now)

    def _settle_halls(self, halls: Set[int], now: int) -> Iterator[list[Line]]:
        """All that stands in these halls, by whatever source: an address that only an owner of before has
        kept out of the view is known by its records alone."""
        if not halls:
            return
        for part in _parts(list(self._at), STEP):
            yield self._settle({a for a in part if self._halls(a) & halls}, now)

    def _halls(self, address: Address) -> set[int]:
        found = {
            self._sources[name].records[identity].hall
            for name, identities in self._at.get(address, {}).items()
            for identity in identities
        }
        if address in self._nodes:
            found.add(self._nodes[address].record.hall)
        return found

    def _ready(self, hall: int, owner: str) -> Generator[list[Line], None, bool]:
        """Whether a hall's owner lists enough of it to be followed alone."""
        if owner not in self._sources or not self._sources[owner].heard:
            return False
        mine: set[Address] = set()
        for records in _parts(list(self._sources[owner].records.values()), SCAN):
            mine.update(r.address for r in records if r.hall == hall and r.status == UP)
            yield []
        others = 0
        for nodes in _parts(list(self._nodes.items()), SCAN):
            others += sum(1 for a, n in nodes if n.record.hall == hall and n.status == UP and a not in mine)
            yield []
        both = len(mine) + others
        return both > 0 and others <= self._rules.shrink * both

    def _tellers(self, address: Address) -> dict[str, Record]:
        """What each source says of an address: of several instances there, the one that came last."""
        found = {}
        by_source = self._at.get(address, {})
        for name in (*self._rules.sources, KNOWN):
            source = self._sources[name]
            for identity in by_source.get(name, ()):
                if identity not in source.replaced:
                    found[name] = source.records[identity]
        if KNOWN in found and len(found) > 1:
            del found[KNOWN]  # it is older than anything that a source says
        return found

    def _resolve(self, address: Address, now: int) -> None:
        tellers = self._tellers(address)
        listing = tellers
        hall = next((r.hall for r in tellers.values()), -1)
        owner = self._handed.get(hall)
        if owner is not None:
            listing = {name: r for name, r in tellers.items() if name == owner}
        node = self._nodes.get(address)
        if not listing:
            if node is not None:
                self._unlist(node)
                del self._nodes[address]
            return
        name, lead = next(iter(listing.items()))
        stale: dict[str, str] = {}
        fresh = [(s, r) for s, r in listing.items() if node and node.aliases.get(s, r.identity) != r.identity]
        if node is not None and fresh:
            # Whoever still names the old one speaks of what is gone, until it names another.
            name, lead = fresh[0]
            stale = {s: r.identity for s, r in tellers.items() if node.aliases.get(s) == r.identity}
            self._unlist(node)
            node = None
        if node is None:
            first = self._sources[name].first  # what stands in a first list has run for long, unless told
            started = lead.started_ns or (0 if first or name == KNOWN else now)
            node = self._nodes[address] = _Node(
                self._name(lead.identity), address, {}, lead, started, WAITING, stale
            )
        elif lead.started_ns > node.record.started_ns and node.aliases.get(name) == lead.identity:
            node.started_ns = lead.started_ns  # restarted under its own name
        for source, record in tellers.items():
            if node.stale.get(source) != record.identity:
                node.aliases[source] = record.identity
                node.stale.pop(source, None)
        node.record = lead
        status = max((r.status for r in tellers.values()), key=CAREFUL.__getitem__)
        if owner is not None and status == WAITING:
            status = max((r.status for r in listing.values()), key=CAREFUL.__getitem__)
        self._status(node, status)

    def _name(self, identity: str) -> str:
        """A name that no other process has had of late: the core keeps what it learned by name."""
        name = identity
        while name in self._used:
            self._count += 1
            name = f"{identity}#{self._count}"
        self._used[name] = None
        if len(self._used) > MOST_NAMES + 2 * len(self._nodes):
            del self._used[next(iter(self._used))]
        return name

    def _status(self, node: _Node, status: str) -> None:
        place = (crc32(f"{self._me}/{node.address.host}:{node.address.port}".encode()), node.address)
        if status == UP and node.status != UP:
            insort(self._order, place)
        elif status != UP and node.status == UP:
            self._order.pop(bisect_left(self._order, place))
        node.status = status

    def _unlist(self, node: _Node) -> None:
        self._status(node, WAITING)

    # --- lines

    def _tell(self, touched: set[Address]) -> list[Line]:
        """The lines that changed. With more nodes than it may take, a daemon takes those that its own draw
        puts first (rendezvous hashing): a node that comes or goes moves one other and no more."""
        most = self._rules.most
        if most:
            chosen = {address for _, address in self._order[:most]}
            touched = touched | (chosen ^ self._chosen)
            self._chosen = chosen
        lines = []
        for address in sorted(touched):
            node, before = self._nodes.get(address), self._told.get(address)
            line = None
            if node is not None and (
                not most or address in self._chosen or (before is not None and node.status != UP)
            ):
                record = node.record
                lifecycle = "up" if node.status == UP else "draining"
                line = Line(
                    ServerEntry(
                        node.name,
                        record.hall,
                        record.kind,
                        record.group,
                        lifecycle,
                        record.weight,
                        node.started_ns,
                    ),
                    address,
                    record.protocol,
                )
            if line == before:
                continue
            if before is not None and (line is None or line.entry.server != before.entry.server):
                lines.append(Line(before.entry._replace(lifecycle="removed"), address))
            if line is None:
                self._told.pop(address, None)
            else:
                lines.append(line)
                self._told[address] = line
        return lines
