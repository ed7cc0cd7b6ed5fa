"""The command line: list, check, run, replay, compare, page.

Exit codes: 0 pass, 1 fail, 2 unusable input (the message names file, line and key), 3 void.
"""

from __future__ import annotations

import asyncio
import json
import shlex
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from rehearsal import plan as planning
from rehearsal import scenario as scenarios
from rehearsal.clients.policy import Textbook
from rehearsal.criteria import EXIT, VOID
from rehearsal.judge import RULES, Records
from rehearsal.play import PLAN, RECORDS, Conductor, Played
from rehearsal.play import Progress as Step

META = "play.json"
OUT = Console(highlight=False)
ERR = Console(stderr=True, highlight=False)
FIGURES = (
    "served_worth",
    "weighted",
    "worst_10s",
    "worst_class",
    "worst_member",
    "cross_hall",
    "calls",
    "attempts",
    "probes",
    "handshakes",
)


def _unusable(what: object) -> NoReturn:
    ERR.print(f"rehearsal: {what}", markup=False, soft_wrap=True)
    sys.exit(2)


def _load(name: str) -> tuple[scenarios.Scenario, str]:
    path = scenarios.find(name)
    try:
        return scenarios.load(path), path.stem
    except scenarios.ScenarioError as error:
        _unusable(error)


def _plan(name: str, scale: str, seed: int) -> planning.Plan:
    scenario, stem = _load(name)
    try:
        return planning.make(scenario, stem, scale, seed)
    except planning.PlanError as error:
        _unusable(error)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Play a season against the real daemon, with faults, and judge it."""


@main.command("list")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def list_them(as_json: bool) -> None:
    """The scenarios that come with the kit."""
    rows: list[dict[str, Any]] = []
    for path in scenarios.shipped():
        scenario, name = _load(str(path))
        rows.append(
            {
                "name": name,
                "title": scenario.title,
                "seconds": scenario.seconds,
                "faults": sorted({f.kind for f in scenario.fault.values()}),
                "scales": list(scenario.scale),
            }
        )
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    table = Table("scenario", "seconds", "what it plays", "faults", box=None)
    for row in rows:
        table.add_row(row["name"], f"{row['seconds']:g}", row["title"], ", ".join(row["faults"]))
    OUT.print(table)


@main.command()
@click.argument("scenario")
@click.option("--scale", default="small", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(scenario: str, scale: str, seed: int, as_json: bool) -> None:
    """Check a scenario, and say what a play of it would be. Plays nothing."""
    made = _plan(scenario, scale, seed)
    said = {
        "scenario": made.name,
        "title": made.scenario.title,
        "scale": scale,
        "seed": seed,
        "plan": made.digest(),
        "seconds": made.seconds,
        "calls": len(made.calls),
        "rate": round(made.rate, 1),
        "capacity": round(made.capacity, 1),
        "nodes": made.size.nodes,
        "successors": len(made.nodes) - made.size.nodes,
        "daemons": len(made.daemons),
        "events": len(made.events),
    }
    if as_json:
        click.echo(json.dumps(said, indent=2))
    else:
        for key, value in said.items():
            OUT.print(f"{key:>10}  {value}", markup=False)


def _play_options(command: Any) -> Any:
    for option in (
        click.option(
            "--json",
            "json_file",
            type=click.Path(dir_okay=False, path_type=Path),
            help="Write the report here; - prints it.",
        ),
        click.option(
            "--html",
            "html_file",
            type=click.Path(dir_okay=False, path_type=Path),
            help="Write a page with plots here.",
        ),
        click.option(
            "--against",
            type=click.Choice(Textbook.POLICIES),
            help="Play a textbook policy in the clients, with no sidecar.",
        ),
        click.option("--daemon", "command", help="Command that starts the daemon, in place of this one's."),
        click.option("--quiet", is_flag=True, help="No progress."),
    ):
        command = option(command)
    return command


@main.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--scale", default="small", show_default=True, help="small, season, or another that it names.")
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep plan, records and logs in this new folder.",
)
@_play_options
def run(
    scenario: str,
    seed: int,
    scale: str,
    keep: Path | None,
    json_file: Path | None,
    html_file: Path | None,
    against: str | None,
    command: str | None,
    quiet: bool,
) -> None:
    """Play a scenario and judge it."""
    sys.exit(_run(_plan(scenario, scale, seed), keep, json_file, html_file, against, command, quiet))


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--keep", type=click.Path(file_okay=False, path_type=Path))
@_play_options
def replay(
    folder: Path,
    keep: Path | None,
    json_file: Path | None,
    html_file: Path | None,
    against: str | None,
    command: str | None,
    quiet: bool,
) -> None:
    """Play a kept run's exact arrivals and faults again."""
    sys.exit(_run(_kept_plan(folder), keep, json_file, html_file, against, command, quiet))


