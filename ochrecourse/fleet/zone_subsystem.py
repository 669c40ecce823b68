"""Zone control as a subsystem of the fleet member.

It passes ended attempts, received reports and entries to the ZoneController (zone_controller.py), and returns
the reports, entries and node rates that result. Free of I/O, clocks and randomness.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

import msgspec

from ochrecourse.common.request_records import AttemptRecord, RequestRecord
from ochrecourse.common.time_units import MS
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.zone_controller import LOAN_KIND, ZoneController
from ochrecourse.fleet.zone_decision_entry import operator_decision
from ochrecourse.fleet.zone_evidence import EndedAttempt
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_state import FLEET_CHANNEL, STATE_WORDS, ZoneDecisions, ZoneState, zone_name_of
from ochrecourse.interface import Ending, Health, NodeEntry

LOAN_RETENTION_MS = 600_000  # after a loan's end; by then no gateway uses it, even if clocks are wrong
# Weight of the newest attempt in the moving mean of its request class; single slow attempts hardly move it.
USUAL_DURATION_WEIGHT = 1 / 32
UNANSWERED_FACTOR = 4  # usual durations after which an unanswered attempt counts as a time-out
MIN_UNANSWERED = 250 * MS  # ns; lower bound of that time, as a process may pause for almost as long
LATE_AFTER = MIN_UNANSWERED // 2  # ns; if a heartbeat is later, answers are read too late as well
OPERATOR_STATES = (ZoneState.EVACUATED, ZoneState.SLOW_START, ZoneState.IN)


class InFlightRequests(Protocol):
    """The requests in flight, by number (see gateway.request_log.RequestLog)."""

    requests: dict[int, RequestRecord]


class _AttemptKey(NamedTuple):
    request: int
    attempt: int


class ZoneSubsystem:
    """Zone control of one gateway.

    `warm_up`: ns for which a node is cold after its start. `wall_ms`: returns ms since 1970.
    `heartbeat_interval`: ns between two heartbeats, 0 if there are none.
    """

    name = "zones"

    def __init__(
        self,
        zones: ZoneController,
        requests: InFlightRequests,
        warm_up: int,
        wall_ms: Callable[[], int],
        heartbeat_interval: int = 0,
    ) -> None:
        self.zones = zones
        self.requests = requests
        self.warm_up = warm_up
        self.wall_ms = wall_ms
        self.heartbeat_interval = heartbeat_interval
        self.usual_duration: dict[int, float] = {}  # moving mean of attempts in ns, by request class
        self._heartbeat_at = -1  # ns of the last heartbeat
        self._late_until = -1  # ns; time-outs before it are attributed to this process
        self._timed_out: set[_AttemptKey] = set()  # attempts that were counted as time-outs before their end
        self._logged: dict[int, tuple[str, int]] = {}  # by zone: state and number in the last log line

    def nodes_are(self, entries: Iterable[NodeEntry], now: int) -> None:
        """Replaces the endpoint list. `entries`: the complete list."""
        self.zones.update_nodes({
            each.node: ZoneNode(
                each.zone,
                each.shard,
                each.health is Health.READY,
                each.started + self.warm_up if each.started else 0,
            )
            for each in entries
            if each.health is not Health.GONE
        })  # fmt: skip

    def attempt_ended(self, request: RequestRecord, attempt: AttemptRecord, now: int) -> None:
        """Records an ended attempt of a request as evidence."""
        if attempt.ending is None:
            return
        key = _AttemptKey(request.number, attempt.number)
        if key in self._timed_out:
            self._timed_out.discard(key)
            if attempt.ending is Ending.TIMEOUT:
                return  # already counted as a time-out
        if self._is_late(now):
            self._attempt_ended_late(request, attempt, now)
            return
        usual = self.usual_duration.get(request.request_class, 0.0)
        ended = EndedAttempt(attempt.node, attempt.ending, attempt.took, usual, now, request.units)
        self.zones.attempt_ended(ended)
        if attempt.ending is Ending.SERVED:
            newer = usual + (attempt.took - usual) * USUAL_DURATION_WEIGHT
            self.usual_duration[request.request_class] = newer if usual else float(attempt.took)

    def _attempt_ended_late(self, request: RequestRecord, attempt: AttemptRecord, now: int) -> None:
        # If this gateway's own event loop is slow, its timers run before it has read answers that arrived in
        # time, so time-outs and failed connections are no evidence.
        if attempt.ending is None or attempt.ending in (Ending.TIMEOUT, Ending.UNREACHABLE):
            self.zones.units_sent(attempt.node, now, request.units)
            return
        self.zones.attempt_ended(
            EndedAttempt(attempt.node, attempt.ending, attempt.took, 0.0, now, request.units)
        )

    def _is_late(self, now: int) -> bool:
        """Whether this process runs late: its last heartbeat was late, or the next one is overdue."""
        is_overdue = (
            self._heartbeat_at >= 0 and now - self._heartbeat_at > self.heartbeat_interval + LATE_AFTER
        )
        return self.heartbeat_interval > 0 and (is_overdue or now < self._late_until)

    # --- called by the member (subsystem.Subsystem) ---

    def beat_passed(self, now: int) -> None:
        """Counts attempts that have been unanswered for too long as time-outs."""
        self.zones.set_time(now, self.wall_ms())
        if self._is_late(now) and now >= self._late_until:
            self._late_until = now + self.heartbeat_interval
        self._heartbeat_at = now
        if self._is_late(now):
            return  # answers may be waiting unread in this process's own sockets
        for request in self.requests.requests.values():
            usual = self.usual_duration.get(request.request_class)
            if usual is not None and request.attempts_out:
                self._count_unanswered(request, usual, now)

    def _count_unanswered(self, request: RequestRecord, usual: float, now: int) -> None:
        longest = max(MIN_UNANSWERED, UNANSWERED_FACTOR * usual)
        for attempt in request.attempts:
            key = _AttemptKey(request.number, attempt.number)
            duration = now - attempt.sent_at
            if attempt.ending is None and duration > longest and key not in self._timed_out:
                self._timed_out.add(key)
                self.zones.attempt_ended(
                    EndedAttempt(attempt.node, Ending.TIMEOUT, duration, usual, now, request.units)
                )

    def status(self, now: int) -> bytes | None:
        """Returns this gateway's encoded zone report."""
        return self.zones.status(now)

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Stores another gateway's zone report. Raises zone_report.ZoneReportError if it is malformed."""
        self.zones.report_received(name, zone, status, now)

    def entry_received(self, entry: Entry, now: int) -> None:
        """Applies an entry, if it is a zone decision or a loan."""
        self.zones.entry_received(entry, now)

    def next_entry(self, now: int, reachable: Mapping[str, int]) -> tuple[str, object] | None:
        """Returns channel and body of a decision or loan that this gateway must append, or None."""
        body = self.zones.next_entry(now, reachable)
        return None if body is None else (FLEET_CHANNEL, body)

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Returns the units/s that this gateway may send to nodes of zones with limited rates, by node."""
        # After a stall the time must be current here, or loans that ended meanwhile would still be used.
        self.zones.set_time(now, self.wall_ms())
        return self.zones.node_rates(now)

    def keeps(self, events: Sequence[Entry], upto: Timestamp) -> list[Entry]:
        """Returns the events still in force: the decision on each zone, and loans that may still be in use.

        The result depends only on the events and `upto`, so that all gateways retain the same ones.
        """
        loans: list[Entry] = []
        # Keyed by zone name too: a gateway must also retain the events of gateways with other zone settings.
        decisions: dict[str, ZoneDecisions] = {}
        in_force: dict[tuple[int, str], Entry] = {}
        for entry in events:
            until_ms = loan_until_ms(entry)
            if until_ms is not None:
                if until_ms + LOAN_RETENTION_MS > upto.ms:
                    loans.append(entry)
                continue
            name = zone_name_of(entry.body)
            of_name = decisions.setdefault(name, ZoneDecisions(self.zones.context.decisions.zone_count))
            zone = of_name.apply(entry)
            if zone is not None:
                in_force[zone, name] = entry
        return [*(in_force[key] for key in sorted(in_force)), *loans]

    # --- for operators ---

    def changes(self) -> list[dict[str, object]]:
        """Returns the fields of a log line for each zone whose state changed since the last call."""
        changes: list[dict[str, object]] = []
        for zone, decision in sorted(self.zones.context.decisions.by_zone.items()):
            state, number = self.zones.state_of(zone)
            logged = (STATE_WORDS[state], number)
            if self._logged.get(zone) == logged:
                continue
            self._logged[zone] = logged
            changes.append({
                "zone": zone,
                "standing": STATE_WORDS[state],
                "number": number,
                "part": decision.fraction,
                "rest_ms": decision.min_evacuation_ms,
                "witnesses": decision.witnesses,
                "hand": decision.by_operator,
                "by": decision.position.writer if decision.position else "",
            })  # fmt: skip
        return changes

    def operator_entry(self, zone: int, word: str) -> tuple[str, object] | None:
        """Returns channel and body of the entry by which an operator sets the state of a zone.

        `word`: the state as written in entries (STATE_WORDS) for evacuated, in use or slow start. After an
        operator's slow start, evidence decides again. Returns None for other words and unknown zones.
        """
        states = {STATE_WORDS[each]: each for each in OPERATOR_STATES}
        decisions = self.zones.context.decisions
        if word not in states or not 0 <= zone < decisions.zone_count:
            return None
        zone_name = decisions.zone_names[zone] if decisions.zone_names else ""
        body = operator_decision(zone, states[word], decisions.of(zone), zone_name)
        if states[word] is ZoneState.SLOW_START:
            body.update({"hand": False, "part": self.zones.context.settings.first_fraction})
        return FLEET_CHANNEL, body

    def report(self) -> dict[str, object]:
        """Returns the state of the zones at this gateway."""
        return self.zones.report()


class _LoanEnd(msgspec.Struct, rename={"kind": "what", "until_ms": "until"}):
    kind: str
    until_ms: int = 0


def loan_until_ms(entry: Entry) -> int | None:
    """Returns the end of a loan in ms since 1970; None if the event is not a loan."""
    try:
        body = msgspec.json.decode(entry.body, type=_LoanEnd)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return body.until_ms if body.kind == LOAN_KIND else None
