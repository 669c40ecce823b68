"""The base class of Twisted factories for connections that the gateway opens."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory


class OutgoingConnectionFactory(ClientFactory):
    """A factory whose connections leave nothing in memory when they have ended.

    Twisted's connector and transport refer to each other. Without the interpreter's automatic collections
    (`monotonic_reactor.CycleCollector`) that reference cycle would keep the transport, its protocol and their
    buffers in memory.
    """

    noisy = False

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Frees the transport of a connection that has ended (Twisted callback)."""
        connector.transport = None