def _kept_plan(folder: Path) -> planning.Plan:
    try:
        return planning.loads((folder / PLAN).read_bytes())
    except (OSError, planning.PlanError) as error:
        _unusable(f"{folder / PLAN}: {error}")


def _run(
    plan: planning.Plan,
    keep: Path | None,
    json_file: Path | None,
    html_file: Path | None,
    against: str | None,
    command: str | None,
    quiet: bool,
) -> int:
    for path in (json_file, html_file):
        if path is not None and str(path) != "-" and not path.absolute().parent.is_dir():
            _unusable(f"{path}: there is no such folder to write to")
    if keep is not None:
        if keep.exists() and any(keep.iterdir()):
            _unusable(f"{keep}: is not empty; a kept run is never written over")
        keep.mkdir(parents=True, exist_ok=True)
        return _played(plan, keep, json_file, html_file, against, command, quiet)
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as folder:
        return _played(plan, Path(folder), json_file, html_file, against, command, quiet)


def _played(
    plan: planning.Plan,
    folder: Path,
    json_file: Path | None,
    html_file: Path | None,
    against: str | None,
    command: str | None,
    quiet: bool,
) -> int:
    from rehearsal.report.data import report  # what is only needed at the end is loaded at the end

    quiet = quiet or str(json_file) == "-"
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.fields[now]}"),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=ERR, disable=quiet, transient=True) as bar:
        task = bar.add_task(f"{plan.name} seed {plan.seed}", total=plan.seconds, now="starting")

        def progress(step: Step) -> None:
            worth = f"{step.served / step.asked:.3f}" if step.asked else "-"
            bar.update(
                task, total=step.of_s, completed=step.t_s, now=f"{step.calls} calls, served worth {worth}"
            )

        try:
            played = asyncio.run(_conduct(plan, folder, against, command, progress))
        except Exception:
            # A fault of the kit says nothing of the daemon: it must not pass for a verdict.
            ERR.print_exception()
            sys.exit(EXIT[VOID])
    data, found = report(plan, played, against)
    (folder / META).write_text(
        json.dumps(
            {
                "against": against,
                "until_us": played.until_us,
                "troubles": played.troubles,
                "void": played.void,
                "late_ms": played.late_ms,
                "list_calls": played.list_calls,
            }
        ),
        encoding="utf-8",
    )
    (folder / "report.json").write_text(json.dumps(data, indent=2), encoding="utf-8")
    if json_file is not None:
        text = json.dumps(data, indent=2)
        if str(json_file) == "-":
            click.echo(text)
        else:
            json_file.write_text(text + "\n", encoding="utf-8")
    if html_file is not None:
        from rehearsal.report.page import page

        html_file.write_text(page(plan, played.records, found, data), encoding="utf-8")
    if str(json_file) != "-":
        _say(data)
    return EXIT[data["verdict"]]


async def _conduct(
    plan: planning.Plan, folder: Path, against: str | None, command: str | None, progress: Any
) -> Played:
    conductor = Conductor(plan, folder, against, shlex.split(command) if command else None, progress)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, conductor.interrupt)
    return await conductor.play()


