"""`serve`: the daemon, a thin wrapper of settings, logging, signals and a health page round the library."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.settings import read_or_exit


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def serve(file: Path) -> None:
    """Run a gateway with the settings of FILE.

    The first line on standard output is `listening HOST:PORT`. SIGTERM drains: nothing new is taken, all that
    is held is answered in time, exit code 0. SIGHUP reads FILE again and takes over what may change.
    """
    record = read_or_exit(file)
    from ochrecourse.steady import Collector, raise_files, steady_reactor

    reactor = steady_reactor()

    from twisted.internet.error import CannotListenError

    from ochrecourse.cli.admin import admin_site
    from ochrecourse.cli.control import serve_control
    from ochrecourse.cli.logs import LEVELS, AccessLog, Aside, JobLog, set_up
    from ochrecourse.durable.journal import BadJournal
    from ochrecourse.gateway.daemon import Daemon
    from ochrecourse.gateway.sampling import Sampling
    from ochrecourse.settings.load import Refused, address, load
    from ochrecourse.webdav.kept import Unreadable

    settings: Any = record
    aside = Aside(sys.stderr)
    log = set_up(settings["log"]["form"], settings["log"]["level"], aside).bind(
        gateway=settings["gateway"]["name"]
    )
    sampling = Sampling(settings["log"]["sample"])
    files = raise_files()
    epoch = int(time.time() - time.monotonic())
    access = AccessLog(log, sampling, reactor)
    jobs = [JobLog(log, sampling)]
    try:
        daemon = Daemon(
            settings, reactor, jobs, log.warning, reactor.stop, log.info, epoch=epoch, access=access
        )
    except (BadJournal, Unreadable, OSError) as trouble:
        click.echo(f"ochrecourse: names and locks are not to be had: {trouble}", err=True)
        sys.exit(2)

    def reload() -> None:
        try:
            again = load(file)
        except Refused as trouble:
            log.warning("settings not taken over", mistakes=str(trouble).split("\n"))
            return
        taken, left = daemon.take_over(again)
        sampling.rate = again["log"]["sample"]
        sampling.depth = max(1.0, sampling.rate)
        if any(each.startswith("log.level") for each in taken):
            import structlog

            structlog.configure(
                wrapper_class=structlog.make_filtering_bound_logger(LEVELS[again["log"]["level"]])
            )
        log.info("settings read again", in_force=taken, needs_restart=left)

    def on_signal(number: int, frame: Any) -> None:
        reactor.callFromThread(daemon.drain if number in (signal.SIGTERM, signal.SIGINT) else reload)

    try:
        host, port = daemon.start()
        if settings["gateway"]["admin"]:
            where = address(settings["gateway"]["admin"])
            if where is None:
                click.echo(f"{file}: gateway.admin is not HOST:PORT", err=True)
                sys.exit(1)
            site = reactor.listenTCP(where[1], admin_site(daemon), interface=where[0])
            log.info("health page", port=site.getHost().port)
        if settings["gateway"]["control"]:
            serve_control(reactor, settings["gateway"]["control"], daemon)
    except CannotListenError as trouble:
        click.echo(f"ochrecourse: cannot listen: {trouble.socketError}", err=True)
        sys.exit(2)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    click.echo(f"listening {host}:{port}")
    if daemon.door_listening is not None:
        at = daemon.door_listening.getHost()
        click.echo(f"webdav {at.host}:{at.port}")
    sys.stdout.flush()
    door = daemon.door
    Collector(
        reactor,
        lambda: not daemon.gateway.ledger.open,
        lambda: daemon.front.closed + (door.closed if door is not None else 0),
    )
    log.info("serving", host=host, port=port, pid=os.getpid(), open_files=files)
    reactor.run(installSignalHandlers=False)
    log.info("left", jobs=daemon.gateway.ledger.taken, log_lines_dropped=aside.dropped)
    aside.close()
