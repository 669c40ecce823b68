"""`serve --take-over`: the messages, and the listening sockets that a process hands over to its successor.

Messages are lines of JSON over the control socket, as for its other commands. `{"do": "hand over"}` is
answered with `{"sockets": [...]}` and a file descriptor for each name. If the gateway is a member of a fleet,
`{"do": "release"}` is answered with `{"released": true}`; the fleet's journal then belongs to the successor.
`{"do": "accepts"}` is answered with `{"done": true}`; the process that handed over then shuts down.

gateway/socket_handover.py decides which sockets may be handed over, and when. The successor's side is
cli/handover_client.py, the running process's side cli/control_server.py.
"""

from __future__ import annotations

import os
import socket
from enum import StrEnum
from typing import Any

TAKEOVER_TIMEOUT_S = 20.0  # until the running process has answered and an endpoint list is received
LOCK_TIMEOUT_S = 2.0  # until the lock of a killed process is released
POLL_INTERVAL_S = 0.02  # between two checks for the endpoint list, or for the lock
LISTEN_BACKLOG = 4096


class HandoverRequest(StrEnum):
    """The requests of the successor, in this order; the values are sent over the control socket."""

    SOCKETS = "hand over"
    RELEASE_FLEET = "release"
    ACCEPTS = "accepts"


class ListeningSockets:
    """This process's listening sockets, opened or inherited, by name ("native", "admin", "fleet" ...)."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.descriptors: dict[str, int] = {}  # inherited or retained; no port uses them now
        self.ports: dict[str, Any] = {}

    def listen(self, name: str, port: int, factory: Any, host: str) -> Any:
        """Returns a listening port, on the inherited socket if there is one. Raises CannotListenError."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is None:
            listening_socket = open_listening_socket(port, host)
        else:
            listening_socket = socket.socket(fileno=descriptor)
        with listening_socket:
            # Adopted, because Twisted shuts down a socket that it opened itself when the port stops, which
            # would also end it for the process that it was handed to. An adopted socket must be non-blocking.
            listening_socket.setblocking(False)
            self.ports[name] = self.reactor.adoptStreamPort(
                listening_socket.fileno(), listening_socket.family, factory
            )
        return self.ports[name]

    def retain(self, name: str) -> None:
        """Stops accepting on a socket but keeps it open, so that `listen` can use it again."""
        port = self.ports.pop(name, None)
        if port is not None:
            self.descriptors[name] = os.dup(port.fileno())
            port.stopListening()

    def close_ports(self) -> None:
        """Stops accepting; the successor has the same sockets."""
        for port in self.ports.values():
            port.stopListening()
        self.ports.clear()

    def close_unused(self) -> None:
        """Closes descriptors that no port uses: the settings may not have every inherited address."""
        for descriptor in self.descriptors.values():
            os.close(descriptor)
        self.descriptors.clear()


def open_listening_socket(port: int, host: str) -> socket.socket:
    """Opens a listening socket. Raises CannotListenError."""
    from twisted.internet.error import CannotListenError

    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise CannotListenError(host, port, error) from None  # type: ignore[no-untyped-call]


def socket_address(descriptor: int) -> str:
    """Returns HOST:PORT of a listening socket; the descriptor stays open."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        name = duplicate.getsockname()
    return f"{name[0]}:{name[1]}"
