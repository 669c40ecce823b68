"""Which server of a registry is used and when, and whether the watch keeps up with the others. Free of I/O.

After a failure another server is chosen at random, after a backoff with full jitter that doubles: gateways
that lost the same server at the same moment reconnect spread over servers and time. An established watch
resets the backoff.

A freshness check reads the newest revision under the prefix from another server. If that revision is newer
than what is known here, its watch event may be on its way; if it is still missing a moment later, the watch's
server is behind or withholds it.
"""

from __future__ import annotations

from collections.abc import Callable

RESPONSE_TIMEOUT_S = 0.8  # more than a busy registry takes, less than half of a drain's grace
FRESHNESS_CHECK_INTERVAL_S = 1.0  # with RESPONSE_TIMEOUT_S well inside a drain's grace of 2 s
MAX_WATCH_LAG_S = 0.3  # that a watch may be behind what a freshness check saw
INITIAL_BACKOFF_S = 0.5  # the most before the first reconnect: many gateways must not arrive at once
MAX_BACKOFF_S = 2.0
DISTRUST_ROUNDS = 2  # times that each server may be distrusted before an operator is notified


class ServerSelector:
    """The index of the current server among `server_count`, and the backoff after a failure.

    `random_fraction` gives numbers from 0 to 1.
    """

    def __init__(self, server_count: int, random_fraction: Callable[[], float]) -> None:
        self.server_count = server_count
        self.random_fraction = random_fraction
        self.current = int(random_fraction() * server_count)
        self.backoff_s = INITIAL_BACKOFF_S
        self.distrusted_in_a_row = 0
        self.operator_notified = False

    def pick_other(self) -> int:
        """A random server other than the current one; the current one if there is no other."""
        if self.server_count == 1:
            return self.current
        return (self.current + 1 + int(self.random_fraction() * (self.server_count - 1))) % self.server_count

    def server_failed(self) -> float:
        """Makes another server the current one; returns s until it is to be used."""
        self.current = self.pick_other()
        delay_s = self.backoff_s * self.random_fraction()
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        return delay_s

    def watch_established(self) -> None:
        """The current server is trusted and watched: the backoff and the count of distrust start anew."""
        self.backoff_s = INITIAL_BACKOFF_S
        self.distrusted_in_a_row = 0
        self.operator_notified = False

    def server_distrusted(self) -> bool:
        """The current server is not trusted. True if an operator is to be notified: no other is either."""
        self.distrusted_in_a_row += 1
        if self.operator_notified or self.distrusted_in_a_row < DISTRUST_ROUNDS * self.server_count:
            return False
        self.operator_notified = True
        return True


class WatchLag:
    """Whether the watch keeps up with what freshness checks of other servers see.

    `awaited_revision`: the newest one that a check saw and that was not known here then; 0: none is awaited.
    """

    def __init__(self) -> None:
        self.awaited_revision = 0

    def newest_revision_seen(self, newest: int, known: int) -> float:
        """A check's result; returns s until `is_behind` is due, or the next check if nothing is awaited."""
        self.awaited_revision = newest if newest > known else 0
        return MAX_WATCH_LAG_S if self.awaited_revision else FRESHNESS_CHECK_INTERVAL_S

    def is_behind(self, known: int) -> bool:
        """Whether the awaited revision is still missing. It is no longer awaited afterwards."""
        is_missing = self.awaited_revision > known
        self.awaited_revision = 0
        return is_missing
