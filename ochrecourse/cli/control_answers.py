"""The commands of the control socket: a running gateway answers each line of JSON with one line.

A line is an object whose `do` names the command; the other members are its arguments. The answer is an object
too; its `error`, if any, states why the command was not carried out. The keys and values of both are an
interface to operators' scripts.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ochrecourse.cli.control_requests import Answer, ControlError, ControlRequest
from ochrecourse.cli.fleet_answers import FLEET_COMMANDS, OnAnswer, answer_fleet_command


def parse_request(line: bytes) -> ControlRequest | None:
    """Returns the request in a line, or None if the line is malformed."""
    try:
        arguments = json.loads(line)
        command = arguments["do"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    if not isinstance(command, str) or not command:
        return None
    return ControlRequest(command, arguments)


def answer(daemon: Any, line: bytes) -> Answer:
    """Returns the answer to a command that does not wait for the disk; never raises ControlError."""
    answers: list[Answer] = []
    respond(daemon, line, answers.append)
    return answers[0]


def respond(daemon: Any, line: bytes, on_answer: OnAnswer) -> None:
    """Carries out the command in a line; calls `on_answer` once, possibly before this returns."""
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


# In the order in which the answer to an unknown command lists them.
GATEWAY_COMMANDS: dict[str, Callable[[Any], Answer]] = {
    "show": _show,
    "drain": _drain,
    "undrain": _undrain,
    "members": _members,
    "accept": _accept,
}
