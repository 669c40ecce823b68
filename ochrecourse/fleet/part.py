"""The fleet's part of one gateway, for a host program: the log, who is reached, and who lodges with them.

Everything goes by one timer: at each beat the tenants' sights go out with this gateway's row, what they want
said is appended, bounds go to the gateway, links are dialled and looked at. Off unless the settings have a
part `fleet`; nothing else imports this room.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any, Protocol

import msgspec

from ochrecourse.storage.journal import Journal
from ochrecourse.fleet.channel import ORDINARY, Told
from ochrecourse.fleet.entries import Entry, Row, Stamp
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.forms import FIRST, NEWEST, Forms, Raise
from ochrecourse.fleet.frontier import CHANNEL, PART, Frontier
from ochrecourse.fleet.kept import Kept
from ochrecourse.fleet.link import Dial, Door, Link
from ochrecourse.fleet.log import Bounds, Holes, Refused, Snapshot
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.mesh import Mesh
from ochrecourse.fleet.messages import FORM, RESTLESS, SLOW, BadPeer, Hello
from ochrecourse.fleet.shared import Common
from ochrecourse.fleet.terms import Terms
from ochrecourse.fleet.zones import Zones
from ochrecourse.fleet.zonewatch import OpenRequests, ZoneWatch
from ochrecourse.common.request_records import RequestRecord, AttemptRecord
from ochrecourse.interface import NodeEntry
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.settings.load import address

COMPACTED = 0.25  # of a channel's bytes, above which channel `fleet` gives way to a snapshot
COMPACTED_MS = 60_000  # up to whole minutes, which are the same stamps for all gateways
JOURNAL = ("fleet-log", FIRST, NEWEST)  # name of the file that keeps the log, and its forms
OTHERS = "others"  # the key, in a snapshot of channel `fleet`, of events that its writer did not understand
# Events of channel `fleet` that this program understands.
KINDS = ("admit", "close", "retire", "give up", "zone", "lend", "form")
DIAL_TIME = 2.0  # s for a connection to come up; a host that is gone does not refuse
UNNAMED = 64  # connections that have not said who they are; more are turned away
READ = 256  # entries that one who follows a channel is handed at once
PULL = 0.010  # s between two slices of what peers lack, which take 2 ms or 3 each: the rest is for jobs
WORK = 16_384  # bytes of the journal that are written anew at a pull; some 100 records, a millisecond
HOLES_BYTES = 1 << 20  # of one piece of holes, 2048 of some 400 bytes at the most
NAMES_BYTES = 1024  # of a channel's name beside it
WANTS = 64  # entries that one tenant may want in one beat; a mistake of it floods nobody

Listen = Callable[[str, int, Any, str], Any]
Hears = Callable[[list[Told], str], None]


class Tenant(Protocol):
    """What rests on the fleet: it is told what others say of its matter, and says what it wants said."""

    name: str  # under which its sights travel

    def sight(self, now: int) -> bytes | None:
        """What to tell the others of itself at this beat: JSON, or None for nothing."""

    def heard(self, name: str, zone: int, told: bytes, now: int) -> None:
        """Another gateway's sight. Raises ValueError or a `Bad...` of its own where it is none."""

    def event(self, entry: Entry, now: int) -> None:
        """An entry that is new in the log, of any channel; in any order."""

    def wants(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Channel and value of an entry to append; pulled until None. `reached`: zones by name."""

    def bounds(self, now: int) -> Mapping[int, float]:
        """Units a second that this gateway may begin at a node; one that is left out has no bound."""

    def turn(self, now: int) -> None:
        """A beat has passed."""


class Beside(Protocol):
    """What is needed of a gateway."""

    name: str
    attempt_observers: list[Callable[[RequestRecord, AttemptRecord], None]]

    @property
    def request_log(self) -> OpenRequests:
        """Its requests that are not over."""

    def node_rates_received(self, rates: Mapping[int, float]) -> None: ...


class Entered(msgspec.Struct):
    """A gateway's entry in the registry, as far as it is of use here."""

    name: str
    fleet: str = ""


class Reader:
    """One who follows a channel."""

    def __init__(self, channel: str, cursor: str, told: Hears) -> None:
        self.channel = channel
        self.cursor = cursor
        self.told = told
        self.over = False

    def stop(self) -> None:
        """Nothing more is told."""
        self.over = True


class Part:
    """One gateway in its fleet. `said`: the record's part `fleet`, spans in ms.

    `epoch_ms`: the wall clock, ms since 1970; `say` takes a line of the log. Raises OSError and
    durable.journal.BadJournal where the journal is not to be had.
    """

    def __init__(
        self,
        said: Mapping[str, Any],
        gateway: Beside,
        network: Network,
        journal: Journal,
        seed: int,
        epoch_ms: Callable[[], int],
        say: Callable[..., None] = lambda event, **more: None,
        zone: int = 0,
        zones: int = 1,
        cold: int = 0,
        names: Sequence[str] = (),
    ) -> None:
        """`zone`: this gateway's; `zones`: how many there are; `cold`: ns for which a node is cold; `names`:
        of the zones, in the settings' order."""
        self.gateway = gateway
        self.network = network
        self.say = say
        self.epoch_ms = epoch_ms
        self.shift = round(said["shift"])
        self.chance = random.Random(seed)
        self.beat = round(said["beat"] * MS)
        self.quiet = round(said["quiet"] * MS)
        self.addresses: dict[str, tuple[str, int]] = {}
        self.unplaced: set[str] = set()  # whose addresses come from the registry
        for each in said["peers"]:
            where = address(each["address"])
            self.addresses[each["name"]] = where or ("", 0)
            if where is None:
                self.unplaced.add(each["name"])
        now, own, figures = now_ns(network), gateway.name, said["log"]
        bounds = Bounds(
            round(figures["entry"]), round(figures["channel"]), figures["channels"], round(said["ahead"])
        )
        self.kept = Kept(journal, own, bounds, self.wall_ms(), self.chance.getrandbits(16))
        self.log = self.kept.log
        self.members = Members(
            own, self.log.life, zone, self.quiet, round(said["let_go"] * MS), self.addresses, now
        )
        self.frontier = Frontier(self.log, self.addresses)
        self.log.came_back()
        self.frontier.settle()
        self.forms = Forms(said.get("newest_form", NEWEST), self.kept.form)
        self.common = Common(
            said["name"], self.kept, self.members, self.beat, self.quiet, figures["flight"],
            bounds.ahead_ms, self._admit, self._news, self._restored,
            2 * bounds.channel_bytes + HOLES_BYTES + NAMES_BYTES * bounds.channels,
            round(figures["catch_up"]), self._tell_tenants,
            self.forms,
        )  # fmt: skip
        self.mesh = Mesh(own, self.quiet, self.chance.random)
        self.mesh.peers_are(self.addresses, now)
        self.tenants: list[Tenant] = []
        self.readers: list[Reader] = []
        self.links: dict[Link, None] = {}  # in order of their making: the same run, the same order
        self.named: dict[str, Link] = {}
        self.counts: Counter[str] = Counter()
        self.mistakes: Counter[str] = Counter()
        self.bytes_in = self.bytes_out = self.frames_in = self.frames_out = 0  # of links that are gone
        self.began = now
        self.beats = 0
        self.listening: Any = None
        self.stopped = False
        self._timer: Timer | None = None
        self._timer_at = 0  # when it is due
        self._due = now  # the next beat
        self._pulls = 0
        self.overdue = float("inf")  # s of the clock from which on a beat is missing (awake.Woken)
        self._fresh: dict[str, Row] = {}  # rows that came since the last beat
        self._bounds: dict[int, float] = {}
        self._said: Counter[str] = Counter()  # lines at this beat
        self._refused = self._too_long = ""  # why an append, or a compaction, was last refused
        self._noted: set[str] = set()
        self._last_note: list[str] = []
        self._reached: list[str] = [own]
        self._pumping = False
        self.log.listeners.append(self._tell_tenants)
        if self.forms.speaks.newest > FIRST:  # else it is as programs that know of no forms
            self.lodge(self.forms)
        self._keep_form()
        self.zones: Zones | None = None
        self.watch: ZoneWatch | None = None
        if "zones" in said:
            given = {**said["zones"], "clock_bound": said["clock_bound"]}
            self.zones = Zones(given, zones, own, zone, len(self.addresses) + 1, names)
            self.watch = ZoneWatch(self.zones, gateway.request_log, cold, self.wall_ms, self.beat)
            gateway.attempt_observers.append(self._leg_over)
        cold_limit = self.zones.figure["cold"] if self.zones is not None else 0.0
        self.terms = Terms(names, len(self.addresses) + 1, said["clock_bound"], cold_limit)
        self.lodge(self.terms)  # before what rests on them
        if self.watch is not None:
            self.lodge(self.watch)

    # --- for a host program ---

    def start(self, listen: Listen | None = None, where: str = "127.0.0.1:0") -> tuple[str, int]:
        """Listens and dials from now on; returns where it listens. Raises CannotListenError."""
        host, port = address(where) or ("127.0.0.1", 0)
        listen = listen or (lambda what, port, door, host: self.network.listenTCP(port, door, interface=host))
        self.listening = listen("fleet", port, Door(self._dialled_in), host)
        at = self.listening.getHost()
        self.say(
            "fleet joined", fleet=self.common.fleet, life=self.log.life, peers=len(self.addresses),
            listen=f"{at.host}:{at.port}", entries=sum(self.log.vector().values())
        )  # fmt: skip
        # Guards against a fleet that was started at one moment and beats as one: each step of news would take
        # a whole beat.
        self.began = now_ns(self.network) - round(self.chance.random() * self.beat)
        self._turn()
        return at.host, at.port

    def listens(self) -> str:
        """HOST:PORT for the other gateways; empty before it listens."""
        at = self.listening.getHost() if self.listening is not None else None
        return f"{at.host}:{at.port}" if at is not None else ""

    def entered(self, entries: Iterable[bytes]) -> None:
        """What gateways entered in the registry: where those are that have no address in the settings."""
        for entry in entries:
            try:
                told = msgspec.json.decode(entry, type=Entered)
            except (msgspec.DecodeError, RecursionError, UnicodeError):
                continue  # others may write there what is none of ours
            where = address(told.fleet)
            if told.name in self.unplaced and where is not None and where[1]:
                self.addresses[told.name] = where

    def stop(self) -> None:
        """Leaves: links end with a word, nothing is dialled."""
        self._close()
        for link in list(self.links):
            link.leave("this gateway leaves")

    def kill(self) -> None:
        """Ends everything at once and says nothing, as the end of a process does."""
        self._close()
        for link in list(self.links):
            link.cut()

    def give(self) -> None:
        """Leaves, and gives up the journal: another process goes on under this name. The bounds at nodes stay
        as they are until `share`."""
        self.stop()
        self.kept.give()
        if self._leg_over in self.gateway.attempt_observers:
            self.gateway.attempt_observers.remove(self._leg_over)

    def share(self, share: float) -> None:
        """Of what this gateway might begin at bounded nodes, that share is left to this process."""
        self.gateway.node_rates_received({node: bound * share for node, bound in self._bounds.items()})

    def _close(self) -> None:
        self.stopped, self.overdue = True, float("inf")
        stop(self._timer)
        self._timer = None
        if self.listening is not None:
            self.listening.stopListening()

    def lodge(self, tenant: Tenant) -> None:
        """A tenant moves in; it is told of all entries that are held."""
        now = now_ns(self.network)
        self.tenants.append(tenant)
        snapshot = self.log.snapshot(CHANNEL)
        if snapshot is not None:
            for entry in (*kept_in(snapshot, tenant.name), *kept_in(snapshot, OTHERS)):
                tenant.event(entry, now)
        for entry in self.log.all_entries():
            tenant.event(entry, now)

    def nodes_are(self, entries: Mapping[int, NodeEntry]) -> None:
        """The list of nodes as it is now."""
        if self.watch is not None:
            self.watch.nodes_are(entries.values(), now_ns(self.network))

    def append(self, channel: str, value: object) -> Entry:
        """An entry that is on disk here, then goes to the others. Raises log.Refused, OSError; then nothing
        was appended."""
        if channel == CHANNEL and isinstance(value, dict) and value.get("what") == "form":
            raise Refused("a form is raised by its own word, which asks whether all speak it")
        return self._append(channel, value, False)

    def give_up(self, name: str) -> Entry:
        """A person says that a gateway does not come back. Raises log.Refused, OSError."""
        return self.append(CHANNEL, self.frontier.give_up(name, self.members.reached(now_ns(self.network))))

    def raise_form(self, form: int) -> Entry:
        """Says that a form is in force from here on. Raises log.Refused with what is in the way, OSError."""
        why = self.form_waits(form)
        if why:
            raise Refused(why)
        return self._append(CHANNEL, msgspec.to_builtins(Raise(form)), True)

    def form_waits(self, form: int) -> str:
        """Why a form may not be raised to now; empty if it may."""
        return self.forms.why_not(form, self.frontier.view.counting, self.members.rows)

    def _keep_form(self) -> None:
        """The journal is in the form in force, as far as this program writes it: one that does not speak it
        finds so at the first line, and not behind half of the records."""
        form = min(self.forms.in_force, self.forms.speaks.newest)
        if form > self.kept.form:
            self.kept.raised(form)
            self.say("fleet form", form=self.forms.in_force, speaks=list(self.forms.speaks), by=self.forms.by)

    def read(self, channel: str, cursor: str = "", most: int = 100) -> tuple[list[Told], str]:
        """What a reader at `cursor` has not had, in order, and the next cursor. Raises log.Refused."""
        return self.log.read(channel, cursor, most)

    def follow(self, channel: str, cursor: str, told: Hears) -> Callable[[], None]:
        """Calls `told` with what a reader at `cursor` has not had, and the next cursor, now and whenever
        there is more; returns what ends it. Raises log.Refused where the cursor is none."""
        self.log.read(channel, cursor, 1)
        reader = Reader(channel, cursor, told)
        self.readers.append(reader)
        self._read_on(reader)
        return reader.stop

    def _read_on(self, reader: Reader) -> None:
        while not reader.over:
            news, cursor = self.log.read(reader.channel, reader.cursor, READ)
            if not news:
                return
            reader.cursor = cursor
            reader.told(news, cursor)

    def compact(self, channel: str, upto: Stamp, value: object) -> None:
        """Puts a value (JSON) in place of all that stands in a channel at or before `upto`, which is at the
        frontier or before it. Raises log.Refused."""
        if channel == CHANNEL:
            raise Refused(f"channel {CHANNEL} compacts itself")
        self._compact(channel, upto, value)

    def _compact(self, channel: str, upto: Stamp, value: object) -> None:
        self.kept.compact(channel, upto, value)
        self.common.holes += 1

    def _compact_fleet(self) -> None:
        """Decisions that others have replaced go. All gateways compact up to the same stamps, so that they go
        on holding the same."""
        upto = Stamp(self.log.frontier().ms // COMPACTED_MS * COMPACTED_MS, 0)
        before = self.log.snapshot(CHANNEL)
        if before is not None and before.upto >= upto:
            return
        full = self.log.bytes_of(CHANNEL) >= COMPACTED * self.log.bounds.channel_bytes
        if not full and not self.frontier.crowded(upto):
            return
        # What the last snapshot stands for may be held still, after a restart.
        since = before.upto if before is not None else Stamp(0, 0)
        events = [
            e for e in self.log.events(CHANNEL) if since < e.at <= upto and self.log.judge(e) == ORDINARY
        ]
        value: dict[str, Any] = {PART: self.frontier.settled(upto)}
        others = kept_in(before, OTHERS) if before is not None else []
        for tenant in self.tenants:
            keeps = getattr(tenant, "keeps", None)
            if keeps is not None:
                held = [*(kept_in(before, tenant.name) if before is not None else ()), *others, *events]
                kept = json.loads(msgspec.json.encode(keeps(held, upto)))
                if kept or tenant is not self.forms:  # programs that know of no forms write the same
                    value[tenant.name] = kept
        strange = [entry for entry in (*others, *events) if kind_of(entry) not in KINDS]
        if strange:
            # Guards against the loss of what a newer program said, which this one does not understand.
            value[OTHERS] = json.loads(msgspec.json.encode(strange))
        for name, kept in strange_in(before, {PART, OTHERS, *(t.name for t in self.tenants)}):
            value.setdefault(name, kept)
        try:
            self._compact(CHANNEL, upto, value)
        except Refused as trouble:
            if str(trouble) != self._too_long:
                self._too_long = str(trouble)
                self.say("fleet log not compacted", channel=CHANNEL, why=str(trouble))
            return
        self._too_long = ""
        self.say("fleet log compacted", channel=CHANNEL, upto_ms=upto.ms, bytes=self.log.bytes_of(CHANNEL))

    def dump(self, channel: str) -> bytes:
        """All that is held of a channel: equal bytes on gateways that hold the same."""
        return self.log.dump(channel)

    def report(self) -> dict[str, Any]:
        """What stands now, for people."""
        now = now_ns(self.network)
        reached, frontier = set(self.members.reached(now)), self.log.frontier()
        return {
            "fleet": self.common.fleet,
            "name": self.members.name,
            "life": self.log.life,
            "members": [self._member(name, name in reached, now) for name in self.members.names()],
            "links": sorted(self.named),
            "channels": {
                name: {"entries": self.log.count_of(name), "bytes": self.log.bytes_of(name)}
                for name in self.log.channels()
            },
            "frontier_ms": frontier.ms,
            "behind_ms": self.wall_ms() - frontier.ms,
            "counting": dict(sorted(self.frontier.view.counting.items())),
            "given_up": dict(sorted(self.frontier.view.given.items())),
            "forks": sorted(self.log.forks.values()),
            "notes": [*self.log.notes, *self.kept.notes],
            "mistakes": dict(self.mistakes),
            **{each.name: tell() for each in self.tenants if (tell := getattr(each, "report", None))},
        }

    def figures(self) -> dict[str, float]:
        """What the metrics page shows, by name."""
        now = now_ns(self.network)
        frames_in, frames_out, bytes_in, bytes_out = self.traffic()
        told: dict[str, float] = {
            "fleet_links": len(self.named),
            "fleet_members": len(self.members.names()),
            "fleet_members_reached": len(self.members.reached(now)),
            "fleet_form": self.forms.in_force,
            "fleet_entries": sum(self.log.vector().values()),
            "fleet_frontier_behind_seconds": (self.wall_ms() - self.log.frontier().ms) / 1000,
            'fleet_bytes_total{way="in"}': bytes_in,
            'fleet_bytes_total{way="out"}': bytes_out,
            'fleet_frames_total{way="in"}': frames_in,
            'fleet_frames_total{way="out"}': frames_out,
            "fleet_appends_total": self.counts["appends"],
            "fleet_appends_refused_total": self.counts["appends refused"],
        }
        for code, count in self.mistakes.items():
            told[f'fleet_mistakes_total{{code="{code}"}}'] = count
        return told

    def traffic(self) -> tuple[int, int, int, int]:
        """Frames in and out, bytes in and out, of all links since the start."""
        links = self.links
        return (
            self.frames_in + sum(link.exchange.frames_in for link in links),
            self.frames_out + sum(link.frames_out for link in links),
            self.bytes_in + sum(link.exchange.bytes_in for link in links),
            self.bytes_out + sum(link.bytes_out for link in links),
        )

    def wall_ms(self) -> int:
        """ms since 1970 as this gateway has it."""
        wall: int = self.epoch_ms() + self.shift
        return wall

    # --- links (link.Holder) ---

    def greeted(self, link: Link) -> str:
        """One link a pair: a new life's replaces an old one's; of two at once the lower name's stays."""
        name, now = link.exchange.peer, now_ns(self.network)
        assert link.exchange.hello is not None
        if self.mesh.resting(name, now):
            return "a mistake that ended a link lately"
        before = self.named.get(name)
        if before is not None and before is not link:
            assert before.exchange.hello is not None
            renewed = link.exchange.hello.life > before.exchange.hello.life
            by_right = link.dialled == (self.members.name < name)
            if not renewed and before.dialled != link.dialled and not by_right:
                return "another link to this gateway stands"
            before.leave("a newer link took its place")
        self.named[name] = link
        self.mesh.up(name, link.dialled, now)
        self.say("fleet link up", peer=name, life=link.exchange.hello.life, dialled=link.dialled)
        return ""

    def came(self, link: Link, entries: list[Entry]) -> None:
        if entries:
            self._pump_all()
        else:
            link.pump()
            self._hurry(now_ns(self.network))

    def ended(self, link: Link, why: str, mistake: BadPeer | None) -> None:
        self.links.pop(link, None)
        exchange, now = link.exchange, now_ns(self.network)
        self.frames_in += exchange.frames_in
        self.frames_out += link.frames_out
        self.bytes_in += exchange.bytes_in
        self.bytes_out += link.bytes_out
        name = exchange.peer
        rests = exchange.blamed or (mistake is not None and mistake.code not in RESTLESS)
        if mistake is not None:
            self.mistakes[mistake.code] += 1
            self._say_once(name or "unnamed", "fleet link refused", peer=name or "unnamed", why=str(mistake))
        gone = [each for each, source in self.common.source.items() if source is exchange]
        for each in gone:
            del self.common.source[each]
        if gone:
            for other in self.links:
                other.exchange.source_gone(gone)
        if self.named.get(name) is link:
            del self.named[name]
            if mistake is None and not self.stopped:
                self.say("fleet link down", peer=name, why=why)
            self.mesh.lost(name, now, rests)
        elif name and name not in self.named and (link.dialled or rests):
            self.mesh.lost(name, now, rests)

    def _admit(self, hello: Hello) -> str:
        if hello.name not in self.addresses:
            return f"{hello.name!r} is no name of this fleet that the settings here know"
        return ""

    def _dialled_in(self) -> Link | None:
        unnamed = sum(1 for link in self.links if link.exchange.hello is None and not link.dialled)
        if self.stopped or unnamed >= UNNAMED:
            self.counts["connections turned away"] += 1
            return None
        return self._link("")

    def _link(self, peer: str) -> Link:
        exchange = Exchange(self.common, peer, now_ns(self.network))
        link = Link(self.network, exchange, self, self.wall_ms, bool(peer))
        self.links[link] = None
        return link

    def _dial(self, name: str) -> None:
        host, port = self.addresses[name]
        if not port:  # it has not entered itself in the registry
            self.mesh.lost(name, now_ns(self.network))
            return
        dial = Dial(lambda: self._link(name), lambda: self.mesh.lost(name, now_ns(self.network)))
        self.network.connectTCP(host, port, dial, timeout=DIAL_TIME)

    def _pump_all(self) -> None:
        links = list(self.links)
        first = self._pulls % max(1, len(links))  # each in its turn: what may go is for all of them
        for link in links[first:] + links[:first]:
            link.pump()
        self._hurry(now_ns(self.network))

    # --- the one timer ---

    def _turn(self) -> None:
        """A beat, or a pull between two beats."""
        now = now_ns(self.network)
        if self.stopped:
            return
        if now + MS < self._due:
            self._pull(now)
            return
        self.beats += 1
        due = self.began + self.beats * self.beat
        if due <= now:  # this process stood still: beats that were missed are not made up for
            self.beats = (now - self.began) // self.beat + 1
            due = self.began + self.beats * self.beat
        self._due = due
        self._wake(now, due)
        self.overdue = (due + self.beat) / SECOND
        self._said.clear()
        self._hand_on(now)
        self._agree()
        for tenant in self.tenants:
            tenant.turn(now)
        if self.frontier.over or self.members.outlived > self.log.life:
            self._renew()
        self._say_wanted(now)
        told = {PART: self.frontier.told()}
        for tenant in self.tenants:
            sight = tenant.sight(now)
            if sight is not None:
                told[tenant.name] = sight
        promise = self.kept.promise(self.wall_ms())
        self.kept.sync()
        fields = self.frontier.fields(promise)
        self.members.own(now, told=told, **fields)
        self._bounds_now(now)
        self._keep_form()
        self._compact_fleet()
        self._look_at_links(now)
        stale = self.common.stale(now)
        for link in list(self.links):
            link.exchange.turn(now, stale)
        self._pump_all()
        self.readers = [reader for reader in self.readers if not reader.over]
        for reader in self.readers:
            self._read_on(reader)
        self._look(now)
        self._hurry(now)

    def _wake(self, now: int, at: int) -> None:
        self._timer_at = at
        self._timer = self.network.callLater(max(0, at - now) / SECOND, self._turn)

    def _hurry(self, now: int) -> None:
        """The timer comes before the next beat where a peer lacks more than may go at once, or where the
        journal is written anew."""
        at = now + round(PULL * SECOND)
        if (self.common.waits or self.kept.busy) and at < self._timer_at and not self.stopped:
            stop(self._timer)
            self._wake(now, at)

    def _pull(self, now: int) -> None:
        self._wake(now, self._due)
        self._pulls += 1
        self.common.waits = False
        shrinking = bool(self.log.shrinking)
        self.kept.work(WORK)
        if shrinking and not self.log.shrinking:
            self.common.holes += 1
        self._pump_all()

    def woke(self) -> None:
        """This process stood still, and something is to be decided before the beat that is missing comes."""
        now = now_ns(self.network)
        self.overdue = (now + self.beat) / SECOND
        self._bounds_now(now)

    def _agree(self) -> None:
        """What others mean by the settings that all must have alike."""
        for line in self.terms.changes():
            alike = line["what"] == "all"
            self.say("fleet settings alike" if alike else "fleet settings differ", **line)
        if self.zones is not None:
            terms = self.terms
            self.zones.terms_are(terms.strangers(), terms.size(), terms.clock_bound(), terms.cold())

    def _renew(self) -> None:
        """Goes on under a new life: the fleet has let the old one go, or has heard of a greater one."""
        old = self.log.life
        try:
            chance = self.chance.getrandbits(16)
            life = self.kept.begin(self.wall_ms(), chance, self.members.outlived)
        except OSError as trouble:
            self._say_once("", "fleet life goes on", life=old, why=str(trouble))
            return
        self.members.begin(life)
        self.say("fleet life begun", life=life, before=old)

    def _news(self, row: Row) -> None:
        self.frontier.hear(row)
        self._fresh[row.name] = row

    def _hand_on(self, now: int) -> None:
        """The others' sights to the tenants."""
        fresh, self._fresh = self._fresh, {}
        for row in fresh.values():
            for tenant in self.tenants:
                told = row.told.get(tenant.name)
                if told is None:
                    continue
                try:
                    tenant.heard(row.name, row.zone, told, now)
                except Exception as trouble:
                    # Guards against a sight that is none: what one peer tells may not stop this beat.
                    self.mistakes["bad_sight"] += 1
                    self._say_once(row.name, "fleet sight refused", peer=row.name, why=str(trouble)[:300])

    def _restored(self, piece: Snapshot | Holes) -> None:
        """A piece of a peer's snapshots was taken."""
        self.frontier.snapshot_came()
        if isinstance(piece, Snapshot):
            self.say("fleet snapshot taken", channel=piece.channel, upto_ms=piece.upto.ms)
            self._told_kept(piece)

    def _told_kept(self, snapshot: Snapshot) -> None:
        """What tenants still need of the events that a snapshot stands for."""
        if snapshot.channel != CHANNEL:
            return
        now = now_ns(self.network)
        for tenant in self.tenants:
            for entry in (*kept_in(snapshot, tenant.name), *kept_in(snapshot, OTHERS)):
                tenant.event(entry, now)

    def _leg_over(self, story: RequestRecord, leg: AttemptRecord) -> None:
        if self.watch is not None:
            self.watch.leg_over(story, leg, now_ns(self.network))

    def _tell_tenants(self, entry: Entry) -> None:
        """An entry of the log, or one that comes to it in its turn; they take it more than once."""
        now = now_ns(self.network)
        for tenant in self.tenants:
            tenant.event(entry, now)

    def _say_wanted(self, now: int) -> None:
        reached = self.members.reached(now)
        away = self.members.away(now)
        for _ in range(WANTS if self.beats % 2 else 0):  # every other beat: it looks at all rows anew
            value = self.frontier.wants(reached, away)
            if value is None or not self._appended(CHANNEL, value, True):
                break
        zones = {name: self.members.zone_of(name) for name in reached}
        for tenant in self.tenants:
            for _ in range(WANTS):
                wanted = tenant.wants(now, zones)
                if wanted is None or not self._appended(*wanted, False):
                    break

    def _appended(self, channel: str, value: object, must: bool) -> bool:
        try:
            self._append(channel, value, must)
        except (Refused, OSError):
            return False  # counted and told; wanted again at the next beat
        return True

    def _append(self, channel: str, value: object, must: bool) -> Entry:
        try:
            if self.stopped:
                # Guards against an answer for an entry that nobody hears of, and that the next process may
                # have put its journal in place of.
                raise Refused("this gateway has left its fleet")
            if channel.encode("utf-8", "replace").decode() != channel:
                raise Refused("a channel's name that is no text")
            entry = self.kept.append(channel, value, self.wall_ms(), must)
        except (Refused, OSError) as trouble:
            self.counts["appends refused"] += 1
            if str(trouble) != self._refused:
                self._refused = str(trouble)
                self.say("fleet append refused", channel=channel, why=str(trouble))
            raise
        self._refused = ""
        self.counts["appends"] += 1
        self._pump_all()
        return entry

    def _bounds_now(self, now: int) -> None:
        bounds: dict[int, float] = {}
        for tenant in self.tenants:
            for node, bound in tenant.bounds(now).items():
                bounds[node] = min(bound, bounds.get(node, bound))
        if bounds != self._bounds:
            self._bounds = bounds
            self.gateway.node_rates_received(bounds)

    def _look_at_links(self, now: int) -> None:
        for link in list(self.links):
            exchange = link.exchange
            if exchange.hello is None and now - exchange.began > self.quiet:
                link.cut("no hello came in time")
            elif exchange.hello is not None and (apart := self.forms.apart(exchange.speaks)):
                link.give_up(BadPeer(FORM, apart))  # it was raised while the link stood
            elif exchange.silent(now) and link.partial():
                text = f"a frame that was begun was not whole after {self.quiet / SECOND:g} s"
                link.give_up(BadPeer(SLOW, text))
            elif exchange.silent(now):
                # Guards against half-open connections: the other side may be gone without a word.
                link.cut("nothing was heard for too long")
        while (name := self.mesh.wants(now)) is not None:
            self._dial(name)
        while (name := self.mesh.spare(now)) is not None:
            if name in self.named:
                self.named[name].leave("no longer needed")

    def _look(self, now: int) -> None:
        """What people are to know of: who comes and goes, and what the log noted."""
        reached = self.members.reached(now)
        if reached != self._reached:
            came, went = set(reached) - set(self._reached), set(self._reached) - set(reached)
            self._reached = reached
            self.say("fleet reach", reached=len(reached), came=sorted(came)[:20], went=sorted(went)[:20])
        for change in self.watch.changes() if self.watch is not None else ():
            self.say("zone standing", **change)
        notes = [*self.log.notes, *self.kept.notes]
        for line in notes:
            if line not in self._noted:
                self.say("fleet log", note=line)
        if len(notes) != len(self._noted) or notes[-1:] != self._last_note:
            self._noted, self._last_note = set(notes), notes[-1:]

    def _say_once(self, key: str, event: str, **more: Any) -> None:
        """At most one line a beat of the same gateway: a liar does not fill the log."""
        self._said[key] += 1
        if self._said[key] == 1:
            self.say(event, **more)

    def _member(self, name: str, reached: bool, now: int) -> dict[str, Any]:
        row = self.members.rows.get(name)
        link = self.named.get(name)
        heard = self.members.heard_at.get(name, now)
        return {
            "name": name,
            "reached": reached,
            "linked": link is not None,
            "zone": row.zone if row is not None else None,
            "life": row.life if row is not None else None,
            "entries": row.seq if row is not None else None,
            "silent_s": round((now - heard) / SECOND, 3),
        }


def kept_in(snapshot: Snapshot, name: str) -> list[Entry]:
    """The events that a tenant still needs of those that a snapshot of channel `fleet` stands for."""
    try:
        return msgspec.convert(json.loads(snapshot.value).get(name, []), list[Entry])
    except (ValueError, AttributeError, RecursionError):
        return []  # a snapshot from a version that knew of no such tenant


def kind_of(entry: Entry) -> str:
    """What an event of channel `fleet` says it is; empty if it says nothing."""
    try:
        return msgspec.json.decode(entry.body, type=_Kind).what
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return ""


class _Kind(msgspec.Struct):
    what: str = ""


def strange_in(snapshot: Snapshot | None, known: Collection[str]) -> list[tuple[str, Any]]:
    """Parts of a snapshot of channel `fleet` that nobody here knows of, by name."""
    if snapshot is None:
        return []
    try:
        return [(name, kept) for name, kept in json.loads(snapshot.value).items() if name not in known]
    except (ValueError, AttributeError, RecursionError):
        return []


def told_plainly(told: Told) -> dict[str, Any]:
    """What a reader got, as values for JSON."""
    entry, snapshot = told.entry, told.snapshot
    if entry is not None:
        return {
            "channel": entry.channel, "writer": entry.writer, "life": entry.life, "seq": entry.seq,
            "at": list(entry.at), "late": told.late, "value": json.loads(entry.body),
        }  # fmt: skip
    assert snapshot is not None
    return {
        "channel": snapshot.channel, "upto": list(snapshot.upto), "snapshot": json.loads(snapshot.value)
    }  # fmt: skip
