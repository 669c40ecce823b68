"""What nodes get in the seconds after a site closes, all its edges at once: reads shared as they ship, beside reads
that share nothing while it can't be told which of two is the later one.

    python -m benchmarks.rush --edges 48 --seeds 3

All on the virtual network, the daemon as it ships, the whole fleet one site. Most reads are of few objects, so before
the close copies answer them; then each edge asks anew.
"""

from __future__ import annotations

import datetime as dt
import statistics
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click
import msgspec

from ochrecourse.audit import records as r
from ochrecourse.settings import site_calendars
from ochrecourse.fleet.object_cache import PurgeableObjectCache
from ochrecourse.lab.day import Day
from ochrecourse.lab.fleet_instance import FleetSeat
from ochrecourse.lab.fleet_play import FLEET_PORT, FleetPlay
from ochrecourse.lab.fleet_world import World, day_of
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import MS, SECOND

CLOSE = 12.0  # s; copies are warm by then
LENGTH = 24.0
BIN = SECOND // 4  # ns
BEFORE, AFTER = 4.0, 4.0  # s around the close that are compared
SITE = {
    "name": "school", "edition": 1, "zone": "UTC", "country": "", "region": "", "holidays": [],
    "rules": [{"name": "close", "all": True, "at": "00:00", "weekdays": [], "holidays": "usual", "exceptions": []}],
}  # fmt: skip


def reading(world: World) -> Day:
    """Nearly all jobs are reads, of few objects."""
    day = day_of(world)
    shares = {"page-read": 0.96, "note-save": 0.02, "ledger-post": 0.02}
    products = [msgspec.structs.replace(each, share=shares[each.name]) for each in day.products]
    return msgspec.structs.replace(
        day, products=products, dated=True, volumes_a_node=1.0, runs=4.0, keys=4, most_units=2
    )


class RushSeat(FleetSeat):
    def settings(self) -> dict[str, Any]:
        record = super().settings()
        names = [f"g{index}" for index in range(self.play.world.gateways)]
        record["sites"] = [{"name": "school", "edges": names, "zone": "UTC", "rules": SITE["rules"]}]
        # The peers come later, as in all plays; sites are looked at with them.
        record["fleet"]["peers"] = self.play.peers_of(self.index)
        return record


class Alone(PurgeableObjectCache):
    """As it was: while no copy may be used each read is a leg of its own."""

    def _read_barred(self, key: Any, read: Any) -> Any:
        self.counts.bypassed += 1
        return read.handler


class RushPlay(FleetPlay):
    seat_kind = RushSeat
    day_of = staticmethod(reading)

    def fleet_record(self, index: int) -> dict[str, Any]:
        return {
            "name": "play", "listen": f"127.0.0.1:{FLEET_PORT + index}", "peers": [], "beat": self.world.beat_ms,
            "quiet": self.world.quiet_ms, "copies": {"products": ["page-read"]}, "purges": {"notice": 3000.0},
        }  # fmt: skip


def one(task: tuple[int, int, float, bool]) -> dict[str, float]:
    """A close's figures."""
    edges, seed, jobs, shared = task
    world = World(
        seed=seed, gateways=edges, nodes=max(6, edges // 4), jobs=jobs, load=1.3, length_s=LENGTH, notes=False
    )
    play = RushPlay(world)
    closes: list[int] = []

    def say() -> None:
        part = play.seats[0].part()
        at = dt.datetime.fromtimestamp(part.wall_ms() // 1000 + CLOSE - 1, dt.UTC)
        rule = {**SITE["rules"][0], "exceptions": [{"date": f"{at:%Y-%m-%d}", "at": f"{at:%H:%M:%S}"}]}
        body = site_calendars.edition({**SITE, "rules": [rule]}, 5, at.date(), 60)
        closes.append(now_ns(play.network) + (body["instants"][0][2] - part.wall_ms()) * MS)
        part.append("calendar/school", body)

    for seat in play.seats:
        seat.start()
        if not shared:
            seat.daemon.gateway.object_cache.__class__ = Alone
        seat.start = lambda: None  # type: ignore[method-assign]
    play.network.callLater(2.0, say)
    play.run()
    legs: Counter[int] = Counter()
    by_node: Counter[tuple[int, int]] = Counter()
    ended: Counter[tuple[str, bool]] = Counter()
    (close,) = closes
    for each in play.records:
        if isinstance(each, r.AttemptReceived):
            legs[(each.t - close) // BIN] += 1
            by_node[each.node, (each.t - close) // BIN] += 1
        elif isinstance(each, r.ResponseReceived) and -BEFORE <= (each.t - close) / SECOND < AFTER:
            ended[each.outcome, each.t >= close] += 1
    before = [legs[n] for n in range(-round(BEFORE * 4), -4)]
    after = [legs[n] for n in range(-4, round(AFTER * 4))]
    gateways = [seat.daemon.gateway for seat in play.seats]
    counts = [gateway.object_cache.counts for gateway in gateways]
    told = {
        "legs a second before": 4 * statistics.mean(before),
        "legs in the busiest quarter of a second, as a second": 4.0 * max(after),
        "legs from 1 s before to 4 s after": float(sum(after)),
        "most at one node in a quarter": float(max(n for (_, at), n in by_node.items() if -4 <= at < 16)),
        "denied in the 4 s after": float(ended["denied", True]),
        "written off in the 4 s after": float(ended["written_off", True] + ended["written off", True]),
        "fulfilled in the 4 s after": float(ended["fulfilled", True]),
        "fulfilled in the 4 s before": float(ended["fulfilled", False]),
        "reads from copies": float(sum(each.hits for each in counts)),
        "reads joined": float(sum(each.joined for each in counts)),
        "reads that asked while not sure": float(sum(each.bypassed for each in counts)),
        "copies dropped": float(sum(each.purged for each in counts)),
    }
    return told


@click.command()
@click.option("--edges", default=48)
@click.option("--seeds", default=3)
@click.option("--jobs", default=960.0, help="A second, of all clients together.")
@click.option("--workers", default=2)
def main(edges: int, seeds: int, jobs: float, workers: int) -> None:
    tasks = [(edges, seed, jobs, shared) for seed in range(1, seeds + 1) for shared in (False, True)]
    with ProcessPoolExecutor(workers) as pool:
        done = list(pool.map(one, tasks))
    click.echo(f"{edges} edges of one site, {jobs:g} jobs a second, {seeds} seeds: median (least to most)")
    click.echo(f"{'':54} {'each for itself':>24} {'shared':>24}")
    for name in done[0]:
        row = []
        for form in (0, 1):
            values = [each[name] for each in done[form::2]]
            row.append(f"{statistics.median(values):.0f} ({min(values):.0f} to {max(values):.0f})")
        click.echo(f"{name:54} {row[0]:>24} {row[1]:>24}")


if __name__ == "__main__":
    main()
