"""A probe job through one gateway's address at a steady pace: the truth that announcements are judged by.

Each probe writes a new object, which any node may take, for the plan of most worth, so that it fails only
where nothing can be served.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.audit import records as r
from ochrecourse.lab.day import Day
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.wire import messages as m
from ochrecourse.wire.framed_protocol import FramedProtocol
from ochrecourse.wire.state import StreamState, Role, client_connection_state

PACE = 0.1  # s between probes
PATIENCE = 1000.0  # ms that a probe waits
VOLUME = 999_999  # no volume of the day


class _ProbeLine(FramedProtocol):
    """One connection of probes; `out` holds those that wait, with the time at which each was asked."""

    def __init__(self, prober: Prober) -> None:
        super().__init__(prober.network, Role.REQUESTER, client_connection_state())
        self.prober = prober
        self.out: dict[int, int] = {}
        self.count = 0
        self.met = False

    def connection_ready(self) -> None:
        self.send_message(m.Hello(version=m.PROTOCOL_VERSION, role="client"))

    def message_received(self, message: m.AnyMessage, body: bytes, after: StreamState | None) -> None:
        self.met = True
        if (
            isinstance(message, m.RequestServed | m.RequestRejected | m.RequestFailed | m.ErrorNotice)
            and message.id in self.out
        ):
            how = "fulfilled" if isinstance(message, m.RequestServed) else "not served"
            self.prober.tell(self.out.pop(message.id), how)

    def ask(self) -> None:
        day = self.prober.day
        self.count += 1
        self.out[self.count] = now_ns(self.clock)
        self.send_message(
            m.SubmitRequest(
                id=self.count,
                request_class=day.products[0].name,
                tenant=max(day.plans, key=lambda plan: plan.worth).name,
                volume=VOLUME,
                timeout_ms=PATIENCE,
                trace="probe",
            )
        )
        self.clock.callLater(PATIENCE / 1000, self._given_up, self.count)

    def _given_up(self, number: int) -> None:
        if number in self.out:
            self.prober.tell(self.out.pop(number), "no answer")

    def connection_ended(self, mid_message: bool) -> None:
        for asked in self.out.values():
            self.prober.tell(asked, "connection lost")
        self.out.clear()
        self.prober.line = None


class Prober(ClientFactory):
    """Probes one gateway until the network stops."""

    noisy = False

    def __init__(
        self,
        network: Network,
        day: Day,
        gateway: str,
        address: Callable[[], tuple[str, int] | None],
        record: r.Recorder,
    ) -> None:
        self.network = network
        self.day = day
        self.gateway = gateway
        self.address = address
        self.record = record
        self.line: _ProbeLine | None = None
        self.dialling = False

    def start(self) -> None:
        self.network.callLater(PACE, self.start)
        if self.line is not None and self.line.met and self.line.is_open:
            self.line.ask()
            return
        self.tell(now_ns(self.network), "no connection")
        where = self.address()
        if where is not None and not self.dialling and self.line is None:
            self.dialling = True
            self.network.connectTCP(where[0], where[1], self, timeout=2)

    def tell(self, asked: int, how: str) -> None:
        self.record(r.ProbeEnded(t=now_ns(self.network), gateway=self.gateway, sent_at=asked, outcome=how))

    def buildProtocol(self, addr: Any) -> _ProbeLine:
        self.dialling = False
        self.line = _ProbeLine(self)
        return self.line

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.dialling = False
