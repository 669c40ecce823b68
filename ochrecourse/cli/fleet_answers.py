"""The fleet's commands on the control socket: its report, event log, zones and format version.

Modules of the fleet are imported only when a command needs them: a gateway without a fleet loads none.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from ochrecourse.cli.control_requests import Answer, ControlError, ControlRequest

OnAnswer = Callable[[Answer], None]
FleetCommand = Callable[[Any, ControlRequest, OnAnswer], None]

DEFAULT_READ_ENTRIES = 100
MAX_READ_ENTRIES = 10_000
ENTRY_ATTRIBUTES = {"life": "incarnation"}  # fields of an answer whose attribute has another name


def answer_fleet_command(member: Any, request: ControlRequest, on_answer: OnAnswer) -> None:
    """Carries out one of FLEET_COMMANDS. An append is answered once it is on disk. `member` is None if the
    gateway has no fleet. Raises ControlError.
    """
    if member is None:
        raise ControlError("this gateway's settings have no part fleet, or it is just handed over")
    FLEET_COMMANDS[request.command](member, request, on_answer)


def _answer_at_once(command: Callable[[Any, ControlRequest], Answer]) -> FleetCommand:
    """Adapts a command that returns its answer without waiting."""
    return lambda member, request, on_answer: on_answer(command(member, request))


def _answer_append(on_answer: OnAnswer, fields: tuple[str, ...] = ("writer", "seq")) -> Callable[[Any], None]:
    """Returns a callback that answers an AppendResult with its error or with these fields of its entry."""

    def answer(result: Any) -> None:
        if result.error is not None:
            on_answer({"error": str(result.error)})
        else:
            on_answer(
                {
                    "done": True,
                    **{field: getattr(result.entry, ENTRY_ATTRIBUTES.get(field, field)) for field in fields},
                }
            )

    return answer


@contextlib.contextmanager
def _rejections_reported() -> Iterator[None]:
    """Turns AppendRejectedError and OSError of the fleet's log into ControlError."""
    from ochrecourse.fleet.log import AppendRejectedError

    try:
        yield
    except (AppendRejectedError, OSError) as error:
        raise ControlError(str(error)) from None


def _channel(request: ControlRequest) -> str:
    channel = request.arguments.get("channel")
    if not isinstance(channel, str):
        raise ControlError(f"{request.command} names no channel")
    return channel


def _report(member: Any, request: ControlRequest) -> Answer:
    report: Answer = member.report()
    return report


def _append(member: Any, request: ControlRequest, on_answer: OnAnswer) -> None:
    channel = _channel(request)
    if "value" not in request.arguments:
        raise ControlError("append names no value")
    on_result = _answer_append(on_answer, ("writer", "life", "seq", "at"))
    with _rejections_reported():
        member.request_append(channel, request.arguments["value"], on_result)


def _read(member: Any, request: ControlRequest) -> Answer:
    from ochrecourse.fleet.channel_readers import delivery_as_json

    channel = _channel(request)
    cursor = request.arguments.get("cursor", "")
    max_entries = request.arguments.get("most", DEFAULT_READ_ENTRIES)
    # A bool is an int for isinstance.
    if (
        not isinstance(cursor, str)
        or type(max_entries) is not int
        or not 1 <= max_entries <= MAX_READ_ENTRIES
    ):
        raise ControlError(f"read takes a cursor as text and most from 1 to {MAX_READ_ENTRIES}")
    with _rejections_reported():
        deliveries, next_cursor = member.read(channel, cursor, max_entries)
    return {"entries": [delivery_as_json(delivery) for delivery in deliveries], "cursor": next_cursor}


def _compact(member: Any, request: ControlRequest) -> Answer:
    from ochrecourse.fleet.entries import Timestamp

    channel = _channel(request)
    upto: Any = request.arguments.get("upto")
    valid = isinstance(upto, list) and [type(each) for each in upto] == [int, int]
    if "value" not in request.arguments or not valid:
        raise ControlError("compact takes a value, and up to where: `at` of an entry that was read")
    with _rejections_reported():
        member.compact(channel, Timestamp(*upto), request.arguments["value"])
    return {"done": True}


def _dump(member: Any, request: ControlRequest) -> Answer:
    channel = _channel(request)
    return {"channel": channel, "dump": member.dump(channel).decode()}


def _zone(member: Any, request: ControlRequest, on_answer: OnAnswer) -> None:
    """Evacuates a zone for all reachable gateways, or restores it."""
    zone = request.arguments.get("zone")
    order = None
    if member.zone_subsystem and type(zone) is int:
        order = member.zone_subsystem.operator_entry(zone, request.arguments.get("standing"))
    if order is None:
        raise ControlError('zone takes a number of a zone and the standing "left", "returning" or "in"')
    with _rejections_reported():
        member.request_append(*order, _answer_append(on_answer))


def _give_up(member: Any, request: ControlRequest, on_answer: OnAnswer) -> None:
    """Declares that a gateway will not return, so that the fleet does not wait for it."""
    name = request.arguments.get("name")
    if not isinstance(name, str):
        raise ControlError("give up takes the name of a gateway")
    with _rejections_reported():
        member.give_up(name, _answer_append(on_answer))


def _form(member: Any, request: ControlRequest, on_answer: OnAnswer) -> None:
    """Reports the format version in force and what prevents the newest one; raises it if `form` is given."""
    if "form" not in request.arguments:
        report: Answer = member.forms.report()
        newest = report["speaks"][1]
        waits = member.form_waits(newest) if newest > report["in_force"] else ""
        on_answer({**report, "waits": waits})
        return
    form = request.arguments["form"]
    if type(form) is not int:
        raise ControlError("form takes a whole number")
    with _rejections_reported():
        member.raise_form(form, _answer_append(on_answer))


# In the order in which the answer to an unknown command lists them.
FLEET_COMMANDS: dict[str, FleetCommand] = {
    "fleet": _answer_at_once(_report),
    "append": _append,
    "read": _answer_at_once(_read),
    "compact": _answer_at_once(_compact),
    "dump": _answer_at_once(_dump),
    "zone": _zone,
    "give up": _give_up,
    "form": _form,
}
