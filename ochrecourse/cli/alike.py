"""`alike`: runs one scenario through the library and the daemon and compares the outcome of each request."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from ochrecourse.lab.day import BadDay

EXIT_DIFFERENT = 1
EXIT_BAD_CALL = 2
LIBRARY_ON_SOCKETS = "library on sockets"
DAEMON_ON_SOCKETS = "daemon as a process"


@click.command("alike")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--virtual", is_flag=True, help="Only on the virtual clock, where records must be equal.")
def alike(file: Path, virtual: bool) -> None:
    """Run the scenario FILE through the library and the daemon; exit code 0 only if every job ended alike.

    On the virtual clock both must give the same record to the nanosecond. On real sockets (library in this
    process, daemon and nodes in processes of their own) each job must get the answer that it got on the
    virtual clock. All four must keep the seven rules.
    """
    from ochrecourse.lab import alike as equivalence

    try:
        scenario = equivalence.read(file)
    except BadDay as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_CALL)
    library, library_breaches = equivalence.on_virtual_clock(scenario, through_daemon=False)
    daemon, daemon_breaches = equivalence.on_virtual_clock(scenario, through_daemon=True)
    expected = equivalence.told_by(library)
    different_answers = equivalence.differences(expected, equivalence.told_by(daemon))
    differences = [f"virtual clock: {text}" for text in different_answers]
    differences += [f"virtual clock, library: {text}" for text in library_breaches]
    differences += [f"virtual clock, daemon: {text}" for text in daemon_breaches]
    if not differences and library != daemon:
        differences.append("virtual clock: the jobs ended alike, at other times or nodes")
    for answer in expected.values():
        click.echo(f"job {answer.trace}: {equivalence.words(answer)}")
    if not virtual:
        differences += _SocketRuns(scenario, expected).run()
    for text in differences:
        click.echo(text)
    places = "library and daemon on the virtual clock" + (" and on sockets" if not virtual else "")
    result = f"{len(differences)} differences" if differences else "ALIKE"
    click.echo(f"{len(expected)} jobs, {places}: {result}")
    sys.exit(EXIT_DIFFERENT if differences or len(expected) != len(scenario.jobs) else 0)


class _SocketRuns:
    """Runs the library on sockets, then the daemon as a process; compares both with the expected answers."""

    def __init__(self, scenario: Any, expected: Any) -> None:
        """Installs the process's reactor, so only one instance can be created per process."""
        from ochrecourse.common.monotonic_reactor import install_monotonic_reactor, raise_open_file_limit

        self.scenario = scenario
        self.expected = expected
        self.reactor = install_monotonic_reactor()
        raise_open_file_limit()
        self.differences: list[str] = []

    def run(self) -> list[str]:
        """Runs both; returns a line for each difference."""
        self._start(through_daemon=False)
        self.reactor.run()
        return self.differences

    def _start(self, through_daemon: bool) -> None:
        from ochrecourse.lab.alike import OnSockets

        folder = Path(tempfile.mkdtemp(prefix="ochrecourse-"))

        def finished(answers: Any, fault: str) -> None:
            self._compare(through_daemon, folder, answers, fault)
            if through_daemon:
                self.reactor.stop()
            else:
                self._start(through_daemon=True)

        OnSockets(self.scenario, self.reactor, folder, through_daemon, finished).start(self._spawn)

    def _compare(self, through_daemon: bool, folder: Path, answers: Any, fault: str) -> None:
        from ochrecourse.lab import alike as equivalence

        name = DAEMON_ON_SOCKETS if through_daemon else LIBRARY_ON_SOCKETS
        if fault:
            self.differences.append(f"{name}: {fault}")
        different_answers = equivalence.differences(self.expected, answers, legs=False)
        self.differences.extend(f"{name}: {text}" for text in different_answers)
        if fault or different_answers:
            self.differences.append(f"settings, logs and records: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)

    def _spawn(self, protocol: Any, arguments: list[str]) -> Any:
        return protocol.start(self.reactor, arguments)
