"""The commands of the control socket, and the response of a running gateway to each.

A request is one line of JSON: an object whose `do` names the command and whose other members are its
arguments. The response is an object too; its `error`, if present, is the reason why the command was not
executed. The keys and texts of both are an interface to operators' scripts.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ochrecourse.cli.control_requests import Answer, ControlError, ControlRequest
from ochrecourse.cli.fleet_answers import FLEET_COMMANDS, OnAnswer, answer_fleet_command


def parse_request(line: bytes) -> ControlRequest | None:
    """Parses a line; returns None if it is not a valid request."""
    try:
        arguments = json.loads(line)
        command = arguments["do"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    if not isinstance(command, str) or not command:
        return None
    return ControlRequest(command, arguments)


def answer(daemon: Any, line: bytes) -> Answer:
    """Executes a command that completes synchronously; returns its response. Never raises ControlError."""
    answers: list[Answer] = []
    respond(daemon, line, answers.append)
    return answers[0]


def respond(daemon: Any, line: bytes, on_answer: OnAnswer) -> None:
    """Executes the command in a line; calls `on_answer` once with its response, possibly before returning."""
    try:
        _respond(daemon, parse_request(line), on_answer)
    except ControlError as error:
        on_answer({"error": str(error)})


def _respond(daemon: Any, request: ControlRequest | None, on_answer: OnAnswer) -> None:
    if request is None:
        raise ControlError(
            'a line is {"do": "show"}, drain, undrain, members, accept, or a word of the fleet'
        )
    if request.command in FLEET_COMMANDS:
        answer_fleet_command(daemon.fleet_member, request, on_answer)
    elif request.command in GATEWAY_COMMANDS:
        on_answer(GATEWAY_COMMANDS[request.command](daemon))
    else:
        commands = ", ".join((*GATEWAY_COMMANDS, *FLEET_COMMANDS))
        raise ControlError(f"nothing is done for {request.command!r}; there are {commands}")


def _bgp_speaker(daemon: Any) -> Any:
    if daemon.speaker is None:
        raise ControlError("this gateway's settings have no part bgp")
    return daemon.speaker


def _show(daemon: Any) -> Answer:
    report: Answer = _bgp_speaker(daemon).report()
    return report


def _drain(daemon: Any) -> Answer:
    speaker = _bgp_speaker(daemon)
    done = speaker.begin_drain()
    return {"done": done, "stage": speaker.drain.stage.name.lower()}


def _undrain(daemon: Any) -> Answer:
    speaker = _bgp_speaker(daemon)
    done = speaker.undo_drain()
    return {"done": done, "stage": speaker.drain.stage.name.lower()}


def _members(daemon: Any) -> Answer:
    report: Answer = daemon.endpoint_report()
    return report


def _accept(daemon: Any) -> Answer:
    return {"done": daemon.accept_registry(), "stage": "the registry is read anew"}


# The error for an unknown command lists them in this order.
GATEWAY_COMMANDS: dict[str, Callable[[Any], Answer]] = {
    "show": _show,
    "drain": _drain,
    "undrain": _undrain,
    "members": _members,
    "accept": _accept,
}
