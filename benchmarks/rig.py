"""How much the rehearsal rig holds on this machine before it runs late itself.

    python -m benchmarks.rig [--rates 600,1200,2400] [--json FILE]

Plays a season's load and a deploy at rising rates, nodes and daemons in proportion (140 and 8 daemons at
1,200 calls a second), and prints how late the rig was. Wants an idle machine; a play takes 25 s.
"""

from __future__ import annotations

import argparse
import json
import math
import subprocess
import sys
import tempfile
from pathlib import Path

SCENARIO = """include = ["{base}"]
title = "How much the rig holds"
seconds = {seconds}
drop = ["fault.deploy", "fault.resets", "fault.reload", "fault.neighbours", "fault.deaths", "fault.restarts",
        "fault.flood"]

[scale.rig]
nodes = {nodes}
daemons = {daemons}
rate = {rate}
hosts = {hosts}
callers = {callers}

[fault.replaced]
kind = "deploy"
at = 5
lasts = {lasts}
part = 0.6

[pass]
rig_late_ms = {late}
"""
LATE_MS = 25.0
SECONDS = 18


def play(rate: int, folder: Path) -> dict[str, object]:
    """One play at a rate; the part of its report that matters here."""
    import rehearsal

    hosts, callers = min(8, math.ceil(rate / 450)), min(8, math.ceil(rate / 700))
    path, out = folder / f"rate-{rate}.toml", folder / f"rate-{rate}.json"
    path.write_text(
        SCENARIO.format(
            base=Path(rehearsal.__file__).parent / "scenarios" / "season.toml",
            seconds=SECONDS,
            lasts=SECONDS - 6,
            nodes=min(400, round(rate * 140 / 1200)),
            daemons=max(1, round(rate * 8 / 1200)),
            rate=rate,
            hosts=hosts,
            callers=callers,
            late=LATE_MS,
        ),
        encoding="utf-8",
    )
    words = [sys.executable, "-m", "rehearsal", "run", str(path), "--scale", "rig", "--json", str(out)]
    subprocess.run(words, check=False, stdout=subprocess.DEVNULL)
    report = json.loads(out.read_text(encoding="utf-8"))
    return {
        "rate": report["rate"],
        "nodes": report["rig"]["nodes"],
        "daemons": report["rig"]["daemons"],
        "processes": hosts + callers,
        "late_ms_p99": report["rig"]["late_ms_p99"],
        "by_process": report["rig"]["by_process"],
        "probes_a_second": round(report["probes"] / SECONDS),
        "served_worth": report["served_worth"],
        "verdict": report["verdict"],
        "daemons_cpu_s": report["daemon"]["cpu"]["seconds"],
        "ms_per_try": report["daemon"]["cpu"]["ms_per_try"],
    }


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rates", default="600,1200,1800,2400,3000")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    rows = []
    print("calls/s  nodes  daemons  rig processes  rig late p99  probes/s  served worth")
    with tempfile.TemporaryDirectory() as folder:
        for rate in [int(text) for text in told.rates.split(",")]:
            row = play(rate, Path(folder))
            rows.append(row)
            line = f"{row['rate']:>7}  {row['nodes']:>5}  {row['daemons']:>7}  {row['processes']:>13}"
            late = f"{row['late_ms_p99']:>9} ms  {row['probes_a_second']:>8}  {row['served_worth']:>12}"
            print(f"{line}  {late}", flush=True)
    if told.json:
        told.json.write_text(json.dumps(rows, indent=2) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
