"""`load`: a day's jobs against gateways that run already."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ochrecourse.cli.days import day_or_exit


@click.command()
@click.argument("day")
@click.argument("gateways", nargs=-1, required=True)
@click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
@click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the clients' sockets to this file."
)
@click.option("--json", "as_json", is_flag=True, help="The outcomes as JSON.")
def load(day: str, gateways: tuple[str, ...], seed: int | None, records: Path | None, as_json: bool) -> None:
    """Send the jobs of DAY to GATEWAYS (HOST:PORT each); the day's gateways are numbered in that order."""
    import msgspec

    from ochrecourse.cli.steady import raise_files, steady_reactor
    from ochrecourse.settings.load import address

    places = [address(each) for each in gateways]
    for each, place in zip(gateways, places, strict=True):
        if place is None:
            click.echo(f"{each!r} is no address; an address is HOST:PORT", err=True)
            sys.exit(2)
    this = msgspec.structs.replace(day_or_exit(day, seed), gateways=len(gateways))
    reactor = steady_reactor()

    from ochrecourse.audit.records import ToFile, nowhere
    from ochrecourse.lab.load import Load, schedule
    from ochrecourse.lab.play import TAIL, WARM_UP
    from ochrecourse.lab.report import outcome_lines, outcome_map

    raise_files()
    to_file = ToFile(records) if records else None
    sending = Load(reactor, this, {i: lambda i=i: places[i] for i in range(len(places))}, to_file or nowhere)  # type: ignore[misc]
    sending.finished = lambda: reactor.callLater(0.5, reactor.stop)
    sending.connect()
    reactor.callLater(WARM_UP, lambda: sending.start(schedule(this)))
    reactor.callLater(WARM_UP + this.length_s + TAIL, reactor.stop)
    reactor.run()
    if to_file:
        to_file.close()
    if as_json:
        import json

        click.echo(json.dumps(outcome_map(sending.outcomes)))
    else:
        for line in outcome_lines(sending.outcomes):
            click.echo(line)
