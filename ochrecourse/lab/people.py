"""People at the WebDAV door: readers, savers, browsers, lockers, resenders and leavers.

Each person stays with one gateway. What it saved it reads back and compares by digest; every answer is
counted at its end, and jobs are recorded for the auditor as clients of the native framing record them. A
fault is what no failure of nodes or gateways excuses: an acknowledged save that is gone, bytes that nobody
wrote, an answer that the protocol does not allow there.
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from itertools import pairwise
from typing import Any

from twisted.internet.protocol import ClientFactory

from ochrecourse.audit import records as r
from ochrecourse.lab.day import Day, Product, Volume, limit_of, volumes
from ochrecourse.lab.load import Outcomes
from ochrecourse.wire.http_client import HttpResponse, HttpClientProtocol
from ochrecourse.common.runtime import Network, Timer, now_ns, stop
from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.webdav.mapping import units_for, volume_number

UNIT = 65_536  # bytes for which a job counts one unit
SMALL = 8_192  # bytes of a shared page
LARGE = 300_000  # bytes of a shared recording: several units, a stream
SHARED = 2  # pages and recordings in each volume at each gateway
THINK = 1.0  # s that a person pauses in the mean, if there are few
CROWD = 500  # people that one process of clients can let pause so shortly; more pause longer
AGAIN = 0.2  # s before a person tries again where nobody said when
TRAVEL = 40 * MS  # ns that a cancel may take to its node
KINDS = ("reader", "saver", "browser", "locker", "resender", "leaver")
SHARES = (0.35, 0.25, 0.1, 0.1, 0.1, 0.1)
LOCK = (
    b'<?xml version="1.0"?><D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope>'
    b"<D:locktype><D:write/></D:locktype><D:owner>someone</D:owner></D:lockinfo>"
)

EMPTY = hashlib.sha256().hexdigest()  # what a lock on nothing makes

Then = Callable[[HttpResponse | None], None]


def small_read(day: Day) -> Product:
    """What a GET of little is: the first product that only reads."""
    return next(each for each in day.products if not each.writes)


def large_read(day: Day) -> Product:
    return [each for each in day.products if not each.writes][-1]


def save(day: Day) -> Product:
    """What a PUT is: the first product whose repeats nodes drop."""
    return next(each for each in day.products if each.writes and each.effect == "fingerprinted")


def door_record(day: Day, port: int) -> dict[str, object]:
    """The part `webdav` of a gateway's settings for a day."""
    names = [
        {"name": f"v{volume.number}", "plan": day.plans[volume.plan].name, "gateways": len(volume.hosts)}
        for volume in volumes(day)
    ]
    return {
        "listen": f"127.0.0.1:{port}",
        "unit": UNIT,
        "products": [
            {"method": "GET", "most": UNIT, "product": small_read(day).name},
            {"method": "GET", "product": large_read(day).name},
            {"method": "PUT", "product": save(day).name},
        ],
        "volumes": [*names, {"plan": day.plans[0].name}],
    }


def limits_by_path(day: Day) -> dict[str, tuple[float, float, float]]:
    """The limits of the day's volumes by the numbers that their paths give them, for the auditor."""
    return {
        str(volume_number((f"v{volume.number}",))): limit_of(day, day.plans[volume.plan])
        for volume in volumes(day)
        if day.plans[volume.plan].limit
    }


