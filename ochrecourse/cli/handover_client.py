"""`serve --take-over`: the connection of the successor to the control socket of the running process."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from ochrecourse.common.outgoing_connections import OutgoingConnectionFactory
from ochrecourse.cli.handover import HandoverRequest

CONNECT_TIMEOUT_S = 5

# Sends a request; the callback is called once it is answered or the other process has ended.
SendRequest = Callable[[HandoverRequest, Callable[[], None]], None]
SocketsReceived = Callable[[dict[str, int], SendRequest], None]


@implementer(IFileDescriptorReceiver)
class HandoverConnection(LineReceiver):
    """Requests the listening sockets once it is connected."""

    delimiter = b"\n"
    factory: Any  # a HandoverClientFactory

    def connectionMade(self) -> None:
        """Requests the listening sockets."""
        self.descriptors: list[int] = []
        self.pending_callback: Callable[[], None] | None = None
        self.sockets_received = False
        self.finished = False
        self._send(HandoverRequest.SOCKETS)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """Stores a descriptor; the answer that follows names the descriptors in this order."""
        self.descriptors.append(descriptor)

    def lineReceived(self, line: bytes) -> None:
        """Processes the answer to the last request."""
        answer = json.loads(line)
        if "error" in answer:
            self.finished = True
            self.factory.on_failure(answer["error"])
        elif self.pending_callback is not None:
            self.finished = "done" in answer
            self._call_pending()
        else:
            self.sockets_received = True
            descriptors = dict(zip(answer["sockets"], self.descriptors, strict=True))
            self.factory.on_sockets(descriptors, self.send_request)

    def send_request(self, request: HandoverRequest, callback: Callable[[], None]) -> None:
        """Sends a request; `callback` is called at once if the other process has already ended."""
        if self.finished:
            callback()
            return
        self.pending_callback = callback
        self._send(request)

    def connectionLost(self, reason: Any = None) -> None:
        """Reports that the other process closed the connection or ended."""
        if self.finished:
            return
        self.finished = True
        if self.pending_callback is not None:
            self._call_pending()
        elif not self.sockets_received:
            # Fails only before the sockets are here: after that no other process accepts on them.
            self.factory.on_failure("the running gateway ended before its sockets were taken over")

    def _call_pending(self) -> None:
        callback, self.pending_callback = self.pending_callback, None
        if callback is not None:
            callback()

    def _send(self, request: HandoverRequest) -> None:
        self.sendLine(json.dumps({"do": request.value}).encode())  # type: ignore[no-untyped-call]


class HandoverClientFactory(OutgoingConnectionFactory):
    """Creates the connection of a handover."""

    protocol = HandoverConnection

    def __init__(self, on_sockets: SocketsReceived, on_failure: Callable[[str], None]) -> None:
        self.on_sockets = on_sockets
        self.on_failure = on_failure

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Reports that no process listens at the path."""
        self.on_failure(f"no gateway answers there: {reason.getErrorMessage()}")


def request_sockets(
    reactor: Any, path: str, on_sockets: SocketsReceived, on_failure: Callable[[str], None]
) -> None:
    """Requests the listening sockets of the process at a control socket.

    `on_sockets` receives descriptors by name, and a function that sends further requests. `on_failure`
    receives a message for the operator; the other process then continues to serve.
    """
    factory = HandoverClientFactory(on_sockets, on_failure)
    reactor.connectUNIX(path, factory, timeout=CONNECT_TIMEOUT_S)
