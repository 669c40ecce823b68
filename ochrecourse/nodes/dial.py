"""One dial to a node on Twisted's network, for connections of any protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.common.runtime import Network
from ochrecourse.nodes.dial_manager import MAX_DIAL_S, AbandonDial
from ochrecourse.nodes.dispatcher import Address, Dispatcher, OpenConnection
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.nodes.outgoing_attempt import NodeConnection
from ochrecourse.nodes.pool import PooledConnection

MakeConnection = Callable[[Dispatcher, PooledConnection], NodeConnection]


class NodeDial(ClientFactory):
    """One dial, whose end is reported once.

    `accept_abandoned`: a connection that opens after its dial was given up is made all the same, and left to
    its own handshake; otherwise it is refused, for nobody would own it.
    """

    noisy = False

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
        """Twisted's callback: the connection is made. None refuses it."""
        if not self.accept_abandoned and not self.dispatcher.is_dialling(self.pooled):
            return None
        connection = self.make_connection(self.dispatcher, self.pooled)
        self.dispatcher.connections[self.pooled.number] = connection
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted's callback: the dial failed."""
        self.dispatcher.dial_failed(self.pooled, AttemptEvent.DIAL_REFUSED)


def connection_opener(
    network: Network, make_connection: MakeConnection, accept_abandoned: bool = False
) -> OpenConnection:
    """What opens connections on a network; the dispatcher bounds the time, `MAX_DIAL_S` only tidies up."""

    def open_connection(
        dispatcher: Dispatcher, pooled: PooledConnection, address: Address
    ) -> AbandonDial | None:
        dial = NodeDial(dispatcher, pooled, make_connection, accept_abandoned)
        connector = network.connectTCP(address[0], address[1], dial, timeout=MAX_DIAL_S)
        return None if connector is None else connector.disconnect

    return open_connection
