"""What a daemon holds: a gateway, its front, its list, its health page. The process around it is in the
command line.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ochrecourse.bgp.fitness import Sight, Stage
from ochrecourse.bgp.setup import setup_of
from ochrecourse.bgp.speaker import Speaker
from ochrecourse.bgp.watch import Watch
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.storage.journal import FileJournal, MemoryJournal, Journal
from ochrecourse.storage.process_lock import ProcessLock
from ochrecourse.gateway.client_connection import ClientConnectionFactory
from ochrecourse.gateway.gateway import Gateway, RequestObserver
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.interface import Health, ListKind, SchedulerApi
from ochrecourse.membership.conflicts import NodeObservations, find_conflicts
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.membership.registration import Registration, RegistrationSettings
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.membership.registry_watcher import RegistryWatcher, unix_clock
from ochrecourse.membership.endpoint_list import EndpointListSnapshot, EndpointListUpdate
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.nodes.outcome import AttemptEvent
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.plain import plain_map
from ochrecourse.webdav.door import Door
from ochrecourse.webdav.kept import Kept
from ochrecourse.webdav.limits import DoorFigures
from ochrecourse.webdav.mapping import ProductRule, VolumeRule
from ochrecourse.webdav.methods import Quota

TREE = ("webdav-tree", 1)  # name and version of the file of names and locks
NATIVE = "native"  # the listening socket of the native framing, by name
LAST_WORDS = 0.2  # s for the last answers to leave before the process ends

# What a running gateway takes over from settings that are read again; the rest needs a restart.
MAY_CHANGE = ("log.level", "log.sample", "clients.open_jobs", "clients.connections")


class Daemon:
    """A gateway as it serves. `record` is a resolved settings record; `gone` is called when it has left."""

    def __init__(
        self,
        record: Mapping[str, Any],
        network: Network,
        observers: Sequence[RequestObserver],
        warn: Callable[[str], None],
        gone: Callable[[], None],
        told: Callable[..., None] | None = None,
        decisions: Callable[[Mapping[str, str], int, int], SchedulerApi] = Scheduler,
        epoch: int = 0,
        access: Callable[..., None] | None = None,
        tree: Journal | None = None,
        log: Journal | None = None,
        epoch_ms: Callable[[], int] | None = None,
        later: bool = False,
    ) -> None:
        """`gone` is called when it has left; `told` hears of what changes about service addresses; `epoch`: s
        since 1970 at the clock's zero, for dates that clients see; `access` takes a WebDAV request's line;
        `tree` keeps names and locks, `log` what the fleet shares, by default in the folder `gateway.state`;
        `epoch_ms`: the wall clock, ms since 1970; `later`: the part of the fleet is made by `join`, once its
        journal is free. Raises BadJournal, Unreadable, OSError.
        """
        self.record = record
        self.network = network
        self.gone = gone
        own = record["gateway"]
        seed = own["seed"] or random.SystemRandom().getrandbits(63)
        self.sightings = NodeObservations()
        self.gateway = Gateway(
            plain_map(record),
            seed,
            network,
            dialler(network),
            own["name"],
            round(own["travel"] * MS),
            [self, *observers],
            decisions,
        )
        self.front = ClientConnectionFactory(self.gateway, network, record["clients"]["connections"])
        kept = Path(own["state"]) / f"{own['name']}.nodes" if own["state"] else None
        self.follower = self._follower(record, kept, seed ^ 0x5DEECE66D, warn, epoch)
        self.enrolled = self._enrolled(record, seed)
        self.listening: Any = None
        self.door: Door | None = None
        self.sole = ProcessLock(Path(own["state"]) / f"{own['name']}.lock") if own["state"] else None
        if "webdav" in record:
            if self.sole is not None:
                self.sole.acquire()
            if tree is None:
                tree = (
                    FileJournal(Path(own["state"]) / f"{own['name']}.tree", *TREE)
                    if own["state"]
                    else MemoryJournal()
                )
            names = Kept(tree, lambda: uuid.uuid4().urn, now_ns(network), epoch)
            for note in tree.damage_reports if isinstance(tree, FileJournal) else ():
                warn(note)
            self.door = door_of(record, self.gateway, network, names, access)
        self.door_listening: Any = None
        self.part: Any = None
        self.purger: Any = None  # of the part's tenants, the one that drops copies
        since_1970, say = epoch_ms or unix_clock(network, epoch), told or (lambda event, **more: None)
        self.say = say
        self._make_part: Callable[[], Any] = partial(self._fleet, record, seed, since_1970, say, log)
        self.given: Any = None  # the part that the next process has taken the place of
        if "fleet" in record and not later:
            self.part = self._make_part()
        elif "fleet" in record and log is None and own["state"]:
            # Guards against a program that can't read the journal and finds so when it was given up for it.
            self._log_file().check_readable()
        self.watch = Watch()
        setup = setup_of(record)
        self.speaker: Speaker | None = None
        if setup is not None:
            held = self.gateway.tasks
            self.speaker = Speaker(network, setup, self.sight, self._leave, lambda: len(held), say, seed)
            self.speaker.gone.append(self._gone)

    def _follower(
        self, record: Mapping[str, Any], kept: Path | None, seed: int, warn: Callable[[str], None], epoch: int
    ) -> ListServerWatcher | RegistryWatcher:
        """Who tells of nodes: a list server or a registry."""
        context = WatcherContext(record["gateway"]["name"], self.network, self._news, kept, seed, warn)
        if "registry" in record:
            said = record["registry"]
            servers = [where for each in said["servers"] if (where := parse_address(each)) is not None]
            since_1970 = unix_clock(self.network, epoch)
            prefix = said["prefix"].encode()
            return RegistryWatcher(context, servers, prefix, since_1970)
        where = parse_address(record["list"]["address"])
        assert where is not None  # checked when the settings were read
        return ListServerWatcher(context, where)

    def _enrolled(self, record: Mapping[str, Any], seed: int) -> Registration | None:
        """This gateway's own entry in the registry, if it is to have one."""
        if "registry" not in record or not record["registry"]["own"]:
            return None
        said, own = record["registry"], record["gateway"]
        servers = [where for each in said["servers"] if (where := parse_address(each)) is not None]
        networks = [each["network"] for each in record["bgp"]["addresses"]] if "bgp" in record else []

        def value() -> bytes:
            who = {"name": own["name"], "number": own["number"], "listen": self.listens()}
            fleet = {} if self.part is None else {"fleet": self.part.listens()}
            return msgspec.json.encode({**who, "addresses": networks, **fleet})

        def others(found: dict[bytes, bytes]) -> None:
            if self.part is not None:  # not while another process takes over
                self.part.registry_entries_received(found.values())

        key, prefix = (said["own"] + own["name"]).encode(), said["own"].encode()
        hears = others if "fleet" in record else None
        settings = RegistrationSettings(servers, key, round(said["lease"] / 1000), seed, prefix)
        return Registration(self.network, settings, value, hears)

    def _log_file(self) -> FileJournal:
        """What the fleet shares, as it is kept in the folder `gateway.state`."""
        from ochrecourse.fleet.member_environment import JOURNAL

        own, (name, oldest, newest) = self.record["gateway"], JOURNAL
        path = Path(own["state"]) / f"{own['name']}.log"
        return FileJournal(path, name, oldest, min(newest, self.record["fleet"]["newest_form"]))

    def _fleet(
        self,
        record: Mapping[str, Any],
        seed: int,
        epoch_ms: Callable[[], int],
        say: Callable[..., None],
        log: Journal | None,
    ) -> Any:
        """What this gateway shares with others; nothing of that room is loaded where the settings name
        none.
        """
        from ochrecourse.fleet.member import FleetMember
        from ochrecourse.fleet.member_environment import MemberEnvironment, ZonePlacement
        from ochrecourse.fleet.stall_detector import StallDetector

        own = record["gateway"]
        if self.sole is not None:
            self.sole.acquire()
        if log is None:
            log = self._log_file() if own["state"] else MemoryJournal()
        said, rules = dict(record["fleet"]), record["rules"]
        if "zones" in said and rules["cold_fall"]:  # what a cold node bears is a rule already
            said["zones"] = {"cold": rules["cold_units"] * 1000 / rules["cold_fall"], **said["zones"]}
        zones = record["zones"]
        environment = MemberEnvironment(self.gateway, self.network, log, seed ^ 0x2545F491, epoch_ms, say)
        placement = ZonePlacement(own["zone"], len(zones), round(rules["cold_time"] * MS), zones)
        part = FleetMember(said, environment, placement)
        self.gateway.clock = StallDetector(self.network, part)
        for note in log.damage_reports if isinstance(log, FileJournal) else ():
            say("fleet journal", note=note)
        if {"copies", "purges"} & record["fleet"].keys():
            from ochrecourse.fleet.purger import lodge

            self.purger = lodge(part, record, self.gateway, self.network, say)
        return part

    def listens(self) -> str:
        """HOST:PORT of the native framing; empty before it serves."""
        at = self.listening.getHost() if self.listening is not None else None
        return f"{at.host}:{at.port}" if at is not None else ""

    def start(self) -> tuple[str, int]:
        """Serves from now on; returns the address that it listens on. Raises CannotListenError."""
        self.follow()
        return self.listen(self._open)

    def follow(self) -> None:
        """Follows the list of nodes; nothing is accepted yet."""
        self.follower.start()

    def _open(self, what: str, port: int, factory: Any, host: str) -> Any:
        return self.network.listenTCP(port, factory, backlog=4096, interface=host)

    def listen(self, listen: Callable[[str, int, Any, str], Any]) -> tuple[str, int]:
        """Accepts from now on; `listen` opens a port for what is named. Raises CannotListenError."""
        host, port = parse_address(self.record["gateway"]["listen"]) or ("127.0.0.1", 0)
        self.listening = listen(NATIVE, port, self.front, host)
        if self.door is not None:
            door_host, door_port = parse_address(self.record["webdav"]["listen"]) or ("127.0.0.1", 0)
            self.door_listening = listen("webdav", door_port, self.door, door_host)
        if self.part is not None:
            self.part.start(listen, self.record["fleet"]["listen"])
        if self.speaker is not None:
            self.speaker.start()
        if self.enrolled is not None:
            self.enrolled.start()
        at = self.listening.getHost()
        return at.host, at.port

    def join(self) -> None:
        """Makes its part of the fleet, where that was left for later. Raises BadJournal, OSError."""
        if self.part is None and "fleet" in self.record:
            self.part = self._make_part()
            self.part.nodes_are(self.gateway.entries)

    def release(self) -> None:
        """Leaves the fleet to the next process of this name; jobs are served as before."""
        if self.part is not None:
            self.given, self.part = self.part, None
            self.given.give()
            if self.sole is not None:
                self.sole.release()

    def rejoin(self, listen: Callable[[str, int, Any, str], Any]) -> None:
        """The next process ended before it served: takes this gateway's place in the fleet again. Raises
        BadJournal, OSError, CannotListenError."""
        self.join()
        self.given = None
        if self.part is not None:
            self.part.start(listen, self.record["fleet"]["listen"])

    def take_kept(self, copy: EndpointListSnapshot) -> None:
        """A kept list, where it does not come from the folder `gateway.state`."""
        self._news(self.follower.endpoint_list.restore_snapshot(copy, now_ns(self.network)))

    def kill(self) -> None:
        """Ends everything at once and says nothing, as the end of a process does."""
        if self.part is not None:
            self.part.kill()
        if self.sole is not None:
            self.sole.release()
        if self.speaker is not None:
            self.speaker.kill()
        for port in (self.listening, self.door_listening):
            if port is not None:
                port.stopListening()
        self.gateway.stop()
        self.follower.stop()
        if self.enrolled is not None:
            self.enrolled.stop()
        for front in list(self.front.fronts):
            front.abort()
        for channel in list(self.door.channels) if self.door is not None else ():
            channel.transport.abortConnection()

    def drain(self) -> None:
        """The way out. With service addresses they go first, as docs/bgp.md says; a second call skips that.

        Then nothing new is taken; when all that is held has its answer, everything is closed and `gone` is
        called.
        """
        if self.speaker is None or not self.speaker.begin_drain():
            self._leave()

    def hand_over(self) -> None:
        """Another process accepts on this one's sockets, which are closed here: what is held is finished."""
        self.listening = None
        if self.given is not None:
            from ochrecourse.fleet.quota import LENDABLE_FRACTION, SETTLE_MS

            # The next process uses half of its part at cold nodes at first; the other half is for what is
            # held here, until what is over of earlier uses would be another's.
            self.given.share(LENDABLE_FRACTION)
            self.network.callLater(SETTLE_MS / 1000, self.given.share, 0.0)
        if self.enrolled is not None:
            # The entry is the next process's: given back here it would be gone until that one writes it anew.
            self.enrolled.stop()
        self._leave()

    def sight(self) -> Sight:
        """What this gateway sees of itself now."""
        gateway, now = self.gateway, now_ns(self.network)
        ready = [node for node, entry in gateway.entries.items() if entry.health is Health.READY]
        recent = self.watch.look(gateway.ledger.closings, now)
        age = self.follower.endpoint_list.age(now)
        return Sight(
            listening=self.listening is not None,
            draining=not gateway.leaving.takes(),
            loop_late=gateway.lateness.worst_since(now - 2 * SECOND),
            has_list=bool(gateway.entries),
            # A list that is followed is as fresh as its connection, however long ago it last changed.
            list_age=0 if self.follower.connected else age or 0,
            list_fresh=age is not None,
            enrolled=self.enrolled is None or self.enrolled.is_active() or not self.enrolled.lease.losses,
            nodes_ready=len(ready),
            nodes_reached=gateway.reach.count_reachable(ready, now),
            jobs=recent.jobs,
            written_off=recent.written_off,
            lately=recent.lately,
            fulfilled=recent.fulfilled,
            open_share=gateway.ledger.open / gateway.max_open,
        )

    def ready(self) -> tuple[bool, str]:
        """Whether new jobs are of any use here, and why not."""
        if not self.gateway.leaving.takes():
            return False, "leaving"
        if not self.gateway.entries:
            return False, "no list of nodes"
        if self.gateway.ledger.open >= self.gateway.max_open:
            return False, "no room for more jobs"
        return True, "ready"

    def members(self) -> dict[str, Any]:
        """What this gateway holds of the list of nodes, and how sure of it it is."""
        follower, now = self.follower, now_ns(self.network)
        age = follower.endpoint_list.age(now)
        told: dict[str, Any] = {
            "from": "registry" if isinstance(follower, RegistryWatcher) else "list server",
            "connected": follower.connected,
            "epoch": follower.endpoint_list.epoch,
            "age_s": None if age is None else round(age / SECOND, 3),
            "nodes": [
                msgspec.structs.asdict(line) for _, line in sorted(follower.endpoint_list.entries.items())
            ],
            "conflicts": [
                {
                    "node": each.node,
                    "what": each.description,
                    "for_s": round((now - each.since) / SECOND, 3) if each.since else None,
                }
                for each in find_conflicts(self.gateway.entries, self.sightings, now)
            ],
            "counts": dict(follower.counts),
            "lease": None if self.enrolled is None else self.enrolled.is_active(),
        }
        if isinstance(follower, RegistryWatcher):
            told["not_believed"] = follower.registry.distrust_reason
            told["notes"] = dict(follower.registrations.problems)
        return told

    def accept_members(self) -> bool:
        """An operator says that a registry that went back is right; False if there is nothing to accept."""
        if not isinstance(self.follower, RegistryWatcher) or not self.follower.registry.distrust_reason:
            return False
        self.follower.accept_registry()
        return True

    def take_over(self, record: Mapping[str, Any]) -> tuple[list[str], list[str]]:
        """Settings that were read again: what changed and is in force now, and what needs a restart."""
        taken: list[str] = []
        left: list[str] = []
        for path, old, new in changes(self.record, record):
            (taken if path in MAY_CHANGE else left).append(f"{path}: {old} to {new}")
        self.gateway.max_open = record["clients"]["open_jobs"]
        self.front.most = record["clients"]["connections"]
        kept = {name: dict(part) if isinstance(part, Mapping) else part for name, part in self.record.items()}
        kept["log"] = record["log"]
        kept["clients"] = {
            **kept["clients"],
            "open_jobs": record["clients"]["open_jobs"],
            "connections": record["clients"]["connections"],
        }
        self.record = kept
        return taken, left

    def figures(self) -> dict[str, float]:
        """What the metrics page shows, by name."""
        gateway = self.gateway
        now = now_ns(self.network)
        age = self.follower.endpoint_list.age(now)
        told: dict[str, float] = {
            "jobs_taken_total": gateway.ledger.taken,
            "jobs_denied_at_door_total": gateway.denied_at_door,
            "jobs_open": gateway.ledger.open,
            "jobs_open_limit": gateway.max_open,
            "legs_total": gateway.ledger.legs,
            "legs_further_total": gateway.ledger.further,
            "legs_out": len(gateway.nodes.in_flight),
            "node_connections": gateway.nodes.open_connections(),
            "client_connections": len(self.front.fronts),
            "client_connections_limit": self.front.most,
            "nodes_listed": len(gateway.entries),
            "list_conflicts": len(find_conflicts(gateway.entries, self.sightings, now)),
            "list_age_seconds": -1.0 if age is None else age / SECOND,
            "list_epoch": self.follower.endpoint_list.epoch,
            "list_gaps_total": self.follower.endpoint_list.gaps,
            "loop_late_worst_seconds": gateway.lateness.worst / SECOND,
        }
        for closing, count in gateway.ledger.closings.items():
            told[f'jobs_total{{ending="{closing.value}"}}'] = count
        for ending, count in gateway.ledger.endings.items():
            told[f'leg_endings_total{{ending="{ending.value}"}}'] = count
        if self.speaker is not None:
            for held in self.speaker.peers:
                told[f'bgp_peer_state{{peer="{held.setup.figures.name}"}}'] = int(held.peer.state)
            for each in self.speaker.addresses:
                told[f'bgp_standing{{network="{each.setup.network}"}}'] = int(each.fitness.standing)
                told[f'bgp_changes_total{{network="{each.setup.network}"}}'] = each.fitness.changes
        if self.enrolled is not None:
            told["registry_lease_held"] = float(self.enrolled.is_active())
            told["registry_leases_lost_total"] = self.enrolled.lease.losses
        if self.part is not None:
            told.update(self.part.figures())
        if self.purger is not None:
            told.update(self.purger.figures())
        sources = [gateway.nodes.counts, self.front.counts, self.follower.counts]
        if self.door is not None:
            told["webdav_connections"] = len(self.door.channels)
            told["webdav_resources"] = self.door.tree.size
            told["webdav_bytes"] = self.door.tree.used.total()
            told["webdav_locks"] = len(self.door.methods.locks.by_token)
            told["webdav_requests_waiting"] = len(self.door.waiting)
            sources.append(self.door.counts)
        for source in sources:
            for what, count in source.items():
                told[f'events_total{{what="{what}"}}'] = count
        return told

    def job_over(self, gateway: Gateway, story: RequestRecord) -> None:
        """What a job's legs said of their nodes."""
        for leg in story.legs:
            if leg.why:
                self.sightings.attempt_ended(leg.node, AttemptEvent(leg.why), leg.sent + leg.took)

    def _news(self, news: EndpointListUpdate) -> None:
        self.sightings.endpoint_list_received(
            news.entries, news.kind is not ListKind.DELTA, now_ns(self.network)
        )
        self.gateway.list_came(news.kind, news.entries, news.addresses)
        if self.part is not None:
            self.part.nodes_are(self.gateway.entries)

    def _leave(self) -> None:
        if self.gateway.leaving.takes():
            self.front.say_bye()
            if self.door is not None:
                self.door.say_bye()
            self.gateway.left.append(self._left)
            self.gateway.drain()

    def _left(self) -> None:
        if self.listening is not None:
            self.listening.stopListening()
        self.listening = None
        if self.door_listening is not None:
            self.door_listening.stopListening()
        self.follower.stop()
        if self.part is not None:
            self.part.stop()
        if self.enrolled is not None:
            self.enrolled.revoke()
        if self.speaker is None or self.speaker.drain.stage is Stage.SERVING:
            self._gone()
        else:
            self.speaker.look()  # it ends its sessions, then calls `_gone`

    def _gone(self) -> None:
        """Jobs that were on their way when clients were told are still denied; then the connections close."""
        self.network.callLater(LAST_WORDS, self.front.close)
        if self.door is not None:
            self.network.callLater(LAST_WORDS, self.door.close)
        self.network.callLater(2 * LAST_WORDS, self._over)

    def _over(self) -> None:
        if self.sole is not None:
            self.sole.release()
        self.gone()


