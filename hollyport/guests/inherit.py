"""A listening socket that the platform holds and each process of this sidecar inherits.

It is used as it is: never bound, never shut down (that would end it for the other process as well), and
closed only as this process's hold on it.
"""

from __future__ import annotations

import ipaddress
import os
import socket
import stat

from hollyport.settings.config import Address, ConfigError

VARIABLE = "NODE_ACCEPT_FD"


def listening(number: int, listen: Address) -> socket.socket:
    """The socket behind a descriptor; raise ConfigError where it is none that listens at `listen`."""
    try:
        mode = os.fstat(number).st_mode
    except OSError as error:
        raise ConfigError(f"{VARIABLE}: descriptor {number}: {error.strerror}") from None
    if not stat.S_ISSOCK(mode):
        raise ConfigError(f"{VARIABLE}: descriptor {number} is not a socket")
    # Looked at through a copy: what is turned down is not this process's to close.
    with socket.socket(fileno=os.dup(number)) as copy:
        family, kind = copy.family, copy.type
        if family not in (socket.AF_INET, socket.AF_INET6) or kind != socket.SOCK_STREAM:
            raise ConfigError(f"{VARIABLE}: descriptor {number} is not a TCP socket")
        if not copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"{VARIABLE}: descriptor {number} does not listen")
        host, port = copy.getsockname()[:2]
    if _same(host) != _same(listen.host) or listen.port not in (0, port):
        raise ConfigError(
            f"{VARIABLE}: descriptor {number} listens at {host}:{port}, not at listen"
            f" ({listen.host}:{listen.port})"
        )
    taken = socket.socket(fileno=number)
    os.set_inheritable(number, False)  # a flag of this process's descriptor, not of the shared socket
    # This flag is the socket's own, so the other process has it as well. Both need it: whoever comes second
    # to a connection must not block. It is only ever set.
    taken.setblocking(False)
    return taken


def _same(host: str) -> str:
    try:
        return str(ipaddress.ip_address(host))
    except ValueError:
        return host
