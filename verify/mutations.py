"""Each defence taken out of the real code, and the property that has to fall.

A mutation is a subclass or a function in place of the mesh's own, or a rule of a carrier not held to; it is
played by the least model that needs the defence.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from expression import Ok, Result
from pyrsistent import pmap

from mesh.control import consensus
from mesh.control.ballot import Member
from mesh.control.consensus import Plan, Promise, Replica
from mesh.control.shard_facts import ShardFacts
from mesh.state import configuration, key_leases
from mesh.state.ballots import INITIAL_BALLOT, Ballot, Draft
from mesh.state.configuration import Conflict, Item, Items, RoutingTable
from mesh.state.idempotency import Claim, ClaimDecision, Grant, GrantRow, OperationStatus, Registry
from mesh.state.key_leases import LeaseTimes
from mesh.state.quorum import Voters
from mesh.state.shards import FencedRange, Owner, ReleasedRange, ShardTable
from verify import claims, items, leases, sets
from verify.claims import ClaimsModel
from verify.items import ItemsModel
from verify.leases import BY_BEAT, BY_CALL, LeasesModel
from verify.parts import Parts
from verify.search import LIMIT, Model, Property, StepProperty, search
from verify.search import Result as Found
from verify.sets import SetsModel


class Fewer(Voters):
    """A write that half of the disks take."""

    __slots__ = ()

    @property
    def write_quorum(self) -> int:
        return len(self.names) // 2


class Hasty(Voters):
    """A wiped controller that hears one less."""

    __slots__ = ()

    @property
    def read_quorum(self) -> int:
        return super().read_quorum - 1


class Unpromised(Replica):
    """A change is accepted from anybody."""

    __slots__ = ()

    def accept(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        return self._replace(active_ballot=ballot, promised=INITIAL_BALLOT)._accepted(ballot, sequence, items)

    def _accepted(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        return super().accept(ballot, sequence, items)


class Gapped(Replica):
    """A change is accepted by a copy that lacks what came before."""

    __slots__ = ()

    def accept(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        if ballot != self.active_ballot:
            return None
        return self._replace(draft=Draft(sequence, ballot, items))


class Hurried(Replica):
    """What is accepted is in force before it is chosen."""

    __slots__ = ()

    def accept(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        made = super().accept(ballot, sequence, items)
        return made and made._replace(items=configuration.merge(made.items, items))


class LastComes(Replica):
    """Items merge by arrival."""

    __slots__ = ()

    def learn(self, items: Iterable[Item], sequence: int) -> Replica:
        made = super().learn((), sequence)
        return made._replace(items=made.items.update({item.name: item for item in items}))


def heedless(heard: Mapping[str, Promise], known: int) -> Plan:
    """What others have accepted is passed over."""
    return consensus.plan(heard, known)._replace(unfinished=None)


def lowest(heard: Mapping[str, Promise], known: int) -> Plan:
    """Of several drafts the one with the lowest ballot is taken."""
    sequence = consensus.plan(heard, known).sequence
    drafts = [promise.draft for promise in heard.values() if promise.draft is not None]
    found = [draft for draft in drafts if draft.sequence == sequence + 1]
    return Plan(sequence, min(found, key=lambda draft: draft.ballot, default=None))


def no_effect(items: Items, call: Iterable[Item]) -> Result[tuple[Item, ...], str]:
    """Another content under the version held counts as no effect."""
    held = [item for item in call if item.name not in items or item.version != items[item.name].version]
    return configuration.validate_change(items, held)


class FirstStays(Registry):
    """Of claims that disagree the first one heard stays."""

    def merge(self, now: float, rows: Iterable[GrantRow]) -> None:
        for row in rows:
            mine = self._grants.get(row[0])
            if (
                mine is None
                or mine.status == OperationStatus.DONE
                or row[2] == OperationStatus.DONE
                or mine.token == row[1]
            ):
                super().merge(now, [row])


class FreeForAll(Registry):
    """Whoever says so frees a key."""

    def release(self, now: float, key: str, token: str) -> bool:
        grant = self._grants.get(key)
        return grant is not None and super().release(now, key, grant.token)


class Forgiving(Registry):
    """A claim whose time is over may go to the next."""

    def get(self, now: float, key: str) -> Grant | None:
        grant = super().get(now, key)
        if grant is not None and grant.status == OperationStatus.BROKEN:
            del self._grants[key]
            return None
        return grant


class LastStays(Registry):
    """Whoever claims last has it."""

    def claim(self, now: float, key: str, token: str, left_s: float) -> tuple[Grant, bool]:
        grant = self.get(now, key)
        if grant is not None and grant.status == OperationStatus.CLAIMED and grant.token != token:
            del self._grants[key]
        return super().claim(now, key, token, left_s)


class NoAnswers(Registry):
    """An answer is not kept: the key is free again."""

    def complete(self, now: float, key: str, token: str, answer: Any) -> bool:
        return self._grants.pop(key, None) is not None


class Patient(Claim):
    """A round may take as long as it likes."""

    def decision(self, now: float) -> ClaimDecision:
        return super().decision(min(now, self.started_at))


class Guessing(Claim):
    """Who holds a key for another is taken to have answered."""

    def on_held_by_other(self, controller: str, token: str, mark: OperationStatus, answer: Any) -> None:
        super().on_held_by_other(controller, token, OperationStatus.DONE, int(token or 0))


def unchecked(old: Items, call: Iterable[Item]) -> Result[tuple[Item, ...], str]:
    """Whatever is newer is valid."""
    return Ok(tuple(item for item in call if item.supersedes(old.get(item.name))))


def nothing_held_out(rows: Items) -> tuple[RoutingTable, list[Conflict]]:
    """Routes of no service are in force as well."""
    made, wrong = configuration.build_table(rows)
    hosts = dict(made.routes_by_host)
    for item in rows.values():
        if item.content and item.name.startswith("route/"):
            route = configuration.parse_item(item)
            assert isinstance(route, configuration.Route)
            if all(route is not other for _, other in hosts.get(route.host, ())):
                hosts[route.host] = (*hosts.get(route.host, ()), (route.prefix, route))
    return made._replace(routes_by_host=pmap(hosts)), wrong


class Unsealed(Member):
    """Who has said yes to a successor still grants."""

    def votes(self, epoch: int) -> bool:
        return self.voters.epoch == epoch == self.caught_up_epoch and self.address in self.voters.names


class Fickle(Member):
    """A promise binds nobody."""

    def promise(self, epoch: int, ballot: Ballot) -> bool:
        self.promised = INITIAL_BALLOT
        return super().promise(epoch, ballot)

    def accept(self, epoch: int, ballot: Ballot, names: tuple[str, ...]) -> bool:
        self.promised = INITIAL_BALLOT
        return super().accept(epoch, ballot, names)


class RevokedRenews(ShardTable):
    """The owner of a revoked range may renew its lease."""

    __slots__ = ()

    def confirms(self, owner: Owner, held: FencedRange) -> bool:
        return all(
            shard.owner == owner and shard.fence == held.fence for shard in self.overlapping(held.range)
        )


class AnyFence(ShardFacts):
    """A release counts for any fence."""

    def add_releases(self, owner: Owner, ranges: Iterable[ReleasedRange]) -> bool:
        fences = {shard.fence for shard in self.table.shards}
        return super().add_releases(
            owner, [released._replace(fence=fence) for released in ranges for fence in fences]
        )


def times_without_drift(hold_max_s: float) -> LeaseTimes:
    """A revoked range is assigned again after the time of a lease by the proposer's clock."""
    times = LeaseTimes.of_bound(hold_max_s)
    return times._replace(reassignment_delay_s=times.lease_s)


