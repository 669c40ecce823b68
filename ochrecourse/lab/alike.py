"""One scenario through the library and through the daemon: the same jobs must end in the same way.

A scenario is a day of one gateway with its jobs written out. In the library, `Gateway` and
`ListServerWatcher` stand in this process and a job is handed to `take`; through the daemon it comes from a
client's connection. On the virtual clock both records must be equal to the nanosecond, for nothing but the
clients' side differs; on real sockets, with nodes in a process of their own, each job must get the same
answer. The seven rules are judged in all of them, from what crossed the sockets.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import audit
from ochrecourse.gateway.daemon import Daemon
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.common.requests import Request
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.common.request_records import RequestRecord
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.lab.day import BadDay, Day, Volume, check, gateway_record
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.load import Call, Load
from ochrecourse.lab.play import TAIL, WARM_UP, make_fleet, play_troubles
from ochrecourse.lab.real import Child
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.membership.endpoint_list import EndpointListUpdate
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.settings.load import resolve
from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.writer import write
from ochrecourse.settings.plain import plain_map

NAME = "g0"


class Asking(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One job of a scenario; `at_s` from its beginning. The client timeout is the product's."""

    at_s: float
    product: str
    plan: str
    volume: int = 1
    shard: int = 0
    key: int = 0
    units: float = 1.0