def door_of(
    record: Mapping[str, Any],
    gateway: Gateway,
    network: Network,
    kept: Kept,
    access: Callable[..., None] | None,
) -> Door:
    """The WebDAV door of a record; a request's time is its product's client timeout."""
    said = record["webdav"]
    timeouts = {each["name"]: each["client_timeout"] / 1000 for each in record["products"]}
    products = [
        ProductRule(each["method"], each["most"], each["product"], timeouts[each["product"]])
        for each in said["products"]
    ]
    volumes = [VolumeRule(each["name"], each["plan"], each["gateways"]) for each in said["volumes"]]
    quota = Quota({each["name"]: round(each["quota"]) for each in said["volumes"] if each["quota"]})
    limits = said["limits"]
    figures = DoorFigures(
        connections=limits["connections"],
        header_bytes=round(limits["header"]),
        headers=limits["headers"],
        body=round(limits["body"]),
        rate=limits["rate"],
        burst=limits["burst"],
        idle=round(limits["idle"] * MS),
        head=round(limits["head"] * MS),
        slowest=limits["slowest"],
        grace=round(limits["grace"] * MS),
    )
    return Door(
        gateway,
        network,
        products,
        volumes,
        round(said["unit"]),
        record["units"]["most"],
        record["gateway"]["number"],
        kept,
        figures,
        quota,
        access,
    )


def changes(old: Any, new: Any, path: str = "") -> list[tuple[str, Any, Any]]:
    """Where two records differ: path, old value, new value."""
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        names = sorted({*old, *new})
        return [
            each
            for name in names
            for each in changes(old.get(name), new.get(name), f"{path}.{name}" if path else name)
        ]
    return [] if old == new else [(path, old, new)]
