"""The storage nodes of a scenario with their list server, and the faults injected into them."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ochrecourse.audit import records as r
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.standins.list_server import ListServer
from ochrecourse.standins.node_process import (
    IdempotencyKeys,
    NodeKind,
    NodeProcess,
    OverloadLimit,
    RequestClassCost,
    Shard,
    UsageMeter,
)
from ochrecourse.standins.node import NodeConnectionFactory
from ochrecourse.wire import messages as m

FIRST_NODE = 100  # number of the first node; replacements get the next free numbers


class Node:
    """One node: its address, its process while it runs, and its shard."""

    def __init__(self, number: int, kind: NodeKind, shard: Shard) -> None:
        self.number = number
        self.kind = kind
        self.shard = shard
        self.process: NodeProcess | None = None
        self.connections: NodeConnectionFactory | None = None
        self.listening: Any = None
        self.port = 0


class NodeFleet:
    """The nodes of a scenario. `notice_delay`: range (s) of the time until the list shows a change."""

    def __init__(
        self,
        network: Network,
        kinds: Sequence[NodeKind],
        zones: int,
        request_classes: Mapping[str, RequestClassCost],
        overload_limit: OverloadLimit,
        meter: UsageMeter,
        seed: int,
        record: r.Recorder,
        notice_delay: tuple[float, float],
        silent_notice_delay: float,
        list_delay: float,
        interface: str = "127.0.0.1",
        copies: int = 1,
        zone_names: Sequence[str] = (),
        timestamp_answers: bool = False,
        layout: Sequence[tuple[int, int]] = (),
    ) -> None:
        """`copies`: replicas of each shard, each in another zone. `zone_names`: for faults of a zone.
        `timestamp_answers`: answers to reads carry their time. `layout`: shard and zone of each node, in
        place of `copies`.
        """
        self.zone_names = list(zone_names)
        self.timestamp_answers = timestamp_answers
        # By zone: the gateways from which its nodes receive nothing.
        self.ignored_gateways: dict[int, Callable[[str], bool]] = {}
        self.network = network
        self.request_classes = request_classes
        self.overload_limit = overload_limit
        self.meter = meter
        self.random_source = random.Random(f"{seed} fleet")
        self.seed = seed
        self.record = record
        self.notice_delay = notice_delay
        self.silent_notice_delay = silent_notice_delay
        self.interface = interface
        self.list_server = ListServer(network, seed, list_delay, record)
        self.nodes: dict[int, Node] = {}
        self.shared_keys = IdempotencyKeys()
        self.zone_keys = [IdempotencyKeys() for _ in range(zones)]
        self.next_number = FIRST_NODE
        self.processes_started = 0
        count = len(kinds) // copies
        shards: dict[int, Shard] = {}  # the first replica of each
        for i, kind in enumerate(kinds):
            copy, number = divmod(i, count) if copies > 1 else (0, i)
            number, zone = layout[i] if layout else (number, (copy + number) % zones)
            first = shards.setdefault(number, Shard(number, zone))
            self._new_node(kind, first if first.zone == zone else first.replica(zone), cold=False)
        for node in self.nodes.values():
            self.list_server.add_initial_entry(self._list_entry(node, "ready"), 0)
        self.list_port = network.listenTCP(0, self.list_server, interface=interface)

    def list_address(self) -> str:
        """The address of the list server."""
        return f"{self.interface}:{self.list_port.getHost().port}"

    def running_nodes(self) -> list[Node]:
        """The nodes whose process runs."""
        return [node for node in self.nodes.values() if node.process is not None]

    # --- processes ---

    def _new_node(self, kind: NodeKind, shard: Shard, cold: bool) -> Node:
        node = Node(self.next_number, kind, shard)
        self.next_number += 1
        self.nodes[node.number] = node
        self.start(node, cold)
        return node

    def start(self, node: Node, cold: bool) -> None:
        """Starts the process of a node."""
        self.processes_started += 1
        idempotency_keys = {
            "all": self.shared_keys,
            "zone": self.zone_keys[node.shard.zone],
            "cell": node.shard.idempotency_keys,
        }
        node.process = NodeProcess(
            node.number, node.kind, node.shard, self.network, self.seed * 1000 + self.processes_started,
            self.request_classes, self.overload_limit, self.meter, idempotency_keys, self.record, cold,
        )  # fmt: skip
        node.process.timestamp_answers = self.timestamp_answers
        node.process.ignores_gateway = lambda gateway: self._ignores_gateway(node.shard.zone, gateway)
        node.process.on_overload = lambda: self.kill(node, crashed=True)
        node.connections = NodeConnectionFactory(
            node.process, self.network, self.processes_started * 1_000_000
        )
        node.listening = self.network.listenTCP(node.port, node.connections, interface=self.interface)
        node.port = node.listening.getHost().port

    def kill(self, node: Node, crashed: bool = False) -> Any:
        """Ends the process of a node: its connections are aborted and its port is closed. Returns a Deferred
        if the port is released only later.
        """
        if node.process is None or node.connections is None:
            return None
        node.process.terminate()
        node.process = None
        self.record(r.NodeStopped(t=now_ns(self.network), node=node.number, overloaded=crashed))
        node.connections.abort_all()
        return node.listening.stopListening()

    def _ignores_gateway(self, zone: int, gateway: str) -> bool:
        return zone in self.ignored_gateways and self.ignored_gateways[zone](gateway)

    def announce(self, node: Node, health: str, started: int, after: float | None = None) -> None:
        """Changes the list entry of a node after a delay (s), a random one by default."""
        entry = self._list_entry(node, health)
        delay = self.random_source.uniform(*self.notice_delay) if after is None else after
        self.network.callLater(delay, self.list_server.update_entry, entry, started)

    def restart(self, node: Node) -> None:
        """Replaces the process of a node by a new, cold one. The list shows its start before it gets much
        traffic.
        """
        port_released = self.kill(node)
        if port_released is None:
            self._start_cold(node)
        else:
            port_released.addCallback(lambda _: self._start_cold(node))

    def _start_cold(self, node: Node) -> None:
        self.start(node, cold=True)
        self.announce(node, "ready", now_ns(self.network))

    def replace(self, node: Node) -> None:
        """Starts a new, cold node with a new number for the shard."""
        replacement = self._new_node(node.kind, node.shard, cold=True)
        self.announce(replacement, "ready", now_ns(self.network))

    def _list_entry(self, node: Node, health: str) -> m.EndpointEntry:
        return m.EndpointEntry(
            node=node.number,
            address=f"{self.interface}:{node.port}",
            zone=node.shard.zone,
            shard=node.shard.number,
            health=health,
        )

    # --- faults: a method is named after its kind in scenario files ---

    def inject_fault(
        self, kind: str, share: float, size: float, extra: float, span: float, target: str
    ) -> Callable[[], None]:
        """Injects a fault; returns the function that ends it. Faults of clients or gateways are ignored."""
        running_nodes = self.running_nodes()
        count = max(1, round(share * len(running_nodes))) if share else 0
        if kind.startswith("zone_"):
            targets = [node for node in running_nodes if node.shard.zone == self.zone_names.index(target)]
        else:
            targets = self.random_source.sample(running_nodes, min(count, len(running_nodes)))
        self.record(
            r.FaultChanged(
                t=now_ns(self.network), kind=kind, description=f"nodes {sorted(n.number for n in targets)}"
            )
        )
        fault = getattr(self, f"_{kind}", None)
        recover: Callable[[], None] | None = fault(targets, size, extra, span, target) if fault else None
        return recover or (lambda: None)

    def _set_state(self, nodes: list[Node], **state: Any) -> Callable[[], None]:
        """Sets attributes of the processes until recovery; a process started meanwhile is unaffected."""
        processes = [node.process for node in nodes if node.process is not None]
        before = [{name: getattr(process, name) for name in state} for process in processes]
        for process in processes:
            for name, value in state.items():
                setattr(process, name, value)

        def recover() -> None:
            for process, old in zip(processes, before, strict=True):
                for name, value in old.items():
                    setattr(process, name, value)

        return recover

    def _slow(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set_state(nodes, slowdown=size or 4.0)

    def _fast_errors(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set_state(nodes, fail_share=size or 0.6)

    def _answer_lost(self, nodes: list[Node], size: float, extra: float, *_: Any) -> Callable[[], None]:
        """Attempts are executed but not answered; with `extra` the connection is reset instead."""
        return self._set_state(nodes, **{"reset_share" if extra else "answer_loss_share": size or 0.3})

    def _cut_answers(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        return self._set_state(nodes, reset_share=size or 0.3)

    def _full(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        return self._set_state(nodes, full=True)

    def _heavy_tail(
        self, nodes: list[Node], size: float, extra: float, span: float, target: str
    ) -> Callable[[], None]:
        return self._set_state(self.running_nodes(), heavy_tail=(target, extra or 0.02, size or 10.0))

    def _hang(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        processes = [node.process for node in nodes if node.process is not None]
        for process in processes:
            process.set_hang(True)

        def recover() -> None:
            for process in processes:
                process.set_hang(False)

        return recover

    def _pauses(self, nodes: list[Node], size: float, extra: float, *_: Any) -> Callable[[], None]:
        processes = [node.process for node in nodes if node.process is not None]
        for process in processes:
            process.set_pauses((extra or 1.5) * 1000, size or 200.0)

        def recover() -> None:
            for process in processes:
                process.set_pauses(process.kind.pause_every_ms, process.kind.pause_ms)

        return recover

    def _vanish(
        self, nodes: list[Node], size: float, extra: float, span: float, target: str
    ) -> Callable[[], None]:
        """Nodes become silent: connections stay open without answers. They recover as new, cold processes."""
        for node in nodes:
            if node.process is not None:
                node.process.silent = True
                if span > self.silent_notice_delay:
                    self.announce(node, "gone", 0, self.silent_notice_delay)

        def recover() -> None:
            for node in nodes:
                if node.process is not None and node.process.silent:
                    self.restart(node)

        return recover

    def _preempt(self, nodes: list[Node], size: float, extra: float, *_: Any) -> None:
        """Nodes are listed as draining, end soon after, and new, cold nodes take their shards."""
        for node in nodes:
            if node.process is None:
                continue
            self.list_server.update_entry(self._list_entry(node, "draining"), 0)
            node.process.draining = True
            if node.connections is not None:
                node.connections.announce_draining()
            self.network.callLater(size or 1.0, self._end_preempted, node, extra or 2.0)

    def _end_preempted(self, node: Node, delay: float) -> None:
        self.kill(node)
        self.announce(node, "gone", 0)
        self.network.callLater(delay, self.replace, node)

    def _mass_restart(self, nodes: list[Node], size: float, *_: Any) -> None:
        """Processes end together and start again, cold, a little later and not all at once."""
        for node in nodes:
            self.kill(node)
            self.network.callLater(
                self.random_source.uniform(0.5, 1.5) * (size or 1.0), self._start_if_down, node
            )

    def _start_if_down(self, node: Node) -> None:
        if node.process is None:
            self.start(node, cold=True)
            self.announce(node, "ready", now_ns(self.network))

    def _all_gone(self, nodes: list[Node], size: float, extra: float, span: float, target: str) -> None:
        for node in self.running_nodes():
            self.kill(node)
            self.network.callLater(span, self._start_if_down, node)

    # --- faults of a zone ---

    def _zone_lost(
        self, nodes: list[Node], size: float, extra: float, span: float, target: str
    ) -> Callable[[], None]:
        """All nodes of a zone lose power at once, without notice; they recover as new, cold processes. With
        `extra` their hosts keep running, so connections are reset and new ones refused.
        """
        for node in nodes:
            if extra:
                self.kill(node)
            elif node.process is not None:
                node.process.lose_power()
                self.record(r.NodeStopped(t=now_ns(self.network), node=node.number))
            if span > self.silent_notice_delay:
                self.announce(node, "gone", 0, self.silent_notice_delay)

        def recover() -> None:
            for node in nodes:
                if node.process is None or node.process.silent:
                    self.restart(node)

        return recover

    def _zone_silent(self, nodes: list[Node], *rest: Any) -> Callable[[], None]:
        return self._vanish(nodes, *rest)

    def _zone_grey(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        """Nodes of a zone answer attempts of up to `size` units and silently drop larger ones."""
        return self._set_state(nodes, drop_above_units=size or 1.0)

    def _grey_each(self, nodes: list[Node], size: float, *_: Any) -> Callable[[], None]:
        """Injects the fault of `_zone_grey` into one node of each zone, whichever nodes were drawn."""
        by_zone = {node.shard.zone: node for node in reversed(self.running_nodes())}
        return self._set_state([by_zone[zone] for zone in sorted(by_zone)], drop_above_units=size or 1.0)

    def _zone_slow(self, nodes: list[Node], *rest: Any) -> Callable[[], None]:
        return self._slow(nodes, *rest)

    def _zone_apart(self, nodes: list[Node], *_: Any) -> Callable[[], None]:
        """Partitions the gateways of a zone (gateway number modulo the number of zones) from the nodes of all
        other zones. Their connections are aborted only on recovery.
        """
        zone = nodes[0].shard.zone if nodes else 0
        zones = len(self.zone_names)

        def is_in_zone(gateway: str) -> bool:
            return gateway[1:].isdigit() and int(gateway[1:]) % zones == zone

        others = [each for each in range(zones) if each != zone]
        self.ignored_gateways.update(dict.fromkeys(others, is_in_zone))

        def recover() -> None:
            for each in others:
                self.ignored_gateways.pop(each, None)
            for node in self.running_nodes():
                if node.connections is not None and node.shard.zone != zone:
                    node.connections.abort_matching(is_in_zone)

        return recover

    def _list_gone(self, *_: Any) -> Callable[[], None]:
        self.list_server.set_unavailable(True)
        return lambda: self.list_server.set_unavailable(False)

    def close(self) -> None:
        """Ends all processes and the list server."""
        for node in self.running_nodes():
            self.kill(node)
        self.list_server.abort_connections()
        self.list_port.stopListening()
