"""`python -m verify`: list what there is, run a model, or take out each defence in turn."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

import fire

from verify import mutations as taken_out
from verify.plays import PLAYS
from verify.search import LIMIT, Model, Result, first_words, named, search


def told(name: str, model: Model, result: Result) -> dict[str, Any]:
    """A search as a line of JSON has it."""
    broken = result.broken
    return {
        "model": name,
        "bounds": model.bounds(),
        "states": result.states,
        "moves": result.moves,
        "depth": result.depth,
        "whole": result.whole,
        "seconds": round(result.seconds, 2),
        "property": broken.property if broken else "",
        "why": broken.why if broken else "",
        "trace": list(broken.trace) if broken else [],
    }


def _print(row: dict[str, Any]) -> None:
    bounds = ", ".join(f"{word} {count}" for word, count in row["bounds"].items())
    seen = "all states" if row["whole"] else "not all states"
    print(
        f"{row['model']} ({bounds}): {row['states']} states, {row['moves']} moves, depth {row['depth']}, "
        f"{row['seconds']} s, {'stopped at a violation' if row['property'] else seen}"
    )
    if row["property"]:
        print(f"  FELL: {row['property']}: {row['why']}")
        for number, step in enumerate(row["trace"], 1):
            print(f"  {number:3} {step}")


class Verify:
    """Run the mesh's decisions under every order of a few messages and faults."""

    def list(self) -> None:
        """The models, and the properties of each."""
        for name, play in PLAYS.items():
            print(f"{name}: {play.about}")
            model = play.small()
            rows: tuple[Any, ...] = (*model.properties, *model.step_properties)
            for holds in rows:
                print(f"    {named(holds)}: {first_words(holds.__doc__)}")

    def run(self, model: str, large: bool = False, limit: int = LIMIT, jsonl: bool = False) -> None:
        """Search one model, or `all`. Exit 1 where a property fell, 3 where not all states were seen."""
        if model != "all" and model not in PLAYS:
            sys.exit(f"no model {model}; there are {', '.join(PLAYS)}")
        code = 0
        for name in PLAYS if model == "all" else (model,):
            made = (PLAYS[name].large if large else PLAYS[name].small)()
            result = search(made, limit)
            row = told(name, made, result)
            print(json.dumps(row), flush=True) if jsonl else _print(row)
            code = max(code, 0 if result.whole else 1 if result.broken else 3)
        sys.exit(code)

    def mutations(self, only: str = "", limit: int = LIMIT, jsonl: bool = False) -> None:
        """Take out each defence, or the one named; exit 1 where one is not found."""
        missed = 0
        for mutation in taken_out.MUTATIONS:
            if only and mutation.name != only:
                continue
            found, result = taken_out.play(mutation, limit)
            missed += not found
            row = told(mutation.name, mutation.model(), result)
            if jsonl:
                print(json.dumps({"found": found, "about": mutation.about, **row}), flush=True)
            else:
                print(
                    f"{'found    ' if found else 'NOT FOUND'} {mutation.name}: {mutation.about}; "
                    f"{row['property'] or 'nothing fell'} ({row['states']} states, depth {row['depth']}, "
                    f"{row['seconds']} s)",
                    flush=True,
                )
        sys.exit(1 if missed else 0)


def main(words: Sequence[str] | None = None, name: str = "verify") -> None:
    """Do what the words say, or those of the command line."""
    fire.Fire(Verify(), command=words, name=name)


if __name__ == "__main__":
    main()
