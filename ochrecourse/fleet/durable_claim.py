"""What a heartbeat claims of the log: only what survives a power failure here.

While a sync is under way a heartbeat goes on with what was durable last: a slow disk makes a gateway's
claims older, not the gateway silent. Free of I/O, clock and chance.
"""

from __future__ import annotations

from dataclasses import dataclass

from ochrecourse.fleet.entries import Timestamp
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import START


@dataclass(frozen=True, slots=True)
class LogClaim:
    """What rests on the entries of others here. `incarnation`: of this gateway; `status`: the frontier's in
    the heartbeat, with the digest of its view; `floor`: all entries up to there are here, as long as that
    view stands.
    """

    incarnation: int
    status: bytes
    floor: Timestamp = START


class DurableClaim:
    """The newest claim that is durable. One sync is requested at a time."""

    def __init__(self, log_store: LogStore) -> None:
        self.log_store = log_store
        self._claim: LogClaim | None = None
        self._is_syncing = False

    def update(self, current: LogClaim) -> LogClaim | None:
        """The claim that may be made now, where `current` would be true of what is in memory; None if nothing
        may be claimed in this incarnation yet.
        """
        if not self._is_syncing:
            self._is_syncing = True
            self.log_store.sync(lambda error: self._synced(current))
        if self._claim is None or self._claim.incarnation != current.incarnation:
            return None
        return self._claim

    def _synced(self, claim: LogClaim) -> None:
        # Also after an error: a gateway whose disk has failed must not hold up the whole fleet's order.
        self._is_syncing = False
        self._claim = claim
