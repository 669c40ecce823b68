"""`bgp`: shows, drains and undrains the service addresses of a running gateway over its control socket."""

from __future__ import annotations

import json
from pathlib import Path

import click

from ochrecourse.cli.control_client import ask, exit_with_result


@click.group()
def bgp() -> None:
    """Show, drain and undrain the service addresses of a running gateway.

    SOCKET is its `gateway.control`.
    """


@bgp.command("show")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The whole report as JSON.")
def show(control: Path, as_json: bool) -> None:
    """Peers, addresses, and why each stands as it does."""
    report = ask(control, "show")
    if as_json:
        click.echo(json.dumps(report, indent=2))
        return
    click.echo(f"drain      {report['drain']}")
    for address in report["addresses"]:
        reasons = ", ".join(address["reasons"])
        health = f"{address['standing']} for {address['for_s']} s"
        click.echo(f"address    {address['network']}: {health} ({reasons}); {address['changes']} changes")
    for peer in report["peers"]:
        last_error = f"; last: {peer['last']}" if peer["last"] else ""
        routes = ", ".join(peer["told"]) or "nothing"
        session = f"{peer['state']} for {peer['since_s']} s"
        click.echo(f"peer       {peer['name']}: {session}, told {routes}{last_error}")


@bgp.command("drain")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def drain(control: Path) -> None:
    """Last choice, withdraw, finish what is held, leave."""
    exit_with_result(ask(control, "drain"))


@bgp.command("undrain")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def undrain(control: Path) -> None:
    """Take a drain back, as long as jobs are still taken."""
    exit_with_result(ask(control, "undrain"))
