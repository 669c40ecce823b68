"""Handover of a gateway's listening sockets to the next process of the same name: conditions and progress.

Performs no I/O, reads no clock. The next process, the successor, shares the sockets with this one until it
has an endpoint list; only then does this one drain. So some process accepts at any time, and if the successor
exits before it confirms, nothing has changed. Connections that wait to be accepted belong to the sockets, so
the successor accepts them.

The fleet's journal has a single writer. Once the successor has its list, this process leaves the fleet,
releases the journal and goes on serving; the successor reads the journal, joins under a new incarnation, and
only then accepts. If it exits before that, this process rejoins the fleet, also under a new incarnation.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any


class HandoverStep(Enum):
    """The steps of a handover on the side of the process that hands over."""

    NONE = "nobody asked"
    OFFERED = "another process holds the sockets too"
    RELEASED = "the other process has the journal of the fleet; this one still serves"
    GIVEN = "the other process accepts; this one leaves"


def handover_obstacle(record: Mapping[str, Any]) -> str:
    """Returns why a gateway with these settings can't hand over its sockets; empty if it can."""
    if "bgp" in record:
        # Two BGP sessions would announce one address, and the end of the first would withdraw it.
        return "it announces service addresses: drain it, and BGP moves its traffic"
    if "webdav" in record:
        # Names and locks are in the memory of the serving process, so the two would have different trees.
        return "its names and locks are in its memory: drain it, then start the next process"
    if record["gateway"]["seed"]:
        # Both processes would use the same idempotency keys, and a node would drop the second request.
        return "gateway.seed is set, so both processes would name their jobs alike"
    return ""


def socket_mismatch(record: Mapping[str, Any], addresses: Mapping[str, str]) -> str:
    """Returns how these sockets (HOST:PORT by name) differ from the settings; empty if they don't.

    Port 0 in the settings matches any port.
    """
    configured = {"native": record["gateway"]["listen"], "admin": record["gateway"]["admin"]}
    configured["fleet"] = record["fleet"]["listen"] if "fleet" in record else ""
    for name, address in addresses.items():
        wanted = configured.get(name, "")
        host, _, port = wanted.rpartition(":")
        if wanted and port != "0" and (host.strip("[]"), port) != tuple(address.rsplit(":", 1)):
            return f"the {name} socket is at {address} and the settings say {wanted}: a move needs a restart"
    return ""


class Handover:
    """The handover on the side of the process that hands over: one successor at a time, each step once."""

    def __init__(self, record: Mapping[str, Any]) -> None:
        self.record = record
        self.step = HandoverStep.NONE
        self.successor: object = None

    def offer(self, successor: object, accepts_requests: bool) -> str:
        """Handles a process's request for the sockets; returns why it is refused, empty if it is granted."""
        obstacle = handover_obstacle(self.record)
        if obstacle:
            return obstacle
        if not accepts_requests or self.step is HandoverStep.GIVEN:
            return "it is leaving"
        if self.step is not HandoverStep.NONE and successor is not self.successor:
            return "another process has asked for them and is not ready yet"
        if self.step is HandoverStep.NONE:
            self.step = HandoverStep.OFFERED
            self.successor = successor
        return ""

    def release(self, successor: object) -> bool:
        """Handles a successor that has an endpoint list and requests the fleet's journal; returns True if
        the journal is to be released.
        """
        if self.step is not HandoverStep.OFFERED or successor is not self.successor:
            return False
        self.step = HandoverStep.RELEASED
        return True

    def complete(self, successor: object) -> bool:
        """Handles the successor's confirmation that it serves; returns True if this gateway is to drain."""
        before = HandoverStep.RELEASED if "fleet" in self.record else HandoverStep.OFFERED
        if self.step is not before or successor is not self.successor:
            return False
        self.step = HandoverStep.GIVEN
        return True

    def successor_lost(self, successor: object) -> bool:
        """Handles the end of a successor's connection. If it had not confirmed, another process may ask.

        Returns True if the fleet's journal was released for it and is to be taken back.
        """
        if successor is not self.successor:
            return False
        self.successor = None
        take_back = self.step is HandoverStep.RELEASED
        if self.step is not HandoverStep.GIVEN:
            self.step = HandoverStep.NONE
        return take_back
