"""Judges what a day of rolling restarts adds: sockets that were handed over, processes that left, the form.

Each record is of what was done to a process, what came of a connection that a stranger made, or an answer
of a control socket.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import SECOND, Finding


class ProcessReplaced(
    r.Record,
    tag="rolled",
    rename={"method": "how", "newest_version": "newest", "exit_code": "code", "duration": "took"},
):
    """One process was replaced by the next, which speaks forms up to `newest`. `how`: taken (its sockets were
    handed over), left (it was asked to leave, then the next began), or kept (the next was to take over and
    could not). `code`: with which the process that left, or could not, ended; `took` in ns."""

    gateway: str
    method: str
    newest_version: int
    exit_code: int
    duration: int


class HandoverConnection(r.Record, tag="dialled", rename={"socket": "what", "accepted": "ok"}):
    """A stranger connected to a socket of a gateway while it was handed over; `ok`: it was accepted."""

    gateway: str
    socket: str
    accepted: bool


class VersionRaiseRequested(r.Record, tag="raise_asked", rename={"version": "form", "refusal": "why"}):
    """A form was to be raised; `why` it was not, empty if it was."""

    gateway: str
    version: int
    refusal: str


class VersionInForce(r.Record, tag="form_held", rename={"version": "form"}):
    """The form in force, as a gateway has it in the end."""

    gateway: str
    version: int


RollingRecord = ProcessReplaced | HandoverConnection | VersionRaiseRequested | VersionInForce


def judge_handover_connections(held: Iterable[object]) -> Finding:
    """Whoever connects while the sockets change hands is accepted."""
    finding = Finding("no connection refused at handed-over sockets")
    for each in held:
        if isinstance(each, HandoverConnection):
            finding.tested += 1
            if not each.accepted:
                finding.breach(each.t, f"{each.gateway} refused a connection at its {each.socket} socket")
    return finding


def judge_replacements(held: Iterable[object], wanted: Sequence[tuple[str, str]]) -> Finding:
    """Every process that was replaced ended with 0, one that could not take over with 2, all of `wanted`
    (gateway, how) and in that order."""
    finding = Finding("each process leaves with all answered, and one that can't take over harms nobody")
    rolls = [each for each in held if isinstance(each, ProcessReplaced)]
    for each in rolls:
        finding.tested += 1
        if each.exit_code != (2 if each.method == "kept" else 0):
            finding.breach(
                each.t, f"a process of {each.gateway} ({each.method}) ended with code {each.exit_code}"
            )
    done = [(each.gateway, each.method) for each in rolls]
    if done != list(wanted):
        finding.breach(0, f"replaced were {done}, not {list(wanted)}")
    return finding


def judge_version_raise(held: Sequence[object], began: Mapping[str, int]) -> Finding:
    """A form was raised once all gateways' programs spoke it and not before, and all hold it in the end.
    `began`: the newest form that each spoke at first."""
    finding = Finding("the form rises once all speak it, and is one in the end")
    newest, in_force = dict(began), 1
    for each in held:
        if isinstance(each, ProcessReplaced) and each.method != "kept":
            newest[each.gateway] = each.newest_version
        elif isinstance(each, VersionRaiseRequested):
            finding.tested += 1
            lacking = sorted(name for name, form in newest.items() if form < each.version)
            if not each.refusal and lacking:
                finding.breach(each.t, f"form {each.version} was raised though {lacking} do not speak it")
            if not each.refusal:
                in_force = each.version
    last = {each.gateway: each.version for each in held if isinstance(each, VersionInForce)}
    for name in newest:
        finding.tested += 1
        if last.get(name) != in_force:
            finding.breach(0, f"{name} holds form {last.get(name)} for the one in force, not {in_force}")
    if in_force != max(newest.values()):
        finding.breach(0, f"form {in_force} is in force in the end, and all speak {max(newest.values())}")
    return finding


def replacement_figures(held: Iterable[object]) -> dict[str, float]:
    """Spans in s."""
    took: list[float] = []
    dials = refused = 0
    for each in held:
        if isinstance(each, ProcessReplaced) and each.method != "kept":
            took.append(each.duration / SECOND)
        elif isinstance(each, HandoverConnection):
            dials += 1
        elif isinstance(each, VersionRaiseRequested):
            refused += bool(each.refusal)
    return {
        "processes replaced": len(took),
        "s of a replacement, longest": round(max(took, default=0.0), 2),
        "connections made while sockets changed hands": dials,
        "times that a form was not raised yet": refused,
    }
