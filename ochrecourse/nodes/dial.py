"""Dials storage nodes with Twisted, for connections of any protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.common.runtime import Network
from ochrecourse.nodes.dial_manager import MAX_DIAL_S, AbandonDial
from ochrecourse.nodes.dispatcher import Address, Dispatcher, OpenConnection
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.nodes.outgoing_attempt import NodeConnection
from ochrecourse.nodes.pool import PooledConnection

MakeConnection = Callable[[Dispatcher, PooledConnection], NodeConnection]


class NodeDial(OutgoingConnectionFactory):
    """The Twisted factory of one dial.

    `accept_abandoned`: whether a connection that opens after its dial was abandoned is still created and
    completes its own handshake. Otherwise it is refused, since no pool entry owns it.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pooled: PooledConnection,
        make_connection: MakeConnection,
        accept_abandoned: bool,
    ) -> None:
        self.dispatcher = dispatcher
        self.pooled = pooled
        self.make_connection = make_connection
        self.accept_abandoned = accept_abandoned

    def buildProtocol(self, addr: Any) -> Any:
        """Creates the connection when the dial succeeds; None refuses it (Twisted callback)."""
        if not self.accept_abandoned and not self.dispatcher.is_dialling(self.pooled):
            return None
        connection = self.make_connection(self.dispatcher, self.pooled)
        self.dispatcher.connections[self.pooled.number] = connection
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Reports a failed dial to the dispatcher (Twisted callback)."""
        self.dispatcher.dial_failed(self.pooled, AttemptEvent.DIAL_REFUSED)


def connection_opener(
    network: Network, make_connection: MakeConnection, accept_abandoned: bool = False
) -> OpenConnection:
    """Returns the function that opens connections on `network`.

    The dispatcher's time-outs end dials; `MAX_DIAL_S` is only a backstop in the transport.
    """

    def open_connection(
        dispatcher: Dispatcher, pooled: PooledConnection, address: Address
    ) -> AbandonDial | None:
        dial = NodeDial(dispatcher, pooled, make_connection, accept_abandoned)
        connector = network.connectTCP(address[0], address[1], dial, timeout=MAX_DIAL_S)
        return None if connector is None else connector.disconnect

    return open_connection
