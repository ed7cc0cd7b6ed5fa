"""The figures as they are told at the second address."""

from __future__ import annotations

from typing import Any

from hollyport.core.tally import End, Tally


def figures(tally: Tally, known: int, skipped: int) -> dict[str, Any]:
    """All figures as one object. `known` and `skipped` are the module's: servers listed, and of these those
    that it avoids now."""
    return {
        "passed": tally.ended(End.PASSED),
        "dropped": tally.ended(End.DROPPED),
        "bad_gateway": tally.ended(End.FAILED),
        "upstream_tries": tally.tries,
        "in_progress": tally.in_progress,
        "known_servers": known,
        "skipped_servers": skipped,
    }
