"""The process of `serve`: a daemon with its log, signal handlers, health page and control socket.

Imported only once the process's reactor is installed.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, NoReturn

import click
import structlog
from twisted.internet.error import CannotListenError

from ochrecourse.cli.admin import admin_site
from ochrecourse.cli.control_server import serve_control
from ochrecourse.cli.handover import ListeningSockets
from ochrecourse.cli.logs import LOG_LEVELS, AccessLog, BackgroundWriter, RequestLogWriter, make_logger
from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.predecessor import PredecessorWait, is_port_in_use
from ochrecourse.common.monotonic_reactor import CycleCollector, raise_open_file_limit
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.daemon import Daemon, Listen
from ochrecourse.gateway.daemon_parts import HostProgram
from ochrecourse.gateway.log_sampling import LogSampler
from ochrecourse.gateway.socket_handover import handover_obstacle
from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.load import SettingsError, load
from ochrecourse.storage.journal import JournalError
from ochrecourse.storage.process_lock import ProcessLock, StateLockedError
from ochrecourse.storage.disk_thread import ThreadWorker
from ochrecourse.webdav.state_store import InvalidRecordError

EXIT_OK = 0
EXIT_BAD_SETTINGS = 1
EXIT_NOT_STARTED = 2


class StartError(OchrecourseError):
    """The process cannot start; the text is for the operator."""

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


def _end_before_start(number: int, frame: Any) -> NoReturn:
    sys.exit(EXIT_OK)


class GatewayProcess:
    """A daemon with its log, signals and sockets. `settings` is the resolved record of `file`."""

    def __init__(self, file: Path, settings: Any, reactor: Any, take_over: bool) -> None:
        """`take_over`: use the sockets of the running process. Raises StartError."""
        self.file = file
        self.settings = settings
        self.reactor = reactor
        self.failure = ""  # why the start is abandoned
        self.log_writer = BackgroundWriter(sys.stderr)
        log_settings = settings["log"]
        log = make_logger(log_settings["form"], log_settings["level"], self.log_writer)
        self.log = log.bind(gateway=settings["gateway"]["name"])
        self.sampler = LogSampler(log_settings["sample"])
        if take_over and "webdav" in settings:  # before access to the state, which the running process uses
            obstacle = handover_obstacle(settings)
            raise StartError(f"ochrecourse: nothing was taken over: {obstacle}", EXIT_NOT_STARTED)
        self.open_files = raise_open_file_limit()
        self.predecessor = PredecessorWait(self.log.info)
        for number in (signal.SIGTERM, signal.SIGINT):  # until a daemon exists that can drain
            signal.signal(number, _end_before_start)
        self.daemon = self._make_daemon(join_later=take_over)
        # Before the first line on standard output, as its reader may send a signal at once.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._on_signal)
        self.sockets = ListeningSockets(reactor)
        self.control_path: str = settings["gateway"]["control"]
        self.admin_address = self._admin_address()

    def _make_daemon(self, join_later: bool) -> Daemon:
        host = HostProgram(
            self.reactor,
            [RequestLogWriter(self.log, self.sampler)],
            self.log.warning,
            self.reactor.stop,
            self.log.info,
            clock_zero=int(time.time() - time.monotonic()),
            access_log=AccessLog(self.log, self.sampler, self.reactor),
            wall_clock_ms=lambda: time.time_ns() // MS,
            acquire_lock=self._acquire_lock,
            make_disk_worker=lambda name: ThreadWorker(self.reactor.callFromThread, name),
            call_from_thread=self.reactor.callFromThread,
        )
        try:
            return Daemon(self.settings, host, join_later)
        except (JournalError, InvalidRecordError, OSError) as error:
            raise StartError(
                f"ochrecourse: what the state folder keeps is not to be had: {error}", EXIT_NOT_STARTED
            ) from None

    def _acquire_lock(self, lock: ProcessLock) -> None:
        self.predecessor.until(lock.acquire, lambda error: isinstance(error, StateLockedError))

    def _listen(self, name: str, port: int, factory: Any, host: str) -> Any:
        """Opens a port (`Listen`); waits for a process that was just killed to release it."""
        return self.predecessor.until(lambda: self.sockets.listen(name, port, factory, host), is_port_in_use)

    def _admin_address(self) -> tuple[str, int] | None:
        admin = self.settings["gateway"]["admin"]
        if not admin:
            return None
        address = parse_address(admin)
        if address is None:
            raise StartError(f"{self.file}: gateway.admin is not HOST:PORT", EXIT_BAD_SETTINGS)
        return address

    def start(self) -> None:
        """Watches the endpoint list, accepts connections and prints the addresses. Raises StartError."""
        try:
            self.daemon.watch_endpoints()
            lines = self.accept(self._listen)
            if self.control_path:
                serve_control(self.reactor, self.control_path, self.daemon, self.sockets)
            self.announce(lines)
        except CannotListenError as error:
            raise StartError(f"ochrecourse: cannot listen: {error.socketError}", EXIT_NOT_STARTED) from None

    def accept(self, listen: Listen) -> list[str]:
        """Starts to accept connections; returns the lines to print. Raises CannotListenError."""
        daemon = self.daemon
        host, port = daemon.listen(listen)
        if self.admin_address is not None:
            admin_host, admin_port = self.admin_address
            site = listen("admin", admin_port, admin_site(daemon), admin_host)
            self.log.info("health page", port=site.getHost().port)
        self.sockets.close_unused()
        self.log.info("serving", host=host, port=port, pid=os.getpid(), open_files=self.open_files)
        lines = [f"listening {host}:{port}"]
        if daemon.webdav_port is not None:
            webdav = daemon.webdav_port.getHost()
            lines.append(f"webdav {webdav.host}:{webdav.port}")
        if daemon.fleet_member is not None:
            fleet = daemon.fleet_member.listening_port.getHost()
            lines.append(f"fleet {fleet.host}:{fleet.port}")
        return lines

    def announce(self, lines: list[str]) -> None:
        """Prints the addresses once all is open, as the reader may use the control socket at once."""
        for line in lines:
            click.echo(line)
        sys.stdout.flush()

    def fail(self, reason: str) -> None:
        """Ends a process that cannot take over; only the first reason is kept."""
        if not self.failure:
            self.failure = reason
            self.reactor.stop()

    def run(self) -> None:
        """Runs until the daemon has drained. Raises StartError if it ended before it served."""
        daemon, webdav = self.daemon, self.daemon.webdav
        CycleCollector(
            self.reactor,
            lambda: not daemon.gateway.request_log.open,
            lambda: (
                daemon.client_factory.connections_closed
                + daemon.gateway.nodes.closed_connections
                + (webdav.closed if webdav is not None else 0)
            ),
        )
        self.reactor.run(installSignalHandlers=False)
        if not self.failure:
            figures = daemon.figures()
            self.log.info(
                "left",
                jobs=daemon.gateway.request_log.received,
                log_lines_dropped=self.log_writer.dropped,
                loop_late_worst_ms=round(1000 * figures["loop_late_worst_seconds"]),
                journal_sync_worst_ms=round(1000 * figures["journal_sync_worst_seconds"]),
            )
        self.log_writer.close()
        if self.failure:
            raise StartError(f"ochrecourse: nothing was taken over: {self.failure}", EXIT_NOT_STARTED)

    # --- signals ---

    def _on_signal(self, number: int, frame: Any) -> None:
        action = self.daemon.drain if number in (signal.SIGTERM, signal.SIGINT) else self.reload
        self.reactor.callFromThread(action)

    def reload(self) -> None:
        """Reads the settings again and applies those that can change at run time."""
        try:
            settings = load(self.file)
        except SettingsError as error:
            self.log.warning("settings not taken over", mistakes=str(error).split("\n"))
            return
        result = self.daemon.reload(settings)
        self.sampler.rate = settings["log"]["sample"]
        self.sampler.burst = max(1.0, self.sampler.rate)
        if any(each.startswith("log.level") for each in result.in_force):
            level = LOG_LEVELS[settings["log"]["level"]]
            structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(level))
        self.log.info("settings read again", in_force=result.in_force, needs_restart=result.needs_restart)
