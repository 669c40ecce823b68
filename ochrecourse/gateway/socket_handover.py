"""When a gateway may hand its listening sockets to the next process of its name, and how far that is.

Free of I/O and clocks. The next process, the successor, holds the sockets beside this one until it has an
endpoint list; only then does this one drain. So at each moment some process accepts, and if the successor
ends before it confirms, nothing has changed. Connections that wait to be accepted belong to the sockets and
are the successor's.

What the fleet shares has one writer. Once the successor has its list, this process leaves the fleet, gives up
the journal and goes on serving; the successor reads the journal, goes on under a new incarnation, and only
then accepts. If it ends before it does, this process takes its place in the fleet again, under a new
incarnation too.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any


class HandoverStep(Enum):
    """How far a handover is, on the side that gives."""

    NONE = "nobody asked"
    OFFERED = "another process holds the sockets too"
    RELEASED = "the other process has the journal of the fleet; this one still serves"
    GIVEN = "the other process accepts; this one leaves"


def handover_obstacle(record: Mapping[str, Any]) -> str:
    """Why a gateway with these settings can't hand its sockets over; empty if it can."""
    if "bgp" in record:
        # Guards against two sessions for one address: the end of the first would withdraw it.
        return "it announces service addresses: drain it, and BGP moves its traffic"
    if "webdav" in record:
        # Guards against two trees: names and locks are in the memory of the process that serves them.
        return "its names and locks are in its memory: drain it, then start the next process"
    if record["gateway"]["seed"]:
        # Guards against two requests under one idempotency key, of which a node would drop the second.
        return "gateway.seed is set, so both processes would name their jobs alike"
    return ""


def moved_socket(record: Mapping[str, Any], addresses: Mapping[str, str]) -> str:
    """Why these sockets (HOST:PORT by name) are not those of the settings; empty if they are.

    Port 0 is any.
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
    """The side that gives: one successor at a time, each step once."""

    def __init__(self, record: Mapping[str, Any]) -> None:
        self.record = record
        self.step = HandoverStep.NONE
        self.successor: object = None

    def offer(self, successor: object, accepts_requests: bool) -> str:
        """Another process asks for the sockets; why it does not get them, or nothing."""
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
        """The successor has an endpoint list and wants the journal of the fleet; True if it is to be given
        up.
        """
        if self.step is not HandoverStep.OFFERED or successor is not self.successor:
            return False
        self.step = HandoverStep.RELEASED
        return True

    def complete(self, successor: object) -> bool:
        """The successor confirms that it serves; True if this gateway is to drain now."""
        before = HandoverStep.RELEASED if "fleet" in self.record else HandoverStep.OFFERED
        if self.step is not before or successor is not self.successor:
            return False
        self.step = HandoverStep.GIVEN
        return True

    def successor_lost(self, successor: object) -> bool:
        """The successor's connection closed; before it confirmed that changes nothing, and another may ask.
        True if the journal of the fleet was given up for it: it is to be taken back.
        """
        if successor is not self.successor:
            return False
        self.successor = None
        take_back = self.step is HandoverStep.RELEASED
        if self.step is not HandoverStep.GIVEN:
            self.step = HandoverStep.NONE
        return take_back
