"""The code under test, and the rules of those that carry it, each of which a mutation may take out.

What decides is the mesh's own: nothing of it is written again here. What carries it
(`mesh.control.controller`, `mesh.proxy.sidecar`) waits, writes and sends; the models go through the same
messages in the same order, and where the carriers hold to a rule that safety rests on, the rule is a figure
here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from expression import Result

from mesh.control import consensus
from mesh.control.ballot import Member
from mesh.control.consensus import Plan, Promise, Replica
from mesh.control.shard_facts import ShardFacts
from mesh.state import configuration, key_leases
from mesh.state.configuration import Conflict, Item, Items, RoutingTable
from mesh.state.idempotency import Claim, Registry
from mesh.state.key_leases import LeaseBook, LeaseTimes
from mesh.state.quorum import Voters
from mesh.state.shards import ShardTable

# `mesh.proxy.key_claims.ROUND_TIMEOUT_S` and `mesh.control.context.CLAIM_TIMEOUT_S`; a test compares them
CLAIM_S = 1.0
TICK_S = 0.55  # a step of time: a round may last one of these, and a wiped controller waits for two


@dataclass(frozen=True)
class Parts:
    """What a model runs. Each default is the mesh's."""

    merge: Callable[[Items, Iterable[Item]], Items] = configuration.merge
    change: Callable[[Items, Iterable[Item]], Result[tuple[Item, ...], str]] = configuration.validate_change
    table: Callable[[Items], tuple[RoutingTable, list[Conflict]]] = configuration.build_table
    registry: Callable[[float], Registry] = Registry
    claim: Callable[[int, int, float, float], Claim] = Claim
    voters: Callable[[int, tuple[str, ...]], Voters] = Voters
    replica: type[Replica] = Replica
    plan: Callable[[Mapping[str, Promise], int], Plan] = consensus.plan
    member: Callable[[str], Member] = Member
    shard_table: type[ShardTable] = ShardTable
    shard_facts: type[ShardFacts] = ShardFacts
    lease_book: type[LeaseBook] = LeaseBook
    lease_times: Callable[[float], LeaseTimes] = LeaseTimes.of_bound
    hold_duration: Callable[[float, float, float], float] = key_leases.hold_duration
    # Rules of the carriers.
    synced: bool = True  # an answer waits until what it says lies on the disk
    recovers: bool = True  # a wiped controller asks before it counts
    waits: bool = True  # and asks only once all rounds from before are void
    frees_own: bool = True  # a claimant frees what it did not run with, and nothing else
    counts_late: bool = True  # a wiped controller counts once what it was told lies on its disk, not sooner
    obeys: bool = True  # a proposal takes over what a voter that it bound has accepted
    adopts: bool = True  # a wiped controller takes over what others have accepted and promised
    # Rules of those that carry leases.
    majority_confirms: bool = True  # one voter's confirmation is no lease
    counts_from_question: bool = True  # a lease counts from when its question was sent, not from its answer
    heeds_draft: bool = True  # a voter confirms nothing that a change which it has accepted takes away
    waits_out_leases: bool = True  # what is revoked is assigned again once all leases have ended
    waits_from_chosen: bool = True  # the wait begins when the revocation is chosen, not when it is proposed
    successor_waits: bool = True  # a proposer that comes later waits as long
    waits_after_start: bool = True  # a sidecar that starts does not take unknown holds for released
    stays_released: bool = True  # what was reported released is not granted again
    awaits_arrival: bool = True  # a release counts once no older grant is on its way to the server
    ends_by_beat: bool = True  # the end of a server frees its ranges only where answers to beats give them
    heeds_earlier_calls: bool = (
        True  # a sidecar that starts takes calls of its earlier life to be on their way
    )
