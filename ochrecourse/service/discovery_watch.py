"""Follows the platform's endpoint list through hedged watches.

Another watch is opened beside one that hangs or has fallen silent, and the newest that sends a line takes
over. One that ends, fails or can't be read is opened again after a backoff. The current list stays in use
meanwhile.

A change has to be applied within 6 s from when the agent had it and could be reached, whatever failed before.
An attempt is a dial and the watch on its connection. None waits for the end of an earlier one, so the time to
one that finds the agent reachable is at most the longest of these gaps:

    a dial or a response's head that hangs       ATTEMPT_GAP_SECONDS      1.0
    a response without a line so far             FIRST_LINE_GAP_SECONDS   4.25
        at a new address                         MOVED_GAP_SECONDS        2.5
    a watch that falls silent after a line       SILENT_GAP_SECONDS       3.0
    one that failed or ended                     MAX_BACKOFF_SECONDS      0.25

The response itself comes at once. The worst is 4.25 s, 5.25 s if the next attempt hangs too. A new address
counts 4 s after the move: 2.5 s, 3.5 s if the next attempt hangs too.
"""

from __future__ import annotations

from collections.abc import Callable

from ochrecourse.common.runtime import Network, Timer, stop
from ochrecourse.service.discovery import (
    DiscoveredEndpoints,
    EndpointListUpdate,
    MalformedEndpointListError,
)
from ochrecourse.service.watch_connection import WatchConnection, WatchDial

ATTEMPT_GAP_SECONDS = (
    1.0  # from a dial to the next one, without a response's head; the agent is on this machine
)
FIRST_LINE_GAP_SECONDS = 4.25  # from a response's head to the next attempt; two empty lines were due by then
MOVED_GAP_SECONDS = 2.5  # likewise at a new address, until it has sent a line; one empty line was due
SILENT_GAP_SECONDS = 3.0  # from a line to the next attempt; an empty line is sent every 2 s
FIRST_BACKOFF_SECONDS = 0.1  # before a watch that failed is opened again
MAX_BACKOFF_SECONDS = 0.25  # after failures in a row; what an outage delayed counts at once
STEADY_SECONDS = 1.0  # for which a watch has to send lines before its end counts as a first failure
DIAL_TIMEOUT_SECONDS = 2.0
MAX_ATTEMPTS = 6  # dials and watches at once, a descriptor each
OLD_ADDRESS_SECONDS = 2.0  # for which an old address is read beside the new one; it closes after 1.5 s
OUTDATED_ADDRESS_SECONDS = 0.25  # likewise once the new address has sent a newer list: what is on its way
WARNING_PERIOD_SECONDS = 60.0  # in which a warning is logged once, however often its cause returns
MAX_WARNINGS_PER_PERIOD = 8  # different ones; a malformed list may name another node in each


