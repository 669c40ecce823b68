"""Which edges of a site this gateway is connected to, and which of those count. Free of I/O and clocks."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

DIGEST_BYTES = 6
MAX_DIGEST_CHARS = 64  # of another edge's digest, as it is reported


class EdgeConnectivity:
    """Statuses of a site's edges. `edges`: in order, empty for a gateway of no site; `max_age_ns`: of a
    status that still counts.
    """

    def __init__(self, site: str, edges: Sequence[str], max_age_ns: int) -> None:
        self.edges = tuple(edges)
        self.max_age_ns = max_age_ns
        text = "\n".join((site, *self.edges))
        self.digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
        self.received_at_ns: dict[str, int] = {}  # by edge, of its last status
        self.not_recovered: dict[str, None] = {}  # edges that say that their disk is new
        self.mismatches: dict[str, str] = {}  # digests of edges that know other edges than this one does

    def status_received(self, edge: str, digest: str, recovered: bool, now: int) -> None:
        """A status of another gateway: the digest of the edges it knows, and whether it is recovered."""
        if edge not in self.edges:
            return
        if digest != self.digest:
            # Guards against majorities of two different lists, which need not share an edge.
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
        """The edges with a recent status that are recovered, in order."""
        return [edge for edge in self._recent(now) if edge not in self.not_recovered]

    def connected_not_recovered(self, now: int) -> list[str]:
        """The edges with a recent status whose disk is new, in order."""
        return [edge for edge in self._recent(now) if edge in self.not_recovered]

    def _recent(self, now: int) -> list[str]:
        least = now - self.max_age_ns
        return [edge for edge, at in sorted(self.received_at_ns.items()) if at >= least]
