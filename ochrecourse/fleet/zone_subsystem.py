"""Zones as a subsystem of the member: attempts that ended here in; statuses, entries and node rates out.

The rules are those of zone_controller.py. Free of I/O, clocks and chance.
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
from ochrecourse.fleet.zone_state import CHANNEL, STATE_WORDS, ZoneDecisions, ZoneState, zone_name_of
from ochrecourse.interface import Ending, Health, NodeEntry

LOAN_OVER_MS = 600_000  # after its end, when no gateway uses a loan any more, whatever the clocks say
USUAL_DURATION_WEIGHT = (
    1 / 32
)  # of the newest attempt in the mean of its class; single slow ones hardly count
SILENT_FACTOR = 4  # times its class's usual duration after which an attempt without an answer is a time-out
MIN_SILENT = 250 * MS  # ns, and at the least; shorter is a pause of one process
LATE_AFTER = MIN_SILENT // 2  # ns by which a beat is late here, and with it all answers
OPERATOR_STATES = (ZoneState.EVACUATED, ZoneState.SLOW_START, ZoneState.IN)


class InFlightRequests(Protocol):
    """Where the requests in flight are (gateway.request_log.RequestLog)."""

    requests: dict[int, RequestRecord]


class _AttemptKey(NamedTuple):
    request: int
    attempt: int


class ZoneSubsystem:
    """One gateway's zones. `warm_up`: ns for which a node is cold after its start; `wall_ms`: ms since 1970;
    `beat_interval`: ns between two beats, 0 where there are none.
    """

    name = "zones"

    def __init__(
        self,
        zones: ZoneController,
        requests: InFlightRequests,
        warm_up: int,
        wall_ms: Callable[[], int],
        beat_interval: int = 0,
    ) -> None:
        self.zones = zones
        self.requests = requests
        self.warm_up = warm_up
        self.wall_ms = wall_ms
        self.beat_interval = beat_interval
        self.usual_duration: dict[int, float] = {}  # of an attempt, in ns, by request class
        self._beat_at = -1  # ns, the last beat
        self._late_until = -1  # ns, until when endings are this process's own doing
        self._timed_out: set[_AttemptKey] = set()  # attempts that were counted before their end
        self._shown: dict[int, tuple[str, int]] = {}  # by zone, state and number that operators last saw

    def nodes_are(self, entries: Iterable[NodeEntry], now: int) -> None:
        """The complete endpoint list."""
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
        """An attempt of a request ended."""
        if attempt.ending is None:
            return
        key = _AttemptKey(request.number, attempt.number)
        if key in self._timed_out:
            self._timed_out.discard(key)
            if attempt.ending is Ending.TIMEOUT:
                return  # counted when it had been without an answer for too long
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
        # Guards against a gateway whose own loop is slow: its timers ran before it read what had arrived.
        if attempt.ending is None or attempt.ending in (Ending.TIMEOUT, Ending.UNREACHABLE):
            self.zones.units_sent(attempt.node, now, request.units)
            return
        self.zones.attempt_ended(
            EndedAttempt(attempt.node, attempt.ending, attempt.took, 0.0, now, request.units)
        )

    def _is_late(self, now: int) -> bool:
        """Whether this process runs late: its last beat was late, or the next one is overdue."""
        is_overdue = self._beat_at >= 0 and now - self._beat_at > self.beat_interval + LATE_AFTER
        return self.beat_interval > 0 and (is_overdue or now < self._late_until)

    # --- the member's calls (subsystem.Subsystem) ---

    def beat_passed(self, now: int) -> None:
        """Counts attempts that have been without an answer for too long."""
        self.zones.set_time(now, self.wall_ms())
        if self._is_late(now) and now >= self._late_until:
            self._late_until = now + self.beat_interval
        self._beat_at = now
        if self._is_late(now):
            return  # what seems unanswered may wait unread at this process's own sockets
        for request in self.requests.requests.values():
            usual = self.usual_duration.get(request.request_class)
            if usual is not None and request.attempts_out:
                self._count_unanswered(request, usual, now)

    def _count_unanswered(self, request: RequestRecord, usual: float, now: int) -> None:
        longest = max(MIN_SILENT, SILENT_FACTOR * usual)
        for attempt in request.attempts:
            key = _AttemptKey(request.number, attempt.number)
            duration = now - attempt.sent_at
            if attempt.ending is None and duration > longest and key not in self._timed_out:
                self._timed_out.add(key)
                self.zones.attempt_ended(
                    EndedAttempt(attempt.node, Ending.TIMEOUT, duration, usual, now, request.units)
                )

    def status(self, now: int) -> bytes | None:
        """This gateway's report of zones."""
        return self.zones.status(now)

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Another gateway's report of zones. Raises zone_report.ZoneReportError."""
        self.zones.report_received(name, zone, status, now)

    def entry_received(self, entry: Entry, now: int) -> None:
        """A decision or a loan, or another entry."""
        self.zones.entry_received(entry, now)

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """A decision or a loan that this gateway is to write."""
        body = self.zones.next_entry(now, reached)
        return None if body is None else (CHANNEL, body)

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Units a second that may begin at nodes of zones with limited rates."""
        # Guards against a process that stood still: a loan ends by the wall clock, whatever asks first.
        self.zones.set_time(now, self.wall_ms())
        return self.zones.node_rates(now)

    def keeps(self, events: Sequence[Entry], upto: Timestamp) -> list[Entry]:
        """Of these events those in force: for each zone its decision, and loans that may still be in use.
        Depends on nothing but the events and `upto`.
        """
        loans: list[Entry] = []
        # By name too: gateways whose settings differ have the same events, and each retains those of others.
        decisions: dict[str, ZoneDecisions] = {}
        in_force: dict[tuple[int, str], Entry] = {}
        for entry in events:
            until_ms = loan_until_ms(entry)
            if until_ms is not None:
                if until_ms + LOAN_OVER_MS > upto.ms:
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
        """Fields of log lines, each once: zones whose state changed, and by which decision."""
        changes: list[dict[str, object]] = []
        for zone, decision in sorted(self.zones.context.decisions.by_zone.items()):
            state, number = self.zones.state_of(zone)
            shown = (STATE_WORDS[state], number)
            if self._shown.get(zone) == shown:
                continue
            self._shown[zone] = shown
            changes.append({
                "zone": zone,
                "standing": STATE_WORDS[state],
                "number": number,
                "part": decision.fraction,
                "rest_ms": decision.rest_ms,
                "witnesses": decision.witnesses,
                "hand": decision.by_operator,
                "by": decision.place.writer if decision.place else "",
            })  # fmt: skip
        return changes

    def operator_entry(self, zone: int, word: str) -> tuple[str, object] | None:
        """Channel and value of the entry by which an operator evacuates a zone, takes it back, or starts it
        slowly, which evidence decides on from then on; None if `word` is none of these, or there is no such
        zone.
        """
        states = {STATE_WORDS[each]: each for each in OPERATOR_STATES}
        decisions = self.zones.context.decisions
        if word not in states or not 0 <= zone < decisions.zone_count:
            return None
        zone_name = decisions.zone_names[zone] if decisions.zone_names else ""
        body = operator_decision(zone, states[word], decisions.of(zone), zone_name)
        if states[word] is ZoneState.SLOW_START:
            body.update({"hand": False, "part": self.zones.context.settings.first_fraction})
        return CHANNEL, body

    def report(self) -> dict[str, object]:
        """The state of zones at this gateway."""
        return self.zones.report()


class _LoanEnd(msgspec.Struct, rename={"kind": "what", "until_ms": "until"}):
    kind: str
    until_ms: int = 0


def loan_until_ms(entry: Entry) -> int | None:
    """Until when an event lends, since 1970; None if it is no loan."""
    try:
        body = msgspec.json.decode(entry.body, type=_LoanEnd)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return body.until_ms if body.kind == LOAN_KIND else None
