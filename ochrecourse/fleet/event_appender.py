"""Appends of a fleet member to its event log, with their counts and rejections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.log_store import AppendResult, LogStore, OnAppended
from ochrecourse.fleet.log import AppendRejectedError
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.wanted_appends import OnEnded, WantedEntry


class EventAppender:
    """Appends entries. `wall_ms`: ms since 1970. `on_appended` is called after one or more appends, to send
    them to peers.
    """

    def __init__(
        self,
        log_store: LogStore,
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
        self._is_sending_due = False
        log_store.on_reported = self._send_appended

    def append(self, channel: str, value: object, must: bool) -> Entry:
        """Appends an entry and blocks until it is durable; with `must`, even if the channel is full. Raises
        log.AppendRejectedError or OSError if nothing was appended.
        """
        try:
            self._check(channel)
            entry = self.log_store.append(channel, value, self.wall_ms(), must)
        except (AppendRejectedError, OSError) as error:
            self._refused(channel, str(error))
            raise
        self._appended()
        self._send_appended()
        return entry

    def request_append(self, channel: str, value: object, must: bool, on_result: OnAppended) -> None:
        """Appends an entry and calls `on_result` once it is durable or has failed, possibly before this
        method returns. Raises AppendRejectedError or OSError if nothing was started.
        """

        def ended(result: AppendResult) -> None:
            if result.error is not None:
                self._refused(channel, str(result.error))
            else:
                self._appended()
            on_result(result)

        try:
            self._check(channel)
            self.log_store.request_append(channel, value, self.wall_ms(), must, ended)
        except (AppendRejectedError, OSError) as error:
            self._refused(channel, str(error))
            raise

    def append_wanted(self, wanted: WantedEntry, on_ended: OnEnded) -> None:
        """Appends an entry of the member itself; `on_ended` is called with whether it is in the log.

        Rejections are counted and logged.
        """
        try:
            self.request_append(*wanted, lambda result: on_ended(result.error is None))
        except (AppendRejectedError, OSError):
            on_ended(False)

    def _check(self, channel: str) -> None:
        """Raises AppendRejectedError if no entry may be appended to the channel."""
        if self.stopped:
            # The entry would be confirmed, but no peer would receive it, and the next process may have
            # replaced the journal.
            raise AppendRejectedError("this gateway has left its fleet")
        if channel.encode("utf-8", "replace").decode() != channel:
            raise AppendRejectedError("a channel's name that is no text")

    def _appended(self) -> None:
        self._last_refusal = ""
        self.counts["appends"] += 1
        self._is_sending_due = True

    def _send_appended(self) -> None:
        """Sends appended entries; those of one sync are sent together."""
        if self._is_sending_due:
            self._is_sending_due = False
            self.on_appended()

    def _refused(self, channel: str, reason: str) -> None:
        self.counts["appends refused"] += 1
        if reason != self._last_refusal:
            self._last_refusal = reason
            self.operator_log.write("fleet append refused", channel=channel, why=reason)
