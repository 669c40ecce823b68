"""The platform's list of nodes and its changes, as `interface` entries. Free of I/O and clocks.

Nodes have texts as names there and numbers here; a name keeps its number as long as it may come back. Times
of starts are Unix time there and this host's clock here; the difference of the two clocks is taken once, so a
start keeps its time through all lists.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ochrecourse.interface import Health, ListKind, NodeEntry
from ochrecourse.common.time_units import MS

STATES = {"Ready": Health.READY, "Terminating": Health.DRAINING, "Gone": Health.GONE}
KEPT_GONE = 4_096  # names of gone nodes that keep their number, should they return; some hundreds go at once


class MalformedEndpointListError(Exception):
    """A line of the list that can't be taken; nothing of it is. The text says why."""


class LineDecoder:
    """Puts objects together that come indented, over several lines; one that stands on one line passes as it
    is."""

    def __init__(self, most: int) -> None:
        """`most`: bytes of one object."""
        self.most = most
        self._text = bytearray()
        self._indent = self._open = 0  # blanks before its first line; braces that are not closed

    @property
    def within(self) -> bool:
        """Whether an object has begun that is not whole."""
        return bool(self._text)

    def take(self, line: bytes) -> Any:
        """The object that this line ends, read, or None. Raises MalformedEndpointListError if no more
        lines can make it one.
        """
        bare = line.strip()
        if not bare:
            if self._text:
                raise MalformedEndpointListError("an object of the list breaks off")
            return None
        indent = len(line) - len(line.lstrip())
        if not self._text:
            text = ""
            try:
                text = bare.decode()
                return json.loads(text)
            except json.JSONDecodeError as trouble:
                if bare[:1] != b"{" or trouble.pos < len(text):  # what is wrong is not that it ends here
                    raise MalformedEndpointListError("a line of the list is not JSON") from None
            except (ValueError, RecursionError):
                raise MalformedEndpointListError("a line of the list is not JSON") from None
            self._indent, self._open = indent, 0
        self._text += bare + b"\n"
        self._open += bare.count(b"{") - bare.count(b"}")
        if len(self._text) > self.most:
            raise MalformedEndpointListError("an object of the list is too long")
        if self._open > 0 and not (bare[:1] == b"}" and indent <= self._indent):
            return None
        whole, self._text = bytes(self._text), bytearray()
        try:
            return json.loads(whole)
        except (ValueError, RecursionError):
            raise MalformedEndpointListError("an object of the list is not JSON") from None


@dataclass(slots=True)
class EndpointListUpdate:
    """What to tell the gateway."""

    kind: ListKind
    entries: list[NodeEntry]
    addresses: dict[int, tuple[str, int]]


