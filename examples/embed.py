"""Embeds the library in ten lines: a gateway and its endpoint list on a virtual clock, and one request.

The storage nodes and the list server are emulators of this project; for real ones, pass a Twisted reactor.
"""

from ochrecourse import library
from ochrecourse.audit.records import discard
from ochrecourse.lab.alike import Client, record_of
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import make_fleet

network = library.VirtualNetwork(seed=1)
fleet = make_fleet(quiet(), network, discard)
values = library.plain_map(record_of(quiet(), fleet.list_address()))
where = ("127.0.0.1", int(fleet.list_address().rpartition(":")[2]))


# The ten lines.
class Printer:
    def request_finished(self, gateway: library.Gateway, record: library.RequestRecord) -> None:
        print(f"job {record.trace}: {record.outcome.value}, legs {len(record.attempts)}")


gateway = library.Gateway(values, 1, network, library.dialler(network), "mine", observers=[Printer()])
listed = lambda update: gateway.endpoint_list_received(update.kind, update.entries, update.addresses)  # noqa: E731
context = library.WatcherContext("mine", network, listed, None, 1)
library.ListServerWatcher(context, where).start()
network.advance(0.5)
request = library.Request("page-read", "gold", 1, 10**9, round(network.now * 1e9), shard=0, trace="a")
gateway.submit(request, Client(gateway, discard, {1: "a"}))
network.advance(1.0)
