"""A program of ten lines that embeds the library: one gateway on a virtual clock, one job and its end.

The nodes and the list server are stand-ins of this project; for real ones hand in a reactor of Twisted.
"""

from ochrecourse import library
from ochrecourse.audit.records import nowhere
from ochrecourse.lab.alike import Client, record_of
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import make_fleet


class Printer:
    def job_over(self, gateway: library.Gateway, story: library.JobStory) -> None:
        print(f"job {story.trace}: {story.closing.value}, legs {len(story.legs)}")


network = library.VirtualNetwork(seed=1)
fleet = make_fleet(quiet(), network, nowhere)
values = library.plain_map(record_of(quiet(), fleet.list_address()))
gateway = library.Gateway(values, 1, network, library.dialler(network), "mine", observers=[Printer()])
where = ("127.0.0.1", int(fleet.list_address().rpartition(":")[2]))
told = lambda news: gateway.list_came(news.kind, news.entries, news.addresses)  # noqa: E731
library.Follower("mine", network, where, told, None, 1).start()
network.advance(0.5)
now = round(network.seconds() * 1e9)
client = Client(gateway, nowhere, {1: "a"})
gateway.take(library.Request("page-read", "gold", 1, 10**9, now, shard=0, trace="a"), client)
network.advance(1.0)
