"""Which nodes this gateway can reach, from how its dials and attempts end. Free of I/O and clocks.

A node counts as unreachable after several failures in a row with no reply in between, or while several
attempts have waited for a reply longer than a healthy node stays silent. Any reply of service makes it
reachable again. Only failures that a live node would not cause count: refused or silent dials, broken
connections, and time-outs. The same rule holds for all nodes together: a few attempts at each may still show
that none replies.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ochrecourse.interface import Ending

MAX_CONSECUTIVE_FAILURES = 3  # one or two are an accident on any busy day
MIN_UNANSWERED_ATTEMPTS = 2  # since the last reply; one may be a heavy request
MAX_SILENCE_NS = 550_000_000  # with attempts unanswered; over a node's pauses, well under a second
FAILURES = frozenset((Ending.UNREACHABLE, Ending.RESET, Ending.TIMEOUT))


@dataclass(slots=True)
class ContactHistory:
    """Failures in a row, and what was sent since the last reply."""

    consecutive_failures: int = 0
    unanswered_attempts: int = 0
    unanswered_since: int = 0  # ns, when the first of the unanswered attempts was sent

    def attempt_sent(self, now: int) -> None:
        """An attempt is sent; `now` in ns."""
        if not self.unanswered_attempts:
            self.unanswered_since = now
        self.unanswered_attempts += 1

    def attempt_ended(self, ending: Ending) -> None:
        """An attempt ended so."""
        if ending in FAILURES:
            self.consecutive_failures += 1
        elif ending is Ending.FULL:
            # Guards against a hung node that rejects what its queue has no room for: that is no service.
            self.unanswered_attempts = max(0, self.unanswered_attempts - 1)
        else:
            self.consecutive_failures = self.unanswered_attempts = 0

    def is_silent(self, now: int) -> bool:
        """Whether several attempts have waited too long for a reply; `now` in ns."""
        enough = self.unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS
        return enough and now - self.unanswered_since > MAX_SILENCE_NS


class NodeHealth:
    """The contact history of every node that was sent an attempt."""

    def __init__(self) -> None:
        self.histories: dict[int, ContactHistory] = {}  # by node
        self.all_nodes = ContactHistory()

    def attempt_sent(self, node: int, now: int) -> None:
        """An attempt is sent to this node; `now` in ns."""
        self.histories.setdefault(node, ContactHistory()).attempt_sent(now)
        self.all_nodes.attempt_sent(now)

    def attempt_ended(self, node: int, ending: Ending) -> None:
        """An attempt at this node ended so."""
        self.histories.setdefault(node, ContactHistory()).attempt_ended(ending)
        self.all_nodes.attempt_ended(ending)

    def count_reachable(self, nodes: Iterable[int], now: int) -> int:
        """How many of these nodes are reachable; `now` in ns."""
        if self.all_nodes.is_silent(now):
            return 0
        return sum(self._is_reachable(node, now) for node in nodes)

    def _is_reachable(self, node: int, now: int) -> bool:
        history = self.histories.get(node)
        if history is None:
            return True
        return history.consecutive_failures < MAX_CONSECUTIVE_FAILURES and not history.is_silent(now)
