"""What a client does after a try, and what textbook balancers without a sidecar do. No I/O."""

from __future__ import annotations

import random
from collections.abc import Mapping

from rehearsal.plan import Call

SERVED, REFUSED, FAILED = "served", "refused", "failed"
BROKEN = "broken"  # the connection ended with no whole answer
UNTAKEN = "untaken"  # it could not connect: nothing was taken
SILENT = "silent"  # no answer when its patience was up
WRONG = "wrong"  # served with what no node made for it
LEFT = "left"  # the client left by itself
TOLD = "told"  # a oneway call is written; what became of it only nodes can say
DONE = frozenset({SERVED, LEFT, WRONG, TOLD})


def wait_before_retry(
    call: Call, repeat: str, tries: int, outcome: str, retry_after_us: int | None, longest_us: int
) -> int | None:
    """How long after the end of try number `tries` (from 1) the client tries again; None if it does not.

    What may not run twice is tried again only where nothing was taken or a refusal says that it is harmless.
    """
    if outcome in DONE or tries > call.retries:
        return None
    if repeat == "unsafe" and outcome not in (REFUSED, UNTAKEN):
        return None
    wait = call.pause_us
    if call.honour and outcome == REFUSED and retry_after_us is not None:
        wait = max(wait, min(retry_after_us, longest_us))
    return wait


class Textbook:
    """One client process that balances by itself, over the node list as it last had it."""

    POLICIES = ("random", "round-robin", "least-inflight")

    def __init__(self, policy: str, seed: str) -> None:
        if policy not in self.POLICIES:
            raise ValueError(f"no such policy: {policy}; there are {', '.join(self.POLICIES)}")
        self._policy = policy
        self._random = random.Random(seed)
        self._serving: dict[str, str] = {}  # address by name
        self._order: list[str] = []
        self._turn = 0
        self._inflight: dict[str, int] = {}

    def update(self, listing: Mapping[str, object]) -> None:
        """Take in a list, or changes of it, in the protocol's form."""
        lines = listing.get("endpoints")
        if listing.get("snapshot"):
            self._serving = {}
        for line in lines if isinstance(lines, list) else ():
            if line["status"] == "SERVING":
                self._serving[line["name"]] = line["address"]
            else:
                self._serving.pop(line["name"], None)
        self._order = sorted(self._serving.values())

    def pick(self) -> str | None:
        """Where the next call goes; `ended` must follow with the same address."""
        if not self._order:
            return None
        if self._policy == "random":
            address = self._random.choice(self._order)
        elif self._policy == "round-robin":
            if not self._turn:
                self._turn = self._random.randrange(len(self._order))
            self._turn += 1
            address = self._order[self._turn % len(self._order)]
        else:
            least = min(self._inflight.get(a, 0) for a in self._order)
            address = self._random.choice([a for a in self._order if self._inflight.get(a, 0) == least])
        self._inflight[address] = self._inflight.get(address, 0) + 1
        return address

    def ended(self, address: str) -> None:
        """A call there is over."""
        left = self._inflight.get(address, 0) - 1
        if left > 0:
            self._inflight[address] = left
        else:
            self._inflight.pop(address, None)