class DiscoveryWatch:
    """Watches the endpoint list at one address, which may change (watch_connection.WatchOwner)."""

    def __init__(
        self,
        network: Network,
        endpoints: DiscoveredEndpoints,
        address: tuple[str, int],
        on_update: Callable[[EndpointListUpdate], None],
        on_warning: Callable[[str], None],
    ) -> None:
        self.network = network
        self.endpoints = endpoints
        self.address = address
        self.address_unproven = False  # it has changed, and the new one has not sent a line yet
        self.on_update = on_update
        self.on_warning = on_warning
        self.dials: list[WatchDial] = []
        self.watches: list[WatchConnection] = []  # the newest last
        self.last_attempt_number = 0
        self.backoff_seconds = FIRST_BACKOFF_SECONDS
        self.next_attempt_timer: Timer | None = None  # always set between `start` and `stop`
        self.next_attempt_at = 0.0  # s of the network's clock
        self.stopped = False
        self._logged_warnings: set[str] = set()
        self._warning_period_ends_at = 0.0

    def start(self) -> None:
        """Opens the first watch."""
        self._start_attempt()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has a new address: a watch is opened there at once."""
        if address == self.address:
            return
        self.address = address
        self.address_unproven = True
        self.backoff_seconds = FIRST_BACKOFF_SECONDS
        for dial in list(self.dials):
            dial.end()
        self._start_attempt()

    def stop(self) -> None:
        """Ends all dials and watches."""
        self.stopped = True
        stop(self.next_attempt_timer)
        for dial in list(self.dials):
            dial.end()
        for watch in list(self.watches):
            watch.end()

    # --- attempts ---

    def _start_attempt(self) -> None:
        stop(self.next_attempt_timer)
        if self.stopped:
            return
        self._limit_attempts()
        self.last_attempt_number += 1
        dial = WatchDial(self, self.last_attempt_number, self.address)
        self.dials.append(dial)
        self._schedule_attempt(ATTEMPT_GAP_SECONDS)
        dial.connector = self.network.connectTCP(*self.address, dial, timeout=DIAL_TIMEOUT_SECONDS)

    def _schedule_attempt(self, seconds: float) -> None:
        """Replaces the time of the next attempt: `seconds` from now."""
        stop(self.next_attempt_timer)
        if not self.stopped:
            self.next_attempt_at = self.network.seconds() + seconds
            self.next_attempt_timer = self.network.callLater(seconds, self._start_attempt)

    def _limit_attempts(self) -> None:
        """Guards against attempts that pile up, and against endless lines that displace a new attempt."""
        while len(self.dials) + len(self.watches) >= MAX_ATTEMPTS:
            attempts: list[WatchDial | WatchConnection] = sorted(
                [*self.dials, *self.watches], key=lambda attempt: attempt.attempt_number
            )
            unproductive = [
                attempt
                for attempt in attempts
                if isinstance(attempt, WatchDial) or not self._is_productive(attempt)
            ]
            (unproductive[0] if unproductive else attempts[-1]).end()

    def _is_productive(self, watch: WatchConnection) -> bool:
        return watch.line_progresses or self._is_fresh(watch)

    def _is_fresh(self, watch: WatchConnection) -> bool:
        """Whether its last line is recent."""
        return watch.received_line and self.network.seconds() - watch.last_line_at < SILENT_GAP_SECONDS

    # --- watch_connection.WatchOwner ---

    def dial_connected(self, dial: WatchDial) -> WatchConnection | None:
        """The dial has succeeded; returns its watch, or None if the dial was cancelled."""
        if dial not in self.dials:
            return None
        self.dials.remove(dial)
        watch = WatchConnection(self, dial.attempt_number, dial.address)
        self.watches.append(watch)
        self.watches.sort(key=lambda each: each.attempt_number)
        return watch

    def response_started(self, watch: WatchConnection) -> None:
        """The head of a response is complete and valid; its lines follow."""
        if watch.attempt_number == self.last_attempt_number and not watch.received_line:
            self._schedule_attempt(MOVED_GAP_SECONDS if self.address_unproven else FIRST_LINE_GAP_SECONDS)

    def attempt_ended(self, attempt: WatchDial | WatchConnection) -> None:
        """An attempt failed or ended; the next one follows after the backoff if it was the newest."""
        if isinstance(attempt, WatchDial):
            if attempt not in self.dials:
                return
            self.dials.remove(attempt)
        elif attempt in self.watches:
            self.watches.remove(attempt)
        if self.stopped or attempt.attempt_number != self.last_attempt_number:
            return
        if any(watch.address == self.address and self._is_fresh(watch) for watch in self.watches):
            return
        until_next_attempt = max(0.0, self.next_attempt_at - self.network.seconds())
        self._schedule_attempt(min(self.backoff_seconds, until_next_attempt))
        self.backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * self.backoff_seconds)

    def line_received(self, watch: WatchConnection, line: bytes) -> None:
        """Applies a line of a watch, and ends the watches that it makes superfluous."""
        version_before = self.endpoints.version
        try:
            document = watch.decoder.decode(line)
            update = None if document is None else watch.watched.apply(document, self._is_leader(watch))
        except MalformedEndpointListError as error:
            self.report_problem(f"the list can't be read: {error}")
            watch.end()
            return
        if watch.decoder.incomplete:
            return
        watch.received_line = True
        if watch.address == self.address:
            self._note_line_at_address(watch)
        if self.endpoints.version < version_before:
            self._end_others(watch)
        else:
            self._replace_older(watch, self.endpoints.version > version_before)
        if update is not None:
            self.on_update(update)

    def report_problem(self, text: str) -> None:
        """Logs what is wrong with the list, each problem once in a period."""
        now = self.network.seconds()
        if now >= self._warning_period_ends_at:
            self._logged_warnings.clear()
            self._warning_period_ends_at = now + WARNING_PERIOD_SECONDS
        if text not in self._logged_warnings and len(self._logged_warnings) < MAX_WARNINGS_PER_PERIOD:
            self._logged_warnings.add(text)
            self.on_warning(text)

    # --- which watch leads ---

    def _note_line_at_address(self, watch: WatchConnection) -> None:
        self.address_unproven = False
        self._schedule_attempt(SILENT_GAP_SECONDS)
        if self.network.seconds() - watch.started_at >= STEADY_SECONDS:
            self.backoff_seconds = FIRST_BACKOFF_SECONDS

    def _precedence(self, watch: WatchConnection) -> tuple[bool, int]:
        """Watches at the current address precede others, newer ones precede older ones."""
        return watch.address == self.address, watch.attempt_number

    def _is_leader(self, watch: WatchConnection) -> bool:
        """Whether no watch that precedes this one has sent a line."""
        precedence = self._precedence(watch)
        return not any(each.received_line and self._precedence(each) > precedence for each in self.watches)

    def _end_others(self, watch: WatchConnection) -> None:
        """Versions are numbered anew: what other watches requested and send refers to old ones."""
        for other in list(self.watches):
            if other is not watch:
                other.end()

    def _replace_older(self, watch: WatchConnection, list_advanced: bool) -> None:
        """Ends the watches that this one precedes; an old address is read on for lines on their way."""
        for older in list(self.watches):
            if self._precedence(older) >= self._precedence(watch):
                continue
            if older.address == watch.address:
                older.end()
            else:
                older.end_within(OUTDATED_ADDRESS_SECONDS if list_advanced else OLD_ADDRESS_SECONDS)
