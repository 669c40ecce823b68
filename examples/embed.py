"""Ten lines that embed the library: a gateway and its list on a virtual clock, one job and its end.

The nodes and the list server are stand-ins of this project; for real ones hand in a reactor of Twisted.
"""

from ochrecourse import library
from ochrecourse.audit.records import nowhere
from ochrecourse.lab.alike import Client, record_of
from ochrecourse.lab.days import quiet
from ochrecourse.lab.play import make_fleet

network = library.VirtualNetwork(seed=1)
fleet = make_fleet(quiet(), network, nowhere)
values = library.plain_map(record_of(quiet(), fleet.list_address()))
where = ("127.0.0.1", int(fleet.list_address().rpartition(":")[2]))


# The ten lines.
class Printer:
    def job_over(self, gateway: library.Gateway, story: library.JobStory) -> None:
        print(f"job {story.trace}: {story.closing.value}, legs {len(story.legs)}")


gateway = library.Gateway(values, 1, network, library.dialler(network), "mine", observers=[Printer()])
told = lambda news: gateway.list_came(news.kind, news.entries, news.addresses)  # noqa: E731
library.Follower("mine", network, where, told, None, 1).start()
network.advance(0.5)
request = library.Request("page-read", "gold", 1, 10**9, round(network.now * 1e9), shard=0, trace="a")
gateway.take(request, Client(gateway, nowhere, {1: "a"}))
network.advance(1.0)
