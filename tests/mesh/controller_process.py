"""Helpers for tests with a controller as a real process on loopback."""

from __future__ import annotations

import socket
import time
import urllib.request

START_S = 10.0

SETTINGS = """
node_name = "core-1"
role = "controller"
ip = "127.0.0.1"
zone = "east"
first_start = true
port_range = [{peer}, {peer}]
seed_list = ["127.0.0.1:{control}"]
data_dir = "{folder}"
[listen_map]
control = "127.0.0.1:{control}"
[fault_budget]
machine_loss = 0
"""


def free_ports(count: int) -> list[int]:
    """Returns ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def fetched(url: str, limit_s: float) -> str:
    """Returns the body at a URL, retrying until the server responds."""
    deadline = time.monotonic() + limit_s
    while True:
        try:
            with urllib.request.urlopen(url, timeout=2.0) as answer:
                return str(answer.read().decode())
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)
