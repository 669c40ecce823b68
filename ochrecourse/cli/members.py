"""`members`: shows, watches and accepts the endpoint list of a running gateway over its control socket."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.control_client import ask, exit_with_result

WATCHED_FIELDS = ("health", "address", "shard")


@click.group()
def members() -> None:
    """Show the list of nodes that a running gateway holds; accept a registry that went back.

    SOCKET is its `gateway.control`.
    """


@members.command("show")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The whole report as JSON.")
def show(control: Path, as_json: bool) -> None:
    """Where the list comes from, how old it is, and its nodes."""
    report = ask(control, "members")
    if as_json:
        click.echo(json.dumps(report, indent=2))
        return
    for line in report_lines(report):
        click.echo(line)


@members.command("watch")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--seconds", default=1.0, help="Between looks.")
@click.option("--looks", default=0, help="How many; 0: until it is ended.")
def watch(control: Path, seconds: float, looks: int) -> None:
    """Show what changes in the list, line by line."""
    previous: dict[int, Any] = {}
    count = 0
    while not looks or count < looks:
        if count:
            time.sleep(seconds)
        count += 1
        nodes = {node["node"]: node for node in ask(control, "members")["nodes"]}
        for line in _change_lines(previous, nodes):
            click.echo(line)
        sys.stdout.flush()
        previous = nodes


def _change_lines(previous: Mapping[int, Any], nodes: Mapping[int, Any]) -> list[str]:
    lines = []
    for number in sorted(previous.keys() | nodes.keys()):
        old, new = previous.get(number), nodes.get(number)
        if new is None:
            lines.append(f"node {number} is gone")
        elif old is None or any(old[name] != new[name] for name in WATCHED_FIELDS):
            lines.append(f"node {number} is {new['health']} at {new['address']}, shard {new['shard']}")
    return lines


@members.command("accept")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def accept(control: Path) -> None:
    """Take the registry as it is, though it went back or is another one."""
    exit_with_result(ask(control, "accept"))


def report_lines(report: Mapping[str, Any]) -> list[str]:
    """Formats the report on the endpoint list as lines of text."""
    age = "never came in this life" if report["age_s"] is None else f"{report['age_s']} s old"
    connection = "connected" if report["connected"] else "not connected"
    lines = [f"list       from a {report['from']}, {connection}, version {report['epoch']}, {age}"]
    if report.get("not_believed"):
        lines.append(f"not believed: {report['not_believed']}; accept it if the registry was restored")
    if report["lease"] is not None:
        lines.append(f"lease      {'held' if report['lease'] else 'not held'}")
    for node in report["nodes"]:
        location = f"{node['address']}, shard {node['shard']}, zone {node['zone']}"
        lines.append(f"node       {node['node']}: {node['health']} at {location}")
    for conflict in report["conflicts"]:
        duration = "" if conflict["for_s"] is None else f", for {conflict['for_s']} s"
        lines.append(f"conflict   {conflict['node']}: {conflict['what']}{duration}")
    lines += [f"note       {reason}: {count}" for reason, count in report.get("notes", {}).items()]
    return lines