class Line(ClientFactory):
    """A person's connection to its gateway; made when it is needed."""

    noisy = False

    def __init__(self, people: People, gateway: int) -> None:
        self.people = people
        self.gateway = gateway
        self.talk: HttpClientProtocol | None = None
        self.wanted: Callable[[HttpClientProtocol | None], None] | None = None

    def get(self, wanted: Callable[[HttpClientProtocol | None], None]) -> None:
        if self.talk is not None and not self.talk.lost and not self.talk.closing:
            wanted(self.talk)
            return
        where = self.people.addresses[self.gateway]()
        if where is None:
            wanted(None)
            return
        self.wanted = wanted
        self.people.network.connectTCP(where[0], where[1], self, timeout=2)

    def buildProtocol(self, addr: Any) -> HttpClientProtocol:
        return HttpClientProtocol(self._up, self._over)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._tell(None)

    def _up(self, talk: HttpClientProtocol) -> None:
        self.talk = talk
        self.people.conns += 1
        talk.number = self.people.conns
        self._tell(talk)

    def _over(self, talk: HttpClientProtocol) -> None:
        people = self.people
        people.record(
            r.ConnectionLost(t=now_ns(people.network), gateway=f"g{self.gateway}", conn=talk.number)
        )
        if talk is self.talk:
            self.talk = None

    def _tell(self, talk: HttpClientProtocol | None) -> None:
        wanted, self.wanted = self.wanted, None
        if wanted is not None:
            wanted(talk)


class Ask:
    """One request on its way, with what the auditor is told of it if it is a job."""

    def __init__(
        self, line: Line, method: str, path: str, product: Product | None, trace: str, then: Then
    ) -> None:
        self.line = line
        self.method = method
        self.path = path
        self.product = product
        self.trace = trace
        self.then = then
        self.talk: HttpClientProtocol | None = None
        self.sent = 0
        self.id = 0
        self.conn = 0
        self.timer: Timer | None = None
        self.over = False


