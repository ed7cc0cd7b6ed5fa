"""Prints a capacity plan as a table or as JSON."""

from __future__ import annotations

import json

from mesh.planner import MAX_MEASURED_SIDECARS, MAX_SIDECARS, Plan


def as_json(plan: Plan) -> str:
    """Returns the plan as JSON text."""
    lines = [
        {
            "role": requirement.role.value,
            "figure": requirement.name,
            "unit": requirement.unit,
            "value": requirement.value,
            "limit": requirement.limit,
            "fits": requirement.fits,
            "largest": requirement.max_sidecars,
        }
        for requirement in plan.lines
    ]
    rest = {name: value for name, value in plan._asdict().items() if name != "lines"}
    first = {"role": plan.first.role.value, "figure": plan.first.name, "largest": plan.first.max_sidecars}
    return json.dumps({"lines": lines, "first": first, **rest}, indent=2)


def print_table(plan: Plan) -> None:
    """Prints the plan as a table with a summary."""
    from rich.console import Console
    from rich.table import Table

    table = Table("role", "figure", "value", "limit", "", "fits up to")
    for requirement in plan.lines:
        max_sidecars = (
            f"over {MAX_SIDECARS:,}"
            if requirement.max_sidecars >= MAX_SIDECARS
            else f"{requirement.max_sidecars:,}"
        )
        table.add_row(
            requirement.role.value,
            f"{requirement.name} {requirement.unit}".strip(),
            f"{requirement.value:,.4g}",
            f"{requirement.limit:,.4g}",
            "fits" if requirement.fits else "[bold red]does not fit",
            max_sidecars,
        )
    console = Console()
    console.print(table)
    first = plan.first
    console.print(f"First to fail: {first.role.value}, {first.name}, beyond {first.max_sidecars:,} sidecars.")
    console.print(f"{plan.voters} voters, {plan.learners} learners.")
    console.print(f"{plan.machines_down} voters may be down, {plan.disks_lost} may lose their disks.")
    console.print("Any one zone may be lost." if plan.zone_down else "No zone may be lost as a whole.")
    if plan.drawn_on:
        console.print(
            f"Beyond {MAX_MEASURED_SIDECARS} sidecars nothing was measured: values are extrapolated."
        )
