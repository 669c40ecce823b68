"""A registry's restart at 190 gateways: calls in the fullest tenth of a second, time to a right list, beside a naive client.

    python -m benchmarks.storms

Virtual clock, 40 nodes, three servers. The naive client comes back at once, to the first server, and reads all anew.
"""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor

from benchmarks.notices import PREFIX, value
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.membership.registry_watcher import RegistryWatcher, unix_clock
from ochrecourse.common.time_units import SECOND
from ochrecourse.standins.registry import Endpoint, Store

GATEWAYS = 190
NODES = 40


class Naive(RegistryWatcher):
    """Comes back at once, always to the first server, and reads the whole range anew."""

    def _leave_server(self, reason: str) -> None:
        self._close_connections()
        self.selector.current = 0
        if not self.stopped and self._reconnect_timer is None:
            self.registry.compacted()
            self._reconnect_timer = self.network.callLater(0.01, self._connect)


def one(job: tuple[str, str, int]) -> tuple[str, str, int, int, float]:
    """Calls in the fullest 100 ms after the event, all calls of ten seconds, and the p99 of the time to a right list."""
    event, kind, seed = job
    network, store = VirtualNetwork(seed), Store()
    for node in range(NODES):
        store.put(PREFIX + b"%d" % node, value(node, "ready"))
    ends = [Endpoint(network, store, i) for i in range(3)]
    right: dict[int, float] = {}
    gateways = []
    servers = [("127.0.0.1", end.port) for end in ends]
    make = Naive if kind == "naive" else RegistryWatcher
    for i in range(GATEWAYS):

        def told(news: object, i: int = i) -> None:
            if len(gateways[i].endpoint_list.entries) == NODES - 10:
                right.setdefault(i, network.seconds())

        context = WatcherContext(f"g{i}", network, told, None, seed * 1000 + i)
        gateways.append(make(context, servers, PREFIX, unix_clock(network, 0)))
    for gateway in gateways:
        gateway.start()
    network.advance(4)
    for end in ends:
        end.calls.clear()
    away = {"registry restarts": 3.0, "gateways cut off for a minute": 60.0, "ten nodes leave at once": 0.0}[
        event
    ]
    if away:
        for end in ends:
            end.stop()
        network.advance(away)
    for node in range(10):
        store.put(PREFIX + b"%d" % node, None)
    began = network.seconds()
    if away:
        for end in ends:
            end.start()
    network.advance(10)
    calls = sorted(at / SECOND for end in ends for at, path in end.calls if at / SECOND >= began)
    fullest, first = 0, 0
    for last, at in enumerate(calls):
        while calls[first] < at - 0.1:
            first += 1
        fullest = max(fullest, last - first + 1)
    spent = sorted(right.get(i, began + 10) - began for i in range(GATEWAYS))
    return event, kind, fullest, len(calls), spent[int(GATEWAYS * 0.99)]


def main() -> None:
    events = ("ten nodes leave at once", "registry restarts", "gateways cut off for a minute")
    jobs = [(event, kind, seed) for event in events for kind in ("ours", "naive") for seed in (1, 2, 3)]
    with ProcessPoolExecutor(max_workers=6) as pool:
        got = list(pool.map(one, jobs))
    for event in events:
        for kind in ("ours", "naive"):
            mine = [each for each in got if each[:2] == (event, kind)]
            fullest, calls, spent = (statistics.median(each[i] for each in mine) for i in (2, 3, 4))
            print(
                f"{event:30} {kind:6} fullest 100 ms: {fullest:.0f} calls; {calls / 10:.0f} calls a second over 10 s; p99 to a right list {spent:.2f} s"
            )


if __name__ == "__main__":
    main()
