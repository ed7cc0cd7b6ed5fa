"""Decodes messages as received from the wire."""

from __future__ import annotations

from typing import Any

from mesh.transport import messages


def message(*row: Any) -> messages.Message:
    """Returns the message that an array represents."""
    decoded = messages.decode(list(row))
    assert decoded is not None
    return decoded
