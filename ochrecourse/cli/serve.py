"""`serve`: runs a gateway as a daemon, the library with settings, logging, signals and an admin endpoint."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ochrecourse.cli.settings import read_or_exit


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--take-over", is_flag=True, help="Take the listening sockets of the process that runs with them now."
)
def serve(file: Path, take_over: bool) -> None:
    """Run a gateway with the settings of FILE.

    With --take-over the process that runs with them now (found by `gateway.control`) goes on accepting until
    this one has a list of nodes; then it finishes what it holds and leaves. If that does not come about, it
    goes on as before and this one ends with exit code 2.

    The first line on standard output is `listening HOST:PORT`; where the settings have the parts, lines
    `webdav HOST:PORT` and `fleet HOST:PORT` follow; the control socket is there by then. SIGTERM drains:
    nothing new is taken, all that is held is answered in time, exit code 0. SIGHUP reads FILE again and takes
    over what may change.
    """
    settings = read_or_exit(file)
    from ochrecourse.common.monotonic_reactor import install_monotonic_reactor

    reactor = install_monotonic_reactor()

    # Imported after the reactor is installed: these import Twisted, which would install its default reactor.
    from ochrecourse.cli.gateway_process import GatewayProcess, StartError
    from ochrecourse.cli.successor import Successor

    try:
        process = GatewayProcess(file, settings, reactor, take_over)
        if take_over:
            Successor(process).start()
        else:
            process.start()
        process.run()
    except StartError as error:
        click.echo(str(error), err=True)
        sys.exit(error.exit_code)