class DiscoveredEndpoints:
    """The list as this gateway holds it.

    `zones`: names in the settings' order; `unix_ahead`: ns by which Unix time is ahead of this host's clock.
    """

    def __init__(self, zones: list[str], unix_ahead: int) -> None:
        self.zones = {name: i for i, name in enumerate(zones)}
        self.unix_ahead = unix_ahead
        self.version = 0
        self.numbers: dict[str, int] = {}
        self.listed: dict[str, NodeEntry] = {}
        self.told: dict[str, Any] = {}  # what is listed, as it was told
        self.gone: dict[str, None] = {}  # longest first
        self.count = 0

    @staticmethod
    def version_of(told: Any) -> int:
        """The version of a list or change. Raises MalformedEndpointListError."""
        if not isinstance(told, dict) or not isinstance(told.get("instances"), list):
            raise MalformedEndpointListError("a line of the list names no nodes")
        version = told.get("generation")
        if not isinstance(version, int) or isinstance(version, bool):
            raise MalformedEndpointListError("a line of the list has no version")
        return version

    def take(self, told: Any, cached: bool = False) -> EndpointListUpdate:
        """A list or its changes, whatever their version; `cached`: as it was held before this start. Raises
        MalformedEndpointListError."""
        version = self.version_of(told)
        whole = cached or told.get("reset") is True
        read = self.read(told)
        entries, addresses = [], {}
        if whole:
            for name in self.listed.keys() - {name for name, _, _ in read}:
                self._forget(name)
        for (name, entry, address), text in zip(read, told["instances"], strict=True):
            if name not in self.numbers:
                self.count += 1
                self.numbers[name] = self.count
            entry.node = self.numbers[name]
            if entry.health is Health.GONE:
                self._forget(name)
            else:
                self.gone.pop(name, None)
                self.listed[name] = entry
                self.told[name] = text
                addresses[entry.node] = address
            entries.append(entry)
        self.version = version
        kind = ListKind.CACHED if cached else ListKind.FULL if whole else ListKind.DELTA
        return EndpointListUpdate(kind, entries, addresses)

    def _forget(self, name: str) -> None:
        self.listed.pop(name, None)
        self.told.pop(name, None)
        self.gone.pop(name, None)
        self.gone[name] = None
        while len(self.gone) > KEPT_GONE:
            oldest = next(iter(self.gone))
            del self.gone[oldest], self.numbers[oldest]

    def read(self, told: Any) -> list[tuple[str, NodeEntry, tuple[str, int]]]:
        """The nodes of a list or change: name, entry without a number, address. Raises
        MalformedEndpointListError.
        """
        return [self._read(each) for each in told["instances"]]

    def _read(self, told: Any) -> tuple[str, NodeEntry, tuple[str, int]]:
        if not isinstance(told, dict) or not isinstance(told.get("instanceId"), str):
            raise MalformedEndpointListError("a node without a name")
        name = told["instanceId"]
        health = STATES.get(str(told.get("lifecycle")))
        if health is None:
            raise MalformedEndpointListError(f"node {name[:64]} has an unknown state")
        host, _, port = str(told.get("hostPort", "")).rpartition(":")
        good = host and port.isascii() and port.isdigit() and len(port) < 6
        if not good and health is not Health.GONE:
            raise MalformedEndpointListError(f"node {name[:64]} has no address")
        shard, started = told.get("cell", 0), told.get("startedAtMs", 0)
        if not isinstance(shard, int) or not isinstance(started, int | float) or not 0 <= started < 1e15:
            raise MalformedEndpointListError(f"node {name[:64]} has a figure out of range")
        zone = self.zones.setdefault(str(told.get("zone", "")), len(self.zones))
        begun = max(1, round(started * MS) - self.unix_ahead) if started else 0
        address = (host.strip("[]"), int(port)) if good else ("", 0)
        return name, NodeEntry(0, zone, shard, health, begun), address


class WatchedEndpoints:
    """What one watch has told: the list as of its last line. Several may speak for a while, and a line of one
    may come after a newer line of another. So:

    - A change (`reset` false) is taken if its version is higher than the one held; else it is old, or is here
      already. Where another watch has moved the list on since this one's last line (for its first line: since
      it was asked), a change need not name nodes that came and went meanwhile; then the whole list is taken
      as this watch has told it.
    - A whole list (`reset` true) of the watch that leads, the newest that speaks at the address that counts,
      is taken whatever its version: with a lower one it is the list of an agent that numbers anew, or that
      knows less than the start file did; what the agent has is what counts. Its version is held from then on.
      Whoever follows several watches ends the others then: their versions can't be compared with it.
    - A whole list of any other watch is taken if its version is higher than the one held.
    """

    def __init__(self, book: DiscoveredEndpoints) -> None:
        """A watch that is asked for what changed after the list held now."""
        self.book = book
        self.version = book.version
        self.nodes = dict(book.told)

    def take(self, told: Any, leads: bool) -> EndpointListUpdate | None:
        """A line of the watch; None if it is old. `leads`: no newer watch speaks. Raises
        MalformedEndpointListError.
        """
        version = self.book.version_of(told)
        names = [name for name, _, _ in self.book.read(told)]
        whole = told.get("reset") is True
        if not whole and version <= self.version:
            return None
        moved = self.version != self.book.version
        if whole:
            self.nodes.clear()
        self.version = version
        for name, each in zip(names, told["instances"], strict=True):
            if each["lifecycle"] == "Gone":
                self.nodes.pop(name, None)
            else:
                self.nodes[name] = each
        if version <= self.book.version and not (leads and whole):
            return None
        if moved and not whole:
            told = {"generation": version, "reset": True, "instances": list(self.nodes.values())}
        return self.book.take(told)
