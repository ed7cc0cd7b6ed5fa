"""What a played day lost, by cause: from the reports that `fleetbench run SITE DAY --report FILE` writes.

    python -m benchmarks.lost_worth REPORT... [--json] [--after 4]

Requests that were late, refused or failed are counted by what was happening in their window of two seconds:
every event that began before its end and ended less than `--after` seconds before its begin, or "calm". Where
several events overlap, their names stand together: what each of them cost can't be told apart. Prices are
listed as the report has them. Shares are parts of all requests of the day; late ones have a part of their
worth.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

WINDOW_S = 2.0
CALM = "calm"
LEAST_PRICE = 0.0005  # what is less is left out of the table


class Cause(NamedTuple):
    """What was lost while something happened."""

    name: str
    windows: int = 0
    asked: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, window: Mapping[str, Any]) -> Cause:
        """With one more window."""
        return Cause(
            self.name,
            self.windows + 1,
            self.asked + window["n"],
            self.late + window["late"],
            self.refused + window["refused"],
            self.failed + window["failed"],
        )

    @property
    def lost(self) -> int:
        """Requests that were not served in their aim."""
        return self.late + self.refused + self.failed


def happening(window: Mapping[str, Any], events: Sequence[Mapping[str, Any]], after_s: float) -> str:
    """What was going on in a window, or shortly before."""
    begins = float(window["name"])
    names = {
        event["kind"]
        for event in events
        if event["at_s"] < begins + WINDOW_S and event["to_s"] + after_s > begins
    }
    return " + ".join(sorted(names)) or CALM


def causes(report: Mapping[str, Any], after_s: float) -> list[Cause]:
    """The causes of a report, the dearest first."""
    found: dict[str, Cause] = {}
    for window in report["windows"]:
        name = happening(window, report["events"], after_s)
        found[name] = found.get(name, Cause(name)).add(window)
    return sorted(found.values(), key=lambda cause: -cause.lost)


def prices(report: Mapping[str, Any]) -> list[tuple[str, float]]:
    """The prices that count, the highest first."""
    found = [(name, price) for name, _, price in report["prices"] if price >= LEAST_PRICE]
    return sorted(found, key=lambda pair: -pair[1])


def as_json(report: Mapping[str, Any], after_s: float) -> dict[str, Any]:
    """Both, for programs."""
    return {
        "causes": [cause._asdict() | {"lost": cause.lost} for cause in causes(report, after_s)],
        "prices": dict(prices(report)),
    }


def print_table(title: str, report: Mapping[str, Any], after_s: float) -> None:
    """Both, for people."""
    whole = max(1, sum(window["n"] for window in report["windows"]))
    table = Table("while", "windows", "asked", "late", "refused", "failed", "of all", title=title)
    for cause in causes(report, after_s):
        numbers = (cause.windows, cause.asked, cause.late, cause.refused, cause.failed)
        table.add_row(cause.name, *map(str, numbers), f"{cause.lost / whole:.2%}")
    console = Console()
    console.print(table)
    for name, price in prices(report):
        console.print(f"{price:8.4f} {name}")


def main(words: list[str]) -> int:
    """Print the table of each report; 2 where one can't be read."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lost_worth", description=__doc__)
    parser.add_argument("reports", nargs="+", type=Path)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--after", type=float, default=4.0)
    told = parser.parse_args(words)
    for path in told.reports:
        try:
            report = json.loads(path.read_text(encoding="utf-8"))
            made = as_json(report, told.after)
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"{path}: no report of a day: {error!r}", file=sys.stderr)
            return 2
        if told.json:
            print(json.dumps({"report": str(path), **made}))
        else:
            print_table(path.name, report, told.after)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
