"""The lease of this gateway's own entry in the registry. Free of I/O and clocks.

A lease is granted, the entry is put under it, and keepalives follow every third of its time to live. The
lease counts as active until its time to live has passed, on this host's clock, since the last request that
extended it. An unreachable registry and one that lost the lease therefore have the same effect, and neither
stops the gateway from serving.
"""

from __future__ import annotations

from enum import Enum

from ochrecourse.common.time_units import SECOND

KEEPALIVES_PER_TTL = 3


class LeaseAction(Enum):
    """The next request to the registry."""

    WAIT = "wait"
    GRANT = "grant"
    PUT = "put"
    KEEPALIVE = "keepalive"


class Lease:
    """State machine of one lease of `ttl_seconds`. Times in ns on this host's clock.

    `lease_id`: 0 without a lease. `entry_put`: the entry was put under the lease. `next_action_at`: no
    request is due before. `losses`: how often a lease with the entry expired or was unknown to the registry.
    """

    def __init__(self, ttl_seconds: int) -> None:
        self.ttl_seconds = ttl_seconds
        self.lease_id = 0
        self.entry_put = False
        self.expires_at = 0
        self.next_action_at = 0
        self.losses = 0

    def next_action(self, now: int) -> LeaseAction:
        """Returns the request that is due; the caller sends it and reports the response."""
        if self.lease_id and now >= self.expires_at:
            self._lose()
        if now < self.next_action_at:
            return LeaseAction.WAIT
        if not self.lease_id:
            return LeaseAction.GRANT
        return LeaseAction.KEEPALIVE if self.entry_put else LeaseAction.PUT

    def granted(self, lease_id: int, requested_at: int) -> None:
        """The registry granted a lease; its time to live starts when the request was sent."""
        self.lease_id, self.entry_put, self.next_action_at = lease_id, False, requested_at
        self.expires_at = requested_at + self.ttl_seconds * SECOND

    def put_confirmed(self, requested_at: int) -> None:
        """The registry stored the entry under the lease."""
        self.entry_put = True
        self.next_action_at = requested_at + self.ttl_seconds * SECOND // KEEPALIVES_PER_TTL

    def keepalive_received(self, ttl_seconds: int, requested_at: int) -> None:
        """The registry responded to a keepalive; a `ttl_seconds` of 0 or less: it has no such lease."""
        if ttl_seconds <= 0:
            self._lose()
            return
        self.expires_at = requested_at + ttl_seconds * SECOND
        self.next_action_at = requested_at + ttl_seconds * SECOND // KEEPALIVES_PER_TTL

    def not_found(self) -> None:
        """The registry responded that it has no such lease."""
        self._lose()

    def request_failed(self, now: int, backoff: int) -> None:
        """Schedules the next request `backoff` ns after a failed one."""
        self.next_action_at = now + backoff

    def is_active(self, now: int) -> bool:
        """Whether the registry has the entry, as far as this gateway knows."""
        return self.entry_put and now < self.expires_at

    def _lose(self) -> None:
        self.losses += self.entry_put
        self.lease_id, self.entry_put, self.next_action_at = 0, False, 0
