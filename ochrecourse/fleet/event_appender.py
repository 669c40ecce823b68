"""Appends of a fleet member to its event log, with their counts and refusals."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.log_store import AppendResult, LogStore, OnAppended
from ochrecourse.fleet.log import AppendRejectedError
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.wanted_appends import OnEnded, WantedEntry


class EventAppender:
    """`wall_ms`: ms since 1970. `on_appended` is called after one or more appends, to send them to peers."""

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
        """Appends an entry, and blocks until it is durable; with `must` a full channel takes it too. Raises
        log.AppendRejectedError, OSError; then nothing was appended.
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
        """Appends an entry, and calls `on_result` once it is durable, or could not be made so; possibly
        before this returns. Raises AppendRejectedError, OSError; then nothing is under way.
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
        """Appends what the member itself wants; `on_ended` learns whether it is in the log. A refusal is
        counted and logged.
        """
        try:
            self.request_append(*wanted, lambda result: on_ended(result.error is None))
        except (AppendRejectedError, OSError):
            on_ended(False)

    def _check(self, channel: str) -> None:
        """Raises AppendRejectedError."""
        if self.stopped:
            # Guards against an answer for an entry that no peer receives, and whose journal the next process
            # may have replaced.
            raise AppendRejectedError("this gateway has left its fleet")
        if channel.encode("utf-8", "replace").decode() != channel:
            raise AppendRejectedError("a channel's name that is no text")

    def _appended(self) -> None:
        self._last_refusal = ""
        self.counts["appends"] += 1
        self._is_sending_due = True

    def _send_appended(self) -> None:
        """Sends what was appended; what one sync made durable goes together."""
        if self._is_sending_due:
            self._is_sending_due = False
            self.on_appended()

    def _refused(self, channel: str, reason: str) -> None:
        self.counts["appends refused"] += 1
        if reason != self._last_refusal:
            self._last_refusal = reason
            self.operator_log.write("fleet append refused", channel=channel, why=reason)
