"""Limits of a client connection: its request rate, and the minimum speed of its input. Free of I/O.

A request over the rate gets 429 with Retry-After; the connection stays open, so that requests under way are
still answered. A connection that sends headers or a body too slowly is closed: it occupies one of a limited
number of connections, and its request has not been submitted yet.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.common.time_units import SECOND


class ConnectionLimits(NamedTuple):
    """The limits from the settings. Sizes in bytes, times in ns, rates per second."""

    max_connections: int
    max_header_bytes: int  # of request line and headers in total
    max_headers: int
    max_body_bytes: int  # of a PUT
    rate: float  # of requests on one connection
    burst: float  # requests at once on a connection that was idle
    idle_timeout: int  # between requests
    header_timeout: int  # from the first byte of a request to the end of its headers
    min_body_rate: float  # bytes per second, averaged over a body; applies after `body_grace`
    body_grace: int


@dataclass(slots=True)
class RateLimiter:
    """A token bucket for the requests of one connection."""

    tokens: float
    updated_at: int

    def acquire(self, limits: ConnectionLimits, now: int) -> int:
        """Takes a token: returns 0, or the ns until the next one if there is none."""
        self.tokens = min(limits.burst, self.tokens + limits.rate * (now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return round((1 - self.tokens) / limits.rate * SECOND) + 1


@dataclass(slots=True)
class IncomingRequest:
    """A request that is being received: when its headers, then its body began, and the bytes of the body."""

    phase_start: int
    receiving_body: bool = False
    body_received: int = 0

    def is_too_slow(self, limits: ConnectionLimits, now: int) -> bool:
        """Returns whether headers took too long or the body arrives below the minimum rate."""
        elapsed = now - self.phase_start
        if not self.receiving_body:
            return elapsed > limits.header_timeout
        return elapsed > limits.body_grace and self.body_received < limits.min_body_rate * elapsed / SECOND
