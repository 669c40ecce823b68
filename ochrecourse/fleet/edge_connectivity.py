"""Tracks which edges of a site this gateway is connected to and which of them are recovered. Free of I/O and
clocks.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

DIGEST_BYTES = 6
MAX_DIGEST_CHARS = 64  # of another edge's digest in the report


class EdgeConnectivity:
    """The last statuses of a site's edges. `edges`: ordered, empty for a gateway without a site;
    `max_age_ns`: age up to which a status counts as a connection.
    """

    def __init__(self, site: str, edges: Sequence[str], max_age_ns: int) -> None:
        self.edges = tuple(edges)
        self.max_age_ns = max_age_ns
        text = "\n".join((site, *self.edges))
        self.digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
        self.received_at_ns: dict[str, int] = {}  # by edge, arrival of its last status
        self.not_recovered: dict[str, None] = {}  # edges that report a new disk (an ordered set)
        self.mismatches: dict[str, str] = {}  # by edge, its digest if it differs from this one's

    def status_received(self, edge: str, digest: str, recovered: bool, now: int) -> None:
        """Records another gateway's status: the digest of its list of edges, and whether it is recovered."""
        if edge not in self.edges:
            return
        if digest != self.digest:
            # Majorities of two different lists of edges need not have an edge in common.
            self.received_at_ns.pop(edge, None)
            self.mismatches[edge] = digest[:MAX_DIGEST_CHARS]
            return
        self.received_at_ns[edge] = now
        self.mismatches.pop(edge, None)
        if recovered:
            self.not_recovered.pop(edge, None)
        else:
            self.not_recovered[edge] = None

    def connected(self, now: int) -> list[str]:
        """The recovered edges with a recent status, in order of name."""
        return [edge for edge in self._recent(now) if edge not in self.not_recovered]

    def connected_not_recovered(self, now: int) -> list[str]:
        """The edges with a recent status whose new disk is not recovered, in order of name."""
        return [edge for edge in self._recent(now) if edge in self.not_recovered]

    def _recent(self, now: int) -> list[str]:
        least = now - self.max_age_ns
        return [edge for edge, at in sorted(self.received_at_ns.items()) if at >= least]
