"""One gateway as a member of its fleet, for a host program: the event log, the peers, and the subsystems.

One timer drives the member. At each beat it sends the subsystems' statuses in this gateway's heartbeat,
appends the entries that they request, passes rate limits to the gateway and checks the links. Disabled unless
the settings have a section `fleet`; nothing else imports this package.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.common.runtime import now_ns
from ochrecourse.fleet.channel import Delivery
from ochrecourse.fleet.channel_readers import ChannelReaders, OnEntries
from ochrecourse.fleet.durable_claim import DurableClaim, LogClaim
from ochrecourse.fleet.entries import Entry, Heartbeat, Timestamp
from ochrecourse.fleet.event_appender import EventAppender
from ochrecourse.fleet.event_compaction import EventCompaction, compact
from ochrecourse.fleet.format_versions import FIRST_VERSION, RaiseFormatVersion
from ochrecourse.fleet.frontier import FLEET_CHANNEL, STATUS_KEY
from ochrecourse.fleet.log_store import AppendResult, OnAppended
from ochrecourse.fleet.link import PeerLinkListener, Link
from ochrecourse.fleet.log_state import LogState
from ochrecourse.fleet.log import Holes, AppendRejectedError, Snapshot
from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
from ochrecourse.fleet.member_report import MemberReport
from ochrecourse.fleet.member_settings import MemberSettings
from ochrecourse.fleet.member_zones import MemberZones
from ochrecourse.fleet.member_timer import MemberTimer, TimerCallbacks
from ochrecourse.fleet.mesh import Mesh
from ochrecourse.fleet.messages import Hello
from ochrecourse.fleet.operator_log import OperatorLog
from ochrecourse.fleet.peer_addresses import PeerAddresses
from ochrecourse.fleet.peer_links import LinkContext, LinkTraffic, PeerLinks
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.fleet.subsystem import Subsystem
from ochrecourse.fleet.subsystem_host import SubsystemHost
from ochrecourse.fleet.wanted_appends import WantedAppends, WantedEntry
from ochrecourse.interface import NodeEntry
from ochrecourse.settings.addresses import parse_address

MAX_HOLES_BYTES = 1 << 20  # bound for one message of holes: at most 2048 of about 400 bytes each
MAX_CHANNEL_NAME_BYTES = 1024  # bound for the name of each channel in a snapshot
NO_PLACEMENT = ZonePlacement()
HANDOVER_WAIT_S = 5.0  # for a pending journal operation; then the next process opens the journal anyway

Listen = Callable[[str, int, Any, str], Any]


def _ignore_result(result: AppendResult) -> None:
    """Ignores the result of an append whose caller does not need it."""


class FleetMember:
    """One gateway in its fleet. Times in ns on the network's clock unless the name says otherwise."""

    def __init__(
        self,
        settings: Mapping[str, Any],
        environment: MemberEnvironment,
        placement: ZonePlacement = NO_PLACEMENT,
    ) -> None:
        """Opens the log. `settings`: the section `fleet` of the settings map. Raises OSError,
        storage.journal.JournalError.
        """
        self.settings = MemberSettings.from_map(settings)
        self.environment = environment
        self.placement = placement
        self.gateway = environment.gateway
        self.network = environment.network
        self.operator_log = OperatorLog(environment.write_log, self.gateway.name)
        self.peer_addresses = PeerAddresses(self.settings.peers)
        self.peer_errors: Counter[str] = Counter()
        self.listening_port: Any = None
        self.stopped = False
        self._new_heartbeats: dict[str, Heartbeat] = {}  # since the last beat
        self._rate_limits: dict[int, float] = {}  # units a second by node
        self.log_state = LogState(
            self.settings, environment, placement.zone, self.peer_addresses.by_name, self.operator_log
        )
        self.log_store, self.log = self.log_state.log_store, self.log_state.log
        self.members, self.frontier = self.log_state.members, self.log_state.frontier
        self.forms = self.log_state.forms
        self.random_source = self.log_state.random_source
        self.subsystem_host = SubsystemHost(self.network, self.log, self.operator_log, self.peer_errors)
        self.common = self._make_exchange_context()
        self.peer_links = self._make_links(now_ns(self.network))
        self.readers = ChannelReaders(self.log)
        self.timer = MemberTimer(
            self.network,
            self.settings.beat_interval,
            TimerCallbacks(
                self._beat,
                self._pull,
                lambda: self.common.is_waiting_for_budget or self.log_store.needs_maintenance,
            ),
        )
        self.appender = EventAppender(
            self.log_store, self.wall_ms, self.operator_log, lambda: self.peer_links.pump_all()
        )
        self._frontier_appends = WantedAppends(self._next_frontier_entry, self.appender.append_wanted)
        self._durable_claim = DurableClaim(self.log_store)
        self._compaction = EventCompaction(self.common, self.frontier, self.operator_log.write)
        self._report = MemberReport(
            self.network,
            self.common,
            self.frontier,
            self.peer_links,
            self.subsystem_host.subsystems,
            self.appender.counts,
            self.wall_ms,
        )
        self._register_subsystems()

    def _make_exchange_context(self) -> ExchangeContext:
        settings, limits = self.settings, self.settings.log_limits
        max_names_bytes = MAX_CHANNEL_NAME_BYTES * limits.channels
        return ExchangeContext(
            fleet=settings.fleet,
            log_store=self.log_store,
            members=self.members,
            heartbeat_interval=settings.beat_interval,
            silence_timeout=settings.silence_timeout,
            max_entries_in_flight=settings.max_entries_in_flight,
            max_clock_ahead_ms=limits.max_clock_ahead_ms,
            admit=self._rejection_of,
            on_heartbeat=self._heartbeat_received,
            on_snapshot=self._snapshot_received,
            max_snapshot_bytes=2 * limits.channel_bytes + MAX_HOLES_BYTES + max_names_bytes,
            catch_up_rate=settings.catch_up_bytes_per_s,
            on_early_entry=self.subsystem_host.entry_received,
            format_versions=self.forms,
        )

    def _make_links(self, now: int) -> PeerLinks:
        mesh = Mesh(self.gateway.name, self.settings.silence_timeout, self.random_source.random)
        mesh.set_peers(self.peer_addresses.by_name, now)
        context = LinkContext(
            self.network,
            self.common,
            self.peer_addresses,
            self.wall_ms,
            self.operator_log,
            lambda: self.timer.schedule_pull(now_ns(self.network)),
        )
        return PeerLinks(context, mesh, self.peer_errors)

    def _register_subsystems(self) -> None:
        self.log.listeners.append(self.subsystem_host.entry_received)
        if self.forms.supported.newest > FIRST_VERSION:  # else: as versions without format negotiation do
            self.register(self.forms)
        self.log_state.update_journal_form()
        self.member_zones = MemberZones(self.settings, self.environment, self.placement, self.wall_ms)
        self.zones, self.zone_subsystem = self.member_zones.zones, self.member_zones.zone_subsystem
        self.shared_settings = self.member_zones.shared_settings
        self.register(self.shared_settings)  # before the subsystems that depend on them
        if self.zone_subsystem is not None:
            self.register(self.zone_subsystem)

    # --- for a host program: start and stop ---

    def start(self, listen: Listen | None = None, where: str = "127.0.0.1:0") -> tuple[str, int]:
        """Starts to listen, connect and beat; returns the host and port of the listener. Raises
        CannotListenError.
        """
        host, port = parse_address(where) or ("127.0.0.1", 0)
        listen = listen or self._listen
        self.listening_port = listen("fleet", port, PeerLinkListener(self.peer_links.accept), host)
        bound_to = self.listening_port.getHost()
        self.operator_log.write(
            "fleet joined",
            fleet=self.common.fleet,
            life=self.log.incarnation,
            peers=len(self.peer_addresses.by_name),
            listen=f"{bound_to.host}:{bound_to.port}",
            entries=sum(self.log.vector().values()),
        )
        # Random phase: if all gateways started at one moment beat in step, each hop of gossip would take a
        # complete heartbeat interval.
        now = now_ns(self.network)
        jitter = round(self.random_source.random() * self.settings.beat_interval)
        self.timer.start(now - jitter)
        return bound_to.host, bound_to.port

    def _listen(self, purpose: str, port: int, factory: Any, host: str) -> Any:
        return self.network.listenTCP(port, factory, interface=host)

    def listens(self) -> str:
        """HOST:PORT at which other gateways connect; empty before `start`."""
        bound_to = self.listening_port.getHost() if self.listening_port is not None else None
        return f"{bound_to.host}:{bound_to.port}" if bound_to is not None else ""

    def stop(self) -> None:
        """Leaves the fleet: closes the links with a reason and opens no new ones."""
        self._stop_timer_and_listening()
        self.peer_links.close_all(lambda link: link.close("this gateway leaves"))

    def kill(self) -> None:
        """Stops at once and aborts the links without notice to the peers, as a killed process does."""
        self._stop_timer_and_listening()
        self.peer_links.close_all(Link.abort)

    def give(self, on_given: Callable[[], None] = lambda: None) -> None:
        """Leaves the fleet and releases the journal to another process of the same name. `on_given` is called
        once that process may open the journal, after HANDOVER_WAIT_S at the latest. The rate limits of nodes
        stay unchanged until `share`.
        """
        self.stop()
        release = _Once(on_given)
        self.log_store.release(release)
        self.member_zones.detach()
        if not release.is_called:
            self.network.callLater(HANDOVER_WAIT_S, self._release_slow_journal, release)

    def _release_slow_journal(self, release: _Once) -> None:
        if not release.is_called:
            self.log_store.abandon()
            release()

    def close_journal(self, timeout_s: float) -> bool:
        """Blocks until all pending journal writes are on disk; returns False if that takes longer than
        `timeout_s`.
        """
        return self.log_store.wait_durable(timeout_s)

    def share(self, share: float) -> None:
        """Scales this process's rate limits by `share` (0 to 1); the successor process uses the rest."""
        self.gateway.node_rates_received({node: limit * share for node, limit in self._rate_limits.items()})

    def _stop_timer_and_listening(self) -> None:
        self.stopped = self.peer_links.stopped = self.appender.stopped = True
        self.timer.stop()
        if self.listening_port is not None:
            self.listening_port.stopListening()

    @property
    def beat_overdue_at_s(self) -> float:
        """Time in seconds on the clock after which a beat is overdue (stall_detector.BeatingProcess)."""
        return self.timer.overdue_at_s

    def stall_detected(self) -> None:
        """Renews the rate limits after a stall, as requests are decided before the overdue beat runs."""
        now = now_ns(self.network)
        self.timer.postpone_overdue(now)
        self._update_rate_limits(now)

    # --- for a host program: subsystems, inputs and reports ---

    def register(self, subsystem: Subsystem) -> None:
        """Adds a subsystem and delivers all entries of the log to it."""
        self.subsystem_host.register(subsystem)

    def registry_entries_received(self, entries: Iterable[bytes]) -> None:
        """Updates the peers' addresses from the registry entries of all gateways."""
        self.peer_addresses.registry_entries_received(entries)

    def nodes_are(self, entries: Mapping[int, NodeEntry]) -> None:
        """Passes the current endpoint list to the zones."""
        if self.zone_subsystem is not None:
            self.zone_subsystem.nodes_are(entries.values(), now_ns(self.network))

    def report(self) -> dict[str, Any]:
        """Returns the current state for operators."""
        return self._report.report()

    def figures(self) -> dict[str, float]:
        """Returns values by metric name."""
        return self._report.metrics()

    def traffic(self) -> LinkTraffic:
        """Returns the number of frames and bytes on all links since the start."""
        return self.peer_links.traffic()

    def wall_ms(self) -> int:
        """Returns ms since 1970 on this gateway's clock."""
        return self.log_state.wall_ms()

    # --- for a host program: the event log ---

    def append(self, channel: str, value: object) -> Entry:
        """Appends an entry and blocks until it is on disk; it is sent to peers only after that. Raises
        AppendRejectedError, OSError; then nothing is appended.
        """
        _check_kind(channel, value)
        return self.appender.append(channel, value, False)

    def request_append(self, channel: str, value: object, on_result: OnAppended) -> None:
        """Appends an entry without blocking. `on_result` is called, possibly before this returns, once the
        entry is on disk and may be sent to peers, or once the write has failed. Raises AppendRejectedError,
        OSError; then no append is pending.
        """
        _check_kind(channel, value)
        self.appender.request_append(channel, value, False, on_result)

    def give_up(self, name: str, on_result: OnAppended) -> None:
        """Declares for an operator that a gateway will not return. Raises AppendRejectedError, OSError."""
        value = self.frontier.declare_departed(name, self.members.reachable(now_ns(self.network)))
        self.request_append(FLEET_CHANNEL, value, on_result)

    def raise_form(self, form: int, on_result: OnAppended = _ignore_result) -> None:
        """Puts format version `form` in force. Raises AppendRejectedError with the obstacle, OSError."""
        obstacle = self.form_waits(form)
        if obstacle:
            raise AppendRejectedError(obstacle)
        self.appender.request_append(
            FLEET_CHANNEL, msgspec.to_builtins(RaiseFormatVersion(form)), True, on_result
        )

    def form_waits(self, form: int) -> str:
        """Returns why format version `form` cannot come into force now; empty if it can."""
        return self.forms.raise_obstacle(form, self.frontier.membership.active, self.members.heartbeats)

    def read(self, channel: str, cursor: str = "", max_entries: int = 100) -> tuple[list[Delivery], str]:
        """Returns the deliveries after `cursor` in order, and the next cursor. Raises AppendRejectedError for
        an invalid cursor.
        """
        return self.log.read(channel, cursor, max_entries)

    def follow(self, channel: str, cursor: str, on_entries: OnEntries) -> Callable[[], None]:
        """Calls `on_entries` with the deliveries after `cursor` and the next cursor, now and whenever there
        are more; returns a function that cancels this. Raises AppendRejectedError for an invalid cursor.
        """
        return self.readers.follow(channel, cursor, on_entries)

    def compact(self, channel: str, upto: Timestamp, value: object) -> None:
        """Replaces all entries of a channel at or before `upto` by a snapshot with this value (JSON). `upto`
        may not be after the stability frontier. Raises AppendRejectedError.
        """
        if channel == FLEET_CHANNEL:
            raise AppendRejectedError(f"channel {FLEET_CHANNEL} compacts itself")
        compact(self.common, channel, upto, value)

    def dump(self, channel: str) -> bytes:
        """Serializes all entries of a channel; gateways that store the same entries return equal bytes."""
        return self.log.dump(channel)

    # --- input from peers ---

    def _rejection_of(self, hello: Hello) -> str:
        return self.peer_addresses.rejection_of(hello.name)

    def _heartbeat_received(self, heartbeat: Heartbeat) -> None:
        self.frontier.receive(heartbeat)
        self._new_heartbeats[heartbeat.name] = heartbeat

    def _snapshot_received(self, received: Snapshot | Holes) -> None:
        """A snapshot, or a message of holes, from a peer was applied."""
        self.frontier.snapshot_received()
        if isinstance(received, Snapshot):
            self.operator_log.write(
                "fleet snapshot taken", channel=received.channel, upto_ms=received.upto.ms
            )
            self.subsystem_host.snapshot_received(received)

    # --- the timer ---

    def _beat(self, now: int) -> None:
        self.operator_log.beat_began()
        self.log_store.check_stalled()
        heartbeats, self._new_heartbeats = self._new_heartbeats, {}
        self.subsystem_host.deliver_statuses(heartbeats.values(), now)
        self.member_zones.apply_shared_settings(self.operator_log)
        self.subsystem_host.beat(now)
        self.log_state.begin_incarnation_if_due()
        self._append_wanted(now)
        self._send_heartbeat(now)
        self._update_rate_limits(now)
        self.log_state.update_journal_form()
        self._compaction.compact_if_due(self.subsystem_host.subsystems)
        self.peer_links.check(now)
        self.peer_links.beat(now, self.common.stale_members(now))
        self.peer_links.pump_all()
        self.readers.deliver()
        self._write_changes(now)

    def _pull(self, now: int) -> None:
        """Sends the next slice to peers that lack entries, and continues a rewrite of the journal."""
        self.peer_links.rotate()
        self.common.is_waiting_for_budget = False
        if self.log_state.continue_rewrite():
            self.common.compaction_version += 1
        self.peer_links.pump_all()

    def _append_wanted(self, now: int) -> None:
        if self.timer.beat_count % 2:  # every other beat only, as the frontier scans all heartbeats
            self._frontier_appends.beat()
        zones = {name: self.members.zone_of(name) for name in self.members.reachable(now)}
        self.subsystem_host.append_wanted(zones, self.appender.append_wanted)

    def _next_frontier_entry(self) -> WantedEntry | None:
        now = now_ns(self.network)
        value = self.frontier.next_event(self.members.reachable(now), self.members.departed(now))
        return WantedEntry(FLEET_CHANNEL, value, True) if value is not None else None

    def _send_heartbeat(self, now: int) -> None:
        status, statuses = self.frontier.status(), self.subsystem_host.statuses(now)
        fields = self.frontier.heartbeat_fields(self.log_store.promise(self.wall_ms()))
        claim = self._durable_claim.update(LogClaim(self.log.incarnation, status, fields["watermark"]))
        if claim is None:
            claim = LogClaim(self.log.incarnation, self.frontier.empty_status())
        fields["watermark"] = claim.watermark
        self.members.next_heartbeat(now, statuses={STATUS_KEY: claim.status, **statuses}, **fields)

    def _update_rate_limits(self, now: int) -> None:
        limits = self.subsystem_host.rate_limits(now)
        if limits != self._rate_limits:
            self._rate_limits = limits
            self.gateway.node_rates_received(limits)

    def _write_changes(self, now: int) -> None:
        self.operator_log.write_reached(self.members.reachable(now))
        if self.zone_subsystem is not None:
            self.operator_log.write_zone_changes(self.zone_subsystem.changes())
        self.operator_log.write_notes([*self.log.notes, *self.log_store.notes])


def _check_kind(channel: str, value: object) -> None:
    """Raises AppendRejectedError for an event that only `raise_form` may append."""
    if channel == FLEET_CHANNEL and isinstance(value, dict) and value.get("what") == "form":
        raise AppendRejectedError("a form is raised by its own word, which asks whether all speak it")


class _Once:
    """Calls a function at most once."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.is_called = False

    def __call__(self) -> None:
        if not self.is_called:
            self.is_called = True
            self.call()
