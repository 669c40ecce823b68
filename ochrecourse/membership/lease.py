"""This gateway's own entry in the registry, under a lease. Free of I/O and clocks.

The lease is asked for, the entry is put under it, and the lease is kept alive at a third of its time. It
counts as held until its time has run since the last answer that kept it, by this host's clock: so a registry
that can't be reached and one that forgot the lease come to the same, and neither stops a gateway serving.
"""

from __future__ import annotations

from enum import Enum

from ochrecourse.common.time_units import SECOND


class LeaseAction(Enum):
    """What is to be asked of the registry next."""

    NOTHING = "nothing yet"
    GRANT = "a lease"
    PUT = "the entry under the lease"
    KEEP = "the lease kept alive"


class Lease:
    """One lease of `seconds`. Times in ns."""

    def __init__(self, seconds: int) -> None:
        self.seconds = seconds
        self.id = 0  # 0: none
        self.put = False
        self.until = 0  # held until then
        self.next = 0  # when to ask again
        self.lost = 0  # times that it ran out or was forgotten

    def wants(self, now: int) -> LeaseAction:
        """What to ask now; the host asks, and tells what came."""
        if self.id and now >= self.until:
            self._forget()
        if now < self.next:
            return LeaseAction.NOTHING
        if not self.id:
            return LeaseAction.GRANT
        return LeaseAction.KEEP if self.put else LeaseAction.PUT

    def granted(self, number: int, asked_at: int) -> None:
        """A lease was given; its time runs from when it was asked for."""
        self.id, self.put, self.next = number, False, asked_at
        self.until = asked_at + self.seconds * SECOND

    def was_put(self, asked_at: int) -> None:
        self.put = True
        self.next = asked_at + self.seconds * SECOND // 3

    def kept(self, seconds: int, asked_at: int) -> None:
        """A keepalive was answered; 0 s or less: the registry knows no such lease."""
        if seconds <= 0:
            self._forget()
            return
        self.until = asked_at + seconds * SECOND
        self.next = asked_at + seconds * SECOND // 3

    def failed(self, now: int, wait: int) -> None:
        """What was asked for came to nothing; asked again after `wait`."""
        self.next = now + wait

    def held(self, now: int) -> bool:
        return self.put and now < self.until

    def _forget(self) -> None:
        self.lost += self.put
        self.id, self.put, self.next = 0, False, 0
