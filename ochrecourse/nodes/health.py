"""Judges which nodes are reachable, from the outcomes of dials and attempts. Performs no I/O, reads no clock.

A node counts as unreachable after several consecutive failures, or while several attempts have waited for a
reply longer than a healthy node pauses. Any reply that shows service makes it reachable again. Only failures
that a live node does not cause count: refused or unanswered dials, broken connections, and time-outs. The
same rule applies to all nodes together, so that a few attempts at each are enough to show that none replies.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ochrecourse.interface import Ending

MAX_CONSECUTIVE_FAILURES = 3  # one or two also occur at healthy nodes under load
MIN_UNANSWERED_ATTEMPTS = 2  # since the last reply; a single one may be an expensive request
MAX_SILENCE_NS = 550_000_000  # with attempts unanswered; longer than a node's pauses, well under a second
FAILURES = frozenset((Ending.UNREACHABLE, Ending.RESET, Ending.TIMEOUT))


@dataclass(slots=True)
class ContactHistory:
    """Consecutive failures, and attempts sent since the last reply."""

    consecutive_failures: int = 0
    unanswered_attempts: int = 0
    unanswered_since: int = 0  # ns, when the first unanswered attempt was sent

    def attempt_sent(self, now: int) -> None:
        """Records that an attempt is sent; `now` in ns."""
        if not self.unanswered_attempts:
            self.unanswered_since = now
        self.unanswered_attempts += 1

    def attempt_ended(self, ending: Ending) -> None:
        """Records the ending of an attempt."""
        if ending in FAILURES:
            self.consecutive_failures += 1
        elif ending is Ending.FULL:
            # A hung node still rejects attempts when its queue is full: a rejection does not show service.
            self.unanswered_attempts = max(0, self.unanswered_attempts - 1)
        else:
            self.consecutive_failures = self.unanswered_attempts = 0

    def is_silent(self, now: int) -> bool:
        """Whether several attempts have waited too long for a reply; `now` in ns."""
        enough = self.unanswered_attempts >= MIN_UNANSWERED_ATTEMPTS
        return enough and now - self.unanswered_since > MAX_SILENCE_NS


class NodeHealth:
    """The contact history of every node to which an attempt was sent."""

    def __init__(self) -> None:
        self.histories: dict[int, ContactHistory] = {}  # by node
        self.all_nodes = ContactHistory()

    def attempt_sent(self, node: int, now: int) -> None:
        """Records that an attempt is sent to this node; `now` in ns."""
        self.histories.setdefault(node, ContactHistory()).attempt_sent(now)
        self.all_nodes.attempt_sent(now)

    def attempt_ended(self, node: int, ending: Ending) -> None:
        """Records the ending of an attempt at this node."""
        self.histories.setdefault(node, ContactHistory()).attempt_ended(ending)
        self.all_nodes.attempt_ended(ending)

    def count_reachable(self, nodes: Iterable[int], now: int) -> int:
        """Returns the number of these nodes that are reachable; `now` in ns."""
        if self.all_nodes.is_silent(now):
            return 0
        return sum(self._is_reachable(node, now) for node in nodes)

    def _is_reachable(self, node: int, now: int) -> bool:
        history = self.histories.get(node)
        if history is None:
            return True
        return history.consecutive_failures < MAX_CONSECUTIVE_FAILURES and not history.is_silent(now)
