"""How soon twelve real daemons know that one is dead, beside the same on fake time; and minutes at loss.

    python -m benchmarks.detection [--kills 100] [--loss-s 0] [--busy 4] [--json FILE]

Kills come two at a time, every 6 s, in one play of the rehearsal kit with all its judging; `--loss-s`
plays so long at 30% loss instead. `--busy` processes use up a core each beside it. A member is known dead
when the last of those that ran has said so.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from emulator.members import World, universe

EVERY_S, BACK_S, MOST_S = 6.0, 3.5, 3.5
MEMBERS = 12
HEAD = (
    'include = ["{fleet}"]\ntitle = "{title}"\nseconds = {seconds}\n[scale.small]\nload = 0.1\n'
    "[pass]\nrig_late_ms = 150\nmemory_growth_mb = 60\n"
)
FLEET = Path(__file__).parent.parent / "rehearsal" / "scenarios" / "_fleet.toml"


def scenario(kills: int, loss_s: float) -> str:
    """The play's file."""
    if loss_s:
        text = HEAD.format(fleet=FLEET, title="At 30% loss", seconds=loss_s + 6)
        return text + f'[fault.loss]\nkind = "links"\nat = 2\nlasts = {loss_s}\nlost = 0.3\n'
    pairs = math.ceil(kills / 2)
    text = HEAD.format(fleet=FLEET, title="Kills", seconds=10 + EVERY_S * pairs)
    for n in range(pairs):
        text += (
            f'[fault.k{n}]\nkind = "daemon-kill"\nat = {4 + EVERY_S * n}\npart = 0.17\nback_s = {BACK_S}\n'
        )
    return text


def real(text: str, busy: int) -> dict[str, Any]:
    """Play it, and take the times from the kept records."""
    beside = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(busy)]
    with tempfile.TemporaryDirectory() as name:
        try:
            path, kept = Path(name) / "play.toml", Path(name) / "kept"
            path.write_text(text, encoding="utf-8")
            words = [sys.executable, "-m", "rehearsal", "run", str(path), "--quiet", "--keep", str(kept)]
            subprocess.run(words, stdout=subprocess.DEVNULL, check=False)
        finally:
            for process in beside:
                process.kill()
                process.wait()
        report = json.loads((kept / "report.json").read_text(encoding="utf-8"))
        lines = (kept / "records.jsonl").read_text(encoding="utf-8").splitlines()
        rows = [json.loads(line) for line in lines if line.startswith(('["life"', '["fleet"'))]
    kills = [(row[1], row[2]) for row in rows if row[0] == "life" and row[3] == "killed"]
    dead = [(row[1], row[2], row[4]["member"]) for row in rows if row[0] == "fleet" and row[3] == "dead"]
    took = []
    for n, t in kills:
        others = {
            w for w in range(MEMBERS) if not any(w == k and abs(x - t) < EVERY_S * 5e5 for k, x in kills)
        }
        told = [at for at, who, of in dead if of == f"d{n}" and who in others and t <= at <= t + MOST_S * 1e6]
        whole = {who for at, who, of in dead if of == f"d{n}" and t <= at <= t + MOST_S * 1e6} >= others
        took.append((max(told) - t) / 1e6 if whole and told else math.inf)
    living = [d for d in dead if not any(d[2] == f"d{k}" and x <= d[0] <= x + 9e6 for k, x in kills)]
    return {
        "verdict": report["verdict"], "reasons": report["reasons"], "kills": len(kills),
        "false_deaths": len(living), "suspicions": sum(r[0] == "fleet" and r[3] == "suspect" for r in rows),
        **_spread(took),
    }  # fmt: skip


def fake(kills: int) -> dict[str, Any]:
    """The same number of kills, two at a time, on fake time."""
    world = World(universe(MEMBERS), seed=1)
    world.start(world.universe.hall, 0.5)
    world.run(3.0)
    draw, took = world.streams.of("kills"), []
    for _ in range(math.ceil(kills / 2)):
        chosen = draw.sample(sorted(world.universe.hall), 2)
        for name in chosen:
            world.kill(name)
        world.seen.clear()
        began = world.now
        world.run(BACK_S)
        for name in chosen:
            told = [s.t for s in world.seen if s.event.name == "dead" and s.event.fields["member"] == name]
            took.append(max(told) - began if len(told) == len(world.running) else math.inf)
        for name in chosen:
            world.begin(name)
        world.run(EVERY_S - BACK_S)
    return _spread(took)


def _spread(took: list[float]) -> dict[str, Any]:
    if not took:
        return {}
    took.sort()
    return {
        "median_s": round(statistics.median(took), 2),
        "p99_s": round(took[math.ceil(len(took) * 0.99) - 1], 2), "most_s": round(took[-1], 2),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--loss-s", type=float, default=0.0)
    parser.add_argument("--busy", type=int, default=4)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    made: dict[str, Any] = {"real": real(scenario(told.kills, told.loss_s), told.busy)}
    if not told.loss_s:
        made["fake"] = fake(told.kills)
    print(json.dumps(made, indent=2))
    if told.json:
        Path(told.json).write_text(json.dumps(made, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
