"""The commands of the control socket that concern the fleet: its report, its log, its zones and its form.

Modules of the fleet are imported only when a command needs them: a gateway without a fleet loads none.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from ochrecourse.cli.control_requests import Answer, ControlError, ControlRequest

DEFAULT_READ_ENTRIES = 100
MAX_READ_ENTRIES = 10_000


def answer_fleet_command(member: Any, request: ControlRequest) -> Answer:
    """Carries out one of FLEET_COMMANDS; `member` is None without a fleet. Raises ControlError."""
    if member is None:
        raise ControlError("this gateway's settings have no part fleet, or it is just handed over")
    return FLEET_COMMANDS[request.command](member, request)


@contextlib.contextmanager
def _rejections_reported() -> Iterator[None]:
    """Turns an append that the fleet's log rejects, or can't store, into a ControlError."""
    from ochrecourse.fleet.log import Refused

    try:
        yield
    except (Refused, OSError) as error:
        raise ControlError(str(error)) from None


def _channel(request: ControlRequest) -> str:
    channel = request.arguments.get("channel")
    if not isinstance(channel, str):
        raise ControlError(f"{request.command} names no channel")
    return channel


def _report(member: Any, request: ControlRequest) -> Answer:
    report: Answer = member.report()
    return report


def _append(member: Any, request: ControlRequest) -> Answer:
    channel = _channel(request)
    if "value" not in request.arguments:
        raise ControlError("append names no value")
    with _rejections_reported():
        entry = member.append(channel, request.arguments["value"])
    return {
        "done": True,
        "writer": entry.writer,
        "life": entry.life,
        "seq": entry.seq,
        "at": list(entry.at),
    }


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
    from ochrecourse.fleet.entries import Stamp

    channel = _channel(request)
    upto: Any = request.arguments.get("upto")
    valid = isinstance(upto, list) and [type(each) for each in upto] == [int, int]
    if "value" not in request.arguments or not valid:
        raise ControlError("compact takes a value, and up to where: `at` of an entry that was read")
    with _rejections_reported():
        member.compact(channel, Stamp(*upto), request.arguments["value"])
    return {"done": True}


def _dump(member: Any, request: ControlRequest) -> Answer:
    channel = _channel(request)
    return {"channel": channel, "dump": member.dump(channel).decode()}


def _zone(member: Any, request: ControlRequest) -> Answer:
    """An operator evacuates a zone, for all gateways that this one reaches, or takes it back."""
    zone = request.arguments.get("zone")
    order = None
    if member.zone_subsystem and type(zone) is int:
        order = member.zone_subsystem.operator_entry(zone, request.arguments.get("standing"))
    if order is None:
        raise ControlError('zone takes a number of a zone and the standing "left", "returning" or "in"')
    with _rejections_reported():
        entry = member.append(*order)
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


def _give_up(member: Any, request: ControlRequest) -> Answer:
    """An operator declares that a gateway does not come back, so that the fleet does not wait for it."""
    name = request.arguments.get("name")
    if not isinstance(name, str):
        raise ControlError("give up takes the name of a gateway")
    with _rejections_reported():
        entry = member.give_up(name)
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


def _form(member: Any, request: ControlRequest) -> Answer:
    """Which form is in force and what prevents the next; or, with `form`, an operator raises it."""
    if "form" not in request.arguments:
        report: Answer = member.forms.report()
        newest = report["speaks"][1]
        return {**report, "waits": member.form_waits(newest) if newest > report["in_force"] else ""}
    form = request.arguments["form"]
    if type(form) is not int:
        raise ControlError("form takes a whole number")
    with _rejections_reported():
        entry = member.raise_form(form)
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


# In the order in which an answer to an unknown command names them.
FLEET_COMMANDS: dict[str, Callable[[Any, ControlRequest], Answer]] = {
    "fleet": _report,
    "append": _append,
    "read": _read,
    "compact": _compact,
    "dump": _dump,
    "zone": _zone,
    "give up": _give_up,
    "form": _form,
}
