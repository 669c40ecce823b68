"""The process of `node` and `nodes`: emulated storage nodes with faults injected from standard input.

Imported only after the process's reactor is installed.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver

from ochrecourse.audit.loop_lag import NODES
from ochrecourse.audit.records import RecordFile, discard
from ochrecourse.common.monotonic_reactor import raise_open_file_limit
from ochrecourse.lab.day import TROUBLES, ZONE_TROUBLES, Day
from ochrecourse.lab.loop_watch import LoopWatch
from ochrecourse.lab.play import make_fleet, play_troubles

START_LINE = ["go"]  # starts the faults of the scenario
DEFAULT_NUMBERS = ("0.2", "0", "0", "5")  # share of the nodes, size, extra, seconds
NUMBERS_END = 1 + len(DEFAULT_NUMBERS)  # the words before this index are the kind of fault and its numbers
USAGE = "a line is KIND PART SIZE EXTRA SECONDS [PRODUCT, PLAN or ZONE], numbers from the second word on"


class StdinCommands(LineReceiver):
    """Reads commands from standard input, one a line."""

    delimiter = b"\n"

    def __init__(self, on_line: Callable[[list[str]], None], on_end: Callable[[], None]) -> None:
        self.on_line = on_line
        self.on_end = on_end

    def lineReceived(self, line: bytes) -> None:
        """Splits a line into words and passes them on."""
        self.on_line(line.decode("utf-8", "replace").split())

    def connectionLost(self, reason: Any = None) -> None:
        """Standard input was closed."""
        self.on_end()


def run_storage_nodes(reactor: Any, scenario: Day, records: Path | None, wait: bool) -> None:
    """Runs the nodes and the list server of a scenario until SIGTERM or SIGINT.

    With `wait`, the faults of the scenario start when START_LINE is read, and the end of standard input ends
    the run.
    """
    raise_open_file_limit()
    recorder = RecordFile(records) if records else None
    emulated = make_fleet(scenario, reactor, recorder or discard)

    def on_line(words: list[str]) -> None:
        if words == START_LINE:
            play_troubles(scenario, reactor, emulated)
        elif words:
            problem = inject_fault(reactor, emulated, words)
            if problem:
                click.echo(problem, err=True)

    def on_end() -> None:
        if wait:
            reactor.callLater(0, reactor.stop)

    loop_watch = LoopWatch(reactor, NODES, recorder or discard)
    loop_watch.start()
    _stop_on_signals(reactor)
    click.echo(f"list {emulated.list_address()}")
    sys.stdout.flush()
    if not wait:
        play_troubles(scenario, reactor, emulated)
    StandardIO(StdinCommands(on_line, on_end), reactor=reactor)  # type: ignore[no-untyped-call]
    reactor.run(installSignalHandlers=False)
    loop_watch.stop()
    emulated.close()
    if recorder:
        recorder.close()


def _stop_on_signals(reactor: Any) -> None:
    def on_signal(number: int, frame: Any) -> None:
        reactor.callFromThread(reactor.stop)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)


def inject_fault(reactor: Any, emulated: Any, words: list[str]) -> str:
    """Injects the fault in a line, for its duration; returns the error in the line, or an empty string."""
    kind = words[0]
    if kind not in TROUBLES + ZONE_TROUBLES:
        return f"there is no trouble {kind!r}; there are {', '.join(TROUBLES + ZONE_TROUBLES)}"
    given = words[1:NUMBERS_END]
    try:
        numbers = [float(word) for word in [*given, *DEFAULT_NUMBERS][: len(DEFAULT_NUMBERS)]]
    except ValueError:
        return USAGE
    share, size, extra, duration_s = numbers
    target = words[NUMBERS_END] if len(words) > NUMBERS_END else ""
    if kind in ZONE_TROUBLES and (len(words) <= NUMBERS_END or target not in emulated.zone_names):
        return f"{kind} strikes a zone, named by the sixth word; there are {', '.join(emulated.zone_names)}"
    end_fault = emulated.inject_fault(kind, share, size, extra, duration_s, target)
    reactor.callLater(duration_s, end_fault)
    return ""
