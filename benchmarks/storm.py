"""Dials after a mass restart: how many connections reach the nodes within 100 ms, by the bound on a gateway's dials.

Forty gateways on a virtual clock lose all nodes' processes at once; the nodes are back, cold, a second later.

    python -m benchmarks.storm
"""

from __future__ import annotations

from bisect import bisect_left
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from ochrecourse.audit.judge import audit
from ochrecourse.lab import play
from ochrecourse.lab.day import Trouble
from ochrecourse.lab.days import quiet
from ochrecourse.lab.figures import figures_of
from ochrecourse.standins import node

WINDOW = 0.1  # s


def one(dials: int) -> tuple[int, int, int, float, bool]:
    """Connections in the fullest window, of all after the restart, payoff, and whether the rules held."""
    came: list[float] = []
    usual, ready = play.gateway_record, node.NodeConnection.ready

    def counted(port: node.NodeConnection) -> None:
        came.append(port.clock.seconds())
        ready(port)

    def bounded(*words: Any) -> dict[str, object]:
        return {**usual(*words), "connections": {"dials": dials, "most": 4}}

    node.NodeConnection.ready = counted  # type: ignore[method-assign]
    play.gateway_record = bounded
    day = msgspec.structs.replace(
        quiet(), gateways=40, nodes=24, length_s=8.0, load=0.6,
        troubles=[Trouble(kind="mass_restart", at_s=3.0, len_s=1.0, part=1.0, size=1.0)],
    )  # fmt: skip
    run = play.VirtualPlay(day)
    start = run.network.seconds()
    played = run.run()
    after = [at for at in came if at > start + 3.4]
    fullest = max(bisect_left(after, at + WINDOW) - i for i, at in enumerate(after))
    return (
        dials,
        fullest,
        len(after),
        played.outcomes.payoff(),
        audit(figures_of(day), played.records).passes(),
    )


def main() -> None:
    with ProcessPoolExecutor() as pool:
        for dials, fullest, whole, payoff, kept in pool.map(one, (1, 4, 16, 1000)):
            print(
                f"{dials:4} dials at once: {fullest} connections in the fullest 100 ms, {whole} in all, "
                f"payoff {payoff:.3f}, rules kept: {kept}"
            )


if __name__ == "__main__":
    main()
