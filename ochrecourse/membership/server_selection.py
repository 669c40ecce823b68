"""Selects a registry server and the backoff before it is used, and detects a lagging watch. Free of I/O.

After a failure another server is chosen at random, after a doubling backoff with full jitter, so that
gateways that lost the same server at the same moment reconnect spread over servers and time. An established
watch resets the backoff.

A freshness check reads the newest revision under the prefix from another server. If that revision is newer
than the known one, its watch event may be in flight; if it is still missing after MAX_WATCH_LAG_S, the
watch's server is behind or withholds it.
"""

from __future__ import annotations

from collections.abc import Callable

RESPONSE_TIMEOUT_S = 0.8  # longer than a busy registry takes, less than half of a drain's grace period
FRESHNESS_CHECK_INTERVAL_S = 1.0  # with RESPONSE_TIMEOUT_S well within a drain's grace period of 2 s
MAX_WATCH_LAG_S = 0.3  # tolerated delay of the watch behind the result of a freshness check
INITIAL_BACKOFF_S = 0.5  # upper bound before the first reconnect: gateways must not reconnect all at once
MAX_BACKOFF_S = 2.0
DISTRUST_ROUNDS = 2  # times each server may be distrusted before an operator is warned


class ServerSelector:
    """The index of the current server among `server_count`, and the backoff after a failure.

    `random_fraction` returns numbers from 0 to 1.
    """

    def __init__(self, server_count: int, random_fraction: Callable[[], float]) -> None:
        self.server_count = server_count
        self.random_fraction = random_fraction
        self.current = int(random_fraction() * server_count)
        self.backoff_s = INITIAL_BACKOFF_S
        self.distrusted_in_a_row = 0
        self.operator_notified = False

    def pick_other(self) -> int:
        """Returns a random server other than the current one, or the current one if it is the only one."""
        if self.server_count == 1:
            return self.current
        return (self.current + 1 + int(self.random_fraction() * (self.server_count - 1))) % self.server_count

    def server_failed(self) -> float:
        """Makes another server the current one; returns the backoff, in s, before it is used."""
        self.current = self.pick_other()
        delay_s = self.backoff_s * self.random_fraction()
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
        return delay_s

    def watch_established(self) -> None:
        """The current server is trusted and watched: resets the backoff and the distrust count."""
        self.backoff_s = INITIAL_BACKOFF_S
        self.distrusted_in_a_row = 0
        self.operator_notified = False

    def server_distrusted(self) -> bool:
        """Counts an untrusted server. Returns True once if no server is trusted and an operator must be
        warned.
        """
        self.distrusted_in_a_row += 1
        if self.operator_notified or self.distrusted_in_a_row < DISTRUST_ROUNDS * self.server_count:
            return False
        self.operator_notified = True
        return True


class WatchLag:
    """Compares the watch with the revisions that freshness checks read from other servers.

    `awaited_revision`: the revision of the last check if it was not known yet; 0 if none is awaited.
    """

    def __init__(self) -> None:
        self.awaited_revision = 0

    def newest_revision_seen(self, newest: int, known: int) -> float:
        """Records a check's result; returns s until `is_behind` is due, or until the next check if none is
        awaited.
        """
        self.awaited_revision = newest if newest > known else 0
        return MAX_WATCH_LAG_S if self.awaited_revision else FRESHNESS_CHECK_INTERVAL_S

    def is_behind(self, known: int) -> bool:
        """Whether the awaited revision is still missing; clears `awaited_revision`."""
        is_missing = self.awaited_revision > known
        self.awaited_revision = 0
        return is_missing
