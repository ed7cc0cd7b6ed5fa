"""Logging as JSON lines on standard error. Little is logged on the path of a request."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def _write_json_line(message: Message) -> None:
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


def configure(name: str, level: str = "INFO") -> None:
    """Configures the logger to write lines that carry this process's name as `node`."""
    logger.remove()
    logger.configure(extra={"node": name})
    logger.add(_write_json_line, level=level, catch=True)
