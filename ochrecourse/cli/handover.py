"""`serve --take-over`: the messages, and the listening sockets that a process hands to its successor.

Lines of JSON each way over the control socket, as for its other commands: `{"do": "hand over"}` is answered
with `{"sockets": [...]}` and a descriptor for each name; `{"do": "release"}`, where the gateway is a member
of a fleet, with `{"released": true}`, after which the fleet's journal belongs to the successor; `{"do":
"accepts"}` with `{"done": true}`, after which the process that gave the sockets shuts down. Which sockets may
be handed over, and when, is decided in gateway/socket_handover.py; the side that takes over is
cli/handover_client.py, the side that gives is
cli/control_server.py.
"""

from __future__ import annotations

import os
import socket
from enum import StrEnum
from typing import Any

TAKEOVER_TIMEOUT_S = 20.0  # until the running process has answered and an endpoint list is there
LOCK_TIMEOUT_S = 2.0  # until the lock of a process that was killed is free
POLL_INTERVAL_S = 0.02  # between two looks at whether the endpoint list is there
LISTEN_BACKLOG = 4096


class HandoverRequest(StrEnum):
    """What the successor asks for, in this order; the values are on the control socket."""

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
        """A listening port, on an inherited socket if there is one. Raises CannotListenError."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is None:
            listening_socket = open_listening_socket(port, host)
        else:
            listening_socket = socket.socket(fileno=descriptor)
        with listening_socket:
            # Guards against a port that Twisted opened itself: it shuts the socket down when it stops, and so
            # ends it for the process that it was handed to as well. Adopted, it must not block in accepting.
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
        """Stops accepting; another process has the same sockets."""
        for port in self.ports.values():
            port.stopListening()
        self.ports.clear()

    def close_unused(self) -> None:
        """Closes descriptors that are not listened on: other settings may not listen where these did."""
        for descriptor in self.descriptors.values():
            os.close(descriptor)
        self.descriptors.clear()


def open_listening_socket(port: int, host: str) -> socket.socket:
    """A new listening socket. Raises CannotListenError."""
    from twisted.internet.error import CannotListenError

    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise CannotListenError(host, port, error) from None  # type: ignore[no-untyped-call]


def socket_address(descriptor: int) -> str:
    """HOST:PORT of a listening socket, which stays open."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        name = duplicate.getsockname()
    return f"{name[0]}:{name[1]}"
