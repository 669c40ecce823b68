"""The zone report in a gateway's heartbeats: counts of attempts by zone and by node.

It covers zones with failures and, for nodes that other gateways report as failing, whether they answered
here. The structs are encoded as JSON arrays, so the order of their fields is the wire format. Free of I/O,
clocks and randomness.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.common.errors import OchrecourseError

MAX_REPORTED = 1024  # zones, and nodes, in one report; the largest supported fleet
UNIT_FRACTIONS = 100  # units are reported in hundredths, since a request may be less than one unit
MAX_COUNT = 1 << 40
MAX_NODE = 1 << 62
MAX_DEMAND = 1e9  # units/s

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
NodeNumber = Annotated[int, msgspec.Meta(ge=-MAX_NODE, le=MAX_NODE)]
Demand = Annotated[float, msgspec.Meta(ge=0, le=MAX_DEMAND)]


class ZoneReportError(OchrecourseError):
    """A peer's zone report cannot be decoded; the text names the cause."""


class AttemptTotals(NamedTuple):
    """Counts of one gateway's attempts that ended in the window, over all zones.

    The fields have no defaults, so a report with fewer counts is malformed.
    """

    attempts: Count
    served: Count
    full: Count  # rejected by a full node
    slow: Count


NO_ATTEMPTS = AttemptTotals(0, 0, 0, 0)


class ZoneCounts(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Counts of the attempts at a zone's nodes that ended in the window, of distinct nodes and of units.

    Units are multiplied by `UNIT_FRACTIONS`; units that a full node rejected count as served.
    """

    zone: Count
    attempts: Count = 0
    served: Count = 0
    full: Count = 0
    refused: Count = 0  # no connection
    reset: Count = 0
    timed_out: Count = 0
    errors: Count = 0
    slow: Count = 0  # of the served ones
    nodes_tried: Count = 0
    nodes_alive: Count = 0
    nodes_failing: Count = 0
    units_served: Count = 0
    units_lost: Count = 0

    @property
    def answered(self) -> int:
        """Attempts that the node answered, including rejections by a full node."""
        return self.served + self.full

    @property
    def failed(self) -> int:
        """Attempts that the node did not answer or answered with an error."""
        return self.refused + self.reset + self.timed_out + self.errors


class NodeReport(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One node in a report.

    `failures`: consecutive failures since the last answer, 0 if none is within the window. `is_alive`: it
    answered recently. `refuses`: the last failure was a refused or reset connection.
    """

    node: NodeNumber
    failures: Count
    is_alive: bool
    refuses: bool = False


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """One gateway's report.

    `exhausted_zones`: zones in which its rate is used up at most nodes. `demand`: for nodes with limited
    rates, the units/s that its requests need beyond its rate.
    """

    totals: AttemptTotals = NO_ATTEMPTS
    zones: Annotated[tuple[ZoneCounts, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    nodes: Annotated[tuple[NodeReport, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    exhausted_zones: Annotated[tuple[Count, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    demand: Annotated[tuple[tuple[NodeNumber, Demand], ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()


_DECODER = msgspec.json.Decoder(ZoneReport)


def decode_report(status: bytes) -> ZoneReport:
    """Decodes a peer's report. Raises ZoneReportError if it is malformed."""
    try:
        return _DECODER.decode(status)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZoneReportError(f"what it tells of zones is none: {error}") from None
