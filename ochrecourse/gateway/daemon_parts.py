"""The parts of a daemon: gateway, client connections, endpoint list, and optional parts by its settings."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ochrecourse.bgp.fitness import GatewayStatus
from ochrecourse.bgp.outcome_window import OutcomeWindow
from ochrecourse.bgp.speaker import Speaker
from ochrecourse.bgp.speaker_settings import speaker_settings
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.common.runtime import Network
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.client_connection import ClientConnectionFactory
from ochrecourse.gateway.gateway import Gateway, RequestObserver
from ochrecourse.gateway.webdav_setup import names_and_locks, names_journal, webdav_server
from ochrecourse.interface import SchedulerApi
from ochrecourse.membership.conflicts import NodeObservations
from ochrecourse.membership.endpoint_list import EndpointListUpdate
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.membership.registration import Registration, RegistrationSettings
from ochrecourse.membership.registry_watcher import RegistryWatcher, unix_clock
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.plain import plain_map
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker
from ochrecourse.storage.journal import FileJournal, Journal, MemoryJournal
from ochrecourse.storage.process_lock import ProcessLock
from ochrecourse.webdav.server import WebDavServer

# Each component with its own random generator gets a different seed, so that no sequences are equal.
WATCHER_SEED = 0x5DEECE66D
FLEET_SEED = 0x2545F491


def ignore_event(event: str, **fields: Any) -> None:
    """Drops a log line; the default for `HostProgram.log_event`."""


def inline_worker(name: str) -> DiskWorker:
    """Returns a worker that writes files in the event loop."""
    return InlineWorker()


def call_now(call: Callable[..., Any], *args: Any) -> None:
    """Makes a call at once, for programs without threads."""
    call(*args)


@dataclass
class HostProgram:
    """What the program around a daemon provides.

    `warn`: writes a warning for operators; `on_stopped`: called when the daemon has drained and closed;
    `log_event`: writes a log line with fields; `clock_zero`: Unix time in s at the zero of the network's
    clock, for dates that clients see; `access_log`: writes the line of a WebDAV request; `names_journal`:
    stores names and locks, `fleet_journal`: the fleet's shared state, both by default in the directory
    `gateway.state`; `wall_clock_ms`: Unix time in ms; `acquire_lock`: acquires the lock of that directory
    when the daemon is created; `make_disk_worker`: creates a worker by name that writes files while the
    gateway serves; `call_from_thread`: runs a worker's call in the event loop.
    """

    network: Network
    observers: Sequence[RequestObserver]
    warn: Callable[[str], None]
    on_stopped: Callable[[], None]
    log_event: Callable[..., None] = ignore_event
    decisions: Callable[[Mapping[str, str], int, int], SchedulerApi] = Scheduler
    clock_zero: int = 0
    access_log: Callable[..., None] | None = None
    names_journal: Journal | None = None
    fleet_journal: Journal | None = None
    wall_clock_ms: Callable[[], int] | None = None
    acquire_lock: Callable[[ProcessLock], None] = ProcessLock.acquire
    make_disk_worker: Callable[[str], DiskWorker] = inline_worker
    call_from_thread: Callable[..., Any] = call_now


class DaemonParts(ABC):
    """The parts of one daemon, created from a resolved settings record."""

    def __init__(self, record: Mapping[str, Any], host: HostProgram, join_later: bool = False) -> None:
        """`join_later`: the fleet member is created later by `join_fleet`, when its journal is available.

        Raises JournalError, InvalidRecordError, OSError.
        """
        self.record = record
        self.host = host
        self.network = host.network
        own = record["gateway"]
        self.seed = own["seed"] or random.SystemRandom().getrandbits(63)
        self.node_observations = NodeObservations()
        self.gateway = self._make_gateway()
        max_connections = record["clients"]["connections"]
        self.client_factory = ClientConnectionFactory(self.gateway, self.network, max_connections)
        self.endpoint_watcher = self._make_endpoint_watcher()
        self.registration = self._make_registration()
        self.client_port: Any = None  # set while it accepts
        self.webdav_port: Any = None
        state = own["state"]
        self.process_lock = ProcessLock(Path(state) / f"{own['name']}.lock") if state else None
        if self.process_lock is not None and not join_later and not {"webdav", "fleet"}.isdisjoint(record):
            host.acquire_lock(self.process_lock)
        self.file_journals: dict[str, FileJournal] = {}
        self.webdav = self._make_webdav() if "webdav" in record else None
        self.fleet_member: Any = None
        self.released_member: Any = None  # the member that was replaced by that of the next process
        self.purger: Any = None  # the fleet's subsystem that purges cached objects
        if "fleet" in record:
            self._prepare_fleet(join_later)
        self.outcome_window = OutcomeWindow()
        self.speaker = self._make_speaker()

    @abstractmethod
    def status(self) -> GatewayStatus:
        """Returns this gateway's current state, as input to its fitness for service addresses."""

    @abstractmethod
    def listen_address(self) -> str:
        """Returns HOST:PORT of the framed protocol; empty before it serves."""

    @abstractmethod
    def request_finished(self, gateway: Gateway, record: RequestRecord) -> None:
        """Records a finished request (RequestObserver)."""

    @abstractmethod
    def _endpoint_list_received(self, update: EndpointListUpdate) -> None:
        """Applies a change of the endpoint list."""

    @abstractmethod
    def _begin_drain(self) -> None:
        """Notifies clients and stops admitting requests."""

    @abstractmethod
    def _close_clients(self) -> None:
        """Closes clients when all requests are answered and the service addresses are withdrawn."""

    def _make_gateway(self) -> Gateway:
        own = self.record["gateway"]
        return Gateway(
            plain_map(self.record),
            self.seed,
            self.network,
            dialler(self.network),
            own["name"],
            round(own["travel"] * MS),
            [self, *self.host.observers],
            self.host.decisions,
        )

    def _make_endpoint_watcher(self) -> ListServerWatcher | RegistryWatcher:
        """Creates the watcher of the endpoint list, at a list server or in a registry."""
        name, state = self.record["gateway"]["name"], self.record["gateway"]["state"]
        cache = Path(state) / f"{name}.nodes" if state else None
        seed = self.seed ^ WATCHER_SEED
        context = WatcherContext(
            name,
            self.network,
            self._endpoint_list_received,
            cache,
            seed,
            self.host.warn,
            self.host.make_disk_worker("endpoint-cache"),
        )
        if "registry" in self.record:
            settings = self.record["registry"]
            servers, prefix = _servers(settings), settings["prefix"].encode()
            since_1970 = unix_clock(self.network, self.host.clock_zero)
            return RegistryWatcher(context, servers, prefix, since_1970)
        list_server = parse_address(self.record["list"]["address"])
        assert list_server is not None  # checked when the settings were read
        return ListServerWatcher(context, list_server)

    def _make_registration(self) -> Registration | None:
        """Creates this gateway's registration in the registry, None if the settings have none."""
        record = self.record
        if "registry" not in record or not record["registry"]["own"]:
            return None
        settings = record["registry"]
        prefix = settings["own"].encode()
        key = prefix + record["gateway"]["name"].encode()
        on_others = self._gateways_registered if "fleet" in record else None
        lease_s = round(settings["lease"] / 1000)
        registration = RegistrationSettings(_servers(settings), key, lease_s, self.seed, prefix)
        return Registration(self.network, registration, self._registration_value, on_others)

    def _registration_value(self) -> bytes:
        record = self.record
        own = record["gateway"]
        addresses = [each["network"] for each in record["bgp"]["addresses"]] if "bgp" in record else []
        value = {"name": own["name"], "number": own["number"], "listen": self.listen_address()}
        fleet = {} if self.fleet_member is None else {"fleet": self.fleet_member.listens()}
        return msgspec.json.encode({**value, "addresses": addresses, **fleet})

    def _gateways_registered(self, entries: dict[bytes, bytes]) -> None:
        if self.fleet_member is not None:  # not while another process takes over
            self.fleet_member.registry_entries_received(entries.values())

    def _make_webdav(self) -> WebDavServer:
        host = self.host
        journal = host.names_journal
        if journal is None:
            journal = names_journal(self.record["gateway"])
        self._report_slow_syncs(journal)
        names = names_and_locks(journal, self.network, host.clock_zero, host.warn)
        return webdav_server(self.record, self.gateway, self.network, names, host.access_log)

    def _report_slow_syncs(self, journal: Journal) -> None:
        """Logs each slow sync of a journal."""
        if isinstance(journal, FileJournal):
            self.file_journals[journal.name] = journal
            file, log_event = journal.path.name, self.host.log_event

            def log_slow_sync(seconds: float) -> None:
                log_event("journal sync slow", file=file, took_ms=round(1000 * seconds))

            journal.on_slow_sync = lambda seconds: self.host.call_from_thread(log_slow_sync, seconds)

    def _make_speaker(self) -> Speaker | None:
        """Creates the BGP speaker that announces service addresses, None if the settings have none."""
        settings = speaker_settings(self.record)
        if settings is None:
            return None
        in_flight = self.gateway.in_flight
        speaker = Speaker(
            self.network, settings, self.status, self._begin_drain, lambda: len(in_flight),
            self.host.log_event, self.seed
        )  # fmt: skip
        speaker.on_drained.append(self._close_clients)
        return speaker

    # --- the fleet, whose modules are imported only if the settings have one ---

    def _prepare_fleet(self, join_later: bool) -> None:
        if not join_later:
            self.fleet_member = self._make_fleet_member()
        elif self.host.fleet_journal is None and self.record["gateway"]["state"]:
            # Fails before the other process releases the journal if this program can't read it.
            self._fleet_journal().check_readable()

    def _fleet_journal(self) -> FileJournal:
        """Opens the journal of the fleet's shared state in the directory `gateway.state`."""
        from ochrecourse.fleet.member_environment import JOURNAL

        own, (name, oldest, newest) = self.record["gateway"], JOURNAL
        path = Path(own["state"]) / f"{own['name']}.log"
        return FileJournal(path, name, oldest, min(newest, self.record["fleet"]["newest_form"]))

    def _make_fleet_member(self) -> Any:
        """Creates this gateway's fleet member. Raises JournalError, OSError."""
        from ochrecourse.fleet.member import FleetMember
        from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
        from ochrecourse.fleet.stall_detector import StallDetector

        record, own, host = self.record, self.record["gateway"], self.host
        if self.process_lock is not None:
            self.process_lock.acquire()
        journal = host.fleet_journal
        if journal is None:
            journal = self._fleet_journal() if own["state"] else MemoryJournal()
        self._report_slow_syncs(journal)
        rules, zones = record["rules"], record["zones"]
        since_1970 = host.wall_clock_ms or unix_clock(self.network, host.clock_zero)
        environment = MemberEnvironment(
            self.gateway,
            self.network,
            journal,
            self.seed ^ FLEET_SEED,
            since_1970,
            host.log_event,
            host.make_disk_worker("fleet-journal"),
        )
        placement = ZonePlacement(own["zone"], len(zones), round(rules["cold_time"] * MS), zones)
        member = FleetMember(self._fleet_settings(), environment, placement)
        self.gateway.use_clock(StallDetector(self.network, member))
        for note in journal.damage_reports if isinstance(journal, FileJournal) else ():
            host.log_event("fleet journal", note=note)
        if {"copies", "purges"} & record["fleet"].keys():
            from ochrecourse.fleet.purge_subsystem import register_purges

            self.purger = register_purges(member, record, self.gateway, self.network, host.log_event)
        return member

    def _fleet_settings(self) -> dict[str, Any]:
        settings, rules = dict(self.record["fleet"]), self.record["rules"]
        if (
            "zones" in settings and rules["cold_fall"]
        ):  # the rate of a node in slow start is derived from the rules
            warm_up_rate = rules["cold_units"] * 1000 / rules["cold_fall"]
            settings["zones"] = {"cold": warm_up_rate, **settings["zones"]}
        return settings


def _servers(settings: Mapping[str, Any]) -> list[tuple[str, int]]:
    """Returns host and port of each server of the registry."""
    return [server for each in settings["servers"] if (server := parse_address(each)) is not None]
