"""Appends of a fleet member to its event log, with their counts and refusals."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.kept import Kept
from ochrecourse.fleet.log import Refused
from ochrecourse.fleet.operator_log import OperatorLog


class EventAppender:
    """`wall_ms`: ms since 1970. `on_appended` is called after each append, to send it to the peers."""

    def __init__(
        self,
        log_store: Kept,
        wall_ms: Callable[[], int],
        operator_log: OperatorLog,
        on_appended: Callable[[], None],
    ) -> None:
        self.log_store = log_store
        self.wall_ms = wall_ms
        self.operator_log = operator_log
        self.on_appended = on_appended
        self.counts: Counter[str] = Counter()
        self.stopped = False
        self._last_refusal = ""

    def append(self, channel: str, value: object, must: bool) -> Entry:
        """Appends an entry; with `must` a full channel takes it too. Raises log.Refused, OSError; then
        nothing was appended.
        """
        try:
            if self.stopped:
                # Guards against an answer for an entry that no peer receives, and whose journal the next
                # process may have replaced.
                raise Refused("this gateway has left its fleet")
            if channel.encode("utf-8", "replace").decode() != channel:
                raise Refused("a channel's name that is no text")
            entry = self.log_store.append(channel, value, self.wall_ms(), must)
        except (Refused, OSError) as error:
            self._refused(channel, str(error))
            raise
        self._last_refusal = ""
        self.counts["appends"] += 1
        self.on_appended()
        return entry

    def try_append(self, channel: str, value: object, must: bool) -> bool:
        """Whether the entry was appended. A refusal is counted and logged."""
        try:
            self.append(channel, value, must)
        except (Refused, OSError):
            return False
        return True

    def _refused(self, channel: str, reason: str) -> None:
        self.counts["appends refused"] += 1
        if reason != self._last_refusal:
            self._last_refusal = reason
            self.operator_log.write("fleet append refused", channel=channel, why=reason)
