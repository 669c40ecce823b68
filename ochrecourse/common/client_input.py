"""What the system knows of a client's input that has not been read, also of a close behind it."""

from __future__ import annotations

import select
from collections.abc import Callable
from enum import Enum
from typing import Any

# Linux reports a close as soon as its system has received it, also while bytes before it are unread.
# Elsewhere a close is unread input like any other.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)


class ClientInput(Enum):
    """How much of what a client sent has been read."""

    READ = "all that the system has received"
    UNREAD = "not all; a close may stand behind it, which the client's system may not even have sent"
    CLOSED = "the client has closed the connection or its sending side"


InputCheck = Callable[[], ClientInput]


def client_input(transport: Any) -> ClientInput:
    """Asks the system about a connection, without reading; one without a descriptor has nothing unread."""
    if not hasattr(transport, "fileno"):
        return ClientInput.READ
    descriptor = transport.fileno()
    if descriptor < 0:
        return ClientInput.CLOSED
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | PEER_CLOSED)
    events = poller.poll(0)
    if not events:
        return ClientInput.READ
    return ClientInput.UNREAD if events[0][1] == select.POLLIN else ClientInput.CLOSED