class Person:
    """One client. `known`: digest of its last acknowledged save; `maybe`: those whose end it never heard."""

    def __init__(self, people: People, number: int, kind: str, gateway: int, volume: Volume) -> None:
        self.people = people
        self.number = number
        self.kind = kind
        self.gateway = gateway
        self.volume = volume
        self.chance = random.Random(f"{people.day.seed} person {number}")
        self.lines = [Line(people, gateway) for _ in range(2)]
        self.own = f"/v{volume.number}/own-{number}"
        self.count = 0
        self.known = ""
        self.maybe: set[str] = set()
        self.token = ""
        self.size = 0
        self.pause: Timer | None = None

    def start(self) -> None:
        self._later(self.chance.random() * self.people.think)

    def _later(self, wait: float = -1.0) -> None:
        network = self.people.network
        if self.people.ending:
            self.people.left += 1
            return
        pause = self.chance.expovariate(1 / self.people.think) if wait < 0 else wait
        self.pause = network.callLater(pause, self._act)

    def go_home(self) -> None:
        """The day is over; who pauses goes at once, who waits for an answer after it."""
        if self.pause is not None and self.pause.active():
            self.pause.cancel()
            self.people.left += 1

    def _act(self) -> None:
        self.people.counts[f"{self.kind}s acted"] += 1
        {
            "reader": self._read_shared,
            "saver": self._save,
            "browser": self._browse,
            "locker": self._lock,
            "resender": self._resend,
            "leaver": self._leave,
        }[self.kind]()

    # --- one after the other ---

    def _read_shared(self) -> None:
        path, digest, size = self.chance.choice(self.people.shared[self.gateway, self.volume.number])
        ranged = self.chance.random() < 0.2
        headers = {"Range": "bytes=0-1023"} if ranged else {}

        def then(answer: HttpResponse | None) -> None:
            if answer is not None and answer.complete:
                if answer.status == 200 and (answer.digest, answer.size) != (digest, size):
                    self._fault(f"{path} was read with other bytes")
                elif answer.status == 206 and (not ranged or answer.size != 1024):
                    self._fault(f"{path} was read with another range")
                elif answer.status not in (200, 206, 503, 504, 429):
                    self._fault(f"GET of {path} was answered {answer.status}")
            self._later(self._wait(answer))

        self.ask("GET", path, then, headers, size=size)

    def _save(self) -> None:
        if self.count % 3 == 2:
            self._read_back(self._later)
            return
        self.save(self.lines[0], {}, lambda answer: self._later(self._wait(answer)))

    def save(self, line: Line, headers: Mapping[str, str], then: Then) -> str:
        """Saves something new; returns its digest."""
        self.count += 1
        size = self.chance.choice((200, 3_000, 40_000, 120_000))
        body = self.chance.randbytes(size)
        digest = hashlib.sha256(body).hexdigest()
        self.maybe.add(digest)

        def heard(answer: HttpResponse | None) -> None:
            self.heard_of_save(digest, size, answer)
            then(answer)

        self.ask("PUT", self.own, heard, headers, body, line, size)
        return digest

    def heard_of_save(self, digest: str, size: int, answer: HttpResponse | None) -> None:
        status = answer.status if answer is not None else 0
        if status in (201, 204):
            self.known, self.size, self.maybe = digest, size, set()
        elif status in (503, 429, 423, 412):
            self.maybe.discard(digest)  # it was told that it did not run
        elif status not in (0, 504):
            self._fault(f"PUT of {self.own} was answered {status}")

    def _read_back(self, then: Callable[[], None]) -> None:
        def heard(answer: HttpResponse | None) -> None:
            if answer is not None and answer.complete:
                if answer.status == 404 and self.known:
                    self._fault(f"{self.own} was saved and is gone")
                elif answer.status == 200:
                    if answer.digest not in {self.known or EMPTY, *self.maybe}:
                        self._fault(f"{self.own} holds what was not saved last")
                    self.known, self.maybe = answer.digest, self.maybe - {answer.digest}
                elif answer.status not in (404, 503, 504, 429):
                    self._fault(f"GET of {self.own} was answered {answer.status}")
            self.count += bool(answer is not None and answer.status in (200, 404))
            then()

        self.ask("GET", self.own, heard, size=self.size or 1)

    def _browse(self) -> None:
        path = f"/v{self.volume.number}/"

        def then(answer: HttpResponse | None) -> None:
            if answer is not None and answer.complete and answer.status == 207:
                where = self.gateway, self.volume.number
                names = {shared.encode() for shared, _, _ in self.people.shared[where]}
                if answer.size < 1 << 16 and not all(name in answer.body for name in names):
                    self._fault(f"a listing of {path} lacks a member")
            elif answer is not None and answer.complete and answer.status not in (429, 503):
                self._fault(f"PROPFIND of {path} was answered {answer.status}")
            self._later()

        self.ask("PROPFIND", path, then, {"Depth": "1"})

    def _lock(self) -> None:
        """Locks its file, is kept off without the token, saves with it, unlocks."""

        def locked(answer: HttpResponse | None) -> None:
            if answer is None or not answer.complete or answer.status not in (200, 201):
                if answer is not None and answer.complete and answer.status not in (423, 429, 503):
                    self._fault(f"LOCK of {self.own} was answered {answer.status}")
                self._later(self._wait(answer))
                return
            self.token = answer.headers["lock-token"]
            self.save(self.lines[0], {}, kept_off)

        def kept_off(answer: HttpResponse | None) -> None:
            if answer is not None and answer.complete and answer.status in (201, 204):
                self._fault(f"{self.own} was saved past its lock")
            self.save(self.lines[0], {"If": f"({self.token})"}, saved)

        def saved(answer: HttpResponse | None) -> None:
            if answer is not None and answer.complete and answer.status in (412, 423):
                self._fault(f"the holder of the lock of {self.own} was answered {answer.status}")
            self._unlock(20)

        self.ask("LOCK", self.own, locked, {"Timeout": "Second-5"}, LOCK)

    def _unlock(self, tries: int) -> None:
        def then(answer: HttpResponse | None) -> None:
            if answer is None or answer.status in (429, 503):
                if tries:
                    self.people.network.callLater(AGAIN, self._unlock, tries - 1)
                    return
            elif answer.complete and answer.status not in (204, 409):
                self._fault(f"UNLOCK of {self.own} was answered {answer.status}")
            self._read_back(self._later)

        self.ask("UNLOCK", self.own, then, {"Lock-Token": self.token})

    def _resend(self) -> None:
        """The same save twice, 10 ms apart on two connections, under one mark: one effect, one answer."""
        mark = f"{self.number}-{self.count}"
        got: list[HttpResponse | None] = []
        body = self.chance.randbytes(20_000)
        digest = hashlib.sha256(body).hexdigest()
        self.count += 1
        self.maybe.add(digest)

        def heard(answer: HttpResponse | None) -> None:
            got.append(answer)
            if len(got) < 2:
                return
            told = [each.status for each in got if each is not None and each.complete]
            well = [each for each in got if each is not None and each.status in (201, 204)]
            if well:
                self.heard_of_save(digest, 20_000, well[0])
            elif told and len(told) == 2 and set(told) <= {503, 429}:
                self.heard_of_save(digest, 20_000, got[0])
            self._read_back(self._later)

        trace = self.people.next_trace()
        headers = {"Idempotency-Key": mark}
        self.ask("PUT", self.own, heard, headers, body, self.lines[0], 20_000, trace)
        self.people.network.callLater(
            0.01, lambda: self.ask("PUT", self.own, heard, headers, body, self.lines[1], 20_000, f"{trace}.1")
        )

    def _leave(self) -> None:
        """Asks and goes away before the answer; comes back and looks."""
        if self.chance.random() < 0.5:
            self.save(self.lines[0], {}, lambda answer: self._back())
        else:
            path, _, size = self.chance.choice(self.people.shared[self.gateway, self.volume.number])
            self.ask("GET", path, lambda answer: self._back(), size=size)
        self.people.network.callLater(self.chance.random() * 0.05, self._gone)

    def _gone(self) -> None:
        this = self.people.gone(self.lines[0])
        if this is not None and this.talk is not None:
            this.talk.cancel()
            this.then(None)

    def _back(self) -> None:
        self.people.network.callLater(0.5, self._read_back, self._later)

    # --- asking ---

    def ask(
        self,
        method: str,
        path: str,
        then: Then,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        line: Line | None = None,
        size: int = 0,
        trace: str = "",
    ) -> None:
        people = self.people
        product = None
        if method == "PUT":
            product = save(people.day)
        elif method == "GET":
            product = small_read(people.day) if size <= UNIT else large_read(people.day)
        this = Ask(line or self.lines[0], method, path, product, trace or people.next_trace(), then)
        people.send(this, self.volume, headers or {}, body, size)

    def _wait(self, answer: HttpResponse | None) -> float:
        if answer is None:
            return AGAIN
        if answer.status in (503, 429):
            return float(answer.headers.get("retry-after", 1)) * self.chance.uniform(0.5, 1.0)
        return -1.0

    def _fault(self, text: str) -> None:
        self.people.fault(f"{self.kind} {self.number} at g{self.gateway}: {text}")


