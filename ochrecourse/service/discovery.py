"""Maps the platform's endpoint list and its watch events to `interface` entries. Free of I/O and clocks.

Only this module uses the platform's field names: `generation` is a list's version, `reset` marks a complete
list, `instances` are its nodes, `cell` is a node's shard, `lifecycle` its health. The platform identifies
nodes by name, the gateway by number; a name keeps its number as long as the node may return. The platform
states start times in Unix time, the gateway uses this host's monotonic clock; the offset between the two
clocks is determined once, so that a node's start time is the same in all lists.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.time_units import MS
from ochrecourse.interface import Health, ListKind, NodeEntry

HEALTH_BY_LIFECYCLE = {"Ready": Health.READY, "Terminating": Health.DRAINING, "Gone": Health.GONE}
MAX_GONE_NAMES = 4_096  # names of removed nodes that keep their number; some hundreds may leave at once
MAX_PORT_DIGITS = 5
START_TIME_LIMIT_MS = 1e15  # Unix time, far later than any start


class MalformedEndpointListError(OchrecourseError):
    """A line of the endpoint list that can't be applied, not even in part; the text says why."""


class LineDecoder:
    """Decodes JSON objects from lines; an object may be indented over several lines."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: limit of one object."""
        self.max_bytes = max_bytes
        self._buffer = bytearray()  # lines of an incomplete object
        self._indent = 0  # blanks before its first line
        self._open_braces = 0

    @property
    def incomplete(self) -> bool:
        """Whether the last line left an object incomplete."""
        return bool(self._buffer)

    def decode(self, line: bytes) -> Any:
        """Returns the object that this line completes, or None. Raises MalformedEndpointListError if no
        further lines can complete it.
        """
        text = line.strip()
        if not text:
            if self._buffer:
                raise MalformedEndpointListError("an object of the list is incomplete")
            return None
        indent = len(line) - len(line.lstrip())
        if not self._buffer:
            try:
                return json.loads(text.decode())
            except json.JSONDecodeError as error:
                ends_early = error.pos >= len(error.doc)  # valid JSON so far
                if text[:1] != b"{" or not ends_early:
                    raise MalformedEndpointListError("a line of the list is not JSON") from None
            except (ValueError, RecursionError):
                raise MalformedEndpointListError("a line of the list is not JSON") from None
            self._indent, self._open_braces = indent, 0
        return self._append(text, indent)

    def _append(self, text: bytes, indent: int) -> Any:
        """Appends a line to an object over several lines; returns the object if it is complete, else None."""
        self._buffer += text + b"\n"
        self._open_braces += text.count(b"{") - text.count(b"}")
        if len(self._buffer) > self.max_bytes:
            raise MalformedEndpointListError("an object of the list is too long")
        # Braces within strings are counted too, so a closing brace at the first line's indent also ends it.
        closes = text[:1] == b"}" and indent <= self._indent
        if self._open_braces > 0 and not closes:
            return None
        complete, self._buffer = bytes(self._buffer), bytearray()
        try:
            return json.loads(complete)
        except (ValueError, RecursionError):
            raise MalformedEndpointListError("an object of the list is not JSON") from None


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list, converted to the gateway's types."""

    kind: ListKind
    entries: list[NodeEntry]
    addresses: dict[int, tuple[str, int]]  # by node number


@dataclass(slots=True)
class ParsedEndpoint:
    """A node of a list. Its entry has no number yet; the address of a removed node may be empty."""

    name: str
    entry: NodeEntry
    address: tuple[str, int]


