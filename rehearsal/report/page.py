"""The report as one HTML file that opens offline: plots as SVG inside it, tables, and broken rules told."""

from __future__ import annotations

import io
import math
from collections import defaultdict
from pathlib import Path
from typing import Any

import jinja2
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from rehearsal.judge import Judgement, Records, worth_of
from rehearsal.plan import Plan

COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#999999", "#000000")


def page(plan: Plan, records: Records, found: Judgement, data: dict[str, Any]) -> str:
    """The whole file."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(Path(__file__).parent),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    plots = [
        ("Served worth over time, by class", _worth(plan, found)),
        ("Latency from when a call was due, retries included", _latency(plan, found)),
        ("Requests held by nodes, by hall", _halls(plan, records)),
        ("Requests held, node by node", _nodes(plan, records)),
        ("Memory of the daemons", _memory(plan, records)),
    ]
    return environment.get_template("page.html").render(
        data=data, plan=plan, plots=[(title, svg) for title, svg in plots if svg]
    )


def _axes(plan: Plan, height: float = 3.0, faults: bool = True) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(10, height), layout="constrained")
    axes = figure.subplots()
    if faults:
        for i, span in enumerate(plan.spans):
            colour = COLOURS[i % len(COLOURS)]
            start, end = span.from_us / 1e6, max(span.to_us, span.from_us + 100_000) / 1e6
            axes.axvspan(start, end, color=colour, alpha=0.10, lw=0)
            axes.annotate(
                span.name,
                (start, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=7,
                color=colour,
                textcoords="offset points",
                xytext=(2, 3 + 8 * (i % 2)),
                annotation_clip=False,
            )
        axes.set_xlim(0, plan.seconds)
        axes.set_xlabel("seconds")
    axes.grid(True, alpha=0.25)
    return figure, axes


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _worth(plan: Plan, found: Judgement) -> str:
    asked: dict[tuple[int, int], float] = defaultdict(float)
    served: dict[tuple[int, int], float] = defaultdict(float)
    for end in found.ends:
        call = plan.calls[end.call]
        key = (call.cls, call.due_us // 1_000_000)
        worth = worth_of(plan, end.call)
        asked[key] += worth
        served[key] += worth * (end.how == "on_time")
    figure, axes = _axes(plan)
    for cls, name in enumerate(plan.classes):
        seconds = [s for c, s in sorted(asked) if c == cls]
        axes.plot(
            [s + 0.5 for s in seconds],
            [served[cls, s] / asked[cls, s] for s in seconds],
            label=name,
            color=COLOURS[cls % len(COLOURS)],
            lw=1.4,
        )
    axes.set_ylim(-0.02, 1.02)
    axes.set_ylabel("worth served / asked")
    axes.legend(fontsize=7, loc="lower left", ncols=4)
    return _svg(figure)


def _latency(plan: Plan, found: Judgement) -> str:
    """How many answers took longer, on two log axes: the tail is what this shows."""
    by_class: dict[int, list[float]] = defaultdict(list)
    for end in found.ends:
        if end.how in ("on_time", "late"):
            by_class[plan.calls[end.call].cls].append(max(0.1, end.latency_us / 1000))
    if not by_class:
        return ""
    figure, axes = _axes(plan, faults=False)
    for cls, took in sorted(by_class.items()):
        took.sort()
        step = max(1, len(took) // 1500)
        points = [
            (ms, 1 - i / len(took)) for i, ms in enumerate(took) if i % step == 0 or i > len(took) - 200
        ]
        axes.step(
            [p[0] for p in points],
            [p[1] for p in points],
            where="post",
            label=plan.classes[cls],
            color=COLOURS[cls % len(COLOURS)],
            lw=1.4,
        )
    for aim in sorted({c.aim_ms for c in plan.scenario.classes.values()}):
        axes.axvline(aim, color="#444444", ls="--", lw=1)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("milliseconds; the dashed line is the aim")
    axes.set_ylabel("part that took longer")
    axes.legend(fontsize=7)
    return _svg(figure)


def _halls(plan: Plan, records: Records) -> str:
    held: dict[tuple[int, int], list[int]] = defaultdict(list)
    for node, t_us, requests, _ in records.loads:
        held[plan.nodes[node].hall, round(t_us / 500_000)].append(requests)
    if not held:
        return ""
    figure, axes = _axes(plan)
    for hall, name in enumerate(plan.halls):
        at = [t for h, t in sorted(held) if h == hall]
        axes.plot(
            [t / 2 for t in at],
            [sum(held[hall, t]) / len(held[hall, t]) for t in at],
            label=name,
            color=COLOURS[hall % len(COLOURS)],
            lw=1.4,
        )
    axes.set_ylabel("requests held, a node")
    axes.legend(fontsize=7, loc="upper left", ncols=4)
    return _svg(figure)


def _nodes(plan: Plan, records: Records) -> str:
    """One line a node, by hall; the darker, the more it holds. What did not run is left white."""
    if not records.loads:
        return ""
    order = sorted(range(len(plan.nodes)), key=lambda n: (plan.nodes[n].hall, n))
    row = {node: i for i, node in enumerate(order)}
    columns = math.ceil(plan.seconds * 2) + 1
    grid: list[list[float]] = [[math.nan] * columns for _ in order]
    for node, t_us, requests, _ in records.loads:
        column = round(t_us / 500_000)
        if column < columns:
            grid[row[node]][column] = requests
    figure, axes = _axes(plan, height=max(2.5, min(9.0, len(order) / 18)), faults=False)
    axes.set_xlabel("seconds")
    image = axes.imshow(
        grid,
        aspect="auto",
        cmap="magma_r",
        vmin=0,
        vmax=10,
        interpolation="nearest",
        extent=(-0.25, columns / 2 - 0.25, len(order), 0),
    )
    figure.colorbar(image, ax=axes, label="requests held")
    edges = [i for i in range(1, len(order)) if plan.nodes[order[i]].hall != plan.nodes[order[i - 1]].hall]
    for edge in edges:
        axes.axhline(edge, color="#0072b2", lw=0.8)
    axes.set_ylabel(f"{len(order)} nodes, by hall")
    axes.grid(False)
    return _svg(figure)


def _memory(plan: Plan, records: Records) -> str:
    if not records.samples:
        return ""
    figure, axes = _axes(plan)
    for daemon in sorted({s.daemon for s in records.samples}):
        rows = [s for s in records.samples if s.daemon == daemon]
        axes.plot(
            [s.t_us / 1e6 for s in rows],
            [s.memory_mb for s in rows],
            label=f"d{daemon}",
            color=COLOURS[daemon % len(COLOURS)],
            lw=1.2,
        )
    axes.set_ylabel("MB")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7, ncols=8)
    return _svg(figure)
