"""The client side of the control socket, for the commands that query a running gateway."""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path
from typing import Any, NoReturn

import click

TIMEOUT_S = 5
READ_BYTES = 65_536
EXIT_NOTHING_DONE = 1
EXIT_NO_ANSWER = 2


def ask(path: Path, command: str) -> dict[str, Any]:
    """Returns the daemon's response to a command; prints an error to standard error and exits with code 2."""
    try:
        answer: dict[str, Any] = json.loads(_exchange(path, command))
    except (OSError, ValueError) as error:
        click.echo(f"{path}: no gateway answers there: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)
    if "error" in answer:
        click.echo(answer["error"], err=True)
        sys.exit(EXIT_NO_ANSWER)
    return answer


def _exchange(path: Path, command: str) -> bytes:
    """Sends a command and returns the line received in response. Raises OSError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.connect(str(path))
        connection.sendall(json.dumps({"do": command}).encode() + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            received = connection.recv(READ_BYTES)
            if not received:
                break
            data += received
    return data


def exit_with_result(answer: dict[str, Any]) -> NoReturn:
    """Prints the result of a command that changes state; exits with code 0 if it was done, otherwise 1."""
    click.echo(f"{'done' if answer['done'] else 'nothing was done'}: {answer['stage']}")
    sys.exit(0 if answer["done"] else EXIT_NOTHING_DONE)