class DiscoveredEndpoints:
    """The endpoint list as discovered by this gateway."""

    def __init__(self, zones: list[str], unix_offset_ns: int) -> None:
        """`zones`: names in the order of the settings; `unix_offset_ns`: offset of Unix time from this host's
        clock.
        """
        self.zone_numbers = {name: i for i, name in enumerate(zones)}
        self.unix_offset_ns = unix_offset_ns
        self.version = 0
        self.node_numbers: dict[str, int] = {}
        self.entries: dict[str, NodeEntry] = {}
        self.documents: dict[str, Any] = {}  # of the same nodes, as received from discovery
        self.gone_names: dict[str, None] = {}  # in order of removal, oldest first
        self._last_number = 0

    @staticmethod
    def version_of(document: Any) -> int:
        """Returns the version of a complete list or a delta. Raises MalformedEndpointListError."""
        if not isinstance(document, dict) or not isinstance(document.get("instances"), list):
            raise MalformedEndpointListError("a line of the list has no nodes")
        version = document.get("generation")
        if not isinstance(version, int) or isinstance(version, bool):
            raise MalformedEndpointListError("a line of the list has no version")
        return version

    def apply(self, document: Any, cached: bool = False) -> EndpointListUpdate:
        """Applies a complete list or a delta of any version; `cached`: a list known from before this start.
        Raises MalformedEndpointListError.
        """
        version = self.version_of(document)
        complete = cached or document.get("reset") is True
        parsed = self.parse_endpoints(document)
        if complete:
            for name in self.entries.keys() - {endpoint.name for endpoint in parsed}:
                self._remove(name)
        entries: list[NodeEntry] = []
        addresses: dict[int, tuple[str, int]] = {}
        for endpoint, endpoint_document in zip(parsed, document["instances"], strict=True):
            entry = endpoint.entry
            entry.node = self._number_of(endpoint.name)
            if entry.health is Health.GONE:
                self._remove(endpoint.name)
            else:
                self.gone_names.pop(endpoint.name, None)
                self.entries[endpoint.name] = entry
                self.documents[endpoint.name] = endpoint_document
                addresses[entry.node] = endpoint.address
            entries.append(entry)
        self.version = version
        kind = ListKind.CACHED if cached else ListKind.FULL if complete else ListKind.DELTA
        return EndpointListUpdate(kind, entries, addresses)

    def _number_of(self, name: str) -> int:
        if name not in self.node_numbers:
            self._last_number += 1
            self.node_numbers[name] = self._last_number
        return self.node_numbers[name]

    def _remove(self, name: str) -> None:
        self.entries.pop(name, None)
        self.documents.pop(name, None)
        self.gone_names.pop(name, None)
        self.gone_names[name] = None
        while len(self.gone_names) > MAX_GONE_NAMES:
            oldest = next(iter(self.gone_names))
            del self.gone_names[oldest], self.node_numbers[oldest]

    def parse_endpoints(self, document: Any) -> list[ParsedEndpoint]:
        """Parses the nodes of a complete list or a delta. Raises MalformedEndpointListError."""
        return [self._parse_endpoint(each) for each in document["instances"]]

    def _parse_endpoint(self, document: Any) -> ParsedEndpoint:
        if not isinstance(document, dict) or not isinstance(document.get("instanceId"), str):
            raise MalformedEndpointListError("a node without a name")
        name = document["instanceId"]
        health = HEALTH_BY_LIFECYCLE.get(str(document.get("lifecycle")))
        if health is None:
            raise MalformedEndpointListError(f"node {name[:64]} has an unknown state")
        address = _parse_address(str(document.get("hostPort", "")))
        if address is None and health is not Health.GONE:
            raise MalformedEndpointListError(f"node {name[:64]} has no address")
        shard, started_ms = document.get("cell", 0), document.get("startedAtMs", 0)
        if not isinstance(shard, int) or not isinstance(started_ms, int | float):
            raise MalformedEndpointListError(f"node {name[:64]} has a number out of range")
        if not 0 <= started_ms < START_TIME_LIMIT_MS:
            raise MalformedEndpointListError(f"node {name[:64]} has a number out of range")
        zone = self.zone_numbers.setdefault(str(document.get("zone", "")), len(self.zone_numbers))
        started = max(1, round(started_ms * MS) - self.unix_offset_ns) if started_ms else 0
        return ParsedEndpoint(name, NodeEntry(0, zone, shard, health, started), address or ("", 0))


def _parse_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return None
    return host.strip("[]"), int(port)


class WatchedEndpoints:
    """The endpoint list as received from one watch, up to its last line. Several watches may be open at the
    same time, and a line of one may arrive after a newer line of another. Hence:

    - A delta (`reset` false) is applied if its version is higher than the current one; otherwise it is
      outdated or a duplicate. If another watch has updated the list since this one's last line (or, before
      its first line, since it was opened), a delta need not name nodes that appeared and left in between; the
      complete list as received from this watch is applied instead.
    - A complete list (`reset` true) from the leading watch, the newest one that has received a line at the
      current address, is applied whatever its version. A lower version comes from an agent that restarted its
      numbering or has an older list than the start file, and the agent is authoritative. This version becomes
      the current one, and the owner of the watches ends the others, whose versions are not comparable with
      it.
    - A complete list from any other watch is applied if its version is higher than the current one.
    """

    def __init__(self, endpoints: DiscoveredEndpoints) -> None:
        """Starts from the current list: the watch requests the changes since its version."""
        self.endpoints = endpoints
        self.version = endpoints.version
        self.documents = dict(endpoints.documents)

    def apply(self, document: Any, is_leader: bool) -> EndpointListUpdate | None:
        """Applies a line of the watch; returns None if it is outdated. `is_leader`: no watch of higher
        precedence has received a line. Raises MalformedEndpointListError.
        """
        version = self.endpoints.version_of(document)
        names = [endpoint.name for endpoint in self.endpoints.parse_endpoints(document)]
        complete = document.get("reset") is True
        if not complete and version <= self.version:
            return None
        updated_by_another = self.version != self.endpoints.version
        if complete:
            self.documents.clear()
        self.version = version
        for name, endpoint_document in zip(names, document["instances"], strict=True):
            if endpoint_document["lifecycle"] == "Gone":
                self.documents.pop(name, None)
            else:
                self.documents[name] = endpoint_document
        if version <= self.endpoints.version and not (is_leader and complete):
            return None
        if updated_by_another and not complete:
            document = {"generation": version, "reset": True, "instances": list(self.documents.values())}
        return self.endpoints.apply(document)
