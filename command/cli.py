"""Sub-commands: run, check, fleet, rehearse, emulate, verify. Each loads what it needs and nothing else."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

PASSED_ON = {"ignore_unknown_options": True, "help_option_names": []}
OUT = Console(highlight=False)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A sidecar load balancer, its fleet, and the tools around it."""


@main.command(context_settings={**PASSED_ON, "allow_extra_args": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def run(words: tuple[str, ...]) -> None:
    """Run one sidecar, as `python -m hollyport` does."""
    from hollyport.__main__ import main as daemon

    sys.exit(daemon(words))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check an operators' file, and say what it switches on."""
    from hollyport.__main__ import main as daemon

    sys.exit(daemon(["--check", file]))


@main.command(context_settings={**PASSED_ON, "allow_extra_args": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def rehearse(words: tuple[str, ...]) -> None:
    """Play a season against the real daemon, as `python -m rehearsal` does."""
    from rehearsal.cli import main as kit

    kit(list(words), prog_name="hollyport rehearse")


@main.command(context_settings={**PASSED_ON, "allow_extra_args": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def verify(words: tuple[str, ...]) -> None:
    """Run the mesh's decisions under every order of messages and faults, as `python -m verify` does."""
    from verify.__main__ import main as explorer

    explorer(words, "hollyport verify")


@main.group()
def fleet() -> None:
    """What sidecars know of each other."""


@fleet.command()
@click.option("--console", "addresses", multiple=True, required=True, metavar="ADDR",
              help="Second address of a sidecar, HOST:PORT; may be given several times.")  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def members(addresses: tuple[str, ...], as_json: bool) -> None:
    """Who lives, as each of some sidecars holds it. Exit 1 where they disagree, 3 where one doesn't
    answer."""
    from command.members import ask, differences

    pages, failed = ask(addresses)
    differing = differences(list(pages.values()))
    if as_json:
        click.echo(json.dumps({"pages": pages, "failed": failed, "differences": differing}, indent=2))
    else:
        _say(pages, failed, differing)
    sys.exit(3 if failed else 1 if differing else 0)


def _say(
    pages: dict[str, dict[str, Any]], failed: dict[str, str], differing: dict[str, dict[str, str]]
) -> None:
    for address, what in failed.items():
        OUT.print(f"{address}: {what}", markup=False)
    if not pages:
        return
    table = Table("member", "hall", *(page["member"] for page in pages.values()), box=None)
    halls: dict[str, str] = {}
    held: dict[str, dict[str, str]] = {}
    for address, page in pages.items():
        halls[page["member"]] = page["hall"]
        held.setdefault(page["member"], {})[address] = "itself"
        for row in page["members"]:
            halls[row["name"]] = row["hall"]
            held.setdefault(row["name"], {})[address] = row["status"]
    for name in sorted(held):
        mark = " *" if name in differing else ""
        table.add_row(name + mark, halls[name], *(held[name].get(address, "-") for address in pages))
    OUT.print(table)
    for page in pages.values():
        told = [word for word in ("alone", "name_in_use", "retired") if page[word]]
        told += [f"health {page['health']}"] if page["health"] else []
        told += [f"refused {why} {count}" for why, count in page["refused"].items()]
        OUT.print(f"{page['member']}: {', '.join(told) or 'well'}", markup=False)


@main.group()
def emulate() -> None:
    """Play the real decisions on fake time."""


@emulate.command("members")
@click.option("--sizes", default="20,200,2000", show_default=True, help="Fleets to play, by members.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--seconds", type=float, default=10.0, show_default=True, help="Of fake time at rest, and at loss."
)
@click.option("--kills", type=int, default=20, show_default=True)
@click.option("--view", type=int, default=64, show_default=True, help="Members that each keeps in view.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--png", "png_file", type=click.Path(dir_okay=False, path_type=Path), help="Draw the figures here."
)
def emulate_members(
    sizes: str,
    seed: int,
    seconds: float,
    kills: int,
    view: int,
    json_file: Path | None,
    png_file: Path | None,
) -> None:
    """Time to detect, false deaths and datagrams a member, as a fleet grows."""
    from command.emulated import draw, rows_of

    try:
        wanted = [int(word) for word in sizes.split(",")]
    except ValueError:
        raise click.BadParameter(f"sizes are whole numbers with commas between, not {sizes!r}") from None
    if min(wanted) < 3:
        raise click.BadParameter("a fleet has three members at least")
    rows = []
    for row in rows_of(wanted, seed, seconds, kills, view, lambda what: click.echo(what, err=True)):
        rows.append(row)
        if json_file is not None:
            json_file.write_text(json.dumps(rows, indent=2) + "\n", encoding="utf-8")
    table = Table("members", *(f"{row['members']:g}" for row in rows), box=None)
    for name in list(rows[0])[1:]:
        table.add_row(name, *(f"{row[name]:g}" for row in rows))
    OUT.print(table)
    if png_file is not None:
        draw(rows, png_file)
