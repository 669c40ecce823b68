"""The memory that the connections of all clients may use together. Performs no I/O.

Counted are requests that are queued or running, with their bodies, and replies that wait. A connection with
nothing open is refused a request only when the budget is used, but for a rest that is left for small ones.
Others share half of it: each may use as much as is left of that half, so the more connections use much, the
less each of them may.
"""

from __future__ import annotations

PROCESS_BYTES = 36_000_000  # resident, of a process without clients
CONNECTION_BYTES = 10_000  # of a client's connection with nothing open
USABLE_SHARE = 0.6  # of the rest; the allocator does not return all, and copies exist for moments
MIN_BUDGET_BYTES = 4_194_304  # however little memory the process may use
MAX_BUDGET_BYTES = 134_217_728
MAX_EXPECTED_REPLY_BYTES = 65_536  # the size of the largest object
SHARED_FRACTION = 0.5  # of the budget, for connections that have something open
SMALL_REQUEST_BYTES = 8_192
LARGE_REQUESTS_FRACTION = 0.9  # of the budget, for larger requests; the rest is left for small ones
REPLY_SIZE_DECAY = 0.02  # weight of the newest value in the expected size, when it is smaller than expected


def budget_bytes(memory_mb: int, max_connections: int) -> int:
    """Returns the budget of a process; `memory_mb`: its limit in MB, 0 if none is set."""
    if not memory_mb:
        return MAX_BUDGET_BYTES
    left = memory_mb * 1_000_000 - PROCESS_BYTES - max_connections * CONNECTION_BYTES
    return round(min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, left * USABLE_SHARE)))


class MemoryBudget:
    """The budget, how much of it is used, and the expected sizes of values by request class."""

    __slots__ = ("_reply_sizes", "limit", "used")

    def __init__(self, limit: int = MAX_BUDGET_BYTES) -> None:
        self.limit = limit  # bytes
        self.used = 0  # bytes
        # Bytes for each unit; only classes of the settings are ever served.
        self._reply_sizes: dict[str, float] = {}

    def expected_reply_size(self, request_class: str, units: float) -> int:
        """Returns the size in bytes that the value of a request may have, as far as values were seen."""
        return min(MAX_EXPECTED_REPLY_BYTES, round(self._reply_sizes.get(request_class, 0.0) * units))

    def value_received(self, request_class: str, units: float, size: int) -> None:
        """Records the size of a value: the expected size is near that of the largest recent ones."""
        size_of_unit = size / units
        expected = self._reply_sizes.get(request_class, 0.0)
        weight = 1.0 if size_of_unit > expected else REPLY_SIZE_DECAY
        self._reply_sizes[request_class] = expected + weight * (size_of_unit - expected)


class MemoryAccount:
    """What one connection uses of the budget."""

    __slots__ = ("budget", "used")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.used = 0  # bytes

    def has_room(self, size: int, nothing_open: bool) -> bool:
        """Whether the connection may use `size` more bytes; `nothing_open`: it has no unanswered command."""
        budget = self.budget
        if nothing_open:
            return self.overdraft(size) <= 0
        return self.used + size <= budget.limit * SHARED_FRACTION - budget.used

    def overdraft(self, size: int) -> int:
        """Returns by how many bytes `size` more exceed the budget; 0 or less if they don't."""
        fraction = LARGE_REQUESTS_FRACTION if size > SMALL_REQUEST_BYTES else 1.0
        return self.budget.used + size - round(self.budget.limit * fraction)

    def add(self, size: int) -> None:
        """Counts `size` more bytes; fewer if negative."""
        self.used += size
        self.budget.used += size
