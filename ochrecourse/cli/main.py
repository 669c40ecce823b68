"""The command `ochrecourse`; each sub-command is imported only when it is called.

Exit codes: 0 success; 1 the run or the check found an error (a broken rule, invalid settings); 2 the command
line was wrong or something that the command needs is missing; 130 interrupted.
"""

from __future__ import annotations

from importlib import import_module
from typing import NamedTuple

import click


class CommandEntry(NamedTuple):
    """Where a sub-command is defined, and the line that `--help` shows for it."""

    module: str
    function: str
    help_line: str


# The help lines are here so that `--help` imports no command.
COMMANDS = {
    "serve": CommandEntry("ochrecourse.cli.serve", "serve", "Run a gateway with the settings of FILE."),
    "check": CommandEntry(
        "ochrecourse.cli.settings", "check", "Check settings files; one line for each mistake."
    ),
    "show": CommandEntry(
        "ochrecourse.cli.settings", "show", "Show settings as they resolve, with every default."
    ),
    "node": CommandEntry(
        "ochrecourse.cli.nodes", "node", "Run one storage node of our own, and a list that names it."
    ),
    "nodes": CommandEntry(
        "ochrecourse.cli.nodes", "nodes", "Run all storage nodes and the list server of a day."
    ),
    "load": CommandEntry(
        "ochrecourse.cli.load", "load", "Send a day's jobs, or people at WebDAV doors, to gateways."
    ),
    "day": CommandEntry("ochrecourse.cli.day", "day", "List, run and convert scripted days."),
    "bgp": CommandEntry(
        "ochrecourse.cli.bgp", "bgp", "Show, drain and undrain a running gateway's service addresses."
    ),
    "members": CommandEntry(
        "ochrecourse.cli.members", "members", "Show and accept the list of nodes that a gateway holds."
    ),
    "alike": CommandEntry(
        "ochrecourse.cli.alike", "alike", "Run one scenario through library and daemon, and compare."
    ),
    "audit": CommandEntry("ochrecourse.cli.audit", "audit_records", "Judge the seven rules from records."),
}


class LazyGroup(click.Group):
    """A group whose commands are imported only when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the commands in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Imports and returns a command; None if there is no command of that name."""
        if cmd_name not in COMMANDS:
            return None
        entry = COMMANDS[cmd_name]
        command: click.Command = getattr(import_module(entry.module), entry.function)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Writes the help lines without importing the commands."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, entry.help_line) for name, entry in COMMANDS.items()])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ochrecourse")
def main() -> None:
    """A storage gateway that schedules a host's reads and writes over storage nodes."""
