"""Logs: JSON lines on standard error, few on the path of a request."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def _line(message: Message) -> None:
    record = message.record
    line: dict[str, Any] = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "say": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def start(name: str, level: str = "INFO") -> None:
    """Write lines that carry this process's name."""
    logger.remove()
    logger.configure(extra={"node": name})
    logger.add(_line, level=level, catch=True)