class Scenario(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A day of one gateway and its jobs, by time."""

    day: Day
    jobs: list[Asking]


class Told(NamedTuple):
    """How a job ended: its answer, why, and what ended each of its legs."""

    trace: str
    ending: str
    why: str
    legs: tuple[tuple[str, str], ...]


def read(path: Path) -> Scenario:
    """A scenario from a JSON file. Raises BadDay."""
    try:
        scenario = msgspec.json.decode(path.read_bytes(), type=Scenario)
    except OSError as trouble:
        raise BadDay(f"{path}: {trouble.strerror}") from None
    except msgspec.DecodeError as trouble:
        raise BadDay(f"{path}: {trouble}") from None
    day = scenario.day
    check(day, str(path))
    if day.gateways != 1 or day.habits.retries or day.habits.impatient:
        raise BadDay(f"{path}: a scenario has one gateway, and its clients try once and wait")
    if day.net_ms[0] != day.net_ms[1]:
        raise BadDay(f"{path}: net_ms must be one time: a drawn one would differ between the two")
    products, plans = {each.name for each in day.products}, {each.name for each in day.plans}
    for i, job in enumerate(scenario.jobs):
        if job.product not in products or job.plan not in plans:
            raise BadDay(f"{path}: jobs[{i}]: no product {job.product!r} or no plan {job.plan!r}")
    return scenario


def calls(scenario: Scenario) -> list[Call]:
    """The jobs as clients send them."""
    products = [each.name for each in scenario.day.products]
    plans = [each.name for each in scenario.day.plans]
    made = []
    for number, job in enumerate(sorted(scenario.jobs, key=lambda each: each.at_s)):
        volume = Volume(job.volume, plans.index(job.plan), 1.0, [0], [job.shard], 1.0, False)
        product = products.index(job.product)
        made.append(Call(number, job.at_s, volume, product, job.key, job.units, job.shard, 0, 1.0))
    return made


def record_of(day: Day, list_address: str) -> Mapping[str, Any]:
    """The resolved settings that both get."""
    record = gateway_record(day, 0, "127.0.0.1:0", list_address, "")
    own: Any = record["gateway"]
    own["seed"] = day.seed
    return resolve(write(record) + 'log: {form: "json", sample: 1000000/s}\n', NAME)


class Client:
    """Who waits for jobs in the library: takes their bytes as they come, and records what each was told."""

    def __init__(self, gateway: Gateway, record: r.Recorder, traces: dict[int, str]) -> None:
        self.gateway, self.record, self.traces = gateway, record, traces

    def served(self, job: int, size: int, shard: int) -> None:
        self._told(job, "fulfilled")

    def body_chunk(self, job: int, data: bytes) -> None:
        self.gateway.response_consumed(job, len(data))

    def aborted(self, job: int) -> None:
        self._told(job, "written_off")

    def rejected(self, job: int, retry_after: int) -> None:
        self._told(job, "denied")

    def failed(self, job: int) -> None:
        self._told(job, "written_off")

    def _told(self, job: int, how: str) -> None:
        now = now_ns(self.gateway.clock)
        self.record(
            r.ResponseReceived(t=now, gateway=NAME, conn=1, id=job, trace=self.traces[job], outcome=how)
        )


class InLibrary:
    """The library on a network, real or virtual; `way`: s that a client's word takes to a daemon."""

    def __init__(
        self, scenario: Scenario, network: Network, list_address: str, way: float, record_to: r.Recorder
    ) -> None:
        self.day, self.network, self.way, self.record = scenario.day, network, way, record_to
        self.calls = calls(scenario)
        self.stories: list[RequestRecord] = []
        record = record_of(scenario.day, list_address)
        own = record["gateway"]
        travel = round(own["travel"] * MS)
        self.gateway = Gateway(
            plain_map(record), own["seed"], network, dialler(network), NAME, travel, [self]
        )
        self.client = Client(self.gateway, record_to, {})
        where = parse_address(list_address)
        assert where is not None
        context = WatcherContext(NAME, network, self._news, None, own["seed"] ^ 0x5DEECE66D)
        self.follower = ListServerWatcher(context, where)
        self.follower.start()

    def _news(self, news: EndpointListUpdate) -> None:
        self.gateway.endpoint_list_received(news.kind, news.entries, news.addresses)

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None:
        self.stories.append(story)

    def begin(self) -> None:
        for call in self.calls:
            self.network.callLater(call.at + self.way, self._take, call)

    def _take(self, call: Call) -> None:
        product = self.day.products[call.product]
        body = RequestBody(round(call.units * product.unit_bytes) if product.writes else 0)
        body.write(bytes(body.size))
        request = Request(
            request_class=product.name,
            tenant=self.day.plans[call.volume.plan].name,
            volume=call.volume.number,
            timeout=round(product.timeout_ms * MS),
            read_at=now_ns(self.network),
            key=call.key,
            units=call.units,
            shard=call.shard,
            trace=f"{call.number}.0",
            body=body if body.size else None,
        )
        job = self.gateway.next_request_id()
        self.client.traces[job] = request.trace
        self.record(
            r.RequestSent(
                t=request.read_at, gateway=NAME, conn=1, id=job, trace=request.trace,
                request_class=request.request_class,
                tenant=request.tenant, volume=request.volume, key=request.key, units=request.units,
                timeout=request.timeout, retry=False,
            )
        )  # fmt: skip
        self.gateway.submit(request, self.client)

    def stop(self) -> None:
        self.gateway.stop()
        self.follower.stop()


class _Stories:
    """Looks on at a daemon's gateway."""

    def __init__(self) -> None:
        self.stories: list[RequestRecord] = []

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None:
        self.stories.append(story)


def on_virtual_clock(scenario: Scenario, through_daemon: bool) -> tuple[list[RequestRecord], list[str]]:
    """What became of each job, in the order in which they were over, and breaches of rules in words."""
    day = scenario.day
    way = day.net_ms[0] / 1000
    network = VirtualNetwork(day.seed, way, way)
    records: list[r.Record] = []
    fleet = make_fleet(day, network, records.append)
    if through_daemon:
        seen = _Stories()
        record = record_of(day, fleet.list_address())
        daemon = Daemon(record, HostProgram(network, [seen], lambda text: None, lambda: None))
        at = daemon.start()
        load = Load(network, day, {0: lambda: at}, records.append)
        load.connect()
        network.advance(WARM_UP)
        play_troubles(day, network, fleet)
        load.start(calls(scenario))
        stories = seen.stories
    else:
        library = InLibrary(scenario, network, fleet.list_address(), way, records.append)
        network.advance(WARM_UP)
        play_troubles(day, network, fleet)
        library.begin()
        stories = library.stories
    network.advance(max(day.length_s, *(job.at_s for job in scenario.jobs)) + TAIL)
    return stories, breaches(day, records)


def breaches(day: Day, records: Iterable[Any]) -> list[str]:
    """What broke a rule, in words."""
    verdict = audit(figures_of(day), records)
    return [f"{each.rule}: {text}" for each in verdict.findings for text in each.breaches]


def told_by(stories: Sequence[RequestRecord]) -> dict[str, Told]:
    """How each job ended, by its trace."""
    told = {}
    for story in stories:
        legs = tuple((leg.ending.value if leg.ending else "out", leg.reason) for leg in story.attempts)
        ending = story.outcome.value if story.outcome else "open"
        told[story.trace] = Told(story.trace, ending, story.why(), legs)
    return told


class OnSockets:
    """One run on real sockets; `over` is called once, with how each job ended or with what went wrong.

    Nodes are a process of their own, and so is the daemon; the library stands in this process.
    """

    def __init__(
        self, scenario: Scenario, reactor: Any, folder: Path, through_daemon: bool,
        over: Callable[[dict[str, Told], str], None],
    ) -> None:  # fmt: skip
        self.scenario, self.reactor, self.folder, self.over = scenario, reactor, folder, over
        self.through_daemon = through_daemon
        self.library: InLibrary | None = None
        self.load: Load | None = None
        self.daemon: Any = None
        self.trouble = ""
        self.ending = False

    def start(self, spawn: Callable[[Child, list[str]], Any]) -> None:
        """`spawn` starts the program with these words."""
        self.spawn = spawn
        (self.folder / "day.json").write_bytes(msgspec.json.encode(self.scenario.day))
        self.record = r.RecordFile(self.folder / "clients.jsonl")
        child = Child(self.folder / "nodes.log", self._listed, self._nodes_over)
        day, records = str(self.folder / "day.json"), str(self.folder / "nodes.jsonl")
        self.nodes = spawn(child, ["nodes", day, "--wait", "--records", records])

    def _listed(self, line: str) -> None:
        where = line.removeprefix("list ").strip()
        if not self.through_daemon:
            self.library = InLibrary(self.scenario, self.reactor, where, 0.0, self.record)
            self.reactor.callLater(WARM_UP, self._begin, self.library.begin)
            return
        settings = self.folder / f"{NAME}.cue"
        settings.write_text(write(record_of(self.scenario.day, where)))
        child = Child(self.folder / "daemon.log", self._listens, self._daemon_over)
        self.daemon = self.spawn(child, ["serve", str(settings)])

    def _listens(self, line: str) -> None:
        at = parse_address(line.removeprefix("listening ").strip())
        load = self.load = Load(self.reactor, self.scenario.day, {0: lambda: at}, self.record)
        load.connect()
        self.reactor.callLater(WARM_UP, self._begin, lambda: load.start(calls(self.scenario)))

    def _begin(self, begin: Callable[[], None]) -> None:
        day = self.scenario.day
        self.nodes.write(b"go\n")
        begin()
        last = max(self.scenario.jobs, key=lambda job: job.at_s)
        longest = max(product.timeout_ms for product in day.products) / 1000
        self.reactor.callLater(last.at_s + longest + 0.5, self._end)

    def _end(self) -> None:
        self.ending = True
        if self.load is not None:
            self.load.stop()
        if self.library is not None:
            self.library.stop()
        if self.daemon is not None:
            self.daemon.signalProcess("TERM")
        else:
            self.nodes.signalProcess("TERM")

    def _daemon_over(self, child: Child, code: int | None) -> None:
        self.daemon = None
        if code != 0 or not self.ending:
            self.trouble = f"the daemon ended with code {code}; see {self.folder / 'daemon.log'}"
        self.ending = True
        if self.nodes is not None:
            self.nodes.signalProcess("TERM")

    def _nodes_over(self, child: Child, code: int | None) -> None:
        self.nodes = None
        if not self.ending:
            self.trouble = f"the nodes ended with code {code}; see {self.folder / 'nodes.log'}"
            if self.daemon is not None:
                self.daemon.signalProcess("KILL")
        self.record.close()
        if not self.trouble:
            records = r.read([self.folder / "clients.jsonl", self.folder / "nodes.jsonl"])
            self.trouble = "; ".join(breaches(self.scenario.day, records))
        self.over(self._told(), self.trouble)

    def _told(self) -> dict[str, Told]:
        if self.library is not None:
            return told_by(self.library.stories)
        log = self.folder / "daemon.log"
        told = {}
        for text in log.read_bytes().splitlines() if log.exists() else ():
            line = msgspec.json.decode(text)
            if line.get("event") == "job":
                legs = tuple((leg["ending"], leg["why"]) for leg in line["legs"])
                told[line["trace"]] = Told(line["trace"], line["ending"], line["why"], legs)
        return told


def differences(one: Mapping[str, Told], other: Mapping[str, Told], legs: bool = True) -> list[str]:
    """Jobs that did not end alike, in words.

    Without `legs` only the answers count: on real sockets a leg takes a real time, and whether there is time
    for one more, which is turned away as well, hangs on a millisecond.
    """
    found = []
    for trace in sorted(one.keys() | other.keys(), key=lambda each: int(each.partition(".")[0])):
        mine, theirs = one.get(trace), other.get(trace)
        alike = mine == theirs if legs else mine and theirs and mine.ending == theirs.ending
        if not alike:
            found.append(f"job {trace}: {words(mine)} in one, {words(theirs)} in the other")
    return found


def words(told: Told | None) -> str:
    """A job's end in a phrase."""
    if told is None:
        return "never over"
    legs = ", ".join(ending for ending, _ in told.legs) or "no leg"
    return f"{told.ending} ({legs}; {told.why})"
