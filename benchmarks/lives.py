"""What lives that have ended cost the log of a fleet: append, merge and a beat, by how many there were.

    python -m benchmarks.lives --lives 0,100,1000,10000
    python -m benchmarks.lives --restarts 10000

Three gateways in one process, of which `b` has restarted so many times and written one event in each life; `a`
appends, `c` merges over a link of its own. First as the restarts leave it, then with those lives retired. With
`--restarts` each restart is played: admitted, read, compacted a minute, retired as the fleet does by itself.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

import click

from ochrecourse.storage.journal import MemoryJournal
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.exchange import Exchange
from ochrecourse.fleet.frontier import FLEET_CHANNEL, STATUS_KEY, Frontier
from ochrecourse.fleet.log_store import LogStore
from ochrecourse.fleet.log import LogLimits
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.fleet.membership_view import Admit, Admitted
from ochrecourse.common.time_units import MS, SECOND

NAMES = ("a", "b", "c")
WALL = 1_790_000_000_000  # ms since 1970 at the beginning; any time will do
QUIET, LET_GO = 2 * SECOND, 600 * SECOND
MINUTE = 60_000
TURNS = 50  # of what is measured; medians


class Seat:
    """One gateway without sockets."""

    def __init__(self, name: str, wall_ms: int, journal: MemoryJournal | None = None) -> None:
        self.name = name
        self.journal = journal or MemoryJournal()
        self.kept = LogStore(self.journal, name, LogLimits(), wall_ms, 1)
        self.log = self.kept.log
        self.members = Members(name, self.log.incarnation, 0, QUIET, LET_GO, NAMES, wall_ms * MS)
        self.frontier = Frontier(self.log, NAMES)

    def beat(self, wall_ms: int) -> None:
        now = wall_ms * MS
        self.kept.maintain(1 << 20)
        fields = self.frontier.heartbeat_fields(self.kept.promise(wall_ms))
        self.members.next_heartbeat(now, statuses={STATUS_KEY: self.frontier.status()}, **fields)
        if self.frontier.has_ended:
            self.members.begin_incarnation(
                self.kept.begin_incarnation(wall_ms, 1, self.members.highest_incarnation)
            )
        for _ in range(5):
            wanted = self.frontier.next_event(self.members.reachable(now), self.members.departed(now))
            if wanted is None:
                return
            self.kept.append(FLEET_CHANNEL, wanted, wall_ms, must=True)

    def tell(self, other: Seat, wall_ms: int) -> None:
        for row in list(self.members.heartbeats.values()):
            if row.number and other.members.receive(row, wall_ms * MS):
                other.frontier.receive(row)
        for piece in self.log.snapshots_for(other.log.vector()):
            if other.kept.take_snapshot(piece):
                other.frontier.snapshot_received()
        other.kept.merge(self.log.missing_entries(other.log.vector(), 4096, 1 << 22), wall_ms)

    def compact(self) -> None:
        """As `event_compaction` does for channel `fleet`."""
        upto = Timestamp(self.log.frontier().ms // MINUTE * MINUTE, 0)
        before = self.log.snapshot(FLEET_CHANNEL)
        if (before is None or before.upto < upto) and self.frontier.needs_retirement(upto):
            self.kept.compact(FLEET_CHANNEL, upto, {STATUS_KEY: self.frontier.snapshot_value(upto)})


class Fleet:
    def __init__(self) -> None:
        self.wall = WALL
        self.seats = {name: Seat(name, self.wall) for name in NAMES}

    def round(self, span_ms: int = 250) -> None:
        self.wall += span_ms
        for seat in self.seats.values():
            seat.beat(self.wall)
        for one in self.seats.values():
            for other in self.seats.values():
                if one is not other:
                    one.tell(other, self.wall)

    def restarted(self, lives: int) -> None:
        """Puts the events of so many lives of `b` into all logs, as restarts would have left them."""
        for _ in range(4):
            self.round()
        a, b = self.seats["a"], self.seats["b"]
        last = b.log.incarnation
        for _ in range(lives):
            self.wall += 1
            at = Timestamp(self.wall, 0)
            life = max(last + 1, self.wall << 16)
            body = b'{"what":"note"}'
            chain = a.log.chains.get(("b", last))
            before = [(last, chain.last)] if chain else []
            a.kept.append(FLEET_CHANNEL, Admit([Admitted("b", life, None, before)]).value(), self.wall)
            a.kept.merge(
                [Entry(FLEET_CHANNEL, "b", life, 1, Timestamp(at.ms + 1, 0), (), body)], self.wall + 1
            )
            self.wall += 1
            last = life
        self.wall += 2
        self.seats["b"] = Seat("b", self.wall, b.journal)
        for _ in range(8):
            self.round()

    def retire(self) -> int:
        """Beats until the lives are retired everywhere; -1 if they are not."""
        for beat in range(40):
            if max(len(seat.log.chains) for seat in self.seats.values()) <= 12:
                return beat
            self.round(10_000)
            for seat in self.seats.values():
                seat.compact()
        return -1


class Linked:
    """A link between two of the gateways, without sockets."""

    def __init__(self, fleet: Fleet, one: Seat, other: Seat) -> None:
        self.fleet = fleet
        self.now = fleet.wall * MS
        self.ends = [self._end(one), self._end(other)]
        self.pump()

    def _end(self, seat: Seat) -> Exchange:
        common = ExchangeContext(
            "f", seat.kept, seat.members, SECOND // 4, QUIET, 4096, 3_600_000, lambda hello: "",
            seat.frontier.receive, lambda piece: None, 1 << 25,
        )  # fmt: skip
        return Exchange(common, "", self.now)

    def pump(self) -> None:
        going = True
        while going:
            going = False
            for end, other in (self.ends, self.ends[::-1]):
                while (data := end.next_frame(self.now)) is not None:
                    going = True
                    line, _, body = data.partition(b"\r\n")
                    other.header_received(line, self.now)
                    other.body_received(body, self.now, self.fleet.wall)

    def beat(self) -> None:
        self.now += SECOND // 4
        self.fleet.wall += 250
        for end in self.ends:
            end.beat_passed(self.now)
        self.pump()


def median_ms(act: Callable[[], object], before: Callable[[], object] = lambda: None) -> float:
    spent = []
    for _ in range(TURNS):
        before()
        began = time.perf_counter()
        act()
        spent.append((time.perf_counter() - began) * 1000)
    return statistics.median(spent)


def figures(fleet: Fleet) -> str:
    a, c = fleet.seats["a"], fleet.seats["c"]
    link = Linked(fleet, a, c)
    count = iter(range(1 << 30))

    def append() -> None:
        a.kept.append("x", next(count), fleet.wall)
        link.pump()  # to one peer: found, sent, merged there

    def beat() -> None:
        a.beat(fleet.wall)

    def more() -> None:
        fleet.wall += 250

    first = median_ms(append)
    return (
        f"{len(a.log.chains):6} lives held; append and its merge at one peer {first:8.3f} ms; "
        f"beat {median_ms(beat, more):8.3f} ms; journal {sum(map(len, a.journal.stored)) / 1024:8.0f} KB; "
        f"row {len(a.frontier.status())} bytes"
    )


@click.command()
@click.option("--lives", default="0,100,1000,10000")
@click.option("--restarts", default=0)
def main(lives: str, restarts: int) -> None:
    if restarts:
        play(restarts)
        return
    for count in map(int, lives.split(",")):
        fleet = Fleet()
        fleet.restarted(count)
        click.echo(f"{count:6} ended: {figures(fleet)}")
        if count >= 100:
            click.echo(f"  retired after {fleet.retire()} beats: {figures(fleet)}")


def play(restarts: int) -> None:
    fleet = Fleet()
    for _ in range(4):
        fleet.round()
    began, most = time.process_time(), 0
    for count in range(1, restarts + 1):
        b = fleet.seats["b"]
        b.kept.append(FLEET_CHANNEL, {"what": "note"}, fleet.wall)
        fleet.wall += 1
        fleet.seats["b"] = Seat("b", fleet.wall, b.journal)
        for _ in range(10):  # up for some seconds, as long as it takes to be admitted and to read
            fleet.round()
            for seat in fleet.seats.values():
                seat.compact()
        most = max(most, *(len(seat.log.chains) for seat in fleet.seats.values()))
        if count in (100, 1000) or count == restarts:
            spent = time.process_time() - began
            click.echo(f"{count} restarts, {spent:.1f} s of CPU, at most {most} lives held: {figures(fleet)}")


if __name__ == "__main__":
    main()
