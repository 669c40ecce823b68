"""`serve --take-over`: the messages, and the listening sockets that a process hands over to its successor.

The control socket carries lines of JSON in both directions, as for its other commands. `{"do": "hand over"}`
is answered with `{"sockets": [...]}` and a descriptor for each name. `{"do": "release"}`, for a member of a
fleet, is answered with `{"released": true}`; after that the fleet's journal belongs to the successor. `{"do":
"accepts"}` is answered with `{"done": true}`; after that the old process shuts down.
gateway/socket_handover.py decides which sockets may be handed over, and when. cli/handover_client.py is the
successor's side, cli/control_server.py the side of the old process.
"""

from __future__ import annotations

import os
import socket
from enum import StrEnum
from typing import Any

TAKEOVER_TIMEOUT_S = 20.0  # for the answer of the running process and an endpoint list
LOCK_TIMEOUT_S = 2.0  # for the lock of a killed process to be released
POLL_INTERVAL_S = 0.02  # between checks for the endpoint list
LISTEN_BACKLOG = 4096


class HandoverRequest(StrEnum):
    """The successor's requests, in this order; the values are sent on the control socket."""

    SOCKETS = "hand over"
    RELEASE_FLEET = "release"
    ACCEPTS = "accepts"


class ListeningSockets:
    """The listening sockets of this process by name ("native", "admin", "fleet" ...): opened or inherited."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.descriptors: dict[str, int] = {}  # inherited or retained, and not listened on
        self.ports: dict[str, Any] = {}

    def listen(self, name: str, port: int, factory: Any, host: str) -> Any:
        """Returns a listening port, on an inherited socket if there is one. Raises CannotListenError."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is None:
            listening_socket = open_listening_socket(port, host)
        else:
            listening_socket = socket.socket(fileno=descriptor)
        with listening_socket:
            # A port that Twisted opened itself shuts the socket down when it stops, also for the process that
            # it was handed over to; an adopted one does not. An adopted socket must not block in accept().
            listening_socket.setblocking(False)
            self.ports[name] = self.reactor.adoptStreamPort(
                listening_socket.fileno(), listening_socket.family, factory
            )
        return self.ports[name]

    def retain(self, name: str) -> None:
        """Stops accepting on a socket but leaves it open, so that `listen` can use it again."""
        port = self.ports.pop(name, None)
        if port is not None:
            self.descriptors[name] = os.dup(port.fileno())
            port.stopListening()

    def close_ports(self) -> None:
        """Stops accepting; another process uses the same sockets."""
        for port in self.ports.values():
            port.stopListening()
        self.ports.clear()

    def close_unused(self) -> None:
        """Closes unused descriptors, as changed settings may not listen at all inherited addresses."""
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
    """Returns HOST:PORT of a listening socket, which stays open."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        name = duplicate.getsockname()
    return f"{name[0]}:{name[1]}"
