"""`load day`, `load webdav`: simulated clients that send load to running gateways."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.days import day_or_exit
from ochrecourse.lab.day import Day

EXIT_FAULTS = 1
EXIT_BAD_CALL = 2
MAX_FAULTS_SHOWN = 20
STOP_DELAY_S = 0.5  # between the last answer and the end of the run

seed_option = click.option("--seed", default=None, type=int, help="The day's seed, in place of its own.")
records_option = click.option(
    "--records", type=click.Path(path_type=Path), help="Write what crosses the clients' sockets to this file."
)
json_option = click.option("--json", "as_json", is_flag=True, help="The outcomes as JSON.")

# Creates and starts the clients, given the reactor, the day, the gateways' addresses and the recorder.
StartClients = Callable[[Any, Day, Any, Any], Any]


@dataclass(slots=True)
class LoadOptions:
    """Options common to both commands; `gateways` are HOST:PORT, `seed` replaces the day's own."""

    day: str
    gateways: tuple[str, ...]
    seed: int | None
    records: Path | None
    as_json: bool


@click.group()
def load() -> None:
    """Send load to running gateways; the day's gateways are numbered in the order given."""


@load.command("day")
@click.argument("day")
@click.argument("gateways", nargs=-1, required=True)
@seed_option
@records_option
@json_option
def native(**options: Any) -> None:
    """Send the jobs of DAY to GATEWAYS (HOST:PORT each), in the native framing."""
    from ochrecourse.lab.load import Load, schedule
    from ochrecourse.lab.play import TAIL, WARM_UP

    def start(reactor: Any, day: Day, addresses: Any, record: Any) -> Any:
        clients = Load(reactor, day, addresses, record)
        clients.finished = lambda: reactor.callLater(STOP_DELAY_S, reactor.stop)
        clients.connect()
        reactor.callLater(WARM_UP, lambda: clients.start(schedule(day)))
        reactor.callLater(WARM_UP + day.length_s + TAIL, reactor.stop)
        return clients

    _run(LoadOptions(**options), start)


@load.command("webdav")
@click.argument("day")
@click.argument("gateways", nargs=-1, required=True)
@click.option("--people", "users", default=2000, help="How many there are; they spread over the gateways.")
@seed_option
@records_option
@json_option
def webdav(users: int, **options: Any) -> None:
    """Send PEOPLE (readers, savers, browsers, lockers, resenders, leavers) to the WebDAV doors of GATEWAYS.

    First the shared files are put in their places; `everybody comes` on standard error says when the day
    begins. Each reads back what it saved. Exit code 1 if an acknowledged save was lost, bytes were read that
    nobody wrote, or an answer came that the protocol does not allow there.
    """
    from ochrecourse.lab.people import People

    def start(reactor: Any, day: Day, addresses: Any, record: Any) -> Any:
        clients = People(reactor, day, addresses, record, users)
        clients.finished = lambda: reactor.callLater(STOP_DELAY_S, reactor.stop)
        clients.everybody_comes = lambda: click.echo("everybody comes", err=True)
        clients.start()
        return clients

    clients = _run(LoadOptions(**options), start)
    for fault in clients.faults[:MAX_FAULTS_SHOWN]:
        click.echo(f"fault: {fault}", err=True)
    sys.exit(EXIT_FAULTS if clients.faults else 0)


def _run(options: LoadOptions, start: StartClients) -> Any:
    """Runs the clients that `start` creates until they stop the reactor, and prints their outcomes."""
    import msgspec

    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        install_monotonic_reactor,
        raise_open_file_limit,
    )

    addresses = _parse_gateways(options.gateways)
    day = msgspec.structs.replace(day_or_exit(options.day, options.seed), gateways=len(addresses))
    reactor = install_monotonic_reactor()

    # Imported after the reactor is installed: this imports Twisted, which would install its default reactor.
    from ochrecourse.audit.records import RecordFile, discard

    raise_open_file_limit()
    recorder = RecordFile(options.records) if options.records else None
    address_getters = {number: lambda number=number: addresses[number] for number in range(len(addresses))}
    clients = start(reactor, day, address_getters, recorder or discard)
    # Guards against garbage collection pauses of some 80 ms, which clients would measure as late answers.
    CycleCollector(reactor, lambda: False, lambda: clients.conns)
    reactor.run()
    if recorder:
        recorder.close()
    _print_outcomes(clients, options.as_json)
    return clients


def _parse_gateways(gateways: tuple[str, ...]) -> list[tuple[str, int]]:
    """Parses HOST:PORT addresses; prints the first invalid one to standard error and exits with code 2."""
    from ochrecourse.settings.addresses import parse_address

    addresses = []
    for text in gateways:
        address = parse_address(text)
        if address is None:
            click.echo(f"{text!r} is no address; an address is HOST:PORT", err=True)
            sys.exit(EXIT_BAD_CALL)
        addresses.append(address)
    return addresses


def _print_outcomes(clients: Any, as_json: bool) -> None:
    from ochrecourse.lab.report import outcome_lines, outcome_map

    if as_json:
        click.echo(json.dumps({**outcome_map(clients.outcomes), "counts": dict(clients.counts)}))
        return
    for line in outcome_lines(clients.outcomes):
        click.echo(line)
