"""The claims about the log in a heartbeat: only of entries that survive a power failure of this gateway.

While a sync is under way, heartbeats repeat the last durable claim: with a slow disk a gateway's claims get
older, but its heartbeats continue. Free of I/O, clock and chance.
"""

from __future__ import annotations

from dataclasses import dataclass

from ochrecourse.fleet.entries import Timestamp
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import START


@dataclass(frozen=True, slots=True)
class LogClaim:
    """The claims that depend on stored entries. `incarnation`: of this gateway. `status`: the frontier's
    status for the heartbeat, with the digest of its view. `watermark`: the own one, valid with that view.
    """

    incarnation: int
    status: bytes
    watermark: Timestamp = START


class DurableClaim:
    """The newest claim that is durable. One sync is requested at a time."""

    def __init__(self, log_store: LogStore) -> None:
        """Without a claim until the first sync has ended."""
        self.log_store = log_store
        self._claim: LogClaim | None = None
        self._is_syncing = False

    def update(self, current: LogClaim) -> LogClaim | None:
        """The newest durable claim; None if there is none of this incarnation yet. `current`: the claim that
        is true of the entries in memory.
        """
        if not self._is_syncing:
            self._is_syncing = True
            self.log_store.sync(lambda error: self._synced(current))
        if self._claim is None or self._claim.incarnation != current.incarnation:
            return None
        return self._claim

    def _synced(self, claim: LogClaim) -> None:
        # Also after an error: a gateway with a failed disk must not stop the stability frontier.
        self._is_syncing = False
        self._claim = claim
