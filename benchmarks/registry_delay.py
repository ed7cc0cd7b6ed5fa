"""From a registry's word that a node drains to the last new request that it is sent, by polling interval.

    python -m benchmarks.registry_delay [--intervals 0.25,1,5] [--json FILE]

Plays drains on a Eureka registry with real daemons and reads the nodes' records; a play takes about 16 s. The
rule counts its second from when the daemon saw the word; this counts from when the registry had it.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from rehearsal.judge import Records
from rehearsal.plan import FOREVER, Plan, loads

SCENARIO = """include = ["{base}"]
title = "Drains on a registry"
seconds = 13
[list]
eureka_interval_s = {interval}
[scale.small]
nodes = 40
load = 0.5
{faults}
[pass]
rig_late_ms = 50
"""
FAULT = """[fault.drain{n}]
kind = "flap"
at = {at}
lasts = 7
every_s = 30
part = 0.12
"""


def delays(plan: Plan, records: Records) -> list[float]:
    """For each drain and daemon that sent there of late: milliseconds from the registry's word to the last
    send. The node itself knows nothing of it, and answers probes as ever: the word is all there is."""
    daemon_of = {sent.rid: sent.daemon for sent in records.tries}
    sends: dict[tuple[int, int], list[int]] = {}
    for attempt in records.attempts:
        if attempt.rid in daemon_of:
            sends.setdefault((daemon_of[attempt.rid], attempt.node), []).append(attempt.first)
    found = []
    for out in plan.events:
        if out.target != "flap" or out.what != "out":
            continue
        back = min((e.t_us for e in plan.events if e.which == out.which and e.what == "in"), default=FOREVER)
        for daemon in range(len(plan.daemons)):
            times = [t for t in sends.get((daemon, out.which), ()) if out.t_us - 1_500_000 <= t < back]
            if times:
                found.append(max(0.0, (max(times) - out.t_us) / 1000))
    return sorted(found)


def play(interval: float, folder: Path) -> dict[str, object]:
    """One play at one interval."""
    import rehearsal

    path, kept = folder / "drains.toml", folder / f"kept-{interval}"
    faults = "".join(FAULT.format(n=n, at=1.5 + 0.9 * n) for n in range(5))
    base = Path(rehearsal.__file__).parent / "scenarios" / "_eureka.toml"
    path.write_text(SCENARIO.format(base=base, interval=interval, faults=faults), encoding="utf-8")
    words = [sys.executable, "-m", "rehearsal", "run", str(path), "--keep", str(kept), "--quiet"]
    subprocess.run(words, check=False, stdout=subprocess.DEVNULL)
    report = json.loads((kept / "report.json").read_text(encoding="utf-8"))
    records = Records()
    with open(kept / "records.jsonl", encoding="utf-8") as file:
        records.take(json.loads(text) for text in file)
    took = delays(loads((kept / "plan.jsonl").read_bytes()), records)

    def at(part: float) -> float:
        return round(took[min(len(took) - 1, int(len(took) * part))]) if took else 0

    return {"interval_s": interval, "drains": len(took), "p50_ms": at(0.5), "p90_ms": at(0.9),
            "p99_ms": at(0.99),
            "most_ms": at(1.0),
            "drained_broken": report["rules"]["drained"]["count"],
            "served_worth": report["served_worth"]}  # fmt: skip


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--intervals", default="0.25,1,2,5")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    rows = []
    print("interval    p50    p90    p99   most  broken  (ms from the registry's word to the last new send)")
    with tempfile.TemporaryDirectory() as folder:
        for interval in [float(text) for text in told.intervals.split(",")]:
            row = play(interval, Path(folder))
            rows.append(row)
            times = " ".join(f"{row[key]:>6}" for key in ("p50_ms", "p90_ms", "p99_ms", "most_ms"))
            print(f"{interval:>6} s  {times}  {row['drained_broken']:>6}", flush=True)
    if told.json:
        told.json.write_text(json.dumps(rows, indent=2) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
