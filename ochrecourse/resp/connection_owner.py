"""The interface between a client's connection and the server that accepted it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

from ochrecourse.common.runtime import Clock
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.resp.commands import RequestClasses
from ochrecourse.resp.input_turns import InputTurns
from ochrecourse.resp.pipeline import PipelineTotals

if TYPE_CHECKING:
    from ochrecourse.resp.client_connection import RespClientConnection


class ConnectionOwner(Protocol):
    """What a connection uses of the server that accepted it."""

    gateway: Gateway
    clock: Clock
    request_classes: RequestClasses
    totals: PipelineTotals
    input_turns: InputTurns
    counts: Counter[str]  # client errors by code
    shutting_down: bool
    max_linger_seconds: float | None

    def connection_opened(self, connection: RespClientConnection) -> None:
        """A client has connected."""

    def connection_sent_command(self, connection: RespClientConnection) -> None:
        """The first complete command has arrived."""

    def connection_busy(self, connection: RespClientConnection) -> None:
        """The connection has an open request."""

    def connection_idle(self, connection: RespClientConnection) -> None:
        """All replies of the connection are written."""

    def connection_lingering(self, connection: RespClientConnection) -> None:
        """This side is closing the connection, which keeps its descriptor until the client closes too."""

    def limit_lingering(self) -> None:
        """Closes the oldest lingering connection if there are too many."""

    def connection_closed(self, connection: RespClientConnection) -> None:
        """The connection has ended."""
