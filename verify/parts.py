"""The code under test, and the rules of those that carry it, each of which a mutation may take out.

What decides is the mesh's own: nothing of it is written again here. What carries it (`orchard.barn`,
`orchard.stile`) waits, writes and sends; the models go through the same messages in the same order, and where
the carriers hold to a rule that safety rests on, the rule is a figure here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from expression import Result

from orchard import catalog, consensus
from orchard.ballot import Member
from orchard.catalog import Clash, Item, Items, Table
from orchard.consensus import Plan, Promise, Replica
from orchard.keys import Claim, Registry
from orchard.quorum import Voters

CLAIM_S = 1.0  # `orchard.stile.CLAIM_S` and `orchard.barn.CLAIM_S`: a test holds them together
TICK_S = 0.55  # a step of time: a round may last one of these, and a wiped barn waits for two


@dataclass(frozen=True)
class Parts:
    """What a model runs. Each default is the mesh's."""

    merge: Callable[[Items, Iterable[Item]], Items] = catalog.merge
    change: Callable[[Items, Iterable[Item]], Result[tuple[Item, ...], str]] = catalog.change
    table: Callable[[Items], tuple[Table, list[Clash]]] = catalog.table
    registry: Callable[[float], Registry] = Registry
    claim: Callable[[int, int, float, float], Claim] = Claim
    voters: Callable[[int, tuple[str, ...]], Voters] = Voters
    replica: type[Replica] = Replica
    plan: Callable[[Mapping[str, Promise], int], Plan] = consensus.plan
    member: Callable[[str], Member] = Member
    # Rules of the carriers.
    synced: bool = True  # an answer waits until what it says lies on the disk
    recovers: bool = True  # a wiped barn asks before it counts
    waits: bool = True  # and asks only once all rounds from before are void
    frees_own: bool = True  # a claimant frees what it did not run with, and nothing else
    counts_late: bool = True  # a wiped barn counts once what it was told lies on its disk, not sooner
    obeys: bool = True  # a proposal takes over what a voter that it bound has accepted
    adopts: bool = True  # a wiped barn takes over what others have accepted and promised
