"""Watches the platform's endpoint list through hedged watches.

If a watch hangs or falls silent, another one is opened in parallel, and the newest that receives a line
replaces the others. A watch that ends, fails or is malformed is opened again after a backoff. The current
list stays in use meanwhile.

A change must be applied within 6 s after the agent has it and is reachable, whatever failed before. An
attempt is a dial and the watch on its connection. No attempt waits for the end of an earlier one, so the time
until an attempt finds the agent reachable is at most the longest of these gaps:

    a dial or a response's head that hangs       ATTEMPT_GAP_SECONDS      1.0
    a response without a line so far             FIRST_LINE_GAP_SECONDS   4.25
        at a new address                         MOVED_GAP_SECONDS        2.5
    a watch that falls silent after a line       SILENT_GAP_SECONDS       3.0
    one that failed or ended                     MAX_BACKOFF_SECONDS      0.25

The agent responds immediately. The worst case is 4.25 s, or 5.25 s if the next attempt hangs too. After a
move to a new address the limit is 4 s; the worst case is 2.5 s, or 3.5 s if the next attempt hangs too.
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

ATTEMPT_GAP_SECONDS = 1.0  # from a dial without a response's head to the next attempt; the agent is local
FIRST_LINE_GAP_SECONDS = 4.25  # from a response's head to the next attempt; by then two empty lines were due
MOVED_GAP_SECONDS = 2.5  # the same at a new address, until its first line; by then one empty line was due
SILENT_GAP_SECONDS = 3.0  # from a line to the next attempt; the agent sends an empty line every 2 s
FIRST_BACKOFF_SECONDS = 0.1  # before a failed watch is opened again
MAX_BACKOFF_SECONDS = 0.25  # after repeated failures; changes delayed by an outage are due at once
STEADY_SECONDS = 1.0  # a watch that received lines for this long resets the backoff
DIAL_TIMEOUT_SECONDS = 2.0
MAX_ATTEMPTS = 6  # concurrent dials and watches, one descriptor each
OLD_ADDRESS_SECONDS = 2.0  # for which an old address is still watched; it closes after 1.5 s
OUTDATED_ADDRESS_SECONDS = 0.25  # the same once the new address has sent a newer list: for lines in flight
WARNING_PERIOD_SECONDS = 60.0  # in which equal warnings are logged once
MAX_WARNINGS_PER_PERIOD = 8  # distinct warnings logged; each line of a malformed list may name another node


class DiscoveryWatch:
    """Watches the endpoint list at one address, which may change; implements watch_connection.WatchOwner."""

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
        self.address_unproven = False  # the address has changed and no line was received from the new one yet
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
        """Switches to a new address of discovery: opens a watch there at once."""
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
        """Reschedules the next attempt to `seconds` from now."""
        stop(self.next_attempt_timer)
        if not self.stopped:
            self.next_attempt_at = self.network.seconds() + seconds
            self.next_attempt_timer = self.network.callLater(seconds, self._start_attempt)

    def _limit_attempts(self) -> None:
        """Makes room for a new attempt: ends the oldest one that makes no progress, or the newest if all do.

        This bounds the number of attempts, and keeps watches whose lines never end from blocking new
        attempts.
        """
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
        """Whether the watch received a line within SILENT_GAP_SECONDS."""
        return watch.received_line and self.network.seconds() - watch.last_line_at < SILENT_GAP_SECONDS

    # --- watch_connection.WatchOwner ---

    def dial_connected(self, dial: WatchDial) -> WatchConnection | None:
        """Returns the watch for a successful dial, or None if the dial was cancelled."""
        if dial not in self.dials:
            return None
        self.dials.remove(dial)
        watch = WatchConnection(self, dial.attempt_number, dial.address)
        self.watches.append(watch)
        self.watches.sort(key=lambda each: each.attempt_number)
        return watch

    def response_started(self, watch: WatchConnection) -> None:
        """Reschedules the next attempt after the complete, valid head of a response."""
        if watch.attempt_number == self.last_attempt_number and not watch.received_line:
            self._schedule_attempt(MOVED_GAP_SECONDS if self.address_unproven else FIRST_LINE_GAP_SECONDS)

    def attempt_ended(self, attempt: WatchDial | WatchConnection) -> None:
        """Removes an attempt that failed or ended; if it was the newest, schedules another
        after the backoff.
        """
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
        """Applies a line of a watch and ends the watches that this one replaces."""
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
        """Logs a problem with the list, equal ones once per WARNING_PERIOD_SECONDS."""
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
        """Returns a sort key: watches at the current address precede others, newer ones precede
        older ones.
        """
        return watch.address == self.address, watch.attempt_number

    def _is_leader(self, watch: WatchConnection) -> bool:
        """Whether no watch of higher precedence has received a line."""
        precedence = self._precedence(watch)
        return not any(each.received_line and self._precedence(each) > precedence for each in self.watches)

    def _end_others(self, watch: WatchConnection) -> None:
        """Ends all other watches after the numbering of versions restarted: theirs refer to the old
        numbering.
        """
        for other in list(self.watches):
            if other is not watch:
                other.end()

    def _replace_older(self, watch: WatchConnection, list_advanced: bool) -> None:
        """Ends the watches that this one precedes; at an old address with a delay, for lines in flight."""
        for older in list(self.watches):
            if self._precedence(older) >= self._precedence(watch):
                continue
            if older.address == watch.address:
                older.end()
            else:
                older.end_within(OUTDATED_ADDRESS_SECONDS if list_advanced else OLD_ADDRESS_SECONDS)
