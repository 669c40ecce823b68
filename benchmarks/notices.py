"""Time from a drain's notice at the registry to the gateway that hears of it, by what breaks round the notice.

    python -m benchmarks.notices [SEEDS]

Virtual clock; each seed breaks at another moment, before, at or after the notice. Three servers of one registry.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from ochrecourse.interface import Health
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.registry_watcher import RegistryWatcher, unix_clock
from ochrecourse.membership.endpoint_list import EndpointListUpdate
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.common.runtime import now_ns
from ochrecourse.common.time_units import SECOND
from ochrecourse.standins.registry import Endpoint, Store

PREFIX = b"/n/"
LATEST = 60.0  # s after which a notice counts as missed


def value(node: int, health: str) -> bytes:
    return json.dumps(
        {"node": node, "address": f"10.0.0.{node}:7000", "shard": node, "health": health}
    ).encode()


def compacted(ends: list[Endpoint], at: int) -> None:
    for end in ends:
        end.abort_connections()
    ends[0].store.put(b"/other", b"x")
    ends[0].store.compact()


def cut(ends: list[Endpoint], at: int) -> None:
    for end in ends:
        end.abort_connections()


def restarted(ends: list[Endpoint], at: int) -> None:
    for end in ends:
        end.stop()
        end.network.callLater(0.5, end.start)


BREAKS: dict[str, Callable[[list[Endpoint], int], None]] = {
    "nothing": lambda ends, at: None,
    "connections cut": cut,
    "a server ends": lambda ends, at: ends[at].stop(),
    "a server is silent": lambda ends, at: setattr(ends[at], "silent", True),
    "streams held back": lambda ends, at: setattr(ends[at], "streams_paused", True),
    "a server lies behind": lambda ends, at: ends[at].freeze(),
    "lost to compaction": compacted,
    "all restarted, 0.5 s": restarted,
}


def one(job: tuple[str, int]) -> tuple[str, float]:
    """Seconds from the notice until the gateway heard of it."""
    name, seed = job
    chance, network, store = random.Random(seed), VirtualNetwork(seed), Store()
    for node in range(40):
        store.put(PREFIX + b"%d" % node, value(node, "ready"))
    ends = [Endpoint(network, store, i) for i in range(3)]
    heard: list[float] = []

    def told(news: EndpointListUpdate) -> None:
        if any(each.node == 2 and each.health is Health.DRAINING for each in news.entries):
            heard.append(network.seconds())

    servers = [("127.0.0.1", end.port) for end in ends]
    context = WatcherContext("g0", network, told, None, seed)
    gateway = RegistryWatcher(context, servers, PREFIX, unix_clock(network, 0))
    gateway.start()
    network.advance(3 + chance.random())
    noticed = network.seconds() + 0.5
    network.callLater(0.5, store.put, PREFIX + b"2", value(2, "draining"))
    network.callLater(chance.random(), lambda: BREAKS[name](ends, gateway.selector.current))
    network.advance(0.6)
    while not heard and network.seconds() < noticed + LATEST:
        network.advance(0.5)
    assert now_ns(network) > 3 * SECOND
    return name, (heard[0] - noticed) if heard else LATEST


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 125
    with ProcessPoolExecutor(max_workers=7) as pool:
        got = list(
            pool.map(one, [(name, seed) for name in BREAKS for seed in range(1, seeds + 1)], chunksize=8)
        )
    for name in BREAKS:
        mine = sorted(spent for which, spent in got if which == name)
        late = sum(each > 2 for each in mine)
        print(
            f"{name:22} {len(mine)} seeds: median {statistics.median(mine):.2f} s, p99 {mine[int(len(mine) * 0.99)]:.2f} s, longest {mine[-1]:.2f} s; {late} beyond 2 s"
        )


if __name__ == "__main__":
    main()
