"""An HTTP connection to a registry server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.common.runtime import Network
from ochrecourse.membership.etcd import HEADERS, METHOD, EtcdRequest
from ochrecourse.membership.server_selection import RESPONSE_TIMEOUT_S
from ochrecourse.wire.http_client import HttpClientProtocol, HttpResponse


class RegistryConnection(OutgoingConnectionFactory):
    """A connection that is being opened or is open; `http_client` is None until it is open.

    `on_open` is called once it is open, `on_lost` when it ends or can't be opened.
    """

    def __init__(
        self,
        on_open: Callable[[HttpClientProtocol], None],
        on_lost: Callable[[RegistryConnection], None],
    ) -> None:
        self.on_open = on_open
        self.on_lost = on_lost
        self.http_client: HttpClientProtocol | None = None

    def open(self, network: Network, address: tuple[str, int]) -> None:
        """Connects to `address`, host and port."""
        host, port = address
        network.connectTCP(host, port, self, timeout=RESPONSE_TIMEOUT_S)

    def close(self) -> None:
        """Closes the connection, if it is open; a request in flight gets no response."""
        if self.http_client is not None and not self.http_client.lost:
            self.http_client.cancel()

    def buildProtocol(self, addr: Any) -> HttpClientProtocol:
        """Twisted: the connection is open."""
        self.http_client = HttpClientProtocol(self.on_open, lambda client: self.on_lost(self))
        return self.http_client

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Twisted: the dial has failed."""
        self.on_lost(self)


def send(
    client: HttpClientProtocol, request: EtcdRequest, on_response: Callable[[HttpResponse | None], None]
) -> None:
    """Sends a request on a connection that has none in flight; `on_response` gets None if the connection is
    lost.
    """
    client.request(METHOD, request.path, HEADERS, request.body, on_response)
