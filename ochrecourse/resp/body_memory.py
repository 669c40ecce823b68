"""The memory of large bodies that clients are sending, of all connections. Performs no I/O.

The memory of a body is reserved when its length is announced. Where none is left for a client that has
nothing else open, bodies in which nothing has come for the longest time make room: a client that has stopped
in the middle of a request does not cost others theirs. The rest of a body without memory is read and
discarded.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.resp.memory_budget import MemoryAccount, MemoryBudget


BUFFER_GROWTH = 0.125  # of a buffer to which is appended, beyond its content


class BodyReceiver(Protocol):
    """A connection that receives a large body."""

    def discard_body(self) -> None:
        """Frees what was received of the body, whose rest is discarded as it comes."""


@dataclass(slots=True)
class _Reservation:
    account: MemoryAccount
    size: int  # bytes


class BodyMemory:
    """The bodies that are being received, the one in which nothing has come for the longest time first."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._receiving: OrderedDict[BodyReceiver, _Reservation] = OrderedDict()
        self._reserved = 0  # bytes

    def make_room(self, account: MemoryAccount, size: int, nothing_open: bool) -> bool:
        """Whether a connection may use `size` more bytes, if need be in place of other clients' bodies."""
        if account.has_room(size, nothing_open):
            return True
        if not nothing_open or account.overdraft(size) > self._reserved:
            return False
        while self._receiving and not account.has_room(size, nothing_open):
            receiver = next(iter(self._receiving))
            self.release(receiver)
            receiver.discard_body()
        return account.has_room(size, nothing_open)

    def reserve(self, receiver: BodyReceiver, account: MemoryAccount, size: int, nothing_open: bool) -> bool:
        """Reserves the memory of a body of `size` bytes, beside what the receiver has; False without any."""
        size += round(size * BUFFER_GROWTH)
        self.body_progressed(receiver)  # the last to make room for itself
        if not self.make_room(account, size, nothing_open):
            return False
        reservation = self._receiving.setdefault(receiver, _Reservation(account, 0))
        reservation.size += size
        self._reserved += size
        account.add(size)
        return True

    def body_progressed(self, receiver: BodyReceiver) -> None:
        """Records that more of a body has come, if one has memory reserved."""
        if receiver in self._receiving:
            self._receiving.move_to_end(receiver)

    def release(self, receiver: BodyReceiver) -> None:
        """Releases the memory of a body that is complete or will not be, if any is reserved."""
        reservation = self._receiving.pop(receiver, None)
        if reservation is not None:
            self._reserved -= reservation.size
            reservation.account.add(-reservation.size)
