"""The lease of this gateway's own entry in the registry. Free of I/O and clocks.

A lease is granted, the entry is put under it, and keepalives follow at a third of its time to live. The lease
counts as active until its time to live has passed since the last answer that extended it, by this host's
clock: so a registry that can't be reached and one that forgot the lease have the same effect, and neither
stops a gateway serving.
"""

from __future__ import annotations

from enum import Enum

from ochrecourse.common.time_units import SECOND

KEEPALIVES_PER_TTL = 3


class LeaseAction(Enum):
    """What to request of the registry next."""

    WAIT = "wait"
    GRANT = "grant"
    PUT = "put"
    KEEPALIVE = "keepalive"


class Lease:
    """One lease of `ttl_seconds`. Times in ns on this host's clock.

    `lease_id` is 0 without a lease. `entry_put`: the entry was put under it. `next_action_at`: no request
    before that. `losses`: how often a lease with the entry expired or was forgotten by the registry.
    """

    def __init__(self, ttl_seconds: int) -> None:
        self.ttl_seconds = ttl_seconds
        self.lease_id = 0
        self.entry_put = False
        self.expires_at = 0
        self.next_action_at = 0
        self.losses = 0

    def next_action(self, now: int) -> LeaseAction:
        """What to request now; the caller sends it and reports the answer."""
        if self.lease_id and now >= self.expires_at:
            self._lose()
        if now < self.next_action_at:
            return LeaseAction.WAIT
        if not self.lease_id:
            return LeaseAction.GRANT
        return LeaseAction.KEEPALIVE if self.entry_put else LeaseAction.PUT

    def granted(self, lease_id: int, requested_at: int) -> None:
        """The registry granted a lease; its time to live counts from the request."""
        self.lease_id, self.entry_put, self.next_action_at = lease_id, False, requested_at
        self.expires_at = requested_at + self.ttl_seconds * SECOND

    def put_confirmed(self, requested_at: int) -> None:
        """The entry stands under the lease."""
        self.entry_put = True
        self.next_action_at = requested_at + self.ttl_seconds * SECOND // KEEPALIVES_PER_TTL

    def keepalive_received(self, ttl_seconds: int, requested_at: int) -> None:
        """The registry extended the lease; with a `ttl_seconds` of 0 or less it knows no such lease."""
        if ttl_seconds <= 0:
            self._lose()
            return
        self.expires_at = requested_at + ttl_seconds * SECOND
        self.next_action_at = requested_at + ttl_seconds * SECOND // KEEPALIVES_PER_TTL

    def not_found(self) -> None:
        """The registry knows no such lease."""
        self._lose()

    def request_failed(self, now: int, backoff: int) -> None:
        """A request failed; the next one is due after `backoff` ns."""
        self.next_action_at = now + backoff

    def is_active(self, now: int) -> bool:
        """Whether the entry stands in the registry, as far as this gateway knows."""
        return self.entry_put and now < self.expires_at

    def _lose(self) -> None:
        self.losses += self.entry_put
        self.lease_id, self.entry_put, self.next_action_at = 0, False, 0
