"""`ochrecourse`: the sub-commands, each loaded only when it is called.

Exit codes: 0 done; 1 the run or the check found something wrong (a broken rule, bad settings); 2 the call
itself was wrong or something it needs is missing; 130 interrupted.
"""

from __future__ import annotations

from importlib import import_module

import click

# Name: module and function, and the line that `--help` shows, so that help loads none of them.
COMMANDS = {
    "serve": ("ochrecourse.cli.serve:serve", "Run a gateway with the settings of FILE."),
    "check": ("ochrecourse.cli.settings:check", "Check settings files; one line for each mistake."),
    "show": ("ochrecourse.cli.settings:show", "Show settings as they resolve, with every default."),
    "node": ("ochrecourse.cli.nodes:node", "Run one storage node of our own, and a list that names it."),
    "nodes": ("ochrecourse.cli.nodes:nodes", "Run all storage nodes and the list server of a day."),
    "load": ("ochrecourse.cli.load:load", "Send a day's jobs, or people at WebDAV doors, to gateways."),
    "day": ("ochrecourse.cli.day:day", "List, run and convert scripted days."),
    "bgp": ("ochrecourse.cli.control:bgp", "Show, drain and undrain a running gateway's service addresses."),
    "members": ("ochrecourse.cli.control:members", "Show and accept the list of nodes that a gateway holds."),
    "alike": ("ochrecourse.cli.alike:alike", "Run one scenario through library and daemon, and compare."),
    "audit": ("ochrecourse.cli.audit:audit_records", "Judge the seven rules from records."),
}


class Late(click.Group):
    """A group whose commands are imported when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name][0].partition(":")
        command: click.Command = getattr(import_module(module), name)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in COMMANDS.items()])


@click.group(cls=Late, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ochrecourse")
def main() -> None:
    """A storage gateway that schedules a host's reads and writes over storage nodes."""
