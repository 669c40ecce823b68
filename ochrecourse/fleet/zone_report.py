"""What a gateway reports of zones in its heartbeats: counts of attempts by zone and by node.

Only of zones with failures and, for a node that another gateway reports as failing, whether it answered here.
The structs are arrays in JSON: the order of their fields is the form on the wire. Free of I/O, clocks and
chance.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from ochrecourse.common.errors import OchrecourseError

MAX_REPORTED = 1024  # zones, and nodes, in one report; the largest fleet that is planned for
UNIT_FRACTIONS = 100  # fractions of a unit in which units are reported; a request may be less than one unit
MAX_COUNT = 1 << 40
MAX_NODE = 1 << 62
MAX_DEMAND = 1e9  # units a second

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
NodeNumber = Annotated[int, msgspec.Meta(ge=-MAX_NODE, le=MAX_NODE)]
Demand = Annotated[float, msgspec.Meta(ge=0, le=MAX_DEMAND)]


class ZoneReportError(OchrecourseError):
    """A peer's report of zones cannot be read; the text names its mistake."""


class AttemptTotals(NamedTuple):
    """All attempts of one gateway that ended in the window, at nodes of all zones.

    Without defaults, so that a report with fewer counts is malformed.
    """

    attempts: Count
    served: Count
    full: Count  # answered that the node is full
    slow: Count


NO_ATTEMPTS = AttemptTotals(0, 0, 0, 0)


class ZoneCounts(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Attempts at a zone's nodes that ended in the window by their ending, distinct nodes, and units.

    Units are in fractions (`UNIT_FRACTIONS`); those that a full node rejected count as served.
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
        """Attempts that the node answered, if only that it is full."""
        return self.served + self.full

    @property
    def failed(self) -> int:
        """Attempts that the node did not answer, or with an error."""
        return self.refused + self.reset + self.timed_out + self.errors


class NodeReport(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """`failures`: in a row since the node last answered, if one is recent; `is_alive`: it answered recently;
    `refuses`: the last failure was a refusal or a reset.
    """

    node: NodeNumber
    failures: Count
    is_alive: bool
    refuses: bool = False


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """One gateway's report. `exhausted_zones`: those at most of whose nodes it used up its rate; `demand`: by
    node with a limited rate, units a second that its requests need there beyond its rate.
    """

    totals: AttemptTotals = NO_ATTEMPTS
    zones: Annotated[tuple[ZoneCounts, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    nodes: Annotated[tuple[NodeReport, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    exhausted_zones: Annotated[tuple[Count, ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()
    demand: Annotated[tuple[tuple[NodeNumber, Demand], ...], msgspec.Meta(max_length=MAX_REPORTED)] = ()


_DECODER = msgspec.json.Decoder(ZoneReport)


def decode_report(status: bytes) -> ZoneReport:
    """A peer's report. Raises ZoneReportError."""
    try:
        return _DECODER.decode(status)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZoneReportError(f"what it tells of zones is none: {error}") from None
