"""The server side of a daemon's control socket: a Unix socket that only its owner may use.

Requests and responses are one JSON object a line. control_answers.py has the commands. This module also
answers the handover messages of handover.py, by which a successor process takes over the listening sockets.

Imported only after the process's reactor is installed.
"""

from __future__ import annotations

import json
from collections import deque
from pathlib import Path
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

from ochrecourse.cli.control_answers import parse_request, respond
from ochrecourse.cli.control_requests import Answer
from ochrecourse.cli.handover import HandoverRequest, ListeningSockets
from ochrecourse.gateway.socket_handover import Handover, HandoverStep
from ochrecourse.storage.journal import JournalError

MAX_LINE_BYTES = 1 << 18  # enough for an append of the longest entry
REJOIN_INTERVAL_S = 0.5  # between attempts to rejoin the fleet after the successor ended
NOT_HANDED_OVER = "the sockets were not handed over"


def serve_control(reactor: Any, path: str, daemon: Any, sockets: ListeningSockets) -> None:
    """Listens on a path with mode 0600; a successor can take over `sockets`. Raises CannotListenError."""
    Path(path).unlink(missing_ok=True)  # a killed process does not remove it
    server = ControlServer(reactor, daemon, sockets)
    server.listening_port = reactor.listenUNIX(path, server, mode=0o600)


class ControlConnection(LineReceiver):
    """The connection of one client of the control socket."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any
    factory: Any  # the ControlServer

    def __init__(self) -> None:
        self._is_answering = False
        self._waiting_lines: deque[bytes] = deque()  # received while an earlier one is being answered
        self._is_lost = False

    def lineReceived(self, line: bytes) -> None:
        """Answers a line, or queues it while an earlier one is answered, which may wait for the disk."""
        if self._is_answering:
            self._waiting_lines.append(line)
            self.pauseProducing()  # type: ignore[no-untyped-call]
            return
        self._answer(line)

    def _answer(self, line: bytes) -> None:
        """Answers a command or a handover message."""
        request = parse_request(line)
        command = request.command if request is not None else ""
        if command == HandoverRequest.SOCKETS:
            self.factory.offer_sockets(self)
        elif command == HandoverRequest.RELEASE_FLEET:
            self.factory.release_fleet(self)
        elif command == HandoverRequest.ACCEPTS:
            self.factory.successor_accepts(self)
        else:
            self._is_answering = True
            respond(self.factory.daemon, line, self._answered)

    def _answered(self, message: Answer) -> None:
        self._is_answering = False
        if self._is_lost:
            return
        self.send(message)
        while self._waiting_lines and not self._is_answering:
            self._answer(self._waiting_lines.popleft())
        if self.paused and not self._is_answering:
            self.resumeProducing()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Any = None) -> None:
        """The client closed the connection or ended."""
        self._is_lost = True
        self.factory.connection_lost(self)

    def send(self, message: Answer) -> None:
        """Sends one line."""
        self.sendLine(json.dumps(message).encode())  # type: ignore[no-untyped-call]


class ControlServer(Factory):
    """Accepts connections on the control socket, and hands the listening sockets over to a successor."""

    noisy = False
    protocol = ControlConnection

    def __init__(self, reactor: Any, daemon: Any, sockets: ListeningSockets) -> None:
        self.reactor = reactor
        self.daemon = daemon
        self.sockets = sockets
        self.handover = Handover(daemon.record)
        self.listening_port: Any = None

    def offer_sockets(self, connection: ControlConnection) -> None:
        """Sends the listening sockets to a successor; this process continues to accept on them."""
        obstacle = self.handover.offer(connection, self.daemon.gateway.shutdown.accepts_requests())
        if obstacle:
            connection.send({"error": f"the sockets are not handed over: {obstacle}"})
            return
        for port in self.sockets.ports.values():
            connection.transport.sendFileDescriptor(port.fileno())
        connection.send({"sockets": list(self.sockets.ports)})

    def release_fleet(self, connection: ControlConnection) -> None:
        """Leaves the fleet and closes its journal, so that the successor can join in its place."""
        if not self.handover.release(connection):
            connection.send({"error": NOT_HANDED_OVER})
            return
        self.sockets.retain("fleet")
        self.daemon.release_fleet(lambda: connection.send({"released": True}))

    def successor_accepts(self, connection: ControlConnection) -> None:
        """Stops accepting, and starts to drain: requests in flight are finished."""
        if not self.handover.complete(connection):
            connection.send({"error": NOT_HANDED_OVER})
            return
        self.sockets.close_ports()
        self.sockets.close_unused()
        # Closing this port unlinks its path, so it is closed before the successor listens on that path.
        self.listening_port.stopListening().addCallback(lambda _: self._finish_handover(connection))

    def _finish_handover(self, connection: ControlConnection) -> None:
        connection.send({"done": True})
        self.daemon.hand_over()

    def connection_lost(self, connection: ControlConnection) -> None:
        """Rejoins the fleet if this client was a successor that was to join it and did not accept."""
        if self.handover.successor_lost(connection):
            self._rejoin_fleet()

    def _rejoin_fleet(self) -> None:
        """Rejoins the fleet, unless another handover has begun or this process is shutting down."""
        superseded = self.handover.step is not HandoverStep.NONE
        if superseded or not self.daemon.gateway.shutdown.accepts_requests():
            return
        try:
            self.daemon.rejoin_fleet(self.sockets.listen)
        except (JournalError, OSError, CannotListenError) as error:
            # The successor may still be exiting; it holds the lock of the journal until it has exited.
            self.daemon.host.log_event("fleet not joined again", why=str(error))
            self.reactor.callLater(REJOIN_INTERVAL_S, self._rejoin_fleet)
