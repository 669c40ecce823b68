"""`alike`: one scenario through library and daemon, and whether the same jobs ended in the same way."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from ochrecourse.lab.day import BadDay


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--virtual", is_flag=True, help="Only on the virtual clock, where records must be equal.")
def alike(file: Path, virtual: bool) -> None:
    """Run the scenario FILE through the library and the daemon; exit code 0 only if every job ended alike.

    On the virtual clock both must give the same record to the nanosecond. On real sockets (library in this
    process, daemon and nodes in processes of their own) each job must get the answer that it got on the
    virtual clock. All four must keep the seven rules.
    """
    from ochrecourse.lab import alike as a

    try:
        scenario = a.read(file)
    except BadDay as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    library, broken = a.on_virtual_clock(scenario, through_daemon=False)
    daemon, more = a.on_virtual_clock(scenario, through_daemon=True)
    expected = a.told_by(library)
    found = [f"virtual clock: {text}" for text in a.differences(expected, a.told_by(daemon))]
    found += [f"virtual clock, library: {text}" for text in broken]
    found += [f"virtual clock, daemon: {text}" for text in more]
    if not found and library != daemon:
        found.append("virtual clock: the jobs ended alike, at other times or nodes")
    for told in expected.values():
        click.echo(f"job {told.trace}: {a.words(told)}")
    if not virtual:
        found += _on_sockets(scenario, expected)
    for text in found:
        click.echo(text)
    ways = "library and daemon on the virtual clock" + (" and on sockets" if not virtual else "")
    click.echo(f"{len(expected)} jobs, {ways}: {'ALIKE' if not found else f'{len(found)} differences'}")
    sys.exit(1 if found or len(expected) != len(scenario.jobs) else 0)


def _on_sockets(scenario: Any, expected: Any) -> list[str]:
    """The library on sockets, then the daemon as a process; what differs from what is expected."""
    from ochrecourse.lab import alike as a
    from ochrecourse.common.monotonic_reactor import raise_open_file_limit, install_monotonic_reactor

    reactor = install_monotonic_reactor()
    raise_open_file_limit()
    found: list[str] = []
    names = {False: "library on sockets", True: "daemon as a process"}

    def spawn(child: Any, words: list[str]) -> Any:
        command = [sys.executable, "-m", "ochrecourse", *words]
        return reactor.spawnProcess(child, sys.executable, command, env=None)

    def run(through_daemon: bool) -> None:
        folder = Path(tempfile.mkdtemp(prefix="ochrecourse-"))

        def over(told: Any, trouble: str) -> None:
            if trouble:
                found.append(f"{names[through_daemon]}: {trouble}")
            different = a.differences(expected, told, legs=False)
            found.extend(f"{names[through_daemon]}: {text}" for text in different)
            if trouble or different:
                found.append(f"settings, logs and records: {folder}")
            else:
                shutil.rmtree(folder, ignore_errors=True)
            if through_daemon:
                reactor.stop()
            else:
                run(True)

        a.OnSockets(scenario, reactor, folder, through_daemon, over).start(spawn)

    run(False)
    reactor.run()
    return found
