"""All storage nodes of a day and their list server, and the troubles that strike them."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ochrecourse.audit import records as r
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.standins.listserver import ListServer
from ochrecourse.standins.machine import Machine, Marks, Meter, NodeKind, ProductWork, PushOver, Shard
from ochrecourse.standins.node import NodePorts
from ochrecourse.wire import messages as m

FIRST_NODE = 100  # number of the first node; replacements count on after the last


class Node:
    """One node: its port, its machine while its process runs, and its line in the list."""

    def __init__(self, number: int, kind: NodeKind, shard: Shard) -> None:
        self.number = number
        self.kind = kind
        self.shard = shard
        self.machine: Machine | None = None
        self.ports: NodePorts | None = None
        self.listening: Any = None
        self.port = 0


class Fleet:
    """The nodes of a day. `notice` gives the seconds after which the list knows of a change."""

    def __init__(
        self,
        network: Network,
        kinds: Sequence[NodeKind],
        zones: int,
        products: Mapping[str, ProductWork],
        push: PushOver,
        meter: Meter,
        seed: int,
        record: r.Recorder,
        notice: tuple[float, float],
        silent_notice: float,
        spread: float,
        interface: str = "127.0.0.1",
        copies: int = 1,
        names: Sequence[str] = (),
        dated: bool = False,
        layout: Sequence[tuple[int, int]] = (),
    ) -> None:
        """`copies`: nodes that hold a shard, each in a zone of its own; `names` of zones, for their troubles;
        `dated`: answers to reads carry the time at which they were made; `layout`: by node its shard and
        zone, in place of copies.
        """
        self.names = list(names)
        self.dated = dated
        self.deaf: dict[int, Callable[[str], bool]] = {}  # by zone: the gateways that its nodes do not hear
        self.network = network
        self.products = products
        self.push = push
        self.meter = meter
        self.chance = random.Random(f"{seed} fleet")
        self.seed = seed
        self.record = record
        self.notice = notice
        self.silent_notice = silent_notice
        self.interface = interface
        self.list = ListServer(network, seed, spread, record)
        self.nodes: dict[int, Node] = {}
        self.marks_all = Marks()
        self.marks_zone = [Marks() for _ in range(zones)]
        self.next_number = FIRST_NODE
        self.lives = 0
        count = len(kinds) // copies
        shards: dict[int, Shard] = {}  # the first copy of each
        for i, kind in enumerate(kinds):
            copy, number = divmod(i, count) if copies > 1 else (0, i)
            number, zone = layout[i] if layout else (number, (copy + number) % zones)
            first = shards.setdefault(number, Shard(number, zone))
            self._new_node(kind, first if first.zone == zone else first.copy(zone), cold=False)
        for node in self.nodes.values():
            self.list.put(self._line(node, "ready"), 0)
        self.list_port = network.listenTCP(0, self.list, interface=interface)

    def list_address(self) -> str:
        return f"{self.interface}:{self.list_port.getHost().port}"

    def living(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.machine is not None]

    # --- a node's life ---

    def _new_node(self, kind: NodeKind, shard: Shard, cold: bool) -> Node:
        node = Node(self.next_number, kind, shard)
        self.next_number += 1
        self.nodes[node.number] = node
        self.start(node, cold)
        return node

    def start(self, node: Node, cold: bool) -> None:
        """Starts a node's process."""
        self.lives += 1
        marks = {"all": self.marks_all, "zone": self.marks_zone[node.shard.zone], "cell": node.shard.marks}
        node.machine = Machine(
            node.number, node.kind, node.shard, self.network, self.seed * 1000 + self.lives, self.products,
            self.push, self.meter, marks, self.record, cold,
        )  # fmt: skip
        node.machine.dated = self.dated
        node.machine.deaf_to = lambda gateway: self._deaf(node.shard.zone, gateway)
        node.machine.fell = lambda: self.kill(node, fell=True)
        node.ports = NodePorts(node.machine, self.network, self.lives * 1_000_000)
        node.listening = self.network.listenTCP(node.port, node.ports, interface=self.interface)
        node.port = node.listening.getHost().port

    def kill(self, node: Node, fell: bool = False) -> Any:
        """Ends a node's process: its connections break, its port is closed. Returns a Deferred where the port
        is free only later.
        """
        if node.machine is None or node.ports is None:
            return None
        node.machine.end()
        node.machine = None
        self.record(r.NodeStopped(t=now_ns(self.network), node=node.number, overloaded=fell))
        node.ports.cut_all()
        return node.listening.stopListening()

    def _deaf(self, zone: int, gateway: str) -> bool:
        return zone in self.deaf and self.deaf[zone](gateway)

    def tell(self, node: Node, health: str, started: int, after: float | None = None) -> None:
        """The list hears of a node, some time later."""
        line = self._line(node, health)
        wait = self.chance.uniform(*self.notice) if after is None else after
        self.network.callLater(wait, self.list.change, line, started)

    def restart(self, node: Node) -> None:
        """A new process in place of the old one, cold; the list hears of its start before work can come in
        numbers.
        """
        freed = self.kill(node)
        if freed is None:
            self._anew(node)
        else:
            freed.addCallback(lambda _: self._anew(node))

    def _anew(self, node: Node) -> None:
        self.start(node, cold=True)
        self.tell(node, "ready", now_ns(self.network))

    def replace(self, node: Node) -> None:
        """A new machine takes the shard, cold, under a new number."""
        fresh = self._new_node(node.kind, node.shard, cold=True)
        self.tell(fresh, "ready", now_ns(self.network))

    def _line(self, node: Node, health: str) -> m.EndpointEntry:
        return m.EndpointEntry(
            node=node.number,
            address=f"{self.interface}:{node.port}",
            zone=node.shard.zone,
            shard=node.shard.number,
            health=health,
        )

    # --- troubles ---

    def strike(
        self, kind: str, part: float, size: float, extra: float, span: float, which: str
    ) -> Callable[[], None]:
        """Breaks something now; returns what mends it. Kinds that strike clients or gateways do nothing
        here.
        """
        living = self.living()
        count = max(1, round(part * len(living))) if part else 0
        if kind.startswith("zone_"):
            struck = [node for node in living if node.shard.zone == self.names.index(which)]
        else:
            struck = self.chance.sample(living, min(count, len(living)))
        self.record(
            r.FaultChanged(
                t=now_ns(self.network), kind=kind, description=f"nodes {sorted(n.number for n in struck)}"
            )
        )
        how = getattr(self, f"_{kind}", None)
        mend: Callable[[], None] | None = how(struck, size, extra, span, which) if how else None
        return mend or (lambda: None)

    def _set(self, nodes: list[Node], **state: Any) -> Callable[[], None]:
        """Sets a machine's state until mended; a machine that was restarted meanwhile is left alone."""
        machines = [node.machine for node in nodes if node.machine is not None]
        before = [{name: getattr(machine, name) for name in state} for machine in machines]
        for machine in machines:
            for name, value in state.items():
                setattr(machine, name, value)

        def mend() -> None:
            for machine, old in zip(machines, before, strict=True):
                for name, value in old.items():
                    setattr(machine, name, value)

        return mend

    def _slow(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set(nodes, slow=size or 4.0)

    def _fast_errors(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set(nodes, fail_share=size or 0.6)

    def _answer_lost(self, nodes: list[Node], size: float, extra: float, *_: Any) -> Callable[[], None]:
        """The work is done and its answer does not come back; with `extra` the connection breaks in its
        place.
        """
        return self._set(nodes, **{"reset_share" if extra else "lose_share": size or 0.3})

    def _cut_answers(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set(nodes, reset_share=size or 0.3)

    def _full(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        return self._set(nodes, full=True)

    def _heavy_tail(
        self, nodes: list[Node], size: float, extra: float, span: float, which: str
    ) -> Callable[[], None]:
        return self._set(self.living(), heavy=(which, extra or 0.02, size or 10.0))

    def _hang(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        machines = [node.machine for node in nodes if node.machine is not None]
        for machine in machines:
            machine.set_hang(True)

        def mend() -> None:
            for machine in machines:
                machine.set_hang(False)

        return mend

    def _pauses(self, nodes: list[Node], size: float, extra: float, *_: Any) -> Callable[[], None]:
        machines = [node.machine for node in nodes if node.machine is not None]
        for machine in machines:
            machine.set_pauses((extra or 1.5) * 1000, size or 200.0)

        def mend() -> None:
            for machine in machines:
                machine.set_pauses(machine.kind.pause_every_ms, machine.kind.pause_ms)

        return mend

    def _vanish(
        self, nodes: list[Node], size: float, extra: float, span: float, which: str
    ) -> Callable[[], None]:
        """Nodes go silent: connections stay, nothing is answered; they come back as new, cold processes."""
        for node in nodes:
            if node.machine is not None:
                node.machine.silent = True
                if span > self.silent_notice:
                    self.tell(node, "gone", 0, self.silent_notice)

        def mend() -> None:
            for node in nodes:
                if node.machine is not None and node.machine.silent:
                    self.restart(node)

        return mend

    def _preempt(self, nodes: list[Node], size: float, extra: float, *_: Any) -> None:
        """Nodes are listed as draining, end soon after, and new machines take their shards, cold."""
        for node in nodes:
            if node.machine is None:
                continue
            self.list.change(self._line(node, "draining"), 0)
            node.machine.draining = True
            if node.ports is not None:
                node.ports.say_bye()
            self.network.callLater(size or 1.0, self._preempted, node, extra or 2.0)

    def _preempted(self, node: Node, wait: float) -> None:
        self.kill(node)
        self.tell(node, "gone", 0)
        self.network.callLater(wait, self.replace, node)

    def _mass_restart(self, nodes: list[Node], size: float, *_: Any) -> None:
        """Nodes' processes end together and come back cold a little later, not in step."""
        for node in nodes:
            self.kill(node)
            self.network.callLater(self.chance.uniform(0.5, 1.5) * (size or 1.0), self._again, node)

    def _again(self, node: Node) -> None:
        if node.machine is None:
            self.start(node, cold=True)
            self.tell(node, "ready", now_ns(self.network))

    def _all_gone(self, nodes: list[Node], size: float, extra: float, span: float, which: str) -> None:
        for node in self.living():
            self.kill(node)
            self.network.callLater(span, self._again, node)

    # --- a whole zone ---

    def _zone_lost(
        self, nodes: list[Node], size: float, extra: float, span: float, which: str
    ) -> Callable[[], None]:
        """Every node of a zone loses its power at once: what runs is gone and nobody is told. All come back
        as new, cold processes. With `extra` their hosts live on, so connections break and dials are refused.
        """
        for node in nodes:
            if extra:
                self.kill(node)
            elif node.machine is not None:
                node.machine.lose_power()
                self.record(r.NodeStopped(t=now_ns(self.network), node=node.number))
            if span > self.silent_notice:
                self.tell(node, "gone", 0, self.silent_notice)

        def mend() -> None:
            for node in nodes:
                if node.machine is None or node.machine.silent:
                    self.restart(node)

        return mend

    def _zone_silent(self, nodes: list[Node], *rest: Any) -> Callable[[], None]:
        return self._vanish(nodes, *rest)

    def _zone_grey(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        """A zone's nodes answer legs of up to `size` units and lose larger ones without a word."""
        return self._set(nodes, lose_over=size or 1.0)

    def _grey_each(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        """So does one node of each zone, whichever were drawn."""
        by_zone = {node.shard.zone: node for node in reversed(self.living())}
        return self._set([by_zone[zone] for zone in sorted(by_zone)], lose_over=size or 1.0)

    def _zone_slow(self, nodes: list[Node], *rest: Any) -> Callable[[], None]:
        return self._slow(nodes, *rest)

    def _zone_apart(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        """The gateways of a zone (every so many-th, by their numbers) and all nodes elsewhere hear nothing of
        each other any more; what was connected breaks only when it is mended.
        """
        zone = nodes[0].shard.zone if nodes else 0
        zones = len(self.names)

        def there(gateway: str) -> bool:
            return gateway[1:].isdigit() and int(gateway[1:]) % zones == zone

        others = [each for each in range(zones) if each != zone]
        self.deaf.update(dict.fromkeys(others, there))

        def mend() -> None:
            for each in others:
                self.deaf.pop(each, None)
            for node in self.living():
                if node.ports is not None and node.shard.zone != zone:
                    node.ports.cut_where(there)

        return mend

    def _list_gone(self, *_: Any) -> Callable[[], None]:
        self.list.go(True)
        return lambda: self.list.go(False)

    def close(self) -> None:
        for node in self.living():
            self.kill(node)
        self.list.break_all()
        self.list_port.stopListening()
