"""What a growing fleet of sidecars asks of servers and discovery, counted on fake time.

    python -m benchmarks.fleet [--sizes 10,40,160,400] [--json FILE]

Each size plays the real module with three servers to two sidecars, the same load a server, one sidecar in
four with ten times the calls of the others; one server in twenty stands still for a while in the middle. All
start in one instant. The figures do not depend on the machine.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from emulator.crowd import SECOND, Crowd, nodes

CALLS = 14.0  # calls a second and server, of 25 that one can do
CALM_S, STILL_S, AFTER_S = 5.0, 5.0, 4.0
LINES = 1000.0  # lines a second that discovery writes, for each 40 sidecars


def play(sidecars: int, seed: int) -> dict[str, Any]:
    """One size; figures a second and server, or a second and sidecar, as named."""
    servers = sidecars * 3 // 2
    crowd = Crowd(nodes(servers), sidecars, seed, capacity=LINES * sidecars / 40 * (40 + servers) / 100)
    uneven = [10.0 if i % 4 == 0 else 1.0 for i in range(sidecars)]
    crowd.load(CALLS * servers, CALM_S + STILL_S + AFTER_S, uneven)
    crowd.run(CALM_S)
    for node in list(crowd.nodes.values())[::20]:
        node.mode = "silent"
    crowd.run(STILL_S)
    for node in crowd.nodes.values():
        node.mode = "good"
    crowd.run(AFTER_S)
    seconds = CALM_S + STILL_S + AFTER_S
    users: dict[str, set[int]] = {name: set() for name in crowd.nodes}
    for _, sidecar, server in crowd.sent:
        users[server].add(sidecar)
    open_to = [len(found) for found in users.values()]
    probed = [node.probed / seconds for node in crowd.nodes.values()]
    slots = Counter((when - SECOND) * 10 // SECOND for when in crowd.asked)
    return {
        "sidecars": sidecars,
        "servers": servers,
        "served": round(crowd.ends["served"] / crowd.ends.total(), 3),
        "sidecars a server, mean": round(sum(open_to) / servers, 1),
        "sidecars a server, most": max(open_to),
        "probes a server and second, mean": round(sum(probed) / servers, 2),
        "probes a server and second, most": round(max(probed), 2),
        "calls for lists a sidecar": round(len(crowd.asked) / sidecars, 2),
        "most in a tenth of a second": round(max(slots.values()) / sidecars, 2),
        "without a list at the end": sidecars - len(crowd.listed_at),
    }


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--sizes", default="10,40,160,400")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    told = parser.parse_args(arguments)
    rows = []
    for size in map(int, told.sizes.split(",")):
        rows.append(play(size, told.seed))
        print("; ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
    if told.json:
        told.json.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
