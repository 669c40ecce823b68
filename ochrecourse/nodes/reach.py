"""Which nodes this gateway reaches, from how its dials and legs end. Free of I/O and clocks.

A node counts as out of reach after several failures in a row with no word from it in between; any word brings
it back. Only failures that a live node would not cause count: refused or silent dials, broken connections,
time-outs.
"""

from __future__ import annotations

from collections.abc import Iterable

from ochrecourse.interface import Ending

IN_A_ROW = 3  # failures; one or two are an accident on any busy day
SILENT = frozenset((Ending.UNREACHABLE, Ending.RESET, Ending.TIMEOUT))


class Reach:
    """Failures in a row by node."""

    def __init__(self) -> None:
        self.failures: dict[int, int] = {}

    def ended(self, node: int, ending: Ending) -> None:
        """A leg at this node ended so."""
        if ending in SILENT:
            self.failures[node] = self.failures.get(node, 0) + 1
        else:
            self.failures.pop(node, None)

    def reached(self, nodes: Iterable[int]) -> int:
        """How many of these nodes are not out of reach."""
        return sum(self.failures.get(node, 0) < IN_A_ROW for node in nodes)
