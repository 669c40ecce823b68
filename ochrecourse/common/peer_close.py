"""Whether the peer of a connection has closed it, also while bytes that it sent before are unread."""

from __future__ import annotations

import select
from typing import Any

# Linux reports that the peer has closed its sending side as soon as the system has received it. Without that,
# only a reset is seen before all bytes are read.
PEER_CLOSED = getattr(select, "POLLRDHUP", 0)


def peer_has_closed(transport: Any) -> bool:
    """Whether the peer has closed the connection or its sending side; False if the system can't tell yet."""
    if not hasattr(transport, "fileno"):
        return False
    descriptor = transport.fileno()
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, PEER_CLOSED)
    return bool(poller.poll(0))
