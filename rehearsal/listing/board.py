"""What the node list knows, version by version. No I/O; times are microseconds of the play.

The list is late and knows only whether a process runs: the plan says what it learns and when. What a daemon
has been told is kept here too, for the rule on drains counts from there.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from rehearsal.listing.telling import Telling
from rehearsal.plan import FIRST_VERSION, News, Plan


class Line(NamedTuple):
    """One node as the list knows it, and the version that brought it."""

    status: str
    since_us: int
    version: int
    speaks: str = ""


class Board:
    """The list, and what each daemon has been told of it."""

    def __init__(self, plan: Plan, telling: Telling | None = None) -> None:
        self._plan = plan
        self.version = FIRST_VERSION
        self.lines: dict[int, Line] = {
            number: Line("SERVING", 0, FIRST_VERSION, node.speaks)
            for number, node in enumerate(plan.nodes)
            if node.born_us < 0
        }
        self._oldest = FIRST_VERSION  # changes from before are not known to this list
        self._told: list[dict[int, tuple[str, int]]] = [dict(self._now()) for _ in plan.daemons]
        self.telling = telling or Telling(len(plan.daemons), self._now())

    def _now(self) -> dict[int, tuple[str, int]]:
        return {n: (line.status, line.since_us) for n, line in self.lines.items() if line.status != "DELETED"}

    @property
    def records(self) -> list[list[Any]]:
        """What was told, as rows for the judge."""
        return self.telling.records

    def learn(self, news: News) -> None:
        """Take in one piece of news."""
        self.version += 1
        before = self.lines.get(news.node)
        speaks = news.speaks or (before.speaks if before else self._plan.nodes[news.node].speaks)
        self.lines[news.node] = Line(news.status, news.since_us, self.version, speaks)

    def forget(self) -> None:
        """Come back after an outage with version numbers that begin anew."""
        self.version = self._oldest = 1
        self.lines = {
            n: line._replace(version=1) for n, line in self.lines.items() if line.status != "DELETED"
        }

    def newer(self, after: int | None) -> bool:
        """Whether there is anything to tell a watch that knows this version."""
        return after is None or after != self.version

    def answer(
        self, after: int | None, daemon: int, t_us: int, start_unix_ms: int, addresses: dict[int, str]
    ) -> dict[str, Any]:
        """The list, or its changes, in the protocol's form, as told to one daemon at a time."""
        whole = after is None or after > self.version or after < self._oldest
        if whole:
            lines = {n: line for n, line in self.lines.items() if line.status != "DELETED"}
        else:
            assert after is not None
            lines = {n: line for n, line in self.lines.items() if line.version > after}
        told = {n: (line.status, line.since_us) for n, line in lines.items()}
        before = self._told[daemon]
        if whole:
            told.update({n: ("DELETED", 0) for n in before if n not in told})
        for node, state in told.items():
            if before.get(node) != state:
                self.telling.say(daemon, t_us, "platform", node, state[0], state[1])
            if state[0] == "DELETED":
                before.pop(node, None)
            else:
                before[node] = state
        return {
            "index": self.version,
            "snapshot": whole,
            "endpoints": [
                self._endpoint(n, line.status, line.since_us, start_unix_ms, addresses[n])
                for n, line in sorted(lines.items())
            ],
        }

    def known(self, daemon: int, start_unix_ms: int, addresses: dict[int, str]) -> dict[str, Any]:
        """The list as this daemon last had it, for its configuration at a start."""
        return {
            "index": 0,
            "snapshot": True,
            "endpoints": [
                self._endpoint(n, status, since, start_unix_ms, addresses[n])
                for n, (status, since) in sorted(self.telling.known(daemon).items())
            ],
        }

    def _endpoint(
        self, number: int, status: str, since_us: int, start_ms: int, address: str
    ) -> dict[str, Any]:
        node = self._plan.nodes[number]
        line = self.lines.get(number)
        speaks = line.speaks if line is not None else node.speaks
        return {
            **({"protocol": f"thrift/{speaks}"} if speaks else {}),
            "name": node.name,
            "address": address,
            "zone": self._plan.halls[node.hall],
            "type": "std-1c",
            "group": node.cell,
            "status": status,
            "weight": 1.0,
            "since_ms": start_ms + since_us // 1000 if since_us > 0 else 0,
        }
