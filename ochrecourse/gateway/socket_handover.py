"""When a gateway may hand its listening sockets to the next process of its name, and how far that has come.

Free of I/O and clocks. The next process holds the sockets beside this one until it has a list of nodes; only
then is this one told to leave. So at each moment somebody accepts, and if the next process ends before its
word nothing has changed. Connections that wait to be accepted belong to the sockets and are the next
process's.

What the fleet shares has one writer. Once the next process has its list, this one leaves the fleet, gives up
the journal and goes on serving; the next reads the journal, goes on under a new life, and only then accepts.
If it ends before it does, this one takes its place in the fleet again, under a new life too.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any


class HandoverStep(Enum):
    """How far a handover has come, on the side that gives."""

    NONE = "nobody asked"
    OFFERED = "another process holds the sockets too"
    RELEASED = "the other process has the journal of the fleet; this one still serves"
    GIVEN = "the other process accepts; this one leaves"


def in_the_way(record: Mapping[str, Any]) -> str:
    """Why a gateway with these settings can't hand its sockets over; empty if it can."""
    if "bgp" in record:
        # Guards against two sessions for one address: the end of the first would withdraw it.
        return "it announces service addresses: drain it, and BGP moves its traffic"
    if "webdav" in record:
        # Guards against two trees: names and locks are in the memory of the process that serves them.
        return "its names and locks are in its memory: drain it, then start the next process"
    if record["gateway"]["seed"]:
        # Guards against two jobs under one mark, of which a node would drop the second as a repeat.
        return "gateway.seed is set, so both processes would name their jobs alike"
    return ""


def moved_from(record: Mapping[str, Any], held: Mapping[str, str]) -> str:
    """Why these sockets (HOST:PORT by name) are not those of the settings; empty if they are.

    Port 0 is any.
    """
    wanted = {"native": record["gateway"]["listen"], "admin": record["gateway"]["admin"]}
    wanted["fleet"] = record["fleet"]["listen"] if "fleet" in record else ""
    for what, at in held.items():
        said = wanted.get(what, "")
        host, _, port = said.rpartition(":")
        if said and port != "0" and (host.strip("[]"), port) != tuple(at.rsplit(":", 1)):
            return f"the {what} socket is at {at} and the settings say {said}: a move needs a restart"
    return ""


class Handover:
    """The side that gives: one taker at a time, each step once."""

    def __init__(self, record: Mapping[str, Any]) -> None:
        self.record = record
        self.step = HandoverStep.NONE
        self.taker: object = None

    def ask(self, taker: object, takes_jobs: bool) -> str:
        """Another process asks for the sockets; why it does not get them, or nothing."""
        why = in_the_way(self.record)
        if why:
            return why
        if not takes_jobs or self.step is HandoverStep.GIVEN:
            return "it is leaving"
        if self.step is not HandoverStep.NONE and taker is not self.taker:
            return "another process has asked for them and is not ready yet"
        if self.step is HandoverStep.NONE:
            self.step, self.taker = HandoverStep.OFFERED, taker
        return ""

    def released(self, taker: object) -> bool:
        """The taker has a list of nodes and wants the journal of the fleet; True if it is to be given up."""
        if self.step is not HandoverStep.OFFERED or taker is not self.taker:
            return False
        self.step = HandoverStep.RELEASED
        return True

    def accepted(self, taker: object) -> bool:
        """The taker says that it serves; True if this gateway is to leave now."""
        before = HandoverStep.RELEASED if "fleet" in self.record else HandoverStep.OFFERED
        if self.step is not before or taker is not self.taker:
            return False
        self.step = HandoverStep.GIVEN
        return True

    def lost(self, taker: object) -> bool:
        """The taker's connection ended; before its word that changes nothing, and another may ask. True if
        the journal of the fleet was given up for it: it is to be taken back."""
        if taker is not self.taker:
            return False
        self.taker = None
        back = self.step is HandoverStep.RELEASED
        if self.step is not HandoverStep.GIVEN:
            self.step = HandoverStep.NONE
        return back