class People:
    """All clients of a run. `addresses` gives each gateway's door, None while it is down."""

    def __init__(
        self,
        network: Network,
        day: Day,
        addresses: Mapping[int, Callable[[], tuple[str, int] | None]],
        record: r.Recorder,
        count: int,
    ) -> None:
        self.network = network
        self.day = day
        self.addresses = addresses
        self.record = record
        self.count = count
        self.think = THINK * max(1.0, count / CROWD)
        self.counts: Counter[str] = Counter()
        self.outcomes = Outcomes()
        self.faults: list[str] = []
        self.conns = 0
        self.traces = 0
        self.shared: defaultdict[tuple[int, int], list[tuple[str, str, int]]] = defaultdict(list)
        self.persons: list[Person] = []
        self.seeding = 0
        self.ending = False
        self.left = 0
        self.out: dict[Line, Ask] = {}
        self.done = False
        self.finished: Callable[[], None] = lambda: None
        self.everybody_comes: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Puts the shared files where they belong; then everybody comes."""
        for volume in volumes(self.day):
            for gateway in volume.hosts:
                self.seeding += 1
                _Seeder(self, gateway, volume).next()

    def seeded(self) -> None:
        self.seeding -= 1
        if self.seeding:
            return
        at = {gateway: [v for v in volumes(self.day) if gateway in v.hosts] for gateway in self.addresses}
        chance = random.Random(f"{self.day.seed} people")
        for number in range(self.count):
            gateway = number % len(self.addresses)
            kind = chance.choices(KINDS, SHARES)[0]
            self.persons.append(Person(self, number, kind, gateway, chance.choice(at[gateway])))
        self.everybody_comes()
        for person in self.persons:
            person.start()
        self.network.callLater(self.day.length_s, self._end)

    def _end(self) -> None:
        self.ending = True
        for person in self.persons:
            person.go_home()
        self._look()

    def stop(self) -> None:
        """Everybody hangs up."""
        for person in self.persons:
            for line in person.lines:
                if line.talk is not None and not line.talk.lost:
                    line.talk.transport.loseConnection()

    def _look(self) -> None:
        """Done once everybody has its last answer."""
        if self.left >= len(self.persons):
            self.done = True
            self.finished()
        else:
            self.network.callLater(0.1, self._look)

    def next_trace(self) -> str:
        self.traces += 1
        return f"p{self.traces}"

    def fault(self, text: str) -> None:
        self.faults.append(f"at {now_ns(self.network) / SECOND:.3f} s: {text}")

    def send(
        self,
        this: Ask,
        volume: Volume,
        headers: Mapping[str, str],
        body: bytes,
        size: int,
    ) -> None:
        then = this.then

        def up(talk: HttpClientProtocol | None) -> None:
            if talk is None or talk.on_response is not None:
                self.counts["no connection"] += 1
                self.network.callLater(AGAIN, then, None)
                return
            this.talk = talk
            self._asked(this, talk, volume, size)
            wait = this.product.timeout_ms / 1000 if this.product else 5.0
            this.timer = self.network.callLater(wait, given_up)
            told = {"X-Request-Id": this.trace, **headers}
            talk.request(this.method, this.path, told, body, heard)

        def heard(answer: HttpResponse | None) -> None:
            if not this.over:
                self._heard(this, volume, size, answer)
                then(answer if answer is not None and answer.complete else None)

        def given_up() -> None:
            this.timer = None
            talk = this.talk
            if not this.over and talk is not None:
                self.counts[f"{this.method} without an answer in time"] += 1
                if this.product is None:
                    self.fault(f"{this.method} of {this.path} had no answer in 5 s")
                this.over = True
                self.out.pop(this.line, None)
                talk.cancel()
                then(None)

        this.line.get(up)

    def _asked(self, this: Ask, talk: HttpClientProtocol, volume: Volume, size: int) -> None:
        line = this.line
        talk.request_count += 1
        this.sent, this.id, this.conn = now_ns(self.network), talk.request_count, talk.number
        self.out[line] = this
        self.outcomes.tries += 1
        if this.product is None:
            return
        plan = self.day.plans[volume.plan]
        worth = self._worth(this, volume, size)
        self.outcomes.due += worth
        self.record(
            r.RequestSent(
                t=this.sent,
                gateway=f"g{line.gateway}",
                conn=this.conn,
                id=this.id,
                trace=this.trace,
                request_class=this.product.name,
                tenant=plan.name,
                volume=volume_number((f"v{volume.number}",)),
                key=0,
                units=units_for(size, UNIT, self.day.most_units),
                timeout=round(this.product.timeout_ms * MS),
                retry="." in this.trace,
            )
        )

    def _worth(self, this: Ask, volume: Volume, size: int) -> float:
        assert this.product is not None
        units = units_for(size, UNIT, self.day.most_units)
        return this.product.payoff * self.day.plans[volume.plan].worth * units / self.day.mean_units

    def _heard(self, this: Ask, volume: Volume, size: int, answer: HttpResponse | None) -> None:
        this.over = True
        stop(this.timer)
        self.out.pop(this.line, None)
        now = now_ns(self.network)
        if answer is None:
            self._ended(this, "connection lost")
            return
        how = {503: "denied", 429: "denied", 504: "written_off"}.get(answer.status, "refused")
        if answer.status < 400:
            how = "fulfilled" if answer.complete else "written_off"
        if this.product is not None:
            self.record(
                r.ResponseReceived(
                    t=now,
                    gateway=f"g{this.line.gateway}",
                    conn=this.conn,
                    id=this.id,
                    trace=this.trace,
                    outcome=how,
                )
            )
            if how == "fulfilled":
                took = now - this.sent
                self.outcomes.latency.record_value(max(1, took // 1000))
                in_time = took <= this.product.promised_ms * MS
                self.outcomes.in_time += in_time
                self.outcomes.late += not in_time
                self.outcomes.earned += in_time * self._worth(this, volume, size)
        self._ended(this, f"{answer.status}" if answer.complete else f"{answer.status} cut")

    def _ended(self, this: Ask, how: str) -> None:
        self.outcomes.endings[how] += 1
        self.counts[f"{this.method} {how}"] += 1

    def gone(self, line: Line) -> Ask | None:
        """A person leaves before its answer; the request that was out."""
        this = self.out.pop(line, None)
        if this is None:
            return None
        this.over = True
        stop(this.timer)
        self._ended(this, "left")
        if this.product is not None:
            now = now_ns(self.network)
            self.record(
                r.CancelSent(t=now, gateway=f"g{line.gateway}", conn=this.conn, id=this.id, trace=this.trace)
            )
        return this


class _Seeder:
    """Makes a volume's folder and shared files at one gateway, as often as it must try."""

    def __init__(self, people: People, gateway: int, volume: Volume) -> None:
        self.people = people
        self.person = Person(people, -1 - volume.number * 1000 - gateway, "seeder", gateway, volume)
        chance = random.Random(f"{people.day.seed} shared {gateway} {volume.number}")
        self.waiting = [
            (f"/v{volume.number}/{name}-{i}", chance.randbytes(size))
            for i in range(SHARED)
            for name, size in (("page", SMALL), ("recording", LARGE))
        ]
        self.made = False

    def next(self) -> None:
        if not self.made:
            self.person.ask("MKCOL", f"/v{self.person.volume.number}", self._made)
        elif self.waiting:
            path, body = self.waiting[-1]
            self.person.ask("PUT", path, self._put, {}, body, size=len(body))
        else:
            self.people.seeded()

    def _made(self, answer: HttpResponse | None) -> None:
        self.made = answer is not None and answer.status in (201, 405)
        self._go_on(self.made)

    def _put(self, answer: HttpResponse | None) -> None:
        well = answer is not None and answer.status in (201, 204)
        if well:
            path, body = self.waiting.pop()
            digest = hashlib.sha256(body).hexdigest()
            where = self.person.gateway, self.person.volume.number
            self.people.shared[where].append((path, digest, len(body)))
        self._go_on(well)

    def _go_on(self, well: bool) -> None:
        self.people.network.callLater(0 if well else AGAIN, self.next)


