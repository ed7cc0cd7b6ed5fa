"""Opens a sidecar's control address before the rest of the program is loaded.

Only a server's heartbeat tells its service, so a sidecar that starts together with its server needs one to
serve it. Loading the program takes longer than a server waits before its first heartbeat, which would be
refused. With the socket open it waits in the listen queue instead, and is answered once the program runs.
Imports of this module are few, as they delay the socket.
"""

from __future__ import annotations

import contextlib
import socket
import tomllib

BACKLOG = 64


def open_control_socket(settings_path: str) -> socket.socket | None:
    """Listens at the control address that a settings file names; returns None if that is not possible.

    The file is checked and errors are reported later, when the settings are read as a whole.
    """
    with contextlib.suppress(OSError, ValueError, KeyError, TypeError, AttributeError):
        with open(settings_path, "rb") as file:
            host, _, port = tomllib.load(file)["listen_map"]["control"].rpartition(":")
        opened = socket.create_server((host, int(port)), backlog=BACKLOG)
        opened.setblocking(False)
        return opened
    return None
