"""The operator: changes the configuration at any controller, goes on to others after a failure, reads it
back."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterator
from typing import Any

from rehearsal.mesh import wire
from rehearsal.mesh.field import NO_SHARDING, SERVICES, Machine, Sharding
from rehearsal.mesh.judge import Change, History, Items

HOST = "mesh.example"
PATHS = {
    "pure": ("/sailings/", "ferry"),
    "effectful": ("/bookings/", "till"),
    "idempotent": ("/berths/", "till"),
}
SPARE = 12  # routes that no client asks for, set and dropped all the time
FIRST_PAUSE_S, LAST_PAUSE_S = 0.05, 0.4
PACE_S = 0.12
MAX_BODY_BYTES = 1 << 20
CALL_S = 10.0  # after so long a call is given up
ENDS = frozenset({200, 400, 409, 412, 413, 422})


def rule(
    name: str, variant: str, prefix: str, service: str, version: int, timeout: str = "2s"
) -> dict[str, Any]:
    """A route, as it stands in a call."""
    return {
        "name": name,
        "variant": variant,
        "target": "300ms",
        "priority": 1,
        "revision": f"r{version}",
        "matcher": {"path_prefix": prefix},
        "effect": {"service": service, "timeout": timeout, "max_attempts": 2},
    }


def cluster(name: str, version: int, sharding: Sharding) -> dict[str, Any]:
    """A service, as it stands in a call."""
    told: dict[str, Any] = {
        "name": name,
        "health_path": "/health",
        "max_conns": 80,
        "protocol": "h1",
        "tls": False,
        "idempotent": False,
        "revision": f"r{version}",
    }
    if name in sharding.services:
        told |= {"sharded": True, "warm": f"{sharding.warm_s:g}s", "grants": sharding.grants}
    return told


def laid_out(raw: dict[str, Any]) -> dict[str, Any]:
    """What is told under `upserts`, by item."""
    found: dict[str, Any] = {}
    if "limit_set" in raw:
        found["limit"] = raw["limit_set"]
    for listener in raw.get("listener_list", []):
        for route in listener["rule_set"]:
            found[f"route/{route['name']}"] = {"hostname": listener["hostname"], "rule": route}
    for cluster in raw.get("cluster_list", []):
        found[f"service/{cluster['name']}"] = cluster
    return found


def _version(content: dict[str, Any]) -> int:
    return int(content.get("rule", content)["revision"][1:])


class Operator:
    """One of them. Several share their versions, and overtake each other."""

    def __init__(
        self,
        controllers: list[Machine],
        history: History,
        draw: random.Random,
        versions: Iterator[int],
        sharding: Sharding = NO_SHARDING,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes  # of a request, as the configuration tells it
        self._controllers, self._history, self._draw, self._versions = controllers, history, draw, versions
        self._sharding = sharding
        self.stopping = False
        self.acknowledged: Callable[[Machine], None] | None = None  # told in the turn that an answer came in

    async def change(
        self, upserts: dict[str, Any], drops: list[str], version: int, valid: bool = True
    ) -> int:
        """Send a call until it is answered, to one controller after the other; the status, or 0."""
        items: dict[str, Any] = {**laid_out(upserts), **{f"route/{name}": None for name in drops}}
        told = Change(version, items, valid)
        self._history.changes.append(told)
        removals = {"route_list": [{"name": name, "revision": f"r{version}"} for name in drops]}
        body = json.dumps({"upserts": upserts, "removals": removals}).encode()
        answer = await self._insist(body)
        told.status = answer.status if answer is not None else 0
        return told.status

    async def _insist(self, body: bytes) -> wire.Message | None:
        loop = asyncio.get_running_loop()
        until, pause = loop.time() + CALL_S, FIRST_PAUSE_S
        at = self._draw.randrange(len(self._controllers))
        while loop.time() < until:
            controller = self._controllers[at % len(self._controllers)]
            answer = await wire.ask(controller.at("control"), "PATCH", "/-/config", body)
            if answer is not None and answer.status in ENDS:
                if answer.status == 200 and self.acknowledged is not None:
                    self.acknowledged(controller)
                return answer
            at += 1
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, LAST_PAUSE_S)
        return None

    async def first(self) -> int:
        """The call that has every item."""
        version = next(self._versions)
        rules = [rule(kind, kind, prefix, to, version) for kind, (prefix, to) in PATHS.items()]
        clusters = [cluster(name, version, self._sharding) for name in SERVICES]
        limits = {"max_body_bytes": self._max_body_bytes, "revision": f"r{version}"}
        upserts = {
            "limit_set": limits,
            "listener_list": [{"hostname": HOST, "rule_set": rules}],
            "cluster_list": clusters,
        }
        return await self.change(upserts, [], version)

    async def run(self) -> None:
        """Change spare routes, and now and then try what is invalid."""
        draw = self._draw
        while not self.stopping:
            version = next(self._versions)
            names = draw.sample(range(SPARE), draw.randint(1, 3))
            drops = [f"spare{number}" for number in names if draw.random() < 0.3]
            rules = [
                rule(
                    f"spare{number}",
                    "pure",
                    f"/spare{number}/",
                    draw.choice(SERVICES),
                    version,
                    f"{draw.randint(1, 9)}s",
                )
                for number in names
                if f"spare{number}" not in drops
            ]
            valid = draw.random() < 0.9
            if not valid:
                rules.append(rule(f"wrong{version}", "pure", f"/wrong{version}/", "nowhere", version))
            upserts = {"listener_list": [{"hostname": HOST, "rule_set": rules}]}
            await self.change(upserts, drops, version, valid=valid)
            await asyncio.sleep(PACE_S * draw.uniform(0.5, 1.5))

    async def read(self, controller: Machine, limit_s: float) -> Items | None:
        """The configuration as one controller tells it; None where it does not."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while loop.time() < until:
            answer = await wire.ask(controller.at("control"), "GET", "/-/config")
            if answer is not None and answer.status == 200:
                found = laid_out(json.loads(answer.body))
                return {name: (_version(content), content) for name, content in found.items()}
            await asyncio.sleep(FIRST_PAUSE_S)
        return None
