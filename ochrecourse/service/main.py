"""The parts of a gateway on the platform, put together on the real reactor and run until it has left."""

from __future__ import annotations

import os
import sys
import time
from typing import Any, cast

from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner

from ochrecourse.interface import MissingSettingError
from ochrecourse.service.start_file import read
from ochrecourse.service.gateway_service import GatewayService
from ochrecourse.service.signals import SignalHandler
from ochrecourse.service.start_settings import StartSettingsError
from ochrecourse.common.monotonic_reactor import (
    CycleCollector,
    BoundedAcceptPort,
    raise_open_file_limit,
    install_monotonic_reactor,
    unread_since,
)


def log(text: str) -> None:
    """One line on standard error."""
    sys.stderr.write(f"{time.time():.3f} {text}\n")
    sys.stderr.flush()


def run(signals: SignalHandler) -> int:
    """Serves until the gateway is told to end and has left; the exit code."""
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        if not path:
            raise StartSettingsError("RELAY_CONFIG is not set; it names the start file")
        start = read(path)
        files = raise_open_file_limit()
        start.sockets = min(start.sockets, files)  # neither limit may be passed
        reactor = install_monotonic_reactor(BoundedAcceptPort)
        globalLogBeginner.beginLoggingTo([cast(Any, _observe)], redirectStandardIO=False, discardBuffer=True)
        since = unread_since(reactor)
        service = GatewayService(start, path, reactor, time.time_ns(), log, reactor.stop, since)
        if signals.asked_to_end():
            log("told to end before it served")
            return 0
        host, port = service.serve()
    except (StartSettingsError, MissingSettingError) as trouble:
        log(f"ochrecourse relay: {trouble}")
        return 2
    except CannotListenError as trouble:
        log(f"ochrecourse relay: cannot listen: {trouble.socketError}")
        return 2
    signals.act(reactor.callFromThread, service.leave, service.reload)
    CycleCollector(
        reactor, lambda: not service.gateway.request_log.open, lambda: service.server.closed_connections
    )
    log(f"{start.name} serves at {host}:{port}; {start.sockets} descriptors of {files}, {start.memory_mb} MB")
    reactor.run(installSignalHandlers=False)
    ledger = service.gateway.request_log
    log(f"left; {ledger.received} jobs, {ledger.attempts} legs, clients: {dict(service.server.counts)}, "
        f"nodes: {dict(service.gateway.nodes.counts)}")  # fmt: skip
    return 0


def _observe(event: Any) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        log(f"unexpected: {failure.getTraceback()}")
