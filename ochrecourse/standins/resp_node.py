"""A storage node and a list agent that implement the platform's protocols, for tests on sockets.

The node answers each command with `reply`, which a test may replace, and keeps the commands received. The
agent sends a list and its changes over a chunked watch.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

VALUE = b"\x00value\r\n\xff"  # contains bytes that break parsers which split at line ends


def success_reply(arguments: list[bytes]) -> bytes:
    """The reply of a healthy node: a value derived from the request, usage figures, no load report."""
    value = VALUE + arguments[2] if len(arguments) > 2 else VALUE
    return b"*3\r\n$%d\r\n%b\r\n$14\r\nused=50,cost=3\r\n$-1\r\n" % (len(value), value)


class RespPeer(Protocol):
    """One connection, with a minimal command parser that shares no code with the codec under test."""

    transport: Any

    def __init__(self, node: RespNode) -> None:
        self.node = node
        self.buffer = b""
        self.commands: list[list[bytes]] = []

    def connectionMade(self) -> None:
        """Registers the connection with its node."""
        self.node.peers.append(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Removes the connection and counts it as lost."""
        self.node.peers.remove(self)
        self.node.lost += 1

    def dataReceived(self, data: bytes) -> None:
        """Records each complete command and sends the reply, if there is one."""
        self.buffer += data
        while (arguments := self._command()) is not None:
            self.node.commands.append(arguments)
            self.commands.append(arguments)
            reply = self.node.reply(arguments)
            if reply is not None:
                self.transport.write(reply)

    def _command(self) -> list[bytes] | None:
        """Removes and returns the first complete command, None if there is none."""
        array_header, separator, remaining = self.buffer.partition(b"\r\n")
        if not separator:
            return None
        parsed = []
        for _ in range(int(array_header[1:])):
            size, separator, remaining = remaining.partition(b"\r\n")
            if not separator or len(remaining) < int(size[1:]) + 2:
                return None
            parsed.append(remaining[: int(size[1:])])
            remaining = remaining[int(size[1:]) + 2 :]
        self.buffer = remaining
        return parsed


class RespNode(Factory):
    """A storage node. `reply` returns the bytes that answer a command, or None for no answer."""

    noisy = False

    def __init__(self, reply: Callable[[list[bytes]], bytes | None] = success_reply) -> None:
        self.reply = reply
        self.commands: list[list[bytes]] = []
        self.peers: list[RespPeer] = []
        self.lost = 0

    def buildProtocol(self, addr: Any) -> RespPeer:
        """Creates the connection handler."""
        return RespPeer(self)


class _WatchConnection(Protocol):
    """One connection to the list agent."""

    transport: Any

    def __init__(self, agent: ListAgent) -> None:
        self.agent = agent
        self.buffer = b""

    def dataReceived(self, data: bytes) -> None:
        """Answers each complete request head with a chunked response."""
        self.buffer += data
        if self.buffer.endswith(b"\r\n\r\n"):
            self.agent.requested_paths.append(self.buffer.split(b" ", 2)[1].decode())
            self.buffer = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.agent.watches.append(self)
            if self.agent.first is not None:
                self.send_chunk(json.dumps(self.agent.first).encode() + b"\n")

    def send_chunk(self, data: bytes) -> None:
        """Sends one chunk."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connectionLost(self, reason: Any = None) -> None:
        if self in self.agent.watches:
            self.agent.watches.remove(self)


class ListAgent(Factory):
    """The list agent. `first` is sent at the start of each watch; `requested_paths` are the paths of all
    requests.
    """

    noisy = False

    def __init__(self, first: dict[str, Any] | None = None) -> None:
        self.first = first
        self.requested_paths: list[str] = []
        self.watches: list[_WatchConnection] = []

    def buildProtocol(self, addr: Any) -> _WatchConnection:
        """Creates the connection handler."""
        return _WatchConnection(self)
