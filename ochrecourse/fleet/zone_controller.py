"""Decides which zones the fleet evacuates and when it sends requests to them again.

Each gateway sends its own evidence in its heartbeats and receives that of the others; the summary of all
reports shows the condition of each zone. A decision is one log entry. Among the gateways that reach each
other, the first by name writes it; if it does not within a time-out, the next one does, and so on.
docs/fleet.md describes the rules. Free of I/O, clocks and randomness. Durations are in ns unless a name says
otherwise; times are read from a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

import msgspec

from ochrecourse.common.time_units import MS
from ochrecourse.fleet.entries import Entry
from ochrecourse.fleet.zone_context import FleetPlacement, ReceivedReport, ZoneContext
from ochrecourse.fleet.zone_decision_entry import DecisionWriter
from ochrecourse.fleet.zone_evidence import EndedAttempt, ReportScope
from ochrecourse.fleet.zone_limits import RateLimitedZones
from ochrecourse.fleet.zone_loans import ZoneLoans
from ochrecourse.fleet.zone_nodes import ZoneNode
from ochrecourse.fleet.zone_policy import ZonePolicy
from ochrecourse.fleet.zone_rates import STALE_AFTER, NodeRates
from ochrecourse.fleet.zone_report import ZoneReport, decode_report
from ochrecourse.fleet.zone_settings import ZoneSettings
from ochrecourse.fleet.zone_state import FLEET_CHANNEL, DECISION_KIND, STATE_WORDS, ZoneState
from ochrecourse.fleet.zone_summary import GatewayReport, ListedZones, ZoneSummary, summarize
from ochrecourse.fleet.zone_timers import Observation, ZoneTimers
from ochrecourse.interface import Ending

EVALUATION_INTERVAL = 100 * MS  # ns; shorter than a heartbeat interval, and cheap
MAX_ELAPSED = 500 * MS  # ns that one evaluation may count; a longer gap means that this process stalled
LOAN_KIND = "lend"  # value of field `what` in an entry


class ZoneController:
    """One gateway's part in the fleet's zone decisions."""

    def __init__(self, settings: ZoneSettings, placement: FleetPlacement) -> None:
        self.context = ZoneContext(settings, placement)
        self.policy = ZonePolicy(self.context)
        self.limited = RateLimitedZones(self.context)
        self.rates = NodeRates(self.context, self.limited)
        self.loans = ZoneLoans(self.context, self.limited)
        self.writer = DecisionWriter(self.context, self.policy)
        self._evaluated_at = -1
        self._majority_since = 0  # ns at which this gateway last left a minority
        self._own_report: tuple[int, ZoneReport] | None = None  # ns of its making, and the report

    # --- observations and messages ---

    def update_nodes(self, entries: Mapping[int, ZoneNode]) -> None:
        """Replaces the endpoint list. `entries`: the complete list, by node."""
        context = self.context
        context.observations.forget(context.nodes.by_node.keys() - entries.keys())
        context.node_alive_at = {node: at for node, at in context.node_alive_at.items() if node in entries}
        context.nodes.update(entries)
        self.rates.endpoint_list_changed()
        self.limited.invalidate()

    def attempt_ended(self, attempt: EndedAttempt) -> None:
        """Records an attempt that ended, or that has been unanswered for so long that it counts as TIMEOUT.

        Failures of attempts that began while this gateway was in a minority are no evidence.
        """
        began_at = attempt.ended_at - attempt.duration
        if began_at >= self._majority_since or attempt.ending is Ending.SERVED:
            self.context.observations.attempt_ended(attempt)
        self.units_sent(attempt.node, attempt.ended_at, attempt.units)

    def units_sent(self, node: int, now: int, units: float = 1.0) -> None:
        """Counts the units of an ended attempt as demand and against the node's rate, but not as evidence."""
        nodes = self.context.nodes
        if node in nodes.by_node:
            self.context.shard_demand.units_sent(nodes.by_node[node].shard, units, now)
        zone = nodes.zone_of.get(node)
        if zone is not None and zone in self.limited.zones():
            rate = self.rates.rate(zone, node, now)
            self.context.observations.use_rate(node, units, rate, now)

    def report_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Stores another gateway's report. Raises ZoneReportError if it can't be decoded."""
        if name != self.context.name:
            self.context.reports[name] = ReceivedReport(now, zone, decode_report(status))

    def gateway_unreachable(self, name: str) -> None:
        """Drops the report of a gateway that is no longer reachable."""
        self.context.reports.pop(name, None)

    def apply_shared_settings(
        self,
        gateways_with_other_zones: AbstractSet[str],
        gateway_count: int,
        clock_bound_ms: float,
        cold_node_rate: float,
    ) -> None:
        """Applies the most conservative values that any gateway reports for settings that must be equal."""
        context = self.context
        context.gateways_with_other_zones = gateways_with_other_zones
        for name in sorted(gateways_with_other_zones & context.reports.keys()):
            del context.reports[name]
        context.gateway_count = context.quota.gateway_count = max(1, gateway_count)
        context.quota.clock_bound_ms = round(clock_bound_ms)
        context.cold_node_rate = cold_node_rate

    def set_time(self, now: int, wall_ms: int) -> None:
        """Sets the wall clock, in ms since 1970; until then no quota is lent or borrowed."""
        self.context.quota.set_time(now, wall_ms)

    def entry_received(self, entry: Entry, now: int = 0) -> None:
        """Applies an entry of channel `fleet`; entries of other channels are ignored.

        The result depends neither on the order of entries nor on how often each is received.
        """
        if entry.channel != FLEET_CHANNEL:
            return
        kind = _kind_of(entry.body)
        if kind == LOAN_KIND:
            self.context.quota.apply(entry)
        elif kind == DECISION_KIND:
            zone = self.context.decisions.apply(entry)
            if zone is not None:
                self._decision_changed(zone, max(now, self._evaluated_at, 0))

    def _decision_changed(self, zone: int, decided_at: int) -> None:
        self.limited.invalidate()
        timers = self.context.timers.get(zone) or ZoneTimers()
        warm_at = self.context.nodes.warm_at(zone)
        is_suspect = self.context.decisions.of(zone).state is ZoneState.SUSPECT
        restart = timers.restarted_as_suspect if is_suspect else timers.restarted
        self.context.timers[zone] = restart(decided_at, warm_at)

    # --- reports and decisions ---

    def status(self, now: int) -> bytes:
        """Returns the encoded report for this gateway's next heartbeat."""
        return msgspec.json.encode(self._report_at(now))

    def _report_at(self, now: int) -> ZoneReport:
        if self._own_report is None or self._own_report[0] != now:
            self._own_report = (now, self.make_report(now))
        return self._own_report[1]

    def make_report(self, now: int) -> ZoneReport:
        """Returns this gateway's observations over the window that ends now."""
        context = self.context
        accused_nodes = {
            each.node
            for received in context.reports.values()
            if now - received.received_at <= STALE_AFTER
            for each in received.report.nodes
            if each.failures
        }
        scope = ReportScope(
            context.nodes.zone_of,
            context.zones_not_in(),
            accused_nodes & context.nodes.zone_of.keys(),
            self.loans.exhausted_zones(now),
        )
        report = context.observations.report(scope, now)
        demand = self.loans.unmet_demand(now)
        return msgspec.structs.replace(report, demand=demand) if demand else report

    def next_entry(self, now: int, reachable: Mapping[str, int]) -> dict[str, object] | None:
        """Returns the body of the next entry to append to channel `fleet`; called until it returns None.

        `reachable`: zone by gateway, for all reachable gateways including this one.
        """
        self.evaluate(now, reachable)
        if self.context.is_minority():
            return None  # in a minority, its evidence limits only its own rates
        order = sorted(self.context.reachable)
        rank = order.index(self.context.name)
        for zone, timers in self.context.timers.items():
            number = self.context.decisions.of(zone).number + 1
            if timers.due is not None and self._is_to_write(timers, rank, number, now):
                timers.proposed_number, timers.proposed_at = number, now
                return self.writer.body(zone, timers.due, number, now)
        return self.loans.next_loan(now, order)

    def _is_to_write(self, timers: ZoneTimers, rank: int, number: int, now: int) -> bool:
        timeout = self.context.settings.decider_timeout
        if now - timers.due_at < rank * timeout:
            return False  # a gateway earlier in the order may still write it
        # This gateway has proposed the decision: the log rejected the entry or has not yet returned it.
        is_pending = timers.proposed_number == number and now - timers.proposed_at < timeout
        return not is_pending

    def evaluate(self, now: int, reachable: Mapping[str, int]) -> None:
        """Evaluates all evidence, at most once per EVALUATION_INTERVAL."""
        self._set_reachable(now, reachable)
        if self._evaluated_at >= 0 and now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        elapsed = min(MAX_ELAPSED, now - self._evaluated_at) if self._evaluated_at >= 0 else 0
        self._evaluated_at = now
        self._summarize(now)
        context = self.context
        for zone in context.summaries.keys() | context.zones_not_in():
            self._evaluate_zone(zone, elapsed, now)
        for zone in context.timers.keys() - context.summaries.keys():
            if context.decisions.of(zone).state is ZoneState.IN:
                self._evaluate_without_evidence(zone, elapsed)

    def _set_reachable(self, now: int, reachable: Mapping[str, int]) -> None:
        context = self.context
        was_minority = context.is_minority()
        others = context.gateways_with_other_zones
        same_zones = {name: zone for name, zone in reachable.items() if name not in others}
        context.reachable = {**same_zones, context.name: context.zone}
        if was_minority and not context.is_minority():
            # Observations and pending decisions from the time in a minority reflect this gateway's own
            # isolation, not the state of the zones that it could not reach; they must not count afterwards.
            context.observations.forget(list(context.observations.by_node))
            context.timers = {
                zone: each.restarted(each.decided_at, each.warm_at) for zone, each in context.timers.items()
            }
            self._majority_since = now

    def _summarize(self, now: int) -> None:
        context = self.context
        reports = {
            name: GatewayReport(each.gateway_zone, each.report)
            for name, each in context.reports.items()
            if name in context.reachable and now - each.received_at <= STALE_AFTER
        }
        reports[context.name] = GatewayReport(context.zone, self._report_at(now))
        listed = ListedZones(context.nodes.zone_of, context.nodes.ready, self.limited.zones())
        context.summaries = summarize(reports, listed)
        context.fleet_summary = ZoneSummary()
        for _, report in reports.values():
            self.rates.report_received(report, now)
            context.fleet_summary.add_totals(report.totals)

    def _evaluate_zone(self, zone: int, elapsed: int, now: int) -> None:
        """Advances the zone's timers by the elapsed time and determines which state is due."""
        context = self.context
        summary = context.summaries.get(zone) or ZoneSummary(len(context.nodes.ready.get(zone, ())))
        timers = context.timers.setdefault(zone, ZoneTimers())
        observation = Observation(
            elapsed,
            summary,
            self.policy.loss_of(summary),
            context.decisions.of(zone).state,
            self.limited.is_probing_paused(zone, now),
            context.settings.max_failed_fraction,
        )
        timers.advance(observation)
        due = self.policy.due_state(zone, summary, now)
        if due is not timers.due:
            timers.due, timers.due_at = due, now
        self._update_isolation(zone, observation.loss.is_lost, timers)

    def _evaluate_without_evidence(self, zone: int, elapsed: int) -> None:
        timers = self.context.timers[zone]
        timers.advance_without_evidence(elapsed)
        # An isolated zone gets few attempts, so a window without reports is no sign that it has recovered.
        if not timers.lost or not self.context.is_minority():
            self.limited.set_isolated(zone, False)

    def _update_isolation(self, zone: int, is_lost: bool, timers: ZoneTimers) -> None:
        """In a minority, limits this gateway's own rates at a lost zone instead of deciding for the fleet."""
        settings = self.context.settings
        if not self.context.is_minority() or timers.clear >= settings.clear_after:
            self.limited.set_isolated(zone, False)
        elif is_lost and timers.lost >= settings.silent_loss_after:
            self.limited.set_isolated(zone, True)

    # --- results ---

    def state_of(self, zone: int) -> tuple[ZoneState, int]:
        """Returns the zone's state at this gateway and the number of the decision in force."""
        return self.limited.state_of(zone)

    def node_rates(self, now: int) -> dict[int, float]:
        """Returns the units/s that this gateway may send to each rate-limited node, by node."""
        return self.rates.rates(now)

    def report(self) -> dict[str, object]:
        """Returns the operator report: state and latest evidence of each zone that has a decision."""
        zones = {}
        for zone, decision in sorted(self.context.decisions.by_zone.items()):
            state, number = self.state_of(zone)
            summary = self.context.summaries.get(zone)
            zones[str(zone)] = {
                "standing": STATE_WORDS[state],
                "number": number,
                "part": decision.fraction,
                "rest_ms": decision.min_evacuation_ms,
                "hand": decision.by_operator,
                "seen": summary.as_evidence() if summary else None,
            }
        isolated = sorted(self.context.isolated_zones)
        return {"zones": zones, "spared": isolated, "reached": len(self.context.reachable)}


class _EntryKind(msgspec.Struct):
    what: str = ""


def _kind_of(body: bytes) -> str:
    """Returns field `what` of an entry; empty if it is missing or the body can't be decoded."""
    try:
        return msgspec.json.decode(body, type=_EntryKind).what
    except (msgspec.MsgspecError, RecursionError):
        return ""
