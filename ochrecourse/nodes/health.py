"""Which nodes this gateway reaches, from how its dials and attempts go. Free of I/O and clocks.

A node counts as out of reach after several failures in a row with no word from it in between, or while
several attempts have waited for a word of it for longer than a node at work stays silent. Any word of service
brings it back. Only failures that a live node would not cause count: refused or silent dials, broken
connections, and time-outs. The same holds for all nodes together: a few attempts at each may still say that
none answers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ochrecourse.interface import Ending

IN_A_ROW = 3  # failures; one or two are an accident on any busy day
UNHEARD = 2  # attempts sent since the last word; one may be a heavy request
SILENCE = 550_000_000  # ns that a node with attempts may say nothing; over its pauses, well under a second
SILENT = frozenset((Ending.UNREACHABLE, Ending.RESET, Ending.TIMEOUT))


@dataclass(slots=True)
class ContactHistory:
    """Failures in a row, and what was sent since the last word. `since`: when the first of it was."""

    failures: int = 0
    sent: int = 0
    since: int = 0

    def attempt_sent(self, now: int) -> None:
        if not self.sent:
            self.since = now
        self.sent += 1

    def attempt_ended(self, ending: Ending) -> None:
        if ending in SILENT:
            self.failures += 1
        elif ending is Ending.FULL:
            # Guards against a hung node that turns away what its queue won't hold: that is no service.
            self.sent = max(0, self.sent - 1)
        else:
            self.failures = self.sent = 0

    def unheard(self, now: int) -> bool:
        return self.sent >= UNHEARD and now - self.since > SILENCE


class NodeHealth:
    """All nodes that were sent an attempt."""

    def __init__(self) -> None:
        self.nodes: dict[int, ContactHistory] = {}
        self.whole = ContactHistory()

    def sent(self, node: int, now: int) -> None:
        """An attempt goes to this node."""
        self.nodes.setdefault(node, ContactHistory()).attempt_sent(now)
        self.whole.attempt_sent(now)

    def ended(self, node: int, ending: Ending) -> None:
        """An attempt at this node ended so."""
        self.nodes.setdefault(node, ContactHistory()).attempt_ended(ending)
        self.whole.attempt_ended(ending)

    def reached(self, nodes: Iterable[int], now: int) -> int:
        """How many of these nodes are not out of reach."""
        if self.whole.unheard(now):
            return 0
        return sum(self._reached(self.nodes.get(node), now) for node in nodes)

    def _reached(self, heard: ContactHistory | None, now: int) -> bool:
        return heard is None or (heard.failures < IN_A_ROW and not heard.unheard(now))
