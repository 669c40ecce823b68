"""What one connection at the door may ask of it: requests a second, and how slowly it may send. Free of I/O.

A connection that asks faster than its rate is denied (429) with the time after which it may ask again; it is
not ended, so what it has under way still gets its answer. One that sends a head or body too slowly is ended:
it holds a place that others need, and nothing of it is a job yet.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ochrecourse.common.time_units import SECOND


class DoorFigures(NamedTuple):
    """What the settings say of connections. Sizes in bytes, spans in ns, rates a second."""

    connections: int
    header_bytes: int  # request line and headers together
    headers: int
    body: int  # of a PUT
    rate: float  # requests of one connection
    burst: float  # requests at once after a quiet time
    idle: int  # between requests
    head: int  # from the first byte of a request to the end of its headers
    slowest: float  # bytes a second of a body, after `grace`
    grace: int


@dataclass(slots=True)
class Pace:
    """Requests of one connection against its rate: a store that fills with time and gives one a request."""

    store: float
    at: int

    def ask(self, figures: DoorFigures, now: int) -> int:
        """Takes a request: 0 if it may go on, else ns until the next one may."""
        self.store = min(figures.burst, self.store + figures.rate * (now - self.at) / SECOND)
        self.at = now
        if self.store >= 1:
            self.store -= 1
            return 0
        return round((1 - self.store) / figures.rate * SECOND) + 1


@dataclass(slots=True)
class Arrival:
    """A request that is coming in: since when its head, then its body, and how much of the body is here."""

    since: int
    in_body: bool = False
    got: int = 0

    def too_slow(self, figures: DoorFigures, now: int) -> bool:
        spent = now - self.since
        if not self.in_body:
            return spent > figures.head
        return spent > figures.grace and self.got < figures.slowest * spent / SECOND