def overlapping(records: Iterable[r.Record]) -> list[str]:
    """Requests of which two legs were out at once, whichever jobs these belonged to, in words.

    A resend has the trace of its first try, with a point and a number behind.
    """
    began: dict[tuple[int, int, int], r.AttemptReceived] = {}
    ended: dict[tuple[int, int, int], int] = {}
    downs: defaultdict[int, list[int]] = defaultdict(list)
    for record in records:
        if isinstance(record, r.AttemptReceived):
            began[record.node, record.conn, record.id] = record
        elif isinstance(record, r.AttemptEnded | r.AttemptCancelled):
            # A leg's cancel and the next leg take different ways; an end is known before the next is sent.
            end = record.t - (TRAVEL if isinstance(record, r.AttemptCancelled) else 0)
            key = record.node, record.conn, record.id
            ended[key] = min(end, ended.get(key, end))
        elif isinstance(record, r.NodeStopped):
            downs[record.node].append(record.t)
    spans: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    for key, came in began.items():
        end = ended.get(key, min([t for t in downs[came.node] if t >= came.t], default=came.t))
        spans[came.trace.partition(".")[0]].append((came.t, end))
    told = []
    for trace, mine in spans.items():
        mine.sort()
        for (_, end), (start, _) in pairwise(mine):
            if start < end:
                told.append(f"request {trace} had two legs out at once, {start / SECOND:.3f} s")
    return told
