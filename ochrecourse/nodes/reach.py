"""Which nodes this gateway reaches, from how its dials and legs go. Free of I/O and clocks.

A node counts as out of reach after several failures in a row with no word from it in between, or while
several legs have waited for a word of it for longer than a node at work stays silent. Any word brings it
back. Only failures that a live node would not cause count: refused or silent dials, broken connections, time-
outs.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ochrecourse.interface import Ending

IN_A_ROW = 3  # failures; one or two are an accident on any busy day
UNHEARD = 2  # legs sent since the last word; one may be a heavy job
SILENCE = 550_000_000  # ns that a node with legs may say nothing; over its pauses, well under a second
SILENT = frozenset((Ending.UNREACHABLE, Ending.RESET, Ending.TIMEOUT))


@dataclass(slots=True)
class Heard:
    """One node: failures in a row, and what was sent since its last word. `since`: when the first of it was.
    """

    failures: int = 0
    sent: int = 0
    since: int = 0


class Reach:
    """All nodes that were sent a leg."""

    def __init__(self) -> None:
        self.nodes: dict[int, Heard] = {}

    def sent(self, node: int, now: int) -> None:
        """A leg goes to this node."""
        heard = self.nodes.setdefault(node, Heard())
        if not heard.sent:
            heard.since = now
        heard.sent += 1

    def ended(self, node: int, ending: Ending) -> None:
        """A leg at this node ended so."""
        heard = self.nodes.setdefault(node, Heard())
        if ending in SILENT:
            heard.failures += 1
        else:
            heard.failures = heard.sent = 0

    def reached(self, nodes: Iterable[int], now: int) -> int:
        """How many of these nodes are not out of reach."""
        return sum(self._reached(self.nodes.get(node), now) for node in nodes)

    def _reached(self, heard: Heard | None, now: int) -> bool:
        if heard is None:
            return True
        waits = heard.sent >= UNHEARD and now - heard.since > SILENCE
        return heard.failures < IN_A_ROW and not waits
