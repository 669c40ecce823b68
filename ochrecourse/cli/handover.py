"""`serve --take-over`: the next process of a gateway gets the listening sockets over the control socket.

Lines of JSON each way, as for the other commands of that socket: `{"do": "hand over"}` is answered with
`{"sockets": [...]}` and a descriptor for each name; `{"do": "release"}`, where the gateway is of a fleet,
with `{"released": true}`, after which the journal of the fleet is the asker's; `{"do": "accepts"}` with
`{"done": true}`, after which the process that gave them leaves. What may be given and when is said in
gateway/socket_handover.py.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from typing import Any

START_TIME = 20.0  # s until the process that gives them has answered and a list of nodes is there
LOCK_TIME = 2.0  # s for a process that was killed to be gone with what it locked
LOOK = 0.02  # s between looks at whether the list is there


class Sockets:
    """Listening sockets by what they are for: opened here, or taken over."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.taken: dict[str, int] = {}
        self.ports: dict[str, Any] = {}

    def listen(self, what: str, port: int, factory: Any, host: str) -> Any:
        """A listening port for this. Raises CannotListenError."""
        number = self.taken.pop(what, None)
        with socket.socket(fileno=number) if number is not None else opened(port, host) as held:
            # Guards against a port that Twisted opened itself: it shuts the socket down when it stops, and so
            # ends it for the process that it was handed to as well. Adopted, it must not block in accepting.
            held.setblocking(False)
            self.ports[what] = self.reactor.adoptStreamPort(held.fileno(), held.family, factory)
        return self.ports[what]

    def keep(self, what: str) -> None:
        """Stops accepting there, and keeps the socket in case that it is to be used here again."""
        port = self.ports.pop(what, None)
        if port is not None:
            self.taken[what] = os.dup(port.fileno())
            port.stopListening()

    def close(self) -> None:
        """Stops accepting; another process holds the same sockets."""
        for port in self.ports.values():
            port.stopListening()
        self.ports.clear()

    def give_back(self) -> None:
        """Closes what was taken and is not used: other settings may not listen where these did."""
        for number in self.taken.values():
            os.close(number)
        self.taken.clear()


def opened(port: int, host: str) -> socket.socket:
    """A new listening socket. Raises CannotListenError."""
    from twisted.internet.error import CannotListenError

    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=4096)
    except OSError as trouble:
        raise CannotListenError(host, port, trouble) from None  # type: ignore[no-untyped-call]


def where(number: int) -> str:
    """HOST:PORT of a listening socket."""
    with socket.socket(fileno=os.dup(number)) as held:
        name = held.getsockname()
    return f"{name[0]}:{name[1]}"


Says = Callable[[str, Callable[[], None]], None]  # a word, and what is called when it has been answered


def ask_for(
    reactor: Any, path: str, came: Callable[[dict[str, int], Says], None], failed: Callable[[str], None]
) -> None:
    """Asks the process at a control socket for its listening sockets.

    `came` gets descriptors by name, and what says `release` and, once this process accepts, `accepts`; it
    calls back when the other one has let go of the journal, and of its control socket, or has ended. `failed`
    gets a sentence; then the other process goes on.
    """
    from twisted.internet.interfaces import IFileDescriptorReceiver
    from twisted.internet.protocol import ClientFactory
    from twisted.protocols.basic import LineReceiver
    from zope.interface import implementer

    @implementer(IFileDescriptorReceiver)
    class Taker(LineReceiver):
        delimiter = b"\n"
        over = False
        given = False

        def connectionMade(self) -> None:
            self.numbers: list[int] = []
            self.then: Callable[[], None] | None = None
            self._say("hand over")

        def fileDescriptorReceived(self, descriptor: int) -> None:
            self.numbers.append(descriptor)

        def lineReceived(self, line: bytes) -> None:
            told = json.loads(line)
            if "error" in told:
                self.over = True
                failed(told["error"])
            elif self.then is not None:
                self.over = "done" in told
                then, self.then = self.then, None
                then()
            else:
                self.given = True
                came(dict(zip(told["sockets"], self.numbers, strict=True)), self._says)

        def _says(self, what: str, then: Callable[[], None]) -> None:
            if self.over:
                then()
                return
            self.then = then
            self._say(what)

        def _say(self, what: str) -> None:
            self.sendLine(json.dumps({"do": what}).encode())  # type: ignore[no-untyped-call]

        def connectionLost(self, reason: Any = None) -> None:
            if self.over:
                return
            self.over = True
            if self.then is not None:
                then, self.then = self.then, None
                then()
            elif not self.given:  # else its sockets are here, and nobody else accepts on them now
                failed("the running gateway ended before its sockets were taken over")

    class Factory(ClientFactory):
        noisy = False
        protocol = Taker

        def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
            failed(f"no gateway answers there: {reason.getErrorMessage()}")

    reactor.connectUNIX(path, Factory(), timeout=5)