def _say(data: dict[str, Any]) -> None:
    style = {"pass": "bold green", "fail": "bold red", "void": "bold yellow"}[data["verdict"]]
    OUT.print(f"{data['scenario']} (scale {data['scale']}, seed {data['seed']}): ", end="", markup=False)
    OUT.print(data["verdict"], style=style)
    for reason in data["reasons"]:
        OUT.print(f"  {reason}", markup=False, soft_wrap=True)
    took = data["latency_ms"]
    for line in (
        ", ".join(f"{key.replace('_', ' ')} {data[key]:.3f}" for key in FIGURES[:5]),
        f"{data['calls']} calls at {data['rate']:g} a second, {data['attempts']} attempts, "
        f"{data['probes']} probes, {data['cross_hall']:.1%} across halls",
        f"p50 {took.get('p50', 0):g} ms, p99 {took.get('p99', 0):g} ms from when a call was due",
        "rules broken: " + ", ".join(f"{rule} {data['rules'][rule]['count']}" for rule in RULES),
        f"the rig ran {data['rig']['late_ms_p99']:g} ms late (p99)",
    ):
        OUT.print(f"  {line}", markup=False, soft_wrap=True)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--html", "html_file", type=click.Path(dir_okay=False, path_type=Path), required=True)
def page(folder: Path, html_file: Path) -> None:
    """Judge a kept run's records once more, and write the page."""
    from rehearsal.report.data import report
    from rehearsal.report.page import page as made

    plan = _kept_plan(folder)
    records = Records()
    try:
        meta = json.loads((folder / META).read_text(encoding="utf-8"))
        with open(folder / RECORDS, encoding="utf-8") as file:
            records.take(json.loads(text) for text in file)
        against = meta.pop("against")
        data, found = report(plan, Played(records, **meta), against)
    except (OSError, ValueError, TypeError, KeyError) as error:
        _unusable(f"{folder}: no whole run is kept there: {error}")
    html_file.write_text(made(plan, records, found, data), encoding="utf-8")
    _say(data)


@main.command()
@click.argument("reports", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--any", "anything", is_flag=True, help="Also reports of different plans.")
def compare(reports: tuple[Path, ...], as_json: bool, anything: bool) -> None:
    """Put reports of one plan beside each other."""
    read = []
    for path in reports:
        try:
            data = json.loads(path.read_text(encoding="utf-8"))
            read.append(
                (
                    path,
                    {
                        key: data[key]
                        for key in (*FIGURES, "verdict", "plan", "against", "rules", "latency_ms", "classes")
                    },
                )
            )
        except (OSError, ValueError, KeyError, TypeError) as error:
            _unusable(f"{path}: no report of this kit: {error!r}")
    if len({data["plan"] for _, data in read}) > 1 and not anything:
        _unusable("the reports are of different plans, and so no comparison; --any shows them all the same")
    rows: dict[str, list[Any]] = {
        "played": [data["against"] or "the daemon" for _, data in read],
        "verdict": [data["verdict"] for _, data in read],
    }
    for key in FIGURES:
        rows[key] = [data[key] for _, data in read]
    for rule in RULES:
        rows[f"rule {rule}"] = [data["rules"][rule]["count"] for _, data in read]
    for name in ("p50", "p99"):
        rows[f"latency {name}, ms"] = [data["latency_ms"].get(name) for _, data in read]
    for cls in sorted(set().union(*(data["classes"] for _, data in read))):
        rows[cls] = [data["classes"].get(cls, {}).get("served_worth") for _, data in read]
    if as_json:
        click.echo(json.dumps({"reports": [str(path) for path, _ in read], **rows}, indent=2))
        return
    table = Table("", *(path.name for path, _ in read), box=None)
    for key, values in rows.items():
        table.add_row(key, *("-" if value is None else str(value) for value in values))
    OUT.print(table)
