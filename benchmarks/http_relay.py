"""A bare HTTP relay in a process of its own: Twisted's HTTP channel before the nodes' framing, and no decisions."""

from __future__ import annotations

import sys
from typing import Any

from ochrecourse.common.monotonic_reactor import raise_open_file_limit, install_monotonic_reactor

reactor = install_monotonic_reactor()

from twisted.internet.protocol import ClientFactory  # noqa: E402
from twisted.web.http import HTTPChannel, HTTPFactory, Request  # noqa: E402

from ochrecourse.wire import messages as m  # noqa: E402
from ochrecourse.wire.framed_protocol import FramedProtocol  # noqa: E402
from ochrecourse.wire.state import Role, node_connection_state  # noqa: E402

OUTS: list[Out] = []


class Out(FramedProtocol):
    """A connection to the node."""

    def __init__(self) -> None:
        super().__init__(reactor, Role.REQUESTER, node_connection_state())
        self.waiting: dict[int, Passed] = {}
        self.count = 0

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="gateway"))
        OUTS.append(self)

    def message_received(self, message: Any, body: bytes, after: Any) -> None:
        if isinstance(message, m.AttemptServed):
            request = self.waiting.pop(message.id)
            request.setHeader("Content-Length", str(message.size))
            request.write(body)
            request.finish()


class Passed(Request):
    """A request that goes on to the node as it is; bodies of one message only."""

    def process(self) -> None:
        out, body = OUTS[0], self.content.read()
        out.count += 1
        out.waiting[out.count] = self
        write = self.method == b"PUT"
        product = "note-save" if write else "page-read"
        out.send_message(
            m.SendAttempt(
                id=out.count,
                idempotency_key=str(out.count),
                request_class=product,
                volume=1,
                key=1,
                units=1.0,
                shard=-1,
                write=write,
                size=len(body),
            ),
            body,
        )


class Channel(HTTPChannel):
    requestFactory = Passed


def main() -> None:
    raise_open_file_limit()
    factory = HTTPFactory(reactor=reactor)  # type: ignore[arg-type]
    factory.protocol = Channel  # type: ignore[assignment]
    factory.log = lambda request: None  # type: ignore[method-assign]
    outs = ClientFactory()
    outs.noisy = False
    outs.buildProtocol = lambda address: Out()  # type: ignore[method-assign, assignment]
    reactor.connectTCP("127.0.0.1", int(sys.argv[1]), outs)
    listening = reactor.listenTCP(0, factory, backlog=4096, interface="127.0.0.1")
    print(f"listening 127.0.0.1:{listening.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
