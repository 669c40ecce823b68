"""Runs a gateway service on the real reactor, from reading its start file to the end of its shutdown."""

from __future__ import annotations

import os
import sys
import time
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ochrecourse.interface import MissingSettingError
from ochrecourse.service.start_file import read_start_file
from ochrecourse.service.gateway_service import GatewayService, ServiceEnvironment
from ochrecourse.service.signals import SignalHandler
from ochrecourse.service.start_settings import StartSettingsError
from ochrecourse.common.monotonic_reactor import (
    CycleCollector,
    BoundedAcceptPort,
    raise_open_file_limit,
    install_monotonic_reactor,
    unread_since,
)
from ochrecourse.common.predecessor import PredecessorWait, is_port_in_use

EXIT_OK = 0
EXIT_CANNOT_START = 2  # the start file is missing or invalid, or the port can't be opened


def log(text: str) -> None:
    """Writes a line to standard error, prefixed with the Unix time in seconds."""
    sys.stderr.write(f"{time.time():.3f} {text}\n")
    sys.stderr.flush()


def run(signals: SignalHandler) -> int:
    """Serves until a signal requests termination and the shutdown is complete; returns the exit code."""
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        if not path:
            raise StartSettingsError("RELAY_CONFIG is not set; it names the start file")
        start = read_start_file(path)
        file_limit = raise_open_file_limit()
        start.max_open_files = min(start.max_open_files, file_limit)  # the lower of the two limits applies
        reactor = install_monotonic_reactor(BoundedAcceptPort)
        globalLogBeginner.beginLoggingTo(
            [cast(Any, _log_failure)], redirectStandardIO=False, discardBuffer=True
        )
        since = unread_since(reactor)
        environment = ServiceEnvironment(reactor, time.time_ns(), log, reactor.stop, since)
        service = GatewayService(start, path, environment)
        if signals.termination_requested():
            log("told to end before it served")
            return EXIT_OK
        predecessor = PredecessorWait(lambda text: log(f"{start.name} {text}"), signals.termination_requested)
        host, port = predecessor.until(service.serve, is_port_in_use)
    except (StartSettingsError, MissingSettingError) as error:
        log(f"ochrecourse relay: {error}")
        return EXIT_CANNOT_START
    except CannotListenError as error:
        if signals.termination_requested():
            log("told to end before it served")
            return EXIT_OK
        log(f"ochrecourse relay: cannot listen: {error.socketError}")
        return EXIT_CANNOT_START
    signals.dispatch_to(reactor.callFromThread, service.shut_down, service.reload)
    request_log = service.gateway.request_log
    CycleCollector(reactor, lambda: not request_log.open, service.closed_connections)
    log(
        f"{start.name} serves at {host}:{port}; "
        f"{start.max_open_files} descriptors of {file_limit}, {start.memory_mb} MB"
    )
    reactor.run(installSignalHandlers=False)
    log(
        f"left; {request_log.received} jobs, {request_log.attempts} legs, "
        f"clients: {dict(service.server.counts)}, nodes: {dict(service.gateway.nodes.counts)}"
    )
    return EXIT_OK


def _log_failure(event: Any) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        log(f"unexpected: {failure.getTraceback()}")
