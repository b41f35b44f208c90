"""
bulrushhollow_daemon.listeners
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Listening sockets. One may be opened while the process still loads its modules, which takes half a
second on a small machine: callers that connect meanwhile wait instead of being refused. So this
module imports little.
"""

import socket

BACKLOG = 256
"""Most connections that wait to be accepted."""

_early_listeners_by_address: dict[tuple[str, int], socket.socket] = {}


def open_early_listener(host: str, port: int) -> None:
    """
    Begin to listen on an address; :func:`claim_listener` returns the socket later.

    :raises OSError: if the address can't be used.
    """
    _early_listeners_by_address[host, port] = claim_listener(host, port)


def claim_listener(host: str, port: int) -> socket.socket:
    """
    Return a non-blocking socket that listens on an address; the one opened early, if there is one.

    :raises OSError: if the address can't be used.
    """
    early_listener = _early_listeners_by_address.pop((host, port), None)
    if early_listener is not None:
        return early_listener
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
