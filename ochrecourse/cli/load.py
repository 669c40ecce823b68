"""`load day`, `load webdav`: clients against gateways that run already."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.days import day_or_exit
from ochrecourse.lab.day import Day

seeds = click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
kept = click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the clients' sockets to this file."
)
json_too = click.option("--json", "as_json", is_flag=True, help="The outcomes as JSON.")


@click.group()
def load() -> None:
    """Send load to running gateways; the day's gateways are numbered in the order given."""


@load.command("day")
@click.argument("day")
@click.argument("gateways", nargs=-1, required=True)
@seeds
@kept
@json_too
def native(
    day: str, gateways: tuple[str, ...], seed: int | None, records: Path | None, as_json: bool
) -> None:
    """Send the jobs of DAY to GATEWAYS (HOST:PORT each), in the native framing."""
    from ochrecourse.lab.load import Load, schedule
    from ochrecourse.lab.play import TAIL, WARM_UP

    def start(reactor: Any, this: Day, places: Any, record: Any) -> Any:
        sending = Load(reactor, this, places, record)
        sending.finished = lambda: reactor.callLater(0.5, reactor.stop)
        sending.connect()
        reactor.callLater(WARM_UP, lambda: sending.start(schedule(this)))
        reactor.callLater(WARM_UP + this.length_s + TAIL, reactor.stop)
        return sending

    _run(day, gateways, seed, records, as_json, start)


@load.command()
@click.argument("day")
@click.argument("gateways", nargs=-1, required=True)
@click.option("--people", default=2000, help="How many there are; they spread over the gateways.")
@seeds
@kept
@json_too
def webdav(
    day: str, gateways: tuple[str, ...], people: int, seed: int | None, records: Path | None, as_json: bool
) -> None:
    """Send PEOPLE (readers, savers, browsers, lockers, resenders, leavers) to the WebDAV doors of GATEWAYS.

    First the shared files are put in their places; `everybody comes` on standard error says when the day
    begins. Each reads back what it saved. Exit code 1 if an acknowledged save was lost, bytes were read that
    nobody wrote, or an answer came that the protocol does not allow there.
    """
    from ochrecourse.lab.people import People

    def start(reactor: Any, this: Day, places: Any, record: Any) -> Any:
        sending = People(reactor, this, places, record, people)
        sending.finished = lambda: reactor.callLater(0.5, reactor.stop)
        sending.everybody_comes = lambda: click.echo("everybody comes", err=True)
        sending.start()
        return sending

    crowd = _run(day, gateways, seed, records, as_json, start)
    for fault in crowd.faults[:20]:
        click.echo(f"fault: {fault}", err=True)
    sys.exit(1 if crowd.faults else 0)


def _run(
    day: str,
    gateways: tuple[str, ...],
    seed: int | None,
    records: Path | None,
    as_json: bool,
    start: Callable[[Any, Day, Any, Any], Any],
) -> Any:
    """Runs what `start` makes until it stops the reactor, and prints its outcomes."""
    import msgspec

    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        raise_open_file_limit,
        install_monotonic_reactor,
    )
    from ochrecourse.settings.addresses import parse_address

    places = [parse_address(each) for each in gateways]
    for each, place in zip(gateways, places, strict=True):
        if place is None:
            click.echo(f"{each!r} is no address; an address is HOST:PORT", err=True)
            sys.exit(2)
    this = msgspec.structs.replace(day_or_exit(day, seed), gateways=len(gateways))
    reactor = install_monotonic_reactor()

    from ochrecourse.audit.records import ToFile, nowhere
    from ochrecourse.lab.report import outcome_lines, outcome_map

    raise_open_file_limit()
    to_file = ToFile(records) if records else None
    sending = start(reactor, this, {i: lambda i=i: places[i] for i in range(len(places))}, to_file or nowhere)
    # Guards against clients that stand still for some 80 ms and take that for a late answer.
    CycleCollector(reactor, lambda: False, lambda: sending.conns)
    reactor.run()
    if to_file:
        to_file.close()
    if as_json:
        import json

        click.echo(json.dumps({**outcome_map(sending.outcomes), "counts": dict(sending.counts)}))
    else:
        for line in outcome_lines(sending.outcomes):
            click.echo(line)
    return sending