def hold_without_drift(now: float, lease_ends_at: float, transit_s: float) -> float:
    """A server is told to hold a range until its lease ends by the server's clock."""
    return max(0.0, lease_ends_at - now - transit_s)


def hold_without_transit(now: float, lease_ends_at: float, transit_s: float) -> float:
    """A grant is taken to be there at once."""
    return key_leases.hold_duration(now, lease_ends_at)


Falls = tuple[Property | StepProperty, ...]


class Mutation(NamedTuple):
    """One defence that is missing, who plays it, and what must fall."""

    name: str
    about: str
    model: Callable[[], Model]
    falls: Falls


def _items(calls: str, parts: Parts, controllers: int = 3, **faults: int) -> Callable[[], Model]:
    return lambda: ItemsModel(calls, controllers, faults, parts)


def _in_turn(calls: str, parts: Parts, **faults: int) -> Callable[[], Model]:
    return lambda: ItemsModel(calls, 3, faults, parts, in_turn=True)


def _claims(parts: Parts, head: str = "", lost: bool = False, **faults: int) -> Callable[[], Model]:
    return lambda: ClaimsModel(3, 2, faults, parts, True, head=head, lost=lost)


def _sets(
    parts: Parts, proposers: int = 2, claimants: int = 1, voters: int = 3, **faults: int
) -> Callable[[], Model]:
    return lambda: SetsModel(proposers, claimants, faults, parts, voters)


