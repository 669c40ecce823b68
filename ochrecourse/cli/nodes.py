"""`node` and `nodes`: the storage nodes of our own."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from ochrecourse.cli.days import day_or_exit


@click.command()
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


@click.command()
@click.option("--cores", default=1, help="Cores of the node.")
@click.option("--unit-ms", default=5.0, help="Core time of a unit.")
@click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the node's sockets to this file."
)
def node(cores: int, unit_ms: float, records: Path | None) -> None:
    """Run one storage node, and a list that names it; it takes the products of the built-in days."""
    day = day_or_exit("quiet", None)
    kind = msgspec.structs.replace(day.kinds[0], cores=cores)
    products = [msgspec.structs.replace(each, unit_ms=unit_ms) for each in day.products]
    _run(
        msgspec.structs.replace(day, nodes=1, kinds=(kind,), products=products, zones=("here",)),
        records,
        True,
    )


def _run(day: Any, records: Path | None, wait: bool) -> None:
    from ochrecourse.common.monotonic_reactor import raise_open_file_limit, install_monotonic_reactor

    reactor = install_monotonic_reactor()
    from twisted.internet.stdio import StandardIO
    from twisted.protocols.basic import LineReceiver

    from ochrecourse.audit.records import ToFile, nowhere
    from ochrecourse.lab.play import make_fleet, play_troubles

    raise_open_file_limit()
    to_file = ToFile(records) if records else None
    fleet = make_fleet(day, reactor, to_file or nowhere)

    class Commands(LineReceiver):
        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            words = line.decode("utf-8", "replace").split()
            if words == ["go"]:
                play_troubles(day, reactor, fleet)
            elif words:
                problem = strike_line(reactor, fleet, words)
                if problem:
                    click.echo(problem, err=True)

        def connectionLost(self, reason: Any = None) -> None:
            if wait:
                reactor.callLater(0, reactor.stop)

    def on_signal(number: int, frame: Any) -> None:
        reactor.callFromThread(reactor.stop)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    click.echo(f"list {fleet.list_address()}")
    sys.stdout.flush()
    if not wait:
        play_troubles(day, reactor, fleet)
    StandardIO(Commands(), reactor=reactor)  # type: ignore[no-untyped-call]
    reactor.run(installSignalHandlers=False)
    fleet.close()
    if to_file:
        to_file.close()


def strike_line(reactor: Any, fleet: Any, words: list[str]) -> str:
    """Strikes what a line names; returns what is wrong with the line, if anything."""
    from ochrecourse.lab.day import TROUBLES, ZONE_TROUBLES

    if words[0] not in TROUBLES + ZONE_TROUBLES:
        return f"there is no trouble {words[0]!r}; there are {', '.join(TROUBLES + ZONE_TROUBLES)}"
    try:
        part, size, extra, span = (float(word) for word in [*words[1:5], "0.2", "0", "0", "5"][:4])
    except ValueError:
        return (
            "a line is KIND PART SIZE EXTRA SECONDS [PRODUCT, PLAN or ZONE], numbers from the second word on"
        )
    if words[0] in ZONE_TROUBLES and words[5:6] not in [[name] for name in fleet.names]:
        return f"{words[0]} strikes a zone, named by the sixth word; there are {', '.join(fleet.names)}"
    mend = fleet.strike(words[0], part, size, extra, span, words[5] if len(words) > 5 else "")
    reactor.callLater(span, mend)
    return ""
