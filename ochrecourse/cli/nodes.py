"""`node` and `nodes`: emulated storage nodes and the list server that names them."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from ochrecourse.cli.days import day_or_exit
from ochrecourse.lab.day import Day


@click.command("nodes")
@click.argument("day")
@click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
@click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the nodes' sockets to this file."
)
@click.option("--wait", is_flag=True, help="Begin the troubles only when a line comes on standard input.")
def nodes(day: str, seed: int | None, records: Path | None, wait: bool) -> None:
    """Run all storage nodes and the list server of DAY (a built-in name or a file), with its troubles.

    The first line on standard output is `list HOST:PORT`; put that address under `list.address` of the
    gateways. Each further line on standard input is a trouble to strike now: KIND PART SIZE EXTRA SECONDS
    [PRODUCT, PLAN or ZONE].
    """
    _run(day_or_exit(day, seed), records, wait)


@click.command("node")
@click.option("--cores", default=1, help="Cores of the node.")
@click.option("--unit-ms", default=5.0, help="Core time of a unit.")
@click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the node's sockets to this file."
)
def node(cores: int, unit_ms: float, records: Path | None) -> None:
    """Run one storage node, and a list that names it; it takes the products of the built-in days."""
    quiet = day_or_exit("quiet", None)
    node_kind = msgspec.structs.replace(quiet.kinds[0], cores=cores)
    request_classes = [msgspec.structs.replace(each, unit_ms=unit_ms) for each in quiet.products]
    changes = {"nodes": 1, "kinds": (node_kind,), "products": request_classes, "zones": ("here",)}
    _run(msgspec.structs.replace(quiet, **changes), records, wait=True)


def _run(scenario: Day, records: Path | None, wait: bool) -> None:
    from ochrecourse.common.monotonic_reactor import install_monotonic_reactor

    reactor = install_monotonic_reactor()

    # Imported after the reactor is installed: this imports Twisted, which would install its default reactor.
    from ochrecourse.cli.storage_nodes import run_storage_nodes

    run_storage_nodes(reactor, scenario, records, wait)
