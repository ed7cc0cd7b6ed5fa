"""Fixed seeds everywhere: the same verdict on every run."""

from __future__ import annotations

from typing import Any

from hypothesis import settings

settings.register_profile("dunefield", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("dunefield")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """The rules over every protocol, as a table: the same end in each, or the run has failed."""
    ends: dict[str, dict[str, str]] = {}
    for outcome in ("passed", "failed"):
        for report in terminalreporter.stats.get(outcome, []):
            for name, value in getattr(report, "user_properties", ()):
                if name == "rule":
                    rule, _, tongue = value.partition("|")
                    ends.setdefault(rule, {})[tongue] = "same" if outcome == "passed" else "OTHER"
    if not ends:
        return
    tongues = sorted({tongue for row in ends.values() for tongue in row}, key=lambda t: (t != "http", t))
    terminalreporter.section("rules over every protocol")
    wide = max(map(len, ends))
    terminalreporter.write_line(" " * wide + "  " + "  ".join(tongues))
    for rule in sorted(ends):
        cells = "  ".join(ends[rule].get(tongue, "-").ljust(len(tongue)) for tongue in tongues)
        terminalreporter.write_line(f"{rule.ljust(wide)}  {cells}".rstrip())
