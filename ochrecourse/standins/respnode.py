"""A storage node and a list agent of our own that speak the platform's protocol, for tests on sockets.

The node answers each command by `reply`, which a test may set; it keeps what it was sent. The agent tells a
list and its changes over a chunked watch.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

VALUE = b"\x00value\r\n\xff"  # bytes that a careless framing would trip over


def good(words: list[bytes]) -> bytes:
    """What a node at work answers: a value made for this request, figures on use, no load report."""
    value = VALUE + words[2] if len(words) > 2 else VALUE
    return b"*3\r\n$%d\r\n%b\r\n$14\r\nused=50,cost=3\r\n$-1\r\n" % (len(value), value)


class RespPeer(Protocol):
    """One connection; a plain reader of whole commands, made without the codec under test."""

    transport: Any

    def __init__(self, node: RespNode) -> None:
        self.node = node
        self.rest = b""
        self.commands: list[list[bytes]] = []

    def connectionMade(self) -> None:
        self.node.peers.append(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.node.peers.remove(self)
        self.node.lost += 1

    def dataReceived(self, data: bytes) -> None:
        self.rest += data
        while (words := self._command()) is not None:
            self.node.commands.append(words)
            self.commands.append(words)
            said = self.node.reply(words)
            if said is not None:
                self.transport.write(said)

    def _command(self) -> list[bytes] | None:
        head, found, rest = self.rest.partition(b"\r\n")
        if not found:
            return None
        words = []
        for _ in range(int(head[1:])):
            size, found, rest = rest.partition(b"\r\n")
            if not found or len(rest) < int(size[1:]) + 2:
                return None
            words.append(rest[: int(size[1:])])
            rest = rest[int(size[1:]) + 2 :]
        self.rest = rest
        return words


class RespNode(Factory):
    """A storage node. `reply` gives the bytes for a command, or None for silence."""

    noisy = False

    def __init__(self, reply: Callable[[list[bytes]], bytes | None] = good) -> None:
        self.reply = reply
        self.commands: list[list[bytes]] = []
        self.peers: list[RespPeer] = []
        self.lost = 0

    def buildProtocol(self, addr: Any) -> RespPeer:
        return RespPeer(self)


class _Told(Protocol):
    transport: Any

    def __init__(self, agent: ListAgent) -> None:
        self.agent = agent
        self.rest = b""

    def dataReceived(self, data: bytes) -> None:
        self.rest += data
        if self.rest.endswith(b"\r\n\r\n"):
            self.agent.asked.append(self.rest.split(b" ", 2)[1].decode())
            self.rest = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.agent.watches.append(self)
            if self.agent.first is not None:
                self.say(json.dumps(self.agent.first).encode() + b"\n")

    def say(self, data: bytes) -> None:
        """One chunk."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connectionLost(self, reason: Any = None) -> None:
        if self in self.agent.watches:
            self.agent.watches.remove(self)


class ListAgent(Factory):
    """The agent that tells the list. `first` is told at the start of each watch; `asked` keeps the paths."""

    noisy = False

    def __init__(self, first: dict[str, Any] | None = None) -> None:
        self.first = first
        self.asked: list[str] = []
        self.watches: list[_Told] = []

    def buildProtocol(self, addr: Any) -> _Told:
        return _Told(self)
