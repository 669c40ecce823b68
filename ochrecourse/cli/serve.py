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
    record = read_or_exit(file)
    from ochrecourse.common.monotonic_reactor import (
        CycleCollector,
        raise_open_file_limit,
        install_monotonic_reactor,
    )

    reactor = install_monotonic_reactor()

    from twisted.internet.error import CannotListenError

    from ochrecourse.cli.admin import admin_site
    from ochrecourse.cli.control import serve_control
    from ochrecourse.cli.handover import LOCK_TIME, LOOK, START_TIME, Sockets, ask_for, where
    from ochrecourse.cli.logs import LEVELS, AccessLog, Aside, JobLog, set_up
    from ochrecourse.storage.journal import JournalError
    from ochrecourse.gateway.daemon import Daemon
    from ochrecourse.gateway.daemon_parts import HostProgram
    from ochrecourse.gateway.socket_handover import handover_obstacle, moved_socket
    from ochrecourse.gateway.log_sampling import LogSampler
    from ochrecourse.settings.load import Refused, address, load
    from ochrecourse.webdav.kept import Unreadable

    settings: Any = record
    aside = Aside(sys.stderr)
    log = set_up(settings["log"]["form"], settings["log"]["level"], aside).bind(
        gateway=settings["gateway"]["name"]
    )
    sampling = LogSampler(settings["log"]["sample"])
    if take_over and "webdav" in settings:  # before its state is touched, which the running process has
        click.echo(f"ochrecourse: nothing was taken over: {handover_obstacle(settings)}", err=True)
        sys.exit(2)
    files = raise_open_file_limit()
    epoch = int(time.time() - time.monotonic())
    access = AccessLog(log, sampling, reactor)
    jobs = [JobLog(log, sampling)]
    try:
        host = HostProgram(
            reactor, jobs, log.warning, reactor.stop, log.info, clock_zero=epoch, access_log=access,
            wall_clock_ms=lambda: time.time_ns() // 1_000_000
        )  # fmt: skip
        daemon = Daemon(settings, host, join_later=take_over)
    except (JournalError, Unreadable, OSError) as trouble:
        click.echo(f"ochrecourse: what the state folder keeps is not to be had: {trouble}", err=True)
        sys.exit(2)

    def reload() -> None:
        try:
            again = load(file)
        except Refused as trouble:
            log.warning("settings not taken over", mistakes=str(trouble).split("\n"))
            return
        taken, left = daemon.reload(again)
        sampling.rate = again["log"]["sample"]
        sampling.burst = max(1.0, sampling.rate)
        if any(each.startswith("log.level") for each in taken):
            import structlog

            structlog.configure(
                wrapper_class=structlog.make_filtering_bound_logger(LEVELS[again["log"]["level"]])
            )
        log.info("settings read again", in_force=taken, needs_restart=left)

    def on_signal(number: int, frame: Any) -> None:
        reactor.callFromThread(daemon.drain if number in (signal.SIGTERM, signal.SIGINT) else reload)

    # Before the first line: who reads it may send a signal at once.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    sockets = Sockets(reactor)
    control, admin = settings["gateway"]["control"], settings["gateway"]["admin"]
    at_admin = address(admin) if admin else None
    if admin and at_admin is None:
        click.echo(f"{file}: gateway.admin is not HOST:PORT", err=True)
        sys.exit(1)

    def accept() -> list[str]:
        """Accepts from now on; returns the lines that say where."""
        host, port = daemon.listen(sockets.listen)
        if at_admin is not None:
            site = sockets.listen("admin", at_admin[1], admin_site(daemon), at_admin[0])
            log.info("health page", port=site.getHost().port)
        sockets.give_back()
        log.info("serving", host=host, port=port, pid=os.getpid(), open_files=files)
        lines = [f"listening {host}:{port}"]
        if daemon.webdav_port is not None:
            at = daemon.webdav_port.getHost()
            lines.append(f"webdav {at.host}:{at.port}")
        if daemon.fleet_member is not None:
            at = daemon.fleet_member.listening.getHost()
            lines.append(f"fleet {at.host}:{at.port}")
        return lines

    def tell(lines: list[str]) -> None:
        # When all is open: who reads these lines asks at the control socket at once.
        for line in lines:
            click.echo(line)
        sys.stdout.flush()

    trouble_at_start: list[str] = []

    def not_taken(why: str) -> None:
        if not trouble_at_start:  # the end of the connection that follows is no further trouble
            trouble_at_start.append(f"nothing was taken over: {why}")
            reactor.stop()

    def taken(held: dict[str, int], says: Any) -> None:
        """The list of nodes first: until it is there, the other process serves better than this one."""
        sockets.taken = held
        moved = moved_socket(settings, {what: where(number) for what, number in held.items()})
        if moved:
            not_taken(moved)
        else:
            look(says)

    def look(says: Any) -> None:
        if not daemon.gateway.entries:
            reactor.callLater(LOOK, look, says)
        elif "fleet" in settings:
            says("release", lambda: join(says))
        else:
            ready(says)

    def join(says: Any, waited: float = 0.0) -> None:
        """The journal of the fleet is this process's; one that was just killed may hold it for a moment."""
        if trouble_at_start:
            return
        try:
            daemon.join_fleet()
        except (JournalError, OSError) as trouble:
            if waited >= LOCK_TIME:
                not_taken(f"what the state folder keeps is not to be had: {trouble}")
            else:
                reactor.callLater(LOOK, join, says, waited + LOOK)
            return
        ready(says)

    def ready(says: Any) -> None:
        try:
            lines = accept()
        except CannotListenError as trouble:
            not_taken(f"cannot listen: {trouble.socketError}")
            return
        says("accepts", lambda: left_to_us(lines))

    def left_to_us(lines: list[str]) -> None:
        try:
            serve_control(reactor, control, daemon, sockets)
        except CannotListenError as trouble:
            log.warning("no control socket", path=control, trouble=str(trouble.socketError))
        tell(lines)

    def too_late() -> None:
        """Guards against a running process that hangs: it takes the connection and never answers."""
        if daemon.client_port is None and daemon.gateway.shutdown.accepts_requests():
            missing = "list of nodes came" if sockets.taken else "answer came from the running gateway"
            not_taken(f"no {missing} within {START_TIME:g} s")

    if take_over:
        if not control:
            click.echo(f"{file}: --take-over asks the running process at gateway.control; set it", err=True)
            sys.exit(1)
        daemon.watch_endpoints()
        reactor.callLater(START_TIME, too_late)
        ask_for(reactor, control, taken, not_taken)
    else:
        try:
            daemon.watch_endpoints()
            lines = accept()
            if control:
                serve_control(reactor, control, daemon, sockets)
            tell(lines)
        except CannotListenError as trouble:
            click.echo(f"ochrecourse: cannot listen: {trouble.socketError}", err=True)
            sys.exit(2)
    door = daemon.webdav
    CycleCollector(
        reactor,
        lambda: not daemon.gateway.request_log.open,
        lambda: daemon.client_factory.connections_closed + (door.closed if door is not None else 0),
    )
    reactor.run(installSignalHandlers=False)
    if not trouble_at_start:
        log.info("left", jobs=daemon.gateway.request_log.received, log_lines_dropped=aside.dropped)
    aside.close()
    for why in trouble_at_start:
        click.echo(f"ochrecourse: {why}", err=True)
        sys.exit(2)