def _leases(parts: Parts, way: str = BY_CALL, again: bool = False, **faults: int) -> Callable[[], Model]:
    bound = {"ask": 1, "round": 2, **faults}
    return lambda: LeasesModel(bound, parts, way, again=again)


RUNS: Falls = (
    claims.never_two_runs,
    claims.what_may_have_run_is_never_followed_by_a_run,
    claims.a_grant_that_ran_is_known_to_enough,
)
OVER: Falls = (*sets.PROPERTIES, *sets.STEP_PROPERTIES)
CLASH: Falls = (items.no_two_acknowledged_items_clash, items.acknowledged_items_stay_in_force)
OWNER: Falls = leases.PROPERTIES
KEPT: Falls = (items.acknowledged_items_are_kept, items.acknowledged_items_are_read)

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "items-fewer", "a write on half of the disks", _items("place", Parts(voters=Fewer)), (*CLASH, *KEPT)
    ),
    Mutation(
        "items-unsynced", "HAVE before the disk has it", _items("one", Parts(synced=False), crash=2), KEPT
    ),
    Mutation(
        "items-counts",
        "a wiped controller counts at once",
        _items("one", Parts(recovers=False), wipe=1),
        KEPT,
    ),
    Mutation(
        "items-hasty", "a wiped controller hears one less", _items("one", Parts(voters=Hasty), wipe=1), KEPT
    ),
    Mutation(
        "items-waits",
        "a wiped controller does not wait for rounds to be void",
        _items("one", Parts(waits=False), 5, wipe=1),
        KEPT,
    ),
    Mutation(
        "items-arrival",
        "merge by arrival",
        _items("same", Parts(replica=LastComes), hear=1),
        (items.nobody_goes_back, items.copies_agree_at_the_end, *KEPT),
    ),
    Mutation(
        "items-hurried",
        "a change is in force before it is chosen",
        _items("place", Parts(replica=Hurried)),
        (items.acknowledged_items_stay_in_force,),
    ),
    Mutation(
        "items-hurried-twin",
        "the same, with two contents of one version",
        _items("twin", Parts(replica=Hurried), hear=1),
        (*KEPT, items.nobody_goes_back),
    ),
    Mutation(
        "items-promise",
        "a change is accepted from anybody",
        _items("place", Parts(replica=Unpromised)),
        (items.no_two_acknowledged_items_clash, *KEPT),
    ),
    Mutation(
        "items-gap",
        "a change is accepted by a copy that lacks what came before",
        _items("same", Parts(replica=Gapped)),
        (items.acknowledged_items_stay_in_force, *KEPT),
    ),
    Mutation(
        "items-obeys",
        "what others have accepted is passed over",
        _items("place", Parts(plan=heedless)),
        (items.no_two_acknowledged_items_clash, *KEPT),
    ),
    Mutation(
        "items-lowest",
        "the draft with the lowest ballot is finished",
        _items("twin", Parts(plan=lowest), again=1),
        (items.no_two_acknowledged_items_clash, *KEPT),
    ),
    Mutation(
        "items-equal",
        "another content under the version held has no effect",
        _in_turn("twin", Parts(change=no_effect)),
        (items.no_two_acknowledged_items_clash, *KEPT),
    ),
    Mutation(
        "items-adopts",
        "a wiped machine does not take over what others have accepted",
        _items("one", Parts(adopts=False), wipe=2),
        KEPT,
    ),
    Mutation("items-unchecked", "a change is not checked", _in_turn("place", Parts(change=unchecked)), CLASH),
    Mutation(
        "items-table",
        "nothing is held out of force",
        _items("service", Parts(table=nothing_held_out), agree=1),
        (items.nothing_invalid_is_in_force,),
    ),
    Mutation("keys-fewer", "a run with half of the grants", _claims(Parts(voters=Fewer)), RUNS),
    Mutation("keys-unsynced", "CLAIMED before the disk has it", _claims(Parts(synced=False), crash=1), RUNS),
    Mutation(
        "keys-counts", "a wiped controller grants at once", _claims(Parts(recovers=False), wipe=1), RUNS
    ),
    Mutation(
        "keys-hasty",
        "a wiped controller hears one less",
        _claims(Parts(voters=Hasty), "run", True, tick=2),
        RUNS,
    ),
    Mutation(
        "keys-waits",
        "a wiped controller asks before rounds are void",
        _claims(Parts(waits=False), "granted", wipe=1),
        RUNS,
    ),
    Mutation(
        "keys-slow",
        "a round that took too long runs",
        _claims(Parts(claim=Patient), "granted", True, tick=2),
        RUNS,
    ),
    Mutation(
        "keys-first",
        "of claims that disagree the first stays",
        _claims(Parts(registry=FirstStays), "run", True, tick=2),
        RUNS,
    ),
    Mutation("keys-last", "whoever claims last has it", _claims(Parts(registry=LastStays)), RUNS),
    Mutation("keys-free", "freed by another's token", _claims(Parts(registry=FreeForAll)), RUNS),
    Mutation(
        "keys-broken", "a claim that ran out is free", _claims(Parts(registry=Forgiving), expire=3), RUNS
    ),
    Mutation("keys-answers", "an answer is not kept", _claims(Parts(registry=NoAnswers)), RUNS),
    Mutation(
        "keys-guess",
        "a holder is taken to have answered",
        _claims(Parts(claim=Guessing)),
        (claims.a_repeat_gets_the_answer_of_the_run,),
    ),
    Mutation(
        "items-flush",
        "a wiped controller counts before its disk has it all",
        _items("one", Parts(counts_late=False), wipe=2, crash=1),
        KEPT,
    ),
    Mutation("sets-sealed", "who has sealed still votes", _sets(Parts(member=Unsealed), 1, 0), OVER),
    Mutation("sets-obeys", "what was accepted is not taken over", _sets(Parts(obeys=False), 2, 0), OVER),
    Mutation("sets-promise", "promises are not kept", _sets(Parts(member=Fickle), 2, 0), OVER),
    Mutation("sets-settle", "who comes in counts at once", _sets(Parts(recovers=False), 1), OVER),
    Mutation("sets-hasty", "who comes in hears one less", _sets(Parts(voters=Hasty), 1), OVER),
    Mutation("sets-fewer", "half of the voters seal", _sets(Parts(voters=Fewer), 2, 0), OVER),
    Mutation(
        "sets-unsynced", "answers before the disk has them", _sets(Parts(synced=False), 1, crash=1), OVER
    ),
    Mutation("sets-even-fewer", "half of an even set seal", _sets(Parts(voters=Fewer), 2, 0, 4), OVER),
    Mutation("sets-waits", "an emptied disk does not wait", _sets(Parts(waits=False), 1, 2, wipe=1), OVER),
    Mutation(
        "leases-majority",
        "one voter's confirmation is a lease",
        _leases(Parts(majority_confirms=False)),
        OWNER,
    ),
    Mutation(
        "leases-answer", "a lease counts from its answer", _leases(Parts(counts_from_question=False)), OWNER
    ),
    Mutation("leases-draft", "a voter looks at its copy alone", _leases(Parts(heeds_draft=False)), OWNER),
    Mutation(
        "leases-revoked", "what is revoked is renewed", _leases(Parts(shard_table=RevokedRenews)), OWNER
    ),
    Mutation(
        "leases-wait", "a proposer waits for no lease to end", _leases(Parts(waits_out_leases=False)), OWNER
    ),
    Mutation(
        "leases-chosen",
        "the wait begins when the revocation is proposed",
        _leases(Parts(waits_from_chosen=False)),
        OWNER,
    ),
    Mutation(
        "leases-successor",
        "a proposer that comes later does not wait",
        _leases(Parts(successor_waits=False), die=1),
        OWNER,
    ),
    Mutation(
        "leases-start",
        "a sidecar that starts takes unknown holds for released",
        _leases(Parts(waits_after_start=False), BY_BEAT, restart=1),
        OWNER,
    ),
    Mutation(
        "leases-again",
        "what was reported released is granted again",
        _leases(Parts(stays_released=False)),
        OWNER,
    ),
    Mutation(
        "leases-fence",
        "a release counts for any fence",
        _leases(Parts(shard_facts=AnyFence), again=True),
        OWNER,
    ),
    Mutation(
        "leases-answered",
        "a release passes an answer to a beat",
        _leases(Parts(awaits_arrival=False), BY_BEAT),
        OWNER,
    ),
    Mutation(
        "leases-called",
        "a release passes a call without an answer",
        _leases(Parts(awaits_arrival=False), stall=1),
        OWNER,
    ),
    Mutation(
        "leases-earlier-called",
        "a release passes a call of the sidecar's earlier life",
        _leases(Parts(heeds_earlier_calls=False), stall=1, restart=1),
        OWNER,
    ),
    Mutation(
        "leases-ended",
        "the end of a server frees what calls have given it",
        _leases(Parts(ends_by_beat=False), crash=1),
        OWNER,
    ),
    Mutation(
        "leases-transit",
        "a grant is taken to be there at once",
        _leases(Parts(hold_duration=hold_without_transit), stall=1),
        OWNER,
    ),
    Mutation(
        "leases-hold-drift",
        "the server's clock is taken to be right",
        _leases(Parts(hold_duration=hold_without_drift), BY_BEAT),
        OWNER,
    ),
    Mutation(
        "leases-wait-drift",
        "the proposer's clock is taken to be right",
        _leases(Parts(lease_times=times_without_drift), BY_BEAT),
        OWNER,
    ),
    Mutation("leases-fewer", "a revocation on half of the disks", _leases(Parts(voters=Fewer)), OWNER),
    Mutation("leases-hasty", "a wiped voter hears one less", _leases(Parts(voters=Hasty), wipe=1), OWNER),
    Mutation(
        "leases-adopts",
        "a wiped voter does not take over what others have accepted",
        _leases(Parts(adopts=False), wipe=1),
        OWNER,
    ),
    Mutation(
        "leases-waits",
        "a wiped voter does not wait for rounds to be void",
        _leases(Parts(waits=False), wipe=1),
        OWNER,
    ),
)


def play(mutation: Mutation, limit: int = LIMIT) -> tuple[bool, Found]:
    """Whether the property that has to fall did, and what the search came to."""
    found = search(mutation.model(), limit)
    names = {holds.__name__.replace("_", " ") for holds in mutation.falls}
    return found.broken is not None and found.broken.property in names, found
